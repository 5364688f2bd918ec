package gateway

import (
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"cuminlift/core/dispatch"
	"cuminlift/core/request"
	"cuminlift/schema"
)

// openTicket is a granted ticket whose request has not ended.
type openTicket struct {
	result   ticketResult
	request  *schema.TicketRequest
	sent     time.Duration
	deadline time.Duration
	// headed is true once the response has begun, which frees the slot.
	headed bool
	// announced is the connection to the coordinator that was told of the ticket and did not grant it, nil for none.
	announced frameConn
}

// coldSendWindow is how long a request that has ended counts for the cold-start rate of its upstream.
const coldSendWindow = time.Second

// maxTicketsPerFrame keeps messages of open tickets well below the limit of a message.
const maxTicketsPerFrame = 2000

// grant records a ticket and passes it to the request that waits for it.
func (t *ticketClient) grant(now time.Duration, w *waiter, result ticketResult) {
	if result.upstream != "" {
		t.open[result.id] = &openTicket{
			result:   result,
			request:  w.request,
			sent:     now,
			deadline: w.deadline,
		}
		if w.request.GetAttempt() > 0 && !w.request.GetUnsent() {
			t.retryHistory(w.request.GetService()).Retry(now)
		}
	}
	w.result <- result
}

func (t *ticketClient) retryHistory(service string) dispatch.RetryHistory {
	history, known := t.retries[service]
	if !known {
		history = dispatch.NewRetryHistory(t.config.Settings.RetryWindow)
		t.retries[service] = history
	}
	return history
}

// freeTicket records that a ticket has left its slot, answered after took, or 0 for no answer.
func (t *ticketClient) freeTicket(now time.Duration, id uint64, took time.Duration) {
	open := t.open[id]
	if open == nil || open.headed {
		return
	}
	open.headed = true
	result := open.result
	if took > 0 {
		if open.request.GetKey() > 0 {
			t.keyOwners(open.request.GetService()).Accepted(open.sent)
		}
		latencies := t.latencies[open.request.GetService()]
		if latencies == nil {
			latencies = &dispatch.Latencies{}
			t.latencies[open.request.GetService()] = latencies
		}
		latencies.Record(now, took, dispatch.Latency{
			Service:     open.request.GetService(),
			Upstream:    result.upstream,
			Incarnation: result.incarnation,
		})
	}
	if t.view().list.Upstreams[result.upstream].ColdRemaining > 0 {
		t.coldSends = append(recentSends(now, t.coldSends), open)
	}
}

func recentSends(now time.Duration, sends []*openTicket) []*openTicket {
	for len(sends) > 0 && now-sends[0].sent >= coldSendWindow {
		sends = sends[1:]
	}
	return sends
}

// closeTicket records the end of a ticket. If the coordinator knows of a ticket that it did not grant, it is sent the end.
func (t *ticketClient) closeTicket(now time.Duration, result ticketResult, outcome schema.TicketOutcome, took time.Duration, end *schema.Frame) {
	if outcome != schema.TicketOutcome_answered {
		took = 0
	}
	t.freeTicket(now, result.id, took)
	t.announceEvent(result, end)
	delete(t.open, result.id)
}

// announceEvent tells the coordinator of a change to a ticket of the local pool, if it has been told of the ticket.
func (t *ticketClient) announceEvent(result ticketResult, frame *schema.Frame) {
	if open := t.open[result.id]; open != nil && result.local && open.announced != nil && open.announced == t.frameConn {
		t.frameConn.Send(frame)
	}
}

// sendState tells a coordinator what it can't know: the requests at upstreams, the used part of the retry budget, and how fast upstreams
// have answered. It must go before the first request, and is sent even if it is empty, since the coordinator waits for it.
func (t *ticketClient) sendState(now time.Duration) {
	t.stopper.forgetServices(t.view())
	tickets := &schema.OpenTickets{}
	flush := func() {
		tickets.Incarnation = t.incarnation
		t.frameConn.Send(&schema.Frame{
			Body: &schema.Frame_OpenTickets{
				OpenTickets: tickets,
			},
		})
		tickets = &schema.OpenTickets{}
	}
	add := func(open *openTicket) {
		if len(tickets.Tickets) == maxTicketsPerFrame {
			flush()
		}
		tickets.Tickets = append(tickets.Tickets, open.encode(now))
	}
	var answering []uint64
	for id, open := range t.open {
		if now > open.deadline+ticketGrace {
			delete(t.open, id)
			continue
		}
		if open.headed {
			answering = append(answering, id)
			continue
		}
		open.announced = t.frameConn
		add(open)
	}
	t.coldSends = recentSends(now, t.coldSends)
	for _, open := range t.coldSends {
		add(open)
	}
	tickets.Retries = t.retryUsage(now)
	tickets.RetriesKnownMs = uint32(max(1, t.retriesKnown(now).Milliseconds()))
	tickets.Answering = answering
	tickets.Last = true
	flush()
	t.sendLatencies(now)
}

func (o *openTicket) encode(now time.Duration) *schema.OpenTicket {
	return &schema.OpenTicket{
		Id:          o.result.id,
		Service:     o.request.GetService(),
		Upstream:    o.result.upstream,
		Born:        o.result.incarnation,
		SentUsAgo:   uint64((now - o.sent).Microseconds()),
		RemainingMs: uint32(max(0, (o.deadline - now).Milliseconds())),
		RouteClass:  o.request.GetRouteClass(),
		Workspace:   o.request.GetWorkspace(),
		Content:     o.request.GetContent(),
		Caller:      o.request.GetCaller(),
		Ended:       o.headed,
	}
}

// retriesKnown returns the time in which all is known that this instance has sent: not what it sent before a restart.
func (t *ticketClient) retriesKnown(now time.Duration) time.Duration {
	window := t.config.Settings.RetryWindow
	if t.registration == firstRegistration {
		return window
	}
	return min(now-t.startedAt, window)
}

// retryUsage returns what has been sent. Requests that wait are left out: they are submitted to the coordinator, which counts them.
func (t *ticketClient) retryUsage(now time.Duration) []*schema.RetryUsage {
	waiting := map[string]uint32{}
	for _, w := range t.waiters {
		if w.request.GetAttempt() == 0 {
			waiting[w.request.GetService()]++
		}
	}
	var all []*schema.RetryUsage
	for service, history := range t.retries {
		usage := history.Usage(now)
		for i := range usage.Requests {
			left := min(usage.Requests[i], waiting[service])
			usage.Requests[i] -= left
			waiting[service] -= left
		}
		all = append(all, &schema.RetryUsage{
			Service:  service,
			SpanMs:   uint32(usage.Span.Milliseconds()),
			Requests: usage.Requests,
			Retries:  usage.Retries,
		})
	}
	return all
}

func (t *ticketClient) sendLatencies(now time.Duration) {
	upstreams := t.view().list.Upstreams
	present := func(id string, incarnation int64) bool {
		u, known := upstreams[id]
		return known && u.Incarnation == incarnation
	}
	estimates := &schema.CostEstimates{}
	for _, latencies := range t.latencies {
		for _, l := range latencies.List(now, present) {
			estimates.Upstreams = append(estimates.Upstreams, &schema.UpstreamSpeed{
				Service:   l.Service,
				Upstream:  l.Upstream,
				Born:      l.Incarnation,
				Samples:   uint32(l.Samples),
				LatencyUs: uint64(l.Mean.Microseconds()),
			})
		}
	}
	if len(estimates.Upstreams) > 0 {
		t.frameConn.Send(&schema.Frame{
			Body: &schema.Frame_CostEstimates{
				CostEstimates: estimates,
			},
		})
	}
}

// settleTime is how long a new coordinator grants nothing while instances have not told their open tickets. It covers connecting and
// the first heartbeat; instances out of reach and those of an earlier build tell nothing.
const settleTime = 150 * time.Millisecond

// handoverState is what the coordinator knows of the time before it.
type handoverState struct {
	// settled is true once tickets may be granted, and firstLinkAt is when the first instances were known, 0 before.
	settled     bool
	firstLinkAt time.Duration
	// told holds the instances that have told their open tickets in this term, and retriesKnown what they have told of the retry
	// budget.
	told         map[string]bool
	retriesKnown *dispatch.RetryCoverage
	// restored counts tickets that were taken over, and retries what instances have told of the retry budget.
	restored, retries int
}

// settles reports whether to wait for open tickets before the first grant. Otherwise slots that are in use would be granted again.
func (c *coordinator) settles(now time.Duration) bool {
	h := &c.handover
	if h.settled {
		return false
	}
	if len(c.links) == 0 {
		return true
	}
	if h.firstLinkAt == 0 {
		h.firstLinkAt = now
	}
	if now-h.firstLinkAt < settleTime {
		for name := range c.links {
			if !h.told[name] {
				return true
			}
		}
	}
	h.settled = true
	c.log.WithFields(logrus.Fields{
		"instances": len(c.links),
		"told":      len(h.told),
		"tickets":   h.restored,
		"after":     now - h.firstLinkAt,
		"retries":   h.retries,
	}).Info("state of the last term taken over")
	return false
}

// updateRetryCoverage tells the pools which part of the window of the retry budget is known.
func (c *coordinator) updateRetryCoverage(now time.Duration) {
	part := c.handover.retriesKnown.Part(now, slices.Collect(maps.Keys(c.links)))
	for _, s := range c.services {
		s.pool.SetRetryCoverage(part)
	}
}

// handleOpenTickets takes over the running tickets of an instance, ends those that it no longer runs, and takes over, once for each
// instance, its part of the retry budget.
func (c *coordinator) handleOpenTickets(now time.Duration, l *link, open *schema.OpenTickets) {
	l.session.Identify(open.GetIncarnation())
	for _, t := range open.GetTickets() {
		c.restore(now, l, t)
	}
	if open.GetLast() {
		if ended := l.session.Complete(now, open.GetAnswering()); ended > 0 {
			c.log.WithFields(logrus.Fields{
				"instance":    l.name,
				"incarnation": open.GetIncarnation(),
				"ended":       ended,
			}).Info("tickets have ended while the instance was not connected")
		}
	}
	if c.handover.told == nil {
		c.handover.told = map[string]bool{}
	}
	c.handover.told[l.name] = true
	if len(open.GetRetries()) == 0 && open.GetRetriesKnownMs() == 0 {
		return
	}
	known := time.Duration(open.GetRetriesKnownMs()) * time.Millisecond
	if known == 0 {
		known = c.config.Settings.RetryWindow // An earlier build.
	}
	if !c.handover.retriesKnown.Told(now, l.name, known) {
		return // It has reconnected within the term: the pools have counted its requests.
	}
	for _, usage := range open.GetRetries() {
		for _, n := range usage.GetRetries() {
			c.handover.retries += int(n)
		}
		if s := c.services[usage.GetService()]; s != nil {
			s.pool.AddRetryUsage(now, dispatch.RetryUsage{
				Span:     time.Duration(usage.GetSpanMs()) * time.Millisecond,
				Requests: usage.GetRequests(),
				Retries:  usage.GetRetries(),
			})
		}
	}
}

func (c *coordinator) restore(now time.Duration, l *link, t *schema.OpenTicket) {
	s := c.services[t.GetService()]
	if s == nil {
		return
	}
	deadline := now + time.Duration(t.GetRemainingMs())*time.Millisecond
	restored := l.session.Restore(now, s.name, s.pool.Pool, dispatch.OpenTicket{
		ID:          t.GetId(),
		Upstream:    t.GetUpstream(),
		Incarnation: t.GetBorn(),
		Sent:        now - time.Duration(t.GetSentUsAgo())*time.Microsecond,
		Instance:    l.name,
		Identity: request.Identity{
			Content: t.GetContent(),
			Caller:  t.GetCaller(),
		},
		Ended: t.GetEnded(),
	}, deadline)
	if restored {
		c.handover.restored++
	}
}

// learnLatencies uses what an instance has measured of upstreams.
func (c *coordinator) learnLatencies(now time.Duration, speeds []*schema.UpstreamSpeed) {
	for _, speed := range speeds {
		if s := c.services[speed.GetService()]; s != nil {
			s.pool.LearnLatency(now, dispatch.Latency{
				Service:     speed.GetService(),
				Upstream:    speed.GetUpstream(),
				Incarnation: speed.GetBorn(),
				Mean:        time.Duration(speed.GetLatencyUs()) * time.Microsecond,
				Samples:     int(speed.GetSamples()),
			})
		}
	}
}
