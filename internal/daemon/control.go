package daemon

import (
	"context"
	"time"

	"cuminlift/core/ownership"
	"cuminlift/internal/metrics"
	"cuminlift/schema"
)

// serviceEvent is an input for the ownership decisions of one service.
type serviceEvent struct {
	service *service
	event   *schema.OwnershipEvent
}

// controlPeriod is how often time passes in the decisions without another event.
const controlPeriod = 20 * time.Millisecond

// post queues an event for the control loop. It drops the event when the queue is full, as a lossy network would.
func (d *Daemon) post(s *service, event *schema.OwnershipEvent) {
	select {
	case d.events <- serviceEvent{
		service: s,
		event:   event,
	}:
	default:
	}
}

// controlLoop is the only goroutine that steps the guardians.
func (d *Daemon) controlLoop(ctx context.Context) error {
	ticker := time.NewTicker(controlPeriod)
	defer ticker.Stop()
	outbox := newOutbox(d)
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-d.events:
			d.step(ctx, e.service, e.event, outbox)
			d.drain(ctx, outbox)
		case <-ticker.C:
			d.tick(ctx, outbox)
		}
		outbox.flush(ctx)
	}
}

// drain steps the events that have gathered, so that one heartbeat carries what they led to.
func (d *Daemon) drain(ctx context.Context, outbox *outbox) {
	for range eventQueue {
		select {
		case e := <-d.events:
			d.step(ctx, e.service, e.event, outbox)
		default:
			return
		}
	}
}

func (d *Daemon) tick(ctx context.Context, outbox *outbox) {
	tick := &schema.OwnershipEvent{
		Kind: schema.EventKind_tick,
	}
	for _, s := range d.services() {
		d.step(ctx, s, tick, outbox)
	}
	outbox.base(d.clock.Now())
}

func (d *Daemon) step(ctx context.Context, s *service, event *schema.OwnershipEvent, outbox *outbox) {
	began := time.Now()
	// Traces hold microseconds: the decisions must not see more.
	now := d.clock.Now().Truncate(time.Microsecond)
	s.mutex.Lock()
	before := s.guardian.Version()
	actions := s.guardian.Step(now, event)
	after := s.guardian.Version()
	s.mutex.Unlock()
	d.trace.input(s, now, event, actions)
	for _, a := range actions {
		d.perform(ctx, s, a, outbox)
	}
	if event.GetKind() != schema.EventKind_tick || after != before {
		s.updatePools(now)
	}
	if after != before {
		d.logs.For("ownership").WithField("service", s.name).WithField("version", after).
			WithField("reason", s.document().GetReason()).Info("document in force")
	}
	d.metrics.Add(metrics.ControlNanoseconds, time.Since(began).Nanoseconds())
}

func (d *Daemon) perform(ctx context.Context, s *service, a ownership.Action, outbox *outbox) {
	switch {
	case a.Read != nil:
		d.reader.want(s, a.Read.KnownVersion)
	case a.Write != nil:
		go d.write(ctx, s, a.Write)
	case a.Send != nil:
		outbox.add(a.Send.To, a.Send.View)
	case a.Grant != nil:
		d.metrics.Add(metrics.GrantsSent, 1)
		go d.grant(ctx, s, a.Grant)
	}
}

func (d *Daemon) grant(ctx context.Context, s *service, send *ownership.SendGrant) {
	failed := &schema.OwnershipEvent{
		Kind:     schema.EventKind_failed,
		Upstream: send.Grant.GetUpstream(),
		Sequence: send.Grant.GetSequence(),
	}
	if d.config.Allow != nil && !d.config.Allow(send.Address) {
		d.post(s, failed)
		return
	}
	reply, err := d.control.Grant(ctx, send.Address, send.Grant)
	if err != nil {
		d.logs.For("ownership").WithError(err).Debug("grant failed")
		d.post(s, failed)
		return
	}
	reply.Busy = max(reply.GetBusy(), s.busyLost(send.Grant.GetUpstream()))
	d.post(s, &schema.OwnershipEvent{
		Kind:  schema.EventKind_replied,
		Reply: reply,
	})
}

// outbox gathers views into one heartbeat for each member.
type outbox struct {
	daemon  *Daemon
	pending map[string]*schema.Heartbeat
	targets map[string]*schema.Member
	last    map[string]time.Duration
	// sent counts the heartbeats to each member.
	sent map[string]int
	// based is when the neighbours were looked at last.
	based time.Duration
	// version is the configuration that was told last.
	version uint64
}

func newOutbox(d *Daemon) *outbox {
	return &outbox{
		daemon:  d,
		pending: map[string]*schema.Heartbeat{},
		targets: map[string]*schema.Member{},
		last:    map[string]time.Duration{},
		sent:    map[string]int{},
	}
}

func (o *outbox) add(to *schema.Member, view *schema.View) {
	h := o.pending[to.GetId()]
	if h == nil {
		h = &schema.Heartbeat{}
		o.pending[to.GetId()] = h
		o.targets[to.GetId()] = to
	}
	if view != nil {
		view.From = ""
		view.To = ""
		h.Views = append(h.Views, view)
	}
}

// base makes sure that this member's neighbours hear of it once in the base period, also without a service, and at once
// of a new configuration.
func (o *outbox) base(now time.Duration) {
	version := o.daemon.configurationVersion()
	news := version != o.version
	o.version = version
	if !news && now-o.based < basePeriod/4 {
		return
	}
	o.based = now
	for _, m := range o.daemon.members.askers(o.version, now) {
		o.add(m, nil)
	}
	for _, m := range o.daemon.members.targets(now) {
		if news || now-o.last[m.GetId()] >= basePeriod {
			o.add(m, nil)
		}
	}
	for id := range o.last {
		if now-o.last[id] > forgetAfter {
			delete(o.last, id)
			delete(o.sent, id)
		}
	}
}

// basePeriod is how often neighbours hear of this member where no service has something to tell.
const basePeriod = time.Second

// forgetAfter is how long the time of the last heartbeat to a member is kept.
const forgetAfter = 10 * time.Second

func (o *outbox) flush(ctx context.Context) {
	if len(o.pending) == 0 {
		return
	}
	now := o.daemon.clock.Now()
	for id, h := range o.pending {
		h.From = o.from(id)
		h.To = id
		h.Sequence = o.daemon.sequence.Add(1)
		h.Leaving = o.daemon.stopping.Load()
		o.daemon.addConfiguration(h, id)
		if err := o.daemon.link.Send(ctx, o.targets[id].GetPeers(), h); err != nil {
			o.daemon.logs.For("instance").WithError(err).Debug("heartbeat not sent")
		}
		o.last[id] = now
	}
	clear(o.pending)
	clear(o.targets)
}

// from returns this member for a heartbeat: whole in the first ones and now and then, or else its id alone.
func (o *outbox) from(to string) *schema.Member {
	n := o.sent[to]
	o.sent[to]++
	if n < wholeAtFirst || n%wholeEvery == 0 {
		return o.daemon.self
	}
	return &schema.Member{
		Id: o.daemon.self.GetId(),
	}
}

const (
	// wholeAtFirst is the number of first heartbeats to a member that tell all of this one.
	wholeAtFirst = 3
	// wholeEvery is how many heartbeats later one does so again.
	wholeEvery = 25
)

// receive takes a heartbeat from the link.
func (d *Daemon) receive(h *schema.Heartbeat) {
	if h.GetFrom() == nil || h.GetFrom().GetId() == d.self.GetId() {
		return
	}
	if h.GetTo() != d.self.GetId() {
		// A peer that does not know yet that this run took the place of an earlier one: it learns it from this one's
		// heartbeats.
		d.members.learn(h.GetFrom())
		return
	}
	d.members.heard(d.clock.Now(), h)
	d.hearConfiguration(h)
	for _, view := range h.GetViews() {
		s := d.service(view.GetService())
		if s == nil {
			continue
		}
		view.From = h.GetFrom().GetId()
		d.post(s, &schema.OwnershipEvent{
			Kind: schema.EventKind_heard,
			View: view,
		})
	}
}
