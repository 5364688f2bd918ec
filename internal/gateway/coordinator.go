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

	events chan func(now time.Duration)
	lead   *authority.Leadership
	// leaseVersion is that of the lease row as this coordinator last wrote or read it.
	leaseVersion uint64
	beat         uint64
	renewing     bool
	renewed      time.Duration
	links        map[string]*link
	nextLink     uint64
	services     map[string]*serviceDuty
	// tables are passed on to all instances.
	tables []*tableDuty
	stop   context.CancelFunc
	ctx    context.Context
	probed time.Duration
	// figured is when the queues' figures were logged last.
	figured time.Duration
}

// serviceDuty is what the coordinator keeps of one service.
type serviceDuty struct {
	name   string
	pool   *dispatch.Pool
	keeper *keyspace.Manager
	// loading is true while the assignment is read, and version is that of its first row.
	loading bool
	keyed   bool
	version uint64
	// rows is the number of rows of the assignment in the store, and writing that of the one that is being written.
	rows, writing int
	ownersSent    time.Duration
	ownersTold    []byte
	tickets       map[uint64]ticketPlace
}

// ticketPlace is where a ticket came from.
type ticketPlace struct {
	link *link
	id   uint64
	// ends is when a ticket that runs is given up: its instance is lost, or its end was.
	ends time.Duration
}

const (
	// eventRing bounds the events that wait for the coordinator.
	eventRing = 4096
	// coordinatorStep is the time between looks at what depends on time alone.
	coordinatorStep = 20 * time.Millisecond
	// ticketGrace is how long after its deadline a ticket's slot is taken back without a word.
	ticketGrace = time.Second
	// leaseWrite and assignmentWrite bound the writes to the store: under the lasting of the authority.
	leaseWrite      = 700 * time.Millisecond
	assignmentWrite = 1500 * time.Millisecond
	// ownersStep is the shortest time between words about owners to all instances, which are of use only when the coordinator is lost: what is
	// older by then is refused by the upstream. A word is some kilobytes, and the slowest links carry a megabyte a second.
	ownersStep = time.Second
	// figuresStep is the time between log lines on how the queues stand.
	figuresStep = time.Second
	// probeStep is the time between probes of upstreams that could not be reached.
	probeStep = time.Second
)

// newCoordinator returns the duty for a lease that was written at sent with version.
func newCoordinator(ctx context.Context, config Config, log *logrus.Entry, current func() *view, incarnation string, term, version uint64, sent time.Duration) *coordinator {
	ctx, stop := context.WithCancel(ctx)
	return &coordinator{
		config:       config,
		clock:        config.Clock,
		log:          log.WithField("term", term),
		view:         current,
		term:         term,
		incarnation:  incarnation,
		events:       make(chan func(time.Duration), eventRing),
		lead:         authority.NewLeadership(sent),
		leaseVersion: version,
		renewed:      sent,
		links:        map[string]*link{},
		services:     map[string]*serviceDuty{},
		ctx:          ctx,
		stop:         stop,
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
	defer c.end()
	c.log.Info("coordinator starts")
	// Services and upstreams are known before the first request is asked for.
	c.step(c.clock.Now())
	ticker := time.NewTicker(coordinatorStep)
	defer ticker.Stop()
	c.passOn()
	go c.followInstances()
	for {
		select {
		case <-c.ctx.Done():
			return
		case event := <-c.events:
			if !c.mayAct() {
				return
			}
			event(c.clock.Now())
		case <-ticker.C:
			if !c.mayAct() {
				return
			}
			c.step(c.clock.Now())
		}
	}
}

// mayAct reports whether the right still holds. It is asked before each event: the process may have stood still.
func (c *coordinator) mayAct() bool {
	now := c.clock.Now()
	if c.lead.Valid(now) && !c.lead.ShouldResign(now) {
		return true
	}
	c.log.WithFields(logrus.Fields{
		"since-end": now - c.lead.ValidUntil(),
		"resigns":   c.lead.ShouldResign(now),
	}).Warn("coordinator stops: its right has ended")
	return false
}

// end tells all that this coordinator acts no more.
func (c *coordinator) end() {
	c.lead.Resign()
	c.stop()
	for _, d := range c.tables {
		d.listen(nil)
	}
	for _, l := range c.links {
		l.tell(c.beatFrame(l, true))
	}
	c.log.Info("coordinator ended")
	time.AfterFunc(coordinatorStep, func() {
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
				StoreFails:   c.lead.StoreFailing(),
				LeaseVersion: c.leaseVersion,

				LargestCpuPermille: c.largest(),
				Place:              to.place,
			},
		},
	}
}

// largest returns the largest share of a core among the connected instances, in thousandths.
func (c *coordinator) largest() uint32 {
	most := uint32(0)
	for _, l := range c.links {
		if l.out != nil {
			most = max(most, l.cpuPermille)
		}
	}
	return most
}

// step does what depends on time.
func (c *coordinator) step(now time.Duration) {
	c.renew(now)
	v := c.view()
	if v.table == nil || !v.listed {
		return
	}
	for name, service := range v.table.Services {
		d := c.duty(name, service.Keyed)
		d.pool.SetService(service)
	}
	for _, d := range c.services {
		d.pool.SetUpstreams(now, upstreamStates(v.list, d.name))
		c.stepKeys(now, d, v)
		c.decide(now, d)
		c.reclaim(now, d)
	}
	c.probe(now, v)
	c.logFigures(now)
}

// logFigures tells once a second how each service's queue stands.
func (c *coordinator) logFigures(now time.Duration) {
	if now-c.figured < figuresStep {
		return
	}
	c.figured = now
	for _, d := range c.services {
		f := d.pool.Stats(now)
		c.log.WithFields(logrus.Fields{
			"service": d.name,
			"waiting": f.Waiting,
			"running": f.Running,
			"usable":  f.Usable,
			"full":    f.Full,
			"cold":    f.Cold,
			"blocked": f.Blocked,
			"usual":   f.MedianLatency,
			"lead":    f.Overcommit,
			"sent":    f.Sent,
			"refused": f.Refused,
			"events":  len(c.events),
		}).Info("queue stands")
	}
}

func (c *coordinator) duty(name string, keyed bool) *serviceDuty {
	d := c.services[name]
	if d == nil {
		d = &serviceDuty{
			name:    name,
			keyed:   keyed,
			tickets: map[uint64]ticketPlace{},
		}
		config := poolConfig(c.config.Settings, dispatch.Share{})
		if keyed {
			config.Owners = d
			c.load(d)
		}
		d.pool = dispatch.NewPool(config)
		c.services[name] = d
	}
	return d
}

// Owner implements dispatch.Owners.
func (d *serviceDuty) Owner(now time.Duration, key uint32) (string, bool) {
	if d.keeper == nil {
		return "", false
	}
	return d.keeper.Owner(now, key)
}

// renew writes the lease again in time.
func (c *coordinator) renew(now time.Duration) {
	if c.renewing || now-c.renewed < authority.RenewInterval {
		return
	}
	c.renewing = true
	c.renewed = now
	c.beat++
	row := leaseRow(c.config.Settings.Name, c.incarnation, c.term, c.beat)
	version := c.leaseVersion
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, leaseWrite)
		defer cancel()
		written, err := c.config.Store.Commit(ctx, cuminlift.RowTransaction{
			Require: []cuminlift.Row{{
				Table:   leaseTable,
				Key:     leaseKey,
				Version: version,
			}},
			Put: []cuminlift.Row{row},
		})
		c.post(func(at time.Duration) { c.takeRenewal(at, now, written, err) })
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

func (c *coordinator) takeRenewal(now, sent time.Duration, version uint64, err error) {
	c.renewing = false
	if err == nil {
		failed := c.lead.StoreFailing()
		c.leaseVersion = version
		c.lead.Renewed(sent)
		if failed {
			// The instances began to read the store themselves.
			for _, l := range c.links {
				l.told = false
				c.tellTables(l)
			}
		}
		return
	}
	c.lead.RenewalFailed(now)
	c.log.WithError(err).WithField("left", c.lead.ValidUntil()-now).Warn("lease was not renewed")
	if rows, ok := conflictRows(err); ok {
		c.takeConflict(rows)
	}
}

// takeConflict learns from the lease as it stands: an own write whose answer was lost, or another coordinator's.
func (c *coordinator) takeConflict(rows []cuminlift.Row) {
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
	c.lead.Resign()
}

// conflictRows returns the rows of a conflict as they are; ok is false for another error.
func conflictRows(err error) (rows []cuminlift.Row, ok bool) {
	var conflict *cuminlift.ConflictError
	if errors.As(err, &conflict) {
		return conflict.Rows, true
	}
	return nil, false
}
