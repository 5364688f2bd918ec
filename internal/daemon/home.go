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
	"cuminlift/core/ownership"
	"cuminlift/core/request"
	"cuminlift/internal/metrics"
	"cuminlift/schema"
)

// answer is an upstream's answer. done must be called once, after the body was passed on or given up.
type answer struct {
	response *http.Response
	done     func(admission.Result)
}

// attempt is one try at one upstream.
type attempt struct {
	upstream string
	response *http.Response
	err      error
	// notRun is true where the try surely did not run.
	notRun     bool
	retryAfter time.Duration
	// unowned is true where the upstream refused because it does not own the key now.
	unowned bool
	cancel  context.CancelFunc
}

func (a *attempt) refusalReason() string {
	switch {
	case a.unowned:
		return reasonNoOwner
	case a.err != nil:
		return reasonUnreachable
	}
	return reasonShed
}

// race runs the attempts at one call.
type race struct {
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

// maxCopies bounds the attempts in progress of one call: the first and one hedge.
const maxCopies = 2

// notYet is how long a call waits before it asks again for an owner that is being changed.
const notYet = 2 * time.Millisecond

// serveHome queues the call for the zone's pool and returns an upstream's answer or a refusal.
func (d *Daemon) serveHome(ctx context.Context, c *call, zone string) (*answer, *refusal) {
	if !d.awaitReady(ctx, c.service, zone) {
		f := notRun(reasonNotHome, d.config.Timing.Heartbeat)
		f.elsewhere = true
		return nil, f
	}
	if c.spec().GetKeyed() {
		c.service.sketch.Add(c.hash)
	}
	began := time.Now()
	for {
		if c.spec().GetKeyed() && c.service.route(c.hash).Zone != zone {
			f := notRun(reasonNotHome, d.config.Timing.Heartbeat)
			f.elsewhere = true
			return nil, f
		}
		a, f := d.runRace(ctx, c, c.service.pool(zone))
		if f == nil || f.reason != reasonNoOwner || time.Since(began) >= holdLimit {
			return a, f
		}
		select {
		case <-ctx.Done():
			return nil, f
		case <-time.After(notYet):
		}
	}
}

// awaitReady waits until this instance may forward to the zone's pool, while it is the home to be: a caller's instance that
// asks again and again would cost more than the wait.
func (d *Daemon) awaitReady(ctx context.Context, s *service, zone string) bool {
	began := time.Now()
	for !s.homeReady(zone) {
		if !s.isHome(zone) || time.Since(began) >= holdLimit {
			return false
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(readyPoll):
		}
	}
	return true
}

// readyPoll is the wait between two looks whether a home is ready.
const readyPoll = 5 * time.Millisecond

func (d *Daemon) runRace(ctx context.Context, c *call, p *pool) (*answer, *refusal) {
	ticket := &admission.Ticket{
		Class:      c.class,
		Idempotent: c.idempotent,
		Soft:       c.soft,
		Deadline:   d.clock.Now() + time.Until(c.deadline),
	}
	if c.spec().GetKeyed() {
		ticket.Upstream = c.service.route(c.hash).Upstream
	}
	r := &race{
		daemon: d,
		call:   c,
		pool:   p,
		request: &request.Request{
			Idempotent: c.idempotent,
		},
		results: make(chan *attempt, 2*maxCopies),
		running: map[string]context.CancelFunc{},
	}
	if err := r.request.Advance(request.Queued); err != nil {
		return nil, refused(r.request, err.Error(), time.Second)
	}
	r.waiter = p.submit(ticket, c.id, c.hash)
	a, f := r.run(ctx)
	r.close(a)
	return a, f
}

// run waits for dispatches and results until the call has an answer or is given up.
func (r *race) run(ctx context.Context) (*answer, *refusal) {
	for {
		select {
		case dispatch := <-r.waiter.dispatch:
			if f := r.start(ctx, dispatch); f != nil {
				return nil, f
			}
		case refusal := <-r.waiter.refusal:
			f := refused(r.request, refusal.Reason.String(), refusal.RetryAfter)
			f.elsewhere = f.knowledge == request.NotRun
			return nil, f
		case a := <-r.results:
			delete(r.running, a.upstream)
			if answer, f, final := r.settle(a); final {
				return answer, f
			}
		case <-ctx.Done():
			return nil, refused(r.request, reasonDeadline, time.Second)
		}
	}
}

// start sends the call to the dispatch's upstream if this instance still may.
func (r *race) start(ctx context.Context, dispatch admission.Dispatch) *refusal {
	lease, ok := r.call.service.lease(r.call.hash, dispatch.Upstream)
	if !ok || lease.Upstream != dispatch.Upstream {
		r.pool.finish(r.waiter, dispatch.Upstream, admission.Abandoned, 0)
		if len(r.running) > 0 {
			return nil
		}
		f := refused(r.request, reasonNoOwner, r.daemon.config.Timing.Heartbeat)
		f.elsewhere = f.knowledge == request.NotRun
		return f
	}
	if !dispatch.Hedge {
		if err := r.request.Advance(request.Sent); err != nil {
			r.pool.finish(r.waiter, dispatch.Upstream, admission.Abandoned, 0)
			return refused(r.request, err.Error(), time.Second)
		}
	}
	attemptContext, cancel := context.WithCancel(ctx)
	r.running[dispatch.Upstream] = cancel
	go r.send(attemptContext, cancel, lease)
	return nil
}

// send makes one attempt and hands its result over, or cleans up where the race is over.
func (r *race) send(ctx context.Context, cancel context.CancelFunc, lease ownership.Lease) {
	a := r.daemon.sendUpstream(ctx, r.call, lease)
	a.cancel = cancel
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.closed {
		r.drop(a)
		return
	}
	r.results <- a
}

func (r *race) drop(a *attempt) {
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

// settle judges a result. final is true where the call ends with it.
func (r *race) settle(a *attempt) (winner *answer, f *refusal, final bool) {
	if a.err == nil && !a.notRun {
		r.daemon.traceRan(r.call, a.upstream)
		if err := r.request.Advance(request.Answered); err != nil {
			r.drop(a)
			return nil, refused(r.request, err.Error(), time.Second), true
		}
		return r.winner(a), nil, true
	}
	a.cancel()
	if a.response != nil {
		_ = a.response.Body.Close()
	}
	switch {
	case a.unowned:
		r.pool.finish(r.waiter, a.upstream, admission.Abandoned, 0)
	case a.notRun:
		r.pool.finish(r.waiter, a.upstream, admission.Shed, a.retryAfter)
	default:
		r.pool.finish(r.waiter, a.upstream, admission.Failed, 0)
	}
	if len(r.running) > 0 {
		return nil, nil, false
	}
	return r.settleLast(a)
}

// settleLast decides after the last attempt in progress has failed.
func (r *race) settleLast(a *attempt) (*answer, *refusal, bool) {
	reason := reasonLost
	next := request.Lost
	if a.notRun {
		next = request.Refused
		reason = a.refusalReason()
	}
	if err := r.request.Advance(next); err != nil {
		return nil, refused(r.request, err.Error(), time.Second), true
	}
	if a.unowned {
		f := refused(r.request, reason, r.daemon.config.Timing.Heartbeat)
		f.elsewhere = f.knowledge == request.NotRun
		return nil, f, true
	}
	if r.request.MayTry() && r.pool.retry(r.waiter) {
		if err := r.request.Advance(request.Queued); err != nil {
			return nil, refused(r.request, err.Error(), time.Second), true
		}
		return nil, nil, false
	}
	f := refused(r.request, reason, max(a.retryAfter, r.daemon.config.Timing.Heartbeat))
	f.elsewhere = f.knowledge == request.NotRun && !r.call.spec().GetKeyed()
	return nil, f, true
}

// traceRan records that an upstream answered the call.
func (d *Daemon) traceRan(c *call, upstream string) {
	d.trace.outcome(&schema.Outcome{
		Kind:    "ran",
		Subject: upstream,
		Request: c.id,
		Detail:  "answered",
	})
}

func (r *race) winner(a *attempt) *answer {
	var once sync.Once
	return &answer{
		response: a.response,
		done: func(result admission.Result) {
			once.Do(func() {
				a.cancel()
				_ = a.response.Body.Close()
				r.pool.finish(r.waiter, a.upstream, result, 0)
			})
		},
	}
}

// close cancels the attempts that lost, and gives back what comes later.
func (r *race) close(a *answer) {
	r.pool.forget(r.waiter)
	for _, cancel := range r.running {
		cancel()
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.closed = true
	for {
		select {
		case late := <-r.results:
			r.drop(late)
		default:
			return
		}
	}
}

// sendUpstream sends the call once. It tells a try that surely did not run from one that may have.
func (d *Daemon) sendUpstream(ctx context.Context, c *call, lease ownership.Lease) *attempt {
	a := &attempt{
		upstream: lease.Upstream,
	}
	if d.config.Allow != nil && !d.config.Allow(lease.Address) {
		a.notRun = true
		a.err = fmt.Errorf("upstream %s is cut off", lease.Upstream)
		return a
	}
	connected := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected = true },
	})
	outgoing, err := http.NewRequestWithContext(ctx, c.method, "http://"+lease.Address+c.uri, bytes.NewReader(c.body))
	if err != nil {
		a.err = err
		a.notRun = true
		return a
	}
	copyHeader(outgoing.Header, c.header)
	outgoing.Header.Set(headerRequest, c.id)
	outgoing.Header.Set(headerHash, strconv.FormatUint(c.hash, 16))
	outgoing.Header.Set(headerFence, strconv.FormatUint(lease.Fence, 10))
	outgoing.Header.Set(headerDeadline, strconv.FormatInt(c.remaining(), 10))
	a.response, a.err = d.upstream.RoundTrip(outgoing)
	if a.err != nil {
		a.notRun = !connected
		return a
	}
	d.judge(c, a, lease.Incarnation)
	return a
}

// judge looks whether the answer is a refusal of the upstream, and whether it belongs to the call. A run of an upstream
// that has once named the request in an answer does so in all: an answer without a name is then another's.
func (d *Daemon) judge(c *call, a *attempt, incarnation string) {
	echo := a.response.Header.Get(headerRequest)
	if echo == c.id {
		d.echoing.Store(a.upstream, incarnation)
	}
	known, _ := d.echoing.Load(a.upstream)
	if echo != c.id && (echo != "" || known == incarnation) {
		d.metrics.Add(metrics.CrossedAnswers, 1)
		a.err = &ResponseMismatchError{
			Upstream: a.upstream,
			Want:     c.id,
			Have:     echo,
		}
		d.logs.For("home").WithError(a.err).Error("answer belongs to another request")
		return
	}
	if a.response.StatusCode != http.StatusServiceUnavailable || a.response.Header.Get(headerOutcome) != request.NotRun.String() {
		return
	}
	a.notRun = true
	a.unowned = c.spec().GetKeyed() && a.response.Header.Get(headerReason) == reasonNotOwner
	seconds, err := strconv.Atoi(a.response.Header.Get(headerRetryAfter))
	if err == nil && seconds >= 0 {
		a.retryAfter = time.Duration(seconds) * time.Second
	}
}

// ResponseMismatchError reports an answer that names another request than the one it came for.
type ResponseMismatchError struct {
	Upstream   string
	Want, Have string
}

func (e *ResponseMismatchError) Error() string {
	return fmt.Sprintf("upstream %s answered request %s with the answer to %s: its connection is closed; look for a fault in the upstream",
		e.Upstream, e.Want, e.Have)
}

// idleConnections bounds the idle connections to one upstream. Those in use are bounded by its slots.
const idleConnections = 128

// newUpstreamTransport returns the connections to upstreams. It follows no redirect and retries only what wrote no byte.
func (d *Daemon) newUpstreamTransport() *http.Transport {
	return &http.Transport{
		MaxIdleConnsPerHost:    idleConnections,
		IdleConnTimeout:        time.Minute,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeader,
		DialContext: (&net.Dialer{
			Timeout: time.Second,
		}).DialContext,
	}
}

// maxHeader bounds the header of a request or an answer, in bytes.
const maxHeader = 64 << 10
