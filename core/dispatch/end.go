package dispatch

import (
	"slices"
	"time"
)

// Head releases the slot of a ticket whose response headers have arrived, because the upstream has finished its work by
// then. End must still be called.
func (p *Pool) Head(now time.Duration, id uint64, took time.Duration, report *Report) {
	granted := p.running[id]
	if granted.upstream == nil || !p.releaseSlot(now, granted, id, report) {
		return
	}
	granted.upstream.recordLatency(took)
	p.observe(now, granted, took)
}

// Vacate releases the slot of a ticket whose response has begun at a time that is not known. End must still be called.
func (p *Pool) Vacate(now time.Duration, id uint64) {
	if granted := p.running[id]; granted.upstream != nil {
		p.releaseSlot(now, granted, id, nil)
	}
}

// releaseSlot releases the slot of a ticket. It returns false if the slot was released before.
func (p *Pool) releaseSlot(now time.Duration, granted assignment, id uint64, report *Report) bool {
	u := granted.upstream
	sent, holdsSlot := u.running[id]
	if !holdsSlot {
		return false
	}
	if report != nil {
		p.applyLoadReport(now, u, report.Load)
		u.applyLimit(now, sent, report.Limit)
		p.setPause(now, u, granted.instance, report.Pause)
	}
	delete(u.running, id)
	u.backlog.valid = false
	u.expected = slices.DeleteFunc(u.expected, func(e runningTicket) bool { return e.id == id })
	p.markDirty(u.queue)
	p.markDirty(p.shared)
	return true
}

// End records the outcome of a ticket and releases its slot unless Head has done so. report is nil if the upstream did not answer.
func (p *Pool) End(now time.Duration, id uint64, outcome Outcome, took time.Duration, report *Report) {
	granted := p.running[id]
	u := granted.upstream
	if u == nil {
		return
	}
	heldSlot := p.releaseSlot(now, granted, id, report)
	delete(p.running, id)
	p.refundQuota(granted, outcome, took)
	p.endHeld(now, granted, outcome)
	if granted.trial {
		u.trials--
		p.config.Suspects.endTrial(granted.identity)
	}
	switch outcome {
	case Answered:
		if heldSlot {
			u.recordLatency(took)
			p.observe(now, granted, took)
		}
		u.recordOutcome(false)
		u.recordAnswer(now, granted.sent, p)
		p.config.Suspects.Answered(granted.identity, u.state.ID, granted.incarnation, granted.sent)
	case Erred:
		u.recordOutcome(true)
		u.recordAnswer(now, granted.sent, p)
		p.config.Suspects.Answered(granted.identity, u.state.ID, granted.incarnation, granted.sent)
	case Shed:
		u.recordOutcome(true)
		if report == nil || !u.hasFreeSlot(report.Load) {
			u.backOff(now, 0)
		}
	case Unreachable, Crashed:
		triedAt := now - took
		if outcome == Crashed {
			triedAt = now // It was found to refuse connections after the attempt.
		}
		// If it has answered others meanwhile, only the path from this instance is lost.
		if u.lastAnswered <= triedAt {
			u.recordOutcome(true)
			u.suspect, u.suspectedAt = true, triedAt
			u.backOff(now, unreachableBlock)
		}
	case Lost:
		u.recordOutcome(true)
	case Misdirected:
		u.backOff(now, 0)
	case Abandoned:
	}
}

// recordAnswer records that the upstream is alive and has answered a request that was sent at sent.
func (u *upstream) recordAnswer(now, sent time.Duration, p *Pool) {
	u.blockCount = 0
	u.lastAnswered = now
	switch {
	case u.suspect && sent < u.suspectedAt:
		// The same start of it was at work all the while, so that only the path from another instance is lost.
		u.suspect = false
		u.blockedUntil = 0
	case u.suspect:
		u.suspect = false
		u.coldUntil = max(u.coldUntil, now+p.service.ColdDuration)
	}
}

// PathsLost records that the instance of a local pool has lost its paths to all upstreams. That connections to some have failed then says
// nothing of these.
func (p *Pool) PathsLost() {
	for _, u := range p.upstreams {
		if u.suspect {
			u.suspect = false
			u.blockedUntil = 0
		}
	}
}

// MarkReachable records that an upstream to which connections failed is reachable again.
func (p *Pool) MarkReachable(now time.Duration, id string) {
	if u := p.upstreams[id]; u != nil {
		u.recordAnswer(now, now, p)
		u.blockedUntil = 0
	}
}
