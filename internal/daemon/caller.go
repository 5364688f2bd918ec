package daemon

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"cuminlift/core/admission"
	"cuminlift/core/estate"
	"cuminlift/core/request"
	"cuminlift/core/retry"
	"cuminlift/internal/metrics"
	"cuminlift/schema"
)

const (
	// maxBody bounds a caller's body, in bytes. Bodies are read whole before anything is sent, so that a cut body
	// never reaches an upstream.
	maxBody = 1 << 20
	// headerTimeout bounds the time in which a caller sends its header.
	headerTimeout = 5 * time.Second
	// idleTimeout ends a caller's idle connection.
	idleTimeout = 2 * time.Minute
	// writeStall ends an answer whose caller takes nothing for so long.
	writeStall = 20 * time.Second
)

// reroute spaces the looks of a call for its home. Calls that look every 5 ms keep homes too busy to become ready.
var reroute = retry.Backoff{
	Base: 5 * time.Millisecond,
	Cap:  100 * time.Millisecond,
}

// serveCaller takes a caller's request to its final answer.
func (d *Daemon) serveCaller(w http.ResponseWriter, r *http.Request) {
	d.metrics.Add(metrics.Requests, 1)
	d.active.Add(1)
	defer d.active.Add(-1)
	c, f := d.newCall(w, r)
	if f != nil {
		d.refuse(w, c, f)
		return
	}
	if !d.gate.enter(c.class) {
		d.refuse(w, c, notRun(reasonBusy, time.Second))
		return
	}
	defer d.gate.leave(c.class)
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	if !c.idempotent && c.repeatKey != "" {
		d.serveClaimed(ctx, w, c)
		return
	}
	a, f := d.route(ctx, c)
	if f != nil {
		d.refuse(w, c, f)
		return
	}
	d.pass(w, c, a)
}

// refuse gives the final word on a call. c is nil where the request could not be read.
func (d *Daemon) refuse(w http.ResponseWriter, c *call, f *refusal) {
	if f.knowledge == request.NotRun {
		d.metrics.Add(metrics.RefusedNotRun, 1)
		// A later repeat with the same idempotency key may run: only requests with a name of their own are recorded.
		if c != nil && c.repeatKey == "" {
			d.trace.outcome(&schema.Outcome{
				Kind:    "refused-not-run",
				Subject: d.self.GetId(),
				Request: c.id,
			})
		}
	} else {
		d.metrics.Add(metrics.RefusedUnknown, 1)
	}
	f.write(w, d.self.GetName())
}

// newCall reads the request. It returns a refusal for one that can't be served.
func (d *Daemon) newCall(w http.ResponseWriter, r *http.Request) (*call, *refusal) {
	current := d.current.Load()
	if current == nil {
		return nil, notRun(reasonConfiguration, time.Second)
	}
	spec := estate.Find(current.estate, r.URL.Path)
	if spec == nil {
		f := notRun(reasonNoService, time.Minute)
		f.status = http.StatusNotFound
		return nil, f
	}
	c := &call{
		id:         r.Header.Get(headerRequest),
		service:    current.services[spec.GetName()],
		idempotent: idempotent(r.Method),
		method:     r.Method,
		uri:        r.URL.RequestURI(),
		header:     r.Header,
		repeatKey:  r.Header.Get(headerRepeatKey),
	}
	c.class = estate.Class(current.estate, spec.GetName(), c.idempotent)
	c.id = d.newRequestID(c)
	if spec.GetKeyed() {
		c.hash = xxhash.Sum64String(requestKey(spec, r))
	}
	if f := c.setDeadline(spec, r.Header.Get(headerDeadline)); f != nil {
		return nil, f
	}
	return c, c.readBody(w, r)
}

// idempotent reports whether a method may run more than once. PUT and DELETE are taken at their word only by callers.
func idempotent(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// newRequestID names the call. Repeats with one idempotency key get one name, so that an upstream can tell them.
func (d *Daemon) newRequestID(c *call) string {
	if c.repeatKey != "" && !c.idempotent {
		return fmt.Sprintf("key-%016x", xxhash.Sum64String(c.service.name+"/"+c.repeatKey))
	}
	return d.self.GetId() + "-" + strconv.FormatUint(d.sequence.Add(1), 16)
}

// requestKey returns the key of a request: its header, or else the first part of the path after the prefix.
func requestKey(spec *schema.Service, r *http.Request) string {
	if key := r.Header.Get(headerKey); key != "" {
		return key
	}
	rest := strings.TrimPrefix(r.URL.Path, spec.GetPathPrefix())
	key, _, _ := strings.Cut(rest, "/")
	return key
}

func (c *call) setDeadline(spec *schema.Service, header string) *refusal {
	limit := time.Duration(spec.GetDeadlineMs()) * time.Millisecond
	if header != "" {
		ms, err := strconv.ParseInt(header, 10, 64)
		if err != nil || ms <= 0 {
			f := notRun(reasonBadDeadline, time.Minute)
			f.status = http.StatusBadRequest
			return f
		}
		limit = min(limit, time.Duration(min(ms, limit.Milliseconds()))*time.Millisecond)
	}
	c.deadline = time.Now().Add(limit)
	return nil
}

func (c *call) readBody(w http.ResponseWriter, r *http.Request) *refusal {
	if r.Body == nil || r.Body == http.NoBody {
		return nil
	}
	_ = http.NewResponseController(w).SetReadDeadline(c.deadline)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		f := notRun(reasonBodySize, time.Minute)
		f.status = http.StatusRequestEntityTooLarge
		return f
	}
	if err != nil {
		f := notRun(reasonBody, time.Second)
		f.status = http.StatusBadRequest
		return f
	}
	c.body = body
	return nil
}

// route takes the call to a home that may forward it. A call that is known not to have run is offered again as long as
// a planned hand-over lasts.
func (d *Daemon) route(ctx context.Context, c *call) (*answer, *refusal) {
	began := time.Now()
	for tries := 1; ; tries++ {
		a, f := d.routeOnce(ctx, c)
		if f == nil || !f.elsewhere || !worthWaiting(f) || time.Since(began) >= holdLimit {
			return a, f
		}
		select {
		case <-ctx.Done():
			return nil, f
		case <-time.After(reroute.Base + reroute.Delay(tries, rand.Float64())):
		}
	}
}

func (d *Daemon) routeOnce(ctx context.Context, c *call) (*answer, *refusal) {
	if !c.spec().GetKeyed() {
		return d.routeShared(ctx, c)
	}
	route := c.service.route(c.hash)
	if route.Home == nil {
		return nil, d.noHome()
	}
	return d.try(ctx, c, route.Home, route.Zone)
}

func (d *Daemon) noHome() *refusal {
	f := notRun(reasonNoHome, d.config.Timing.Confirm)
	f.elsewhere = true
	return f
}

// routeShared offers the call softly to each zone's home, the own zone's first, and then to the one with the shortest
// wait. Zones that were lately known to be busy are not asked softly again.
func (d *Daemon) routeShared(ctx context.Context, c *call) (*answer, *refusal) {
	zones := d.zonesFor(c)
	last := d.noHome()
	best := ""
	shortest := time.Duration(math.MaxInt64)
	for _, zone := range zones {
		wait, known := c.service.waits.get(zone)
		if !known {
			c.soft = true
			a, f := d.offer(ctx, c, zone)
			if f == nil || !f.elsewhere {
				return a, f
			}
			last = f
			if f.reason != admission.Elsewhere.String() {
				continue
			}
			wait = f.retryAfter
			c.service.waits.set(zone, wait)
		}
		if wait < shortest {
			shortest = wait
			best = zone
		}
	}
	if best == "" {
		return nil, last
	}
	c.soft = false
	return d.offer(ctx, c, best)
}

func (d *Daemon) offer(ctx context.Context, c *call, zone string) (*answer, *refusal) {
	home := memberOf(c.service.document(), zone)
	if home == nil {
		return nil, d.noHome()
	}
	return d.try(ctx, c, home, zone)
}

// zonesFor returns the zones in service that have a pool, the own one first.
func (d *Daemon) zonesFor(c *call) []string {
	current := d.current.Load()
	own := d.settings.GetZone()
	var zones []string
	for _, p := range c.service.document().GetPools() {
		zone := p.GetZone()
		if current.isOut("zone", zone) {
			continue
		}
		zones = append(zones, zone)
		if zone == own {
			last := len(zones) - 1
			zones[0], zones[last] = zones[last], zones[0]
		}
	}
	return zones
}

// worthWaiting reports whether a refusal is one that a hand-over in progress ends soon.
func worthWaiting(f *refusal) bool {
	switch f.reason {
	case reasonNotHome, reasonNoHome, reasonNoOwner, reasonHopLost, admission.Stopping.String():
		return true
	}
	return false
}

func memberOf(document *schema.Ownership, zone string) *schema.Member {
	for _, p := range document.GetPools() {
		if p.GetZone() != zone {
			continue
		}
		for _, m := range document.GetGuardians() {
			if m.GetId() == p.GetHome() {
				return m
			}
		}
	}
	return nil
}

func (d *Daemon) try(ctx context.Context, c *call, home *schema.Member, zone string) (*answer, *refusal) {
	if home.GetId() == d.self.GetId() {
		return d.serveHome(ctx, c, zone)
	}
	return d.hopTo(ctx, c, home, zone)
}

// hopTo passes the call on to the instance that is the home of the zone's pool.
func (d *Daemon) hopTo(ctx context.Context, c *call, home *schema.Member, zone string) (*answer, *refusal) {
	d.metrics.Add(metrics.Forwarded, 1)
	if d.config.Allow != nil && !d.config.Allow(home.GetForward()) {
		f := notRun(reasonHopLost, d.config.Timing.Confirm)
		f.elsewhere = true
		return nil, f
	}
	connected := false
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected = true },
	})
	outgoing, err := http.NewRequestWithContext(traced, c.method, "https://"+home.GetForward()+c.uri, bytes.NewReader(c.body))
	if err != nil {
		return nil, notRun(reasonNoHome, time.Second)
	}
	copyHeader(outgoing.Header, c.header)
	c.setHop(outgoing.Header, zone)
	response, err := d.hop.RoundTrip(outgoing)
	if err != nil {
		return nil, d.hopFailure(ctx, c, connected)
	}
	if f := readRefusal(response); f != nil {
		_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxHeader))
		_ = response.Body.Close()
		return nil, f
	}
	return &answer{
		response: response,
		done:     func(admission.Result) { _ = response.Body.Close() },
	}, nil
}

func (d *Daemon) hopFailure(ctx context.Context, c *call, connected bool) *refusal {
	f := notRun(reasonHopLost, d.config.Timing.Confirm)
	if !connected {
		f.elsewhere = true
		return f
	}
	f.knowledge = request.Unknown
	f.status = http.StatusBadGateway
	f.elsewhere = c.idempotent && ctx.Err() == nil
	if ctx.Err() != nil {
		f.reason = reasonDeadline
		f.status = http.StatusGatewayTimeout
	}
	return f
}

func (c *call) setHop(h http.Header, zone string) {
	h.Set(headerRequest, c.id)
	h.Set(headerService, c.service.name)
	h.Set(headerZone, zone)
	h.Set(headerHash, strconv.FormatUint(c.hash, 16))
	h.Set(headerClass, c.class.String())
	h.Set(headerDeadline, strconv.FormatInt(c.remaining(), 10))
	h.Set(headerIdempotent, strconv.FormatBool(c.idempotent))
	h.Set(headerSoft, strconv.FormatBool(c.soft))
}

// serveForward takes a call that another instance passed on.
func (d *Daemon) serveForward(w http.ResponseWriter, r *http.Request) {
	s := d.service(r.Header.Get(headerService))
	if s == nil {
		notRun(reasonNoService, d.config.Timing.Heartbeat).write(w, d.self.GetName())
		return
	}
	hash, err := strconv.ParseUint(r.Header.Get(headerHash), 16, 64)
	if err != nil {
		f := notRun(reasonBody, time.Minute)
		f.status = http.StatusBadRequest
		f.write(w, d.self.GetName())
		return
	}
	c := &call{
		id:         r.Header.Get(headerRequest),
		service:    s,
		class:      parseClass(r.Header.Get(headerClass)),
		idempotent: r.Header.Get(headerIdempotent) == "true" && idempotent(r.Method),
		hash:       hash,
		soft:       r.Header.Get(headerSoft) == "true",
		method:     r.Method,
		uri:        r.URL.RequestURI(),
		header:     r.Header,
	}
	f := c.setDeadline(s.treatment(), r.Header.Get(headerDeadline))
	if f == nil {
		f = c.readBody(w, r)
	}
	if f != nil {
		f.write(w, d.self.GetName())
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	a, f := d.serveHome(ctx, c, r.Header.Get(headerZone))
	if f != nil {
		f.write(w, d.self.GetName())
		return
	}
	d.pass(w, c, a)
}

// pass copies an upstream's answer to the caller. An answer that ends early is cut off, so that it never looks whole.
func (d *Daemon) pass(w http.ResponseWriter, c *call, a *answer) {
	result := admission.Failed
	defer func() { a.done(result) }()
	copyHeader(w.Header(), a.response.Header)
	w.Header().Set(headerRequest, c.id)
	w.Header().Set(headerOutcome, request.Ran.String())
	if a.response.ContentLength >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(a.response.ContentLength, 10))
	}
	w.WriteHeader(a.response.StatusCode)
	copied, caller, err := copyBody(w, a.response.Body)
	if err == nil {
		result = admission.Answered
		d.traceAnswer(c, a.response, copied)
		return
	}
	d.trace.outcome(&schema.Outcome{
		Kind:    "cut",
		Subject: d.self.GetId(),
		Request: c.id,
	})
	if caller {
		result = admission.Abandoned
	} else {
		d.metrics.Add(metrics.CutAnswers, 1)
		d.logs.For("caller").WithError(err).WithField("request", c.id).Warn("answer is cut")
	}
	panic(http.ErrAbortHandler)
}

// traceAnswer records an answer that was passed on to its end.
func (d *Daemon) traceAnswer(c *call, response *http.Response, copied int64) {
	whole := response.ContentLength
	if whole < 0 || c.method == http.MethodHead {
		// The length of a body in chunks is what came before its last one.
		whole = copied
	}
	d.trace.outcome(&schema.Outcome{
		Kind:    "answered",
		Subject: d.self.GetId(),
		Request: c.id,
		From:    uint64(copied),
		To:      uint64(whole),
		Detail:  response.Header.Get(headerRequest),
	})
}

// copyBody copies in pieces. caller is true where the failure is the caller's.
func copyBody(w http.ResponseWriter, body io.Reader) (copied int64, caller bool, err error) {
	controller := http.NewResponseController(w)
	pooled := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(pooled)
	buffer := *pooled
	for {
		n, readErr := body.Read(buffer)
		if n > 0 {
			if n == len(buffer) {
				_ = controller.SetWriteDeadline(time.Now().Add(writeStall))
			}
			copied += int64(n)
			if _, err := w.Write(buffer[:n]); err != nil {
				return copied, true, err
			}
		}
		if errors.Is(readErr, io.EOF) {
			return copied, false, nil
		}
		if readErr != nil {
			return copied, false, readErr
		}
	}
}

const copyBuffer = 16 << 10

// copyBuffers keeps the buffers of answers that have been passed on.
var copyBuffers = sync.Pool{
	New: func() any {
		buffer := make([]byte, copyBuffer)
		return &buffer
	},
}

// hopByHop are the headers that belong to one connection, and those that only cuminlift sets.
var hopByHop = map[string]bool{
	"Connection":          true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	"Content-Length":      true,
	// With one of these net/http would send a request again on its own.
	headerRepeatKey:  true,
	headerRepeatKeyX: true,
}

// copyHeader copies what is meant for the other end.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		if hopByHop[name] || strings.HasPrefix(name, "Cuminlift-") || namedByConnection(from, name) {
			continue
		}
		to[name] = values
	}
}

func namedByConnection(h http.Header, name string) bool {
	for _, v := range h["Connection"] {
		if strings.Contains(strings.ToLower(v), strings.ToLower(name)) {
			return true
		}
	}
	return false
}

func (d *Daemon) newHop() *http.Transport {
	return &http.Transport{
		MaxIdleConnsPerHost:    256,
		IdleConnTimeout:        time.Minute,
		DisableCompression:     true,
		MaxResponseHeaderBytes: 2 * maxHeader,
		TLSClientConfig:        d.identity.Client("http/1.1"),
		DialContext: (&net.Dialer{
			Timeout: d.config.Timing.Suspect / 2,
		}).DialContext,
	}
}
