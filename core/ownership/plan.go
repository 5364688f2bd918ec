package ownership

import (
	"sort"
	"time"

	"cuminlift/schema"
)

// plan writes the next document where this guardian is the one to do it and nothing forbids it.
func (g *Guardian) plan() {
	if g.write != nil || g.config.Planner == nil {
		return
	}
	if !g.replan && g.now-g.planned < g.config.Timing.HeartbeatInterval/planShare {
		return
	}
	if !g.mayWrite() {
		return
	}
	g.planned = g.now
	g.replan = false
	next := g.config.Planner.Plan(g.document, g.planFacts())
	if next == nil {
		return
	}
	next.Service = g.config.Service
	next.Version = g.document.GetVersion() + 1
	next.Writer = g.config.Self.GetId()
	g.write = &pendingWrite{
		base: g.document.GetVersion(),
		next: next,
	}
	g.sendWrite()
}

// planShare is how many times in a heartbeat period a plan is made where no news asks for one.
const planShare = 2

// mayWrite reports whether this guardian is the first one alive, is free of promises, and knows the table's version.
func (g *Guardian) mayWrite() bool {
	if g.document.GetVersion() == 0 {
		return g.absent && !g.stopping && len(g.facts.GetMembers()) > 0
	}
	if g.bound() || !g.fresh() {
		return false
	}
	if !g.member() {
		return g.mayEnter()
	}
	return g.steady() && g.firstWriter() == g.config.Self.GetId()
}

// steadyAfter is how many suspect times a guardian listens before it judges others: after it joined, after it was cut
// off from all, and after a pause.
const steadyAfter = 2

// steady reports whether this guardian has listened for long enough to tell who is lost.
func (g *Guardian) steady() bool {
	return g.now-g.listening >= steadyAfter*g.config.Timing.SuspectTimeout
}

// updateListening starts the time of listening anew where this guardian may have missed what others said: after a
// pause, after it joined, and when it hears again after all were lost.
func (g *Guardian) updateListening(before time.Duration) {
	if g.now-before >= g.config.Timing.SuspectTimeout || !g.member() {
		g.listening = g.now
	}
	alone := true
	for _, m := range g.document.GetGuardians() {
		if m.GetId() != g.config.Self.GetId() && !g.lost(m.GetId()) {
			alone = false
		}
	}
	if g.alone && !alone {
		g.listening = g.now
	}
	g.alone = alone
}

// mayEnter reports whether this instance may make itself a guardian: only where all guardians are proved to have
// ended, since each of them may have promised a lost one not to write.
func (g *Guardian) mayEnter() bool {
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

// firstWriter returns the id of the guardian that plans: the first one alive that does not stop, or else the first alive.
func (g *Guardian) firstWriter() string {
	var ids []string
	var leaving []string
	for _, m := range g.document.GetGuardians() {
		if g.lost(m.GetId()) {
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

// removeAfter is how many suspect times a guardian is silent before it is taken off the list of guardians.
const removeAfter = 4

func (g *Guardian) planFacts() PlanInput {
	facts := PlanInput{
		RemovableGuardians: map[string]bool{},
		Upstreams:          g.facts.GetUpstreams(),
		Down:               map[string]bool{},
		Alive:              map[string]bool{},
		Out:                g.facts.GetOut(),
		Evicted:            g.evicted,
		Loads:              g.loads,
		HandoversComplete:  g.settled(),
	}
	g.planMembers(&facts)
	for _, h := range g.document.GetHolders() {
		alive, known := g.holderAlive(h)
		if known && alive {
			facts.Alive[h.GetName()] = true
		}
		if known && !alive {
			facts.Down[h.GetName()] = true
		}
	}
	return facts
}

func (g *Guardian) planMembers(facts *PlanInput) {
	if !g.stopping {
		facts.Members = append(facts.Members, g.config.Self)
	}
	for _, m := range g.audience() {
		if !g.lost(m.GetId()) && !g.leaving(m.GetId()) {
			facts.Members = append(facts.Members, m)
		}
	}
	sort.Slice(facts.Members, func(i, j int) bool { return facts.Members[i].GetId() < facts.Members[j].GetId() })
	for _, m := range g.document.GetGuardians() {
		id := m.GetId()
		p := g.peers[id]
		silent := p != nil && p.heard != never && g.lost(id) && g.now-p.heard >= removeAfter*g.config.Timing.SuspectTimeout
		unheard := p == nil || (p.heard == never && g.now-g.adopted() >= removeAfter*g.config.Timing.SuspectTimeout)
		gone := id != g.config.Self.GetId() && (silent || unheard)
		if g.dead[id] || gone || (g.leaving(id) && (g.homeless(id) || len(facts.Members) == 0)) {
			facts.RemovableGuardians[id] = true
		}
	}
}

// adopted returns when the present document was learned.
func (g *Guardian) adopted() time.Duration {
	if len(g.adoptions) == 0 {
		return g.now
	}
	return g.adoptions[len(g.adoptions)-1].at
}

func (g *Guardian) homeless(id string) bool {
	for _, p := range g.document.GetPools() {
		if p.GetHome() == id {
			return false
		}
	}
	return true
}

// holderAlive returns what the holder's home knows of it.
func (g *Guardian) holderAlive(h *schema.Holder) (alive, known bool) {
	if g.actingHome(h.GetZone()) {
		u := g.upstream(h.GetName())
		return u.alive(g.now, g.config.Timing), u.alive(g.now, g.config.Timing) || u.down(g.now, g.config.Timing)
	}
	pool := FindPool(g.document, h.GetZone())
	p := g.peers[pool.GetHome()]
	if p == nil || p.view == nil || g.lost(pool.GetHome()) {
		return false, false
	}
	for _, state := range p.holders {
		if state.GetHolder() == h.GetName() {
			return state.GetAlive(), true
		}
	}
	return false, false
}

func (g *Guardian) settled() bool {
	for _, s := range g.document.GetSlices() {
		if len(s.GetPrevious()) > 0 && !g.freed(s) {
			return false
		}
	}
	return true
}
