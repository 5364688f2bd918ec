package gateway

import (
	"context"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"cuminlift"
	"cuminlift/core/authority"
	"cuminlift/io/frames"
	"cuminlift/io/upstream"
	"cuminlift/schema"
)

// link is the coordinator's connection with one instance, which it makes again when it is lost.
type link struct {
	name, zone, address string
	cpuPermille         uint32
	// place is the instance's among all, in the order of their names.
	place       uint32
	number      uint64
	coordinator *coordinator
	// out is nil while there is no connection. It is touched by the coordinator's goroutine only.
	out carrier
	// versions are those up to which the instance knows the tables, and told is true once it was told what it lacks of them.
	versions map[string]uint64
	told     bool
	// services holds the duties of open tickets by the instance's number of the ticket.
	services map[uint64]*serviceDuty
	cancel   context.CancelFunc
}

// global makes an instance's number of a ticket unique among all instances.
func (l *link) global(id uint64) uint64 {
	return l.number<<40 | id&(1<<40-1)
}

func (l *link) tell(frame *schema.Frame) {
	if l.out != nil {
		l.out.Send(frame)
	}
}

func (l *link) close() {
	l.cancel()
	if l.out != nil {
		l.out.Close()
	}
}

// followInstances keeps the links up to date with the registered instances.
func (c *coordinator) followInstances() {
	f := &follower{
		store: c.config.Store,
		log:   c.log,
		clock: c.clock,
	}
	rows := map[string]*schema.InstanceRow{}
	take := func(list []cuminlift.Row) {
		for _, row := range list {
			delete(rows, row.Key)
			instance := &schema.InstanceRow{}
			if row.Removed || proto.Unmarshal(row.Value, instance) != nil || instance.GetName() == "" {
				continue
			}
			rows[row.Key] = instance
		}
		registered := make([]*schema.InstanceRow, 0, len(rows))
		for _, instance := range rows {
			registered = append(registered, instance)
		}
		c.post(func(time.Duration) { c.setInstances(registered) })
	}
	// The follower only ends with the context.
	_ = f.follow(c.ctx, &tableDuty{
		table: instanceTable,
		whole: func(list []cuminlift.Row) {
			clear(rows)
			take(list)
		},
		change:   take,
		regained: func(context.Context, time.Duration) {},
		pause:    gatherChanges,
	})
}

func (c *coordinator) setInstances(instances []*schema.InstanceRow) {
	present := map[string]bool{}
	var others []string
	for _, instance := range instances {
		present[instance.GetName()] = true
		if instance.GetName() != c.config.Settings.Name {
			others = append(others, instance.GetName())
		}
		old := c.links[instance.GetName()]
		if old != nil && old.address == instance.GetAddress() {
			continue
		}
		if old != nil {
			old.close()
		}
		c.connect(instance)
	}
	for name, l := range c.links {
		if !present[name] {
			l.close()
			delete(c.links, name)
		}
	}
	c.lead.SetMembers(others)
	for place, name := range slices.Sorted(maps.Keys(c.links)) {
		c.links[name].place = uint32(place)
	}
}

// connect starts a link.
func (c *coordinator) connect(instance *schema.InstanceRow) {
	c.nextLink++
	ctx, cancel := context.WithCancel(c.ctx)
	l := &link{
		name:        instance.GetName(),
		zone:        instance.GetZone(),
		address:     instance.GetAddress(),
		cpuPermille: instance.GetCpuPermille(),
		number:      c.nextLink,
		coordinator: c,
		versions:    map[string]uint64{},
		services:    map[uint64]*serviceDuty{},
		cancel:      cancel,
	}
	c.links[l.name] = l
	go l.keep(ctx)
}

const (
	// linkPause is the pause before a lost connection is made again, and linkDial bounds making it.
	linkPause = 100 * time.Millisecond
	linkDial  = 300 * time.Millisecond
)

// keep holds a connection with the instance until ctx ends.
func (l *link) keep(ctx context.Context) {
	for ctx.Err() == nil {
		conn, err := upstream.Dialer(linkDial).DialContext(ctx, "tcp4", l.address)
		if err != nil {
			sleep(ctx, linkPause)
			continue
		}
		f := frames.NewFrames(conn)
		stop := context.AfterFunc(ctx, func() { time.AfterFunc(coordinatorStep, f.Close) })
		l.coordinator.post(func(time.Duration) {
			l.out = f
			l.tell(l.coordinator.beatFrame(l, false))
			l.coordinator.tellOwners(l)
			l.told = false
		})
		l.serve(ctx, f)
		stop()
		l.coordinator.post(func(now time.Duration) { l.coordinator.lost(now, l, f) })
		sleep(ctx, linkPause)
	}
}

// serve sends heartbeats and takes messages until the connection ends.
func (l *link) serve(ctx context.Context, f *frames.Frames) {
	done := make(chan struct{})
	defer close(done)
	watchdog := time.AfterFunc(silence, f.Close)
	defer watchdog.Stop()
	go l.beat(ctx, f, done)
	for {
		frame, err := f.Receive()
		if err != nil {
			f.Close()
			return
		}
		if frame.GetBeatReply() != nil {
			watchdog.Reset(silence)
		}
		l.coordinator.post(func(now time.Duration) { l.coordinator.takeFrame(now, l, frame) })
	}
}

func (l *link) beat(ctx context.Context, f *frames.Frames, done <-chan struct{}) {
	ticker := time.NewTicker(authority.HeartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			// The duty's own goroutine sends it, so that none goes out once the right has ended.
			l.coordinator.post(func(time.Duration) {
				if l.out == f {
					l.tell(l.coordinator.beatFrame(l, false))
				}
			})
		case <-done:
			return
		case <-ctx.Done():
			return
		}
	}
}

// lost forgets the connection and what its instance waits for. Work that runs may go on: its slots are kept until its time is over.
func (c *coordinator) lost(now time.Duration, l *link, f carrier) {
	if l.out != f {
		return
	}
	l.out = nil
	for id, d := range l.services {
		global := l.global(id)
		if p := d.tickets[global]; p.ends == 0 {
			delete(d.tickets, global)
			d.pool.Cancel(now, global)
		}
	}
	l.services = map[uint64]*serviceDuty{}
}

// passOn tells all instances of what changes in the operators' and upstreams' tables.
func (c *coordinator) passOn() {
	for _, d := range c.tables {
		d.listen(func(page cuminlift.RowPage, whole bool) {
			frame := rowsFrame(d.table, page, whole)
			// The caller holds the table, which the coordinator's goroutine may wait for: this must not block.
			select {
			case c.events <- func(time.Duration) { c.tellAll(frame) }:
			default:
				c.log.Error("coordinator stops: its ring is full")
				c.stop()
			}
		})
	}
}

func (c *coordinator) tellAll(frame *schema.Frame) {
	for _, l := range c.links {
		l.tell(frame)
	}
}

// tellTables tells an instance what it lacks of the tables, once its first answer has said what it knows. While the store does not answer,
// the rows may be old, and it reads for itself.
func (c *coordinator) tellTables(l *link) {
	if l.told || c.lead.StoreFailing() {
		return
	}
	l.told = true
	for _, d := range c.tables {
		if frame, ok := d.since(l.versions[d.table]); ok {
			l.tell(frame)
		} else {
			l.told = false
		}
	}
}
