package ownership

import (
	"slices"
	"time"

	"cuminlift/schema"
)

// confirmedUntil returns the time until which the last confirmation of the document allows grants.
func (g *Guardian) confirmedUntil() time.Duration {
	if g.confirmedAt == never {
		return never
	}
	return g.confirmedAt + g.config.Timing.ConfirmationTTL
}

// promisedUntil returns the time until which all other guardians abstain from writing. All of them had the same version
// when they promised, so the table holds no newer one until then.
func (g *Guardian) promisedUntil() time.Duration {
	until := -never
	for _, m := range g.document.GetGuardians() {
		if m.GetId() == g.config.Self.GetId() {
			continue
		}
		p := g.peer(m.GetId())
		until = min(until, p.abstainsUntil)
	}
	if until == -never {
		// The only guardian needs no promises: no other instance may write before this one is proved to have ended.
		return g.now + g.config.Timing.ConfirmationTTL
	}
	return until
}

// grantDeadline returns the time until which this guardian may let an upstream hold a grant of the current document.
// The confirmation that the document is current must not be older than incarnationSeenAt, when the upstream's
// incarnation was first seen, because a restarted upstream has forgotten the fences that protected it. Promises prove
// that the document is still current.
func (g *Guardian) grantDeadline(incarnationSeenAt time.Duration) time.Duration {
	if !g.isGuardian() {
		return never
	}
	until := never
	if g.confirmedAt >= incarnationSeenAt {
		until = g.confirmedUntil()
	}
	promised := g.promisedUntil()
	// The promises of others do not cover a write by this guardian that may have taken effect.
	if g.pending == nil && promised > until {
		until = promised
	}
	return until
}

// recentlyConfirmed reports whether the platform has recently confirmed the document.
func (g *Guardian) recentlyConfirmed() bool {
	return g.confirmedAt != never && g.now-g.confirmedAt < g.config.Timing.ConfirmationTTL/2
}

// needsPromises reports whether this guardian requests promises, because the platform has not recently confirmed the
// document.
func (g *Guardian) needsPromises() bool {
	if g.document.GetVersion() == 0 || !g.isGuardian() || g.confirmedAt == never {
		return false
	}
	return g.now-g.confirmedAt >= g.config.Timing.ConfirmationTTL/2
}

func (g *Guardian) confirmationAgeMs() int64 {
	if g.confirmedAt == never {
		return -1
	}
	return (g.now - g.confirmedAt).Milliseconds() + 1
}

// homeReady reports whether this guardian is the home of the pool and the previous home is known to have stopped
// forwarding to it.
func (g *Guardian) homeReady(pool *schema.Pool) bool {
	if pool == nil || pool.GetHome() != g.config.Self.GetId() {
		return false
	}
	if pool.GetPrevious() == "" {
		return true
	}
	if p := g.peers[pool.GetPrevious()]; p != nil && p.view != nil && p.view.GetIdleSince() >= pool.GetSince() {
		return true
	}
	return g.now >= g.learnedAt(pool.GetSince())+g.config.Timing.TakeoverDelay()+g.config.ExtraTakeoverDelay
}

// onIdle records that, as of a document version, no request is in progress for pools whose home is another member.
func (g *Guardian) onIdle(version uint64) {
	if version > g.idleSince {
		g.idleSince = version
		g.dirty = true
	}
}

// applyEvictions adopts the evictions in a peer's view during an outage of the platform.
func (g *Guardian) applyEvictions(view *schema.View) {
	if view.GetVersion() != g.document.GetVersion() || g.recentlyConfirmed() || !g.isGuardian() {
		return
	}
	for _, name := range view.GetEvicted() {
		g.evict(name)
	}
}

// evict stops renewing a holder's grants at this version. It does nothing while a write is pending, because the written
// version might not account for the eviction.
func (g *Guardian) evict(name string) {
	if g.pending != nil {
		return
	}
	if !g.evicted[name] && FindHolder(g.document, name) != nil {
		g.evicted[name] = true
		g.dirty = true
	}
}

// updateEvictions evicts lost upstreams in this guardian's pools during an outage, and records which evictions all
// guardians agree on.
func (g *Guardian) updateEvictions() {
	if !g.config.Keyed || !g.isGuardian() || g.recentlyConfirmed() {
		return
	}
	if g.promisedUntil() > g.now && g.confirmedUntil() <= g.now {
		for _, h := range g.document.GetHolders() {
			if g.actsAsHome(h.GetZone()) && g.upstream(h.GetName()).down(g.now, g.config.Timing) {
				g.evict(h.GetName())
			}
		}
	}
	for name := range g.evicted {
		if _, known := g.agreedEvictions[name]; !known && g.agreedByAll(name) {
			g.agreedEvictions[name] = g.now
			g.dirty = true
		}
	}
}

func (g *Guardian) agreedByAll(name string) bool {
	for _, m := range g.document.GetGuardians() {
		if m.GetId() == g.config.Self.GetId() {
			continue
		}
		view := g.peer(m.GetId()).view
		if view == nil || view.GetVersion() != g.document.GetVersion() || !slices.Contains(view.GetEvicted(), name) {
			return false
		}
	}
	return true
}
