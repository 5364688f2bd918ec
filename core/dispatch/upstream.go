package dispatch

import "time"

// UpstreamState is what a pool is told of an upstream.
type UpstreamState struct {
	ID, Address, Zone string
	// Incarnation tells incarnations apart.
	Incarnation int64
	Slots       int
	// Usable is false for one that leaves or whose zone is out.
	Usable bool
	// ColdRemaining is how much longer it bears only little, by its own report.
	ColdRemaining time.Duration
}

// upstream is what a pool measured of one upstream.
type upstream struct {
	state UpstreamState
	// lane holds the tickets that wait for this upstream alone.
	lane *lane
	// running holds when each ticket was sent, and last is when the last one was.
	running map[uint64]time.Duration
	last    time.Duration
	// alive is when it last answered.
	alive time.Duration
	// latency is the moving average of the time to an answer, 0 before the first one.
	latency time.Duration
	// errors is the moving share of attempts that ended in a failure of the upstream, 0 to 1.
	errors float64
	// coldUntil is the end of its cold time, and sends are the times of the last sends while cold.
	coldUntil time.Duration
	sends     []time.Duration
	// blockedUntil is when it may be tried again, and blocks counts the reasons for it in a row.
	blockedUntil time.Duration
	blocks       int
	// suspect is true from a failed connection until the next answer: it may have restarted, and be cold.
	suspect bool
	// slowness is its own last report, in percent of usual, and slownessAt when that came.
	slowness   uint32
	slownessAt time.Duration
	// queued is how many requests waited there by its own last report, and reportedAt when that came, 0 for none.
	queued     uint32
	reportedAt time.Duration
}

const (
	// firstLatency stands for an upstream's time to an answer before the first one.
	firstLatency = 100 * time.Millisecond
	// latencyWeight is the weight of a new answer in the moving average: about ten answers count.
	latencyWeight = 0.1
	// errorWeight is the weight of a new outcome in the moving share of failures.
	errorWeight = 0.1
	// firstBlock and lastBlock bound how long an upstream that refused is left alone; each refusal in a row doubles it.
	firstBlock = 20 * time.Millisecond
	lastBlock  = 640 * time.Millisecond
	// unreachableBlock is the shortest time that one that could not be connected to is left alone.
	unreachableBlock = 250 * time.Millisecond
	// coldWindow is the time over which the sends to a cold upstream are bounded: a second, and what a message may be late.
	coldWindow = 1100 * time.Millisecond
	// slownessLasts is how long a report of slowness is believed; upstreams' slowness changes many times a second.
	slownessLasts = 150 * time.Millisecond
)

func (u *upstream) typical() time.Duration {
	if u.latency == 0 {
		return firstLatency
	}
	return u.latency
}

func (u *upstream) measure(took time.Duration) {
	if u.latency == 0 {
		u.latency = took
		return
	}
	u.latency += time.Duration(latencyWeight * float64(took-u.latency))
}

func (u *upstream) fail(failed bool) {
	value := 0.0
	if failed {
		value = 1
	}
	u.errors += errorWeight * (value - u.errors)
}

func (u *upstream) block(now, least time.Duration) {
	pause := max(least, firstBlock<<min(u.blocks, 5))
	u.blocks++
	u.blockedUntil = now + min(pause, max(lastBlock, least))
}

// cold reports whether the upstream bears only its cold rate at now.
func (u *upstream) cold(now time.Duration) bool {
	return u.suspect || now < u.coldUntil
}

// free returns how many more requests it may get at now.
func (u *upstream) free(now time.Duration, p *Pool) int {
	if !u.state.Usable || now < u.blockedUntil {
		return 0
	}
	slots := u.state.Slots
	if part := p.config.Share; !part.whole() {
		// A key has one owner, which all that are asked for the key need; of other upstreams each instance uses a few.
		if p.config.Owners == nil && !part.among(u.state.ID, partsPerSlot*slots) {
			return 0
		}
		slots = 1
	}
	if u.suspect {
		slots = 1
	}
	if u.cold(now) {
		if !u.coldRoom(now, p) {
			return 0
		}
		return slots - len(u.running)
	}
	return slots + u.ahead(now, p) - len(u.running)
}

// partsPerSlot is the number of instances that may use a slot while there is no coordinator. Requests come to them unevenly, upstreams queue a
// few, and where a zone is cut off an instance reaches only some of those that it may use: a dozen instances may use all.
const partsPerSlot = 6

const (
	// fullBusy is the share of its slots that an upstream is to work in while all of them are given out: the rest is what the lengths of
	// requests vary by.
	fullBusy = 0.94
	// leadGain is what one report of each upstream changes the lead by, for a share of 1 that is missing or too much: a second of answers
	// about doubles or halves what is sent ahead.
	leadGain = 1.0
	// leadMost bounds the lead, as a multiple of the slots: upstreams queue a few more than they work on, and what waits there can no longer go
	// to another one, or after a request that is more urgent.
	leadMost = 1.0
	// queueLasts is how long a report of a short queue is believed, and shortQueue how many may wait by it: the slot of the request that was
	// answered takes one of them.
	queueLasts = 500 * time.Millisecond
	shortQueue = 1
)

// ahead returns how many requests more than its slots an upstream gets. Where messages take long beside the work, a slot that was given out
// stands idle at the upstream until the next request arrives: one sent ahead waits there instead, unless others already do.
func (u *upstream) ahead(now time.Duration, p *Pool) int {
	if !p.config.Share.whole() || u.suspect || u.queued > shortQueue || u.reportedAt == 0 || now-u.reportedAt > queueLasts {
		return 0
	}
	return int(p.lead * float64(u.state.Slots))
}

// width returns how many requests an upstream is usually given at once.
func (u *upstream) width(p *Pool) float64 {
	return float64(u.state.Slots) * (1 + p.lead)
}

// report notes an upstream's own report: running, waiting, slots, slowness in percent.
func (p *Pool) report(now time.Duration, u *upstream, load []uint32) {
	if len(load) < 3 {
		return
	}
	u.queued = load[1]
	u.reportedAt = now
	if len(load) > 3 {
		u.slowness = load[3]
		u.slownessAt = now
	}
	slots := u.state.Slots
	if slots == 0 || len(u.running) < slots {
		return
	}
	// Where nobody waits, a slot may stand idle for want of requests.
	missing := fullBusy - 1
	if len(u.lane.tickets) > 0 || len(p.open.tickets) > 0 {
		missing = fullBusy - min(1, float64(load[0])/float64(slots))
	}
	p.lead = min(max(p.lead+leadGain*missing/float64(len(p.order)), 0), leadMost)
}

// coldRoom reports whether one more request keeps to the cold rate.
func (u *upstream) coldRoom(now time.Duration, p *Pool) bool {
	recent := 0
	for _, at := range u.sends {
		if now-at < coldWindow {
			recent++
		}
	}
	rate := p.service.ColdRate
	if rate <= 0 {
		return true
	}
	if p.config.Share.whole() {
		return float64(recent+1) <= rate+1
	}
	// As many instances as the rate has requests a second send one each.
	return recent == 0 && p.config.Share.among(u.state.ID, max(1, int(rate)))
}

func (u *upstream) sent(now time.Duration, id uint64) {
	u.running[id] = now
	u.last = now
	if !u.cold(now) {
		u.sends = u.sends[:0]
	}
	if len(u.sends) >= 64 {
		u.sends = append(u.sends[:0], u.sends[32:]...)
	}
	u.sends = append(u.sends, now)
}

// expected estimates the time to an answer of one more request, with its failures counted as repeats.
// One that is new, or was not asked for long, is taken for fast: what it can do is found out by asking.
func (u *upstream) expected(now, usual time.Duration) time.Duration {
	estimate := float64(u.typical())
	if u.latency == 0 {
		estimate = hope * float64(usual)
	} else if now-u.last > stale {
		estimate = min(estimate, hope*float64(usual))
	}
	if now-u.slownessAt < slownessLasts && u.slowness > 0 {
		estimate *= float64(u.slowness) / 100
	}
	for _, since := range u.running {
		estimate = max(estimate, float64(now-since))
	}
	estimate *= 1 + runningCost*float64(len(u.running))
	if more := len(u.running) - u.state.Slots + 1; more > 0 {
		estimate += float64(u.typical()) * float64(more) / float64(u.state.Slots)
	}
	return time.Duration(estimate * (1 + failureCost*u.errors))
}

const (
	// hope is the part of the usual time at which an unknown upstream is put, low enough to go before all but the fastest; stale is how
	// long a measurement holds without a new one: upstreams that join are to be in use within 4 s.
	hope  = 0.4
	stale = 2 * time.Second
	// runningCost is the part by which an upstream slows with each request that it runs.
	runningCost = 0.2
	// failureCost weighs a share of failures as time: a failed attempt costs its own time and that of another one.
	failureCost = 4
)
