package gateway

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"cuminlift"
	"cuminlift/core/authority"
	"cuminlift/core/dispatch"
	"cuminlift/core/roster"
	"cuminlift/schema"
)

// carrier carries messages to the coordinator.
type carrier interface {
	Send(*schema.Frame)
	Close()
}

// place is the answer to a request for a ticket.
type place struct {
	id uint64
	// upstream and address are empty in a refusal.
	upstream, address string
	reason            string
	retryAfter        time.Duration
	// local is true where the own pool granted it, in the time without a coordinator.
	local bool
}

// office gets tickets for the requests of this instance: from the coordinator, or from pools of its own while none is known.
type office struct {
	config Config
	clock  cuminlift.Clock
	log    *logrus.Entry
	view   func() *view
	// storeReached reports whether the store answered of late, and tryStore asks it.
	storeReached func() bool
	tryStore     func()
	// tables are read from the store, or passed on by the coordinator.
	tables []*tableDuty
	// watch is this instance's view of the coordinator.
	mutex sync.Mutex
	watch *authority.Monitor
	// taking is true while this instance tries to take the lease, or holds it.
	taking  bool
	carrier carrier
	term    uint64
	holder  string
	nextID  uint64
	waiters map[uint64]*waiter
	// reserve holds the own pools by service, and owners who held which keys by the coordinator's last word.
	reserve          map[string]*dispatch.Pool
	owners           map[string]*ownerList
	instances, place int
	// largest is the largest share of a core among the instances by the coordinator's last word, in thousandths, 0 for none.
	largest uint32
	wake    chan struct{}
}

type waiter struct {
	request *schema.TicketRequest
	answer  chan place
	// deadline is on the clock of the instance.
	deadline, objective time.Duration
}

func newOffice(config Config, log *logrus.Entry, current func() *view) *office {
	return &office{
		config:    config,
		clock:     config.Clock,
		log:       log,
		view:      current,
		watch:     authority.NewMonitor(config.Clock.Now()),
		waiters:   map[uint64]*waiter{},
		reserve:   map[string]*dispatch.Pool{},
		owners:    map[string]*ownerList{},
		instances: 1,
		wake:      make(chan struct{}, 1),
	}
}

// acquire waits for a ticket. It returns an error only when ctx ends first; then nothing was or will be sent by it.
func (o *office) acquire(ctx context.Context, request *schema.TicketRequest) (place, error) {
	w := &waiter{
		request: request,
		answer:  make(chan place, 1),
	}
	o.mutex.Lock()
	now := o.clock.Now()
	o.nextID++
	request.Id = o.nextID
	w.deadline = now + time.Duration(request.GetRemainingMs())*time.Millisecond
	w.objective = now + time.Duration(request.GetObjectiveMs())*time.Millisecond
	o.waiters[request.Id] = w
	o.submit(now, w)
	o.mutex.Unlock()
	select {
	case p := <-w.answer:
		return p, nil
	case <-ctx.Done():
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	delete(o.waiters, request.Id)
	select {
	case p := <-w.answer:
		o.endLocked(p, request.GetService(), schema.TicketOutcome_abandoned, 0, nil)
	default:
		o.cancelLocked(request)
	}
	return place{}, ctx.Err()
}

// submit sends the request for a ticket to the coordinator, or to the own pool.
func (o *office) submit(now time.Duration, w *waiter) {
	if o.carrier != nil {
		o.carrier.Send(&schema.Frame{
			Body: &schema.Frame_Request{
				Request: w.request,
			},
		})
		return
	}
	pool := o.reservePool(now, w.request.GetService())
	pool.Submit(now, ticketOf(w.request, w.request.GetId(), o.config.Settings.Zone, w.deadline, w.objective))
	o.decide(now, w.request.GetService(), pool)
	o.wakeUp()
}

func (o *office) wakeUp() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

func ticketOf(request *schema.TicketRequest, id uint64, zone string, deadline, objective time.Duration) *dispatch.Ticket {
	return &dispatch.Ticket{
		ID:         id,
		Key:        request.GetKey(),
		Priority:   int(request.GetPriority()),
		Idempotent: request.GetIdempotent(),
		Bulk:       request.GetBulk(),
		Zone:       zone,
		Deadline:   deadline,
		Objective:  objective,
		Attempt:    int(request.GetAttempt()),
		Avoid:      request.GetAvoid(),
	}
}

// reservePool returns the own pool of a service, made up to date.
func (o *office) reservePool(now time.Duration, service string) *dispatch.Pool {
	// Without a word of others there may be another one.
	part := dispatch.Share{
		Index: o.place,
		Count: max(2, o.instances),
	}
	pool := o.reserve[service]
	if pool == nil {
		config := poolConfig(o.config.Settings, part)
		if owners := o.owners[service]; owners != nil {
			config.Owners = owners
		}
		pool = dispatch.NewPool(config)
		o.reserve[service] = pool
	}
	pool.SetShare(part)
	v := o.view()
	if v.table != nil {
		pool.SetService(v.table.Services[service])
	}
	pool.SetUpstreams(now, upstreamStates(v.list, service))
	return pool
}

func poolConfig(settings Settings, part dispatch.Share) dispatch.Config {
	return dispatch.Config{
		Share:       part,
		RetryRatio:  settings.RetryShare,
		RetrySlack:  settings.RetrySlack,
		RetryWindow: settings.RetryWindow,
	}
}

func upstreamStates(list roster.Snapshot, service string) []dispatch.UpstreamState {
	var states []dispatch.UpstreamState
	for _, u := range list.Upstreams {
		if u.Service != service {
			continue
		}
		states = append(states, dispatch.UpstreamState{
			ID:            u.ID,
			Address:       u.Address,
			Zone:          u.Zone,
			Incarnation:   u.Incarnation,
			Slots:         u.Slots,
			Usable:        list.Usable(u),
			ColdRemaining: u.ColdRemaining,
		})
	}
	return states
}

func (o *office) decide(now time.Duration, service string, pool *dispatch.Pool) {
	for _, d := range pool.Decide(now) {
		w := o.waiters[d.Ticket.ID]
		if w == nil {
			pool.Cancel(now, d.Ticket.ID)
			continue
		}
		delete(o.waiters, d.Ticket.ID)
		w.answer <- place{
			id:         d.Ticket.ID,
			upstream:   d.Upstream,
			address:    d.Address,
			reason:     string(d.Reason),
			retryAfter: d.RetryAfter,
			local:      true,
		}
	}
}

// reserveStep is the time between looks at the own pools while requests wait in them.
const reserveStep = 10 * time.Millisecond

// run looks after the own pools until ctx ends.
func (o *office) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-o.wake:
		}
		for o.step() && ctx.Err() == nil {
			sleep(ctx, reserveStep)
		}
	}
}

// step decides on what waits in the own pools, and reports whether something still does.
func (o *office) step() bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	now := o.clock.Now()
	waiting := false
	for service, pool := range o.reserve {
		if pool.Waiting() == 0 {
			continue
		}
		pool.SetUpstreams(now, upstreamStates(o.view().list, service))
		o.decide(now, service, pool)
		waiting = waiting || pool.Waiting() > 0
	}
	return waiting
}

// head gives the slot of a ticket back whose answer has begun.
func (o *office) head(p place, service string, took time.Duration, load []uint32) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.report(p, service, func(now time.Duration, pool *dispatch.Pool) { pool.Head(now, p.id, took, load) }, &schema.Frame{
		Body: &schema.Frame_Head{
			Head: &schema.TicketHead{
				Id:     p.id,
				TookUs: uint64(took.Microseconds()),
				Load:   load,
			},
		},
	})
}

// report tells whoever granted a ticket what became of it: the own pool, or the coordinator, if it is still there.
func (o *office) report(p place, service string, local func(now time.Duration, pool *dispatch.Pool), frame *schema.Frame) {
	if !p.local {
		if o.carrier != nil {
			o.carrier.Send(frame)
		}
		return
	}
	if pool := o.reserve[service]; pool != nil {
		now := o.clock.Now()
		local(now, pool)
		o.decide(now, service, pool)
	}
}

// end tells how a ticket ended.
func (o *office) end(p place, service string, outcome schema.TicketOutcome, took time.Duration, load []uint32) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.endLocked(p, service, outcome, took, load)
}

func (o *office) endLocked(p place, service string, outcome schema.TicketOutcome, took time.Duration, load []uint32) {
	if p.upstream == "" {
		return
	}
	o.report(p, service, func(now time.Duration, pool *dispatch.Pool) {
		pool.End(now, p.id, dispatch.Outcome(outcome), took, load)
	}, &schema.Frame{
		Body: &schema.Frame_End{
			End: &schema.TicketEnd{
				Id:      p.id,
				Outcome: outcome,
				TookUs:  uint64(took.Microseconds()),
				Load:    load,
			},
		},
	})
}

func (o *office) cancelLocked(request *schema.TicketRequest) {
	if pool := o.reserve[request.GetService()]; pool != nil {
		pool.Cancel(o.clock.Now(), request.GetId())
	}
	if o.carrier != nil {
		o.carrier.Send(&schema.Frame{
			Body: &schema.Frame_Cancel{
				Cancel: &schema.TicketCancel{
					Id: request.GetId(),
				},
			},
		})
	}
}

// ownerList implements dispatch.Owners with the coordinator's last word.
type ownerList struct {
	holders []*schema.KeyHolder
	owners  []uint32
	// ends are the last keys of the ranges.
	ends []uint32
}

// set takes the coordinator's word in. One that makes no sense is left out: the last one stays.
func (l *ownerList) set(m *schema.KeyMap) bool {
	if len(m.GetWidths()) != len(m.GetOwners()) {
		return false
	}
	ends := make([]uint32, 0, len(m.GetWidths()))
	next := uint32(0)
	for i, width := range m.GetWidths() {
		if int(m.GetOwners()[i]) >= len(m.GetHolders()) {
			return false
		}
		next += width
		ends = append(ends, next-1)
	}
	l.holders, l.owners, l.ends = m.GetHolders(), m.GetOwners(), ends
	return true
}

// Owner implements dispatch.Owners. The word may be old: an upstream refuses what it does not hold.
func (l *ownerList) Owner(_ time.Duration, key uint32) (string, bool) {
	at := sort.Search(len(l.ends), func(i int) bool { return l.ends[i] >= key })
	if at == len(l.ends) {
		return "", false
	}
	return l.holders[l.owners[at]].GetUpstream(), true
}
