package ownership_test

import (
	"fmt"
	"time"

	"cuminlift/schema"
)

// holder is a fake upstream: it accepts fenced grants and lets them lapse by its own clock.
type holder struct {
	name        string
	zone        string
	incarnation int
	fence       uint64
	set         uint64
	ranges      []*schema.Range
	expires     time.Duration
	dead        bool
	frozen      bool
	out         bool
	ppm         int64
	inbox       []*message
}

func (h *holder) owns(now time.Duration, hash uint64) bool {
	if h.dead || h.clock(now) >= h.expires {
		return false
	}
	for _, r := range h.ranges {
		if r.GetStart() <= hash && hash <= r.GetEnd() {
			return true
		}
	}
	return false
}

func (w *world) take(h *holder, m *message) {
	g := m.grant
	accepted := g.GetIncarnation() == fmt.Sprint(h.incarnation) && g.GetFence() >= h.fence
	if w.mutant.ignoreFence {
		accepted = true
	}
	if g.GetRenews() != 0 && g.GetRenews() != h.set {
		accepted = false
	}
	if accepted && g.GetTtlMs() > 0 {
		h.fence = g.GetFence()
		if g.GetRenews() == 0 {
			h.ranges = g.GetRanges()
			h.set++
		}
		from := time.Duration(g.GetStamp()) * time.Millisecond
		if w.mutant.delayedTTL {
			from = h.clock(w.now)
		}
		h.expires = from + time.Duration(g.GetTtlMs())*time.Millisecond
	}
	w.note("%v %s takes (%t) from entry-%d fence %d stamp %d ttl %d until %v: %v", w.now, h.name, accepted, m.from, g.GetFence(),
		g.GetStamp(), g.GetTtlMs(), h.expires, g.GetRanges())
	w.answer(m, &schema.OwnershipEvent{
		Kind: schema.EventKind_replied,
		Reply: &schema.GrantReply{
			Upstream:    h.name,
			Incarnation: fmt.Sprint(h.incarnation),
			Fence:       h.fence,
			Stamp:       h.clock(w.now).Milliseconds(),
			Accepted:    accepted,
			Set:         h.set,
			Sequence:    g.GetSequence(),
		},
	})
}

// restart makes the holder a new process that has forgotten everything.
func (h *holder) restart() {
	h.incarnation++
	h.fence = 0
	h.set = 0
	h.ranges = nil
	h.expires = 0
	h.dead = false
	h.inbox = nil
}

func (w *world) thaw(h *holder) {
	h.frozen = false
	inbox := h.inbox
	h.inbox = nil
	for _, m := range inbox {
		w.take(h, m)
		w.check()
	}
}
