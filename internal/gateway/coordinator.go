package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"cuminlift"
	"cuminlift/core/authority"
	"cuminlift/core/dispatch"
	"cuminlift/core/keyspace"
	"cuminlift/schema"
)

// Tables and keys of the gateway's own rows.
const (
	instanceTable   = "gateway-instances"
	leaseTable      = "gateway-lease"
	leaseKey        = "coordinator"
	assignmentTable = "gateway-assignment"
)

// coordinator is the duty of the one instance that queues for upstreams and owns the assignment of keys. All its
// state is touched by one goroutine only, which takes events from a bounded ring.
type coordinator struct {
	config Config
	clock  cuminlift.Clock
	log    *logrus.Entry
	view   func() *view
	term   uint64
	// incarnation tells this start of the instance from others.
	incarnation string

	events     chan func(now time.Duration)
	leadership *authority.Lead
	// leaseVersion is that of the lease row as this coordinator last wrote or read it.
	leaseVersion   uint64
	leaseBeat      uint64
	renewing       bool
	lastRenewal    time.Duration
	links          map[string]*link
	nextLinkNumber uint64
	services       map[string]*serviceState
	// tables are passed on to all instances.
	tables    []*tableFeed
	cancel    context.CancelFunc
	ctx       context.Context
	lastProbe time.Duration
	// figured is when the queues' figures were logged last.
	lastQueueLog time.Duration
}

// serviceDuty is what the coordinator keeps of one service.
type serviceState struct {
	name     string
	pool     *dispatch.Pool
	assigner *keyspace.Keeper
	// loading is true while the assignment is read, and version is that of its first row.
	loading    bool
	keyed      bool
	rowVersion uint64
	// rows is the number of rows of the assignment in the store, and writing that of the one that is being written.
	rows, pendingRows int
	ownersSentAt      time.Duration
	lastOwners        []byte
	tickets           map[uint64]ticketOrigin
}

// ticketPlace is where a ticket came from.
type ticketOrigin struct {
	link *link
	id   uint64
	// ends is when a ticket that runs is given up: its instance is lost, or its end was.
	expires time.Duration
}

const (
	// eventRing bounds the events that wait for the coordinator.
	eventBufferSize = 4096
	// coordinatorStep is the time between looks at what depends on time alone.
	coordinatorInterval = 20 * time.Millisecond
	// ticketGrace is how long after its deadline a ticket's slot is taken back without a word.
	ticketGrace = time.Second
	// leaseWrite and assignmentWrite bound the writes to the store: under the lasting of the authority.
	leaseWriteTimeout      = 700 * time.Millisecond
	assignmentWriteTimeout = 1500 * time.Millisecond
	// ownersStep is the shortest time between words about owners to all instances, which are of use only when the coordinator is lost: what is
	// older by then is refused by the upstream. A word is some kilobytes, and the slowest links carry a megabyte a second.
	ownersInterval = time.Second
	// figuresStep is the time between log lines on how the queues stand.
	queueLogInterval = time.Second
	// probeStep is the time between probes of upstreams that could not be reached.
	probeInterval = time.Second
)

// newCoordinator returns the duty for a lease that was written at sent with version.
func newCoordinator(ctx context.Context, config Config, log *logrus.Entry, currentView func() *view, incarnation string, term, version uint64, sentAt time.Duration) *coordinator {
	ctx, cancel := context.WithCancel(ctx)
	return &coordinator{
		config:       config,
		clock:        config.Clock,
		log:          log.WithField("term", term),
		view:         currentView,
		term:         term,
		incarnation:  incarnation,
		events:       make(chan func(time.Duration), eventBufferSize),
		leadership:   authority.NewLead(sentAt),
		leaseVersion: version,
		lastRenewal:  sentAt,
		links:        map[string]*link{},
		services:     map[string]*serviceState{},
		ctx:          ctx,
		cancel:       cancel,
	}
}

// post hands an event to the coordinator's goroutine. It drops it when the duty has ended.
func (c *coordinator) post(event func(now time.Duration)) {
	select {
	case c.events <- event:
	case <-c.ctx.Done():
	}
}

// run does the duty until ctx ends or the right to it is lost.
func (c *coordinator) run() {
	defer c.shutdown()
	c.log.Info("coordinator starts")
	// Services and upstreams are known before the first request is asked for.
	c.tick(c.clock.Now())
	ticker := time.NewTicker(coordinatorInterval)
	defer ticker.Stop()
	c.forwardTables()
	go c.followInstances()
	for {
		select {
		case <-c.ctx.Done():
			return
		case event := <-c.events:
			if !c.holdsLease() {
				return
			}
			event(c.clock.Now())
		case <-ticker.C:
			if !c.holdsLease() {
				return
			}
			c.tick(c.clock.Now())
		}
	}
}

// mayAct reports whether the right still holds. It is asked before each event: the process may have stood still.
func (c *coordinator) holdsLease() bool {
	now := c.clock.Now()
	if c.leadership.Valid(now) && !c.leadership.ShouldResign(now) {
		return true
	}
	c.log.WithFields(logrus.Fields{
		"since-end": now - c.leadership.Until(),
		"resigns":   c.leadership.ShouldResign(now),
	}).Warn("coordinator stops: its right has ended")
	return false
}

// end tells all that this coordinator acts no more.
func (c *coordinator) shutdown() {
	c.leadership.Resign()
	c.cancel()
	for _, feed := range c.tables {
		feed.setListener(nil)
	}
	for _, l := range c.links {
		l.send(c.beatFrame(l, true))
	}
	c.log.Info("coordinator ended")
	time.AfterFunc(coordinatorInterval, func() {
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
				StoreFails:   c.leadership.Failing(),
				LeaseVersion: c.leaseVersion,

				LargestCpuPermille: c.maxCPUPermille(),
				Place:              to.index,
			},
		},
	}
}

// largest returns the largest share of a core among the connected instances, in thousandths.
func (c *coordinator) maxCPUPermille() uint32 {
	highest := uint32(0)
	for _, l := range c.links {
		if l.current != nil {
			highest = max(highest, l.cpuPermille)
		}
	}
	return highest
}

// step does what depends on time.
func (c *coordinator) tick(now time.Duration) {
	c.renew(now)
	v := c.view()
	if v.table == nil || !v.listed {
		return
	}
	for name, service := range v.table.Services {
		s := c.ensureService(name, service.Keyed)
		s.pool.SetService(service)
	}
	for _, s := range c.services {
		s.pool.SetUpstreams(now, upstreamStates(v.list, s.name))
		c.advanceKeys(now, s, v)
		c.decide(now, s)
		c.reclaimExpired(now, s)
	}
	c.probeUnreachable(now, v)
	c.logQueues(now)
}

// logFigures tells once a second how each service's queue stands.
func (c *coordinator) logQueues(now time.Duration) {
	if now-c.lastQueueLog < queueLogInterval {
		return
	}
	c.lastQueueLog = now
	for _, s := range c.services {
		f := s.pool.Figures(now)
		c.log.WithFields(logrus.Fields{
			"service": s.name,
			"waiting": f.Waiting,
			"running": f.Running,
			"usable":  f.Usable,
			"full":    f.Full,
			"cold":    f.Cold,
			"blocked": f.Blocked,
			"usual":   f.Usual,
			"lead":    f.Lead,
			"sent":    f.Sent,
			"refused": f.Refused,
			"events":  len(c.events),
		}).Info("queue stands")
	}
}

func (c *coordinator) ensureService(name string, keyed bool) *serviceState {
	s := c.services[name]
	if s == nil {
		s = &serviceState{
			name:    name,
			keyed:   keyed,
			tickets: map[uint64]ticketOrigin{},
		}
		config := poolConfig(c.config.Settings, dispatch.Part{})
		if keyed {
			config.Owners = s
			c.loadAssignment(s)
		}
		s.pool = dispatch.NewPool(config)
		c.services[name] = s
	}
	return s
}

// Owner implements dispatch.Owners.
func (s *serviceState) Owner(now time.Duration, key uint32) (string, bool) {
	if s.assigner == nil {
		return "", false
	}
	return s.assigner.Owner(now, key)
}

// renew writes the lease again in time.
func (c *coordinator) renew(now time.Duration) {
	if c.renewing || now-c.lastRenewal < authority.Renew {
		return
	}
	c.renewing = true
	c.lastRenewal = now
	c.leaseBeat++
	row := leaseRow(c.config.Settings.Name, c.incarnation, c.term, c.leaseBeat)
	version := c.leaseVersion
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, leaseWriteTimeout)
		defer cancel()
		written, err := c.config.Store.Commit(ctx, cuminlift.RowTransaction{
			Require: []cuminlift.Row{{
				Table:   leaseTable,
				Key:     leaseKey,
				Version: version,
			}},
			Put: []cuminlift.Row{row},
		})
		c.post(func(at time.Duration) { c.handleRenewal(at, now, written, err) })
	}()
}

func leaseRow(name, incarnation string, term, beat uint64) cuminlift.Row {
	value, err := proto.Marshal(&schema.LeaseRow{
		Name:        name,
		Incarnation: incarnation,
		Term:        term,
		Beat:        beat,
	})
	if err != nil {
		panic("a lease without strings that are no UTF-8 can always be written: " + err.Error())
	}
	return cuminlift.Row{
		Table: leaseTable,
		Key:   leaseKey,
		Value: value,
	}
}

func (c *coordinator) handleRenewal(now, sentAt time.Duration, version uint64, err error) {
	c.renewing = false
	if err == nil {
		wasFailing := c.leadership.Failing()
		c.leaseVersion = version
		c.leadership.Renewed(sentAt)
		if wasFailing {
			// The instances began to read the store themselves.
			for _, l := range c.links {
				l.tablesSent = false
				c.sendTables(l)
			}
		}
		return
	}
	c.leadership.Refused(now)
	c.log.WithError(err).WithField("left", c.leadership.Until()-now).Warn("lease was not renewed")
	if rows, ok := conflictRows(err); ok {
		c.handleLeaseConflict(rows)
	}
}

// takeConflict learns from the lease as it stands: an own write whose answer was lost, or another coordinator's.
func (c *coordinator) handleLeaseConflict(rows []cuminlift.Row) {
	for _, row := range rows {
		lease := &schema.LeaseRow{}
		if row.Key != leaseKey || proto.Unmarshal(row.Value, lease) != nil {
			continue
		}
		if lease.GetIncarnation() == c.incarnation && lease.GetTerm() == c.term {
			c.leaseVersion = row.Version
			return
		}
		c.log.WithField("holder", lease.GetName()).Warn("another instance holds the lease")
	}
	c.leadership.Resign()
}

// conflictRows returns the rows of a conflict as they are; ok is false for another error.
func conflictRows(err error) (rows []cuminlift.Row, ok bool) {
	var conflict *cuminlift.ConflictError
	if errors.As(err, &conflict) {
		return conflict.Rows, true
	}
	return nil, false
}
