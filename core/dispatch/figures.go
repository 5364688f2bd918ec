package dispatch

import (
	"sort"
	"time"
)

// Stats tell how a pool stands.
type Stats struct {
	// Waiting and Running are numbers of requests, Usable, Cold, Blocked and Full of upstreams; a full one has all its slots in use.
	Waiting, Running, Usable, Cold, Blocked, Full int
	// MedianLatency is the median time to an answer.
	MedianLatency time.Duration
	// Overcommit is how many more requests than its slots an upstream gets, as a share of the slots.
	Overcommit float64
	// Sent and Refused count decisions since the pool was made.
	Sent, Refused uint64
}

// Stats returns how the pool stands at now.
func (p *Pool) Stats(now time.Duration) Stats {
	f := Stats{
		Waiting:       len(p.tickets),
		Running:       len(p.running),
		MedianLatency: p.usual(now),
		Overcommit:    p.lead,
		Sent:          p.sent,
		Refused:       p.refused,
	}
	for _, u := range p.order {
		if !u.state.Usable {
			continue
		}
		f.Usable++
		if u.cold(now) {
			f.Cold++
		}
		if now < u.blockedUntil {
			f.Blocked++
		}
		if len(u.running) >= u.state.Slots {
			f.Full++
		}
	}
	return f
}

// Capacity returns the requests a second that an upstream answers by what was measured until now, 0 for one that is unknown.
func (p *Pool) Capacity(now time.Duration, id string) float64 {
	u := p.upstreams[id]
	if u == nil {
		return 0
	}
	latency := u.typical()
	if u.latency == 0 {
		latency = p.usual(now)
	}
	return u.width(p) / latency.Seconds()
}

// Cold reports whether an upstream bears only its cold rate.
func (p *Pool) Cold(now time.Duration, id string) bool {
	u := p.upstreams[id]
	return u != nil && u.cold(now)
}

// Unreachable reports whether an upstream could not be connected to of late.
func (p *Pool) Unreachable(id string) bool {
	u := p.upstreams[id]
	return u != nil && u.suspect
}

// livelyFor is how long an answer shows that an upstream lives.
const livelyFor = 700 * time.Millisecond

// RecentlyAnswered reports whether an upstream answered of late.
func (p *Pool) RecentlyAnswered(now time.Duration, id string) bool {
	u := p.upstreams[id]
	return u != nil && u.alive != 0 && now-u.alive < livelyFor
}

// medianStep is the shortest time between looks at all upstreams for the median: times to an answer change over many answers.
const medianStep = 50 * time.Millisecond

// usual returns the median of the measured times to an answer, as of at most medianStep ago.
func (p *Pool) usual(now time.Duration) time.Duration {
	if p.median == 0 || now-p.medianAt >= medianStep {
		p.median = p.medianLatency()
		p.medianAt = now
	}
	return p.median
}

func (p *Pool) medianLatency() time.Duration {
	var times []time.Duration
	for _, u := range p.order {
		if u.latency > 0 {
			times = append(times, u.latency)
		}
	}
	if len(times) == 0 {
		return firstLatency
	}
	sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
	return times[len(times)/2]
}
