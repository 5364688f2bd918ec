package ownership

import (
	"time"

	"cuminlift/schema"
)

// upstream is this guardian's state for one upstream, from its own exchanges with it.
type upstream struct {
	// incarnation identifies the upstream's process, as its replies report it. It was first seen at incarnationSeenAt.
	incarnation       string
	incarnationSeenAt time.Duration
	// stamp is the upstream's time in its latest reply, which was received at stampReceivedAt and answered a grant sent
	// at stampRequestedAt.
	stamp            int64
	stampRequestedAt time.Duration
	stampReceivedAt  time.Duration
	// unansweredSince is when the first unanswered grant was sent, or never.
	unansweredSince time.Duration
	// lastReplyAt is when the last reply was received.
	lastReplyAt time.Duration
	// failures counts failed grants since the last reply.
	failures int
	// outstanding is the grant that awaits a reply.
	outstanding *sentGrant
	lastSentAt  time.Duration
	// leaseUntil is the time until which the upstream is guaranteed to hold grantedRanges.
	leaseUntil    time.Duration
	grantedRanges []*schema.Range
	busy          uint32
	// ackedFence is the highest fence that the upstream has accepted with a list of ranges.
	ackedFence uint64
	// lastAccepted reports whether the upstream accepted the last grant. The next one may then renew it without listing
	// its ranges.
	lastAccepted bool
	// complete is the state in which grantedRanges was all that the upstream owns. While it is unchanged, the ranges
	// need not be computed again.
	complete grantState
	// rangeSet is the number that the upstream assigned to grantedRanges.
	rangeSet uint64
	cold     bool
}

type sentGrant struct {
	grant            *schema.Grant
	sentAt           time.Duration
	stampRequestedAt time.Duration
}

func (g *Guardian) upstream(name string) *upstream {
	u := g.upstreams[name]
	if u == nil {
		u = &upstream{
			unansweredSince: never,
			lastReplyAt:     never,
			lastSentAt:      never,
			leaseUntil:      never,
		}
		g.upstreams[name] = u
	}
	return u
}

// down reports whether the upstream has not answered within the suspect timeout, or several grants in a row failed.
func (u *upstream) down(now time.Duration, timing Timing) bool {
	if u.unansweredSince == never {
		return false
	}
	if u.failures >= failuresToSuspect && u.lastReplyAt <= u.unansweredSince {
		return true
	}
	return now-u.unansweredSince >= timing.SuspectTimeout
}

// failuresToSuspect is the number of consecutive failed grants after which an upstream counts as lost.
const failuresToSuspect = 2

// alive reports whether the upstream has answered recently.
func (u *upstream) alive(now time.Duration, timing Timing) bool {
	return u.lastReplyAt != never && !u.down(now, timing)
}

// actsAsHome reports whether this guardian renews the grants of a zone's pool, as its home or as the substitute for a
// lost home.
func (g *Guardian) actsAsHome(zone string) bool {
	pool := FindPool(g.document, zone)
	if pool == nil || !g.isGuardian() {
		return false
	}
	self := g.config.Self.GetId()
	if pool.GetHome() == self {
		return true
	}
	if !g.isLost(pool.GetHome()) {
		return false
	}
	return g.substituteHome(zone) == self
}

// substituteHome returns the live guardian that replaces a lost home of the zone. Guardians in the zone take
// precedence, then the lowest id.
func (g *Guardian) substituteHome(zone string) string {
	best := ""
	bestLocal := false
	for _, m := range g.document.GetGuardians() {
		if g.isLost(m.GetId()) {
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

// renewGrants renews the grants of the pools for which this guardian acts as home, and drops the state of the other
// upstreams.
func (g *Guardian) renewGrants() {
	for _, h := range g.document.GetHolders() {
		if g.actsAsHome(h.GetZone()) {
			g.renewGrant(h)
			continue
		}
		delete(g.upstreams, h.GetName())
	}
}

func (g *Guardian) renewGrant(h *schema.Holder) {
	u := g.upstream(h.GetName())
	timing := g.config.Timing
	if u.outstanding != nil {
		if g.now-u.outstanding.sentAt < timing.SuspectTimeout/2 {
			return
		}
		g.recordGrantFailure(u)
	}
	if !g.grantDue(h, u) {
		return
	}
	g.lastGrantSequence++
	grant := &schema.Grant{
		Service:     g.config.Service,
		Upstream:    h.GetName(),
		Incarnation: u.incarnation,
		Fence:       h.GetFence(),
		Sequence:    g.lastGrantSequence,
	}
	ttl := g.grantTTL(h, u)
	if ttl > 0 {
		grant.Stamp = u.stamp
		grant.TtlMs = ttl.Milliseconds()
		g.addRanges(h, u, grant)
	}
	u.outstanding = &sentGrant{
		grant:            grant,
		sentAt:           g.now,
		stampRequestedAt: u.stampRequestedAt,
	}
	u.lastSentAt = g.now
	if u.unansweredSince == never {
		u.unansweredSince = g.now
	}
	g.emit(Action{
		Grant: &SendGrant{
			Address: h.GetAddress(),
			Grant:   grant,
		},
	})
}

// addRanges adds the ranges that h may own to grant. If the upstream has already accepted exactly these, grant only
// renews them.
func (g *Guardian) addRanges(h *schema.Holder, u *upstream, grant *schema.Grant) {
	if u.complete == g.currentGrantState() && u.lastAccepted && u.rangeSet != 0 && u.ackedFence == h.GetFence() {
		grant.Renews = u.rangeSet
		return
	}
	ranges, complete := g.grantableRanges(h)
	if u.ackedFence == h.GetFence() && u.lastAccepted && u.rangeSet != 0 && sameRanges(u.grantedRanges, ranges) {
		grant.Renews = u.rangeSet
		if complete {
			u.complete = g.currentGrantState()
		}
		return
	}
	grant.Ranges = ranges
}

// grantState distinguishes states in which the same upstream may hold different ranges.
type grantState struct {
	version uint64
	// evictions is the number of evictions that all guardians agree on. It only grows while the version stays the same.
	evictions int
}

func (g *Guardian) currentGrantState() grantState {
	return grantState{
		version:   g.document.GetVersion(),
		evictions: len(g.agreedEvictions),
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

// grantDue reports whether a grant should be sent now: once per heartbeat interval, and earlier if the upstream lacks
// ranges that it may hold, or is still processing requests on ranges that it lost.
func (g *Guardian) grantDue(h *schema.Holder, u *upstream) bool {
	since := g.now - u.lastSentAt
	if since >= g.config.Timing.HeartbeatInterval {
		return true
	}
	if u.lastReplyAt == never || u.failures > 0 {
		return false
	}
	ttl := g.grantTTL(h, u)
	if ttl <= 0 {
		return false
	}
	if u.complete != g.currentGrantState() && since >= g.config.Timing.HeartbeatInterval/changesPerHeartbeat && g.lacksRanges(h, u) {
		return true
	}
	return u.busy > 0 && since >= g.config.Timing.HeartbeatInterval/10
}

// lacksRanges reports whether the upstream has not yet accepted all the ranges that it may hold now.
func (g *Guardian) lacksRanges(h *schema.Holder, u *upstream) bool {
	if u.ackedFence < h.GetFence() {
		return true
	}
	ranges, complete := g.grantableRanges(h)
	same := sameRanges(u.grantedRanges, ranges)
	if same && complete {
		u.complete = g.currentGrantState()
	}
	return !same
}

// grantTTL returns the lifetime of a grant, counted from its stamp, or 0 if the grant only requests a stamp.
func (g *Guardian) grantTTL(h *schema.Holder, u *upstream) time.Duration {
	if u.incarnation == "" || g.evicted[h.GetName()] {
		return 0
	}
	until := min(g.grantDeadline(u.incarnationSeenAt), u.stampReceivedAt+g.config.Timing.ConfirmationTTL)
	if until <= g.now {
		return 0
	}
	return g.config.Timing.trimForDrift(until - u.stampReceivedAt)
}

func (g *Guardian) onGrantReply(reply *schema.GrantReply) {
	u := g.upstreams[reply.GetUpstream()]
	if u == nil || u.outstanding == nil || u.outstanding.grant.GetSequence() != reply.GetSequence() {
		return
	}
	sent := u.outstanding
	wasDown := u.down(g.now, g.config.Timing)
	u.outstanding = nil
	u.failures = 0
	u.unansweredSince = never
	u.lastReplyAt = g.now
	u.cold = reply.GetCold()
	if reply.GetIncarnation() != u.incarnation {
		u.startIncarnation(reply.GetIncarnation(), g.recordIncarnation(reply.GetUpstream(), reply.GetIncarnation()))
		g.dirty = true
	}
	u.stamp = reply.GetStamp()
	u.stampRequestedAt = sent.sentAt
	u.stampReceivedAt = g.now
	if wasDown {
		g.dirty = true
		g.replan = true
	}
	if sent.grant.GetTtlMs() <= 0 {
		return
	}
	u.lastAccepted = reply.GetAccepted()
	if !reply.GetAccepted() {
		return
	}
	g.recordAcceptance(u, sent, reply)
}

func (g *Guardian) recordAcceptance(u *upstream, sent *sentGrant, reply *schema.GrantReply) {
	ttl := time.Duration(sent.grant.GetTtlMs()) * time.Millisecond
	if u.ackedFence < sent.grant.GetFence() || (u.busy > 0 && reply.GetBusy() == 0) {
		g.dirty = true
		g.replan = true
	}
	u.ackedFence = sent.grant.GetFence()
	u.busy = reply.GetBusy()
	if sent.grant.GetRenews() == 0 {
		u.grantedRanges = sent.grant.GetRanges()
		u.rangeSet = reply.GetSet()
		u.complete = grantState{}
	}
	u.leaseUntil = sent.stampRequestedAt + g.config.Timing.trimForDrift(ttl)
}

func (u *upstream) startIncarnation(incarnation string, seenAt time.Duration) {
	u.incarnation = incarnation
	u.incarnationSeenAt = seenAt
	u.ackedFence = 0
	u.busy = 0
	u.grantedRanges = nil
	u.lastAccepted = false
	u.rangeSet = 0
	u.complete = grantState{}
	u.leaseUntil = never
}

func (g *Guardian) onGrantFailed(name string, sequence uint64) {
	u := g.upstreams[name]
	if u == nil || u.outstanding == nil || u.outstanding.grant.GetSequence() != sequence {
		return
	}
	g.recordGrantFailure(u)
}

func (g *Guardian) recordGrantFailure(u *upstream) {
	wasDown := u.down(g.now, g.config.Timing)
	u.outstanding = nil
	u.failures++
	if !wasDown && u.down(g.now, g.config.Timing) {
		g.dirty = true
		g.replan = true
	}
}
