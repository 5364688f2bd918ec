package admission

import (
	"sort"
	"time"

	"cuminlift/core/retry"
)

// Config configures a Pool.
type Config struct {
	// Slots is the concurrency limit of each upstream, at least 1.
	Slots int
	// QueueLimit bounds the number of waiting requests, at least 1.
	QueueLimit int
	// Cold is the duration of slow start: the time in which a started upstream ramps up to all its slots.
	Cold time.Duration
	// HoldLimit bounds how long requests are held while no upstream is usable.
	HoldLimit time.Duration
	// RetryRatio and HedgeRatio bound retries and hedges as fractions of the submitted requests.
	RetryRatio float64
	HedgeRatio float64
	// RoundRobin and LeastRunning replace the latency-based choice of upstream with a baseline for measurements.
	RoundRobin   bool
	LeastRunning bool
}

// Pool holds the queue and tracks the slots of one service in one zone. It is not safe for concurrent use.
type Pool struct {
	config    Config
	now       time.Duration
	upstreams map[string]*upstream
	names     []string
	// queues holds the waiting requests by owner. Requests that any upstream may answer are under the empty name.
	queues   map[string]*queue
	waiting  int
	sequence uint64
	running  map[uint64]*QueuedRequest
	// inFlight counts the attempts in progress of each running request.
	inFlight       map[uint64]int
	retries        *retry.Budget
	hedges         *retry.Budget
	nextRoundRobin int
	// tailLatency estimates the latency after which a request is hedged.
	tailLatency *quantile
	stopping    bool
}

// NewPool returns a pool without upstreams.
func NewPool(config Config) *Pool {
	return &Pool{
		config:      config,
		upstreams:   map[string]*upstream{},
		queues:      map[string]*queue{},
		running:     map[uint64]*QueuedRequest{},
		inFlight:    map[uint64]int{},
		retries:     retry.NewBudget(config.RetryRatio),
		hedges:      retry.NewBudget(config.HedgeRatio),
		tailLatency: newQuantile(hedgeQuantile),
	}
}

// hedgeQuantile is the latency quantile after which a request is hedged.
const hedgeQuantile = 0.95

// SetUpstream adds or updates an upstream. A new incarnation, or a report that the upstream has become cold, starts a
// ramp.
func (p *Pool) SetUpstream(now time.Duration, state UpstreamState) {
	p.now = max(p.now, now)
	u := p.upstreams[state.Name]
	if u == nil {
		u = &upstream{
			running: map[uint64]time.Duration{},
		}
		p.upstreams[state.Name] = u
		p.names = append(p.names, state.Name)
		sort.Strings(p.names)
	}
	restarted := state.Incarnation != u.state.Incarnation && state.Incarnation != ""
	if restarted || (state.Cold && !u.state.Cold) {
		u.startRamp(p.now)
	}
	if restarted {
		u.consecutiveSheds = 0
		u.backoffUntil = 0
	}
	if state.Incarnation == "" {
		state.Incarnation = u.state.Incarnation
	}
	u.state = state
}

// Remove removes an upstream, unless it has requests in progress.
func (p *Pool) Remove(name string) {
	u := p.upstreams[name]
	if u == nil || len(u.running) > 0 {
		return
	}
	delete(p.upstreams, name)
	p.names = nil
	for n := range p.upstreams {
		p.names = append(p.names, n)
	}
	sort.Strings(p.names)
}

// Stop makes the pool refuse queued and new requests. Requests in progress continue.
func (p *Pool) Stop() {
	p.stopping = true
}

// Idle reports whether no request is in progress.
func (p *Pool) Idle() bool {
	return len(p.running) == 0
}

// Waiting returns the number of queued requests.
func (p *Pool) Waiting() int {
	return p.waiting
}

// Running returns the number of attempts in progress at an upstream.
func (p *Pool) Running(name string) int {
	if u := p.upstreams[name]; u != nil {
		return len(u.running)
	}
	return 0
}

// Submit queues r. It returns the refusal of r itself, or of the less urgent request that r displaced from a full queue.
func (p *Pool) Submit(now time.Duration, r *QueuedRequest) []Refusal {
	p.now = max(p.now, now)
	p.sequence++
	r.sequence = p.sequence
	if r.arrivedAt == 0 {
		r.arrivedAt = p.now
	}
	if r.Attempts == 0 {
		p.retries.Deposit()
		p.hedges.Deposit()
	}
	if p.stopping {
		return []Refusal{p.refuse(r, Stopping)}
	}
	wait := p.expectedWait(r)
	if r.CanSpillOver && wait >= p.expectedLatency() {
		return []Refusal{p.refuse(r, Elsewhere)}
	}
	if wait > (r.Deadline-p.now)/waitDivisor || wait+p.expectedLatency() > r.Deadline-p.now {
		return []Refusal{p.refuse(r, TooLate)}
	}
	var refusals []Refusal
	if p.waiting >= p.config.QueueLimit {
		leastUrgent := p.leastUrgent()
		if leastUrgent == nil || leastUrgent.Class <= r.Class {
			return []Refusal{p.refuse(r, QueueFull)}
		}
		p.queueOf(leastUrgent.Upstream).remove(leastUrgent.ID)
		p.waiting--
		refusals = append(refusals, p.refuse(leastUrgent, QueueFull))
	}
	p.queueOf(r.Upstream).add(r)
	p.waiting++
	return refusals
}

// waitDivisor bounds the expected wait to 1/waitDivisor of the time to the deadline. A longer wait gets no request
// answered sooner, and leaves too little time for an answer slower than most.
const waitDivisor = 4

func (p *Pool) queueOf(name string) *queue {
	q := p.queues[name]
	if q == nil {
		q = &queue{}
		p.queues[name] = q
	}
	return q
}

// leastUrgent returns the queued request to shed first, or nil.
func (p *Pool) leastUrgent() *QueuedRequest {
	var leastUrgent *QueuedRequest
	for _, q := range p.queues {
		r := q.lowestPriority()
		if r == nil {
			continue
		}
		if leastUrgent == nil || r.Class > leastUrgent.Class || (r.Class == leastUrgent.Class && r.sequence > leastUrgent.sequence) {
			leastUrgent = r
		}
	}
	return leastUrgent
}

// Cancel removes a request from the queue. It reports whether the request was queued.
func (p *Pool) Cancel(id uint64) bool {
	for _, q := range p.queues {
		if q.remove(id) != nil {
			p.waiting--
			return true
		}
	}
	return false
}

func (p *Pool) refuse(r *QueuedRequest, reason Reason) Refusal {
	after := p.expectedWait(r)
	if reason == NoUpstream {
		after = max(after, p.config.HoldLimit)
	}
	return Refusal{
		QueuedRequest: r,
		Reason:        reason,
		RetryAfter:    max(after, minBackoff),
	}
}

// expectedWait estimates the time until r is dispatched if it is queued now.
func (p *Pool) expectedWait(r *QueuedRequest) time.Duration {
	q := p.queues[r.Upstream]
	ahead := 0
	if q != nil {
		ahead = q.ahead(r)
	}
	slots, busy := p.slotsFor(r.Upstream)
	if slots == 0 {
		return 0
	}
	if ahead == 0 && busy < slots {
		return 0
	}
	return p.expectedLatencyOf(r.Upstream) * time.Duration(ahead+1) / time.Duration(slots)
}

// slotsFor returns the number of slots, and of those in use, at the owner. If owner is empty, it counts all upstreams
// that are not slow.
func (p *Pool) slotsFor(owner string) (slots, busy int) {
	median := p.expectedLatency()
	for name, u := range p.upstreams {
		if !u.state.Usable || u.state.Draining || (owner != "" && name != owner) {
			continue
		}
		if owner == "" && u.currentLatency(p.now) >= slowFactor*median {
			continue
		}
		slots += p.config.Slots
		busy += len(u.running)
	}
	return slots, busy
}

// expectedLatencyOf returns the expected latency of the named upstream, or the median if the pool does not know it.
func (p *Pool) expectedLatencyOf(name string) time.Duration {
	if u := p.upstreams[name]; u != nil {
		return u.expectedLatency()
	}
	return p.expectedLatency()
}

// expectedLatency returns the median of the expected latencies of the usable upstreams.
func (p *Pool) expectedLatency() time.Duration {
	var times []time.Duration
	for _, u := range p.upstreams {
		if u.state.Usable {
			times = append(times, u.expectedLatency())
		}
	}
	if len(times) == 0 {
		return initialLatency
	}
	sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
	return times[(len(times)-1)/2]
}

// Configure replaces the configuration of a pool in use.
func (p *Pool) Configure(config Config) {
	p.config = config
}
