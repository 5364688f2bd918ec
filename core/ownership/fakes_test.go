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

// node is one instance: real decisions behind a clock of its own.
type node struct {
	guardian *ownership.Guardian
	member   *schema.Member
	dead     bool
	paused   bool
	// inbox holds what came during a pause.
	inbox []*schema.OwnershipEvent
	// ppm is how much faster than the world's the clock runs.
	ppm int64
	// blocked cuts it from the table, isolated from peers, and severed from upstreams of other zones too.
	blocked  bool
	isolated bool
}

func (n *node) clock(now time.Duration) time.Duration {
	return now + time.Duration(int64(now)/1_000_000*n.ppm)
}

func (h *holder) clock(now time.Duration) time.Duration {
	return now + time.Duration(int64(now)/1_000_000*h.ppm)
}

// mutant weakens one rule of the world or of the decisions, to show that the checks can fail.
type mutant struct {
	// ignoreFence makes holders take grants of any fence.
	ignoreFence bool
	// shortWait makes guardians wait for less than a grant can last.
	shortWait bool
	// lostIsConflict reports a write with a lost answer as one that did not take effect.
	lostIsConflict bool
	// delayedTTL lets a grant last from its arrival, not from the stamp.
	delayedTTL bool
}

// world is a handful of instances and upstreams around one table.
type world struct {
	now      time.Duration
	timing   ownership.Timing
	nodes    []*node
	holders  []*holder
	document *schema.Ownership
	down     bool
	// loseAnswers is the number of writes whose answer is lost after they took effect.
	loseAnswers int
	// alive holds the instances' counters in the table. It is replaced, never changed.
	alive map[string]uint64
	// cutZones holds zones whose upstreams are out of reach from other zones. It is replaced, never changed.
	cutZones map[string]bool
	queue    []*message
	mutant   mutant
	// overlap is the first violation seen.
	overlap string
	// assignments counts documents written.
	writes int
	// log takes a line for each write and grant, nil for none.
	log func(format string, values ...any)
	// delay returns the delay of a message, or a negative one for a loss. Nil delivers at once.
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

// worldConfig says what to build.
type worldConfig struct {
	nodes, holders, slices int
	zones                  int
	mutant                 mutant
	// separateHolders gives each holder the zone of its number, whatever the number of zones of the instances.
	timing ownership.Timing
}

func newWorld(config worldConfig) *world {
	w := &world{
		timing: config.timing,
		mutant: config.mutant,
	}
	if w.timing.HeartbeatInterval == 0 {
		w.timing = testTiming()
	}
	for i := range config.nodes {
		w.addNode(i, fmt.Sprintf("zone-%d", i%config.zones), config.slices)
	}
	for i := range config.holders {
		w.holders = append(w.holders, &holder{
			name:        fmt.Sprintf("%s-%d", service, i),
			zone:        fmt.Sprintf("zone-%d", i%config.zones),
			incarnation: 1,
		})
	}
	for i := range w.nodes {
		w.list(i)
	}
	return w
}

func (w *world) addNode(i int, zone string, slicesPerHolder int) {
	name := fmt.Sprintf("entry-%d", i)
	member := &schema.Member{
		Id:    name + "/1",
		Name:  name,
		Zone:  zone,
		Peers: name,
	}
	timing := w.timing
	if w.mutant.shortWait {
		timing.MaxDriftPPM = -500000
	}
	w.nodes = append(w.nodes, &node{
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

// list tells a node of all members and upstreams, as the platform's list and the configuration would. Nodes that are
// dead count as proved to have ended.
func (w *world) list(i int) {
	facts := &schema.Facts{}
	for _, n := range w.nodes {
		if n.dead {
			facts.Dead = append(facts.Dead, n.member.GetId())
		} else {
			facts.Members = append(facts.Members, n.member)
		}
	}
	for _, h := range w.holders {
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
	w.step(i, &schema.OwnershipEvent{
		Kind:  schema.EventKind_listed,
		Facts: facts,
	})
}

// setOut takes a holder out of service, or back, and tells all nodes.
func (w *world) setOut(name string, out bool) {
	for _, h := range w.holders {
		if h.name == name {
			h.out = out
		}
	}
	for i := range w.nodes {
		w.list(i)
	}
}

func (w *world) step(i int, event *schema.OwnershipEvent) {
	n := w.nodes[i]
	if n.dead {
		return
	}
	if n.paused {
		n.inbox = append(n.inbox, event)
		return
	}
	for _, a := range n.guardian.Step(n.clock(w.now), event) {
		w.perform(i, a)
	}
}

func (w *world) perform(i int, a ownership.Action) {
	switch {
	case a.Read != nil:
		w.send(&message{
			kind:    readRequest,
			node:    i,
			started: a.Read.StartedAt,
		})
	case a.Write != nil:
		w.send(&message{
			kind: writeRequest,
			node: i,
			base: a.Write.BaseVersion,
			next: a.Write.Next,
		})
	case a.Send != nil:
		to := slices.IndexFunc(w.nodes, func(n *node) bool { return n.member.GetId() == a.Send.To.GetId() })
		w.send(&message{
			kind: toNode,
			node: to,
			from: i,
			event: &schema.OwnershipEvent{
				Kind: schema.EventKind_heard,
				View: a.Send.View,
			},
		})
	case a.Grant != nil:
		to := slices.IndexFunc(w.holders, func(h *holder) bool { return h.name == a.Grant.Address })
		w.send(&message{
			kind:     grantRequest,
			node:     i,
			from:     i,
			upstream: to,
			grant:    a.Grant.Grant,
		})
	}
}

func (w *world) resume(i int) {
	n := w.nodes[i]
	n.paused = false
	inbox := n.inbox
	n.inbox = nil
	for _, event := range inbox {
		w.step(i, event)
		w.check()
	}
}

// check looks for a hash with two owners.
func (w *world) check() {
	if w.overlap != "" || w.document == nil {
		return
	}
	for _, s := range w.document.GetSlices() {
		owners := w.owners(s.GetStart())
		if len(owners) > 1 {
			w.overlap = fmt.Sprintf("at %v hash %016x is owned by %v", w.now, s.GetStart(), owners)
			return
		}
	}
}

func (w *world) owners(hash uint64) []string {
	var owners []string
	for _, h := range w.holders {
		if h.owns(w.now, hash) {
			owners = append(owners, h.name)
		}
	}
	return owners
}

// unowned returns the number of slices without an owner.
func (w *world) unowned() int {
	n := 0
	for _, s := range w.document.GetSlices() {
		if len(w.owners(s.GetStart())) == 0 {
			n++
		}
	}
	if len(w.document.GetSlices()) == 0 {
		return 1
	}
	return n
}

// tick lets time pass and wakes the instances.
func (w *world) tick(d time.Duration) {
	w.now += d
	w.countAlive(d)
	for i := range w.nodes {
		w.step(i, &schema.OwnershipEvent{
			Kind: schema.EventKind_tick,
		})
	}
	w.check()
}

// countAlive writes the counters of the instances that reach the table.
func (w *world) countAlive(d time.Duration) {
	if w.now/w.timing.HeartbeatInterval == (w.now-d)/w.timing.HeartbeatInterval || w.down {
		return
	}
	next := maps.Clone(w.alive)
	if next == nil {
		next = map[string]uint64{}
	}
	for _, n := range w.nodes {
		if !n.dead && !n.paused && !n.blocked {
			next[n.member.GetId()]++
		}
	}
	w.alive = next
}

// run settles and ticks until a time.
func (w *world) run(until, quantum time.Duration) {
	for w.now < until {
		w.settle()
		w.tick(quantum)
	}
	w.settle()
}

// clone returns a copy that can go another way.
func (w *world) clone() *world {
	c := *w
	c.nodes = make([]*node, len(w.nodes))
	for i, n := range w.nodes {
		copied := *n
		copied.guardian = n.guardian.Clone()
		copied.inbox = slices.Clone(n.inbox)
		c.nodes[i] = &copied
	}
	c.holders = make([]*holder, len(w.holders))
	for i, h := range w.holders {
		copied := *h
		copied.inbox = slices.Clone(h.inbox)
		c.holders[i] = &copied
	}
	c.queue = slices.Clone(w.queue)
	return &c
}

// fingerprint writes all that the future depends on.
func (w *world) fingerprint(out io.Writer) {
	fmt.Fprintln(out, w.now, w.document.GetVersion(), w.down, w.loseAnswers, w.alive)
	for _, n := range w.nodes {
		fmt.Fprintln(out, n.dead, n.paused, len(n.inbox), n.blocked, n.isolated)
		n.guardian.Fingerprint(out)
	}
	for _, h := range w.holders {
		fmt.Fprintln(out, h.incarnation, h.fence, h.set, len(h.ranges), h.expires, h.dead, h.frozen, h.out, len(h.inbox))
	}
	lines := make([]string, 0, len(w.queue))
	for _, m := range w.queue {
		lines = append(lines, fmt.Sprint(m.kind, m.node, m.from, m.upstream, m.due, m.base, m.started, m.grant.GetSequence(), m.event))
	}
	sort.Strings(lines)
	fmt.Fprintln(out, lines)
}
