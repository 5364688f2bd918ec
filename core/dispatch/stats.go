package dispatch

import (
	"sort"
	"time"

	"cuminlift/core/cost"
)

// Stats describes the state of a pool.
type Stats struct {
	// Mixed is true while requests of different kinds are told apart.
	Mixed bool
	// Waiting and Running count requests. Usable, Cold, Blocked, Full and Limited count upstreams; an upstream is full when all
	// of its slots are in use, limited while it names a limit, and unreachable from a failed connection to its next answer.
	Waiting, Running, Usable, Cold, Blocked, Full, Limited, Unreachable int
	// SlotsInUse counts the slots of running tickets, of upstreams that are not usable as well.
	SlotsInUse int
	// MedianLatency is the median of the upstreams' average latencies.
	MedianLatency time.Duration
	// Overcommit is the number of requests sent to an upstream beyond its slots, as a fraction of the slots.
	Overcommit float64
	// HeldBound is the bound on the bytes that an upstream holds after one of them has ended under more, 0 for none.
	HeldBound int64
	// Sent and Refused count decisions since the pool was created.
	Sent, Refused uint64
	// Retries is the number of retries in the last window of the retry budget, and MaxRetries what the budget allows.
	Retries, MaxRetries int
	// Predicted and Observed add up in what times requests were expected to be answered when they were sent, and what they took.
	// PredictionError adds up the absolute differences. They are 0 on services that are not mixed.
	Predicted, Observed, PredictionError time.Duration
}

// Stats returns the state of the pool at now.
func (p *Pool) Stats(now time.Duration) Stats {
	stats := Stats{
		Mixed:         p.mixed,
		Waiting:       len(p.tickets),
		Running:       len(p.running),
		MedianLatency: p.medianLatency(now),
		Overcommit:    p.overcommit,
		Sent:          p.sent,
		Refused:       p.refused,
	}
	requests, retries := p.budget.sum(now)
	stats.Retries, stats.MaxRetries = int(retries), int(requests*p.budget.ratio+p.budget.slack)
	p.Costs(func(class *cost.Class) {
		stats.Predicted += class.Predicted
		stats.Observed += class.Observed
		stats.PredictionError += class.Error
	})
	if now < p.heldCeiling.until {
		stats.HeldBound = p.heldCeiling.bytes
	}
	for _, u := range p.sorted {
		stats.SlotsInUse += len(u.running)
		if !u.state.Usable {
			continue
		}
		stats.Usable++
		if u.isCold(now) {
			stats.Cold++
		}
		if now < u.blockedUntil {
			stats.Blocked++
		}
		if len(u.running) >= u.state.Slots {
			stats.Full++
		}
		if u.limiter.rate > 0 {
			stats.Limited++
		}
		if u.suspect {
			stats.Unreachable++
		}
	}
	return stats
}

// Capacity returns the measured throughput of an upstream in requests per second, or 0 if the upstream is unknown.
func (p *Pool) Capacity(now time.Duration, id string) float64 {
	u := p.upstreams[id]
	if u == nil {
		return 0
	}
	latency := u.typicalLatency()
	if u.latency == 0 {
		latency = p.medianLatency(now)
	}
	return u.throughput(p, latency)
}

// Assigned returns the upstream, and the start of it, that a ticket was granted. ok is false if the ticket is not in progress.
func (p *Pool) Assigned(id uint64) (upstream string, incarnation int64, ok bool) {
	u := p.running[id].upstream
	if u == nil {
		return "", 0, false
	}
	return u.state.ID, u.state.Incarnation, true
}

// Cold reports whether an upstream is limited to its cold-start rate.
func (p *Pool) Cold(now time.Duration, id string) bool {
	u := p.upstreams[id]
	return u != nil && u.isCold(now)
}

// ConnectFailed reports whether connecting to an upstream failed and it has not answered since.
func (p *Pool) ConnectFailed(id string) bool {
	u := p.upstreams[id]
	return u != nil && u.suspect
}

// LastAnswered returns when an upstream last answered, 0 for never.
func (p *Pool) LastAnswered(id string) time.Duration {
	if u := p.upstreams[id]; u != nil {
		return u.lastAnswered
	}
	return 0
}

// responsiveWindow is how long an answer counts as evidence that an upstream is alive.
const responsiveWindow = 700 * time.Millisecond

// Responsive reports whether an upstream answered within responsiveWindow.
func (p *Pool) Responsive(now time.Duration, id string) bool {
	u := p.upstreams[id]
	return u != nil && u.lastAnswered != 0 && now-u.lastAnswered < responsiveWindow
}

// medianInterval is the minimum time between recomputations of the median latency. Latencies are averaged over many
// answers and change slowly.
const medianInterval = 50 * time.Millisecond

// medianLatency returns the median latency of all upstreams, which is at most medianInterval old.
func (p *Pool) medianLatency(now time.Duration) time.Duration {
	if p.median == 0 || now-p.medianAt >= medianInterval {
		p.median = p.computeMedianLatency()
		p.medianAt = now
	}
	return p.median
}

func (p *Pool) computeMedianLatency() time.Duration {
	var times []time.Duration
	for _, u := range p.sorted {
		if u.latency > 0 {
			times = append(times, u.latency)
		}
	}
	if len(times) == 0 {
		return defaultLatency
	}
	sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
	return times[len(times)/2]
}
