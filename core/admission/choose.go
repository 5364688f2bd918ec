package admission

import (
	"time"
)

const (
	// slowFactor is the multiple of the median latency from which an upstream counts as slow.
	slowFactor = 3
	// probeInterval is the least time between two requests that test whether a slow upstream has recovered.
	probeInterval = 500 * time.Millisecond
)

// Poll returns the requests to dispatch now and the queued requests that are refused.
func (p *Pool) Poll(now time.Duration) Decisions {
	p.now = max(p.now, now)
	var d Decisions
	for name, q := range p.queues {
		p.drop(q, &d)
		if name == "" {
			p.dispatchUnkeyed(q, &d)
			continue
		}
		p.dispatchKeyed(name, q, &d)
	}
	p.hedge(&d)
	return d
}

// drop refuses the requests at the head of q for which refusalReason finds a reason.
func (p *Pool) drop(q *queue, d *Decisions) {
	for {
		r := q.first()
		if r == nil {
			return
		}
		reason, drop := p.refusalReason(r)
		if !drop {
			return
		}
		q.take()
		p.waiting--
		d.Refusals = append(d.Refusals, p.refuse(r, reason))
	}
}

// refusalReason returns the reason to refuse the queued request r, and whether there is one.
func (p *Pool) refusalReason(r *QueuedRequest) (Reason, bool) {
	if p.stopping {
		return Stopping, true
	}
	if p.now+p.expectedLatencyOf(r.Upstream)/2 >= r.Deadline {
		return TooLate, true
	}
	if p.now-r.arrivedAt >= p.config.HoldLimit && !p.anyUsable(r.Upstream) {
		return NoUpstream, true
	}
	return 0, false
}

// anyUsable reports whether the named upstream, or any upstream if name is empty, accepts new requests.
func (p *Pool) anyUsable(name string) bool {
	for n, u := range p.upstreams {
		if (name == "" || n == name) && u.state.Usable && !u.state.Draining {
			return true
		}
	}
	return false
}

func (p *Pool) dispatchKeyed(name string, q *queue, d *Decisions) {
	u := p.upstreams[name]
	for u != nil && q.Len() > 0 && u.freeSlots(p.now, p.config) > 0 {
		p.dispatch(q.take(), name, d)
	}
}

func (p *Pool) dispatchUnkeyed(q *queue, d *Decisions) {
	for q.Len() > 0 {
		name := p.choose(q.first(), q.Len())
		if name == "" {
			return
		}
		p.dispatch(q.take(), name, d)
	}
}

func (p *Pool) dispatch(r *QueuedRequest, name string, d *Decisions) {
	p.waiting--
	r.Attempts++
	p.startAttempt(r, name)
	d.Dispatches = append(d.Dispatches, Dispatch{
		QueuedRequest: r,
		Upstream:      name,
	})
}

func (p *Pool) startAttempt(r *QueuedRequest, name string) {
	u := p.upstreams[name]
	u.running[r.ID] = p.now
	u.lastRampDispatch = p.now
	r.lastUpstream = name
	p.running[r.ID] = r
	p.inFlight[r.ID]++
}

// choose returns the upstream for r, or "" if r should stay queued. waiting is the length of r's queue.
func (p *Pool) choose(r *QueuedRequest, waiting int) string {
	if p.config.RoundRobin {
		return p.chooseRoundRobin()
	}
	if r.Attempts > 0 && len(p.names) > 1 {
		if name := p.chooseExcept(r, waiting, r.lastUpstream); name != "" {
			return name
		}
	}
	return p.chooseExcept(r, waiting, "")
}

// chooseExcept returns the free upstream with the lowest score, without the one named excluded.
func (p *Pool) chooseExcept(r *QueuedRequest, waiting int, excluded string) string {
	best := ""
	var bestScore time.Duration
	for _, name := range p.names {
		u := p.upstreams[name]
		if name == excluded || u.freeSlots(p.now, p.config) <= 0 {
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
	return p.avoidSlow(best, r, waiting)
}

// score estimates the time until u answers one more request. The lowest score is chosen.
func (p *Pool) score(u *upstream) time.Duration {
	if p.config.LeastRunning {
		return time.Duration(len(u.running))
	}
	return u.currentLatency(p.now) * time.Duration(1+len(u.running))
}

func (p *Pool) chooseRoundRobin() string {
	for range p.names {
		name := p.names[p.nextRoundRobin%len(p.names)]
		p.nextRoundRobin++
		if p.upstreams[name].freeSlots(p.now, p.config) > 0 {
			return name
		}
	}
	return ""
}

// avoidSlow returns the named upstream, or "" if it is slow and r would be answered sooner by waiting for a faster one.
// If the named upstream is not slow, a slow one may be returned instead as a probe.
func (p *Pool) avoidSlow(name string, r *QueuedRequest, waiting int) string {
	u := p.upstreams[name]
	median := p.expectedLatency()
	currentLatency := u.currentLatency(p.now)
	if currentLatency < slowFactor*median {
		return p.probeSlow(name, r)
	}
	slots := 0
	for _, n := range p.names {
		other := p.upstreams[n]
		if other.state.Usable && !other.state.Draining && other.currentLatency(p.now) < slowFactor*median {
			slots += p.config.Slots
		}
	}
	if slots == 0 {
		return name
	}
	wait := median * time.Duration(waiting) / time.Duration(slots)
	if wait+median < currentLatency {
		return ""
	}
	return name
}

// probeSlow returns a slow upstream that is due for a probe, or name if there is none. Only idempotent requests of class
// Check are used as probes, and each takes from the hedge budget.
func (p *Pool) probeSlow(name string, r *QueuedRequest) string {
	if !r.Idempotent || r.Class != Check {
		return name
	}
	median := p.expectedLatency()
	for _, n := range p.names {
		u := p.upstreams[n]
		slow := u.latency >= slowFactor*median && len(u.running) == 0
		if slow && u.freeSlots(p.now, p.config) > 0 && p.now-u.lastProbe >= probeInterval && p.hedges.TryWithdraw() {
			u.lastProbe = p.now
			return n
		}
	}
	return name
}

// hedge dispatches a second copy of unkeyed idempotent requests that run longer than the tail latency, if an upstream
// that is not slow has a free slot and the hedge budget allows it.
func (p *Pool) hedge(d *Decisions) {
	if p.config.HedgeRatio <= 0 || p.tailLatency.count < hedgeMinSamples {
		return
	}
	hedgeDelay := p.tailLatency.get()
	for _, name := range p.names {
		for _, id := range p.upstreams[name].oldestFirst() {
			since := p.upstreams[name].running[id]
			r := p.running[id]
			if r == nil || r.Upstream != "" || !r.Idempotent || p.inFlight[id] > 1 || p.now-since < hedgeDelay {
				continue
			}
			other := p.chooseHedge(name)
			if other == "" || !p.hedges.TryWithdraw() {
				continue
			}
			p.startAttempt(r, other)
			d.Dispatches = append(d.Dispatches, Dispatch{
				QueuedRequest: r,
				Upstream:      other,
				Hedge:         true,
			})
		}
	}
}

// hedgeMinSamples is the number of measured answers that the tail latency needs before the first hedge.
const hedgeMinSamples = 50

// chooseHedge returns the free upstream with the lowest latency that is not slow, without the one named excluded.
func (p *Pool) chooseHedge(excluded string) string {
	best := ""
	for _, n := range p.names {
		u := p.upstreams[n]
		if n == excluded || u.freeSlots(p.now, p.config) <= 0 || u.currentLatency(p.now) >= slowFactor*p.expectedLatency() {
			continue
		}
		if best == "" || u.expectedLatency() < p.upstreams[best].expectedLatency() {
			best = n
		}
	}
	return best
}
