package ownership

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"cuminlift/schema"
)

// grantableRanges returns the ranges that h owns and that no other holder can still have a grant for. complete reports
// whether these are all the ranges that h owns.
func (g *Guardian) grantableRanges(h *schema.Holder) (ranges []*schema.Range, complete bool) {
	slices := g.document.GetSlices()
	complete = true
	for i, s := range slices {
		if g.OwnerOf(s) != h.GetName() {
			continue
		}
		if !g.earlierGrantsEnded(s) {
			complete = false
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
	return ranges, complete
}

// OwnerOf returns the holder that owns s: the owner in the document or, if all guardians agree on its eviction, the
// first standby that is not evicted.
func (g *Guardian) OwnerOf(s *schema.Slice) string {
	if _, evicted := g.agreedEvictions[s.GetOwner()]; !evicted {
		return s.GetOwner()
	}
	for _, name := range TakeoverOrder(g.document, s) {
		if _, evicted := g.agreedEvictions[name]; !evicted {
			return name
		}
	}
	return ""
}

// TakeoverOrder returns the holders in the order in which they take over s, starting with its owner. The order depends
// only on the document, so all guardians agree on it without communication.
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

// standbyRank returns the rendezvous hash by which standbys of the slice at start are ordered, lowest first.
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

// earlierGrantsEnded reports whether no earlier owner of s can still hold a grant for it.
func (g *Guardian) earlierGrantsEnded(s *schema.Slice) bool {
	for name, since := range g.agreedEvictions {
		if g.tookOverFrom(s, name) && g.now < since+g.config.Timing.TakeoverDelay()+g.config.ExtraTakeoverDelay {
			return false
		}
	}
	if len(s.GetPrevious()) == 0 {
		return true
	}
	if g.now >= g.learnedAt(s.GetFence())+g.config.Timing.TakeoverDelay()+g.config.ExtraTakeoverDelay {
		return true
	}
	for _, name := range s.GetPrevious() {
		if !g.reportedReleased(name, s.GetFence()) {
			return false
		}
	}
	return true
}

// tookOverFrom reports whether evicted precedes the current owner of s in the takeover order.
func (g *Guardian) tookOverFrom(s *schema.Slice, evicted string) bool {
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

// reportedReleased reports whether the holder's home has reported that the holder gave up all slices that it lost up to
// the version fence.
func (g *Guardian) reportedReleased(name string, fence uint64) bool {
	h := FindHolder(g.document, name)
	if h == nil {
		return false
	}
	pool := FindPool(g.document, h.GetZone())
	if g.homeReady(pool) {
		u := g.upstream(name)
		return u.busy == 0 && u.ackedFence >= fence
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

// holderStates returns the states of the upstreams whose grants this guardian renews, for its views to peers.
func (g *Guardian) holderStates() []*schema.HolderState {
	var states []*schema.HolderState
	for _, h := range g.document.GetHolders() {
		if !g.actsAsHome(h.GetZone()) {
			continue
		}
		u := g.upstream(h.GetName())
		state := &schema.HolderState{
			Holder:      h.GetName(),
			Incarnation: u.incarnation,
			Alive:       u.alive(g.now, g.config.Timing),
		}
		if u.busy == 0 && g.homeReady(FindPool(g.document, h.GetZone())) {
			state.Fence = u.ackedFence
		}
		if u.lastReplyAt == never && !u.down(g.now, g.config.Timing) {
			// The first grant is still unanswered, so the upstream's state is unknown.
			continue
		}
		states = append(states, state)
	}
	return states
}

// incarnationSighting records when an incarnation of an upstream was first seen.
type incarnationSighting struct {
	incarnation string
	firstSeenAt time.Duration
}

// recordIncarnations records the upstreams' incarnations from a peer's view. A new home then need not wait for a
// confirmation that is younger than its own first contact with the upstream.
func (g *Guardian) recordIncarnations(states []*schema.HolderState) {
	for _, state := range states {
		if state.GetIncarnation() != "" && FindHolder(g.document, state.GetHolder()) != nil {
			g.recordIncarnation(state.GetHolder(), state.GetIncarnation())
		}
	}
}

// recordIncarnation returns when this incarnation of the upstream was first seen, and records the current time for a
// new one.
func (g *Guardian) recordIncarnation(name, incarnation string) time.Duration {
	seen := g.incarnationsSeen[name]
	if seen.incarnation != incarnation {
		seen = incarnationSighting{
			incarnation: incarnation,
			firstSeenAt: g.now,
		}
		g.incarnationsSeen[name] = seen
	}
	return seen.firstSeenAt
}
