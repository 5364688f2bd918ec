package ownership

import (
	"time"

	"cuminlift/schema"
)

// upstream is what this guardian knows of one upstream from its own exchanges with it.
type upstream struct {
	// incarnation is the upstream's run as its replies say, first seen at begun.
	incarnation string
	begun       time.Duration
	// stamp is the latest of the upstream's times, received at stampReceived in reply to a grant sent at stampSent.
	stamp         int64
	stampSent     time.Duration
	stampReceived time.Duration
	// since is when the first unanswered grant was sent, or never.
	since time.Duration
	// heard is when the last reply came.
	heard time.Duration
	// failures counts failed grants since the last reply.
	failures int
	// outstanding is the grant that waits for a reply.
	outstanding *sentGrant
	lastSent    time.Duration
	// lease is until when the upstream surely holds the granted ranges.
	lease   time.Duration
	granted []*schema.Range
	busy    uint32
	// acked is the highest fence the upstream has accepted with a range list.
	acked uint64
	// accepted is true where the last grant was: the next one may renew it without naming its ranges.
	accepted bool
	// whole is the state in which granted was all that the upstream owns: nothing is to be looked for until it changes.
	whole grantState
	// set is the upstream's number for the ranges in granted.
	set  uint64
	cold bool
}

type sentGrant struct {
	grant     *schema.Grant
	at        time.Duration
	stampSent time.Duration
}

func (g *Guardian) upstream(name string) *upstream {
	u := g.upstreams[name]
	if u == nil {
		u = &upstream{
			since:    never,
			heard:    never,
			lastSent: never,
			lease:    never,
		}
		g.upstreams[name] = u
	}
	return u
}

// down reports whether the upstream has been silent for the suspect time although it was asked.
func (u *upstream) down(now time.Duration, timing Timing) bool {
	if u.since == never {
		return false
	}
	if u.failures >= failuresToSuspect && u.heard <= u.since {
		return true
	}
	return now-u.since >= timing.SuspectTimeout
}

// failuresToSuspect is the number of failed grants in a row after which an upstream counts as lost.
const failuresToSuspect = 2

// alive reports whether the upstream has answered lately.
func (u *upstream) alive(now time.Duration, timing Timing) bool {
	return u.heard != never && !u.down(now, timing)
}

// actingHome reports whether this guardian keeps the grants of a zone's pool: as its home, or in place of a lost one.
func (g *Guardian) actingHome(zone string) bool {
	pool := FindPool(g.document, zone)
	if pool == nil || !g.member() {
		return false
	}
	self := g.config.Self.GetId()
	if pool.GetHome() == self {
		return true
	}
	if !g.lost(pool.GetHome()) {
		return false
	}
	return g.firstAlive(zone) == self
}

// firstAlive returns the guardian that stands in for the zone's home: one of the zone if any is alive.
func (g *Guardian) firstAlive(zone string) string {
	best := ""
	bestLocal := false
	for _, m := range g.document.GetGuardians() {
		if g.lost(m.GetId()) {
			continue
		}
		local := m.GetZone() == zone
		if best == "" || (local && !bestLocal) || (local == bestLocal && m.GetId() < best) {
			best = m.GetId()
			bestLocal = local
		}
	}
	return best
}

// grant renews the grants of the pools that this guardian keeps.
func (g *Guardian) grant() {
	for _, h := range g.document.GetHolders() {
		if g.actingHome(h.GetZone()) {
			g.grantOne(h)
			continue
		}
		delete(g.upstreams, h.GetName())
	}
}

func (g *Guardian) grantOne(h *schema.Holder) {
	u := g.upstream(h.GetName())
	timing := g.config.Timing
	if u.outstanding != nil {
		if g.now-u.outstanding.at < timing.SuspectTimeout/2 {
			return
		}
		g.noteFailure(u)
	}
	if !g.grantDue(h, u) {
		return
	}
	g.grants++
	grant := &schema.Grant{
		Service:     g.config.Service,
		Upstream:    h.GetName(),
		Incarnation: u.incarnation,
		Fence:       h.GetFence(),
		Sequence:    g.grants,
	}
	ttl := g.grantTTL(h, u)
	if ttl > 0 {
		grant.Stamp = u.stamp
		grant.TtlMs = ttl.Milliseconds()
		g.addRanges(h, u, grant)
	}
	u.outstanding = &sentGrant{
		grant:     grant,
		at:        g.now,
		stampSent: u.stampSent,
	}
	u.lastSent = g.now
	if u.since == never {
		u.since = g.now
	}
	g.emit(Action{
		Grant: &SendGrant{
			Address: h.GetAddress(),
			Grant:   grant,
		},
	})
}

// addRanges puts into grant what h may own, or only renews it where the upstream has accepted just that.
func (g *Guardian) addRanges(h *schema.Holder, u *upstream, grant *schema.Grant) {
	if u.whole == g.state() && u.accepted && u.set != 0 && u.acked == h.GetFence() {
		grant.Renews = u.set
		return
	}
	ranges, whole := g.grantable(h)
	if u.acked == h.GetFence() && u.accepted && u.set != 0 && sameRanges(u.granted, ranges) {
		grant.Renews = u.set
		if whole {
			u.whole = g.state()
		}
		return
	}
	grant.Ranges = ranges
}

// grantState tells states apart in which the same upstream may hold different ranges.
type grantState struct {
	version uint64
	// evicted is the number of evictions that all guardians follow; it only grows at one version.
	evicted int
}

func (g *Guardian) state() grantState {
	return grantState{
		version: g.document.GetVersion(),
		evicted: len(g.unanimous),
	}
}

func sameRanges(a, b []*schema.Range) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i].GetStart() != b[i].GetStart() || a[i].GetEnd() != b[i].GetEnd() {
			return false
		}
	}
	return true
}

// grantDue reports whether a grant should be sent now: at the heartbeat period, and at once where the
// upstream does not hold yet what it may, or is awaited to finish with what it lost.
func (g *Guardian) grantDue(h *schema.Holder, u *upstream) bool {
	since := g.now - u.lastSent
	if since >= g.config.Timing.HeartbeatInterval {
		return true
	}
	if u.heard == never || u.failures > 0 {
		return false
	}
	ttl := g.grantTTL(h, u)
	if ttl <= 0 {
		return false
	}
	if u.whole != g.state() && since >= g.config.Timing.HeartbeatInterval/changeShare && g.lacksRanges(h, u) {
		return true
	}
	return u.busy > 0 && since >= g.config.Timing.HeartbeatInterval/10
}

// lacksRanges reports whether the upstream has not accepted yet all that it may hold now.
func (g *Guardian) lacksRanges(h *schema.Holder, u *upstream) bool {
	if u.acked < h.GetFence() {
		return true
	}
	ranges, whole := g.grantable(h)
	same := sameRanges(u.granted, ranges)
	if same && whole {
		u.whole = g.state()
	}
	return !same
}

// grantTTL returns how long from its stamp the upstream may hold its ranges, or 0 where only a stamp is asked for.
func (g *Guardian) grantTTL(h *schema.Holder, u *upstream) time.Duration {
	if u.incarnation == "" || g.evicted[h.GetName()] {
		return 0
	}
	until := min(g.right(u.begun), u.stampReceived+g.config.Timing.ConfirmationTTL)
	if until <= g.now {
		return 0
	}
	return g.config.Timing.shorter(until - u.stampReceived)
}

func (g *Guardian) onReplied(reply *schema.GrantReply) {
	u := g.upstreams[reply.GetUpstream()]
	if u == nil || u.outstanding == nil || u.outstanding.grant.GetSequence() != reply.GetSequence() {
		return
	}
	sent := u.outstanding
	wasDown := u.down(g.now, g.config.Timing)
	u.outstanding = nil
	u.failures = 0
	u.since = never
	u.heard = g.now
	u.cold = reply.GetCold()
	if reply.GetIncarnation() != u.incarnation {
		u.restart(reply.GetIncarnation(), g.firstSeen(reply.GetUpstream(), reply.GetIncarnation()))
		g.dirty = true
	}
	u.stamp = reply.GetStamp()
	u.stampSent = sent.at
	u.stampReceived = g.now
	if wasDown {
		g.dirty = true
		g.replan = true
	}
	if sent.grant.GetTtlMs() <= 0 {
		return
	}
	u.accepted = reply.GetAccepted()
	if !reply.GetAccepted() {
		return
	}
	g.noteAccepted(u, sent, reply)
}

func (g *Guardian) noteAccepted(u *upstream, sent *sentGrant, reply *schema.GrantReply) {
	ttl := time.Duration(sent.grant.GetTtlMs()) * time.Millisecond
	if u.acked < sent.grant.GetFence() || (u.busy > 0 && reply.GetBusy() == 0) {
		g.dirty = true
		g.replan = true
	}
	u.acked = sent.grant.GetFence()
	u.busy = reply.GetBusy()
	if sent.grant.GetRenews() == 0 {
		u.granted = sent.grant.GetRanges()
		u.set = reply.GetSet()
		u.whole = grantState{}
	}
	u.lease = sent.stampSent + g.config.Timing.shorter(ttl)
}

func (u *upstream) restart(incarnation string, now time.Duration) {
	u.incarnation = incarnation
	u.begun = now
	u.acked = 0
	u.busy = 0
	u.granted = nil
	u.accepted = false
	u.set = 0
	u.whole = grantState{}
	u.lease = never
}

func (g *Guardian) onFailed(name string, sequence uint64) {
	u := g.upstreams[name]
	if u == nil || u.outstanding == nil || u.outstanding.grant.GetSequence() != sequence {
		return
	}
	g.noteFailure(u)
}

func (g *Guardian) noteFailure(u *upstream) {
	before := u.down(g.now, g.config.Timing)
	u.outstanding = nil
	u.failures++
	if !before && u.down(g.now, g.config.Timing) {
		g.dirty = true
		g.replan = true
	}
}
