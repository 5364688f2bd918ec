package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"cuminlift"
	"cuminlift/core/authority"
	"cuminlift/core/cost"
	"cuminlift/core/dispatch"
	"cuminlift/core/keyspace"
	"cuminlift/core/paths"
	"cuminlift/core/quota"
	"cuminlift/core/replica"
	"cuminlift/core/request"
	"cuminlift/schema"
)

// frameConn is a connection that carries messages between coordinator and instance.
type frameConn interface {
	Send(*schema.Frame)
	SendEncoded([]byte)
	// Queued returns the number of bytes that wait to be written.
	Queued() int
	Close()
}

// departureKeeper keeps the upstreams that have said in answers that they leave.
type departureKeeper interface {
	// noteLeaving reports whether it is news that this start of an upstream leaves.
	noteLeaving(id string, incarnation int64) bool
	leaving(id string, incarnation int64) bool
	departureNotices() []*schema.Frame
}

// ticketResult is the result of a ticket request: a granted ticket or a refusal.
type ticketResult struct {
	id uint64
	// upstream and address are empty in a refusal.
	upstream, address string
	// incarnation is the start of the upstream that the ticket is for.
	incarnation int64
	identity    request.Identity
	// tables are the latest changes that the coordinator knew of when it granted the ticket, by table; nil if it doesn't tell.
	tables map[string]replica.Position
	// class is that of the request's route.
	class      string
	reason     string
	retryAfter time.Duration
	// local is true if a local pool granted the ticket, while there was no coordinator.
	local bool
}

// ticketClient obtains tickets for this instance's requests, from the coordinator or, while there is none, from local pools.
type ticketClient struct {
	config Config
	clock  cuminlift.Clock
	log    *logrus.Entry
	view   func() *view
	// storeReachable reports whether the store answered the last probe, and requestStoreProbe starts one if it is due while a number of
	// instances do so.
	storeReachable    func() bool
	requestStoreProbe func(instances int)
	// incarnation distinguishes this start of the instance from others.
	incarnation string
	// store tells the era.
	store *watchedStore
	// departures keeps the upstreams that have said that they leave.
	departures departureKeeper
	// tables are read from the store or forwarded by the coordinator.
	tables []*tableFeed
	// mutex guards the fields below. monitor detects the loss of the coordinator.
	mutex   sync.Mutex
	monitor *authority.Monitor
	// acquiringLease is true while this instance tries to acquire the lease.
	acquiringLease  bool
	frameConn       frameConn
	term            uint64
	coordinatorName string
	// coordinatorTables are the latest changes that the coordinator knows of, by table; nil if it doesn't tell. The map is replaced,
	// not changed.
	coordinatorTables map[string]replica.Position
	// coordinatorLostAt is when the last coordinator was lost, or when this instance started.
	coordinatorLostAt time.Duration
	// nextID is the ID of the last ticket request. Each start of an instance begins elsewhere: the coordinator may still hold slots for
	// tickets of an earlier start.
	nextID  uint64
	waiters map[uint64]*waiter
	// localPools holds the local pools by service, and owners the holders of keys last reported by the coordinator.
	localPools           map[string]*syncedPool
	owners               map[string]*keyspace.LocalOwners
	instanceCount, index int
	// storeReaders is the number of instances that read the store for a coordinator that can't reach it, with this one among them, and 0
	// if all do so or none needs to.
	storeReaders int
	// maxCPUPermille is the largest CPU share of an instance as last reported, in thousandths of a core, 0 if unknown.
	maxCPUPermille uint32
	resources      peerResources
	// notices holds what upstreams have said of themselves to this instance.
	notices dispatch.Notices
	// costs holds what this instance has learned of the cost of requests.
	costs cost.Observer
	// suspects are used by the local pools, and told to new coordinators.
	suspects *dispatch.Suspects
	// open holds the granted tickets that have not ended, and coldSends those that have left the slot of a cold upstream lately.
	open      map[uint64]*openTicket
	coldSends []*openTicket
	// retries and latencies hold, by service, what this instance has sent and measured, for a new coordinator.
	retries   map[string]dispatch.RetryHistory
	latencies map[string]*dispatch.Latencies
	// shares are the parts of the workspaces' quotas that this instance uses without a coordinator. usage counts what it sends, for the
	// next coordinator, since startedAt.
	shares    *quota.Shares
	usage     quota.Usage
	startedAt time.Duration
	// registration tells whether an earlier start of this instance was registered.
	registration registrationState
	// refusalsLoggedAt is when requests beyond the shares were last logged.
	refusalsLoggedAt time.Duration
	// relays are the instances that may send requests for this one. relaysTold is true once a coordinator has told them.
	relays     paths.Relays
	relaysTold bool
	// paths tracks which upstreams this instance reaches.
	paths   *pathMonitor
	stopper *stopper
	wake    chan struct{}
}

// registrationState tells what an instance has found in the registry when it started.
type registrationState int

const (
	unknownRegistration registrationState = iota
	firstRegistration
	repeatedRegistration
)

type waiter struct {
	request *schema.TicketRequest
	// submitted is true once a pool has counted the request.
	submitted bool
	result    chan ticketResult
	// deadline and objective are times on the instance's clock.
	deadline, objective time.Duration
}

// maxFirstTicketID bounds the ID from which a start of an instance counts. Coordinators of earlier builds tell apart 2^40 IDs.
const maxFirstTicketID = 1 << 40

func newTicketClient(config Config, log *logrus.Entry, currentView func() *view) *ticketClient {
	now := config.Clock.Now()
	return &ticketClient{
		shares:    quota.NewShares(now, quotaLimits(currentView)),
		startedAt: now,
		nextID:    rand.Uint64N(maxFirstTicketID),

		config:        config,
		clock:         config.Clock,
		log:           log,
		view:          currentView,
		monitor:       authority.NewMonitor(config.Clock.Now()),
		waiters:       map[uint64]*waiter{},
		localPools:    map[string]*syncedPool{},
		owners:        map[string]*keyspace.LocalOwners{},
		instanceCount: 1,
		suspects:      &dispatch.Suspects{},
		open:          map[uint64]*openTicket{},
		retries:       map[string]dispatch.RetryHistory{},
		latencies:     map[string]*dispatch.Latencies{},
		stopper: &stopper{
			clock: config.Clock,
		},
		wake: make(chan struct{}, 1),

		coordinatorLostAt: config.Clock.Now(),
	}
}

// knownInstances returns the number of instances as last reported.
func (t *ticketClient) knownInstances() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.instanceCount
}

// readingInstances returns the number of instances that may read the tables from the store at the same time.
func (t *ticketClient) readingInstances() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.storeReaders > 0 {
		return t.storeReaders
	}
	return t.instanceCount
}

// acquire waits for a ticket. It returns an error only if ctx ends first; the request has then not been sent to an upstream.
func (t *ticketClient) acquire(ctx context.Context, request *schema.TicketRequest) (ticketResult, error) {
	w := &waiter{
		request: request,
		result:  make(chan ticketResult, 1),
	}
	t.mutex.Lock()
	now := t.clock.Now()
	t.nextID++
	request.Id = t.nextID
	t.shortenDeadline(now, request)
	w.deadline = now + time.Duration(request.GetRemainingMs())*time.Millisecond
	w.objective = now + time.Duration(request.GetObjectiveMs())*time.Millisecond
	if !t.stopper.canEnd(ticketDuration(request)) {
		t.mutex.Unlock()
		return stoppingRefusal, nil
	}
	t.waiters[request.Id] = w
	if request.GetAttempt() == 0 {
		t.retryHistory(request.GetService()).Request(now)
	}
	t.submit(now, w)
	t.mutex.Unlock()
	select {
	case result := <-w.result:
		result.identity = identityOf(request)
		result.class = request.GetRouteClass()
		return result, nil
	case <-ctx.Done():
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	delete(t.waiters, request.Id)
	select {
	case result := <-w.result:
		t.reportEndLocked(result, request.GetService(), schema.TicketOutcome_abandoned, 0, nil)
	default:
		t.cancelLocked(request)
	}
	return ticketResult{}, ctx.Err()
}

// submit sends the ticket request to the coordinator or, without one, to the local pool.
func (t *ticketClient) submit(now time.Duration, w *waiter) {
	if t.frameConn != nil {
		w.submitted = true
		t.frameConn.Send(&schema.Frame{
			Body: &schema.Frame_Request{
				Request: w.request,
			},
		})
		return
	}
	pool := t.localPool(now, w.request.GetService())
	ticket := newTicket(w.request, w.request.GetId(), t.config.Settings.Name, t.config.Settings.Zone, w.deadline, w.objective)
	ticket.Resubmitted = w.submitted
	w.submitted = true
	pool.Submit(now, ticket)
	t.decide(now, pool)
	t.wakeUp()
}

func (t *ticketClient) wakeUp() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

func newTicket(request *schema.TicketRequest, id uint64, instance, zone string, deadline, objective time.Duration) *dispatch.Ticket {
	return &dispatch.Ticket{
		ID:         id,
		Key:        request.GetKey(),
		Priority:   int(request.GetPriority()),
		Idempotent: request.GetIdempotent(),
		Bulk:       request.GetBulk(),
		Instance:   instance,
		Zone:       zone,
		Deadline:   deadline,
		Objective:  objective,
		Attempt:    int(request.GetAttempt()),
		Avoid:      request.GetAvoid(),
		Unsent:     request.GetUnsent(),
		Returned:   request.GetReturned(),
		Workspace:  request.GetWorkspace(),
		Class:      request.GetRouteClass(),
		BodyBytes:  int(request.GetBodyBytes()),
		Identity:   identityOf(request),
	}
}

func identityOf(ticket *schema.TicketRequest) request.Identity {
	return request.Identity{
		Content: ticket.GetContent(),
		Caller:  ticket.GetCaller(),
	}
}

// reportHead reports that the response to a ticket's request has begun, which frees the ticket's slot.
func (t *ticketClient) reportHead(result ticketResult, service string, took time.Duration, report *dispatch.Report) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.note(result, service, took, report)
	head := &schema.Frame{
		Body: &schema.Frame_Head{
			Head: &schema.TicketHead{
				Id:     result.id,
				TookUs: uint64(took.Microseconds()),
				Load:   loadOf(report),
				Report: encodeReport(report),
			},
		},
	}
	t.freeTicket(t.clock.Now(), result.id, took)
	t.announceEvent(result, head)
	t.report(result, service, func(now time.Duration, pool *dispatch.Pool) { pool.Head(now, result.id, took, report) }, head)
}

// report passes an event of a ticket to whoever granted it: the local pool or, if still connected, the coordinator.
func (t *ticketClient) report(result ticketResult, service string, local func(now time.Duration, pool *dispatch.Pool), frame *schema.Frame) {
	if !result.local {
		if t.frameConn != nil {
			t.frameConn.Send(frame)
		}
		return
	}
	if pool := t.localPools[service]; pool != nil {
		now := t.clock.Now()
		local(now, pool.Pool)
		t.decide(now, pool)
	}
}

// reportEnd reports the outcome of a ticket.
func (t *ticketClient) reportEnd(result ticketResult, service string, outcome schema.TicketOutcome, took time.Duration, report *dispatch.Report) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.note(result, service, took, report)
	t.noteRun(result, outcome, took)
	t.reportEndLocked(result, service, outcome, took, report)
}

func (t *ticketClient) reportEndLocked(result ticketResult, service string, outcome schema.TicketOutcome, took time.Duration, report *dispatch.Report) {
	if result.upstream == "" {
		return
	}
	end := &schema.Frame{
		Body: &schema.Frame_End{
			End: &schema.TicketEnd{
				Id:      result.id,
				Outcome: outcome,
				TookUs:  uint64(took.Microseconds()),
				Load:    loadOf(report),
				Report:  encodeReport(report),
			},
		},
	}
	t.closeTicket(t.clock.Now(), result, outcome, took, end)
	t.report(result, service, func(now time.Duration, pool *dispatch.Pool) {
		pool.End(now, result.id, dispatch.Outcome(outcome), took, report)
	}, end)
}

func (t *ticketClient) cancelLocked(request *schema.TicketRequest) {
	if pool := t.localPools[request.GetService()]; pool != nil {
		pool.Cancel(t.clock.Now(), request.GetId())
	}
	if t.frameConn != nil {
		t.frameConn.Send(&schema.Frame{
			Body: &schema.Frame_Cancel{
				Cancel: &schema.TicketCancel{
					Id: request.GetId(),
				},
			},
		})
	}
}
