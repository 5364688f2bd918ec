package dispatch

import (
	"math"
	"slices"
	"time"

	"cuminlift/core/cost"
)

// backlog is the work that remains at an upstream, as expected from what was sent to it. Times are for its present speed.
type backlog struct {
	// total is the sum over running requests, and soonest the least of them.
	total, soonest time.Duration
	// stretch is the median age of the running requests relative to what was expected, at least 1. It tells that an upstream has
	// become slow before it answers. Single requests may be of the tail.
	stretch float64
	// factor is the time that work takes at present, relative to an upstream of average speed.
	factor float64
	at     time.Duration
	valid  bool
}

// runningTicket is a running ticket whose work is expected. since is when it was sent.
type runningTicket struct {
	id               uint64
	kind             *kind
	since, predicted time.Duration
}

const (
	// backlogInterval is how long a computed backlog is used while nothing begins or ends.
	backlogInterval = 20 * time.Millisecond
	// maxStretch bounds the slowness that ages of running requests tell of.
	maxStretch = 5
)

// factor returns the time that work takes at the upstream at now. Reports are old; requests that run longer than expected tell more.
func (u *upstream) factor(now time.Duration, p *Pool) float64 {
	return u.remaining(now, p).factor
}

// remaining returns the backlog of the upstream.
func (u *upstream) remaining(now time.Duration, p *Pool) *backlog {
	b := &u.backlog
	if b.valid && now-b.at < backlogInterval {
		return b
	}
	*b = backlog{
		stretch: 1,
		at:      now,
		valid:   true,
	}
	present := u.speed.Present(now)
	b.factor = present
	if len(u.expected) == 0 {
		return b
	}
	p.stretches = p.stretches[:0]
	b.soonest = math.MaxInt64
	for i := range u.expected {
		granted := &u.expected[i]
		age := now - granted.since
		rest := scale(granted.kind.cost.Work.Remaining(scale(age, 1/present)), present)
		b.total += rest
		b.soonest = min(b.soonest, rest)
		p.stretches = append(p.stretches, float64(age)/max(float64(granted.predicted), 1))
	}
	if n := len(p.stretches); n > 1 {
		slices.Sort(p.stretches)
		median := n / 2
		if n == 2 {
			median = 0
		}
		b.stretch = min(max(p.stretches[median], 1), maxStretch)
		b.factor = max(present, u.speed.Factor()*b.stretch)
	}
	return b
}

// usualFactor returns the average time that work takes at the usable upstreams, and their throughput in slots of an upstream of
// average speed. Both are at most costInterval old.
func (p *Pool) usualFactor(now time.Duration) (factor, capacity float64) {
	if p.factorAt != 0 && now-p.factorAt < costInterval {
		return p.factor, p.capacity
	}
	slots, capacity := 0.0, 0.0
	for _, u := range p.sorted {
		if u.state.Usable {
			slots += float64(u.state.Slots)
			capacity += u.workRate(now, p)
		}
	}
	p.factor, p.capacity, p.factorAt = 1, capacity, max(now, 1)
	if capacity > 0 {
		p.factor = slots / capacity
	}
	return p.factor, p.capacity
}

// workRate returns the work per second that the upstream does, in slots of an upstream of average speed.
func (u *upstream) workRate(now time.Duration, p *Pool) float64 {
	return float64(u.state.Slots) / u.factor(now, p)
}

// factorOf returns the time that work takes at owner, or usually if owner is nil, and the work per second that is done there.
func (p *Pool) factorOf(now time.Duration, owner *upstream) (factor, capacity float64) {
	if owner == nil {
		return p.usualFactor(now)
	}
	factor = owner.factor(now, p)
	return factor, float64(owner.state.Slots) / factor
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}

// lateMixed reports whether t would usually miss its objective if it were sent now.
func (p *Pool) lateMixed(now time.Duration, t *Ticket, owner *upstream) bool {
	factor, _ := p.factorOf(now, owner)
	_, usual := t.kind.expect(now, t)
	return now+scale(usual, factor) > t.Objective
}

// expectedAt returns the expected time that t takes at owner, or at an average upstream if owner is nil.
func (p *Pool) expectedAt(now time.Duration, t *Ticket, owner *upstream) time.Duration {
	factor, _ := p.factorOf(now, owner)
	mean, _ := t.kind.expect(now, t)
	return scale(mean, factor)
}

// minLeft is the least part of the capacity that is expected to be left by more urgent requests.
const minLeft = 0.1

// expectedMixed estimates how long t, which is or would be in q, waits for a slot, and how long it then usually takes. The work that
// waits ahead of it is divided by the part of the capacity that more urgent requests will leave.
func (p *Pool) expectedMixed(now time.Duration, t *Ticket, q *queue) (wait, work time.Duration) {
	if q.unowned {
		return 0, p.expectedAt(now, t, nil)
	}
	factor, capacity := p.factorOf(now, q.owner)
	_, usual := t.kind.expect(now, t)
	work = scale(usual, factor)
	if q.owner != nil && q.owner.limiter.rate > 0 {
		wait, _ = p.uniformWait(now, t, q)
	}
	if capacity == 0 {
		return 0, work
	}
	ahead, urgent := 0.0, 0.0
	for i := range q.flows {
		f := &q.flows[i]
		k := p.kinds.list[i]
		f.update(now)
		if k.key.priority < t.level {
			urgent += f.rate * k.mean.Seconds()
		}
		switch {
		case t.promoted:
			// It is ahead of all but those that are promoted too.
			ahead += float64(f.promoted) * k.mean.Seconds()
		case k.key.priority <= t.level:
			ahead += float64(f.waiting) * k.mean.Seconds()
		default:
			ahead += float64(f.promoted) * k.mean.Seconds()
		}
	}
	if ahead == 0 && p.hasOpenSlot(now, q, t.level) {
		return wait, work
	}
	left := max(capacity-urgent, minLeft*capacity)
	// The slot that t gets becomes free after the work ahead has begun: on average, the mean work divided by the slots.
	next := p.kindsMean(q).Seconds()
	return max(wait, time.Duration((ahead+next)/left*float64(time.Second))), work
}

// kindsMean returns the mean work of the requests of a queue's recent kinds.
func (p *Pool) kindsMean(q *queue) time.Duration {
	rate, work := 0.0, 0.0
	for i := range q.flows {
		rate += q.flows[i].rate
		work += q.flows[i].rate * p.kinds.list[i].mean.Seconds()
	}
	if rate == 0 {
		return defaultLatency
	}
	return time.Duration(work / rate * float64(time.Second))
}

// hasOpenSlot reports whether a ticket of a level may be sent to an upstream of the queue now: more slots are open than are reserved
// for more urgent tickets.
func (p *Pool) hasOpenSlot(now time.Duration, q *queue, level int) bool {
	if q.unowned {
		return false
	}
	reserve := p.reserve(now, q, level)
	if q.owner != nil {
		return q.owner.openSlots(now, p) > reserve
	}
	total := 0
	for _, u := range p.sorted {
		if total += u.openSlots(now, p); total > reserve {
			return true
		}
	}
	return false
}

// shortestWork returns the least mean work of a kind that has been used lately. It is at most costInterval old.
func (p *Pool) shortestWork(now time.Duration) time.Duration {
	if p.shortestAt != 0 && now-p.shortestAt < costInterval {
		return p.shortest
	}
	p.shortest, p.shortestAt = math.MaxInt64, max(now, 1)
	for _, k := range p.kinds.list {
		if now-k.usedAt < shareMemory {
			p.shortest = min(p.shortest, k.mean)
		}
	}
	return p.shortest
}

// openSlots returns the number of the upstream's slots that are free, or 1 if one will soon be: a request may then wait there.
func (u *upstream) openSlots(now time.Duration, p *Pool) int {
	free := u.freeSlots(now, p)
	if free <= 0 {
		return 0
	}
	if unused := u.state.Slots - len(u.running); unused > 0 {
		return min(free, unused)
	}
	if u.acceptsExtra(now, p, p.shortestWork(now)) {
		return 1
	}
	return 0
}

const (
	// maxReserve bounds the part of the slots that is reserved for more urgent requests.
	maxReserve = 0.25
	// slackShare is the part of the slack of urgent requests within which slots must become free for a surge of them.
	slackShare = 0.5
)

// reserve returns how many slots a ticket of a level must leave free for more urgent ones: as many as a surge like the highest one
// seen lately needs beyond the slots that become free in time by themselves. Where requests are short, that is none.
func (p *Pool) reserve(now time.Duration, q *queue, level int) int {
	need, slack, work, rate := 0.0, time.Duration(math.MaxInt64), 0.0, 0.0
	for i := range q.flows {
		f := &q.flows[i]
		k := p.kinds.list[i]
		f.update(now)
		if k.key.priority >= level {
			work += f.rate * k.mean.Seconds()
			rate += f.rate
			continue
		}
		need += (f.peak - f.rate) * k.mean.Seconds()
		slack = min(slack, k.slack-k.usual)
	}
	if need <= 0 || rate == 0 {
		return 0
	}
	factor, capacity := p.factorOf(now, q.owner)
	slots := capacity * factor
	freed := slots * slackShare * max(slack, 0).Seconds() / (work / rate * factor)
	return int(min(max(need*factor-freed, 0), maxReserve*slots))
}

// predict records what is expected of a ticket that is about to be sent.
func (p *Pool) predict(now time.Duration, t *Ticket, granted *assignment) {
	if t.kind == nil {
		return
	}
	u := granted.upstream
	mean, _ := t.kind.expect(now, t)
	granted.kind, granted.work, granted.key, granted.bytes = t.kind, mean, t.Key, t.BodyBytes
	if excess := len(u.running) - u.state.Slots + 1; excess > 0 {
		granted.wait = time.Duration(excess) * u.remaining(now, p).soonest
	}
	granted.predicted = scale(mean, u.factor(now, p)) + granted.wait
	t.kind.count(now)
	t.kind.sent++
	u.expected = append(u.expected, runningTicket{
		id:        t.ID,
		kind:      t.kind,
		since:     now,
		predicted: granted.predicted,
	})
}

// observe records how long a request took for the model of its kind and the speed of its upstream.
func (p *Pool) observe(now time.Duration, granted assignment, took time.Duration) {
	k := granted.kind
	if k == nil {
		return
	}
	p.recordTurnaround(now, granted, took)
	k.cost.Compare(granted.predicted, took)
	// Time spent in the queue of the upstream is no work.
	net := max(took-granted.wait, took/3)
	speed := &granted.upstream.speed
	work := scale(net, 1/speed.Factor())
	if now-granted.sent > 0 && granted.incarnation == granted.upstream.state.Incarnation {
		speed.Observe(k.cost, granted.work, net)
	}
	k.cost.Observe(now, granted.key, granted.bytes, work)
}

// ExpectedWork returns the work of a request on an upstream of average speed, or 0 if the pool doesn't tell kinds apart.
func (p *Pool) ExpectedWork(now time.Duration, t *Ticket) time.Duration {
	if !p.mixed {
		return 0
	}
	mean, _ := p.kindOf(now, t).expect(now, t)
	return mean
}

// WorkRate returns the work per second that an upstream does, in slots of an upstream of average speed, or 0 if it is unknown.
func (p *Pool) WorkRate(now time.Duration, id string) float64 {
	u := p.upstreams[id]
	if u == nil || !p.mixed {
		return 0
	}
	return u.workRate(now, p)
}

// Costs calls yield with each class of requests that the pool tells apart, in no particular order. There are none on services that
// are not mixed.
func (p *Pool) Costs(yield func(class *cost.Class)) {
	if p.mixed {
		p.kinds.model.Classes(yield)
	}
}
