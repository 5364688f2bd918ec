package keyspace

import (
	"slices"
	"sort"
	"time"
)

// move gives a range to an upstream, which may be its present holder with a higher fence.
type move struct {
	from, to uint32
	upstream string
	born     int64
}

// proposal is an assignment that is not yet recorded.
type proposal struct {
	moves []move
	// spans is the assignment after the moves, and nextFence the fence after it.
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

// apply returns the spans after moves. The present ones stay unchanged: those that no move touches are shared.
func (k *Manager) apply(now time.Duration, moves []move) ([]*span, uint64) {
	fence := k.nextFence
	spans := slices.Clone(k.spans)
	for _, m := range moves {
		first := sort.Search(len(spans), func(i int) bool { return spans[i].to >= m.from })
		last := first
		var parts []*span
		for ; last < len(spans) && spans[last].from <= m.to; last++ {
			parts = append(parts, k.moveWithin(now, spans[last], m, fence)...)
		}
		spans = slices.Replace(spans, first, last, parts...)
		fence++
	}
	return k.mergeNew(spans), fence
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

// moveWithin returns the parts of s after m, which overlaps it.
func (k *Manager) moveWithin(now time.Duration, s *span, m move, fence uint64) []*span {
	var parts []*span
	from, to := max(m.from, s.from), min(m.to, s.to)
	if s.from < from {
		parts = append(parts, k.copySpan(s, s.from, from-1, k.freshID()))
	}
	parts = append(parts, k.moved(now, s, from, to, m, fence))
	if to < s.to {
		parts = append(parts, k.copySpan(s, to+1, s.to, k.freshID()))
	}
	return parts
}

func (k *Manager) freshID() uint64 {
	k.nextSpan++
	return k.nextSpan
}

// moved returns the part of s that m gives to another holder, who waits for all that may hold it now.
func (k *Manager) moved(now time.Duration, s *span, from, to uint32, m move, fence uint64) *span {
	n := k.copySpan(s, from, to, k.freshID())
	next := holder{
		id:    m.upstream,
		born:  m.born,
		fence: fence,
	}
	if s.holder.id == m.upstream {
		// The same upstream with a higher fence holds on; nobody has to let go. Of two incarnations under one id only one runs, and the new
		// one may have taken grants that were meant for the old one.
		if s.holder.born != m.born {
			n.sure = 0
			n.failures = 0
			n.answered = now
			n.gone = false
		}
		if n.calling {
			n.unanswered = max(n.unanswered, k.lateEnd(now))
		}
		n.holder = next
		n.sent = 0
		n.calling = false
		return n
	}
	if s.holder.id != "" {
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
		// It never let go: what it was granted before counts on under its new fence.
		n.held = max(n.held, p.held)
		n.unanswered = max(n.unanswered, p.unanswered)
		if p.calling {
			n.unanswered = max(n.unanswered, k.lateEnd(now))
		}
	}
	n.priors = kept
	n.failures = 0
	n.answered = now
	n.gone = false
	n.moved = now
	return n
}

// lateEnd is the latest end of a grant that is on its way at now and whose answer will not be waited for.
func (k *Manager) lateEnd(now time.Duration) time.Duration {
	return now + k.config.CallTimeout + k.longest()
}

// mergeNew joins neighbours that were given to one holder under one fence.
func (k *Manager) mergeNew(spans []*span) []*span {
	merged := make([]*span, 0, len(spans))
	for _, s := range spans {
		if len(merged) > 0 && mayJoin(merged[len(merged)-1], s) {
			last := merged[len(merged)-1]
			joined := k.copySpan(last, last.from, s.to, last.id)
			joined.sure = min(last.sure, s.sure)
			joined.held = max(last.held, s.held)
			joined.unanswered = max(last.unanswered, s.unanswered)
			merged[len(merged)-1] = joined
			continue
		}
		merged = append(merged, s)
	}
	return merged
}

func mayJoin(a, b *span) bool {
	same := a.holder == b.holder && len(a.priors) == 0 && len(b.priors) == 0 && a.handover == b.handover
	return same && a.calling == b.calling && a.sent == b.sent
}

// Recorded reports that the assignment of the last Record stands in the store. The moves are applied to what is known now, which may
// have gone on since they were proposed.
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
	// Ranges that were moved have other numbers now.
	kept := map[uint64]bool{}
	for _, s := range k.spans {
		if k.raise[s.id] {
			kept[s.id] = true
		}
	}
	k.raise = kept
}

// NotRecorded reports that the assignment of the last Record is surely not in the store, and never will be.
func (k *Manager) NotRecorded() {
	k.proposal = nil
}

// Proposed reports whether the assignment of a term with a next fence is that of the last Record.
func (k *Manager) Proposed(term, nextFence uint64) bool {
	return k.proposal != nil && term == k.term && nextFence == k.proposal.nextFence
}

// sortMoves orders moves by their first key, so that equal states give equal plans.
func sortMoves(moves []move) {
	sort.Slice(moves, func(i, j int) bool { return moves[i].from < moves[j].from })
}
