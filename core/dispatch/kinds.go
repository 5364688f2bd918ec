package dispatch

import (
	"fmt"
	"math"
	"slices"
	"time"

	"cuminlift/core/cost"
)

// kindKey tells the kinds of requests of a service apart. The priority is part of it because that of a workspace takes precedence
// over that of a route.
type kindKey struct {
	class      string
	priority   int
	idempotent bool
	bulk       bool
}

// kind is what a pool knows of requests of one kind.
type kind struct {
	key kindKey
	// index is the position in kinds.list.
	index int
	cost  *cost.Class
	// arrived and sent count tickets, and promoted those of them that wait ahead of their priority. Old ones count less.
	arrived, sent float64
	promoted      int
	countedAt     time.Duration
	// waiting is the number of tickets that wait, and usedAt when the last one was submitted.
	waiting int
	usedAt  time.Duration
	// mean and usual cache the mean and the usualQuantile of the work, computed at cachedAt.
	mean, usual time.Duration
	cachedAt    time.Duration
	cached      bool
	// slack is the usual time from arrival to objective.
	slack time.Duration
}

// kinds holds the kinds of requests of a service to which routes of different kinds send.
type kinds struct {
	model cost.Model
	byKey map[kindKey]*kind
	list  []*kind
}

const (
	// maxKinds bounds the kinds of a pool. unusedKind is how long a kind is kept without requests once there are that many.
	maxKinds   = 64
	unusedKind = time.Minute
	// maxPriority is the least urgent priority that is told apart.
	maxPriority = 100
	// shareMemory is the time after which a request has lost 63% of its weight in the shares of requests that are served. It covers
	// a wave of load.
	shareMemory = 10 * time.Second
	// usualQuantile is the part of the requests whose work is not longer than what decides whether a request can be in time.
	usualQuantile = 0.75
	// costInterval is how long results derived from the cost model are used. They change with every answer, but slowly.
	costInterval = 50 * time.Millisecond
)

// kindOf returns the kind of a ticket.
func (p *Pool) kindOf(now time.Duration, t *Ticket) *kind {
	key := kindKey{
		class:      t.Class,
		priority:   min(max(t.Priority, 0), maxPriority),
		idempotent: t.Idempotent,
		bulk:       t.Bulk,
	}
	k := p.kinds.byKey[key]
	if k == nil {
		k = p.addKind(now, t, key)
	}
	k.usedAt = now
	return k
}

func (p *Pool) addKind(now time.Duration, t *Ticket, key kindKey) *kind {
	if len(p.kinds.list) >= maxKinds {
		p.dropKinds(now)
	}
	if len(p.kinds.list) >= maxKinds {
		return p.kinds.list[0]
	}
	name := key.class
	if name == "" {
		// Instances of earlier builds send no class.
		name = fmt.Sprintf("%d/%t/%t", key.priority, key.idempotent, key.bulk)
	}
	k := &kind{
		key:       key,
		index:     len(p.kinds.list),
		cost:      p.kinds.model.Class(name, t.Objective-now),
		countedAt: now,
		slack:     t.Objective - now,
	}
	if p.kinds.byKey == nil {
		p.kinds.byKey = map[kindKey]*kind{}
	}
	p.kinds.byKey[key] = k
	p.kinds.list = append(p.kinds.list, k)
	return k
}

// dropKinds forgets the kinds that have not been used for long. Others take their positions in the list, and the queues forget the
// flows of all kinds that change their position.
func (p *Pool) dropKinds(now time.Duration) {
	kept := p.kinds.list[:0]
	var dropped []*cost.Class
	first := len(p.kinds.list)
	for i, k := range p.kinds.list {
		if k.waiting == 0 && now-k.usedAt >= unusedKind {
			first = min(first, i)
			delete(p.kinds.byKey, k.key)
			dropped = append(dropped, k.cost)
			continue
		}
		k.index = len(kept)
		kept = append(kept, k)
	}
	clear(p.kinds.list[len(kept):])
	p.kinds.list = kept
	for _, class := range dropped {
		if !slices.ContainsFunc(kept, func(k *kind) bool { return k.cost == class }) {
			p.kinds.model.Forget(class)
		}
	}
	for _, u := range p.upstreams {
		u.queue.forgetFlows(first)
	}
	p.shared.forgetFlows(first)
	p.unowned.forgetFlows(first)
}

// forgetFlows forgets the flows of kinds from a position on, and counts their waiting tickets again.
func (q *queue) forgetFlows(first int) {
	q.flows = q.flows[:min(first, len(q.flows))]
	for _, t := range q.tickets {
		if t.kind == nil || t.kind.index < first {
			continue
		}
		f := q.flow(t.kind)
		f.waiting++
		if t.promoted {
			f.promoted++
		}
	}
}

// decay returns the weight that is left after an age. Most ages are short, for which the series is precise enough and faster.
func decay(age, memory time.Duration) float64 {
	x := float64(age) / float64(memory)
	if x < 0.02 {
		return 1 - x + x*x/2
	}
	return math.Exp(-x)
}

// count makes older requests count less.
func (k *kind) count(now time.Duration) {
	if now <= k.countedAt {
		return
	}
	factor := decay(now-k.countedAt, shareMemory)
	k.arrived *= factor
	k.sent *= factor
	k.countedAt = now
}

// refresh updates the cached figures of the work.
func (k *kind) refresh(now time.Duration) {
	if k.cached && now-k.cachedAt < costInterval {
		return
	}
	k.cached, k.cachedAt = true, now
	k.mean = k.cost.Work.Mean()
	k.usual = k.cost.Work.Quantile(usualQuantile)
}

// expect returns the expected work of a ticket, and the work that requests like it usually don't exceed.
func (k *kind) expect(now time.Duration, t *Ticket) (mean, usual time.Duration) {
	k.refresh(now)
	factor := k.cost.Factor(t.Key, t.BodyBytes)
	if factor == 1 {
		return k.mean, k.usual
	}
	return time.Duration(factor * float64(k.mean)), time.Duration(factor * float64(k.usual))
}

const (
	// levelStep separates the levels of urgency in a queue: it is longer than any ticket waits.
	levelStep = 1000 * time.Hour
	// floorShare is the part of the share of all requests that are served which each kind is served at least. A kind that is served
	// less than a quarter as often as all counts as starved.
	floorShare = 0.35
	// floorSamples is the number of recent requests of a kind before its share is known.
	floorSamples = 10
)

// The order of the queue of a mixed service, which docs/design/expected-cost.md explains:
//
//  1. A kind that is served less than floorShare as often as all requests, or less often than a less urgent kind, goes first, until
//     it has caught up.
//  2. Priority, the most urgent first.
//  3. Within a priority, requests that can still be in time, then the others.
//  4. The latest time at which a request must begin to be in time, the earliest first.
//
// level and rank hold 1, 2 and 4; dispatchMixed applies 3, since it depends on the time. Part of the slots is reserved for urgent
// requests in reserve.
func (p *Pool) setOrder(now time.Duration, t *Ticket) {
	t.kind = p.kindOf(now, t)
	t.level = min(max(t.Priority, 0), maxPriority)
	_, usual := t.kind.expect(now, t)
	t.rank = time.Duration(t.level)*levelStep + max(0, t.Objective-usual)
	starved := p.starved(now, t.kind)
	t.lagging = p.lagging(t.kind)
	if t.level > 0 && (starved || t.lagging) {
		t.promoted = true
		t.level = 0
		t.rank = t.arrived
	}
}

// starved reports whether a kind is served much less often than all requests.
func (p *Pool) starved(now time.Duration, k *kind) bool {
	k.count(now)
	if k.arrived < floorSamples {
		return false
	}
	arrived, sent := 0.0, 0.0
	for _, other := range p.kinds.list {
		other.count(now)
		arrived += other.arrived
		sent += other.sent
	}
	return k.sent+float64(k.promoted) < floorShare*sent/arrived*k.arrived
}

// lagging reports whether a kind is served less often than a less urgent one. That happens where its objective is so short that its
// requests are refused, while others wait longer for the slots that become free.
func (p *Pool) lagging(k *kind) bool {
	if k.arrived < floorSamples {
		return false
	}
	for _, other := range p.kinds.list {
		if other.key.priority > k.key.priority && other.arrived >= floorSamples &&
			k.sent+float64(k.waiting) < other.sent/other.arrived*k.arrived {
			return true
		}
	}
	return false
}

// leading reports whether a kind is served more often than a more urgent one.
func (p *Pool) leading(k *kind) bool {
	for _, other := range p.kinds.list {
		if other.key.priority < k.key.priority && p.lagging(other) {
			return true
		}
	}
	return false
}

// flow describes the tickets of one kind in one queue.
type flow struct {
	waiting int
	// promoted is the number of those that wait ahead of their priority.
	promoted int
	// rate is the recent number of arrivals per second, and peak the highest one for some time. They hold for ratedAt.
	rate, peak float64
	ratedAt    time.Duration
}

const (
	// rateMemory is the time over which arrivals are averaged, and peakMemory how long a peak is remembered: two waves of load.
	rateMemory = 500 * time.Millisecond
	peakMemory = 25 * time.Second
)

// flow returns the flow of a kind in the queue.
func (q *queue) flow(k *kind) *flow {
	for len(q.flows) <= k.index {
		q.flows = append(q.flows, flow{})
	}
	return &q.flows[k.index]
}

// update makes older arrivals count less.
func (f *flow) update(now time.Duration) {
	if now <= f.ratedAt {
		return
	}
	f.rate *= decay(now-f.ratedAt, rateMemory)
	f.peak *= decay(now-f.ratedAt, peakMemory)
	f.ratedAt = now
}

// countArrival records the submission of a ticket.
func (q *queue) countArrival(now time.Duration, t *Ticket) {
	f := q.flow(t.kind)
	f.update(now)
	f.rate += 1 / rateMemory.Seconds()
	f.peak = max(f.peak, f.rate)
	t.kind.count(now)
	t.kind.arrived++
}

// adjustWaiting counts a ticket that begins (1) or ceases (-1) to wait in the queue.
func (q *queue) adjustWaiting(t *Ticket, change int) {
	if t.kind == nil {
		return
	}
	f := q.flow(t.kind)
	f.waiting += change
	t.kind.waiting += change
	if t.promoted {
		f.promoted += change
		t.kind.promoted += change
	}
}

// setMixed changes whether the decisions follow the expected cost of the kinds. Tickets that wait are ordered anew.
func (p *Pool) setMixed(mixed bool) {
	if p.mixed == mixed {
		return
	}
	var waiting []*Ticket
	for _, q := range p.queues() {
		for len(q.tickets) > 0 {
			t := q.tickets[0]
			q.remove(t)
			waiting = append(waiting, t)
			t.queue = q
		}
		q.flows = nil
	}
	p.mixed = mixed
	for _, t := range waiting {
		q := t.queue
		t.kind, t.promoted = nil, false
		p.order(t.arrived, t)
		q.insert(t)
		p.markDirty(q)
	}
}
