package replica

import "time"

const (
	// minProbeInterval is the shortest time between probes of one instance.
	minProbeInterval = 250 * time.Millisecond
	// probeLatency is how much later than its interval a probe may end: it begins with a heartbeat, of which there is one every 200 ms,
	// and is given up after 500 ms.
	probeLatency = 800 * time.Millisecond
)

// Probes decides when an instance probes the store for a coordinator that can't reach it, and what it reports. Its report must not change
// between two probes that succeed, or the coordinator doesn't resign. The zero value has probed nothing. It is not safe for concurrent
// use.
type Probes struct {
	// askedAt is when the coordinator asked first, and lastAsked when it did last.
	askedAt, lastAsked time.Duration
	asked              bool
	// offset is the fraction of the interval for which the first probe waits.
	offset float64
	// beganAt is when the last probe began, and running is true until it ends.
	beganAt        time.Duration
	began, running bool
	// reachedAt is when the last probe ended, if it succeeded. interval is the last known one.
	reachedAt time.Duration
	reached   bool
	interval  time.Duration
}

// Due reports whether to begin a probe at now, because the coordinator asks for one. instances is the number of instances that are
// asked; offset, from 0 to 1, is this one's place among them, because all are asked at the same time.
func (p *Probes) Due(now time.Duration, instances int, offset float64) bool {
	if !p.asked || now-p.lastAsked > time.Second {
		p.asked, p.askedAt, p.offset, p.began = true, now, offset, false
	}
	p.lastAsked = now
	pause := ProbePause(instances)
	p.interval = max(pause, minProbeInterval)
	if p.running || now < p.askedAt+time.Duration(p.offset*float64(pause)) || (p.began && now < p.beganAt+p.interval) {
		return false
	}
	p.began, p.running, p.beganAt = true, true, now
	return true
}

// Ended records the result of a probe at now.
func (p *Probes) Ended(now time.Duration, reached bool) {
	p.running = false
	p.reached, p.reachedAt = reached, now
}

// Reached reports whether the store answered the last probe, until the next one should have ended.
func (p *Probes) Reached(now time.Duration) bool {
	return p.reached && now-p.reachedAt < p.interval+probeLatency
}
