package ownership

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"cuminlift/schema"
)

// grantable returns the ranges that h owns and that no other holder can still have a grant of. whole is true where that
// is all that h owns.
func (g *Guardian) grantable(h *schema.Holder) (ranges []*schema.Range, whole bool) {
	slices := g.document.GetSlices()
	whole = true
	for i, s := range slices {
		if g.OwnerOf(s) != h.GetName() {
			continue
		}
		if !g.freed(s) {
			whole = false
			continue
		}
		end := SliceEnd(slices, i)
		if n := len(ranges); n > 0 && ranges[n-1].GetEnd()+1 == s.GetStart() && ranges[n-1].GetFence() == s.GetFence() {
			ranges[n-1].End = end
			continue
		}
		ranges = append(ranges, &schema.Range{
			Start: s.GetStart(),
			End:   end,
			Fence: s.GetFence(),
		})
	}
	return ranges, whole
}

// OwnerOf returns the holder that owns s: the document's owner, or its first standby that is not evicted.
func (g *Guardian) OwnerOf(s *schema.Slice) string {
	if _, evicted := g.unanimous[s.GetOwner()]; !evicted {
		return s.GetOwner()
	}
	for _, name := range TakeoverOrder(g.document, s) {
		if _, evicted := g.unanimous[name]; !evicted {
			return name
		}
	}
	return ""
}

// TakeoverOrder returns the holders in the order in which they take s over, its owner first. The order follows
// from the document alone, so that all guardians agree on it without an exchange.
func TakeoverOrder(document *schema.Ownership, s *schema.Slice) []string {
	names := make([]string, 0, len(document.GetHolders()))
	for _, h := range document.GetHolders() {
		if h.GetName() != s.GetOwner() {
			names = append(names, h.GetName())
		}
	}
	sort.Slice(names, func(i, j int) bool {
		return standbyRank(names[i], s.GetStart()) < standbyRank(names[j], s.GetStart())
	})
	return append([]string{s.GetOwner()}, names...)
}

func standbyRank(name string, start uint64) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(name)
	var bytes [8]byte
	for i := range bytes {
		bytes[i] = byte(start >> (8 * i))
	}
	_, _ = digest.Write(bytes[:])
	return digest.Sum64()
}

// freed reports whether no earlier owner of s can still hold a grant of it.
func (g *Guardian) freed(s *schema.Slice) bool {
	for name, since := range g.unanimous {
		if g.inherits(s, name) && g.now < since+g.config.Timing.TakeoverDelay()+g.config.ExtraTakeoverDelay {
			return false
		}
	}
	if len(s.GetPrevious()) == 0 {
		return true
	}
	if g.now >= g.learned(s.GetFence())+g.config.Timing.TakeoverDelay()+g.config.ExtraTakeoverDelay {
		return true
	}
	for _, name := range s.GetPrevious() {
		if !g.reportedFree(name, s.GetFence()) {
			return false
		}
	}
	return true
}

// inherits reports whether evicted comes before the present owner of s in the order of take-over.
func (g *Guardian) inherits(s *schema.Slice, evicted string) bool {
	owner := g.OwnerOf(s)
	if owner == s.GetOwner() {
		return false
	}
	for _, name := range TakeoverOrder(g.document, s) {
		if name == owner {
			return false
		}
		if name == evicted {
			return true
		}
	}
	return false
}

// reportedFree reports whether the holder's home says that it has given up what it lost up to fence.
func (g *Guardian) reportedFree(name string, fence uint64) bool {
	h := FindHolder(g.document, name)
	if h == nil {
		return false
	}
	pool := FindPool(g.document, h.GetZone())
	if g.homeReady(pool) {
		u := g.upstream(name)
		return u.busy == 0 && u.acked >= fence
	}
	p := g.peers[pool.GetHome()]
	if p == nil || p.view == nil || p.view.GetVersion() < fence {
		return false
	}
	for _, state := range p.holders {
		if state.GetHolder() == name {
			return state.GetFence() >= fence
		}
	}
	return false
}

// holderStates returns what this guardian tells of the pools that it keeps.
func (g *Guardian) holderStates() []*schema.HolderState {
	var states []*schema.HolderState
	for _, h := range g.document.GetHolders() {
		if !g.actingHome(h.GetZone()) {
			continue
		}
		u := g.upstream(h.GetName())
		state := &schema.HolderState{
			Holder:      h.GetName(),
			Incarnation: u.incarnation,
			Alive:       u.alive(g.now, g.config.Timing),
		}
		if u.busy == 0 && g.homeReady(FindPool(g.document, h.GetZone())) {
			state.Fence = u.acked
		}
		if u.heard == never && !u.down(g.now, g.config.Timing) {
			// It was asked just now: nothing is known yet.
			continue
		}
		states = append(states, state)
	}
	return states
}

// sighting is when a run of an upstream was first heard of.
type sighting struct {
	incarnation string
	at          time.Duration
}

// noteSightings takes the upstreams' runs from a peer's view, so that a new home need not wait for a proof that is younger
// than its own first look.
func (g *Guardian) noteSightings(states []*schema.HolderState) {
	for _, state := range states {
		if state.GetIncarnation() != "" && FindHolder(g.document, state.GetHolder()) != nil {
			g.firstSeen(state.GetHolder(), state.GetIncarnation())
		}
	}
}

// firstSeen returns when this run of the upstream was first heard of, which is now for a new one.
func (g *Guardian) firstSeen(name, incarnation string) time.Duration {
	seen := g.sightings[name]
	if seen.incarnation != incarnation {
		seen = sighting{
			incarnation: incarnation,
			at:          g.now,
		}
		g.sightings[name] = seen
	}
	return seen.at
}
