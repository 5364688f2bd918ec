package daemon

import (
	"context"
	"time"

	"cuminlift/core/ownership"
	"cuminlift/internal/metrics"
	"cuminlift/schema"
)

// serviceEvent is an input to the guardian of one service.
type serviceEvent struct {
	service *service
	event   *schema.OwnershipEvent
}

// controlPeriod is the interval of tick events, which advance the guardians' time when no other event arrives.
const controlPeriod = 20 * time.Millisecond

// postEvent queues an event for the control loop. It drops the event if the queue is full; guardians tolerate this like
// a lost network message.
func (d *Daemon) postEvent(s *service, event *schema.OwnershipEvent) {
	select {
	case d.events <- serviceEvent{
		service: s,
		event:   event,
	}:
	default:
	}
}

// controlLoop steps the guardians. No other goroutine does.
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
			d.stepQueuedEvents(ctx, outbox)
		case <-ticker.C:
			d.tick(ctx, outbox)
		}
		outbox.flush(ctx)
	}
}

// stepQueuedEvents processes all queued events before the outbox is flushed, so that one heartbeat carries all
// resulting views.
func (d *Daemon) stepQueuedEvents(ctx context.Context, outbox *outbox) {
	for range eventQueueSize {
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
	outbox.addKeepalives(d.clock.Now())
}

func (d *Daemon) step(ctx context.Context, s *service, event *schema.OwnershipEvent, outbox *outbox) {
	start := time.Now()
	// Traces store times in microseconds. Decisions must not depend on a finer time, or a replay would differ.
	now := d.clock.Now().Truncate(time.Microsecond)
	s.mutex.Lock()
	before := s.guardian.Version()
	actions := s.guardian.Step(now, event)
	after := s.guardian.Version()
	s.mutex.Unlock()
	d.trace.recordInput(s, now, event, actions)
	for _, a := range actions {
		d.executeAction(ctx, s, a, outbox)
	}
	if event.GetKind() != schema.EventKind_tick || after != before {
		s.updatePools(now)
	}
	if after != before {
		d.logs.For("ownership").WithField("service", s.name).WithField("version", after).
			WithField("reason", s.document().GetReason()).Info("ownership document applied")
	}
	d.metrics.Add(metrics.ControlNanoseconds, time.Since(start).Nanoseconds())
}

func (d *Daemon) executeAction(ctx context.Context, s *service, a ownership.Action, outbox *outbox) {
	switch {
	case a.Read != nil:
		d.tableReader.requestDocument(s, a.Read.KnownVersion)
	case a.Write != nil:
		go d.writeDocument(ctx, s, a.Write)
	case a.Send != nil:
		outbox.add(a.Send.To, a.Send.View)
	case a.Grant != nil:
		d.metrics.Add(metrics.GrantsSent, 1)
		go d.sendGrant(ctx, s, a.Grant)
	}
}

func (d *Daemon) sendGrant(ctx context.Context, s *service, action *ownership.SendGrant) {
	failed := &schema.OwnershipEvent{
		Kind:     schema.EventKind_failed,
		Upstream: action.Grant.GetUpstream(),
		Sequence: action.Grant.GetSequence(),
	}
	if d.config.Allow != nil && !d.config.Allow(action.Address) {
		d.postEvent(s, failed)
		return
	}
	reply, err := d.upstreamControl.Grant(ctx, action.Address, action.Grant)
	if err != nil {
		d.logs.For("ownership").WithError(err).Debug("grant failed")
		d.postEvent(s, failed)
		return
	}
	reply.Busy = max(reply.GetBusy(), s.countUnownedInFlight(action.Grant.GetUpstream()))
	d.postEvent(s, &schema.OwnershipEvent{
		Kind:  schema.EventKind_replied,
		Reply: reply,
	})
}

// outbox collects the views for each member into one heartbeat.
type outbox struct {
	daemon     *Daemon
	pending    map[string]*schema.Heartbeat
	recipients map[string]*schema.Member
	lastSent   map[string]time.Duration
	// sentCount counts the heartbeats sent to each member.
	sentCount map[string]int
	// lastKeepalive is when addKeepalives last looked for members that need a heartbeat.
	lastKeepalive time.Duration
	// version is the configuration version that was last announced.
	version uint64
}

func newOutbox(d *Daemon) *outbox {
	return &outbox{
		daemon:     d,
		pending:    map[string]*schema.Heartbeat{},
		recipients: map[string]*schema.Member{},
		lastSent:   map[string]time.Duration{},
		sentCount:  map[string]int{},
	}
}

func (o *outbox) add(to *schema.Member, view *schema.View) {
	h := o.pending[to.GetId()]
	if h == nil {
		h = &schema.Heartbeat{}
		o.pending[to.GetId()] = h
		o.recipients[to.GetId()] = to
	}
	if view != nil {
		view.From = ""
		view.To = ""
		h.Views = append(h.Views, view)
	}
}

// addKeepalives queues a heartbeat for each neighbour that got none within keepalivePeriod, even if no service has a
// view to send, and for each member that reported another configuration version. When this member's configuration
// changes, all neighbours get one at once.
func (o *outbox) addKeepalives(now time.Duration) {
	version := o.daemon.configurationVersion()
	changed := version != o.version
	o.version = version
	if !changed && now-o.lastKeepalive < keepalivePeriod/4 {
		return
	}
	o.lastKeepalive = now
	for _, m := range o.daemon.members.withOtherConfiguration(o.version, now) {
		o.add(m, nil)
	}
	for _, m := range o.daemon.members.heartbeatTargets(now) {
		if changed || now-o.lastSent[m.GetId()] >= keepalivePeriod {
			o.add(m, nil)
		}
	}
	for id := range o.lastSent {
		if now-o.lastSent[id] > peerStateTTL {
			delete(o.lastSent, id)
			delete(o.sentCount, id)
		}
	}
}

// keepalivePeriod is the longest interval between heartbeats to a neighbour when no service has a view to send.
const keepalivePeriod = time.Second

// peerStateTTL is how long the send state of a member is kept after the last heartbeat to it.
const peerStateTTL = 10 * time.Second

func (o *outbox) flush(ctx context.Context) {
	if len(o.pending) == 0 {
		return
	}
	now := o.daemon.clock.Now()
	for id, h := range o.pending {
		h.From = o.senderFor(id)
		h.To = id
		h.Sequence = o.daemon.sequence.Add(1)
		h.Leaving = o.daemon.stopping.Load()
		o.daemon.attachConfiguration(h, id)
		if err := o.daemon.peerLink.Send(ctx, o.recipients[id].GetPeers(), h); err != nil {
			o.daemon.logs.For("instance").WithError(err).Debug("failed to send heartbeat")
		}
		o.lastSent[id] = now
	}
	clear(o.pending)
	clear(o.recipients)
}

// senderFor returns the sender field for a heartbeat: the full member record in the first heartbeats and then
// periodically, or else its ID alone.
func (o *outbox) senderFor(to string) *schema.Member {
	sent := o.sentCount[to]
	o.sentCount[to]++
	if sent < initialFullHeartbeats || sent%fullHeartbeatInterval == 0 {
		return o.daemon.self
	}
	return &schema.Member{
		Id: o.daemon.self.GetId(),
	}
}

const (
	// initialFullHeartbeats is the number of first heartbeats to a member that carry the full member record.
	initialFullHeartbeats = 3
	// fullHeartbeatInterval is the number of heartbeats after which the full record is sent again.
	fullHeartbeatInterval = 25
)

// receiveHeartbeat handles a heartbeat from a peer.
func (d *Daemon) receiveHeartbeat(h *schema.Heartbeat) {
	if h.GetFrom() == nil || h.GetFrom().GetId() == d.self.GetId() {
		return
	}
	if h.GetTo() != d.self.GetId() {
		// The peer does not know yet that this run replaced an earlier one. Once added, it receives this run's
		// heartbeats and learns so from them.
		d.members.addMember(h.GetFrom())
		return
	}
	d.members.heard(d.clock.Now(), h)
	d.adoptPeerConfiguration(h)
	for _, view := range h.GetViews() {
		s := d.service(view.GetService())
		if s == nil {
			continue
		}
		view.From = h.GetFrom().GetId()
		d.postEvent(s, &schema.OwnershipEvent{
			Kind: schema.EventKind_heard,
			View: view,
		})
	}
}
