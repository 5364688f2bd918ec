package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"cuminlift/core/execution"
	"cuminlift/core/paths"
	"cuminlift/core/request"
	"cuminlift/core/roster"
	"cuminlift/io/upstream"
	"cuminlift/schema"
)

// Headers between an instance that can't reach an upstream and the one that sends its request.
const (
	relayUpstreamHeader   = "Cuminlift-Relay-Upstream"
	relayBornHeader       = "Cuminlift-Relay-Born"
	relayAtMostOnceHeader = "Cuminlift-Relay-At-Most-Once"
	// relayOutcomeHeader names the outcome of an attempt that the upstream did not answer.
	relayOutcomeHeader = "Cuminlift-Relay-Outcome"
)

// relayError reports an attempt through another instance that the upstream did not answer.
type relayError struct {
	Relay   string
	Outcome schema.TicketOutcome
	// Sent is true if the upstream may have got the request.
	Sent  bool
	Cause error
}

func (e *relayError) Error() string {
	problem := "nothing was sent, another instance or upstream may be tried"
	if e.Sent {
		problem = "the request may have run, and is retried only if it is idempotent"
	}
	if e.Cause != nil {
		return fmt.Sprintf("instance %s did not pass the request on (%v): %s", e.Relay, e.Cause, problem)
	}
	return fmt.Sprintf("instance %s got no answer from the upstream (%s): %s", e.Relay, e.Outcome, problem)
}

// Unwrap returns the cause, which may be nil.
func (e *relayError) Unwrap() error { return e.Cause }

// newAttempt returns the attempt of a call at the upstream of its ticket.
func newAttempt(r *http.Request, c *call, result ticketResult) upstream.Request {
	return upstream.Request{
		Address:    result.address,
		Upstream:   result.upstream,
		Method:     r.Method,
		Target:     r.URL.RequestURI(),
		Host:       r.Host,
		Header:     r.Header,
		Body:       c.body,
		Workspace:  c.workspace,
		RequestID:  c.requestID,
		Timeout:    time.Until(c.deadline),
		AtMostOnce: !c.state.Idempotent,
	}
}

// send sends the call to the upstream of its ticket, through another instance if there is no path.
func (h *requestHandler) send(ctx context.Context, r *http.Request, c *call, result ticketResult) (response *upstream.Response, relay string, err error) {
	attempt := newAttempt(r, c, result)
	attempt.Confirm = func() bool {
		return h.ticketClient.exclusion(result) == "" && !h.ticketClient.unwanted(result.upstream, result.incarnation) &&
			h.ticketClient.stopper.canEnd(c.duration())
	}
	if c.pathFailed || h.paths.avoid(c.service, result.upstream) {
		if other, ok := h.ticketClient.nextRelay(); ok {
			response, err = h.sendThrough(ctx, attempt, result, other)
			return response, other.Name, err
		}
		h.counters.count("no-relay")
	}
	sentAt := time.Now()
	stop := h.paths.watchStall(c.service, result.upstream, result.address)
	defer stop()
	response, err = h.upstreamClient.Do(ctx, attempt)
	var notSent *upstream.NotSentError
	switch {
	case err == nil:
		h.paths.reached(c.service, result.upstream)
	case errors.Is(err, upstream.ErrNotConfirmed):
	case errors.As(err, &notSent) && ctx.Err() == nil:
		c.pathFailed = true
		h.paths.failed(c.service, result.upstream, time.Since(sentAt))
	}
	return response, "", err
}

// sendThrough sends an attempt through another instance.
func (h *requestHandler) sendThrough(ctx context.Context, attempt upstream.Request, result ticketResult, relay paths.Relay) (*upstream.Response, error) {
	attempt.Address = relay.Address
	attempt.Header = attempt.Header.Clone()
	attempt.Header.Set(relayUpstreamHeader, result.upstream)
	attempt.Header.Set(relayBornHeader, strconv.FormatInt(result.incarnation, 10))
	attempt.Header.Set(relayAtMostOnceHeader, strconv.FormatBool(attempt.AtMostOnce))
	response, err := h.relayClient.Do(ctx, attempt)
	if errors.Is(err, upstream.ErrNotConfirmed) {
		return nil, err
	}
	if err != nil {
		var notSent *upstream.NotSentError
		unsent := errors.As(err, &notSent)
		if ctx.Err() == nil {
			h.ticketClient.relayFailed(relay.Name)
		}
		return nil, &relayError{
			Relay:   relay.Name,
			Outcome: schema.TicketOutcome_abandoned,
			Sent:    !unsent,
			Cause:   err,
		}
	}
	name := response.Header.Get(relayOutcomeHeader)
	if name == "" {
		h.ticketClient.relayAnswered(relay.Name)
		return response, nil
	}
	response.Body.Close()
	failure := &relayError{
		Relay:   relay.Name,
		Outcome: schema.TicketOutcome(schema.TicketOutcome_value[name]),
	}
	switch failure.Outcome {
	case schema.TicketOutcome_lost, schema.TicketOutcome_crashed:
		failure.Sent = true
	case schema.TicketOutcome_unreachable, schema.TicketOutcome_abandoned:
		h.ticketClient.relayFailed(relay.Name)
	default:
		failure.Sent = true
		failure.Outcome = schema.TicketOutcome_lost
	}
	return nil, failure
}

// serveRelay sends a request of another instance to the upstream that it names.
func (h *requestHandler) serveRelay(w http.ResponseWriter, r *http.Request) {
	if h.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	id := r.Header.Get(relayUpstreamHeader)
	incarnation, err := strconv.ParseInt(r.Header.Get(relayBornHeader), 10, 64)
	if err != nil {
		h.refuseRelay(w, r, schema.TicketOutcome_abandoned)
		return
	}
	remaining, err := strconv.ParseInt(r.Header.Get(h.config.Headers.Deadline), 10, 64)
	if err != nil || remaining <= 0 {
		h.refuseRelay(w, r, schema.TicketOutcome_abandoned)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, defaultMaxBodyBytes))
	if err != nil {
		panic(http.ErrAbortHandler) // Nothing was sent; the instance has left or broken off.
	}
	u, usable := h.relayTarget(id, incarnation)
	if !usable {
		h.refuseRelay(w, r, schema.TicketOutcome_abandoned)
		return
	}
	c := &call{
		service:   u.Service,
		requestID: r.Header.Get(h.config.Headers.Request),
		body:      body,
		deadline:  time.Now().Add(time.Duration(remaining) * time.Millisecond),
		workspace: r.Header.Get(h.config.Headers.Workspace),
	}
	if v := h.view(); v.table == nil || v.table.Workspaces != nil {
		r.Header.Del(h.config.Headers.APIKey) // An instance of the previous build sends it.
	}
	ctx := r.Context()
	if c.state.Idempotent = r.Header.Get(relayAtMostOnceHeader) != "true"; !c.state.Idempotent {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	for _, name := range []string{relayUpstreamHeader, relayBornHeader, relayAtMostOnceHeader} {
		r.Header.Del(name)
	}
	if v := h.view(); v.table != nil {
		c.route = v.table.Find(stripPort(r.Host), r.URL.EscapedPath())
	}
	h.relayAttempt(ctx, w, r, c, ticketResult{
		upstream:    id,
		address:     u.Address,
		incarnation: incarnation,
	})
}

// relayTarget returns the upstream to which this instance may send a request of another one.
func (h *requestHandler) relayTarget(id string, incarnation int64) (u roster.Upstream, usable bool) {
	v := h.view()
	u, known := v.list.Upstreams[id]
	usable = known && u.Incarnation == incarnation && v.list.Usable(u) && !h.paths.avoid(u.Service, id) && !h.ticketClient.unwanted(id, incarnation)
	return u, usable
}

// relayAttempt makes one attempt for another instance, and passes on what it learns.
func (h *requestHandler) relayAttempt(ctx context.Context, w http.ResponseWriter, r *http.Request, c *call, result ticketResult) {
	sentAt := time.Now()
	attempt := newAttempt(r, c, result)
	attempt.Confirm = func() bool {
		_, usable := h.relayTarget(result.upstream, result.incarnation)
		return usable && h.ticketClient.stopper.canEnd(c.duration())
	}
	end := h.ticketClient.stopper.track(c)
	defer end(false)
	response, err := h.upstreamClient.Do(ctx, attempt)
	if err != nil {
		h.refuseRelay(w, r, h.relayOutcome(ctx, c, result, err, sentAt))
		return
	}
	defer response.Body.Close()
	response.Header.Del(relayOutcomeHeader) // Only this instance may say that nothing was sent.
	h.paths.reached(c.service, result.upstream)
	h.ticketClient.noteRelayed(result, c.service, time.Since(sentAt), h.parseReport(response.Status, response.Header))
	reserved := h.buffers.reserve(response.Length)
	defer h.buffers.release(reserved)
	buffered, complete, err := readBody(response, reserved)
	if err != nil {
		h.logFailedAttempt(c, result, sentAt, incompleteProblem(err), response.Status)
		h.refuseRelay(w, r, h.brokenOutcome(ctx, c, result))
		return
	}
	h.counters.count("relayed")
	h.writeResponse(w, c, response, buffered, complete)
	end(response.Status < http.StatusInternalServerError)
}

// relayOutcome returns the outcome of an attempt for another instance that failed.
func (h *requestHandler) relayOutcome(ctx context.Context, c *call, result ticketResult, err error, sentAt time.Time) schema.TicketOutcome {
	h.logFailedAttempt(c, result, sentAt, err.Error(), 0)
	var notSent *upstream.NotSentError
	switch {
	case errors.Is(err, upstream.ErrNotConfirmed):
		return schema.TicketOutcome_abandoned
	case errors.As(err, &notSent) && ctx.Err() == nil:
		h.paths.failed(c.service, result.upstream, time.Since(sentAt))
		return schema.TicketOutcome_unreachable
	case errors.As(err, &notSent):
		return schema.TicketOutcome_abandoned
	case ctx.Err() != nil:
		return schema.TicketOutcome_lost
	}
	return h.brokenOutcome(ctx, c, result)
}

// refuseRelay tells the asking instance how an attempt without an answer ended.
func (h *requestHandler) refuseRelay(w http.ResponseWriter, r *http.Request, outcome schema.TicketOutcome) {
	h.log.WithFields(logrus.Fields{
		"request":  r.Header.Get(h.config.Headers.Request),
		"upstream": r.Header.Get(relayUpstreamHeader),
		"outcome":  outcome.String(),
	}).Info("request of another instance was not answered")
	w.Header().Set(h.config.Headers.Request, r.Header.Get(h.config.Headers.Request))
	w.Header().Set(relayOutcomeHeader, outcome.String())
	w.Header().Set("Content-Length", "0")
	if h.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	w.WriteHeader(http.StatusBadGateway)
}

// failedState returns the state of a request after an attempt that ended with err.
func failedState(err error) request.State {
	var notSent *upstream.NotSentError
	var relayed *relayError
	sent := true
	if errors.As(err, &relayed) {
		sent = relayed.Sent
	} else if errors.As(err, &notSent) {
		sent = false
	}
	return stateAfter(execution.Evidence{
		Sent: sent,
	})
}

// stateAfter returns the state of a request after an attempt that no answer for its caller came of.
func stateAfter(evidence execution.Evidence) request.State {
	if evidence.Proof() == execution.None {
		return request.Lost
	}
	return request.Refused
}
