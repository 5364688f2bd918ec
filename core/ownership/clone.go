package ownership

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sort"
	"time"

	"cuminlift/schema"
)

// Clone returns a copy that shares no state that Step modifies. The model checker uses it to branch.
func (g *Guardian) Clone() *Guardian {
	c := *g
	c.adoptions = slices.Clone(g.adoptions)
	if g.pending != nil {
		pending := *g.pending
		c.pending = &pending
	}
	c.peers = map[string]*peer{}
	for id, p := range g.peers {
		copied := *p
		c.peers[id] = &copied
	}
	c.promisesGiven = maps.Clone(g.promisesGiven)
	c.upstreams = map[string]*upstream{}
	for name, u := range g.upstreams {
		copied := *u
		c.upstreams[name] = &copied
	}
	c.incarnationsSeen = maps.Clone(g.incarnationsSeen)
	c.dead = maps.Clone(g.dead)
	c.evicted = maps.Clone(g.evicted)
	c.agreedEvictions = maps.Clone(g.agreedEvictions)
	c.loads = maps.Clone(g.loads)
	c.actions = nil
	return &c
}

// Fingerprint writes all state that decisions depend on, so that a model checker can recognise states it has seen.
func (g *Guardian) Fingerprint(w io.Writer) {
	fmt.Fprintf(w, "%d %d %d %v %d %v %v %d %t %t %d %d %t %d %t\n", g.now, g.document.GetVersion(), g.confirmedAt,
		g.adoptions, g.readSentAt, g.readInFlight, g.documentAbsent, g.lastBroadcastAt, g.stopping, g.dirty, g.idleSince,
		g.listeningSince, g.isolated, g.lastPlanAt, g.replan)
	if g.pending != nil {
		fmt.Fprintf(w, "write %d %d %t\n", g.pending.base, g.pending.lastSent, g.pending.inFlight)
	}
	for _, id := range sortedKeys(g.peers) {
		p := g.peers[id]
		fmt.Fprintf(w, "peer %s %d %v %d %d %d %d %d %d %d %d %d %s %v\n", id, p.lastSent, p.recentSendTimes(),
			p.lastViewAt, p.lastSeenSequence, p.abstainsUntil, p.firstPromiseRequest, p.releasedSequence, p.lastViewSentAt,
			p.promiseEcho, p.documentSentAt, p.aliveChangedAt, viewFingerprint(p.view), p.holders)
	}
	for _, id := range sortedKeys(g.promisesGiven) {
		fmt.Fprintf(w, "promised %s %v\n", id, g.promisesGiven[id])
	}
	for _, name := range sortedKeys(g.upstreams) {
		u := *g.upstreams[name]
		outstanding := u.outstanding
		grantedRanges := u.grantedRanges
		u.outstanding = nil
		u.grantedRanges = nil
		fmt.Fprintf(w, "upstream %s %v %d\n", name, u, len(grantedRanges))
		if outstanding != nil {
			fmt.Fprintf(w, "outstanding %d %d %d\n", outstanding.grant.GetSequence(), outstanding.sentAt, outstanding.stampRequestedAt)
		}
	}
	for _, name := range sortedKeys(g.incarnationsSeen) {
		fmt.Fprintf(w, "seen %s %v\n", name, g.incarnationsSeen[name])
	}
	fmt.Fprintf(w, "%v %v %v\n", sortedNames(g.dead), sortedNames(g.evicted), g.agreedEvictions)
}

func viewFingerprint(v *schema.View) string {
	if v == nil {
		return "-"
	}
	return fmt.Sprint(v.GetSequence(), v.GetVersion(), v.GetEvicted(), v.GetIdleSince(), v.GetLeaving())
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}

// fingerprintedSends is the number of send times per peer in a fingerprint. Only very late views refer to older ones.
const fingerprintedSends = 8

func (p *peer) recentSendTimes() []time.Duration {
	var times []time.Duration
	for n := uint64(0); n < fingerprintedSends && n < p.lastSent; n++ {
		times = append(times, p.sentAt[(p.lastSent-n)%sentTimesKept])
	}
	return times
}
