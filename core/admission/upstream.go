package admission

import (
	"sort"
	"time"
)

// UpstreamState is what the pool is told of an upstream.
type UpstreamState struct {
	Name string
	// Usable is true while this instance has the right to send to it.
	Usable bool
	// Incarnation changes with a restart, which starts a ramp.
	Incarnation string
	// Cold is what the upstream says of itself; it may lag or mislead, so it only ever lowers the share.
	Cold bool
	// Draining upstreams finish what they have and get nothing new.
	Draining bool
}

// upstream is what the pool measured of one upstream.
type upstream struct {
	state UpstreamState
	// running holds when each dispatched ticket was sent, by ticket.
	running map[uint64]time.Duration
	// latency is the moving average of the time to an answer.
	latency time.Duration
	// usual is what answers took for long, and slowInRow counts answers that took much longer.
	usual     time.Duration
	slowInRow int
	slowSince time.Duration
	// rampFrom is when the present ramp began; it ends after the pool's cold time.
	rampFrom time.Duration
	ramping  bool
	// rampLast is when the last request of the ramp was sent.
	rampLast time.Duration
	// pausedUntil is when an upstream that shed may be asked again.
	pausedUntil time.Duration
	// sheds counts refusals in a row.
	sheds int
	// probed is when a slow upstream was last given a request to see whether it has recovered.
	probed time.Duration
}

const (
	// latencyWeight is the weight of a new measurement in the moving average.
	latencyWeight = 0.2
	// coldAnswerFactor is how many times slower than usual an answer is that may tell of a cold start, and coldAnswerLeast
	// how slow it is at least; coldAnswers of them in a row may tell.
	coldAnswerFactor = 4
	coldAnswerLeast  = 10 * time.Millisecond
	coldAnswers      = 4
	// coldSpell is how long they must go on: a burst makes answers late too.
	coldSpell = 100 * time.Millisecond
	// usualWeight is the weight of a new measurement in what is usual for an upstream.
	usualWeight = 0.01
	// minPause and maxPause bound how long an upstream that shed is left alone.
	minPause = 20 * time.Millisecond
	maxPause = 2 * time.Second
)

func (u *upstream) startRamp(now time.Duration) {
	u.ramping = true
	u.rampFrom = now
	u.rampLast = 0
}

// share returns the part of its slots that a ramping upstream gets now, above 0 and at most 1.
func (u *upstream) share(now, cold time.Duration) float64 {
	if !u.ramping {
		return 1
	}
	if cold <= 0 || now-u.rampFrom >= cold {
		u.ramping = false
		return 1
	}
	return max(0.1, float64(now-u.rampFrom)/float64(cold))
}

// free returns how many more requests the upstream may get now.
func (u *upstream) free(now time.Duration, config Config) int {
	if !u.state.Usable || u.state.Draining || now < u.pausedUntil {
		return 0
	}
	share := u.share(now, config.Cold)
	slots := max(1, int(share*float64(config.Slots)))
	if u.state.Cold {
		slots = 1
	}
	if share < 1 {
		rest := time.Duration(float64(u.typical()) / (share * float64(config.Slots)))
		if u.rampLast != 0 && now-u.rampLast < rest {
			return 0
		}
	}
	return slots - len(u.running)
}

// typical returns the expected time to an answer, with a stand-in before the first one.
func (u *upstream) typical() time.Duration {
	if u.latency == 0 {
		return firstLatency
	}
	return u.latency
}

// firstLatency stands for an upstream's time to an answer before the first one.
const firstLatency = 5 * time.Millisecond

// current returns the expected time to an answer as of now: the average, or the age of the oldest request in
// progress if that is more.
func (u *upstream) current(now time.Duration) time.Duration {
	current := u.typical()
	for _, since := range u.running {
		current = max(current, now-since)
	}
	return current
}

// looksCold follows answers and reports whether the upstream seems to have fallen into a cold start.
func (u *upstream) looksCold(now, latency time.Duration) bool {
	if u.usual == 0 {
		u.usual = latency
		return false
	}
	if latency > coldAnswerFactor*u.usual && latency > coldAnswerLeast {
		if u.slowInRow == 0 {
			u.slowSince = now
		}
		u.slowInRow++
		return u.slowInRow >= coldAnswers && now-u.slowSince >= coldSpell
	}
	u.slowInRow = 0
	u.usual += time.Duration(usualWeight * float64(latency-u.usual))
	return false
}

// oldestFirst returns the tickets in progress, longest first and then by number.
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

func (u *upstream) measure(latency time.Duration) {
	if u.latency == 0 {
		u.latency = latency
		return
	}
	u.latency += time.Duration(latencyWeight * float64(latency-u.latency))
}

func (u *upstream) shed(now, retryAfter time.Duration) {
	u.sheds++
	pause := max(retryAfter, minPause<<min(u.sheds-1, 10))
	u.pausedUntil = now + min(pause, maxPause)
}
