package dispatch

import (
	"time"

	"cuminlift/core/cost"
)

// UpstreamState is the registered state of an upstream.
type UpstreamState struct {
	ID, Address, Zone string
	// Incarnation distinguishes restarts of an upstream under the same ID.
	Incarnation int64
	Slots       int
	// Usable is false if the upstream is draining or its zone is excluded.
	Usable bool
	// ColdRemaining is the remaining duration of the cold start, as reported by the upstream.
	ColdRemaining time.Duration
}

// upstream holds the state and the measurements of one upstream.
type upstream struct {
	state UpstreamState
	// queue holds the tickets that only this upstream may run.
	queue *queue
	// running maps each running ticket to the time it was sent. lastSent is when the last ticket was sent.
	running  map[uint64]time.Duration
	lastSent time.Duration
	// lastAnswered is when the upstream last answered.
	lastAnswered time.Duration
	// latency is the moving average of the response time, 0 before the first response.
	latency time.Duration
	// learned is the latency while it is that of learnedSamples answers that instances have told of, see LearnLatency.
	learned        time.Duration
	learnedSamples int
	// failureRate is the moving average of the fraction of failed attempts, 0 to 1.
	failureRate float64
	// coldUntil is the end of the cold start. coldSends holds the times of the last sends during it.
	coldUntil time.Duration
	coldSends []time.Duration
	// blockedUntil is when the upstream may be used again. blockCount counts consecutive blocks.
	blockedUntil time.Duration
	blockCount   int
	// suspect is true from a failed connection until the next answer. The upstream may have restarted in between, and
	// be cold. suspectedAt is when that connection was tried.
	suspect     bool
	suspectedAt time.Duration
	// slowness is the last reported latency in percent of normal, and slownessAt is when the report arrived.
	slowness   uint32
	slownessAt time.Duration
	// reportedQueue is the last reported number of requests queued at the upstream, and reportedAt is when the report
	// arrived, 0 for none.
	reportedQueue uint32
	reportedAt    time.Duration
	// limiter holds the limit that the upstream has named, and pauses the instances from which it wants nothing for now.
	limiter limiter
	pauses  pauses
	// withheld holds the instances that get no ticket for the upstream, because they have returned one.
	withheld pauses
	// trials is the number of running tickets that were suspected to crash upstreams when they were sent, at most one.
	trials int
	// speed and backlog are used on services with mixed kinds.
	speed   cost.Speed
	backlog backlog
	// expected holds the running tickets of known kinds.
	expected []runningTicket
	// held is what this start of the upstream holds.
	held *heldBytes
}

const (
	// defaultLatency is the assumed latency of an upstream before its first response.
	defaultLatency = 100 * time.Millisecond
	// latencyWeight is the weight of a new response in the moving average, which covers about ten responses.
	latencyWeight = 0.1
	// failureWeight is the weight of a new outcome in the failure rate.
	failureWeight = 0.1
	// minBlock and maxBlock bound the backoff after a refusal by the upstream. Each consecutive refusal doubles it.
	minBlock = 20 * time.Millisecond
	maxBlock = 640 * time.Millisecond
	// unreachableBlock is the minimum backoff after a failed connection.
	unreachableBlock = 250 * time.Millisecond
	// coldRateWindow is the window over which sends to a cold upstream are limited: one second plus the maximum message
	// delay.
	coldRateWindow = 1100 * time.Millisecond
	// slownessTTL is how long a slowness report is used. The slowness of upstreams changes many times per second.
	slownessTTL = 150 * time.Millisecond
)

func (u *upstream) typicalLatency() time.Duration {
	if u.latency == 0 {
		return defaultLatency
	}
	return u.latency
}

func (u *upstream) recordLatency(took time.Duration) {
	if u.latency == 0 {
		u.latency = took
		return
	}
	u.latency += time.Duration(latencyWeight * float64(took-u.latency))
}

func (u *upstream) recordOutcome(failed bool) {
	value := 0.0
	if failed {
		value = 1
	}
	u.failureRate += failureWeight * (value - u.failureRate)
}

func (u *upstream) backOff(now, minPause time.Duration) {
	pause := max(minPause, minBlock<<min(u.blockCount, 5))
	u.blockCount++
	u.blockedUntil = now + min(pause, max(maxBlock, minPause))
}

// hasFreeSlot reports whether a load report tells of a slot that is not in use. An upstream that rejects a request in spite of
// it has a fault that the next request may not meet.
func (u *upstream) hasFreeSlot(load []uint32) bool {
	return len(load) >= 3 && load[1] == 0 && load[0] < load[2]
}

// isCold reports whether the upstream is limited to its cold-start rate at now.
func (u *upstream) isCold(now time.Duration) bool {
	return u.suspect || now < u.coldUntil
}

// freeSlots returns how many more requests may be sent to the upstream at now. It may be negative.
func (u *upstream) freeSlots(now time.Duration, p *Pool) int {
	if !u.state.Usable || now < u.blockedUntil || !u.limitAllows(now, p) {
		return 0
	}
	slots := u.state.Slots
	if share := p.config.Share; !share.unrestricted() {
		// A key has a single owner, so every instance with a request for the key must be able to use it. Of the
		// upstreams of an unkeyed service, each instance uses only a few.
		if p.config.Owners == nil && !share.mayUse(u.state.ID, instancesPerSlot*slots) {
			return 0
		}
		slots = 1
	}
	if u.suspect {
		slots = 1
	}
	if u.isCold(now) {
		if !u.coldRateAllows(now, p) {
			return 0
		}
		return slots - len(u.running)
	}
	return slots + u.extraSlots(now, p) - len(u.running)
}

// instancesPerSlot is the number of instances that may use a slot while there is no coordinator. It exceeds 1 because
// requests arrive unevenly, upstreams queue a few requests, and during a network partition an instance reaches only
// some of its upstreams. With two slots, a dozen instances may use an upstream.
const instancesPerSlot = 6

const (
	// targetUtilization is the target fraction of an upstream's slots that is busy while all of them are assigned. The
	// remainder allows for the variation of request durations.
	targetUtilization = 0.94
	// overcommitGain is the change in overcommit caused by one report from each upstream, per unit of deviation from
	// the target. About one second of answers doubles or halves the overcommit.
	overcommitGain = 1.0
	// maxOvercommit limits the overcommit as a multiple of the slots. Upstreams queue only a few requests beyond those
	// they run, and a request queued there can no longer be moved to another upstream or be overtaken by a more urgent
	// one.
	maxOvercommit = 1.0
	// queueReportTTL is how long a report of a short queue is used. maxReportedQueue is the longest reported queue that
	// still allows overcommit: the slot of the answered request takes one request from the queue.
	queueReportTTL   = 500 * time.Millisecond
	maxReportedQueue = 1
)

// extraSlots returns how many requests beyond its slots the upstream may be sent. If message delays are long compared
// to the work, a slot is idle at the upstream until the next request arrives. Overcommit lets a request wait there
// instead, unless the upstream already has a queue.
func (u *upstream) extraSlots(now time.Duration, p *Pool) int {
	if !p.config.Share.unrestricted() || u.suspect || u.reportedQueue > maxReportedQueue || u.reportedAt == 0 || now-u.reportedAt > queueReportTTL {
		return 0
	}
	return int(p.overcommit * float64(u.state.Slots))
}

// concurrency returns the number of requests usually assigned to the upstream at once.
func (u *upstream) concurrency(p *Pool) float64 {
	return float64(u.state.Slots) * (1 + p.overcommit)
}

// applyLoadReport records an upstream's load report: running requests, queued requests, slots, slowness in percent.
func (p *Pool) applyLoadReport(now time.Duration, u *upstream, load []uint32) {
	if len(load) < 3 {
		return
	}
	u.reportedQueue = load[1]
	u.reportedAt = now
	if len(load) > 3 {
		u.slowness = load[3]
		u.slownessAt = now
		u.speed.Report(now, load[3])
	}
	slots := u.state.Slots
	if slots == 0 || len(u.running) < slots {
		return
	}
	// If no requests are waiting, an idle slot does not indicate too little overcommit.
	shortfall := targetUtilization - 1
	if len(u.queue.tickets) > 0 || len(p.shared.tickets) > 0 {
		shortfall = targetUtilization - min(1, float64(load[0])/float64(slots))
	}
	p.overcommit = min(max(p.overcommit+overcommitGain*shortfall/float64(len(p.sorted)), 0), maxOvercommit)
}

// coldRateAllows reports whether one more request stays within the cold-start rate.
func (u *upstream) coldRateAllows(now time.Duration, p *Pool) bool {
	recent := 0
	for _, at := range u.coldSends {
		if now-at < coldRateWindow {
			recent++
		}
	}
	rate := p.service.ColdRate
	if rate <= 0 {
		return true
	}
	if p.config.Share.unrestricted() {
		return float64(recent+1) <= rate+1
	}
	// The rate, in requests per second, is divided by letting that many instances send one request each.
	return recent == 0 && p.config.Share.mayUse(u.state.ID, max(1, int(rate)))
}

func (u *upstream) recordSend(now time.Duration, id uint64, p *Pool) {
	if share, limited := u.limitShare(p); limited {
		u.limiter.spend(now, share)
	}
	u.running[id] = now
	u.backlog.valid = false
	u.lastSent = now
	if !u.isCold(now) {
		u.coldSends = u.coldSends[:0]
	}
	if len(u.coldSends) >= 64 {
		u.coldSends = append(u.coldSends[:0], u.coldSends[32:]...)
	}
	u.coldSends = append(u.coldSends, now)
}

// estimateLatency estimates the latency of one more request, counting failures as retries. An upstream that is new or
// has not been used recently is assumed to be fast, because only sending requests reveals its actual latency.
func (u *upstream) estimateLatency(now, median time.Duration) time.Duration {
	estimate := float64(u.typicalLatency())
	if u.latency == 0 {
		estimate = unknownLatencyFactor * float64(median)
	} else if now-u.lastSent > measurementTTL {
		estimate = min(estimate, unknownLatencyFactor*float64(median))
	}
	if now-u.slownessAt < slownessTTL && u.slowness > 0 {
		estimate *= float64(u.slowness) / 100
	}
	for _, since := range u.running {
		estimate = max(estimate, float64(now-since))
	}
	estimate *= 1 + runningPenalty*float64(len(u.running))
	if excess := len(u.running) - u.state.Slots + 1; excess > 0 {
		estimate += float64(u.typicalLatency()) * float64(excess) / float64(u.state.Slots)
	}
	return time.Duration(estimate * (1 + failurePenalty*u.failureRate))
}

const (
	// unknownLatencyFactor is the fraction of the median latency assumed for an upstream without measurements, low
	// enough to be preferred to all but the fastest. measurementTTL is how long a measurement is valid without a new
	// one. Upstreams that join must be in use within 4 s.
	unknownLatencyFactor = 0.4
	measurementTTL       = 2 * time.Second
	// runningPenalty is the relative increase in latency per running request.
	runningPenalty = 0.2
	// failurePenalty converts a failure rate to latency: a failed attempt costs its own time plus that of the retry.
	failurePenalty = 4
)
