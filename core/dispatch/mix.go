package dispatch

import (
	"math"
	"time"

	"cuminlift/core/route"
)

const (
	// mixSpan is the span over which the requests of each kind are counted, and mixInterval the interval at which the counts are looked at.
	mixSpan     = 10 * time.Second
	mixInterval = time.Second
	// minMixRequests is the number of requests from which the counts say something.
	minMixRequests = 50
	// A service is treated as mixed from the time at which two kinds each have mixShare of its requests, until one falls below keepMixShare.
	// The routes that operators use for checks get fewer.
	mixShare, keepMixShare = 0.05, 0.03
)

// mix tells whether a service to which routes of different kinds send also gets requests of different kinds.
type mix struct {
	counts map[string]float64
	at     time.Duration
}

// count records a request. It reports whether the service is to be treated as mixed, which it is so far or not.
func (m *mix) count(now time.Duration, class string, mixed bool) bool {
	if m.counts == nil {
		m.counts = map[string]float64{}
		m.at = now
	}
	m.counts[route.ClassKind(class)]++
	total := 0.0
	if now-m.at < mixInterval {
		return mixed
	}
	decay := math.Exp(-(now - m.at).Seconds() / mixSpan.Seconds())
	m.at = now
	for _, count := range m.counts {
		total += count
	}
	least := mixShare
	if mixed {
		least = keepMixShare
	}
	kinds := 0
	for kind, count := range m.counts {
		if count >= least*total {
			kinds++
		}
		m.counts[kind] = count * decay
		if m.counts[kind] < 0.01 {
			delete(m.counts, kind)
		}
	}
	if total < minMixRequests {
		return mixed
	}
	return kinds > 1
}
