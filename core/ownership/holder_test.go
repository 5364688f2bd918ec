package ownership_test

import (
	"fmt"
	"time"

	"cuminlift/schema"
)

// holder is a fake upstream. It accepts fenced grants and lets them expire by its own clock.
type holder struct {
	name        string
	zone        string
	incarnation int
	fence       uint64
	rangeSet    uint64
	ranges      []*schema.Range
	expires     time.Duration
	dead        bool
	frozen      bool
	out         bool
	clockPPM    int64
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

func (sm *simulation) receiveGrant(h *holder, m *message) {
	g := m.grant
	accepted := g.GetIncarnation() == fmt.Sprint(h.incarnation) && g.GetFence() >= h.fence
	if sm.mutant.ignoreFence {
		accepted = true
	}
	if g.GetRenews() != 0 && g.GetRenews() != h.rangeSet {
		accepted = false
	}
	if accepted && g.GetTtlMs() > 0 {
		h.fence = g.GetFence()
		if g.GetRenews() == 0 {
			h.ranges = g.GetRanges()
			h.rangeSet++
		}
		from := time.Duration(g.GetStamp()) * time.Millisecond
		if sm.mutant.delayedTTL {
			from = h.clock(sm.now)
		}
		h.expires = from + time.Duration(g.GetTtlMs())*time.Millisecond
	}
	sm.logf("%v %s gets a grant (accepted: %t) from entry-%d: fence %d stamp %d ttl %d until %v: %v", sm.now, h.name, accepted, m.from, g.GetFence(),
		g.GetStamp(), g.GetTtlMs(), h.expires, g.GetRanges())
	sm.reply(m, &schema.OwnershipEvent{
		Kind: schema.EventKind_replied,
		Reply: &schema.GrantReply{
			Upstream:    h.name,
			Incarnation: fmt.Sprint(h.incarnation),
			Fence:       h.fence,
			Stamp:       h.clock(sm.now).Milliseconds(),
			Accepted:    accepted,
			Set:         h.rangeSet,
			Sequence:    g.GetSequence(),
		},
	})
}

// restart replaces the holder with a new process that has no state.
func (h *holder) restart() {
	h.incarnation++
	h.fence = 0
	h.rangeSet = 0
	h.ranges = nil
	h.expires = 0
	h.dead = false
	h.inbox = nil
}

func (sm *simulation) unfreeze(h *holder) {
	h.frozen = false
	inbox := h.inbox
	h.inbox = nil
	for _, m := range inbox {
		sm.receiveGrant(h, m)
		sm.checkOverlap()
	}
}
