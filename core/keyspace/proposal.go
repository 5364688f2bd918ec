package keyspace

import (
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	"cuminlift/schema"
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

func (k *Keeper) propose(now time.Duration, moves []move) *proposal {
	p := &proposal{
		moves: moves,
	}
	p.spans, p.nextFence = k.apply(now, moves)
	return p
}

// apply returns the spans after moves. The present ones stay unchanged.
func (k *Keeper) apply(now time.Duration, moves []move) ([]*span, uint64) {
	fence := k.nextFence
	spans := make([]*span, 0, len(k.spans)+2*len(moves))
	for _, s := range k.spans {
		spans = append(spans, k.copySpan(s, s.from, s.to, s.id))
	}
	for _, m := range moves {
		var next []*span
		for _, s := range spans {
			next = append(next, k.moveWithin(now, s, m, fence)...)
		}
		spans = next
		fence++
	}
	return k.mergeNew(spans), fence
}

func (k *Keeper) copySpan(s *span, from, to uint32, id uint64) *span {
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

// moveWithin returns the parts of s after m.
func (k *Keeper) moveWithin(now time.Duration, s *span, m move, fence uint64) []*span {
	if m.to < s.from || m.from > s.to {
		return []*span{s}
	}
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

func (k *Keeper) freshID() uint64 {
	k.nextSpan++
	return k.nextSpan
}

// moved returns the part of s that m gives to another holder, who waits for all that may hold it now.
func (k *Keeper) moved(now time.Duration, s *span, from, to uint32, m move, fence uint64) *span {
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
func (k *Keeper) lateEnd(now time.Duration) time.Duration {
	return now + k.config.CallLimit + k.longest()
}

// mergeNew joins neighbours that were given to one holder under one fence.
func (k *Keeper) mergeNew(spans []*span) []*span {
	var merged []*span
	for _, s := range spans {
		if len(merged) > 0 {
			last := merged[len(merged)-1]
			same := last.holder == s.holder && len(last.priors) == 0 && len(s.priors) == 0 && last.handover == s.handover
			if same && last.calling == s.calling && last.sent == s.sent {
				last.to = s.to
				last.sure = min(last.sure, s.sure)
				last.held = max(last.held, s.held)
				last.unanswered = max(last.unanswered, s.unanswered)
				continue
			}
		}
		merged = append(merged, s)
	}
	return merged
}

func (k *Keeper) document(p *proposal) *schema.Assignment {
	return &schema.Assignment{
		Term:      k.term,
		NextFence: p.nextFence,
		Ranges:    ranges(p.spans),
	}
}

func ranges(spans []*span) []*schema.KeyRange {
	list := make([]*schema.KeyRange, 0, len(spans))
	for _, s := range spans {
		r := &schema.KeyRange{
			From:   s.from,
			To:     s.to,
			Holder: s.holder.message(),
		}
		for _, p := range s.priors {
			r.Priors = append(r.Priors, p.holder.message())
		}
		list = append(list, r)
	}
	return list
}

func (h holder) message() *schema.KeyHolder {
	return &schema.KeyHolder{
		Upstream: h.id,
		Born:     h.born,
		Fence:    h.fence,
	}
}

// Recorded reports that the assignment of the last Record stands in the store. The moves are applied to what is known now, which may
// have gone on since they were proposed.
func (k *Keeper) Recorded(now time.Duration) {
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
	for id := range k.raise {
		if k.byID(id) == nil {
			delete(k.raise, id)
		}
	}
}

// NotRecorded reports that the assignment of the last Record is surely not in the store, and never will be.
func (k *Keeper) NotRecorded() {
	k.proposal = nil
}

// Proposed reports whether recorded is the assignment of the last Record.
func (k *Keeper) Proposed(recorded *schema.Assignment) bool {
	return k.proposal != nil && proto.Equal(k.document(k.proposal), recorded)
}

// sortMoves orders moves by their first key, so that equal states give equal plans.
func sortMoves(moves []move) {
	sort.Slice(moves, func(i, j int) bool { return moves[i].from < moves[j].from })
}
