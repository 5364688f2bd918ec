package dispatch

import (
	"math"
	"time"
)

// dispatchMixed sends as many tickets of a queue as the upstreams have capacity for, in the order that setOrder describes.
func (p *Pool) dispatchMixed(now time.Duration, q *queue, decisions []Decision) []Decision {
	for begin := 0; begin < len(q.tickets); {
		level := q.tickets[begin].level
		if !p.hasOpenSlot(now, q, level) {
			return decisions
		}
		end := 0
		p.held = 0
		for _, late := range []bool{false, true} {
			end = begin
			for end < len(q.tickets) && q.tickets[end].level == level {
				t := q.tickets[end]
				if p.lateMixed(now, t, q.owner) != late {
					end++
					continue
				}
				if p.requeue(now, t) {
					continue
				}
				decision, decided := p.dispatchTicket(now, t, q)
				if !decided {
					end++
					continue
				}
				decisions = append(decisions, decision)
				if len(q.tickets) == 0 || !p.hasOpenSlot(now, q, level) {
					return decisions
				}
			}
		}
		begin = end
	}
	return decisions
}

// dispatchTicket sends or refuses a ticket, or reports false if it must wait.
func (p *Pool) dispatchTicket(now time.Duration, t *Ticket, q *queue) (Decision, bool) {
	v := p.verdict(now, t)
	if v.Quarantine > 0 {
		p.dequeue(t)
		return Decision{
			Ticket:     t,
			Reason:     Quarantined,
			RetryAfter: v.Quarantine,
		}, true
	}
	u := q.owner
	if u == nil {
		u = p.place(now, t, v.Suspected)
	}
	if u == nil || (v.Suspected && !p.mayTry(t, u)) || u.closedFor(now, t.Instance) > 0 || !p.mayHold(now, t, u) {
		return Decision{}, false
	}
	mean, _ := t.kind.expect(now, t)
	if !u.acceptsExtra(now, p, mean) || now+scale(mean, minRemainingShare*u.factor(now, p)) >= t.Deadline {
		return Decision{}, false
	}
	return p.send(now, t, u, v.Suspected), true
}

const (
	// maxHeld bounds the tickets of a level that wait for a faster upstream; further ones are sent. Hundreds may wait while a slow
	// upstream is free, and each trial looks at all upstreams.
	maxHeld = 8
	// extraWait is the part of a request's own work that it may be expected to wait in the queue of an upstream. There it can be
	// neither moved nor overtaken.
	extraWait = 0.25
	// crowdShare is the part of the remaining work at an upstream, divided by its slots, that a further request is delayed by.
	crowdShare = 0.2
)

// acceptsExtra reports whether the upstream has a free slot, or one that is expected to be free in a part of work or by the time that a
// request sent now arrives. With short requests and slow messages, slots would otherwise be idle until the next request arrives.
func (u *upstream) acceptsExtra(now time.Duration, p *Pool, work time.Duration) bool {
	excess := len(u.running) - u.state.Slots + 1
	return excess <= 0 || time.Duration(excess)*u.remaining(now, p).soonest <= max(scale(work, extraWait), p.turnaround)
}

// turnaroundWeight is the weight of a new sample in the average, which covers some dozen answers.
const turnaroundWeight = 0.05

// recordTurnaround records the part of a request's time between grant and report that it did not spend at the upstream.
func (p *Pool) recordTurnaround(now time.Duration, granted assignment, took time.Duration) {
	sample := min(max(now-granted.sent-took, 0), time.Second)
	p.turnaround += scale(sample-p.turnaround, turnaroundWeight)
}

// place returns the upstream at which t is expected to be answered first, or nil if none has a free slot.
func (p *Pool) place(now time.Duration, t *Ticket, suspected bool) *upstream {
	var best *upstream
	bestCost := math.MaxFloat64
	mean, usual := t.kind.expect(now, t)
	localOnly := t.Bulk && p.waitsForLocalZone(now, t)
	for _, u := range p.sorted {
		if !p.mayReceive(now, t, u, suspected, localOnly) {
			continue
		}
		if !u.acceptsExtra(now, p, mean) {
			continue
		}
		cost := t.penalize(u, u.placementCost(now, p, mean))
		if cost < bestCost {
			best = u
			bestCost = cost
		}
	}
	if best != nil && p.held < maxHeld && p.waitsForFaster(now, t, best, usual) {
		p.held++
		return nil
	}
	return best
}

// placementCost returns the time in which a request is expected to be answered by the upstream, counting failures as retries.
func (u *upstream) placementCost(now time.Duration, p *Pool, work time.Duration) float64 {
	b := u.remaining(now, p)
	factor := b.factor
	if u.speed.Unknown() || now-u.lastSent > measurementTTL {
		// Only sending requests reveals the actual speed.
		factor = min(factor, unknownLatencyFactor)
	}
	cost := factor * float64(work)
	if slots := u.state.Slots; slots > 0 {
		cost += crowdShare * float64(b.total) / float64(slots)
	}
	if excess := len(u.running) - u.state.Slots + 1; excess > 0 {
		cost += float64(excess) * float64(b.soonest)
	}
	return cost * (1 + failurePenalty*u.failureRate)
}

// waitsForFaster reports whether t would be late at u, but can still be in time at an upstream of average speed.
func (p *Pool) waitsForFaster(now time.Duration, t *Ticket, u *upstream, usual time.Duration) bool {
	factor, _ := p.usualFactor(now)
	return now+scale(usual, u.factor(now, p)) > t.Objective && now+scale(usual, factor) <= t.Objective
}
