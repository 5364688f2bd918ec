package ownership

import (
	"fmt"
	"sort"
	"time"

	"cuminlift/schema"
)

// peer is what is known of another instance.
type peer struct {
	member *schema.Member
	// sent is the highest sequence sent, and sentAt the times of the latest ones, by sequence modulo its length.
	sent   uint64
	sentAt [sequencesKept]time.Duration
	// heard is when the last view came, and seen its sequence.
	heard time.Duration
	seen  uint64
	view  *schema.View
	// holders is what the peer told last of the upstreams in its pools. Views are shared and never changed.
	holders []*schema.HolderState
	// held is until when the peer surely abstains from writing.
	held time.Duration
	// asked is the lowest sequence whose promise counts; 0 before the first question at this version.
	asked uint64
	// released is the highest sequence whose promise was given back.
	released uint64
	// lastTold is when the last view was sent.
	lastTold time.Duration
	// promiseEcho is the sequence of the peer's question that the next view answers with a promise.
	promiseEcho uint64
	// row is the peer's counter in the table, and rowAt when it last changed.
	row   uint64
	rowAt time.Duration
	// documentTold is when the peer was last sent a document.
	documentTold time.Duration
	// holdersPrint is of the holder states that the peer was told last.
	holdersPrint string
	// loadsTold is the round of loads that the peer was told last.
	loadsTold uint64
}

// sequencesKept bounds the memory of when views were sent, per peer.
const sequencesKept = 64

func (p *peer) sentTime(sequence uint64) (time.Duration, bool) {
	if sequence == 0 || sequence > p.sent || p.sent-sequence >= sequencesKept {
		return 0, false
	}
	return p.sentAt[sequence%sequencesKept], true
}

func (g *Guardian) peer(id string) *peer {
	p := g.peers[id]
	if p == nil {
		p = &peer{
			heard:    never,
			rowAt:    never,
			held:     never,
			lastTold: never,
		}
		g.peers[id] = p
	}
	return p
}

// onHeard takes a view. Views may come late, twice and out of order.
func (g *Guardian) onHeard(view *schema.View) {
	if view == nil || view.GetService() != g.config.Service || view.GetFrom() == g.config.Self.GetId() {
		return
	}
	if view.GetTo() != "" && view.GetTo() != g.config.Self.GetId() {
		// It is for an earlier run at this address: its sequences and promises are not for this one.
		return
	}
	p := g.peer(view.GetFrom())
	if view.GetSequence() <= p.seen {
		return
	}
	p.seen = view.GetSequence()
	p.heard = g.now
	g.noteSightings(view.GetHolders())
	g.replan = g.replan || view.GetHoldersTold() || view.GetLeaving()
	if view.GetHoldersTold() {
		p.holders = view.GetHolders()
	}
	p.view = view
	g.takeLoads(view.GetLoads())
	if view.GetDocument() != nil {
		g.adopt(view.GetDocument(), never)
	}
	g.hearConfirmation(p, view)
	g.hearRelease(p, view)
	g.hearPromise(p, view)
	g.hearQuestion(p, view)
	g.hearEvictions(view)
	if view.GetVersion() > g.document.GetVersion() {
		// The table has what this guardian lacks.
		g.readSent = never
	}
}

// hearConfirmation uses the peer's proof that the document is current. Its age counts from the last view
// that the peer is known to have had before it answered, so that a late view proves nothing too young.
func (g *Guardian) hearConfirmation(p *peer, view *schema.View) {
	if view.GetVersion() != g.document.GetVersion() || view.GetConfirmAgeMs() < 0 {
		return
	}
	sent, known := p.sentTime(view.GetEcho())
	if !known {
		return
	}
	age := time.Duration(view.GetConfirmAgeMs()) * time.Millisecond
	g.confirm(sent - g.config.Timing.longer(age))
}

func (g *Guardian) hearPromise(p *peer, view *schema.View) {
	if view.GetPromiseMs() <= 0 || view.GetVersion() != g.document.GetVersion() {
		return
	}
	echo := view.GetPromiseEcho()
	sent, known := p.sentTime(echo)
	if !known || p.asked == 0 || echo < p.asked || echo <= p.released {
		return
	}
	until := sent + g.config.Timing.shorter(time.Duration(view.GetPromiseMs())*time.Millisecond)
	if until > p.held {
		p.held = until
	}
}

// hearQuestion promises not to write where the peer asks for it and the platform is out of reach here too.
func (g *Guardian) hearQuestion(p *peer, view *schema.View) {
	if !view.GetAsk() || view.GetVersion() != g.document.GetVersion() || !g.member() {
		return
	}
	if g.write != nil || g.fresh() || FindGuardian(g.document, view.GetFrom()) == nil {
		return
	}
	g.promised[view.GetFrom()] = promise{
		until: g.now + g.config.Timing.longer(g.config.Timing.PromiseTTL),
		echo:  view.GetSequence(),
	}
	p.promiseEcho = view.GetSequence()
}

// hearRelease gives back the peer's promises, or takes notice that the peer gave back this guardian's.
func (g *Guardian) hearRelease(p *peer, view *schema.View) {
	if view.GetRelease() && (g.confirmedRight() > g.now || view.GetVersion() > g.document.GetVersion()) {
		p.held = never
		p.released = p.sent
		p.asked = 0
		g.dirty = true
	}
	given, exists := g.promised[view.GetFrom()]
	if exists && view.GetReleased() >= given.echo {
		delete(g.promised, view.GetFrom())
	}
}

// tell sends views to all known members: at the heartbeat period, and at once after a change.
func (g *Guardian) tell() {
	if asking := g.asking(); asking != g.asked {
		g.asked = asking
		g.dirty = true
	}
	due := g.dirty && g.now-g.toldAll >= g.config.Timing.HeartbeatInterval/changeShare
	if due {
		g.dirty = false
		g.toldAll = g.now
	}
	for _, m := range g.audience() {
		p := g.peer(m.GetId())
		p.member = m
		if due || g.tellDue(p) {
			g.tellOne(p)
		}
	}
}

// tellDue reports whether a view should go to p now. Heartbeats go at the same times for all services, so that one
// message carries them all. A promise is not held back.
func (g *Guardian) tellDue(p *peer) bool {
	if p.promiseEcho != 0 && g.now-p.lastTold >= g.config.Timing.HeartbeatInterval/changeShare {
		return true
	}
	return p.lastTold == never || g.now/g.config.Timing.HeartbeatInterval != p.lastTold/g.config.Timing.HeartbeatInterval
}

// changeShare is how many times in a heartbeat period changes are told at most.
const changeShare = 20

// lacksDocument reports whether the peer has an older document and no way to read the newer one from the table.
func (g *Guardian) lacksDocument(p *peer) bool {
	if p.view == nil || p.view.GetVersion() >= g.document.GetVersion() {
		return false
	}
	if g.now-p.heard >= g.config.Timing.SuspectTimeout || g.now-p.documentTold < g.config.Timing.HeartbeatInterval {
		return false
	}
	age := time.Duration(p.view.GetConfirmAgeMs()) * time.Millisecond
	return age < 0 || age > g.config.Timing.ConfirmationTTL/2
}

// smallGroup is the number of guardians below which all known members are told.
const smallGroup = 15

// audience returns the members that views go to, sorted by id.
func (g *Guardian) audience() []*schema.Member {
	byID := map[string]*schema.Member{}
	for _, m := range g.document.GetGuardians() {
		byID[m.GetId()] = m
	}
	if len(byID) < smallGroup {
		// While there is room for more guardians, those who may become one take part.
		for _, m := range g.facts.GetMembers() {
			byID[m.GetId()] = m
		}
	}
	delete(byID, g.config.Self.GetId())
	members := make([]*schema.Member, 0, len(byID))
	for id, m := range byID {
		if !g.dead[id] {
			members = append(members, m)
		}
	}
	sort.Slice(members, func(i, j int) bool { return members[i].GetId() < members[j].GetId() })
	return members
}

func (g *Guardian) tellOne(p *peer) {
	p.sent++
	p.sentAt[p.sent%sequencesKept] = g.now
	p.lastTold = g.now
	view := &schema.View{
		Service:      g.config.Service,
		From:         g.config.Self.GetId(),
		To:           p.member.GetId(),
		Sequence:     p.sent,
		Echo:         p.seen,
		Version:      g.document.GetVersion(),
		ConfirmAgeMs: g.confirmAge(),
		Ask:          g.asking(),
		Released:     p.released,
		Evicted:      sortedNames(g.evicted),
		IdleSince:    g.idleSince,
		Leaving:      g.stopping,
	}
	if p.loadsTold != g.loadsRound && p.member.GetId() == g.firstWriter() {
		view.Loads = g.facts.GetLoads()
		p.loadsTold = g.loadsRound
	}
	g.tellHolders(p, view)
	if view.GetAsk() && p.asked == 0 {
		p.asked = p.sent
	}
	if given, exists := g.promised[p.member.GetId()]; exists {
		if p.promiseEcho != 0 {
			view.PromiseMs = g.config.Timing.PromiseTTL.Milliseconds()
			view.PromiseEcho = given.echo
			p.promiseEcho = 0
		}
		view.Release = g.fresh()
	}
	if g.lacksDocument(p) {
		view.Document = g.document
		p.documentTold = g.now
	}
	g.emit(Action{
		Send: &SendView{
			To:   p.member,
			View: view,
		},
	})
}

// holdersEvery is how many views later holder states are told again though nothing changed: a view may be lost.
const holdersEvery = 5

// tellHolders adds the states of the upstreams that this guardian keeps where they changed since the last view to p.
func (g *Guardian) tellHolders(p *peer, view *schema.View) {
	states := g.holderStates()
	print := fmt.Sprint(states)
	if print == p.holdersPrint && p.sent%holdersEvery != 0 {
		return
	}
	p.holdersPrint = print
	view.Holders = states
	view.HoldersTold = true
}

func sortedNames(set map[string]bool) []string {
	names := make([]string, 0, len(set))
	for name := range set {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// noteAlive follows the members' counters in the table. They tell a peer that is cut off from here from one that has
// ended: nothing is taken from a peer that others can reach.
func (g *Guardian) noteAlive(counters map[string]uint64) {
	for id, counter := range counters {
		if id == g.config.Self.GetId() {
			continue
		}
		p := g.peer(id)
		if p.row != counter {
			p.row = counter
			p.rowAt = g.now
		}
	}
}

// lost reports whether the peer has been silent for the suspect time, both here and in the table. A peer never heard
// counts from the start.
func (g *Guardian) lost(id string) bool {
	if id == g.config.Self.GetId() {
		return false
	}
	if g.dead[id] {
		return true
	}
	p := g.peers[id]
	if p == nil {
		return true
	}
	return g.now-p.heard >= g.config.Timing.SuspectTimeout && g.now-p.rowAt >= g.config.Timing.SuspectTimeout+g.config.Timing.PollInterval
}
