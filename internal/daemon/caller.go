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
	spec, chosen := d.destination(current, r)
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
	if chosen != nil {
		// Only what both the route and the method allow may run twice.
		c.idempotent = c.idempotent && chosen.Kind != route.AtMostOnce
	}
	c.class = estate.Class(current.estate, spec.GetName(), c.idempotent)
	c.id = d.newRequestID(c)
	if spec.GetKeyed() {
		c.hash = xxhash.Sum64String(requestKey(spec, r))
	}
	limit := time.Duration(spec.GetDeadlineMs()) * time.Millisecond
	if chosen != nil {
		limit = min(limit, chosen.Timeout)
	}
	if f := c.setDeadline(limit, r.Header.Get(headerDeadline)); f != nil {
		return nil, f
	}
	return c, c.readBody(w, r)
}

// destination returns the service for a request, by the estate's routes where it has any. The route is nil otherwise.
func (d *Daemon) destination(current *inForce, r *http.Request) (*schema.Service, *route.Route) {
	if current.routes == nil {
		return estate.Find(current.estate, r.URL.Path), nil
	}
	host, _, err := net.SplitHostPort(r.Host)
	if err != nil {
		host = r.Host
	}
	chosen := current.routes.Find(host, r.URL.Path)
	if chosen == nil {
		return nil, nil
	}
	d.splitting.Lock()
	name := d.splitter.Next(chosen)
	d.splitting.Unlock()
	return current.services[name].treatment(), chosen
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

func (c *call) setDeadline(limit time.Duration, header string) *refusal {
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
