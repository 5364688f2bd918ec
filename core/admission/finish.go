package admission

import (
	"time"

	"cuminlift/core/retry"
)

// Result is the outcome of an attempt.
type Result int

const (
	// Answered means that the upstream answered.
	Answered Result = iota
	// Shed means that the upstream refused to run the request.
	Shed
	// Failed means that the attempt ended without an answer.
	Failed
	// Abandoned means that another copy was answered first, or that the caller disconnected.
	Abandoned
)

// Finish records the end of an attempt at the named upstream. retryAfter is the delay requested by an upstream that shed
// the request.
func (p *Pool) Finish(now time.Duration, id uint64, name string, result Result, retryAfter time.Duration) {
	p.now = max(p.now, now)
	u := p.upstreams[name]
	if u == nil {
		return
	}
	since, known := u.running[id]
	if !known {
		return
	}
	delete(u.running, id)
	p.inFlight[id]--
	if p.inFlight[id] <= 0 {
		delete(p.inFlight, id)
		delete(p.running, id)
	}
	p.recordResult(u, p.now-since, result, retryAfter)
}

// recordResult updates the latency, the ramp and the backoff of u after an attempt.
func (p *Pool) recordResult(u *upstream, latency time.Duration, result Result, retryAfter time.Duration) {
	switch result {
	case Answered:
		if u.detectColdStart(p.now, latency) && !u.ramping && p.config.Cold > 0 {
			u.startRamp(p.now)
		}
		u.recordLatency(latency)
		u.consecutiveSheds = 0
		p.tailLatency.add(latency)
	case Shed:
		u.backOff(p.now, retryAfter)
		if u.consecutiveSheds >= shedsToRamp && !u.ramping {
			u.startRamp(p.now)
		}
	case Failed:
		// A fast failure must not make the upstream look fast, and repeated failures must not make it look unresponsive.
		u.recordLatency(max(latency, min(2*u.expectedLatency(), maxFailedLatency)))
	case Abandoned:
		if latency > u.latency {
			u.recordLatency(latency)
		}
	}
}

// maxFailedLatency bounds the raised latency that a fast failure is recorded with.
const maxFailedLatency = 250 * time.Millisecond

// shedsToRamp is the number of successive refusals that indicate a cold start that the upstream did not report.
const shedsToRamp = 2

// Retry queues r again. The caller must ensure that the attempt is known not to have run or that r is idempotent. Retry
// reports false if the pool is stopping or the retry budget, the number of attempts or the deadline forbid it.
func (p *Pool) Retry(now time.Duration, r *QueuedRequest) bool {
	p.now = max(p.now, now)
	if p.stopping || r.Attempts >= retry.MaxAttempts || p.now+p.expectedLatency() >= r.Deadline || !p.retries.TryWithdraw() {
		return false
	}
	p.sequence++
	r.sequence = p.sequence
	p.queueOf(r.Upstream).add(r)
	p.waiting++
	return true
}

// NextWake returns the time at which Poll should be called again even if no event occurs.
func (p *Pool) NextWake() time.Duration {
	if p.waiting == 0 && (p.config.HedgeRatio <= 0 || len(p.running) == 0) {
		return p.now + idlePollInterval
	}
	return p.now + busyPollInterval
}

const (
	idlePollInterval = 100 * time.Millisecond
	busyPollInterval = time.Millisecond
)
