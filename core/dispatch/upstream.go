package dispatch

import "time"

// UpstreamState is what a pool is told of an upstream.
type UpstreamState struct {
	ID, Address, Zone string
	// Born tells incarnations apart.
	Born  int64
	Slots int
	// Usable is false for one that leaves or whose zone is out.
	Usable bool
	// Cold is how much longer it bears only little, by its own report.
	Cold time.Duration
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
	if p.config.Share < 1 {
		slots = 1
	}
	if u.suspect {
		slots = 1
	}
	if u.cold(now) && !u.coldRoom(now, p) {
		return 0
	}
	return slots - len(u.running)
}

// coldRoom reports whether one more request keeps to the cold rate.
func (u *upstream) coldRoom(now time.Duration, p *Pool) bool {
	recent := 0
	for _, at := range u.sends {
		if now-at < coldWindow {
			recent++
		}
	}
	rate := p.service.ColdPerSecond
	if rate <= 0 {
		return true
	}
	if p.config.Share >= 1 {
		return float64(recent+1) <= rate+1
	}
	last := len(u.sends) - 1
	return last < 0 || float64(now-u.sends[last]) >= float64(time.Second)/(rate*p.config.Share)
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
