package admission

import (
	"time"
)

const (
	// slowFactor is how many times the median an upstream's time is that counts as slow.
	slowFactor = 3
	// probePeriod is how often a slow upstream gets a request to see whether it has recovered.
	probePeriod = 500 * time.Millisecond
)

// Poll returns what can be dispatched now, and what has waited too long.
func (p *Pool) Poll(now time.Duration) Decisions {
	p.now = max(p.now, now)
	var d Decisions
	for name, q := range p.queues {
		p.drop(q, &d)
		if name == "" {
			p.dispatchShared(q, &d)
			continue
		}
		p.dispatchOwned(name, q, &d)
	}
	p.hedge(&d)
	return d
}

// drop refuses tickets whose deadline can't be met any more, and those that wait for an upstream that is not there.
func (p *Pool) drop(q *queue, d *Decisions) {
	for {
		t := q.first()
		if t == nil {
			return
		}
		reason, drop := p.hopeless(t)
		if !drop {
			return
		}
		q.take()
		p.waiting--
		d.Refusals = append(d.Refusals, p.refuse(t, reason))
	}
}

func (p *Pool) hopeless(t *Ticket) (Reason, bool) {
	if p.stop {
		return Stopping, true
	}
	if p.now+p.typicalOf(t.Upstream)/2 >= t.Deadline {
		return TooLate, true
	}
	if p.now-t.arrived >= p.config.HoldLimit && !p.anyUsable(t.Upstream) {
		return NoUpstream, true
	}
	return 0, false
}

func (p *Pool) anyUsable(name string) bool {
	for n, u := range p.upstreams {
		if (name == "" || n == name) && u.state.Usable && !u.state.Leaving {
			return true
		}
	}
	return false
}

func (p *Pool) dispatchOwned(name string, q *queue, d *Decisions) {
	u := p.upstreams[name]
	for u != nil && q.Len() > 0 && u.free(p.now, p.config) > 0 {
		p.dispatch(q.take(), name, d)
	}
}

func (p *Pool) dispatchShared(q *queue, d *Decisions) {
	for q.Len() > 0 {
		name := p.choose(q.first(), q.Len())
		if name == "" {
			return
		}
		p.dispatch(q.take(), name, d)
	}
}

func (p *Pool) dispatch(t *Ticket, name string, d *Decisions) {
	p.waiting--
	t.Attempts++
	p.start(t, name)
	d.Dispatches = append(d.Dispatches, Dispatch{
		Ticket:   t,
		Upstream: name,
	})
}

func (p *Pool) start(t *Ticket, name string) {
	u := p.upstreams[name]
	u.running[t.ID] = p.now
	u.rampLast = p.now
	t.avoid = name
	p.running[t.ID] = t
	p.copies[t.ID]++
}

// choose returns the upstream for t, or "" where waiting is better. waiting counts the tickets in t's queue.
func (p *Pool) choose(t *Ticket, waiting int) string {
	if p.config.RoundRobin {
		return p.chooseRoundRobin()
	}
	if t.Attempts > 0 && len(p.names) > 1 {
		if name := p.chooseExcept(t, waiting, t.avoid); name != "" {
			return name
		}
	}
	return p.chooseExcept(t, waiting, "")
}

// chooseExcept is choose without the upstream called avoid.
func (p *Pool) chooseExcept(t *Ticket, waiting int, avoid string) string {
	best := ""
	var bestScore time.Duration
	for _, name := range p.names {
		u := p.upstreams[name]
		if name == avoid || u.free(p.now, p.config) <= 0 {
			continue
		}
		score := p.score(u)
		if best == "" || score < bestScore {
			best = name
			bestScore = score
		}
	}
	if best == "" || p.config.LeastRunning {
		return best
	}
	return p.unlessSlow(best, t, waiting)
}

func (p *Pool) score(u *upstream) time.Duration {
	if p.config.LeastRunning {
		return time.Duration(len(u.running))
	}
	return u.current(p.now) * time.Duration(1+len(u.running))
}

func (p *Pool) chooseRoundRobin() string {
	for range p.names {
		name := p.names[p.turn%len(p.names)]
		p.turn++
		if p.upstreams[name].free(p.now, p.config) > 0 {
			return name
		}
	}
	return ""
}

// unlessSlow returns the upstream called name unless it is slow and a faster one will be free soon enough. A slow
// one gets an idempotent request now and then, to see whether it has recovered.
func (p *Pool) unlessSlow(name string, t *Ticket, waiting int) string {
	u := p.upstreams[name]
	median := p.typical()
	current := u.current(p.now)
	if current < slowFactor*median {
		return p.probeOr(name, t)
	}
	slots := 0
	for _, n := range p.names {
		other := p.upstreams[n]
		if other.state.Usable && !other.state.Leaving && other.current(p.now) < slowFactor*median {
			slots += p.config.Slots
		}
	}
	if slots == 0 {
		return name
	}
	wait := median * time.Duration(waiting) / time.Duration(slots)
	if wait+median < current {
		return ""
	}
	return name
}

// probeOr returns a slow upstream that is due for a probe, or else name.
func (p *Pool) probeOr(name string, t *Ticket) string {
	if !t.Idempotent || t.Class != Check {
		return name
	}
	median := p.typical()
	for _, n := range p.names {
		u := p.upstreams[n]
		slow := u.latency >= slowFactor*median && len(u.running) == 0
		if slow && u.free(p.now, p.config) > 0 && p.now-u.probed >= probePeriod && p.hedges.TryWithdraw() {
			u.probed = p.now
			return n
		}
	}
	return name
}

// hedge sends a second copy of idempotent requests that are late, where a fast upstream is free and the budget allows.
func (p *Pool) hedge(d *Decisions) {
	if p.config.HedgeShare <= 0 || p.tail.count < hedgeMinimum {
		return
	}
	late := p.tail.get()
	for _, name := range p.names {
		for _, id := range p.upstreams[name].oldestFirst() {
			since := p.upstreams[name].running[id]
			t := p.running[id]
			if t == nil || t.Upstream != "" || !t.Idempotent || p.copies[id] > 1 || p.now-since < late {
				continue
			}
			other := p.chooseHedge(name)
			if other == "" || !p.hedges.TryWithdraw() {
				continue
			}
			p.start(t, other)
			d.Dispatches = append(d.Dispatches, Dispatch{
				Ticket:   t,
				Upstream: other,
				Hedge:    true,
			})
		}
	}
}

// hedgeMinimum is the number of answers that are measured before the first hedge.
const hedgeMinimum = 50

func (p *Pool) chooseHedge(not string) string {
	best := ""
	for _, n := range p.names {
		u := p.upstreams[n]
		if n == not || u.free(p.now, p.config) <= 0 || u.current(p.now) >= slowFactor*p.typical() {
			continue
		}
		if best == "" || u.typical() < p.upstreams[best].typical() {
			best = n
		}
	}
	return best
}
