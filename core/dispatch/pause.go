package dispatch

import "time"

// pauses holds until when an upstream wants no requests from single instances. The zero value is empty.
type pauses struct {
	until map[string]time.Duration
}

// set records at now that the upstream wants nothing from instance for a time.
func (s *pauses) set(now time.Duration, instance string, pause time.Duration) {
	if pause <= 0 {
		return
	}
	for other, until := range s.until {
		if until <= now {
			delete(s.until, other)
		}
	}
	if s.until == nil {
		s.until = map[string]time.Duration{}
	}
	s.until[instance] = max(s.until[instance], now+pause)
}

// remaining returns for how long the upstream wants nothing from instance.
func (s *pauses) remaining(now time.Duration, instance string) time.Duration {
	return max(0, s.until[instance]-now)
}

// shortest returns how long it takes until some instance may send, as far as known: 0 while no more than one pauses.
func (s *pauses) shortest(now time.Duration) time.Duration {
	count, shortest := 0, time.Duration(0)
	for _, until := range s.until {
		if until <= now {
			continue
		}
		if count == 0 || until-now < shortest {
			shortest = until - now
		}
		count++
	}
	if count < 2 {
		return 0
	}
	return shortest
}

// pauseOf returns how long t must wait because the upstreams that may run it want nothing from its instance, and how long it would
// take if it came through another one.
func (p *Pool) pauseOf(now time.Duration, t *Ticket, q *queue) (own, others time.Duration) {
	if now >= p.pausedUntil || q.unowned {
		return 0, 0
	}
	if q.owner != nil {
		return q.owner.closedFor(now, t.Instance), q.owner.pauses.shortest(now)
	}
	first := true
	for _, u := range p.sorted {
		if !u.state.Usable {
			continue
		}
		ownPause, otherPause := u.closedFor(now, t.Instance), u.pauses.shortest(now)
		if ownPause == 0 {
			return 0, 0
		}
		if first {
			own, others = ownPause, otherPause
		}
		own, others = min(own, ownPause), min(others, otherPause)
		first = false
	}
	return own, others
}

// setPause records at now that an upstream wants nothing from instance for a time.
func (p *Pool) setPause(now time.Duration, u *upstream, instance string, pause time.Duration) {
	u.pauses.set(now, instance, pause)
	p.pausedUntil = max(p.pausedUntil, now+pause)
}
