package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"cuminlift/core/admission"
	"cuminlift/core/estate"
	"cuminlift/core/request"
	"cuminlift/core/retry"
	"cuminlift/core/route"
	"cuminlift/internal/metrics"
	"cuminlift/schema"
)

const (
	// maxBodyBytes bounds the body of a caller's request. Bodies are read completely before anything is sent, so that a
	// truncated body never reaches an upstream.
	maxBodyBytes = 1 << 20
	// readHeaderTimeout bounds the time that a caller may take to send its request header.
	readHeaderTimeout = 5 * time.Second
	// idleTimeout is how long an idle connection of a caller is kept open.
	idleTimeout = 2 * time.Minute
	// writeStallTimeout ends a response when the caller has read nothing for this long.
	writeStallTimeout = 20 * time.Second
)

// rerouteBackoff spaces repeated attempts of a call to find its home. Polling every 5 ms kept homes too busy to become
// ready.
var rerouteBackoff = retry.Backoff{
	Base: 5 * time.Millisecond,
	Cap:  100 * time.Millisecond,
}

// serveCaller handles a caller's request until its final response.
func (d *Daemon) serveCaller(w http.ResponseWriter, r *http.Request) {
	d.metrics.Add(metrics.Requests, 1)
	d.activeRequests.Add(1)
	defer d.activeRequests.Add(-1)
	c, f := d.newCall(w, r)
	if f != nil {
		d.refuse(w, c, f)
		return
	}
	if !d.classLimiter.acquire(c.class) {
		d.refuse(w, c, newNotRunRefusal(reasonInstanceBusy, time.Second))
		return
	}
	defer d.classLimiter.release(c.class)
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	if !c.idempotent && c.idempotencyKey != "" {
		d.serveWithClaim(ctx, w, c)
		return
	}
	a, f := d.routeCall(ctx, c)
	if f != nil {
		d.refuse(w, c, f)
		return
	}
	d.forwardResponse(w, c, a)
}

// refuse sends a refusal and records it. c is nil if the request could not be parsed.
func (d *Daemon) refuse(w http.ResponseWriter, c *call, f *refusal) {
	if f.executionStatus == request.NotRun {
		d.metrics.Add(metrics.RefusedNotRun, 1)
		// A repeat with the same idempotency key may still run, so only requests with an ID of their own are recorded
		// as not run.
		if c != nil && c.idempotencyKey == "" {
			d.trace.recordOutcome(&schema.Outcome{
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

// newCall parses the request. It returns a refusal if the request cannot be served.
func (d *Daemon) newCall(w http.ResponseWriter, r *http.Request) (*call, *refusal) {
	current := d.current.Load()
	if current == nil {
		return nil, newNotRunRefusal(reasonNoConfiguration, time.Second)
	}
	spec, matched := d.selectService(current, r)
	if spec == nil {
		f := newNotRunRefusal(reasonNoSuchService, time.Minute)
		f.status = http.StatusNotFound
		return nil, f
	}
	c := &call{
		id:             r.Header.Get(headerRequestID),
		service:        current.services[spec.GetName()],
		idempotent:     idempotent(r.Method),
		method:         r.Method,
		uri:            r.URL.RequestURI(),
		header:         r.Header,
		idempotencyKey: r.Header.Get(headerIdempotencyKey),
	}
	if matched != nil {
		// A call may run more than once only if both the route and the method allow it.
		c.idempotent = c.idempotent && matched.Kind != route.AtMostOnce
	}
	c.class = estate.Class(current.estate, spec.GetName(), c.idempotent)
	c.id = d.newRequestID(c)
	if spec.GetKeyed() {
		c.hash = xxhash.Sum64String(shardingKey(spec, r))
	}
	timeout := time.Duration(spec.GetDeadlineMs()) * time.Millisecond
	if matched != nil {
		timeout = min(timeout, matched.Timeout)
	}
	if f := c.setDeadline(timeout, r.Header.Get(headerDeadline)); f != nil {
		return nil, f
	}
	return c, c.readBody(w, r)
}

// selectService returns the service for a request and the route that selected it. Without routes in the estate, the
// service is found by path prefix and the route is nil.
func (d *Daemon) selectService(current *activeConfiguration, r *http.Request) (*schema.Service, *route.Route) {
	if current.routes == nil {
		return estate.Find(current.estate, r.URL.Path), nil
	}
	host, _, err := net.SplitHostPort(r.Host)
	if err != nil {
		host = r.Host
	}
	matched := current.routes.Find(host, r.URL.Path)
	if matched == nil {
		return nil, nil
	}
	d.splitterMutex.Lock()
	name := d.splitter.Next(matched)
	d.splitterMutex.Unlock()
	return current.services[name].currentSpec(), matched
}

// idempotent reports whether a request with this method may run more than once. PUT and DELETE do not count, although
// HTTP defines them as idempotent: repeating them is left to callers.
func idempotent(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// newRequestID returns the ID of the call. Repeats with one idempotency key get the same ID, so that an upstream can
// recognise them.
func (d *Daemon) newRequestID(c *call) string {
	if c.idempotencyKey != "" && !c.idempotent {
		return fmt.Sprintf("key-%016x", xxhash.Sum64String(c.service.name+"/"+c.idempotencyKey))
	}
	return d.self.GetId() + "-" + strconv.FormatUint(d.sequence.Add(1), 16)
}

// shardingKey returns the key of a request: its key header, or else the first path segment after the service's prefix.
func shardingKey(spec *schema.Service, r *http.Request) string {
	if key := r.Header.Get(headerKey); key != "" {
		return key
	}
	rest := strings.TrimPrefix(r.URL.Path, spec.GetPathPrefix())
	key, _, _ := strings.Cut(rest, "/")
	return key
}

func (c *call) setDeadline(timeout time.Duration, header string) *refusal {
	if header != "" {
		ms, err := strconv.ParseInt(header, 10, 64)
		if err != nil || ms <= 0 {
			f := newNotRunRefusal(reasonBadDeadline, time.Minute)
			f.status = http.StatusBadRequest
			return f
		}
		timeout = min(timeout, time.Duration(min(ms, timeout.Milliseconds()))*time.Millisecond)
	}
	c.deadline = time.Now().Add(timeout)
	return nil
}

func (c *call) readBody(w http.ResponseWriter, r *http.Request) *refusal {
	if r.Body == nil || r.Body == http.NoBody {
		return nil
	}
	_ = http.NewResponseController(w).SetReadDeadline(c.deadline)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		f := newNotRunRefusal(reasonBodyTooLarge, time.Minute)
		f.status = http.StatusRequestEntityTooLarge
		return f
	}
	if err != nil {
		f := newNotRunRefusal(reasonBodyUnreadable, time.Second)
		f.status = http.StatusBadRequest
		return f
	}
	c.body = body
	return nil
}

// routeCall sends the call to a home that may forward it. For as long as a planned handover may take, it retries a call
// that is known not to have run, and an idempotent one whose home was lost.
func (d *Daemon) routeCall(ctx context.Context, c *call) (*upstreamResponse, *refusal) {
	start := time.Now()
	for attempt := 1; ; attempt++ {
		a, f := d.routeOnce(ctx, c)
		if f == nil || !f.retryElsewhere || !isTransient(f) || time.Since(start) >= maxOwnerWait {
			return a, f
		}
		select {
		case <-ctx.Done():
			return nil, f
		case <-time.After(rerouteBackoff.Base + rerouteBackoff.Delay(attempt, rand.Float64())):
		}
	}
}

func (d *Daemon) routeOnce(ctx context.Context, c *call) (*upstreamResponse, *refusal) {
	if !c.spec().GetKeyed() {
		return d.routeUnkeyed(ctx, c)
	}
	route := c.service.route(c.hash)
	if route.Home == nil {
		return nil, d.noHomeRefusal()
	}
	return d.sendToHome(ctx, c, route.Home, route.Zone)
}

func (d *Daemon) noHomeRefusal() *refusal {
	f := newNotRunRefusal(reasonNoHome, d.config.Timing.ConfirmationTTL)
	f.retryElsewhere = true
	return f
}

// routeUnkeyed offers the call as soft to the home of each zone, the local zone first, and then without soft to the
// zone with the shortest expected wait. Zones with a recent entry in the wait cache are not offered it as soft again.
func (d *Daemon) routeUnkeyed(ctx context.Context, c *call) (*upstreamResponse, *refusal) {
	zones := d.candidateZones(c)
	lastRefusal := d.noHomeRefusal()
	bestZone := ""
	shortestWait := time.Duration(math.MaxInt64)
	for _, zone := range zones {
		wait, known := c.service.zoneWaits.get(zone)
		if !known {
			c.soft = true
			a, f := d.sendToZone(ctx, c, zone)
			if f == nil || !f.retryElsewhere {
				return a, f
			}
			lastRefusal = f
			if f.reason != admission.Elsewhere.String() {
				continue
			}
			wait = f.retryAfter
			c.service.zoneWaits.set(zone, wait)
		}
		if wait < shortestWait {
			shortestWait = wait
			bestZone = zone
		}
	}
	if bestZone == "" {
		return nil, lastRefusal
	}
	c.soft = false
	return d.sendToZone(ctx, c, bestZone)
}

func (d *Daemon) sendToZone(ctx context.Context, c *call, zone string) (*upstreamResponse, *refusal) {
	home := homeOfZone(c.service.document(), zone)
	if home == nil {
		return nil, d.noHomeRefusal()
	}
	return d.sendToHome(ctx, c, home, zone)
}

// candidateZones returns the zones that are in service and have a pool, the local zone first.
func (d *Daemon) candidateZones(c *call) []string {
	current := d.current.Load()
	localZone := d.settings.GetZone()
	var zones []string
	for _, p := range c.service.document().GetPools() {
		zone := p.GetZone()
		if current.isOut("zone", zone) {
			continue
		}
		zones = append(zones, zone)
		if zone == localZone {
			last := len(zones) - 1
			zones[0], zones[last] = zones[last], zones[0]
		}
	}
	return zones
}

// isTransient reports whether the reason for a refusal is expected to pass once a handover in progress completes.
func isTransient(f *refusal) bool {
	switch f.reason {
	case reasonNotHome, reasonNoHome, reasonNoOwner, reasonHomeLost, admission.Stopping.String():
		return true
	}
	return false
}

func homeOfZone(document *schema.Ownership, zone string) *schema.Member {
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

func (d *Daemon) sendToHome(ctx context.Context, c *call, home *schema.Member, zone string) (*upstreamResponse, *refusal) {
	if home.GetId() == d.self.GetId() {
		return d.serveAsHome(ctx, c, zone)
	}
	return d.forwardToPeer(ctx, c, home, zone)
}
