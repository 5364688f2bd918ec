package gateway

import (
	"context"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"cuminlift"
	"cuminlift/core/authority"
	"cuminlift/core/dispatch"
	"cuminlift/core/keyspace"
	"cuminlift/core/paths"
	"cuminlift/core/quota"
	"cuminlift/core/replica"
	"cuminlift/core/roster"
	"cuminlift/internal/mutant"
	"cuminlift/schema"
)

// Tables and keys of the rows that gateways write.
const (
	instanceTable   = "gateway-instances"
	leaseTable      = "gateway-lease"
	leaseKey        = "coordinator"
	assignmentTable = "gateway-assignment"
)

// coordinator is run by the one instance that took the lease. It queues tickets for upstreams and owns the assignment of
// keys. A single goroutine accesses its state and takes events from a bounded channel.
type coordinator struct {
	config Config
	clock  cuminlift.Clock
	// log names the term in which the coordinator started. term is a later one once the lease has been written again.
	log  *logrus.Entry
	view func() *view
	term uint64
	// incarnation distinguishes this start of the instance from others.
	incarnation string

	// controlEvents keep the coordinator's authority and the grants alive, ticketEvents are those of requests. The former go first,
	// so that a burst of requests delays neither.
	controlEvents, ticketEvents chan func(now time.Duration)
	// pages are forwarded at the next tick.
	pages pageQueue

	leadership *authority.Leadership
	// store tells the era. leaseVersion is the version of the lease row as last written or read by this coordinator, and leaseEra
	// the era of the store in which it was given out.
	store *watchedStore
	// register writes the row of the coordinator's own instance unless it is up to date.
	register     func(ctx context.Context) error
	leaseVersion uint64
	leaseEra     uint64
	leaseBeat    uint64
	renewing     bool
	lastRenewal  time.Duration
	links        map[string]*link
	services     map[string]*serviceState
	// sessions holds the tickets of all instances.
	sessions *dispatch.Sessions
	// tables are forwarded to all instances. While the store fails, readers read it, and catchUps gets the rows of each table that the
	// coordinator lacks.
	tables   []*tableFeed
	readers  replica.Readers
	catchUps map[string]*replica.CatchUp
	// packed holds the rows of each table that were last compressed for an instance that had connected.
	packed map[string]packedRows
	// spread holds the upstreams of which all instances have been told that they leave.
	departures departureKeeper
	spread     roster.Departures
	// paths are those of this instance, and counters its metrics.
	paths    *pathMonitor
	counters *counters
	// relaysDueAt is when instances may next be told of relays, and lastRelays are those that they were told of. relaysTold is false
	// before the first time.
	relaysDueAt time.Duration
	lastRelays  []paths.Relay
	relaysTold  bool
	// requests counts requests of all instances without their retries. demand is their rate, and resources what follows from it.
	requests  atomic.Uint64
	demand    authority.Demand
	resources peerResources
	handover  handoverState
	// lackLogged is the last result of lacksPaths that was logged.
	lackLogged paths.Lack
	// withheld are the upstreams for which single instances get no tickets, because they have returned one.
	withheld map[withheldKey]*withheldTickets
	strain   strainState
	// yields is true once the coordinator leaves the lease to an instance that is likely to do better.
	yields bool
	// gaveUp is true if the term ended because another instance is better placed.
	gaveUp bool
	// closeDelay is how long connections stay open after the resignation has been sent.
	closeDelay time.Duration
	// suspects are shared by the pools of all services.
	suspects *dispatch.Suspects
	// quota counts the requests of workspaces for the pools of all services.
	quota     *quota.Ledger
	cancel    context.CancelFunc
	ctx       context.Context
	lastProbe time.Duration
	// lastQueueLog is when the queue statistics were last logged, and lastPrune when rows of lost instances were last removed.
	lastQueueLog, lastPrune time.Duration
}

// serviceState is the coordinator's state of one service.
type serviceState struct {
	name     string
	pool     *syncedPool
	assigner *keyspace.Manager
	// loading is true while the assignment is being read, and writing while it is being written. rowVersion is the version of its
	// first row, and rowEra the era of the store in which it was given out.
	loading, writing   bool
	keyed              bool
	rowVersion, rowEra uint64
	// rows is the number of rows of the stored assignment, and pendingRows that of the one being written.
	rows, pendingRows int
	// holdersView and holdersSetAt are the view and the time of the last update of the assigner's upstreams.
	holdersView  *view
	holdersSetAt time.Duration
	// owners is what instances were told of the holders.
	owners ownerPublication
}

const (
	// eventBufferSize bounds the events of each kind that wait for the coordinator's goroutine.
	eventBufferSize = 4096
	// maxWaitingTicketEvents is the number of waiting ticket events above which new requests are refused without being queued. The
	// rest of the buffer is for the ends of granted ones.
	maxWaitingTicketEvents = 512
	// coordinatorInterval is the interval of time-driven work.
	coordinatorInterval = 20 * time.Millisecond
	// ticketGrace is how long after its deadline a ticket's slot is reclaimed if no end was reported.
	ticketGrace = time.Second
	// leaseWriteTimeout and assignmentWriteTimeout bound writes to the store. The former is shorter than the
	// coordinator's authority lasts after a renewal.
	leaseWriteTimeout      = 700 * time.Millisecond
	assignmentWriteTimeout = 1500 * time.Millisecond
	// queueLogInterval is the interval between log lines with queue statistics.
	queueLogInterval = time.Second
	// probeInterval is the interval between probes of unreachable upstreams.
	probeInterval = time.Second
)

// newCoordinator returns a coordinator for a lease that was written at sentAt and has the given version.
func newCoordinator(ctx context.Context, config Config, log *logrus.Entry, currentView func() *view, incarnation string, term, version uint64, sentAt time.Duration) *coordinator {
	ctx, cancel := context.WithCancel(ctx)
	return &coordinator{
		config:        config,
		clock:         config.Clock,
		log:           log.WithField("term", term),
		view:          currentView,
		term:          term,
		incarnation:   incarnation,
		controlEvents: make(chan func(time.Duration), eventBufferSize),
		ticketEvents:  make(chan func(time.Duration), eventBufferSize),
		leadership:    authority.NewLeadership(sentAt),
		leaseVersion:  version,
		lastRenewal:   sentAt,
		links:         map[string]*link{},
		services:      map[string]*serviceState{},
		sessions:      dispatch.NewSessions(ticketGrace),
		suspects:      &dispatch.Suspects{},
		withheld:      map[withheldKey]*withheldTickets{},
		catchUps:      map[string]*replica.CatchUp{},
		packed:        map[string]packedRows{},
		handover: handoverState{
			retriesKnown: dispatch.NewRetryCoverage(config.Clock.Now(), config.Settings.RetryWindow),
		},
		quota:      quota.NewLedger(config.Clock.Now(), quotaLimits(currentView)),
		closeDelay: coordinatorInterval,
		strain:     strainState{Strain: authority.NewStrain(sentAt, 0)},
		ctx:        ctx,
		cancel:     cancel,
	}
}

// post queues a control event for the coordinator's goroutine. It drops the event if the coordinator has stopped.
func (c *coordinator) post(event func(now time.Duration)) {
	select {
	case c.controlEvents <- event:
	case <-c.ctx.Done():
	}
}

// postTicket does the same for an event of tickets or of the link that carries them, which must keep their order.
func (c *coordinator) postTicket(event func(now time.Duration)) {
	select {
	case c.ticketEvents <- event:
	case <-c.ctx.Done():
	}
}

// overloaded reports whether so many ticket events wait that a further request had better go elsewhere or come back later.
func (c *coordinator) overloaded() bool {
	return len(c.ticketEvents) > maxWaitingTicketEvents
}

// run acts as coordinator until ctx ends or its authority is lost.
func (c *coordinator) run() {
	defer c.shutdown()
	c.log.Info("coordinator starts")
	defer debug.SetGCPercent(gcPercent)
	// Load services and upstreams before the first ticket is requested.
	for _, feed := range c.tables {
		c.catchUps[feed.table] = &replica.CatchUp{}
	}
	c.tick(c.clock.Now())
	ticker := time.NewTicker(coordinatorInterval)
	defer ticker.Stop()
	c.forwardTables()
	go c.followInstances()
	for {
		event, running := c.nextEvent(ticker.C)
		if !running || !c.hasAuthority() {
			return
		}
		event(c.clock.Now())
	}
}

// nextEvent returns the next event, control events first. running is false once ctx has ended.
func (c *coordinator) nextEvent(ticks <-chan time.Time) (event func(now time.Duration), running bool) {
	select {
	case event = <-c.controlEvents:
		return event, true
	case <-ticks:
		return c.tick, true
	default:
	}
	select {
	case <-c.ctx.Done():
		return nil, false
	case event = <-c.controlEvents:
	case event = <-c.ticketEvents:
	case <-ticks:
		event = c.tick
	}
	return event, true
}

// hasAuthority reports whether the coordinator may still act. It is checked before each event, because the process may have
// been suspended.
func (c *coordinator) hasAuthority() bool {
	now := c.clock.Now()
	reason := c.leadership.ResignReason(now)
	if c.leadership.Valid(now) && reason == "" && !c.yields {
		return true
	}
	c.gaveUp = c.yields || reason != ""
	c.log.WithFields(logrus.Fields{
		"since-end": now - c.leadership.ValidUntil(),
		"resigns":   string(reason),
		"yields":    c.yields,
		"unreached": c.paths.failedCount(),
	}).Warn("coordinator stops: its authority has ended")
	return false
}

// shutdown announces the resignation to all instances and closes the links.
func (c *coordinator) shutdown() {
	if c.yields {
		c.closeDelay = resignationDelay
	}
	c.leadership.Resign()
	c.cancel()
	c.counters.setSlots(nil)
	for _, feed := range c.tables {
		feed.setListener(nil)
	}
	for _, l := range c.links {
		l.send(c.beatFrame(l, true))
	}
	c.log.Info("coordinator stopped")
	time.AfterFunc(c.closeDelay, func() {
		for _, l := range c.links {
			l.close()
		}
	})
}

func (c *coordinator) beatFrame(to *link, resigned bool) *schema.Frame {
	return &schema.Frame{
		Body: &schema.Frame_Beat{
			Beat: &schema.Beat{
				Name:         c.config.Settings.Name,
				Incarnation:  c.incarnation,
				Term:         c.term,
				Sequence:     uint64(c.clock.Now()),
				Resigned:     resigned,
				Instances:    uint32(len(c.links)),
				StoreFails:   to.readsStore,
				StoreReaders: uint32(c.readers.Count()),
				LeaseVersion: c.leaseVersion,
				Era:          c.leaseEra,

				Tables: c.lastChanges(),

				LargestCpuPermille: c.maxCPUPermille(),
				Place:              to.index,

				Needed:      encodeResources(c.resources.needed),
				Best:        encodeResources(c.resources.best),
				RequestRate: c.resources.requestRate,
			},
		},
	}
}

// maxCPUPermille returns the largest CPU share among the connected instances, in thousandths of a core.
func (c *coordinator) maxCPUPermille() uint32 {
	highest := uint32(0)
	for _, l := range c.links {
		if l.current != nil {
			highest = max(highest, l.resources.CPUPermille)
		}
	}
	return highest
}

// storeFails reports whether the store fails for this instance, so that the tables that it forwards may be outdated.
func (c *coordinator) storeFails() bool {
	for _, feed := range c.tables {
		if feed.failing() {
			return true
		}
	}
	_, failing := c.leadership.StoreFailing()
	return failing
}

// wakeFeeds reads the tables at once after a call has shown that the store works again.
func (c *coordinator) wakeFeeds(failingSince time.Duration) {
	for _, feed := range c.tables {
		feed.wakeAfterOutage(failingSince)
	}
}

// tick runs time-driven work.
func (c *coordinator) tick(now time.Duration) {
	if c.store.currentEra() == c.leaseEra {
		c.renew(now)
	} else {
		c.rewriteLease(now)
	}
	c.forwardPages()
	c.updateReaders(now)
	c.requestRows(now)
	c.announceSuspicions(now)
	c.announceRelays(now)
	c.comparePaths(now)
	c.pruneInstances(now)
	c.measureDemand(now)
	c.quota.ForgetLost(now)
	c.measureStrain(now)
	v := c.view()
	if v.table == nil || !v.listed {
		return
	}
	for name, service := range v.table.Services {
		s := c.ensureService(name, service.Keyed)
		s.pool.SetService(service)
	}
	c.updateRetryCoverage(now)
	for _, s := range c.services {
		s.pool.sync(now, v, s.name)
		c.advanceKeys(now, s, v)
		c.decide(now, s)
	}
	if !mutant.Is(mutant.SlotsKept) {
		c.sessions.Expire(now)
	}
	c.renewWithheld(now)
	c.probeUnreachable(now, v)
	c.logQueues(now)
}
