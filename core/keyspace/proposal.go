package keyspace

import (
	"slices"
	"sort"
	"time"
)

// move assigns a range to an upstream, which may be the current holder with a higher fence.
type move struct {
	from, to    uint32
	upstream    string
	incarnation int64
}

// proposal is an assignment that has not been recorded yet.
type proposal struct {
	moves []move
	// spans is the assignment after the moves, and nextFence the next fence after them.
	spans     []*span
	nextFence uint64
	initial   bool
}

func (k *Manager) propose(now time.Duration, moves []move) *proposal {
	p := &proposal{
		moves: moves,
	}
	p.spans, p.nextFence = k.apply(now, moves)
	return p
}

// apply returns the spans after the moves. The current spans are not modified; spans not affected by a move are shared.
func (k *Manager) apply(now time.Duration, moves []move) ([]*span, uint64) {
	fence := k.nextFence
	spans := slices.Clone(k.spans)
	for _, m := range moves {
		first := sort.Search(len(spans), func(i int) bool { return spans[i].to >= m.from })
		last := first
		var parts []*span
		for ; last < len(spans) && spans[last].from <= m.to; last++ {
			parts = append(parts, k.applyMove(now, spans[last], m, fence)...)
		}
		spans = slices.Replace(spans, first, last, parts...)
		fence++
	}
	return k.mergeAdjacent(spans), fence
}

func (k *Manager) copySpan(s *span, from, to uint32, id uint64) *span {
	c := *s
	c.id = id
	c.from = from
	c.to = to
	c.priors = nil
	for _, p := range s.priors {
		q := *p
		c.priors = append(c.priors, &q)
	}
	return &c
}

// applyMove returns the parts of s after the overlapping move m.
func (k *Manager) applyMove(now time.Duration, s *span, m move, fence uint64) []*span {
	var parts []*span
	from, to := max(m.from, s.from), min(m.to, s.to)
	if s.from < from {
		parts = append(parts, k.copySpan(s, s.from, from-1, k.newSpanID()))
	}
	parts = append(parts, k.reassigned(now, s, from, to, m, fence))
	if to < s.to {
		parts = append(parts, k.copySpan(s, to+1, s.to, k.newSpanID()))
	}
	return parts
}

func (k *Manager) newSpanID() uint64 {
	k.lastSpanID++
	return k.lastSpanID
}

// reassigned returns the part of s that m assigns to a new holder. The new holder must wait for every upstream that may
// still hold the part.
func (k *Manager) reassigned(now time.Duration, s *span, from, to uint32, m move, fence uint64) *span {
	n := k.copySpan(s, from, to, k.newSpanID())
	next := holder{
		id:          m.upstream,
		incarnation: m.incarnation,
		fence:       fence,
	}
	n.needsHigherFence = false
	if s.holder.id == m.upstream {
		// The same upstream keeps the keys with a higher fence, so no holder has to give them up. Only one of two
		// incarnations under the same ID is running, and the new one may have received grants meant for the old one.
		if s.holder.incarnation != m.incarnation {
			n.validUntil = 0
			n.failures = 0
			n.answeredAt = now
			n.gone = false
		}
		if n.callPending {
			n.unansweredUntil = max(n.unansweredUntil, k.latestGrantEnd(now))
		}
		n.holder = next
		n.sent = 0
		n.callPending = false
		return n
	}
	if s.holder.id != "" {
		n.formers = k.formersAfter(now, s, m.upstream)
		n.priors = append(n.priors, &prior{
			claim: s.claim,
		})
	}
	n.claim = claim{
		holder: next,
	}
	kept := n.priors[:0]
	for _, p := range n.priors {
		if p.holder.id != m.upstream {
			kept = append(kept, p)
			continue
		}
		// The upstream never gave up the keys, so earlier grants remain valid under the new fence.
		n.heldUntil = max(n.heldUntil, p.heldUntil)
		n.unansweredUntil = max(n.unansweredUntil, p.unansweredUntil)
		if p.callPending {
			n.unansweredUntil = max(n.unansweredUntil, k.latestGrantEnd(now))
		}
	}
	n.priors = kept
	n.failures = 0
	n.answeredAt = now
	n.gone = false
	n.reassigned = now
	return n
}

// latestGrantEnd returns the latest end of a grant call that is in progress at now and whose answer is ignored.
func (k *Manager) latestGrantEnd(now time.Duration) time.Duration {
	return now + k.config.CallTimeout + k.maxGrantDuration()
}

// mergeAdjacent merges adjacent spans that were assigned to one holder with the same fence.
func (k *Manager) mergeAdjacent(spans []*span) []*span {
	merged := make([]*span, 0, len(spans))
	for _, s := range spans {
		if len(merged) > 0 && canMerge(merged[len(merged)-1], s) {
			last := merged[len(merged)-1]
			joined := k.copySpan(last, last.from, s.to, last.id)
			joined.validUntil = min(last.validUntil, s.validUntil)
			joined.heldUntil = max(last.heldUntil, s.heldUntil)
			joined.unansweredUntil = max(last.unansweredUntil, s.unansweredUntil)
			joined.reassigned = max(last.reassigned, s.reassigned)
			joined.accepted = max(last.accepted, s.accepted)
			joined.formers = k.joinFormers(last, s)
			merged[len(merged)-1] = joined
			continue
		}
		merged = append(merged, s)
	}
	return merged
}

func canMerge(a, b *span) bool {
	same := a.holder == b.holder && a.needsHigherFence == b.needsHigherFence && len(a.priors) == 0 && len(b.priors) == 0 && a.handover == b.handover
	return same && a.callPending == b.callPending && a.sent == b.sent
}

// Recorded reports that the last assignment returned in Actions.Record is in the store. The moves are applied to the
// current state, which may have changed since they were proposed.
func (k *Manager) Recorded(now time.Duration) {
	p := k.proposal
	if p == nil {
		return
	}
	k.proposal = nil
	if p.initial {
		k.spans = p.spans
		k.nextFence = p.nextFence
		return
	}
	k.spans, k.nextFence = k.apply(now, p.moves)
}

// NotRecorded reports that the last assignment returned in Actions.Record is not in the store and never will be.
func (k *Manager) NotRecorded() {
	k.proposal = nil
}

// Proposed reports whether a term and next fence identify the last assignment returned in Actions.Record.
func (k *Manager) Proposed(term, nextFence uint64) bool {
	return k.proposal != nil && term == k.term && nextFence == k.proposal.nextFence
}

// sortMoves sorts moves by their first key, so that plans are deterministic.
func sortMoves(moves []move) {
	sort.Slice(moves, func(i, j int) bool { return moves[i].from < moves[j].from })
}
