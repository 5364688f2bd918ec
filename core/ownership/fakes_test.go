package ownership_test

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sort"
	"time"

	"cuminlift/core/assign"
	"cuminlift/core/ownership"
	"cuminlift/schema"
)

const service = "calendar"

const (
	readRequest messageKind = iota
	writeRequest
	toNode
	grantRequest
)

// node is one simulated instance: a real Guardian with a clock of its own.
type node struct {
	guardian *ownership.Guardian
	member   *schema.Member
	dead     bool
	paused   bool
	// inbox holds the events that arrived during a pause.
	inbox []*schema.OwnershipEvent
	// clockPPM is how much faster than the simulation's time the clock runs, in parts per million.
	clockPPM int64
	// blocked cuts the instance off from the table. isolated cuts it off from its peers and from upstreams in other
	// zones.
	blocked  bool
	isolated bool
}

func (n *node) clock(now time.Duration) time.Duration {
	return now + time.Duration(int64(now)/1_000_000*n.clockPPM)
}

func (h *holder) clock(now time.Duration) time.Duration {
	return now + time.Duration(int64(now)/1_000_000*h.clockPPM)
}

// mutant weakens one rule of the simulation or of the Guardian, to show that the checks detect it.
type mutant struct {
	// ignoreFence makes holders accept grants with any fence.
	ignoreFence bool
	// shortWait makes guardians wait for less than the lifetime of a grant.
	shortWait bool
	// lostIsConflict reports a write whose answer was lost as one that did not take effect.
	lostIsConflict bool
	// delayedTTL counts the lifetime of a grant from its arrival instead of from its stamp.
	delayedTTL bool
}

// simulation runs a few instances and upstreams around one table, with simulated time and messages.
type simulation struct {
	now          time.Duration
	timing       ownership.Timing
	nodes        []*node
	holders      []*holder
	document     *schema.Ownership
	platformDown bool
	// answersToLose is the number of writes whose answer will be lost after they take effect.
	answersToLose int
	// aliveCounters holds the instances' counters in the table. The map is replaced, never modified.
	aliveCounters map[string]uint64
	// cutZones holds the zones whose upstreams are unreachable from other zones. The map is replaced, never modified.
	cutZones map[string]bool
	queue    []*message
	mutant   mutant
	// overlap describes the first violation found, or is empty.
	overlap string
	// writes counts the documents written.
	writes int
	// log receives a line for each write and grant. It may be nil.
	log func(format string, values ...any)
	// delay returns the delay of a message, negative if the message is lost. If nil, messages arrive at once.
	delay func(*message) time.Duration
}

func testTiming() ownership.Timing {
	return ownership.Timing{
		HeartbeatInterval: 100 * time.Millisecond,
		SuspectTimeout:    250 * time.Millisecond,
		ConfirmationTTL:   500 * time.Millisecond,
		PromiseTTL:        5 * time.Second,
		PollInterval:      100 * time.Millisecond,
		MaxDriftPPM:       10000,
	}
}

// simulationConfig configures a simulation.
type simulationConfig struct {
	nodes, holders, slices int
	zones                  int
	mutant                 mutant
	// timing defaults to testTiming.
	timing ownership.Timing
}

func newSimulation(config simulationConfig) *simulation {
	sim := &simulation{
		timing: config.timing,
		mutant: config.mutant,
	}
	if sim.timing.HeartbeatInterval == 0 {
		sim.timing = testTiming()
	}
	for i := range config.nodes {
		sim.addNode(i, fmt.Sprintf("zone-%d", i%config.zones), config.slices)
	}
	for i := range config.holders {
		sim.holders = append(sim.holders, &holder{
			name:        fmt.Sprintf("%s-%d", service, i),
			zone:        fmt.Sprintf("zone-%d", i%config.zones),
			incarnation: 1,
		})
	}
	for i := range sim.nodes {
		sim.sendFacts(i)
	}
	return sim
}

func (sm *simulation) addNode(i int, zone string, slicesPerHolder int) {
	name := fmt.Sprintf("entry-%d", i)
	member := &schema.Member{
		Id:    name + "/1",
		Name:  name,
		Zone:  zone,
		Peers: name,
	}
	timing := sm.timing
	if sm.mutant.shortWait {
		timing.MaxDriftPPM = -500000
	}
	sm.nodes = append(sm.nodes, &node{
		member: member,
		guardian: ownership.NewGuardian(ownership.Config{
			Self:    member,
			Service: service,
			Timing:  timing,
			Keyed:   true,
			Planner: assign.NewPlanner(assign.Config{
				Keyed:                  true,
				InitialSlicesPerHolder: slicesPerHolder,
			}),
		}),
	})
}

// sendFacts sends a node the list of all members and upstreams, as the platform's list and the configuration would.
// Dead nodes are listed as proved to have ended.
func (sm *simulation) sendFacts(i int) {
	facts := &schema.Facts{}
	for _, n := range sm.nodes {
		if n.dead {
			facts.Dead = append(facts.Dead, n.member.GetId())
		} else {
			facts.Members = append(facts.Members, n.member)
		}
	}
	for _, h := range sm.holders {
		facts.Upstreams = append(facts.Upstreams, &schema.ListedUpstream{
			Name:    h.name,
			Service: service,
			Zone:    h.zone,
			Address: h.name,
		})
		if h.out {
			facts.Out = append(facts.Out, &schema.Out{
				Kind: "upstream",
				Name: h.name,
			})
		}
	}
	sm.step(i, &schema.OwnershipEvent{
		Kind:  schema.EventKind_listed,
		Facts: facts,
	})
}

// setOutOfService takes a holder out of service or puts it back, and tells all nodes.
func (sm *simulation) setOutOfService(name string, out bool) {
	for _, h := range sm.holders {
		if h.name == name {
			h.out = out
		}
	}
	for i := range sm.nodes {
		sm.sendFacts(i)
	}
}

func (sm *simulation) step(i int, event *schema.OwnershipEvent) {
	n := sm.nodes[i]
	if n.dead {
		return
	}
	if n.paused {
		n.inbox = append(n.inbox, event)
		return
	}
	for _, a := range n.guardian.Step(n.clock(sm.now), event) {
		sm.execute(i, a)
	}
}

func (sm *simulation) execute(i int, a ownership.Action) {
	switch {
	case a.Read != nil:
		sm.send(&message{
			kind:    readRequest,
			node:    i,
			started: a.Read.StartedAt,
		})
	case a.Write != nil:
		sm.send(&message{
			kind: writeRequest,
			node: i,
			base: a.Write.BaseVersion,
			next: a.Write.Next,
		})
	case a.Send != nil:
		to := slices.IndexFunc(sm.nodes, func(n *node) bool { return n.member.GetId() == a.Send.To.GetId() })
		sm.send(&message{
			kind: toNode,
			node: to,
			from: i,
			event: &schema.OwnershipEvent{
				Kind: schema.EventKind_heard,
				View: a.Send.View,
			},
		})
	case a.Grant != nil:
		to := slices.IndexFunc(sm.holders, func(h *holder) bool { return h.name == a.Grant.Address })
		sm.send(&message{
			kind:     grantRequest,
			node:     i,
			from:     i,
			upstream: to,
			grant:    a.Grant.Grant,
		})
	}
}

func (sm *simulation) resume(i int) {
	n := sm.nodes[i]
	n.paused = false
	inbox := n.inbox
	n.inbox = nil
	for _, event := range inbox {
		sm.step(i, event)
		sm.checkOverlap()
	}
}

// checkOverlap records a violation if a hash has two owners.
func (sm *simulation) checkOverlap() {
	if sm.overlap != "" || sm.document == nil {
		return
	}
	for _, s := range sm.document.GetSlices() {
		owners := sm.owners(s.GetStart())
		if len(owners) > 1 {
			sm.overlap = fmt.Sprintf("at %v hash %016x is owned by %v", sm.now, s.GetStart(), owners)
			return
		}
	}
}

func (sm *simulation) owners(hash uint64) []string {
	var owners []string
	for _, h := range sm.holders {
		if h.owns(sm.now, hash) {
			owners = append(owners, h.name)
		}
	}
	return owners
}

// unowned returns the number of slices without an owner, or 1 if there are no slices.
func (sm *simulation) unowned() int {
	n := 0
	for _, s := range sm.document.GetSlices() {
		if len(sm.owners(s.GetStart())) == 0 {
			n++
		}
	}
	if len(sm.document.GetSlices()) == 0 {
		return 1
	}
	return n
}

// tick advances the time and sends each instance a tick event.
func (sm *simulation) tick(d time.Duration) {
	sm.now += d
	sm.countAlive(d)
	for i := range sm.nodes {
		sm.step(i, &schema.OwnershipEvent{
			Kind: schema.EventKind_tick,
		})
	}
	sm.checkOverlap()
}

// countAlive increments the counters of the instances that reach the table.
func (sm *simulation) countAlive(d time.Duration) {
	if sm.now/sm.timing.HeartbeatInterval == (sm.now-d)/sm.timing.HeartbeatInterval || sm.platformDown {
		return
	}
	next := maps.Clone(sm.aliveCounters)
	if next == nil {
		next = map[string]uint64{}
	}
	for _, n := range sm.nodes {
		if !n.dead && !n.paused && !n.blocked {
			next[n.member.GetId()]++
		}
	}
	sm.aliveCounters = next
}

// run delivers messages and ticks until the given time.
func (sm *simulation) run(until, quantum time.Duration) {
	for sm.now < until {
		sm.deliverDue()
		sm.tick(quantum)
	}
	sm.deliverDue()
}

// clone returns a copy that can be continued independently.
func (sm *simulation) clone() *simulation {
	c := *sm
	c.nodes = make([]*node, len(sm.nodes))
	for i, n := range sm.nodes {
		copied := *n
		copied.guardian = n.guardian.Clone()
		copied.inbox = slices.Clone(n.inbox)
		c.nodes[i] = &copied
	}
	c.holders = make([]*holder, len(sm.holders))
	for i, h := range sm.holders {
		copied := *h
		copied.inbox = slices.Clone(h.inbox)
		c.holders[i] = &copied
	}
	c.queue = slices.Clone(sm.queue)
	return &c
}

// fingerprint writes all state that the further course depends on.
func (sm *simulation) fingerprint(out io.Writer) {
	fmt.Fprintln(out, sm.now, sm.document.GetVersion(), sm.platformDown, sm.answersToLose, sm.aliveCounters)
	for _, n := range sm.nodes {
		fmt.Fprintln(out, n.dead, n.paused, len(n.inbox), n.blocked, n.isolated)
		n.guardian.Fingerprint(out)
	}
	for _, h := range sm.holders {
		fmt.Fprintln(out, h.incarnation, h.fence, h.rangeSet, len(h.ranges), h.expires, h.dead, h.frozen, h.out, len(h.inbox))
	}
	lines := make([]string, 0, len(sm.queue))
	for _, m := range sm.queue {
		lines = append(lines, fmt.Sprint(m.kind, m.node, m.from, m.upstream, m.due, m.base, m.started, m.grant.GetSequence(), m.event))
	}
	sort.Strings(lines)
	fmt.Fprintln(out, lines)
}
