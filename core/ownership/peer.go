package ownership

import (
	"fmt"
	"sort"
	"time"

	"cuminlift/schema"
)

// peer is the state for another instance.
type peer struct {
	member *schema.Member
	// lastSent is the highest sequence sent to the peer. sentAt is a ring buffer of the latest send times, indexed by
	// sequence.
	lastSent uint64
	sentAt   [sentTimesKept]time.Duration
	// lastViewAt is when the last view was received, and lastSeenSequence is its sequence.
	lastViewAt       time.Duration
	lastSeenSequence uint64
	view             *schema.View
	// holders is the latest upstream states that the peer reported for its pools. Views are shared and must not be
	// modified.
	holders []*schema.HolderState
	// abstainsUntil is the time until which the peer is guaranteed not to write.
	abstainsUntil time.Duration
	// firstPromiseRequest is the lowest sequence whose promise counts, or 0 before the first request at this version.
	firstPromiseRequest uint64
	// releasedSequence is the highest sequence whose promise was released.
	releasedSequence uint64
	// lastViewSentAt is when the last view was sent.
	lastViewSentAt time.Duration
	// promiseEcho is the sequence of the peer's request that the next view answers with a promise.
	promiseEcho uint64
	// aliveCounter is the peer's counter in the table, and aliveChangedAt is when it last changed.
	aliveCounter   uint64
	aliveChangedAt time.Duration
	// documentSentAt is when the peer was last sent a document.
	documentSentAt time.Duration
	// lastHolderStates holds the formatted holder states that the peer was last sent.
	lastHolderStates string
	// loadsVersionSent is the loadsVersion that the peer was last sent.
	loadsVersionSent uint64
}

// sentTimesKept bounds the number of view send times that are kept per peer.
const sentTimesKept = 64

func (p *peer) sentTime(sequence uint64) (time.Duration, bool) {
	if sequence == 0 || sequence > p.lastSent || p.lastSent-sequence >= sentTimesKept {
		return 0, false
	}
	return p.sentAt[sequence%sentTimesKept], true
}

func (g *Guardian) peer(id string) *peer {
	p := g.peers[id]
	if p == nil {
		p = &peer{
			lastViewAt:     never,
			aliveChangedAt: never,
			abstainsUntil:  never,
			lastViewSentAt: never,
		}
		g.peers[id] = p
	}
	return p
}

// onView processes a view from a peer. Views may arrive late, more than once and out of order.
func (g *Guardian) onView(view *schema.View) {
	if view == nil || view.GetService() != g.config.Service || view.GetFrom() == g.config.Self.GetId() {
		return
	}
	if view.GetTo() != "" && view.GetTo() != g.config.Self.GetId() {
		// The view is for an earlier process at this address, whose sequences and promises do not apply to this one.
		return
	}
	p := g.peer(view.GetFrom())
	if view.GetSequence() <= p.lastSeenSequence {
		return
	}
	p.lastSeenSequence = view.GetSequence()
	p.lastViewAt = g.now
	g.recordIncarnations(view.GetHolders())
	g.replan = g.replan || view.GetHoldersTold() || view.GetLeaving()
	if view.GetHoldersTold() {
		p.holders = view.GetHolders()
	}
	p.view = view
	g.mergeLoads(view.GetLoads())
	if view.GetDocument() != nil {
		g.adopt(view.GetDocument(), never)
	}
	g.applyConfirmation(p, view)
	g.applyRelease(p, view)
	g.applyPromise(p, view)
	g.answerPromiseRequest(p, view)
	g.applyEvictions(view)
	if view.GetVersion() > g.document.GetVersion() {
		// The table has a version that this guardian lacks, so it reads at once.
		g.readSentAt = never
	}
}

// applyConfirmation uses the peer's confirmation that the document is current. Its age counts from the last view that
// the peer had received when it answered, so that a delayed view cannot make the confirmation appear younger than it
// is.
func (g *Guardian) applyConfirmation(p *peer, view *schema.View) {
	if view.GetVersion() != g.document.GetVersion() || view.GetConfirmAgeMs() < 0 {
		return
	}
	sent, known := p.sentTime(view.GetEcho())
	if !known {
		return
	}
	age := time.Duration(view.GetConfirmAgeMs()) * time.Millisecond
	g.confirm(sent - g.config.Timing.padForDrift(age))
}

func (g *Guardian) applyPromise(p *peer, view *schema.View) {
	if view.GetPromiseMs() <= 0 || view.GetVersion() != g.document.GetVersion() {
		return
	}
	echo := view.GetPromiseEcho()
	sent, known := p.sentTime(echo)
	if !known || p.firstPromiseRequest == 0 || echo < p.firstPromiseRequest || echo <= p.releasedSequence {
		return
	}
	until := sent + g.config.Timing.trimForDrift(time.Duration(view.GetPromiseMs())*time.Millisecond)
	if until > p.abstainsUntil {
		p.abstainsUntil = until
	}
}

// answerPromiseRequest promises not to write if the peer requests it and the platform is also unreachable from here.
func (g *Guardian) answerPromiseRequest(p *peer, view *schema.View) {
	if !view.GetAsk() || view.GetVersion() != g.document.GetVersion() || !g.isGuardian() {
		return
	}
	if g.pending != nil || g.recentlyConfirmed() || FindGuardian(g.document, view.GetFrom()) == nil {
		return
	}
	g.promisesGiven[view.GetFrom()] = promise{
		until: g.now + g.config.Timing.padForDrift(g.config.Timing.PromiseTTL),
		echo:  view.GetSequence(),
	}
	p.promiseEcho = view.GetSequence()
}

// applyRelease drops the peer's promises if the peer asks for it and they are no longer needed. It also drops this
// guardian's promise to the peer once the peer has released it.
func (g *Guardian) applyRelease(p *peer, view *schema.View) {
	if view.GetRelease() && (g.confirmedUntil() > g.now || view.GetVersion() > g.document.GetVersion()) {
		p.abstainsUntil = never
		p.releasedSequence = p.lastSent
		p.firstPromiseRequest = 0
		g.dirty = true
	}
	given, exists := g.promisesGiven[view.GetFrom()]
	if exists && view.GetReleased() >= given.echo {
		delete(g.promisesGiven, view.GetFrom())
	}
}

// sendViews sends views to all recipients once per heartbeat interval, and soon after a change.
func (g *Guardian) sendViews() {
	if needsPromises := g.needsPromises(); needsPromises != g.requestingPromises {
		g.requestingPromises = needsPromises
		g.dirty = true
	}
	due := g.dirty && g.now-g.lastBroadcastAt >= g.config.Timing.HeartbeatInterval/changesPerHeartbeat
	if due {
		g.dirty = false
		g.lastBroadcastAt = g.now
	}
	for _, m := range g.viewRecipients() {
		p := g.peer(m.GetId())
		p.member = m
		if due || g.viewDue(p) {
			g.sendView(p)
		}
	}
}

// viewDue reports whether p should be sent a view now. Heartbeats of all services fall on the same times, so that one
// message carries them all. A promise does not wait for the next heartbeat.
func (g *Guardian) viewDue(p *peer) bool {
	if p.promiseEcho != 0 && g.now-p.lastViewSentAt >= g.config.Timing.HeartbeatInterval/changesPerHeartbeat {
		return true
	}
	return p.lastViewSentAt == never || g.now/g.config.Timing.HeartbeatInterval != p.lastViewSentAt/g.config.Timing.HeartbeatInterval
}

// changesPerHeartbeat bounds how often changes are sent within a heartbeat interval.
const changesPerHeartbeat = 20

// needsDocument reports whether the peer has an older document and cannot read the newer one from the table.
func (g *Guardian) needsDocument(p *peer) bool {
	if p.view == nil || p.view.GetVersion() >= g.document.GetVersion() {
		return false
	}
	if g.now-p.lastViewAt >= g.config.Timing.SuspectTimeout || g.now-p.documentSentAt < g.config.Timing.HeartbeatInterval {
		return false
	}
	age := time.Duration(p.view.GetConfirmAgeMs()) * time.Millisecond
	return age < 0 || age > g.config.Timing.ConfirmationTTL/2
}

// fullBroadcastLimit is the number of guardians below which views go to all known members.
const fullBroadcastLimit = 15

// viewRecipients returns the members that views are sent to, sorted by id.
func (g *Guardian) viewRecipients() []*schema.Member {
	byID := map[string]*schema.Member{}
	for _, m := range g.document.GetGuardians() {
		byID[m.GetId()] = m
	}
	if len(byID) < fullBroadcastLimit {
		// While more guardians are allowed, members that may become one receive views too.
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

func (g *Guardian) sendView(p *peer) {
	p.lastSent++
	p.sentAt[p.lastSent%sentTimesKept] = g.now
	p.lastViewSentAt = g.now
	view := &schema.View{
		Service:      g.config.Service,
		From:         g.config.Self.GetId(),
		To:           p.member.GetId(),
		Sequence:     p.lastSent,
		Echo:         p.lastSeenSequence,
		Version:      g.document.GetVersion(),
		ConfirmAgeMs: g.confirmationAgeMs(),
		Ask:          g.needsPromises(),
		Released:     p.releasedSequence,
		Evicted:      sortedNames(g.evicted),
		IdleSince:    g.idleSince,
		Leaving:      g.stopping,
	}
	if p.loadsVersionSent != g.loadsVersion && p.member.GetId() == g.plannerID() {
		view.Loads = g.facts.GetLoads()
		p.loadsVersionSent = g.loadsVersion
	}
	g.addHolderStates(p, view)
	if view.GetAsk() && p.firstPromiseRequest == 0 {
		p.firstPromiseRequest = p.lastSent
	}
	if given, exists := g.promisesGiven[p.member.GetId()]; exists {
		if p.promiseEcho != 0 {
			view.PromiseMs = g.config.Timing.PromiseTTL.Milliseconds()
			view.PromiseEcho = given.echo
			p.promiseEcho = 0
		}
		view.Release = g.recentlyConfirmed()
	}
	if g.needsDocument(p) {
		view.Document = g.document
		p.documentSentAt = g.now
	}
	g.emit(Action{
		Send: &SendView{
			To:   p.member,
			View: view,
		},
	})
}

// holderStatesPeriod is the number of views after which unchanged holder states are sent again, because a view may be
// lost.
const holderStatesPeriod = 5

// addHolderStates adds the states of the upstreams for which this guardian acts as home, if they changed since the last
// view to p.
func (g *Guardian) addHolderStates(p *peer, view *schema.View) {
	states := g.holderStates()
	formatted := fmt.Sprint(states)
	if formatted == p.lastHolderStates && p.lastSent%holderStatesPeriod != 0 {
		return
	}
	p.lastHolderStates = formatted
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

// updateLiveness records the members' counters in the table. They distinguish a peer that is unreachable from here from
// one that has ended, so that a peer that others can still reach loses nothing.
func (g *Guardian) updateLiveness(counters map[string]uint64) {
	for id, counter := range counters {
		if id == g.config.Self.GetId() {
			continue
		}
		p := g.peer(id)
		if p.aliveCounter != counter {
			p.aliveCounter = counter
			p.aliveChangedAt = g.now
		}
	}
}

// isLost reports whether the peer has been silent for the suspect timeout, both in its views and in the table. A peer
// that was never heard from counts as silent from the start.
func (g *Guardian) isLost(id string) bool {
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
	return g.now-p.lastViewAt >= g.config.Timing.SuspectTimeout &&
		g.now-p.aliveChangedAt >= g.config.Timing.SuspectTimeout+g.config.Timing.PollInterval
}
