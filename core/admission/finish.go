package admission

import (
	"time"

	"cuminlift/core/retry"
)

// Result is how an attempt ended.
type Result int

const (
	// Answered: the upstream gave an answer of its own.
	Answered Result = iota
	// Shed: the upstream refused to run it.
	Shed
	// Failed: the attempt ended without an answer.
	Failed
	// Abandoned: another copy answered first, or the caller left.
	Abandoned
)

// Finish ends an attempt at name. retryAfter is what an upstream that shed asked for.
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
	p.copies[id]--
	if p.copies[id] <= 0 {
		delete(p.copies, id)
		delete(p.running, id)
	}
	p.learn(u, p.now-since, result, retryAfter)
}

func (p *Pool) learn(u *upstream, latency time.Duration, result Result, retryAfter time.Duration) {
	switch result {
	case Answered:
		if u.looksCold(p.now, latency) && !u.ramping && p.config.Cold > 0 {
			u.startRamp(p.now)
		}
		u.measure(latency)
		u.sheds = 0
		p.tail.add(latency)
	case Shed:
		u.shed(p.now, retryAfter)
		if u.sheds >= shedsToRamp && !u.ramping {
			u.startRamp(p.now)
		}
	case Failed:
		// A fast failure must not look like a fast upstream, nor many of them like one that never answers.
		u.measure(max(latency, min(2*u.typical(), failedLatency)))
	case Abandoned:
		if latency > u.latency {
			u.measure(latency)
		}
	}
}

// failedLatency bounds what a failure counts for in the average time to an answer.
const failedLatency = 250 * time.Millisecond

// shedsToRamp is the number of refusals in a row that tell of a cold start without notice.
const shedsToRamp = 2

// Retry queues a ticket again after an attempt that is known not to have run, or of an idempotent request. It
// reports false where the budget, the attempts or the deadline forbid it.
func (p *Pool) Retry(now time.Duration, t *Ticket) bool {
	p.now = max(p.now, now)
	if p.stop || t.Attempts >= retry.MaxAttempts || p.now+p.typical() >= t.Deadline || !p.retries.TryWithdraw() {
		return false
	}
	p.order++
	t.order = p.order
	p.queueOf(t.Upstream).add(t)
	p.waiting++
	return true
}

// NextWake returns when Poll should be called again though nothing has happened.
func (p *Pool) NextWake() time.Duration {
	if p.waiting == 0 && (p.config.HedgeShare <= 0 || len(p.running) == 0) {
		return p.now + idleWake
	}
	return p.now + busyWake
}

const (
	idleWake = 100 * time.Millisecond
	busyWake = time.Millisecond
)
