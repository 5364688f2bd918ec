package daemon

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"time"

	"cuminlift/core/admission"
	"cuminlift/core/execution"
	"cuminlift/core/ownership"
	"cuminlift/core/request"
	"cuminlift/internal/metrics"
	"cuminlift/io/answer"
	"cuminlift/schema"
)

// upstreamResponse is the response of an upstream. release must be called once, after the body was forwarded or
// abandoned.
type upstreamResponse struct {
	response *http.Response
	release  func(admission.Result)
}

// attempt is one attempt to send a call to one upstream.
type attempt struct {
	upstream string
	response *http.Response
	err      error
	// notRun is true if the upstream certainly did not run the request.
	notRun     bool
	retryAfter time.Duration
	// notOwner is true if the upstream refused because it does not currently own the key.
	notOwner bool
	cancel   context.CancelFunc
}

func (a *attempt) refusalReason() string {
	switch {
	case a.notOwner:
		return reasonNoOwner
	case a.err != nil:
		return reasonUpstreamUnreachable
	}
	return reasonUpstreamShed
}

// attemptSet runs the attempts of one call: the first one, a hedge and retries.
type attemptSet struct {
	daemon  *Daemon
	call    *call
	pool    *pool
	waiter  *waiter
	request *request.Request
	mutex   sync.Mutex
	closed  bool
	results chan *attempt
	running map[string]context.CancelFunc
}

// maxConcurrentAttempts is how many attempts of one call admission lets run at a time: the first one and one hedge.
const maxConcurrentAttempts = 2

// ownerRetryDelay is the delay before a call is queued again while the owner of its key changes.
const ownerRetryDelay = 2 * time.Millisecond

// serveAsHome queues the call for the zone's pool and returns an upstream's response or a refusal.
func (d *Daemon) serveAsHome(ctx context.Context, c *call, zone string) (*upstreamResponse, *refusal) {
	if !d.awaitHomeReady(ctx, c.service, zone) {
		f := newNotRunRefusal(reasonNotHome, d.config.Timing.HeartbeatInterval)
		f.retryElsewhere = true
		return nil, f
	}
	if c.spec().GetKeyed() {
		c.service.sketch.Add(c.hash)
	}
	start := time.Now()
	for {
		if c.spec().GetKeyed() && c.service.route(c.hash).Zone != zone {
			f := newNotRunRefusal(reasonNotHome, d.config.Timing.HeartbeatInterval)
			f.retryElsewhere = true
			return nil, f
		}
		a, f := d.runAttempts(ctx, c, c.service.pool(zone))
		if f == nil || f.reason != reasonNoOwner || time.Since(start) >= maxOwnerWait {
			return a, f
		}
		select {
		case <-ctx.Done():
			return nil, f
		case <-time.After(ownerRetryDelay):
		}
	}
}

// awaitHomeReady waits until this instance may forward to the zone's pool, as long as it is the designated home.
// Waiting here is cheaper than repeated attempts from the instance that the caller is connected to.
func (d *Daemon) awaitHomeReady(ctx context.Context, s *service, zone string) bool {
	start := time.Now()
	for !s.homeReady(zone) {
		if !s.isHome(zone) || time.Since(start) >= maxOwnerWait {
			return false
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(homeReadyPollPeriod):
		}
	}
	return true
}

// homeReadyPollPeriod is the interval between checks whether a home is ready.
const homeReadyPollPeriod = 5 * time.Millisecond

func (d *Daemon) runAttempts(ctx context.Context, c *call, p *pool) (*upstreamResponse, *refusal) {
	queued := &admission.QueuedRequest{
		Class:        c.class,
		Idempotent:   c.idempotent,
		CanSpillOver: c.soft,
		Deadline:     d.clock.Now() + time.Until(c.deadline),
	}
	if c.spec().GetKeyed() {
		queued.Upstream = c.service.route(c.hash).Upstream
	}
	r := &attemptSet{
		daemon: d,
		call:   c,
		pool:   p,
		request: &request.Request{
			Idempotent: c.idempotent,
		},
		results: make(chan *attempt, 2*maxConcurrentAttempts),
		running: map[string]context.CancelFunc{},
	}
	if err := r.request.Advance(request.Queued); err != nil {
		return nil, newRefusal(r.request, err.Error(), time.Second)
	}
	r.waiter = p.submit(queued, c.id, c.hash)
	a, f := r.awaitOutcome(ctx)
	r.cancelRemaining(a)
	return a, f
}

// awaitOutcome handles dispatches and results until the call has a response or a refusal.
func (r *attemptSet) awaitOutcome(ctx context.Context) (*upstreamResponse, *refusal) {
	for {
		select {
		case dispatch := <-r.waiter.dispatch:
			if f := r.start(ctx, dispatch); f != nil {
				return nil, f
			}
		case refusal := <-r.waiter.refusal:
			f := newRefusal(r.request, refusal.Reason.String(), refusal.RetryAfter)
			f.retryElsewhere = f.executionStatus == request.NotRun
			return nil, f
		case a := <-r.results:
			delete(r.running, a.upstream)
			if response, f, final := r.handleResult(a); final {
				return response, f
			}
		case <-ctx.Done():
			return nil, newRefusal(r.request, reasonDeadline, time.Second)
		}
	}
}

// start sends the call to the upstream of the dispatch if this instance still holds the lease.
func (r *attemptSet) start(ctx context.Context, dispatch admission.Dispatch) *refusal {
	lease, ok := r.call.service.lease(r.call.hash, dispatch.Upstream)
	if !ok || lease.Upstream != dispatch.Upstream {
		r.pool.finish(r.waiter, dispatch.Upstream, admission.Abandoned, 0)
		if len(r.running) > 0 {
			return nil
		}
		f := newRefusal(r.request, reasonNoOwner, r.daemon.config.Timing.HeartbeatInterval)
		f.retryElsewhere = f.executionStatus == request.NotRun
		return f
	}
	if !dispatch.Hedge {
		if err := r.request.Advance(request.Sent); err != nil {
			r.pool.finish(r.waiter, dispatch.Upstream, admission.Abandoned, 0)
			return newRefusal(r.request, err.Error(), time.Second)
		}
	}
	attemptContext, cancel := context.WithCancel(ctx)
	r.running[dispatch.Upstream] = cancel
	// On a connection of its own, no copy of an earlier refusal can be taken for the answer.
	transport := r.daemon.upstream
	if !r.call.idempotent && r.request.Attempts() > 1 {
		transport = r.daemon.upstreamOnce
	}
	go r.send(attemptContext, cancel, lease, transport)
	return nil
}

// send makes one attempt and delivers its result, or discards it if the call has already ended.
func (r *attemptSet) send(ctx context.Context, cancel context.CancelFunc, lease ownership.Lease, transport *http.Transport) {
	a := r.daemon.sendUpstream(ctx, r.call, lease, transport)
	a.cancel = cancel
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.closed {
		r.discard(a)
		return
	}
	r.results <- a
}

func (r *attemptSet) discard(a *attempt) {
	a.cancel()
	if a.response != nil {
		_ = a.response.Body.Close()
	}
	result := admission.Abandoned
	if a.notRun {
		result = admission.Shed
	}
	r.pool.finish(r.waiter, a.upstream, result, a.retryAfter)
}

// handleResult processes the result of an attempt. final is true if it ends the call.
func (r *attemptSet) handleResult(a *attempt) (winner *upstreamResponse, f *refusal, final bool) {
	if a.err == nil && !a.notRun {
		r.daemon.traceExecuted(r.call, a.upstream)
		if err := r.request.Advance(request.Answered); err != nil {
			r.discard(a)
			return nil, newRefusal(r.request, err.Error(), time.Second), true
		}
		return r.winner(a), nil, true
	}
	a.cancel()
	if a.response != nil {
		_ = a.response.Body.Close()
	}
	switch {
	case a.notOwner:
		r.pool.finish(r.waiter, a.upstream, admission.Abandoned, 0)
	case a.notRun:
		r.pool.finish(r.waiter, a.upstream, admission.Shed, a.retryAfter)
	default:
		r.pool.finish(r.waiter, a.upstream, admission.Failed, 0)
	}
	if len(r.running) > 0 {
		return nil, nil, false
	}
	return r.handleLastFailure(a)
}

// handleLastFailure retries or ends the call after the last attempt in progress has failed.
func (r *attemptSet) handleLastFailure(a *attempt) (*upstreamResponse, *refusal, bool) {
	reason := reasonAnswerLost
	next := request.Lost
	if a.notRun {
		next = request.Refused
		reason = a.refusalReason()
	}
	if err := r.request.Advance(next); err != nil {
		return nil, newRefusal(r.request, err.Error(), time.Second), true
	}
	if a.notOwner {
		f := newRefusal(r.request, reason, r.daemon.config.Timing.HeartbeatInterval)
		f.retryElsewhere = f.executionStatus == request.NotRun
		return nil, f, true
	}
	if r.request.CanAttempt() && r.pool.retry(r.waiter) {
		if err := r.request.Advance(request.Queued); err != nil {
			return nil, newRefusal(r.request, err.Error(), time.Second), true
		}
		return nil, nil, false
	}
	f := newRefusal(r.request, reason, max(a.retryAfter, r.daemon.config.Timing.HeartbeatInterval))
	f.retryElsewhere = f.executionStatus == request.NotRun && !r.call.spec().GetKeyed()
	return nil, f, true
}

// traceExecuted records that an upstream answered the call.
func (d *Daemon) traceExecuted(c *call, upstream string) {
	d.trace.recordOutcome(&schema.Outcome{
		Kind:    "ran",
		Subject: upstream,
		Request: c.id,
		Detail:  "answered",
	})
}

func (r *attemptSet) winner(a *attempt) *upstreamResponse {
	var once sync.Once
	return &upstreamResponse{
		response: a.response,
		release: func(result admission.Result) {
			once.Do(func() {
				a.cancel()
				_ = a.response.Body.Close()
				r.pool.finish(r.waiter, a.upstream, result, 0)
			})
		},
	}
}

// cancelRemaining cancels the attempts still in progress and discards results that arrive later.
func (r *attemptSet) cancelRemaining(a *upstreamResponse) {
	r.pool.abandon(r.waiter)
	for _, cancel := range r.running {
		cancel()
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.closed = true
	for {
		select {
		case late := <-r.results:
			r.discard(late)
		default:
			return
		}
	}
}

// sendUpstream sends the call once. The result distinguishes an attempt that certainly did not run from one that may
// have.
func (d *Daemon) sendUpstream(ctx context.Context, c *call, lease ownership.Lease, transport *http.Transport) *attempt {
	a := &attempt{
		upstream: lease.Upstream,
	}
	if d.config.Allow != nil && !d.config.Allow(lease.Address) {
		a.notRun = true
		a.err = fmt.Errorf("upstream %s is unreachable: connections to it are not permitted", lease.Upstream)
		return a
	}
	// net/http may take another connection if nothing was written on the first.
	var conn *upstreamConn
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { conn, _ = info.Conn.(*upstreamConn) },
	})
	outgoing, err := http.NewRequestWithContext(ctx, c.method, "http://"+lease.Address+c.uri, bytes.NewReader(c.body))
	if err != nil {
		a.err = err
		a.notRun = true
		return a
	}
	copyHeader(outgoing.Header, c.header)
	outgoing.Header.Set(headerRequestID, c.id)
	outgoing.Header.Set(headerHash, strconv.FormatUint(c.hash, 16))
	outgoing.Header.Set(headerFence, strconv.FormatUint(lease.Fence, 10))
	outgoing.Header.Set(headerDeadline, strconv.FormatInt(c.remainingMs(), 10))
	a.response, a.err = transport.RoundTrip(outgoing)
	if a.err != nil {
		a.notRun = execution.Evidence{
			Sent: conn != nil,
		}.Proof() != execution.None
		return a
	}
	if a.err = answer.CheckHead(a.response); a.err != nil {
		_ = conn.Close()
		d.logs.For("home").WithError(a.err).WithField("upstream", a.upstream).WithField("request", c.id).Warn("upstream's answer is not valid")
		return a
	}
	d.classifyResponse(c, a, lease.Incarnation, conn.evidence(c, a.response))
	return a
}

// classifyResponse checks whether the response is the upstream's refusal and whether it belongs to the call. An
// incarnation that has returned the request ID once does so in every response, so a later response without the ID
// belongs to another request.
func (d *Daemon) classifyResponse(c *call, a *attempt, incarnation string, evidence execution.Evidence) {
	echoedID := a.response.Header.Get(headerRequestID)
	if echoedID == c.id {
		d.echoingIncarnations.Store(a.upstream, incarnation)
	}
	echoing, _ := d.echoingIncarnations.Load(a.upstream)
	if echoedID != c.id && (echoedID != "" || echoing == incarnation) {
		d.metrics.Add(metrics.MismatchedResponses, 1)
		a.err = &ResponseMismatchError{
			Upstream: a.upstream,
			Want:     c.id,
			Have:     echoedID,
		}
		d.logs.For("home").WithError(a.err).Error("response belongs to another request")
		return
	}
	if !evidence.Marked {
		return
	}
	if !c.idempotent && evidence.Proof() == execution.None {
		a.err = &UnprovenRefusalError{
			Upstream: a.upstream,
		}
		return
	}
	a.notRun = true
	a.notOwner = c.spec().GetKeyed() && a.response.Header.Get(headerReason) == reasonNotOwner
	seconds, err := strconv.Atoi(a.response.Header.Get(headerRetryAfter))
	if err == nil && seconds >= 0 {
		a.retryAfter = time.Duration(seconds) * time.Second
	}
}

// ResponseMismatchError reports a response whose request ID is not that of the call it was received for.
type ResponseMismatchError struct {
	Upstream   string
	Want, Have string
}

func (e *ResponseMismatchError) Error() string {
	return fmt.Sprintf("upstream %s answered request %s with the response to request %q: connection closed; check the upstream",
		e.Upstream, e.Want, e.Have)
}

// maxIdleUpstreamConnections bounds the idle connections to one upstream. Its slots bound the connections in use.
const maxIdleUpstreamConnections = 128

// newUpstreamTransport returns a transport for upstreams, whose connections are upstreamConns and serve one request each unless reuse is
// set. It follows no redirects, and retries a request that is not idempotent only if no byte of it was written.
func (d *Daemon) newUpstreamTransport(reuse bool) *http.Transport {
	return &http.Transport{
		DisableKeepAlives:      !reuse,
		MaxIdleConnsPerHost:    maxIdleUpstreamConnections,
		IdleConnTimeout:        time.Minute,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DialContext: dialTracked(&net.Dialer{
			Timeout: time.Second,
		}),
	}
}

// maxHeaderBytes bounds the header of a request or a response.
const maxHeaderBytes = 64 << 10
