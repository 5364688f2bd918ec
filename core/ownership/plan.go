package ownership

import (
	"sort"
	"time"

	"cuminlift/schema"
)

// plan computes the next document and writes it, if this guardian may write now.
func (g *Guardian) plan() {
	if g.pending != nil || g.config.Planner == nil {
		return
	}
	if !g.replan && g.now-g.lastPlanAt < g.config.Timing.HeartbeatInterval/plansPerHeartbeat {
		return
	}
	if !g.mayWrite() {
		return
	}
	g.lastPlanAt = g.now
	g.replan = false
	next := g.config.Planner.Plan(g.document, g.planInput())
	if next == nil {
		return
	}
	next.Service = g.config.Service
	next.Version = g.document.GetVersion() + 1
	next.Writer = g.config.Self.GetId()
	g.pending = &pendingWrite{
		base: g.document.GetVersion(),
		next: next,
	}
	g.sendWrite()
}

// plansPerHeartbeat is the number of plans per heartbeat interval when no event calls for one.
const plansPerHeartbeat = 2

// mayWrite reports whether this guardian is the one that plans, is not bound by a promise, and knows the table's
// version.
func (g *Guardian) mayWrite() bool {
	if g.document.GetVersion() == 0 {
		return g.documentAbsent && !g.stopping && len(g.facts.GetMembers()) > 0
	}
	if g.boundByPromise() || !g.recentlyConfirmed() {
		return false
	}
	if !g.isGuardian() {
		return g.mayBecomeGuardian()
	}
	return g.canJudgeLiveness() && g.plannerID() == g.config.Self.GetId()
}

// listenPeriods is the number of suspect timeouts that a guardian listens before it declares others lost: after it
// became a guardian, after it was isolated, and after a pause.
const listenPeriods = 2

// canJudgeLiveness reports whether this guardian has listened long enough to determine which peers are lost.
func (g *Guardian) canJudgeLiveness() bool {
	return g.now-g.listeningSince >= listenPeriods*g.config.Timing.SuspectTimeout
}

// updateListening restarts the listening period if this guardian may have missed messages: after a pause, while it is
// not a guardian, and when it hears a peer again after all were lost.
func (g *Guardian) updateListening(previousStepAt time.Duration) {
	if g.now-previousStepAt >= g.config.Timing.SuspectTimeout || !g.isGuardian() {
		g.listeningSince = g.now
	}
	isolated := true
	for _, m := range g.document.GetGuardians() {
		if m.GetId() != g.config.Self.GetId() && !g.isLost(m.GetId()) {
			isolated = false
		}
	}
	if g.isolated && !isolated {
		g.listeningSince = g.now
	}
	g.isolated = isolated
}

// mayBecomeGuardian reports whether this instance may make itself a guardian. All current guardians must be proved to
// have ended, because any of them may have promised a lost peer not to write.
func (g *Guardian) mayBecomeGuardian() bool {
	if g.stopping {
		return false
	}
	for _, m := range g.document.GetGuardians() {
		if !g.dead[m.GetId()] {
			return false
		}
	}
	return true
}

// plannerID returns the id of the guardian that plans: the first live guardian that is not leaving, or otherwise the
// first live one.
func (g *Guardian) plannerID() string {
	var ids []string
	var leaving []string
	for _, m := range g.document.GetGuardians() {
		if g.isLost(m.GetId()) {
			continue
		}
		if g.leaving(m.GetId()) {
			leaving = append(leaving, m.GetId())
			continue
		}
		ids = append(ids, m.GetId())
	}
	ids = append(ids, leaving...)
	if len(ids) == 0 {
		return ""
	}
	return ids[0]
}

func (g *Guardian) leaving(id string) bool {
	if id == g.config.Self.GetId() {
		return g.stopping
	}
	p := g.peers[id]
	return p != nil && p.view.GetLeaving()
}

// removalPeriods is the number of suspect timeouts of silence after which a guardian is removed from the document.
const removalPeriods = 4

func (g *Guardian) planInput() PlanInput {
	input := PlanInput{
		RemovableGuardians: map[string]bool{},
		Upstreams:          g.facts.GetUpstreams(),
		Down:               map[string]bool{},
		Alive:              map[string]bool{},
		Out:                g.facts.GetOut(),
		Evicted:            g.evicted,
		Loads:              g.loads,
		HandoversComplete:  g.handoversComplete(),
	}
	g.addPlanMembers(&input)
	for _, h := range g.document.GetHolders() {
		alive, known := g.holderAlive(h)
		if known && alive {
			input.Alive[h.GetName()] = true
		}
		if known && !alive {
			input.Down[h.GetName()] = true
		}
	}
	return input
}

// addPlanMembers adds the members that the plan may use and the guardians that it may remove.
func (g *Guardian) addPlanMembers(input *PlanInput) {
	if !g.stopping {
		input.Members = append(input.Members, g.config.Self)
	}
	for _, m := range g.viewRecipients() {
		if !g.isLost(m.GetId()) && !g.leaving(m.GetId()) {
			input.Members = append(input.Members, m)
		}
	}
	sort.Slice(input.Members, func(i, j int) bool { return input.Members[i].GetId() < input.Members[j].GetId() })
	for _, m := range g.document.GetGuardians() {
		id := m.GetId()
		p := g.peers[id]
		silent := p != nil && p.lastViewAt != never && g.isLost(id) && g.now-p.lastViewAt >= removalPeriods*g.config.Timing.SuspectTimeout
		unheard := p == nil || (p.lastViewAt == never && g.now-g.adoptedAt() >= removalPeriods*g.config.Timing.SuspectTimeout)
		gone := id != g.config.Self.GetId() && (silent || unheard)
		if g.dead[id] || gone || (g.leaving(id) && (g.servesNoPool(id) || len(input.Members) == 0)) {
			input.RemovableGuardians[id] = true
		}
	}
}

// adoptedAt returns when the current document was adopted.
func (g *Guardian) adoptedAt() time.Duration {
	if len(g.adoptions) == 0 {
		return g.now
	}
	return g.adoptions[len(g.adoptions)-1].at
}

func (g *Guardian) servesNoPool(id string) bool {
	for _, p := range g.document.GetPools() {
		if p.GetHome() == id {
			return false
		}
	}
	return true
}

// holderAlive returns what the holder's home knows about its liveness.
func (g *Guardian) holderAlive(h *schema.Holder) (alive, known bool) {
	if g.actsAsHome(h.GetZone()) {
		u := g.upstream(h.GetName())
		return u.alive(g.now, g.config.Timing), u.alive(g.now, g.config.Timing) || u.down(g.now, g.config.Timing)
	}
	pool := FindPool(g.document, h.GetZone())
	p := g.peers[pool.GetHome()]
	if p == nil || p.view == nil || g.isLost(pool.GetHome()) {
		return false, false
	}
	for _, state := range p.holders {
		if state.GetHolder() == h.GetName() {
			return state.GetAlive(), true
		}
	}
	return false, false
}

func (g *Guardian) handoversComplete() bool {
	for _, s := range g.document.GetSlices() {
		if len(s.GetPrevious()) > 0 && !g.earlierGrantsEnded(s) {
			return false
		}
	}
	return true
}
