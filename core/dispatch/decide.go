package dispatch

import "time"

const (
	// zoneCost is the part by which an upstream of another zone counts as slower, for the bytes between zones.
	zoneCost = 0.1
	// bulkZoneCost is the same for bulk answers, whose bytes between zones cost as much as being a good part late.
	bulkZoneCost = 3
	// ownerWait is how long a request waits for its key to get an owner: the time of a hand-over.
	ownerWait = 600 * time.Millisecond
	// reserve is the part of an upstream's usual time that must be left before the deadline to send at all.
	reserve = 0.5
)

// Decide returns all tickets whose fate is known at now.
func (p *Pool) Decide(now time.Duration) []Decision {
	decisions := p.refusals
	p.refusals = nil
	kept := p.queue[:0]
	for _, t := range p.queue {
		decision, decided := p.place(now, t)
		if !decided {
			kept = append(kept, t)
			continue
		}
		decisions = append(decisions, decision)
	}
	for i := len(kept); i < len(p.queue); i++ {
		p.queue[i] = nil
	}
	p.queue = kept
	return append(decisions, p.takeRefusals()...)
}

func (p *Pool) takeRefusals() []Decision {
	refusals := p.refusals
	p.refusals = nil
	return refusals
}

func (p *Pool) place(now time.Duration, t *Ticket) (Decision, bool) {
	owner, owned := p.owner(now, t)
	if !owned {
		if now-t.arrived > ownerWait || now >= t.Deadline {
			return p.refusal(t, NoOwner, ownerWait), true
		}
		return Decision{}, false
	}
	u := owner
	if u == nil {
		u = p.choose(now, t)
	} else if u.free(now, p) <= 0 {
		u = nil
	}
	if u != nil && now+time.Duration(reserve*float64(u.typical())) < t.Deadline {
		u.sent(now, t.ID)
		p.running[t.ID] = u
		return Decision{
			Ticket:   t,
			Upstream: u.state.ID,
			Address:  u.state.Address,
		}, true
	}
	if p.hopeless(now, t, owner) {
		return p.refusal(t, TooLate, minRetryAfter), true
	}
	return Decision{}, false
}

// hopeless reports whether t has waited for so long that it is turned away: no answer before its deadline, or one that
// is late and keeps others waiting.
func (p *Pool) hopeless(now time.Duration, t *Ticket, owner *upstream) bool {
	work := p.usual()
	if owner != nil {
		work = owner.typical()
	}
	if now+work > t.Deadline {
		return true
	}
	return now+work/2 > t.Objective && now-t.arrived > work*lateWaits
}

func (p *Pool) refusal(t *Ticket, reason Reason, after time.Duration) Decision {
	return Decision{
		Ticket:     t,
		Reason:     reason,
		RetryAfter: after,
	}
}

// choose returns the upstream that is expected to answer t first, or nil where none has room.
func (p *Pool) choose(now time.Duration, t *Ticket) *upstream {
	var best *upstream
	var bestCost float64
	usual := p.usual()
	for _, u := range p.order {
		if u.free(now, p) <= 0 {
			continue
		}
		cost := float64(u.expected(now, usual))
		if u.state.Zone != t.Zone {
			if t.Bulk {
				cost *= 1 + bulkZoneCost
			} else {
				cost *= 1 + zoneCost
			}
		}
		if u.state.ID == t.Avoid {
			cost *= 8
		}
		if best == nil || cost < bestCost {
			best = u
			bestCost = cost
		}
	}
	return best
}
