package gateway

import (
	"context"
	"net"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"cuminlift/core/authority"
	"cuminlift/io/frames"
	"cuminlift/schema"
)

// silence is how long a coordinator may send no heartbeat before its connection is given up: three of them.
const silence = 3 * authority.HeartbeatInterval

// listenPeers accepts connections of coordinators until ctx ends.
func (o *office) listenPeers(ctx context.Context, listener net.Listener) error {
	go func() {
		<-ctx.Done()
		listener.Close() // The loop below ends with the error.
	}()
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			o.log.WithError(err).Warn("connection of a coordinator was not accepted")
			sleep(ctx, reserveStep)
			continue
		}
		go o.serveCoordinator(ctx, frames.NewFrames(conn))
	}
}

// serveCoordinator takes the messages of one connection.
func (o *office) serveCoordinator(ctx context.Context, f *frames.Frames) {
	watchdog := time.AfterFunc(silence, f.Close)
	defer watchdog.Stop()
	stop := context.AfterFunc(ctx, f.Close)
	defer stop()
	defer o.lose(f)
	for {
		frame, err := f.Receive()
		if err != nil {
			return
		}
		if frame.GetBeat() != nil {
			watchdog.Reset(silence)
		}
		if !o.take(f, frame) {
			f.Close()
			return
		}
	}
}

// take acts on a message of a coordinator, and reports false where the connection is of no use.
func (o *office) take(c carrier, frame *schema.Frame) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	switch body := frame.GetBody().(type) {
	case *schema.Frame_Beat:
		return o.takeBeat(c, body.Beat)
	case *schema.Frame_Reply:
		if c == o.carrier {
			o.takeReply(body.Reply)
		}
	case *schema.Frame_Rows:
		if c == o.carrier && o.holder != o.config.Settings.Name {
			o.takeRows(c, body.Rows)
		}
	case *schema.Frame_Owners:
		if c == o.carrier {
			o.takeOwners(body.Owners)
		}
	}
	return true
}

func (o *office) takeBeat(c carrier, beat *schema.Beat) bool {
	now := o.clock.Now()
	if beat.GetTerm() < o.term {
		return false
	}
	if beat.GetResigned() {
		o.watch.CoordinatorResigned(beat.GetTerm())
		if c == o.carrier {
			o.loseLocked(c)
		}
		return false
	}
	if o.taking {
		// Whoever is about to take the lease acknowledges nobody else.
		return false
	}
	o.watch.HeartbeatReceived(now, beat.GetLeaseVersion(), beat.GetTerm())
	o.instances = int(beat.GetInstances())
	o.place = int(beat.GetPlace())
	o.largest = beat.GetLargestCpuPermille()
	if beat.GetStoreFails() {
		o.tryStore()
		// What such a coordinator passes on is old.
		o.loseTables(c)
	}
	if o.carrier != c {
		o.join(c, beat)
	}
	reply := &schema.BeatReply{
		Sequence:     beat.GetSequence(),
		StoreReached: o.storeReached(),
	}
	for _, d := range o.tables {
		reply.Tables = append(reply.Tables, &schema.TableVersion{
			Table:   d.table,
			Version: d.version(),
		})
	}
	c.Send(&schema.Frame{
		Body: &schema.Frame_BeatReply{
			BeatReply: reply,
		},
	})
	return true
}

// join makes c the connection with the coordinator. What waits in the own pools is submitted again.
func (o *office) join(c carrier, beat *schema.Beat) {
	o.carrier = c
	o.loseTables(nil)
	o.term = beat.GetTerm()
	o.holder = beat.GetName()
	o.log.WithFields(logrus.Fields{
		"coordinator": beat.GetName(),
		"term":        beat.GetTerm(),
	}).Info("coordinator found")
	now := o.clock.Now()
	for _, w := range o.waiters {
		if pool := o.reserve[w.request.GetService()]; pool != nil {
			pool.Cancel(now, w.request.GetId())
		}
		o.refresh(now, w)
		o.submit(now, w)
	}
}

// refresh makes a request anew with the time that is left: the old one may still be on its way.
func (o *office) refresh(now time.Duration, w *waiter) {
	w.request = proto.Clone(w.request).(*schema.TicketRequest)
	w.request.RemainingMs = uint32(max(1, (w.deadline - now).Milliseconds()))
	w.request.ObjectiveMs = uint32(max(0, (w.objective - now).Milliseconds()))
}

func (o *office) takeReply(reply *schema.TicketReply) {
	p := place{
		id:         reply.GetId(),
		upstream:   reply.GetUpstream(),
		address:    reply.GetAddress(),
		reason:     reply.GetReason(),
		retryAfter: time.Duration(reply.GetRetryAfterMs()) * time.Millisecond,
	}
	w := o.waiters[p.id]
	if w == nil {
		o.endLocked(p, "", schema.TicketOutcome_abandoned, 0, nil)
		return
	}
	delete(o.waiters, p.id)
	w.answer <- p
}

func (o *office) takeOwners(owners *schema.Owners) {
	list := o.owners[owners.GetService()]
	if list == nil {
		list = &ownerList{}
		o.owners[owners.GetService()] = list
		delete(o.reserve, owners.GetService())
	}
	if !list.set(owners.GetMap()) {
		o.log.WithField("service", owners.GetService()).Error("owners of keys make no sense: check that all instances run the same version")
	}
}

func (o *office) takeRows(c carrier, rows *schema.TableRows) {
	for _, d := range o.tables {
		if d.table == rows.GetTable() {
			d.takePassedOn(c, rows)
		}
	}
}

// loseTables reads tables from the store that from passed on, or whoever did where from is nil.
func (o *office) loseTables(from carrier) {
	for _, d := range o.tables {
		d.lose(from)
	}
}

// lose forgets a connection that has ended.
func (o *office) lose(c carrier) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.loseLocked(c)
}

func (o *office) loseLocked(c carrier) {
	if o.carrier != c {
		return
	}
	o.carrier = nil
	o.loseTables(c)
	o.log.WithFields(logrus.Fields{
		"coordinator": o.holder,
		"term":        o.term,
		"waiting":     len(o.waiters),
	}).Warn("coordinator lost")
	now := o.clock.Now()
	for _, w := range o.waiters {
		o.refresh(now, w)
		o.submit(now, w)
	}
}
