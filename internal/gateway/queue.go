package gateway

import (
	"time"

	"cuminlift/core/dispatch"
	"cuminlift/schema"
)

// decide sends the pool's decisions to those who asked.
func (c *coordinator) decide(now time.Duration, d *serviceDuty) {
	for _, decision := range d.pool.Decide(now) {
		id := decision.Ticket.ID
		p, known := d.tickets[id]
		if !known {
			d.pool.Cancel(now, id)
			continue
		}
		if decision.Upstream == "" {
			delete(d.tickets, id)
		} else {
			p.ends = decision.Ticket.Deadline + ticketGrace
			d.tickets[id] = p
		}
		p.link.tell(&schema.Frame{
			Body: &schema.Frame_Reply{
				Reply: &schema.TicketReply{
					Id:           p.id,
					Upstream:     decision.Upstream,
					Address:      decision.Address,
					Reason:       string(decision.Reason),
					RetryAfterMs: uint32(decision.RetryAfter.Milliseconds()),
				},
			},
		})
	}
}

// reclaim takes back the slots of tickets whose end was never told.
func (c *coordinator) reclaim(now time.Duration, d *serviceDuty) {
	for id, p := range d.tickets {
		if p.ends != 0 && now > p.ends {
			delete(d.tickets, id)
			d.pool.Cancel(now, id)
		}
	}
}

// takeFrame acts on a message of an instance.
func (c *coordinator) takeFrame(now time.Duration, l *link, frame *schema.Frame) {
	switch body := frame.GetBody().(type) {
	case *schema.Frame_BeatReply:
		for _, t := range body.BeatReply.GetTables() {
			l.versions[t.GetTable()] = t.GetVersion()
		}
		c.tellTables(l)
		c.lead.Acknowledged(l.name, time.Duration(body.BeatReply.GetSequence()), body.BeatReply.GetStoreReached())
	case *schema.Frame_Request:
		c.takeRequest(now, l, body.Request)
	case *schema.Frame_Head:
		c.takeHead(now, l, body.Head)
	case *schema.Frame_End:
		c.takeEnd(now, l, body.End)
	case *schema.Frame_Cancel:
		c.takeCancel(now, l, body.Cancel)
	}
}

func (c *coordinator) takeRequest(now time.Duration, l *link, request *schema.TicketRequest) {
	d := c.services[request.GetService()]
	if d == nil {
		// A configuration that this instance has not read yet: the next step knows more.
		l.tell(&schema.Frame{
			Body: &schema.Frame_Reply{
				Reply: &schema.TicketReply{
					Id:           request.GetId(),
					Reason:       string(dispatch.NoUpstream),
					RetryAfterMs: uint32(reserveStep.Milliseconds() * 10),
				},
			},
		})
		return
	}
	id := l.global(request.GetId())
	deadline := now + time.Duration(request.GetRemainingMs())*time.Millisecond
	objective := now + time.Duration(request.GetObjectiveMs())*time.Millisecond
	d.tickets[id] = ticketPlace{
		link: l,
		id:   request.GetId(),
	}
	l.services[request.GetId()] = d
	if d.keeper != nil && request.GetKey() > 0 && request.GetAttempt() == 0 {
		d.keeper.Count(request.GetKey() - 1)
	}
	d.pool.Submit(now, ticketOf(request, id, l.zone, deadline, objective))
	c.decide(now, d)
}

func (c *coordinator) takeHead(now time.Duration, l *link, head *schema.TicketHead) {
	d := l.services[head.GetId()]
	if d == nil {
		return
	}
	d.pool.Head(now, l.global(head.GetId()), time.Duration(head.GetTookUs())*time.Microsecond, head.GetLoad())
	c.decide(now, d)
}

func (c *coordinator) takeEnd(now time.Duration, l *link, end *schema.TicketEnd) {
	d, id := c.forget(l, end.GetId())
	if d == nil {
		return
	}
	d.pool.End(now, id, dispatch.Outcome(end.GetOutcome()), time.Duration(end.GetTookUs())*time.Microsecond, end.GetLoad())
	c.decide(now, d)
}

func (c *coordinator) takeCancel(now time.Duration, l *link, cancel *schema.TicketCancel) {
	d, id := c.forget(l, cancel.GetId())
	if d == nil {
		return
	}
	d.pool.Cancel(now, id)
	c.decide(now, d)
}

// forget takes an instance's ticket out of the books, and returns its duty, nil for one that is not known, and its number there.
func (c *coordinator) forget(l *link, number uint64) (d *serviceDuty, id uint64) {
	d = l.services[number]
	if d == nil {
		return nil, 0
	}
	id = l.global(number)
	delete(l.services, number)
	delete(d.tickets, id)
	return d, id
}
