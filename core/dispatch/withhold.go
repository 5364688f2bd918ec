package dispatch

import "time"

// Withhold makes the pool grant an instance no tickets for an upstream for a time. The instance has returned one, because its tables
// exclude the upstream.
func (p *Pool) Withhold(now time.Duration, instance, id string, pause time.Duration) {
	if u := p.upstreams[id]; u != nil {
		u.withheld.set(now, instance, pause)
		p.pausedUntil = max(p.pausedUntil, now+pause)
	}
}

// Readmit ends what Withhold has begun.
func (p *Pool) Readmit(instance, id string) {
	if u := p.upstreams[id]; u != nil {
		delete(u.withheld.until, instance)
	}
}

// closedFor returns for how long an instance gets no tickets for the upstream, because the upstream wants none or because tickets are
// withheld.
func (u *upstream) closedFor(now time.Duration, instance string) time.Duration {
	return max(u.pauses.remaining(now, instance), u.withheld.remaining(now, instance))
}
