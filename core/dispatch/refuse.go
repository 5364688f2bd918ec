package dispatch

import (
	"math"
	"time"
)

const (
	// waitMargin is the multiple of the expected wait that must fit before the objective for a request to be admitted. With 1.0, 6
	// of 100 long requests were refused after they had waited in a replay at 1.3 times the capacity, with 1.4 none.
	waitMargin = 1.4
	// minReturn and maxReturn bound Retry-After as parts of the time to the deadline. Callers that come back early can still be in
	// time; bursts last some seconds. returnSpread spreads the callers around the delay.
	minReturn, maxReturn = 0.08, 0.15
	returnSpread         = 0.3
	// fullReturn is the offered work in multiples of the capacity from which the longest delay is told.
	fullReturn = 1.5
)

// admitMixed reports whether a ticket that must wait may be queued: it is expected to be in time, or it is late but likely to be answered
// within the time that a late request may wait. Late ones get only what those in time leave, and nothing while a more urgent kind is served
// less often than theirs.
func (p *Pool) admitMixed(now time.Duration, t *Ticket, wait, work time.Duration) bool {
	if now+scale(wait, waitMargin)+work <= t.Objective {
		return true
	}
	if p.leading(t.kind) {
		return false
	}
	return wait <= scale(t.Deadline-now, lateWaitShare) && now+wait+2*work < t.Deadline
}

// load returns the recently offered work of the queue's kinds up to a level of urgency, in multiples of the capacity.
func (p *Pool) load(now time.Duration, q *queue, level int) float64 {
	_, capacity := p.factorOf(now, q.owner)
	offered := 0.0
	for i := range q.flows {
		f := &q.flows[i]
		f.update(now)
		if k := p.kinds.list[i]; k.key.priority <= level {
			offered += f.rate * k.mean.Seconds()
		}
	}
	return offered / max(capacity, 0.01)
}

// returnDelay returns the delay after which the caller of a refused ticket should come back: the longer, the more the offered work of
// kinds of its urgency exceeds the capacity, spread over callers so that they don't come back together.
func (p *Pool) returnDelay(now time.Duration, t *Ticket, q *queue, delay time.Duration) time.Duration {
	excess := min(max((p.load(now, q, t.level)-1)/(fullReturn-1), 0), 1)
	left := max(t.Deadline-now, 0)
	delay = min(max(delay, scale(left, minReturn+(maxReturn-minReturn)*excess)), scale(left, maxReturn))
	return max(scale(delay, 1+returnSpread*(2*spread(t.ID)-1)), minRetryAfter)
}

// spread returns a number from 0 to 1 that differs between tickets and is the same for each run.
func spread(id uint64) float64 {
	// The finalizer of SplitMix64 spreads consecutive numbers evenly.
	id = (id + 0x9e3779b97f4a7c15)
	id = (id ^ id>>30) * 0xbf58476d1ce4e5b9
	id = (id ^ id>>27) * 0x94d049bb133111eb
	return float64((id^id>>31)>>11) / math.Exp2(53)
}

// refuse refuses a ticket that was never queued.
func (p *Pool) refuse(now time.Duration, t *Ticket, reason Reason, wait, work time.Duration) {
	p.cancelQuota(t)
	p.uncountFair(t)
	delay := retryAfter(wait, work)
	switch {
	case reason == NoOwner:
		delay = DefaultOwnerWait
	case reason == TooLate && p.mixed:
		delay = p.returnDelay(now, t, p.queueFor(now, t), delay)
	}
	p.refusals = append(p.refusals, Decision{
		Ticket:     t,
		Reason:     reason,
		RetryAfter: delay,
	})
}

// minRetryAfter is the minimum Retry-After delay, a few round trips.
const minRetryAfter = 30 * time.Millisecond

// retryAfter returns the delay after which a retry may succeed, given the expected wait for a slot and the expected
// latency.
func retryAfter(wait, work time.Duration) time.Duration {
	return max(wait, work/2, minRetryAfter)
}
