package dispatch

import (
	"sort"
	"time"

	"cuminlift/core/cost"
	"cuminlift/core/request"
	"cuminlift/core/route"
)

// Owners looks up the owner of a key.
type Owners interface {
	// Owner returns the upstream that owns key. ok is false if the key has no owner.
	Owner(now time.Duration, key uint32) (upstream string, ok bool)
}

// Config holds the parameters of a Pool.
type Config struct {
	// Share is the fraction of the service-wide limits that this pool may use.
	Share Share
	// RetryRatio, RetrySlack and RetryWindow define the retry budget: in any window, at most RetryRatio times the
	// number of requests, plus RetrySlack.
	RetryRatio, RetrySlack float64
	RetryWindow            time.Duration
	// Owners is nil for a service without keys.
	Owners Owners
	// Suspects is shared by the pools of all services. If it is nil, the pool has its own.
	Suspects *Suspects
	// Quota is shared by the pools of all services. It is nil if workspaces have no quotas.
	Quota Quota
	// Promised returns the rate promised to a workspace. It is nil if none is.
	Promised func(workspace string) (rate, burst float64, limited bool)
	// BoundHeldBytes bounds the size of the requests that one upstream holds.
	BoundHeldBytes bool
}

// Pool queues the requests of one service and assigns them to its upstreams. It is not safe for concurrent use.
type Pool struct {
	config    Config
	service   route.Service
	upstreams map[string]*upstream
	sorted    []*upstream
	// shared holds tickets that any upstream may run, unowned those whose key has no owner. Each upstream also has a
	// queue of its own.
	shared, unowned *queue
	// tickets holds the waiting tickets by ID.
	tickets map[uint64]*Ticket
	// dirty lists the queues to process, and lastSweep is when all queues were last scanned.
	dirty     []*queue
	lastSweep time.Duration
	running   map[uint64]assignment
	budget    *budget
	// retryCoverage is the part of the budget's window that is known.
	retryCoverage float64
	fair          fairShares
	initialized   bool
	refusals      []Decision
	// ownerWait is how long a request waits for its key to get an owner.
	ownerWait time.Duration
	// overcommit is the number of requests sent to an upstream beyond its slots, as a fraction of the slots.
	overcommit float64
	// sent and refused count decisions.
	sent, refused uint64
	// pausedUntil is when the last pause of an upstream ends.
	pausedUntil time.Duration
	// median caches the result of medianLatency, 0 for none, and medianAt is when it was computed.
	median, medianAt time.Duration
	// mixed is true if the service gets requests of different kinds, which are then told apart in kinds. mix counts them.
	mixed bool
	mix   mix
	kinds kinds
	// factor and capacity cache the results of usualFactor, computed at factorAt, 0 for none.
	factor, capacity float64
	factorAt         time.Duration
	// shortest caches the result of shortestWork, computed at shortestAt, 0 for none.
	shortest, shortestAt time.Duration
	// turnaround is the average time between grant and report of a request that it does not spend at the upstream: messages, and work that
	// waits in the instances. It is used on services with mixed kinds.
	turnaround time.Duration
	// heldCeiling bounds what upstreams hold after one has ended.
	heldCeiling heldCeiling
	// held counts tickets of a level that wait for a faster upstream.
	held int
	// stretches and queueBuffer are buffers.
	stretches   []float64
	queueBuffer []*queue
}

// assignment is what a running ticket was granted.
type assignment struct {
	upstream *upstream
	// incarnation is the start of the upstream that got the request, at sent.
	incarnation int64
	sent        time.Duration
	instance    string
	identity    request.Identity
	// trial is true if the request was suspected to crash upstreams when it was sent.
	trial bool
	// kind is set on services with mixed kinds. work is the expected work of the request, wait the expected time in the queue of the
	// upstream, and predicted the time in which it was expected to be answered.
	kind                  *kind
	work, wait, predicted time.Duration
	key                   uint32
	bytes                 int
	// workspace was charged for the request; it is empty for none.
	workspace string
	held      heldTicket
}

// NewPool returns a pool without upstreams.
func NewPool(config Config) *Pool {
	if config.Suspects == nil {
		config.Suspects = &Suspects{}
	}
	return &Pool{
		config:    config,
		upstreams: map[string]*upstream{},
		shared:    &queue{},
		unowned: &queue{
			unowned: true,
		},
		tickets:   map[uint64]*Ticket{},
		lastSweep: -sweepInterval,
		running:   map[uint64]assignment{},
		budget:    newBudget(config),
		ownerWait: DefaultOwnerWait,

		retryCoverage: 1,
	}
}

// SetOwnerWait changes how long a request waits for its key to get an owner. If it is 0, the request is refused at once.
func (p *Pool) SetOwnerWait(wait time.Duration) {
	p.ownerWait = wait
}

// SetService sets the service configuration.
func (p *Pool) SetService(service route.Service) {
	if service.Mixed != p.service.Mixed {
		p.mix = mix{}
		p.setMixed(service.Mixed)
	}
	p.service = service
}

// SetShare changes the pool's share of the service-wide limits.
func (p *Pool) SetShare(share Share) {
	if share == p.config.Share {
		return
	}
	p.config.Share = share
	p.SetRetryCoverage(p.retryCoverage)
}

// SetUpstreams replaces the list of the service's upstreams. An upstream counts as cold if it joins after the first
// call, restarts, or becomes usable again.
func (p *Pool) SetUpstreams(now time.Duration, states []UpstreamState) {
	present := map[string]bool{}
	for _, state := range states {
		present[state.ID] = true
		p.setUpstream(now, state)
	}
	p.sorted = p.sorted[:0]
	for id, u := range p.upstreams {
		if !present[id] {
			u.state.Usable = false
			if len(u.running) == 0 && len(u.queue.tickets) == 0 {
				delete(p.upstreams, id)
				continue
			}
		}
		p.sorted = append(p.sorted, u)
	}
	sort.Slice(p.sorted, func(i, j int) bool { return p.sorted[i].state.ID < p.sorted[j].state.ID })
	p.initialized = true
	p.lastSweep = now - sweepInterval
}

func (p *Pool) setUpstream(now time.Duration, state UpstreamState) {
	u := p.upstreams[state.ID]
	newIncarnation := u == nil || u.state.Incarnation != state.Incarnation
	returned := u != nil && !u.state.Usable && state.Usable
	if u == nil {
		u = &upstream{
			running: map[uint64]time.Duration{},
			held:    &heldBytes{},
		}
		u.queue = &queue{
			owner: u,
		}
		p.upstreams[state.ID] = u
	}
	if newIncarnation {
		u.blockCount, u.blockedUntil, u.failureRate, u.suspect, u.latency = 0, 0, 0, false, 0
		u.learned, u.learnedSamples = 0, 0
		u.limiter, u.pauses, u.withheld, u.held = limiter{}, pauses{}, pauses{}, &heldBytes{}
		u.speed, u.backlog = cost.Speed{}, backlog{}
	}
	if (newIncarnation && p.initialized) || returned {
		u.coldUntil = now + max(state.ColdRemaining, p.service.ColdDuration)
	}
	// A reported remaining time counts from when the report arrived. The same report is repeated whenever another
	// upstream changes, and must not extend the cold start then.
	if state.ColdRemaining > 0 && (newIncarnation || state.ColdRemaining != u.state.ColdRemaining) {
		u.coldUntil = max(u.coldUntil, now+state.ColdRemaining)
	}
	u.state = state
}

const (
	// priorityStep is the waiting time that one level of priority is worth.
	priorityStep = 150 * time.Millisecond
	// bulkDelay orders small responses before bulk responses that arrived slightly earlier.
	bulkDelay = 50 * time.Millisecond
)

// Submit adds a ticket to the pool. A later call of Decide returns the decision. An earlier ticket with the same ID has ended.
func (p *Pool) Submit(now time.Duration, t *Ticket) {
	p.Cancel(now, t.ID)
	t.arrived = now
	if p.service.Mixed && !t.Bulk {
		p.setMixed(p.mix.count(now, t.Class, p.mixed))
	}
	p.order(now, t)
	if t.Attempt == 0 && !t.Returned && !t.Resubmitted {
		p.budget.countRequest(now)
	}
	if v := p.verdict(now, t); v.Quarantine > 0 {
		p.refuse(now, t, Quarantined, v.Quarantine, 0)
		return
	}
	if wait, ok := p.reserveQuota(now, t); !ok {
		p.refuse(now, t, OverQuota, wait, 0)
		return
	}
	behind := p.putBack(now, t)
	t.rank += behind
	q := p.queueFor(now, t)
	if p.mixed {
		q.countArrival(now, t)
	}
	wait, work := p.expectedWait(now, t, q)
	if wait > 0 {
		wait = max(wait, behind) // Others use the capacity until then.
	}
	own, others := p.pauseOf(now, t, q)
	if t.Attempt > 0 && !t.Unsent && !t.Returned && !p.budget.take(now) {
		p.refuse(now, t, NoBudget, max(wait, others), work)
		return
	}
	if reason, ok := p.admit(now, t, q, max(wait, own), work); !ok {
		p.refuse(now, t, reason, max(wait, others), work)
		return
	}
	q.insert(t)
	p.tickets[t.ID] = t
	p.markDirty(q)
}

// order sets the rank of a ticket, which alone orders the queues.
func (p *Pool) order(now time.Duration, t *Ticket) {
	if p.mixed {
		p.setOrder(now, t)
		return
	}
	t.rank = t.arrived + time.Duration(t.Priority)*priorityStep
	if t.Bulk {
		t.rank += bulkDelay
	}
}

// admit reports whether t may be queued, which requires that it is expected to be answered in time.
func (p *Pool) admit(now time.Duration, t *Ticket, q *queue, wait, work time.Duration) (Reason, bool) {
	if !p.anyUsable() {
		return NoUpstream, false
	}
	if q.unowned && p.ownerWait == 0 {
		return NoOwner, false
	}
	if wait == 0 {
		return "", true
	}
	if p.mixed {
		return TooLate, p.admitMixed(now, t, wait, work)
	}
	finish := now + wait + work
	if finish <= t.Objective {
		return "", true
	}
	// The request will miss its objective. It may be queued if it is likely to be answered within the time that a late
	// request may wait.
	return TooLate, wait <= time.Duration(lateWaitShare*float64(t.Deadline-now)) && finish+work < t.Deadline
}

func (p *Pool) anyUsable() bool {
	for _, u := range p.sorted {
		if u.state.Usable {
			return true
		}
	}
	return false
}

// owner returns the only upstream that may run t, or nil if any may. ok is false if the key of t has no owner.
func (p *Pool) owner(now time.Duration, t *Ticket) (u *upstream, ok bool) {
	if p.config.Owners == nil || t.Key == 0 {
		return nil, true
	}
	id, owned := p.config.Owners.Owner(now, t.Key-1)
	if !owned {
		return nil, false
	}
	u = p.upstreams[id]
	return u, u != nil
}

// expectedWait estimates how long t, which is or would be in q, waits for a slot, and how long it then takes to be
// answered.
func (p *Pool) expectedWait(now time.Duration, t *Ticket, q *queue) (wait, work time.Duration) {
	if p.mixed {
		return p.expectedMixed(now, t, q)
	}
	return p.uniformWait(now, t, q)
}

// uniformWait is expectedWait for requests that all take the typical latency of their upstream.
func (p *Pool) uniformWait(now time.Duration, t *Ticket, q *queue) (wait, work time.Duration) {
	if q.unowned {
		return 0, defaultLatency
	}
	position := q.position(t.rank)
	if owner := q.owner; owner != nil {
		if position == 0 && owner.freeSlots(now, p) > 0 {
			return 0, owner.typicalLatency()
		}
		return waitFor(position+1, owner.throughput(p, owner.typicalLatency())), owner.typicalLatency()
	}
	slots, slotRate, rate := 0.0, 0.0, 0.0
	for _, u := range p.sorted {
		if !u.state.Usable {
			continue
		}
		if len(q.tickets) == 0 && u.freeSlots(now, p) > 0 {
			return 0, u.typicalLatency()
		}
		slots += u.concurrency(p)
		slotRate += u.concurrency(p) / u.typicalLatency().Seconds()
		rate += u.throughput(p, u.typicalLatency())
	}
	if slots == 0 {
		return 0, defaultLatency
	}
	return waitFor(position+1, rate), time.Duration(slots / slotRate * float64(time.Second))
}

// Cancel removes a ticket that is waiting or running.
func (p *Pool) Cancel(now time.Duration, id uint64) {
	if t := p.tickets[id]; t != nil {
		p.dequeue(t)
		return
	}
	p.keepCharge(id)
	p.End(now, id, Abandoned, 0, nil)
}

// dequeue removes a waiting ticket.
func (p *Pool) dequeue(t *Ticket) {
	if t.queue != nil {
		t.queue.remove(t)
	}
	delete(p.tickets, t.ID)
	p.cancelQuota(t)
	p.uncountFair(t)
}

// Waiting returns the number of queued tickets.
func (p *Pool) Waiting() int {
	return len(p.tickets)
}
