package admission

import (
	"sort"
	"time"
)

// UpstreamState is the state of an upstream as reported to the pool.
type UpstreamState struct {
	Name string
	// Usable is true while this instance is entitled to send to the upstream.
	Usable bool
	// Incarnation identifies the run of the upstream's process. A change means a restart and starts a ramp.
	Incarnation string
	// Cold is true while the upstream reports a cold start. The report may be late or wrong, so it only ever lowers the
	// number of slots.
	Cold bool
	// Draining upstreams finish their requests in progress and get no new ones.
	Draining bool
}

// upstream holds the pool's measurements of one upstream.
type upstream struct {
	state UpstreamState
	// running holds the dispatch time of each request in progress, by request ID.
	running map[uint64]time.Duration
	// latency is the moving average of the answer latency.
	latency time.Duration
	// baselineLatency is a slow moving average of the answer latency. consecutiveSlow counts successive answers far above
	// it, the first of them at slowSince.
	baselineLatency time.Duration
	consecutiveSlow int
	slowSince       time.Duration
	// rampStart is the start of the current ramp, which ends after Config.Cold.
	rampStart time.Duration
	ramping   bool
	// lastRampDispatch is the time of the last dispatch, which spaces the dispatches of a ramp.
	lastRampDispatch time.Duration
	// backoffUntil is the time until which an upstream that shed load gets no requests.
	backoffUntil time.Duration
	// consecutiveSheds counts successive requests that the upstream refused.
	consecutiveSheds int
	// lastProbe is the time of the last request that tested whether the slow upstream has recovered.
	lastProbe time.Duration
}

const (
	// latencyWeight is the weight of a new sample in the moving average of the latency.
	latencyWeight = 0.2
	// An answer indicates a cold start if it takes longer than coldLatencyFactor times the baseline and longer than
	// coldMinLatency. A cold start is assumed after at least coldMinResponses such answers in a row.
	coldLatencyFactor = 4
	coldMinLatency    = 10 * time.Millisecond
	coldMinResponses  = 4
	// coldMinDuration is how long the slow answers must go on, because a burst of requests delays answers too.
	coldMinDuration = 100 * time.Millisecond
	// baselineWeight is the weight of a new sample in the baseline latency.
	baselineWeight = 0.01
	// minBackoff and maxBackoff bound the backoff after an upstream shed a request.
	minBackoff = 20 * time.Millisecond
	maxBackoff = 2 * time.Second
)

func (u *upstream) startRamp(now time.Duration) {
	u.ramping = true
	u.rampStart = now
	u.lastRampDispatch = 0
}

// rampShare returns the fraction of the slots that the upstream may use now: above 0, and 1 outside a ramp.
func (u *upstream) rampShare(now, cold time.Duration) float64 {
	if !u.ramping {
		return 1
	}
	if cold <= 0 || now-u.rampStart >= cold {
		u.ramping = false
		return 1
	}
	return max(0.1, float64(now-u.rampStart)/float64(cold))
}

// freeSlots returns the number of requests that may be dispatched to the upstream now. It may be negative.
func (u *upstream) freeSlots(now time.Duration, config Config) int {
	if !u.state.Usable || u.state.Draining || now < u.backoffUntil {
		return 0
	}
	rampShare := u.rampShare(now, config.Cold)
	slots := max(1, int(rampShare*float64(config.Slots)))
	if u.state.Cold {
		slots = 1
	}
	if rampShare < 1 {
		minInterval := time.Duration(float64(u.expectedLatency()) / (rampShare * float64(config.Slots)))
		if u.lastRampDispatch != 0 && now-u.lastRampDispatch < minInterval {
			return 0
		}
	}
	return slots - len(u.running)
}

// expectedLatency returns the moving average of the latency, or initialLatency before the first answer.
func (u *upstream) expectedLatency() time.Duration {
	if u.latency == 0 {
		return initialLatency
	}
	return u.latency
}

// initialLatency is the assumed latency of an upstream before its first answer.
const initialLatency = 5 * time.Millisecond

// currentLatency returns the average latency, or the age of the oldest request in progress if that is greater.
func (u *upstream) currentLatency(now time.Duration) time.Duration {
	currentLatency := u.expectedLatency()
	for _, since := range u.running {
		currentLatency = max(currentLatency, now-since)
	}
	return currentLatency
}

// detectColdStart records the latency of an answer and reports whether the upstream seems to be in a cold start that it
// did not report.
func (u *upstream) detectColdStart(now, latency time.Duration) bool {
	if u.baselineLatency == 0 {
		u.baselineLatency = latency
		return false
	}
	if latency > coldLatencyFactor*u.baselineLatency && latency > coldMinLatency {
		if u.consecutiveSlow == 0 {
			u.slowSince = now
		}
		u.consecutiveSlow++
		return u.consecutiveSlow >= coldMinResponses && now-u.slowSince >= coldMinDuration
	}
	u.consecutiveSlow = 0
	u.baselineLatency += time.Duration(baselineWeight * float64(latency-u.baselineLatency))
	return false
}

// oldestFirst returns the IDs of the requests in progress, oldest first and then by ID.
func (u *upstream) oldestFirst() []uint64 {
	ids := make([]uint64, 0, len(u.running))
	for id := range u.running {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool {
		a, b := u.running[ids[i]], u.running[ids[j]]
		return a < b || (a == b && ids[i] < ids[j])
	})
	return ids
}

func (u *upstream) recordLatency(latency time.Duration) {
	if u.latency == 0 {
		u.latency = latency
		return
	}
	u.latency += time.Duration(latencyWeight * float64(latency-u.latency))
}

// backOff suspends dispatches after the upstream refused a request, for retryAfter or an exponential backoff, whichever
// is longer, up to maxBackoff.
func (u *upstream) backOff(now, retryAfter time.Duration) {
	u.consecutiveSheds++
	backoff := max(retryAfter, minBackoff<<min(u.consecutiveSheds-1, 10))
	u.backoffUntil = now + min(backoff, maxBackoff)
}
