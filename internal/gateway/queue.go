package gateway

import (
	"time"

	"cuminlift/core/dispatch"
	"cuminlift/schema"
)

// decide sends the pool's decisions to the instances that requested the tickets.
func (c *coordinator) decide(now time.Duration, s *serviceState) {
	if c.settles(now) {
		return
	}
	for _, decision := range s.pool.Decide(now) {
		c.sessions.Deliver(now, s.pool.Pool, decision)
	}
}

// sendDecision tells the instance the decision on a ticket.
func (l *link) sendDecision(id uint64, decision dispatch.Decision) {
	l.send(&schema.Frame{
		Body: &schema.Frame_Reply{
			Reply: &schema.TicketReply{
				Id:           id,
				Upstream:     decision.Upstream,
				Address:      decision.Address,
				Born:         decision.Incarnation,
				Reason:       string(decision.Reason),
				RetryAfterMs: uint32(decision.RetryAfter.Milliseconds()),
				Counted:      l.coordinator.quota.Counts(decision.Ticket.Workspace),
			},
		},
	})
}

// handleBeatReply handles an instance's acknowledgement of a heartbeat.
func (c *coordinator) handleBeatReply(l *link, reply *schema.BeatReply) {
	for table, position := range decodePositions(reply.GetTables()) {
		l.tableVersions[table] = position
	}
	l.storeReached, l.handsUpRows, l.unpacksRows = reply.GetStoreReached(), reply.GetAnswersTableRequests(), reply.GetUnpacksRows()
	l.failedUpstreams, l.lostPaths, l.pathsKnown = int(reply.GetFailedUpstreams()), reply.GetLostPaths(), true
	c.store.learnEra(reply.GetEra())
	c.sendTables(l)
	c.noteWithheld(l)
	c.leadership.Acknowledged(l.name, time.Duration(reply.GetSequence()), reply.GetStoreReached())
}

// refusal returns the reply to a ticket request that is refused.
func refusal(id uint64, reason dispatch.Reason, retryAfter time.Duration) *schema.Frame {
	return &schema.Frame{
		Body: &schema.Frame_Reply{
			Reply: &schema.TicketReply{
				Id:           id,
				Reason:       string(reason),
				RetryAfterMs: uint32(retryAfter.Milliseconds()),
			},
		},
	}
}

// handleFrame handles a message of an instance about a ticket that it requested.
func (c *coordinator) handleFrame(now time.Duration, l *link, frame *schema.Frame) {
	switch body := frame.GetBody().(type) {
	case *schema.Frame_Suspicions:
		c.suspects.Merge(now, decodeSuspicions(now, body.Suspicions))
	case *schema.Frame_OpenTickets:
		c.handleOpenTickets(now, l, body.OpenTickets)
	case *schema.Frame_CostEstimates:
		c.learnLatencies(now, body.CostEstimates.GetUpstreams())
		c.handleCosts(body.CostEstimates)
	case *schema.Frame_QuotaUsage:
		c.quota.Join(now, l.name, time.Duration(body.QuotaUsage.GetCountedMs())*time.Millisecond, decodeUsage(body.QuotaUsage))
	case *schema.Frame_Head:
		c.handleHead(now, l, body.Head)
	case *schema.Frame_End:
		c.handleEnd(now, l, body.End)
	case *schema.Frame_Cancel:
		c.handleCancel(now, l, body.Cancel)
	case *schema.Frame_Notice:
		c.handleNotice(now, l, body.Notice)
	case *schema.Frame_Rows:
		c.handleRows(l, body.Rows)
	}
}

func (c *coordinator) handleRequest(now time.Duration, l *link, request *schema.TicketRequest) {
	s := c.services[request.GetService()]
	if s == nil {
		// The service belongs to a configuration that this instance has not read yet: the caller is told to retry soon.
		l.send(refusal(request.GetId(), dispatch.NoUpstream, 10*localPoolInterval))
		return
	}
	deadline := now + time.Duration(request.GetRemainingMs())*time.Millisecond
	objective := now + time.Duration(request.GetObjectiveMs())*time.Millisecond
	if request.GetReturned() {
		c.withhold(now, l, s, request.GetAvoid())
	} else if s.assigner != nil && request.GetKey() > 0 && request.GetAttempt() == 0 {
		s.assigner.Count(request.GetKey() - 1)
	}
	l.session.Submit(now, s.name, s.pool.Pool, newTicket(request, request.GetId(), l.name, l.zone, deadline, objective))
	c.decide(now, s)
}

func (c *coordinator) handleHead(now time.Duration, l *link, head *schema.TicketHead) {
	ticket, ok := l.session.Find(head.GetId())
	if !ok {
		return
	}
	c.noteLeaving(ticket, head.GetReport())
	ticket.Pool.Head(now, ticket.ID, time.Duration(head.GetTookUs())*time.Microsecond, decodeReport(head.GetLoad(), head.GetReport()))
	c.decide(now, c.services[ticket.Service])
}

func (c *coordinator) handleEnd(now time.Duration, l *link, end *schema.TicketEnd) {
	ticket, ok := l.session.Take(end.GetId())
	if !ok {
		return
	}
	c.noteLeaving(ticket, end.GetReport())
	ticket.Pool.End(now, ticket.ID, dispatch.Outcome(end.GetOutcome()), time.Duration(end.GetTookUs())*time.Microsecond, decodeReport(end.GetLoad(), end.GetReport()))
	c.decide(now, c.services[ticket.Service])
}

// handleNotice handles what an upstream has said to an instance before that was connected.
func (c *coordinator) handleNotice(now time.Duration, l *link, notice *schema.UpstreamNotice) {
	if notice.GetLeaving() {
		c.spreadLeaving(notice.GetUpstream(), notice.GetBorn())
		return
	}
	if s := c.services[notice.GetService()]; s != nil {
		s.pool.ApplyNotice(now, l.name, decodeNotice(notice))
	}
}

// noteLeaving takes out of use the upstream of a ticket whose answer says that it leaves.
func (c *coordinator) noteLeaving(ticket dispatch.SessionTicket, report *schema.UpstreamReport) {
	if upstream, incarnation, ok := ticket.Pool.Assigned(ticket.ID); ok && report.GetLeaving() {
		c.spreadLeaving(upstream, incarnation)
	}
}

// spreadLeaving tells all instances that an upstream leaves, unless they have been told.
func (c *coordinator) spreadLeaving(id string, incarnation int64) {
	c.departures.noteLeaving(id, incarnation)
	if c.spread.Add(c.clock.Now(), id, incarnation) {
		c.broadcast(departureFrame(id, incarnation))
	}
}

func (c *coordinator) handleCancel(now time.Duration, l *link, cancel *schema.TicketCancel) {
	ticket, ok := l.session.Take(cancel.GetId())
	if !ok {
		return
	}
	ticket.Pool.Cancel(now, ticket.ID)
	c.decide(now, c.services[ticket.Service])
}
