package dispatch

import "time"

const (
	// zoneCost is the part by which an upstream of another zone counts as slower, for the bytes between zones.
	zoneCost = 0.1
	// bulkZoneCost is the same for bulk answers, whose bytes between zones cost as much as being a good part late.
	bulkZoneCost = 3
	// nearWait is the part of the time to the objective for which a bulk request waits for its own zone: a large answer between zones costs
	// about a quarter of what it is worth, and the wait leaves time for the work.
	nearWait = 0.15
	// ownerWait is how long a request waits for its key to get an owner: the time of a hand-over.
	ownerWait = 600 * time.Millisecond
	// lateWork is the part of the usual time that must be left before the objective for an answer to be likely within it: about three of
	// four answers take less than 1.2 of the mean where times spread by 0.3 to 0.8 of it.
	lateWork = 1.2
	// lateHold is the part of the time from arrival to deadline that a late request waits for what others leave.
	lateHold = 0.35
	// reserve is the part of an upstream's usual time that must be left before the deadline to send at all.
	reserve = 0.5
)

// Decide returns all tickets whose fate is known at now. Requests that can still be answered within their objective go first: where
// there are more than can be served, whoever would be late anyway waits for what they leave.
func (p *Pool) Decide(now time.Duration) []Decision {
	decisions := p.takeRefusals()
	if len(p.queue) == 0 {
		return decisions
	}
	placed := map[uint64]Decision{}
	for _, late := range []bool{false, true} {
		for _, t := range p.queue {
			if _, done := placed[t.ID]; done || p.late(now, t) != late {
				continue
			}
			if decision, decided := p.place(now, t); decided {
				placed[t.ID] = decision
			}
		}
	}
	kept := p.queue[:0]
	for _, t := range p.queue {
		decision, done := placed[t.ID]
		if !done {
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

// late reports whether t would miss its objective if it were sent now.
func (p *Pool) late(now time.Duration, t *Ticket) bool {
	owner, _ := p.owner(now, t)
	return now+time.Duration(lateWork*float64(p.work(owner))) > t.Objective
}

// work returns the usual time to an answer of the owner, or of all upstreams where owner is nil.
func (p *Pool) work(owner *upstream) time.Duration {
	if owner != nil {
		return owner.typical()
	}
	return p.usual()
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
		wait, work := p.expectedWait(now, t)
		return p.refusal(t, TooLate, max(wait, work/2, minRetryAfter)), true
	}
	return Decision{}, false
}

// hopeless reports whether t has waited for so long that it is turned away: no answer would come before its deadline, or it is late
// and has had its time to wait for room.
func (p *Pool) hopeless(now time.Duration, t *Ticket, owner *upstream) bool {
	if now+p.work(owner) > t.Deadline {
		return true
	}
	return p.late(now, t) && now-t.arrived > time.Duration(lateHold*float64(t.Deadline-t.arrived))
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
	near := t.Bulk && p.waitsNear(now, t)
	for _, u := range p.order {
		if u.free(now, p) <= 0 || (near && u.state.Zone != t.Zone) {
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

// waitsNear reports whether a bulk request goes on waiting for an upstream of its own zone.
func (p *Pool) waitsNear(now time.Duration, t *Ticket) bool {
	if now-t.arrived > time.Duration(nearWait*float64(t.Objective-t.arrived)) {
		return false
	}
	for _, u := range p.order {
		if u.state.Zone == t.Zone && u.state.Usable && now >= u.blockedUntil {
			return true
		}
	}
	return false
}
