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

// Clone returns a copy that shares nothing that a step changes, for model checking.
func (g *Guardian) Clone() *Guardian {
	c := *g
	c.adoptions = slices.Clone(g.adoptions)
	if g.write != nil {
		write := *g.write
		c.write = &write
	}
	c.peers = map[string]*peer{}
	for id, p := range g.peers {
		copied := *p
		c.peers[id] = &copied
	}
	c.promised = maps.Clone(g.promised)
	c.upstreams = map[string]*upstream{}
	for name, u := range g.upstreams {
		copied := *u
		c.upstreams[name] = &copied
	}
	c.sightings = maps.Clone(g.sightings)
	c.dead = maps.Clone(g.dead)
	c.evicted = maps.Clone(g.evicted)
	c.unanimous = maps.Clone(g.unanimous)
	c.loads = maps.Clone(g.loads)
	c.actions = nil
	return &c
}

// Fingerprint writes all that decisions depend on, so that a model checker can tell states apart.
func (g *Guardian) Fingerprint(w io.Writer) {
	fmt.Fprintf(w, "%d %d %d %v %d %v %v %d %t %t %d %d %t %d %t\n", g.now, g.document.GetVersion(), g.confirmed, g.adoptions, g.readSent,
		g.reading, g.absent, g.toldAll, g.stopping, g.dirty, g.idleSince, g.listening, g.alone, g.planned, g.replan)
	if g.write != nil {
		fmt.Fprintf(w, "write %d %d %t\n", g.write.base, g.write.sent, g.write.inFlight)
	}
	for _, id := range sortedKeys(g.peers) {
		p := g.peers[id]
		fmt.Fprintf(w, "peer %s %d %v %d %d %d %d %d %d %d %d %d %s %v\n", id, p.sent, p.recent(), p.heard, p.seen, p.held,
			p.asked, p.released, p.lastTold, p.promiseEcho, p.documentTold, p.rowAt, viewPrint(p.view), p.holders)
	}
	for _, id := range sortedKeys(g.promised) {
		fmt.Fprintf(w, "promised %s %v\n", id, g.promised[id])
	}
	for _, name := range sortedKeys(g.upstreams) {
		u := *g.upstreams[name]
		outstanding := u.outstanding
		granted := u.granted
		u.outstanding = nil
		u.granted = nil
		fmt.Fprintf(w, "upstream %s %v %d\n", name, u, len(granted))
		if outstanding != nil {
			fmt.Fprintf(w, "outstanding %d %d %d\n", outstanding.grant.GetSequence(), outstanding.at, outstanding.stampSent)
		}
	}
	for _, name := range sortedKeys(g.sightings) {
		fmt.Fprintf(w, "seen %s %v\n", name, g.sightings[name])
	}
	fmt.Fprintf(w, "%v %v %v\n", sortedNames(g.dead), sortedNames(g.evicted), g.unanimous)
}

func viewPrint(v *schema.View) string {
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

// printedSends is the number of sending times that a fingerprint holds: older ones can only be asked for by very late views.
const printedSends = 8

func (p *peer) recent() []time.Duration {
	var times []time.Duration
	for n := uint64(0); n < printedSends && n < p.sent; n++ {
		times = append(times, p.sentAt[(p.sent-n)%sequencesKept])
	}
	return times
}
