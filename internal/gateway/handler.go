package gateway

import (
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"cuminlift/core/request"
	"cuminlift/core/roster"
	"cuminlift/core/route"
	"cuminlift/internal/mutant"
	"cuminlift/io/caller"
	"cuminlift/io/upstream"
	"cuminlift/schema"
)

// requestHandler serves callers' requests.
type requestHandler struct {
	config         Config
	log            *logrus.Entry
	view           func() *view
	ticketClient   *ticketClient
	upstreamClient *upstream.Client
	// relayClient sends requests to other instances that pass them on.
	relayClient *upstream.Client
	paths       *pathMonitor
	counters    *counters
	buffers     *bodyBuffers
	refusals    refusalSampler
	// stopping is true once shutdown has begun. lastCall ends when nothing is passed on any more.
	stopping atomic.Bool
	lastCall context.Context

	mutex    sync.Mutex
	splitter *route.Splitter
}

// call is the state of one caller's request. Its key is the request's key plus one, or 0 for none.
type call struct {
	route      *route.Route
	service    string
	key        uint32
	requestID  string
	body       []byte
	receivedAt time.Time
	deadline   time.Time
	state      request.Request
	identity   request.Identity
	// workspace is empty for none.
	workspace string
	priority  int
	avoid     string
	// returned is the upstream of the last ticket, if that was returned because of this instance's tables, and empty otherwise. returns
	// counts such tickets.
	returned string
	returns  int
	// arrivals counts the attempts that may have reached an upstream, refusals those of them that the upstream did not run, and unsent the
	// attempts of which nothing was sent.
	arrivals, refusals, unsent int
	// delivered is true once the whole response was written to the caller's connection. Where that is left to the server, it stays false.
	delivered bool
	// pathFailed is true once an upstream could not be reached from this instance.
	pathFailed bool
}

const (
	// defaultRetryAfter is the delay suggested to callers when an instance has no configuration yet, when a deadline has
	// passed, or when upstreams failed.
	defaultRetryAfter = 200 * time.Millisecond
	// defaultMaxBodyBytes bounds a request body if the configuration sets no limit.
	defaultMaxBodyBytes = 64 << 20
	// misdirectedBackoff is the delay after an upstream said that it does not hold the key: a handover is in progress.
	misdirectedBackoff = 30 * time.Millisecond
)

// ServeHTTP implements http.Handler.
func (h *requestHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	receivedAt, concurrent, _ := caller.Arrived(r.Context())
	if receivedAt.IsZero() {
		receivedAt = time.Now()
	}
	if h.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	v := h.view()
	if v.table == nil || !v.configured {
		h.respondError(w, http.StatusServiceUnavailable, "no configuration yet", defaultRetryAfter)
		return
	}
	matched := v.table.Find(stripPort(r.Host), r.URL.EscapedPath())
	if matched == nil {
		h.respondError(w, http.StatusNotFound, "no route for this host and path", 0)
		return
	}
	owner, authorized := h.authenticate(r, v, matched)
	if !authorized {
		h.rejectKey(w, r, matched)
		return
	}
	if concurrent && matched.Kind == route.AtMostOnce {
		// The configuration has changed since the request was read.
		h.respondError(w, http.StatusServiceUnavailable, "route has changed", defaultRetryAfter)
		return
	}
	c, status := h.readCall(w, r, v, matched, receivedAt)
	if status != 0 {
		switch {
		case status == http.StatusServiceUnavailable:
			h.refuseStopping(w, r)
		case status > 0:
			h.respondError(w, status, http.StatusText(status), 0)
		default:
			panic(http.ErrAbortHandler) // Returning would complete the response to an empty success.
		}
		return
	}
	c.assign(owner)
	h.serveCall(w, r, c)
}

// readCall reads the whole request. It returns the status to respond with, 0 to continue, or -1 if the caller has
// disconnected.
func (h *requestHandler) readCall(w http.ResponseWriter, r *http.Request, v *view, matched *route.Route, receivedAt time.Time) (*call, int) {
	limit := maxBodyBytes(v)
	c := &call{
		route:      matched,
		requestID:  r.Header.Get(h.config.Headers.Request),
		receivedAt: receivedAt,
		priority:   matched.Priority,
	}
	c.state.Idempotent = matched.Kind != route.AtMostOnce || mutant.Is(mutant.RepeatUnsafe)
	body, complete := caller.BodyBytes(r)
	var err error
	if !complete || int64(len(body)) > limit {
		body, err = h.readBody(w, r, limit)
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, http.StatusRequestEntityTooLarge
	}
	if err != nil && h.lastCall.Err() != nil {
		return nil, http.StatusServiceUnavailable
	}
	var network net.Error
	switch {
	case err == nil:
	case errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &network), r.Context().Err() != nil:
		return nil, -1
	default:
		return nil, http.StatusBadRequest
	}
	c.body = body
	c.identity = request.NewIdentity(stripPort(r.RemoteAddr), r.Method, r.Host, r.URL.RequestURI(), body)
	c.deadline = receivedAt.Add(matched.Timeout)
	if text := r.Header.Get(h.config.Headers.Deadline); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms < 0 {
			return nil, http.StatusBadRequest
		}
		if at := receivedAt.Add(time.Duration(ms) * time.Millisecond); at.Before(c.deadline) {
			c.deadline = at
		}
	}
	h.mutex.Lock()
	c.service = h.splitter.Next(matched)
	h.mutex.Unlock()
	if v.table.Services[c.service].Keyed {
		key, err := strconv.ParseUint(r.Header.Get(h.config.Headers.Key), 10, 32)
		if err == nil && key < uint64(h.config.KeyCount) {
			c.key = uint32(key) + 1
		}
	}
	return c, 0
}

// serveCall obtains a response for the call and forwards it to the caller.
func (h *requestHandler) serveCall(w http.ResponseWriter, r *http.Request, c *call) {
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	broken := true
	defer func() { h.logUnanswered(r, c, broken) }()
	reason := ""
	retryDelay := time.Duration(0)
	for attempt := 0; attempt < c.route.Attempts+maxUnsentAttempts && c.arrivals < c.route.Attempts && c.state.CanAttempt(); {
		result, err := h.acquireTicket(ctx, c, attempt)
		if err != nil {
			reason = "time is over"
			retryDelay = defaultRetryAfter
			break
		}
		if result.upstream == "" {
			reason, retryDelay = result.reason, result.retryAfter
			break
		}
		c.advance(h, request.Queued, request.Sent)
		if h.attempt(ctx, w, r, c, result) {
			broken = false
			return
		}
		if c.returned != "" {
			continue // Nothing was tried.
		}
		attempt++
		reason = "upstreams failed"
		retryDelay = defaultRetryAfter
	}
	h.failCall(ctx, w, r, c, reason, retryDelay)
	broken = false
}

// maxUnsentAttempts is the number of attempts of a call, beyond those that its route allows, that may end without anything sent to an
// upstream.
const maxUnsentAttempts = 3

// maxReturnedTickets is the number of tickets that a call returns before it is refused. Whoever grants them is told why, so that the
// next one is for another upstream.
const maxReturnedTickets = 3

// maxOutdatedTickets is the number of tickets that a call returns because of this instance's tables before it is refused. The
// coordinator gets the newer rows after the first one, unless it is of an earlier version and goes on granting by its own tables.
const maxOutdatedTickets = 8

// acquireTicket obtains a ticket whose upstream may still be used.
func (h *requestHandler) acquireTicket(ctx context.Context, c *call, attempt int) (ticketResult, error) {
	for unwanted := 0; unwanted < maxReturnedTickets && c.returns < maxOutdatedTickets; {
		result, err := h.ticketClient.acquire(ctx, h.ticketRequest(c, attempt))
		if err != nil || result.upstream == "" {
			return result, err
		}
		if h.ticketClient.returnUnwanted(result, c.service) {
			unwanted++
			continue
		}
		reason := h.ticketClient.exclusion(result)
		if reason == "" {
			return result, nil
		}
		h.returnTicket(c, result, reason)
	}
	return ticketResult{
		reason:     "upstream wants no requests",
		retryAfter: defaultRetryAfter,
	}, nil
}

// returnTicket returns a ticket whose upstream is excluded by this instance's tables. It counts neither as an attempt nor as a retry.
func (h *requestHandler) returnTicket(c *call, result ticketResult, reason roster.Exclusion) {
	c.returned = result.upstream
	c.returns++
	h.ticketClient.reportEnd(result, c.service, schema.TicketOutcome_abandoned, 0, nil)
	h.counters.count("returned-" + string(reason))
	h.log.WithFields(logrus.Fields{
		"request":  c.requestID,
		"upstream": result.upstream,
		"born":     result.incarnation,
		"reason":   string(reason),
		"local":    result.local,
	}).Info("ticket returned")
}

// returnUnsent returns a ticket whose upstream was excluded, or said that it wants no request, while the request waited for a connection,
// or whose request can no longer be answered before this instance ends.
func (h *requestHandler) returnUnsent(c *call, result ticketResult) {
	if !h.ticketClient.returnUnwanted(result, c.service) {
		reason := h.ticketClient.exclusion(result)
		if reason == "" && !h.ticketClient.stopper.canEnd(c.duration()) {
			reason = instanceStopping
		}
		h.returnTicket(c, result, reason)
		return
	}
	c.returned = result.upstream
	c.returns++
}

// advance moves the call's state on. An invalid transition is a bug and is logged.
func (c *call) advance(h *requestHandler, states ...request.State) {
	for _, s := range states {
		if err := c.state.Advance(s); err != nil {
			h.log.WithField("request", c.requestID).WithError(err).Error("invalid request state transition")
		}
	}
}

func (h *requestHandler) ticketRequest(c *call, attempt int) *schema.TicketRequest {
	now := time.Now()
	avoid, returned := c.avoid, c.returned != ""
	if returned {
		avoid, c.returned = c.returned, ""
	}
	return &schema.TicketRequest{
		Service:     c.service,
		Key:         c.key,
		Priority:    uint32(max(0, c.priority)),
		Idempotent:  c.state.Idempotent,
		Bulk:        c.route.Kind == route.Download,
		RemainingMs: uint32(max(1, c.deadline.Sub(now).Milliseconds())),
		ObjectiveMs: uint32(max(0, c.receivedAt.Add(c.route.Objective).Sub(now).Milliseconds())),
		Attempt:     uint32(attempt),
		Avoid:       avoid,
		Returned:    returned,
		Unsent:      c.arrivals == 0,
		Content:     c.identity.Content,
		Caller:      c.identity.Caller,
		Workspace:   c.workspace,
		RouteClass:  c.route.Class,
		BodyBytes:   uint32(min(len(c.body), math.MaxUint32)),
	}
}
