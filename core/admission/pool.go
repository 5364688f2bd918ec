package admission

import (
	"sort"
	"time"

	"cuminlift/core/retry"
)

// Config constructs a Pool.
type Config struct {
	// Slots is the number of requests that one upstream runs at a time, at least 1.
	Slots int
	// Queue bounds the waiting requests, at least 1.
	Queue int
	// Cold is the time in which a started upstream's share grows to its slots.
	Cold time.Duration
	// HoldLimit bounds the wait for an upstream while none is usable.
	HoldLimit time.Duration
	// RetryShare and HedgeShare are parts of traffic that may be extra attempts.
	RetryShare float64
	HedgeShare float64
	// RoundRobin and LeastRunning choose baselines for measurements in place of the pool's own choice.
	RoundRobin   bool
	LeastRunning bool
}

// Pool is the queue and the slots of one service in one zone. It is not safe for concurrent use.
type Pool struct {
	config    Config
	now       time.Duration
	upstreams map[string]*upstream
	names     []string
	// queues holds waiting tickets by owner, and those that any upstream may answer under the empty name.
	queues  map[string]*queue
	waiting int
	order   uint64
	running map[uint64]*Ticket
	// copies counts the attempts in progress of each running ticket.
	copies  map[uint64]int
	retries *retry.Budget
	hedges  *retry.Budget
	turn    int
	// tail is the time after which an answer counts as late, for hedging.
	tail *quantile
	stop bool
}

// NewPool returns a pool without upstreams.
func NewPool(config Config) *Pool {
	return &Pool{
		config:    config,
		upstreams: map[string]*upstream{},
		queues:    map[string]*queue{},
		running:   map[uint64]*Ticket{},
		copies:    map[uint64]int{},
		retries:   retry.NewBudget(config.RetryShare),
		hedges:    retry.NewBudget(config.HedgeShare),
		tail:      newQuantile(hedgeQuantile),
	}
}

// hedgeQuantile is the part of answers that come before a hedge is sent.
const hedgeQuantile = 0.95

// SetUpstream tells the pool of an upstream. A new incarnation, or one that has just become cold, starts a ramp.
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
		u.sheds = 0
		u.pausedUntil = 0
	}
	if state.Incarnation == "" {
		state.Incarnation = u.state.Incarnation
	}
	u.state = state
}

// Remove forgets an upstream that has nothing in progress.
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

// Stop refuses what waits and all that comes later. What is in progress finishes.
func (p *Pool) Stop() {
	p.stop = true
}

// Idle reports whether nothing is in progress.
func (p *Pool) Idle() bool {
	return len(p.running) == 0
}

// Waiting returns the number of queued tickets.
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

// Submit takes a ticket in. It returns refusals: of the ticket itself, or of one that it displaced.
func (p *Pool) Submit(now time.Duration, t *Ticket) []Refusal {
	p.now = max(p.now, now)
	p.order++
	t.order = p.order
	if t.arrived == 0 {
		t.arrived = p.now
	}
	if t.Attempts == 0 {
		p.retries.Deposit()
		p.hedges.Deposit()
	}
	if p.stop {
		return []Refusal{p.refuse(t, Stopping)}
	}
	wait := p.expectedWait(t)
	if t.Soft && wait >= p.typical() {
		return []Refusal{p.refuse(t, Elsewhere)}
	}
	if wait > (t.Deadline-p.now)/waitShare || wait+p.typical() > t.Deadline-p.now {
		return []Refusal{p.refuse(t, TooLate)}
	}
	var refusals []Refusal
	if p.waiting >= p.config.Queue {
		worst := p.worst()
		if worst == nil || worst.Class <= t.Class {
			return []Refusal{p.refuse(t, QueueFull)}
		}
		p.queueOf(worst.Upstream).remove(worst.ID)
		p.waiting--
		refusals = append(refusals, p.refuse(worst, QueueFull))
	}
	p.queueOf(t.Upstream).add(t)
	p.waiting++
	return refusals
}

// waitShare bounds the expected wait: that part of the time to the deadline. Waiting longer answers nobody sooner, and
// leaves too little for an answer that takes longer than most.
const waitShare = 4

func (p *Pool) queueOf(name string) *queue {
	q := p.queues[name]
	if q == nil {
		q = &queue{}
		p.queues[name] = q
	}
	return q
}

func (p *Pool) worst() *Ticket {
	var worst *Ticket
	for _, q := range p.queues {
		t := q.least()
		if t == nil {
			continue
		}
		if worst == nil || t.Class > worst.Class || (t.Class == worst.Class && t.order > worst.order) {
			worst = t
		}
	}
	return worst
}

// Cancel takes a waiting ticket out. It reports false where the ticket does not wait.
func (p *Pool) Cancel(id uint64) bool {
	for _, q := range p.queues {
		if q.remove(id) != nil {
			p.waiting--
			return true
		}
	}
	return false
}

func (p *Pool) refuse(t *Ticket, reason Reason) Refusal {
	after := p.expectedWait(t)
	if reason == NoUpstream {
		after = max(after, p.config.HoldLimit)
	}
	return Refusal{
		Ticket:     t,
		Reason:     reason,
		RetryAfter: max(after, minPause),
	}
}

// expectedWait estimates the time until a ticket that is queued now is dispatched.
func (p *Pool) expectedWait(t *Ticket) time.Duration {
	q := p.queues[t.Upstream]
	ahead := 0
	if q != nil {
		ahead = q.ahead(t)
	}
	slots, busy := p.slotsFor(t.Upstream)
	if slots == 0 {
		return 0
	}
	if ahead == 0 && busy < slots {
		return 0
	}
	return p.typicalOf(t.Upstream) * time.Duration(ahead+1) / time.Duration(slots)
}

// slotsFor counts the slots of the owner, or of all upstreams that are not slow, and how many of them are taken.
func (p *Pool) slotsFor(owner string) (slots, busy int) {
	median := p.typical()
	for name, u := range p.upstreams {
		if !u.state.Usable || u.state.Leaving || (owner != "" && name != owner) {
			continue
		}
		if owner == "" && u.current(p.now) >= slowFactor*median {
			continue
		}
		slots += p.config.Slots
		busy += len(u.running)
	}
	return slots, busy
}

func (p *Pool) typicalOf(name string) time.Duration {
	if u := p.upstreams[name]; u != nil {
		return u.typical()
	}
	return p.typical()
}

// typical returns the median over upstreams of the expected time to an answer.
func (p *Pool) typical() time.Duration {
	var times []time.Duration
	for _, u := range p.upstreams {
		if u.state.Usable {
			times = append(times, u.typical())
		}
	}
	if len(times) == 0 {
		return firstLatency
	}
	sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
	return times[(len(times)-1)/2]
}

// Configure changes the bounds of a pool in use.
func (p *Pool) Configure(config Config) {
	p.config = config
}
