package dispatch

import "time"

const (
	// zoneCost is the part by which an upstream of another zone counts as slower, for the bytes between zones.
	zoneCost = 0.1
	// bulkZoneCost is the same for bulk answers, whose bytes between zones cost as much as being a good part late.
	bulkZoneCost = 3
	// avoidCost is the factor by which the upstream of the last attempt counts as slower: it is asked again only where all others are full or
	// far worse.
	avoidCost = 8
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

// sweepStep is the time between looks at all that waits, for what depends on time alone. Lanes to which something happened are looked at
// with each call.
const sweepStep = 10 * time.Millisecond

// Decide returns all tickets whose fate is known at now. Requests that can still be answered within their objective go first: where
// there are more than can be served, whoever would be late anyway waits for what they leave.
func (p *Pool) Decide(now time.Duration) []Decision {
	decisions := p.takeRefusals()
	sweeps := now-p.swept >= sweepStep
	if sweeps {
		p.swept = now
		for _, l := range p.lanes() {
			p.rehome(now, l)
			p.mark(l)
		}
	}
	// A ticket whose key has another owner by now makes another lane dirty: the list may grow.
	for i := 0; i < len(p.dirty); i++ {
		l := p.dirty[i]
		l.dirty = false
		decisions = p.serve(now, l, decisions)
	}
	p.dirty = p.dirty[:0]
	if sweeps {
		for _, l := range p.lanes() {
			decisions = p.turnAway(now, l, decisions)
		}
	}
	for _, d := range decisions {
		if d.Upstream == "" {
			p.refused++
		} else {
			p.sent++
		}
	}
	return decisions
}

// serve places what it can of a lane.
func (p *Pool) serve(now time.Duration, l *lane, decisions []Decision) []Decision {
	full := p.full(now, l)
	for _, late := range []bool{false, true} {
		for i := 0; i < len(l.tickets) && !full; {
			t := l.tickets[i]
			if p.late(now, t, l.owner) != late {
				i++
				continue
			}
			if p.moved(now, t) {
				continue
			}
			u := l.owner
			if u == nil {
				u = p.choose(now, t)
			}
			if u == nil || now+time.Duration(reserve*float64(u.typical())) >= t.Deadline {
				i++
				continue
			}
			decisions = append(decisions, p.send(now, t, u))
			full = p.full(now, l)
		}
	}
	return decisions
}

// full reports whether nobody who may run the lane's tickets has room.
func (p *Pool) full(now time.Duration, l *lane) bool {
	if l.ownerless {
		return true
	}
	if l.owner != nil {
		return l.owner.free(now, p) <= 0
	}
	for _, u := range p.order {
		if u.free(now, p) > 0 {
			return false
		}
	}
	return true
}

func (p *Pool) send(now time.Duration, t *Ticket, u *upstream) Decision {
	p.leave(t)
	u.sent(now, t.ID)
	p.running[t.ID] = u
	return Decision{
		Ticket:   t,
		Upstream: u.state.ID,
		Address:  u.state.Address,
	}
}

// turnAway refuses what has waited in a lane for too long.
func (p *Pool) turnAway(now time.Duration, l *lane, decisions []Decision) []Decision {
	for i := 0; i < len(l.tickets); {
		t := l.tickets[i]
		decision := Decision{
			Ticket: t,
		}
		switch {
		case l.ownerless && (now-t.arrived > ownerWait || now >= t.Deadline):
			decision.Reason = NoOwner
			decision.RetryAfter = ownerWait
		case !l.ownerless && p.hopeless(now, t, l.owner):
			decision.Reason = TooLate
			decision.RetryAfter = comeBack(p.expectedWait(now, t, l))
		default:
			i++
			continue
		}
		p.leave(t)
		decisions = append(decisions, decision)
	}
	return decisions
}

// late reports whether t would miss its objective if it were sent now to owner, or to any upstream where owner is nil.
func (p *Pool) late(now time.Duration, t *Ticket, owner *upstream) bool {
	return now+time.Duration(lateWork*float64(p.work(now, owner))) > t.Objective
}

// work returns the usual time to an answer of the owner, or of all upstreams where owner is nil.
func (p *Pool) work(now time.Duration, owner *upstream) time.Duration {
	if owner != nil {
		return owner.typical()
	}
	return p.usual(now)
}

func (p *Pool) takeRefusals() []Decision {
	refusals := p.refusals
	p.refusals = nil
	return refusals
}

// hopeless reports whether t has waited for so long that it is turned away: no answer would come before its deadline, or it is late
// and has had its time to wait for room.
func (p *Pool) hopeless(now time.Duration, t *Ticket, owner *upstream) bool {
	if now+p.work(now, owner) > t.Deadline {
		return true
	}
	return p.late(now, t, owner) && now-t.arrived > time.Duration(lateHold*float64(t.Deadline-t.arrived))
}

// choose returns the upstream that is expected to answer t first, or nil where none has room.
func (p *Pool) choose(now time.Duration, t *Ticket) *upstream {
	var best *upstream
	var bestCost float64
	usual := p.usual(now)
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
			cost *= avoidCost
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
