package ownership

import (
	"time"

	"cuminlift/schema"
)

// Route is the destination of a request for a key.
type Route struct {
	// Upstream is the owner's name, or empty if no upstream owns the key.
	Upstream string
	// Zone is the owner's availability zone.
	Zone string
	// Home is the member that forwards to the owner, or nil if none is known.
	Home *schema.Member
	// Version is the document version that the route is based on.
	Version uint64
}

// Lease is this instance's permission to forward requests to an upstream.
type Lease struct {
	Upstream string
	Address  string
	// Fence is sent with each request, for upstreams that compare it.
	Fence uint64
	// Incarnation is the upstream's process that the lease applies to.
	Incarnation string
	// ExpiresAt is the end of the lease on this instance's clock.
	ExpiresAt time.Duration
	// Cold is true while the upstream reports that it has just started.
	Cold bool
}

// Version returns the version of the newest known document.
func (g *Guardian) Version() uint64 {
	return g.document.GetVersion()
}

// Document returns the newest known document. The caller must not modify it.
func (g *Guardian) Document() *schema.Ownership {
	return g.document
}

// Route returns the destination of requests for hash.
func (g *Guardian) Route(hash uint64) Route {
	slices := g.document.GetSlices()
	if len(slices) == 0 {
		return Route{
			Version: g.Version(),
		}
	}
	owner := g.OwnerOf(slices[SliceIndex(slices, hash)])
	h := FindHolder(g.document, owner)
	return Route{
		Upstream: owner,
		Zone:     h.GetZone(),
		Home:     g.Home(h.GetZone()),
		Version:  g.Version(),
	}
}

// Home returns the member that forwards to a zone's pool, or nil.
func (g *Guardian) Home(zone string) *schema.Member {
	pool := FindPool(g.document, zone)
	return FindGuardian(g.document, pool.GetHome())
}

// ForwardingLease returns the lease to forward to the upstream called name. Only the home of the upstream's pool gets
// one.
func (g *Guardian) ForwardingLease(now time.Duration, name string) (Lease, bool) {
	defer g.evaluateAt(now)()
	h := FindHolder(g.document, name)
	u := g.upstreams[name]
	if h == nil || u == nil || !g.homeReady(FindPool(g.document, h.GetZone())) {
		return Lease{}, false
	}
	until := min(u.leaseUntil, g.grantDeadline(u.incarnationSeenAt))
	if until <= g.now || u.down(g.now, g.config.Timing) {
		return Lease{}, false
	}
	return Lease{
		Upstream:    name,
		Address:     h.GetAddress(),
		Fence:       u.ackedFence,
		Incarnation: u.incarnation,
		ExpiresAt:   until,
		Cold:        u.cold,
	}, true
}

// evaluateAt sets the current time to now for a query, without processing a step. The returned function restores the
// time.
func (g *Guardian) evaluateAt(now time.Duration) func() {
	before := g.now
	g.now = max(g.now, now)
	return func() { g.now = before }
}

// OwnerLease returns the lease to forward requests for hash to its owner.
func (g *Guardian) OwnerLease(now time.Duration, hash uint64) (Lease, bool) {
	slices := g.document.GetSlices()
	if len(slices) == 0 {
		return Lease{}, false
	}
	s := slices[SliceIndex(slices, hash)]
	name := g.OwnerOf(s)
	lease, ok := g.ForwardingLease(now, name)
	if !ok {
		return Lease{}, false
	}
	if g.upstreams[name].ackedFence < FindHolder(g.document, name).GetFence() {
		return Lease{}, false
	}
	for _, r := range g.upstreams[name].grantedRanges {
		if r.GetStart() <= hash && hash <= r.GetEnd() {
			return lease, true
		}
	}
	return Lease{}, false
}

// HomeReady reports whether this instance may forward to the zone's pool.
func (g *Guardian) HomeReady(now time.Duration, zone string) bool {
	defer g.evaluateAt(now)()
	return g.homeReady(FindPool(g.document, zone))
}

// HomeZones returns the zones for whose pools this instance is the home.
func (g *Guardian) HomeZones() []string {
	var zones []string
	for _, p := range g.document.GetPools() {
		if p.GetHome() == g.config.Self.GetId() {
			zones = append(zones, p.GetZone())
		}
	}
	return zones
}

// UpstreamLeaving reports whether the platform's list says that the upstream has been told to stop.
func (g *Guardian) UpstreamLeaving(name string) bool {
	for _, u := range g.facts.GetUpstreams() {
		if u.GetName() == name {
			return u.GetLeaving()
		}
	}
	return false
}
