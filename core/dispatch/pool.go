package dispatch

import (
	"sort"
	"time"

	"cuminlift/core/route"
)

// Owners tells who owns a key.
type Owners interface {
	// Owner reports false while the key has no owner.
	Owner(now time.Duration, key uint32) (upstream string, ok bool)
}

// Config constructs a Pool.
type Config struct {
	// Share is the part of the service's bounds that this pool may use.
	Share Share
	// RetryRatio, RetrySlack and RetryWindow bound further attempts: in any window at most share times the requests, and slack.
	RetryRatio, RetrySlack float64
	RetryWindow            time.Duration
	// Owners is nil for a service without keys.
	Owners Owners
}

// Pool is the queue of one service with its upstreams. It is not safe for concurrent use.
type Pool struct {
	config    Config
	service   route.Service
	upstreams map[string]*upstream
	order     []*upstream
	// open holds tickets for any upstream, ownerless those whose key has no owner; each upstream has a lane of its own besides.
	open, ownerless *lane
	// tickets are those that wait, by their number.
	tickets map[uint64]*Ticket
	// dirty are the lanes to look at, and swept is when all were looked at last.
	dirty    []*lane
	swept    time.Duration
	running  map[uint64]*upstream
	budget   *budget
	started  bool
	refusals []Decision
	// lead is how many more requests than its slots an upstream gets, as a share of the slots.
	lead float64
	// sent and refused count decisions.
	sent, refused uint64
	// median is the cached answer of usual, 0 for none, and medianAt is when it was worked out.
	median, medianAt time.Duration
}

// NewPool returns a pool without upstreams.
func NewPool(config Config) *Pool {
	return &Pool{
		config:    config,
		upstreams: map[string]*upstream{},
		open:      &lane{},
		ownerless: &lane{
			ownerless: true,
		},
		tickets: map[uint64]*Ticket{},
		swept:   -sweepStep,
		running: map[uint64]*upstream{},
		budget:  newBudget(config),
	}
}

// SetService tells how the service's upstreams are to be treated.
func (p *Pool) SetService(service route.Service) {
	p.service = service
}

// SetShare changes the pool's part of the bounds.
func (p *Pool) SetShare(part Share) {
	if part == p.config.Share {
		return
	}
	p.config.Share = part
	p.budget.slack = budgetSlack(p.config)
}

// SetUpstreams tells of all upstreams of the service. One that joins after the first call, starts anew, or whose zone comes back, is
// taken for cold.
func (p *Pool) SetUpstreams(now time.Duration, states []UpstreamState) {
	present := map[string]bool{}
	for _, state := range states {
		present[state.ID] = true
		p.setUpstream(now, state)
	}
	p.order = p.order[:0]
	for id, u := range p.upstreams {
		if !present[id] {
			u.state.Usable = false
			if len(u.running) == 0 && len(u.lane.tickets) == 0 {
				delete(p.upstreams, id)
				continue
			}
		}
		p.order = append(p.order, u)
	}
	sort.Slice(p.order, func(i, j int) bool { return p.order[i].state.ID < p.order[j].state.ID })
	p.started = true
	p.swept = now - sweepStep
}

func (p *Pool) setUpstream(now time.Duration, state UpstreamState) {
	u := p.upstreams[state.ID]
	fresh := u == nil || u.state.Incarnation != state.Incarnation
	returned := u != nil && !u.state.Usable && state.Usable
	if u == nil {
		u = &upstream{
			running: map[uint64]time.Duration{},
		}
		u.lane = &lane{
			owner: u,
		}
		p.upstreams[state.ID] = u
	}
	if fresh {
		u.blocks, u.blockedUntil, u.errors, u.suspect, u.latency = 0, 0, 0, false, 0
	}
	if (fresh && p.started) || returned {
		u.coldUntil = now + max(state.ColdRemaining, p.service.ColdDuration)
	}
	// A report counts from when it came; it is told again with each change of another upstream.
	if state.ColdRemaining > 0 && (fresh || state.ColdRemaining != u.state.ColdRemaining) {
		u.coldUntil = max(u.coldUntil, now+state.ColdRemaining)
	}
	u.state = state
}

const (
	// priorityStep is the waiting time that one step of priority is worth.
	priorityStep = 150 * time.Millisecond
	// bulkStep lets small answers go before bulk ones that came a little earlier.
	bulkStep = 50 * time.Millisecond
)

// Submit takes a ticket in. Decide tells what becomes of it.
func (p *Pool) Submit(now time.Duration, t *Ticket) {
	t.arrived = now
	t.rank = now + time.Duration(t.Priority)*priorityStep
	if t.Bulk {
		t.rank += bulkStep
	}
	if t.Attempt == 0 {
		p.budget.request(now)
	}
	l := p.laneOf(now, t)
	wait, work := p.expectedWait(now, t, l)
	if t.Attempt > 0 && !p.budget.take(now) {
		p.refuse(t, NoBudget, wait, work)
		return
	}
	if reason, ok := p.admit(now, t, wait, work); !ok {
		p.refuse(t, reason, wait, work)
		return
	}
	l.insert(t)
	p.tickets[t.ID] = t
	p.mark(l)
}

// admit reports whether t may wait: it is expected to be answered while that is worth something.
func (p *Pool) admit(now time.Duration, t *Ticket, wait, work time.Duration) (Reason, bool) {
	if !p.anyUsable() {
		return NoUpstream, false
	}
	if wait == 0 {
		return "", true
	}
	finish := now + wait + work
	if finish <= t.Objective {
		return "", true
	}
	// It will be late. It waits where an answer is likely before the time that it may wait is over.
	return TooLate, wait <= time.Duration(lateHold*float64(t.Deadline-now)) && finish+work < t.Deadline
}

func (p *Pool) anyUsable() bool {
	for _, u := range p.order {
		if u.state.Usable {
			return true
		}
	}
	return false
}

// owner returns the upstream that alone may run t, or nil; ok is false while its key has no owner.
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

// expectedWait estimates how long t, which is or would be in lane l, waits for a slot, and how long its work takes then.
func (p *Pool) expectedWait(now time.Duration, t *Ticket, l *lane) (wait, work time.Duration) {
	if l.ownerless {
		return 0, firstLatency
	}
	ahead := l.ahead(t.rank)
	if owner := l.owner; owner != nil {
		if ahead == 0 && owner.free(now, p) > 0 {
			return 0, owner.typical()
		}
		return time.Duration(float64(owner.typical()) * float64(ahead+1) / owner.width(p)), owner.typical()
	}
	slots, rate := 0.0, 0.0
	for _, u := range p.order {
		if !u.state.Usable {
			continue
		}
		if len(l.tickets) == 0 && u.free(now, p) > 0 {
			return 0, u.typical()
		}
		slots += u.width(p)
		rate += u.width(p) / u.typical().Seconds()
	}
	if slots == 0 {
		return 0, firstLatency
	}
	return time.Duration(float64(ahead+1) / rate * float64(time.Second)), time.Duration(slots / rate * float64(time.Second))
}

// Cancel takes a ticket back, whether it waits or runs.
func (p *Pool) Cancel(now time.Duration, id uint64) {
	if t := p.tickets[id]; t != nil {
		p.leave(t)
		return
	}
	p.End(now, id, Abandoned, 0, nil)
}

// leave takes a waiting ticket out.
func (p *Pool) leave(t *Ticket) {
	if t.lane != nil {
		t.lane.remove(t)
	}
	delete(p.tickets, t.ID)
}

// Head gives the slot of a ticket back whose answer has begun: the upstream's work is done. End is still to come.
func (p *Pool) Head(now time.Duration, id uint64, took time.Duration, load []uint32) {
	u := p.running[id]
	if u == nil || !p.vacate(now, u, id, load) {
		return
	}
	u.measure(took)
}

// vacate frees the slot of a ticket, and reports false where that was done before.
func (p *Pool) vacate(now time.Duration, u *upstream, id uint64, load []uint32) bool {
	if _, held := u.running[id]; !held {
		return false
	}
	p.report(now, u, load)
	delete(u.running, id)
	p.mark(u.lane)
	p.mark(p.open)
	return true
}

// End tells how a ticket ended, and gives its slot back where Head has not. load is the upstream's own report, nil without one.
func (p *Pool) End(now time.Duration, id uint64, outcome Outcome, took time.Duration, load []uint32) {
	u := p.running[id]
	if u == nil {
		return
	}
	held := p.vacate(now, u, id, load)
	delete(p.running, id)
	switch outcome {
	case Answered:
		if held {
			u.measure(took)
		}
		u.fail(false)
		u.answered(now, p)
	case Erred:
		u.fail(true)
		u.answered(now, p)
	case Shed:
		u.fail(true)
		u.block(now, 0)
	case Unreachable:
		u.fail(true)
		u.suspect = true
		u.block(now, unreachableBlock)
	case Lost:
		u.fail(true)
	case Misdirected:
		u.block(now, 0)
	case Abandoned:
	}
}

// answered notes that the upstream lives.
func (u *upstream) answered(now time.Duration, p *Pool) {
	u.blocks = 0
	u.alive = now
	if u.suspect {
		u.suspect = false
		u.coldUntil = max(u.coldUntil, now+p.service.ColdDuration)
	}
}

// Waiting returns the number of queued tickets.
func (p *Pool) Waiting() int {
	return len(p.tickets)
}

func (p *Pool) refuse(t *Ticket, reason Reason, wait, work time.Duration) {
	p.refusals = append(p.refusals, Decision{
		Ticket:     t,
		Reason:     reason,
		RetryAfter: comeBack(wait, work),
	})
}

// minRetryAfter is the shortest time after which asking again makes sense: a few round trips.
const minRetryAfter = 30 * time.Millisecond

// comeBack returns when asking again may help, by the expected wait for a slot and the time of the work.
func comeBack(wait, work time.Duration) time.Duration {
	return max(wait, work/2, minRetryAfter)
}

// MarkReachable notes that an upstream that could not be connected to answers again.
func (p *Pool) MarkReachable(now time.Duration, id string) {
	if u := p.upstreams[id]; u != nil {
		u.answered(now, p)
		u.blockedUntil = 0
	}
}
