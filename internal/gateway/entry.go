package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"cuminlift/core/request"
	"cuminlift/core/route"
	"cuminlift/io/upstream"
	"cuminlift/schema"
)

// entry takes the callers' requests.
type entry struct {
	config    Config
	log       *logrus.Entry
	view      func() *view
	office    *office
	exchanger *upstream.Exchanger
	counters  *counters
	// stopping is true from the order to stop on.
	stopping atomic.Bool

	mutex    sync.Mutex
	splitter *route.Splitter
}

// call is one request of a caller on its way.
type call struct {
	route    *route.Route
	service  string
	key      uint32
	name     string
	body     []byte
	arrived  time.Time
	deadline time.Time
	state    request.Request
	avoid    string
}

const (
	// firstRetryAfter is when to come back to an instance that has no configuration yet.
	firstRetryAfter = 200 * time.Millisecond
	// defaultBody bounds a body where the configuration states no limit.
	defaultBody = 64 << 20
	// held is the part of an answer that is read before the first byte goes to the caller, so that an answer that breaks off early can
	// still be had from another upstream.
	held = 256 << 10
	// pauseMisdirected is how long to wait after an upstream said that it does not hold the key: a hand-over is under way.
	pauseMisdirected = 30 * time.Millisecond
)

// ServeHTTP implements http.Handler.
func (e *entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	if e.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	v := e.view()
	if v.table == nil || !v.configured {
		e.refuse(w, http.StatusServiceUnavailable, "no configuration yet", firstRetryAfter)
		return
	}
	found := v.table.Find(hostOf(r.Host), r.URL.EscapedPath())
	if found == nil {
		e.refuse(w, http.StatusNotFound, "no route for this host and path", 0)
		return
	}
	c, status := e.read(w, r, v, found, arrived)
	if status != 0 {
		if status > 0 {
			e.refuse(w, status, http.StatusText(status), 0)
		}
		return
	}
	e.serve(w, r, c)
}

// read reads the request whole. It returns the status to answer with, 0 to go on, -1 where the caller is gone.
func (e *entry) read(w http.ResponseWriter, r *http.Request, v *view, found *route.Route, arrived time.Time) (*call, int) {
	limit := int64(defaultBody)
	if v.table.Limits.BodyBytes > 0 {
		limit = v.table.Limits.BodyBytes
	}
	c := &call{
		route:   found,
		name:    r.Header.Get(e.config.Headers.Request),
		arrived: arrived,
	}
	c.state.Idempotent = found.Kind != route.AtMostOnce
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, http.StatusRequestEntityTooLarge
	}
	if err != nil {
		return nil, -1
	}
	c.body = body
	c.deadline = arrived.Add(found.Timeout)
	if text := r.Header.Get(e.config.Headers.Deadline); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms < 0 {
			return nil, http.StatusBadRequest
		}
		if at := arrived.Add(time.Duration(ms) * time.Millisecond); at.Before(c.deadline) {
			c.deadline = at
		}
	}
	e.mutex.Lock()
	c.service = e.splitter.Next(found)
	e.mutex.Unlock()
	if v.table.Services[c.service].Keyed {
		key, err := strconv.ParseUint(r.Header.Get(e.config.Headers.Key), 10, 32)
		if err == nil && key < uint64(e.config.KeySpace) {
			c.key = uint32(key) + 1
		}
	}
	return c, 0
}

// serve gets an answer for the call and passes it on.
func (e *entry) serve(w http.ResponseWriter, r *http.Request, c *call) {
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	reason := ""
	after := time.Duration(0)
	for attempt := 0; attempt < c.route.MaxAttempts && c.state.MayTry(); attempt++ {
		p, err := e.office.acquire(ctx, e.ticketRequest(c, attempt))
		if err != nil {
			reason = "time is over"
			after = firstRetryAfter
			break
		}
		if p.upstream == "" {
			reason, after = p.reason, p.retryAfter
			break
		}
		c.advance(e, request.Queued, request.Sent)
		if e.attempt(ctx, w, r, c, p, attempt) {
			return
		}
		reason = "upstreams failed"
		after = firstRetryAfter
	}
	e.giveUp(ctx, w, r, c, reason, after)
}

// advance moves the call's state on; an impossible step is a defect that is told.
func (c *call) advance(e *entry, states ...request.State) {
	for _, s := range states {
		if err := c.state.Advance(s); err != nil {
			e.log.WithField("request", c.name).WithError(err).Error("request in a wrong state")
		}
	}
}

func (e *entry) ticketRequest(c *call, attempt int) *schema.TicketRequest {
	now := time.Now()
	return &schema.TicketRequest{
		Service:     c.service,
		Key:         c.key,
		Priority:    uint32(max(0, c.route.Priority)),
		Idempotent:  c.state.Idempotent,
		Bulk:        c.route.Kind == route.Download,
		RemainingMs: uint32(max(1, c.deadline.Sub(now).Milliseconds())),
		ObjectiveMs: uint32(max(0, c.arrived.Add(c.route.Objective).Sub(now).Milliseconds())),
		Attempt:     uint32(attempt),
		Avoid:       c.avoid,
	}
}

// attempt sends the call to one upstream. It reports true once the caller has got a final answer.
func (e *entry) attempt(ctx context.Context, w http.ResponseWriter, r *http.Request, c *call, p place, attempt int) bool {
	sent := time.Now()
	// Work that may not be repeated goes on when its caller leaves.
	if !c.state.Idempotent {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(context.WithoutCancel(ctx), c.deadline)
		defer cancel()
	}
	response, err := e.exchanger.Do(ctx, upstream.Request{
		Address:  p.address,
		Upstream: p.upstream,
		Method:   r.Method,
		Target:   r.URL.RequestURI(),
		Host:     r.Host,
		Header:   r.Header,
		Body:     c.body,
		Name:     c.name,
		Left:     time.Until(c.deadline),
		Once:     !c.state.Idempotent,
	})
	c.avoid = p.upstream
	if err != nil {
		e.failAttempt(ctx, c, p, err, sent)
		return false
	}
	defer response.Body.Close()
	load := e.config.ParseLoad(response.Header.Get(e.config.Headers.Load))
	if response.NotRun {
		c.advance(e, request.Refused)
		outcome := schema.TicketOutcome_shed
		if response.Status == http.StatusMisdirectedRequest {
			outcome = schema.TicketOutcome_misdirected
		}
		e.office.end(p, c.service, outcome, time.Since(sent), load)
		e.logAttempt(c, p, sent, "not run", response.Status)
		if outcome == schema.TicketOutcome_misdirected {
			sleep(ctx, pauseMisdirected)
		}
		return false
	}
	return e.takeAnswer(ctx, w, c, p, response, sent, load, attempt)
}

func (e *entry) failAttempt(ctx context.Context, c *call, p place, err error, sent time.Time) {
	outcome := schema.TicketOutcome_lost
	var unsent *upstream.NotSentError
	switch {
	case errors.As(err, &unsent):
		c.advance(e, request.Refused)
		outcome = schema.TicketOutcome_unreachable
		if ctx.Err() != nil {
			outcome = schema.TicketOutcome_abandoned
		}
	case ctx.Err() != nil:
		c.advance(e, request.Lost)
		outcome = schema.TicketOutcome_abandoned
	default:
		c.advance(e, request.Lost)
	}
	e.office.end(p, c.service, outcome, time.Since(sent), nil)
	e.logAttempt(c, p, sent, err.Error(), 0)
}

// takeAnswer passes an answer on, or leaves it for another attempt.
func (e *entry) takeAnswer(ctx context.Context, w http.ResponseWriter, c *call, p place, response *upstream.Response, sent time.Time, load []uint32, attempt int) bool {
	if !response.Arrived {
		e.office.head(p, c.service, time.Since(sent), load)
	}
	first, whole, err := readHeld(response)
	took := time.Since(sent)
	signed := response.Header.Get(e.config.Headers.Signature) != ""
	good := response.Status >= 200 && response.Status < 300
	switch {
	case err != nil || (good && !signed):
		c.advance(e, request.Lost)
		e.office.end(p, c.service, schema.TicketOutcome_lost, took, load)
		e.logAttempt(c, p, sent, "answer is not whole", response.Status)
		return false
	case response.Status >= 500:
		e.office.end(p, c.service, schema.TicketOutcome_erred, took, load)
		e.logAttempt(c, p, sent, "upstream failed", response.Status)
		if c.state.Idempotent && attempt+1 < c.route.MaxAttempts && time.Until(c.deadline) > took && response.Status != http.StatusGatewayTimeout {
			c.advance(e, request.Lost)
			return false
		}
	default:
		if whole {
			e.office.end(p, c.service, schema.TicketOutcome_answered, took, load)
		} else {
			defer func() { e.office.end(p, c.service, schema.TicketOutcome_answered, time.Since(sent), load) }()
		}
	}
	c.advance(e, request.Answered)
	e.counters.answered(c, time.Since(c.arrived))
	e.pass(w, c, response, first, whole)
	return true
}

// readHeld reads the beginning of the body; whole is true where that is all.
func readHeld(response *upstream.Response) (first []byte, whole bool, err error) {
	if response.Length >= 0 && response.Length <= held {
		first = make([]byte, response.Length)
		if _, err = io.ReadFull(response.Body, first); err != nil {
			return nil, false, err
		}
		return first, true, nil
	}
	first, err = io.ReadAll(io.LimitReader(response.Body, held))
	return first, err == nil && len(first) < held, err
}

// pass writes the answer to the caller. One that breaks off must not look whole.
func (e *entry) pass(w http.ResponseWriter, c *call, response *upstream.Response, first []byte, whole bool) {
	header := w.Header()
	for name, values := range response.Header {
		header[name] = values
	}
	for _, name := range []string{"Date", "Content-Type"} {
		if _, given := header[name]; !given {
			header[name] = nil
		}
	}
	if whole && bodyAllowed(response.Status) {
		header.Set("Content-Length", strconv.Itoa(len(first)))
	}
	if e.stopping.Load() {
		header.Set("Connection", "close")
	}
	w.WriteHeader(response.Status)
	if _, err := w.Write(first); err != nil || whole {
		return // The caller is gone, or has all.
	}
	if _, err := io.Copy(w, response.Body); err != nil {
		e.log.WithField("request", c.name).WithError(err).Warn("answer broke off")
		panic(http.ErrAbortHandler)
	}
}

func bodyAllowed(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// giveUp answers a call that got no answer of an upstream, at once and with what is known.
func (e *entry) giveUp(ctx context.Context, w http.ResponseWriter, r *http.Request, c *call, reason string, after time.Duration) {
	if r.Context().Err() != nil {
		e.counters.count("left")
		return
	}
	status := http.StatusServiceUnavailable
	if c.state.Knowledge() != request.NotRun {
		status = http.StatusBadGateway
		if ctx.Err() != nil {
			status = http.StatusGatewayTimeout
		}
	}
	e.log.WithFields(logrus.Fields{
		"request":  c.name,
		"route":    c.route.Name,
		"service":  c.service,
		"key":      int64(c.key) - 1,
		"reason":   reason,
		"known":    c.state.Knowledge().String(),
		"attempts": c.state.Attempts(),
		"status":   status,
		"after":    after,
		"held":     time.Since(c.arrived),
	}).Warn("request given up")
	e.refuse(w, status, reason, after)
}

// refuse answers in the instance's own name.
func (e *entry) refuse(w http.ResponseWriter, status int, reason string, after time.Duration) {
	if status == http.StatusServiceUnavailable {
		name, text := e.config.RetryAfter(max(after, time.Millisecond))
		w.Header().Set(name, text)
	}
	e.counters.count("refused-" + strconv.Itoa(status))
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, reason+"\n") // A caller that is gone needs no answer.
}

func (e *entry) logAttempt(c *call, p place, sent time.Time, what string, status int) {
	e.log.WithFields(logrus.Fields{
		"request":  c.name,
		"upstream": p.upstream,
		"local":    p.local,
		"status":   status,
		"took":     time.Since(sent),
		"problem":  what,
	}).Info("attempt failed")
}
