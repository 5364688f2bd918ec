package ownership

import (
	"slices"
	"time"

	"cuminlift/schema"
)

// confirmedRight returns until when the last proof that the document is current gives the right to grant.
func (g *Guardian) confirmedRight() time.Duration {
	if g.confirmed == never {
		return never
	}
	return g.confirmed + g.config.Timing.ConfirmationTTL
}

// promisedRight returns until when all other guardians abstain from writing. All of them acted on the same version when
// they promised, so that the table holds no newer one until then.
func (g *Guardian) promisedRight() time.Duration {
	until := -never
	for _, m := range g.document.GetGuardians() {
		if m.GetId() == g.config.Self.GetId() {
			continue
		}
		p := g.peer(m.GetId())
		until = min(until, p.held)
	}
	if until == -never {
		// The only guardian needs nobody's promise, but the platform's word once.
		return g.now + g.config.Timing.ConfirmationTTL
	}
	return until
}

// right returns until when this guardian may let an upstream hold a grant of the present document. begun is the time
// when the upstream's present run was first seen: a proof that the document was current must be younger, because a
// restarted upstream has forgotten the fences that protected it. Promises prove that it still is.
func (g *Guardian) right(begun time.Duration) time.Duration {
	if !g.member() {
		return never
	}
	until := never
	if g.confirmed >= begun {
		until = g.confirmedRight()
	}
	promised := g.promisedRight()
	// A write of its own that may have taken effect is not covered by the promises of others.
	if g.write == nil && promised > until {
		until = promised
	}
	return until
}

// fresh reports whether the platform has lately confirmed the document.
func (g *Guardian) fresh() bool {
	return g.confirmed != never && g.now-g.confirmed < g.config.Timing.ConfirmationTTL/2
}

// asking reports whether this guardian wants promises, because the platform has been silent for a while.
func (g *Guardian) asking() bool {
	if g.document.GetVersion() == 0 || !g.member() || g.confirmed == never {
		return false
	}
	return g.now-g.confirmed >= g.config.Timing.ConfirmationTTL/2
}

func (g *Guardian) confirmAge() int64 {
	if g.confirmed == never {
		return -1
	}
	return (g.now - g.confirmed).Milliseconds() + 1
}

// homeReady reports whether this guardian is the home of the pool and the one before has surely stopped.
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
	return g.now >= g.learned(pool.GetSince())+g.config.Timing.TakeoverDelay()+g.config.ExtraTakeoverDelay
}

// onIdle takes note that at document version nothing is in progress for pools whose home is another member.
func (g *Guardian) onIdle(version uint64) {
	if version > g.idleSince {
		g.idleSince = version
		g.dirty = true
	}
}

// hearEvictions follows the eviction of a holder by its home during an outage of the platform.
func (g *Guardian) hearEvictions(view *schema.View) {
	if view.GetVersion() != g.document.GetVersion() || g.fresh() || !g.member() {
		return
	}
	for _, name := range view.GetEvicted() {
		g.evict(name)
	}
}

// evict gives up renewing a holder at this version. A pending write might replace the version without knowing of it.
func (g *Guardian) evict(name string) {
	if g.write != nil {
		return
	}
	if !g.evicted[name] && FindHolder(g.document, name) != nil {
		g.evicted[name] = true
		g.dirty = true
	}
}

// updateEvictions evicts the own pools' lost upstreams in an outage, and notes which evictions all guardians follow.
func (g *Guardian) updateEvictions() {
	if !g.config.Keyed || !g.member() || g.fresh() {
		return
	}
	if g.promisedRight() > g.now && g.confirmedRight() <= g.now {
		for _, h := range g.document.GetHolders() {
			if g.actingHome(h.GetZone()) && g.upstream(h.GetName()).down(g.now, g.config.Timing) {
				g.evict(h.GetName())
			}
		}
	}
	for name := range g.evicted {
		if _, known := g.unanimous[name]; !known && g.followedByAll(name) {
			g.unanimous[name] = g.now
			g.dirty = true
		}
	}
}

func (g *Guardian) followedByAll(name string) bool {
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
