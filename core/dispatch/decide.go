package dispatch

import "time"

const (
	// crossZonePenalty is the relative latency penalty of an upstream in another zone, for the cost of traffic between
	// zones.
	crossZonePenalty = 0.1
	// bulkCrossZonePenalty is the same penalty for bulk responses, whose traffic between zones costs as much as a
	// considerable delay.
	bulkCrossZonePenalty = 3
	// avoidPenalty is the factor applied to the estimated latency of the upstream that handled the previous attempt.
	// That upstream is selected again only if all others are full or much slower.
	avoidPenalty = 8
	// localZoneWait is the fraction of the time to the objective for which a bulk request waits for an upstream in its
	// own zone. Sending a large response between zones costs about a quarter of its value; the limit leaves enough time
	// for the work itself.
	localZoneWait = 0.15
	// DefaultOwnerWait is how long a request waits for its key to get an owner. It covers the duration of a handover.
	DefaultOwnerWait = 600 * time.Millisecond
	// lateMargin is the multiple of the expected latency that must remain before the objective for a response to count
	// as on time. With a standard deviation of 0.3 to 0.8 of the mean, about three of four responses take less than 1.2
	// times the mean.
	lateMargin = 1.2
	// lateWaitShare is the fraction of the time from arrival to deadline for which a late request waits for spare
	// capacity.
	lateWaitShare = 0.35
	// minRemainingShare is the fraction of an upstream's typical latency that must remain before the deadline for a
	// request to be sent at all.
	minRemainingShare = 0.5
)

// sweepInterval is the time between scans of all queues for changes that depend on time alone. Queues marked dirty are
// processed on every call.
const sweepInterval = 10 * time.Millisecond

// Decide returns every ticket that can be dispatched or refused at now. Requests that can still meet their objective go
// first; under overload, requests that would be late anyway get the remaining capacity.
func (p *Pool) Decide(now time.Duration) []Decision {
	decisions := p.takeRefusals()
	sweeps := now-p.lastSweep >= sweepInterval
	if sweeps {
		p.lastSweep = now
		for _, q := range p.queues() {
			p.requeueMoved(now, q)
			p.markDirty(q)
		}
	}
	// Requeuing a ticket whose key changed owner marks another queue dirty, so the list may grow during the loop.
	for i := 0; i < len(p.dirty); i++ {
		q := p.dirty[i]
		q.dirty = false
		decisions = p.dispatchQueue(now, q, decisions)
	}
	p.dirty = p.dirty[:0]
	if sweeps {
		for _, q := range p.queues() {
			decisions = p.refuseOverdue(now, q, decisions)
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

// dispatchQueue sends as many tickets of a queue as the upstreams have capacity for.
func (p *Pool) dispatchQueue(now time.Duration, q *queue, decisions []Decision) []Decision {
	if p.mixed {
		return p.dispatchMixed(now, q, decisions)
	}
	saturated := p.saturated(now, q)
	for _, late := range []bool{false, true} {
		for i := 0; i < len(q.tickets) && !saturated; {
			t := q.tickets[i]
			if p.late(now, t, q.owner) != late {
				i++
				continue
			}
			if p.requeue(now, t) {
				continue
			}
			v := p.verdict(now, t)
			if v.Quarantine > 0 {
				p.dequeue(t)
				decisions = append(decisions, Decision{
					Ticket:     t,
					Reason:     Quarantined,
					RetryAfter: v.Quarantine,
				})
				continue
			}
			u := q.owner
			if u == nil {
				u = p.selectUpstream(now, t, v.Suspected)
			}
			if u == nil || (v.Suspected && !p.mayTry(t, u)) || u.closedFor(now, t.Instance) > 0 || !p.mayHold(now, t, u) || now+time.Duration(minRemainingShare*float64(u.typicalLatency())) >= t.Deadline {
				i++
				continue
			}
			decisions = append(decisions, p.send(now, t, u, v.Suspected))
			saturated = p.saturated(now, q)
		}
	}
	return decisions
}

// saturated reports whether none of the upstreams that may run the queue's tickets has a free slot.
func (p *Pool) saturated(now time.Duration, q *queue) bool {
	if q.unowned {
		return true
	}
	if q.owner != nil {
		return q.owner.freeSlots(now, p) <= 0
	}
	for _, u := range p.sorted {
		if u.freeSlots(now, p) > 0 {
			return false
		}
	}
	return true
}

// mayTry reports whether u may run a suspect now: neither is it tried elsewhere, nor does u try another one.
func (p *Pool) mayTry(t *Ticket, u *upstream) bool {
	return u.trials == 0 && !p.config.Suspects.inTrial(t.Identity)
}

func (p *Pool) send(now time.Duration, t *Ticket, u *upstream, suspected bool) Decision {
	workspace := p.chargeQuota(now, t)
	t.fairGap = 0
	p.dequeue(t)
	granted := assignment{
		upstream:    u,
		incarnation: u.state.Incarnation,
		sent:        now,
		instance:    t.Instance,
		identity:    t.Identity,
		trial:       suspected,
		workspace:   workspace,
		held:        u.hold(t),
	}
	p.predict(now, t, &granted)
	u.recordSend(now, t.ID, p)
	p.running[t.ID] = granted
	if suspected {
		u.trials++
		p.config.Suspects.beginTrial(t.Identity)
	}
	return Decision{
		Ticket:   t,
		Upstream: u.state.ID,
		Address:  u.state.Address,

		Incarnation: u.state.Incarnation,
	}
}

// refuseOverdue refuses the tickets that have waited too long in a queue.
func (p *Pool) refuseOverdue(now time.Duration, q *queue, decisions []Decision) []Decision {
	for i := 0; i < len(q.tickets); {
		t := q.tickets[i]
		decision := Decision{
			Ticket: t,
		}
		switch {
		case q.unowned && (now-t.arrived > p.ownerWait || now >= t.Deadline):
			decision.Reason = NoOwner
			decision.RetryAfter = DefaultOwnerWait
		case !q.unowned && p.overdue(now, t, q.owner):
			decision.Reason = TooLate
			wait, work := p.expectedWait(now, t, q)
			_, others := p.pauseOf(now, t, q)
			decision.RetryAfter = retryAfter(max(wait, others), work)
			if p.mixed {
				decision.RetryAfter = p.returnDelay(now, t, q, decision.RetryAfter)
			}
		default:
			i++
			continue
		}
		p.dequeue(t)
		decisions = append(decisions, decision)
	}
	return decisions
}

// late reports whether t would miss its objective if it were sent now to owner, or to any upstream if owner is nil.
func (p *Pool) late(now time.Duration, t *Ticket, owner *upstream) bool {
	if p.mixed {
		return p.lateMixed(now, t, owner)
	}
	return now+time.Duration(lateMargin*float64(p.expectedLatency(now, owner))) > t.Objective
}

// expectedLatency returns the typical latency of owner, or the median latency of all upstreams if owner is nil.
func (p *Pool) expectedLatency(now time.Duration, owner *upstream) time.Duration {
	if owner != nil {
		return owner.typicalLatency()
	}
	return p.medianLatency(now)
}

func (p *Pool) takeRefusals() []Decision {
	refusals := p.refusals
	p.refusals = nil
	return refusals
}

// overdue reports whether t must be refused: either it can no longer be answered before its deadline, or it is late and
// has used up the time that a late request may wait for a slot.
func (p *Pool) overdue(now time.Duration, t *Ticket, owner *upstream) bool {
	expected := p.expectedLatency(now, owner)
	if p.mixed {
		expected = p.expectedAt(now, t, owner)
	}
	if now+expected > t.Deadline {
		return true
	}
	return p.late(now, t, owner) && now-t.arrived > time.Duration(lateWaitShare*float64(t.Deadline-t.arrived))
}

// selectUpstream returns the upstream with a free slot and the lowest estimated latency including penalties, or nil if
// none has a free slot. A suspect goes to one that tries no other.
func (p *Pool) selectUpstream(now time.Duration, t *Ticket, suspected bool) *upstream {
	var best *upstream
	var bestCost float64
	medianLatency := p.medianLatency(now)
	localOnly := t.Bulk && p.waitsForLocalZone(now, t)
	for _, u := range p.sorted {
		if !p.mayReceive(now, t, u, suspected, localOnly) {
			continue
		}
		cost := t.penalize(u, float64(u.estimateLatency(now, medianLatency)))
		if best == nil || cost < bestCost {
			best = u
			bestCost = cost
		}
	}
	return best
}

// mayReceive reports whether u may be sent t now. A suspect goes to one that tries no other.
func (p *Pool) mayReceive(now time.Duration, t *Ticket, u *upstream, suspected, localOnly bool) bool {
	if u.freeSlots(now, p) <= 0 || (suspected && u.trials > 0) || (localOnly && u.state.Zone != t.Zone) {
		return false
	}
	return u.closedFor(now, t.Instance) <= 0 && p.mayHold(now, t, u)
}

// penalize returns the cost of t at u with the penalties for another zone and for the upstream of the previous attempt.
func (t *Ticket) penalize(u *upstream, cost float64) float64 {
	if u.state.Zone != t.Zone {
		if t.Bulk {
			cost *= 1 + bulkCrossZonePenalty
		} else {
			cost *= 1 + crossZonePenalty
		}
	}
	if u.state.ID == t.Avoid {
		cost *= avoidPenalty
	}
	return cost
}

// waitsForLocalZone reports whether a bulk request keeps waiting for an upstream in its own zone.
func (p *Pool) waitsForLocalZone(now time.Duration, t *Ticket) bool {
	if now-t.arrived > time.Duration(localZoneWait*float64(t.Objective-t.arrived)) {
		return false
	}
	for _, u := range p.sorted {
		if u.state.Zone == t.Zone && u.state.Usable && now >= u.blockedUntil {
			return true
		}
	}
	return false
}
