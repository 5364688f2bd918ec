package gateway

import (
	"context"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"cuminlift"
	"cuminlift/core/roster"
	"cuminlift/core/shutdown"
	"cuminlift/internal/mutant"
	"cuminlift/schema"
)

// instanceStopping is why a ticket is returned whose request could not be answered before this instance ends.
const instanceStopping roster.Exclusion = "instance-stopping"

// stopRefusalInterval is the interval at which a stopping instance looks for waiting requests that can no longer be answered.
const stopRefusalInterval = 20 * time.Millisecond

// stoppingRefusal is the result of ticket requests that could not be answered before this instance ends. Another instance may serve
// them at once.
var stoppingRefusal = ticketResult{
	reason:     "instance is stopping",
	retryAfter: defaultRetryAfter,
}

// stopper knows when this instance ends and how long requests take.
type stopper struct {
	clock     cuminlift.Clock
	mutex     sync.Mutex
	durations shutdown.Durations
	// plan is nil until the instance stops.
	plan *shutdown.Plan
}

// begin records that the instance stops.
func (s *stopper) begin(plan shutdown.Plan) {
	if mutant.Is(mutant.StopCloses) {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.plan = &plan
}

// track records that a call is passed on. The function that it returns records its end; only the first call has an effect.
func (s *stopper) track(c *call) (end func(answered bool)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	id := s.durations.Begin(s.clock.Now(), c.duration())
	return func(answered bool) {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		s.durations.End(s.clock.Now(), id, answered)
	}
}

// forgetServices forgets the services that the configuration doesn't have any more.
func (s *stopper) forgetServices(v *view) {
	if v.table == nil {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.durations.Retain(func(service string) bool {
		_, present := v.table.Services[service]
		return present
	})
}

// latestSend returns the latest time at which a request may be passed on, and false if the instance does not stop.
func (s *stopper) latestSend(request shutdown.Request) (at time.Duration, stopping bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.plan == nil {
		return 0, false
	}
	return s.plan.LatestSend(s.durations.Longest(s.clock.Now(), request)), true
}

// canEnd reports whether a request that is passed on now is expected to be answered before the instance ends.
func (s *stopper) canEnd(request shutdown.Request) bool {
	latest, stopping := s.latestSend(request)
	return !stopping || s.clock.Now() <= latest
}

// end returns when the instance ends, and false if it does not stop.
func (s *stopper) end() (at time.Duration, stopping bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.plan == nil {
		return 0, false
	}
	return s.plan.End, true
}

// duration returns what tells how long the call takes at an upstream.
func (c *call) duration() shutdown.Request {
	request := shutdown.Request{
		Service:    c.service,
		AtMostOnce: !c.state.Idempotent,
	}
	if c.route != nil {
		request.Class, request.Objective = c.route.Class, c.route.Objective
	}
	return request
}

// ticketDuration returns what tells how long the request of a ticket takes at an upstream.
func ticketDuration(ticket *schema.TicketRequest) shutdown.Request {
	return shutdown.Request{
		Service:    ticket.GetService(),
		Class:      ticket.GetRouteClass(),
		Objective:  time.Duration(ticket.GetObjectiveMs()) * time.Millisecond,
		AtMostOnce: !ticket.GetIdempotent(),
	}
}

// refuseUnanswerable refuses the waiting requests that can no longer be answered before this instance ends, until ctx ends.
func (t *ticketClient) refuseUnanswerable(ctx context.Context) {
	for ctx.Err() == nil {
		t.refuseWaiting()
		sleep(ctx, stopRefusalInterval)
	}
}

func (t *ticketClient) refuseWaiting() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	refused := map[shutdown.Request]bool{}
	for id, w := range t.waiters {
		request := ticketDuration(w.request)
		kind := request
		kind.Objective = 0 // It differs with the time that the request has waited.
		refuse, known := refused[kind]
		if !known {
			refuse = !t.stopper.canEnd(request)
			refused[kind] = refuse
		}
		if !refuse {
			continue
		}
		delete(t.waiters, id)
		t.cancelLocked(w.request)
		w.result <- stoppingRefusal
	}
}

// shortenDeadline makes a ticket request end with this instance, so that it is refused at once if it would have to wait for longer.
func (t *ticketClient) shortenDeadline(now time.Duration, request *schema.TicketRequest) {
	if end, stopping := t.stopper.end(); stopping {
		request.RemainingMs = min(request.GetRemainingMs(), uint32(max(1, (end-now).Milliseconds())))
	}
}

// readBody reads a body that has not arrived completely. Once nothing is passed on any more, it is no longer waited for.
func (h *requestHandler) readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	stop := context.AfterFunc(h.lastCall, func() {
		if err := http.NewResponseController(w).SetReadDeadline(time.Now()); err != nil {
			h.log.WithError(err).Warn("limiting the time of a request body failed")
		}
	})
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if !stop() && err == nil {
		err = os.ErrDeadlineExceeded // With the read deadline, the request counts as one whose caller has left.
	}
	return body, err
}

// refuseStopping responds to a request that has not arrived completely before nothing is passed on any more.
func (h *requestHandler) refuseStopping(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Connection", "close")
	h.respondError(w, http.StatusServiceUnavailable, stoppingRefusal.reason, stoppingRefusal.retryAfter)
}
