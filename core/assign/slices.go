package assign

import (
	"sort"

	"cuminlift/core/ownership"
	"cuminlift/schema"
)

// bin is a holder that may own slices, with the total weight of its slices.
type bin struct {
	holder *schema.Holder
	weight float64
}

func (d *draft) planSlices() {
	d.clearPreviousOwners()
	d.recordEvictions()
	bins := d.bins()
	if len(bins) == 0 {
		return
	}
	if len(d.next.GetSlices()) == 0 {
		d.createSlices(bins)
		return
	}
	if d.reassignSlices(bins) {
		return
	}
	if !d.input.HandoversComplete {
		return
	}
	d.isolateHotKeys(bins)
	d.rebalance(bins)
	d.mergeColdSlices()
}

func (d *draft) bins() []*bin {
	var bins []*bin
	for _, h := range d.next.GetHolders() {
		if d.mayOwnSlices(h) {
			bins = append(bins, &bin{
				holder: h,
			})
		}
	}
	return bins
}

// createSlices divides the hash space evenly. Neighbouring slices get different owners, so that the loss of an owner
// spreads over the hash space.
func (d *draft) createSlices(bins []*bin) {
	count := uint64(len(bins) * d.config.InitialSlicesPerHolder)
	width := ownership.MaxHash/count + 1
	for i := range count {
		owner := bins[i%uint64(len(bins))].holder
		d.next.Slices = append(d.next.Slices, &schema.Slice{
			Start: i * width,
			Owner: owner.GetName(),
			Fence: d.version,
		})
		owner.Fence = d.version
	}
	d.addReason("slices made")
}

func (d *draft) clearPreviousOwners() {
	if !d.input.HandoversComplete {
		return
	}
	for _, s := range d.next.GetSlices() {
		if len(s.GetPrevious()) > 0 {
			s.Previous = nil
			d.addReason("earlier owners have given up")
		}
	}
}

// moveSlice makes to the owner of s and records the previous owner and the new fences.
func (d *draft) moveSlice(s *schema.Slice, to *schema.Holder) {
	if s.GetOwner() != "" {
		s.Previous = appendUnique(s.GetPrevious(), s.GetOwner())
		if from := ownership.FindHolder(d.next, s.GetOwner()); from != nil {
			from.Fence = d.version
		}
	}
	s.Owner = to.GetName()
	s.Fence = d.version
	to.Fence = d.version
}

func appendUnique(names []string, name string) []string {
	for _, n := range names {
		if n == name {
			return names
		}
	}
	return append(names, name)
}

// reassignSlices moves the slices of holders that may no longer own slices. It reports whether it moved any.
func (d *draft) reassignSlices(bins []*bin) bool {
	byName := map[string]*bin{}
	for _, b := range bins {
		byName[b.holder.GetName()] = b
	}
	weights := d.weights()
	var orphaned []int
	for i, s := range d.next.GetSlices() {
		if b := byName[s.GetOwner()]; b != nil {
			b.weight += weights[i]
			continue
		}
		orphaned = append(orphaned, i)
	}
	sort.SliceStable(orphaned, func(i, j int) bool { return weights[orphaned[i]] > weights[orphaned[j]] })
	for _, i := range orphaned {
		s := d.next.GetSlices()[i]
		b := lightest(bins)
		d.addReason("slices of " + s.GetOwner() + " have a new owner")
		d.moveSlice(s, b.holder)
		b.weight += weights[i]
	}
	return len(orphaned) > 0
}

// recordEvictions records takeovers that may have happened during an outage. It precedes all other moves, because a
// document without them would lose track of who may hold a grant.
func (d *draft) recordEvictions() {
	for _, s := range d.next.GetSlices() {
		if d.input.Evicted[s.GetOwner()] {
			d.recordEviction(s)
		}
	}
}

// recordEviction makes the first standby that is not evicted the owner, and all holders before it previous owners,
// because any of them may have been granted s by another guardian. If all are evicted, the owner stays and is granted s
// again.
func (d *draft) recordEviction(s *schema.Slice) {
	d.addReason("standbys of " + s.GetOwner() + " may have taken over in an outage")
	owner := s.GetOwner()
	// The order is that of the document in which the evictions happened, because the other guardians act on that one.
	for _, name := range ownership.TakeoverOrder(d.before, s) {
		if !d.input.Evicted[name] {
			owner = name
			break
		}
		s.Previous = appendUnique(s.GetPrevious(), name)
		ownership.FindHolder(d.next, name).Fence = d.version
	}
	s.Owner = owner
	s.Fence = d.version
	ownership.FindHolder(d.next, owner).Fence = d.version
}

func lightest(bins []*bin) *bin {
	best := bins[0]
	for _, b := range bins[1:] {
		if b.weight < best.weight {
			best = b
		}
	}
	return best
}

func heaviest(bins []*bin) *bin {
	best := bins[0]
	for _, b := range bins[1:] {
		if b.weight > best.weight {
			best = b
		}
	}
	return best
}

// widthWeightShare is the share of a slice's weight that comes from its width, so that idle slices are spread too.
const widthWeightShare = 0.02

// weights returns each slice's share of the total, from its measured load and its width. The shares add up to 1.
func (d *draft) weights() []float64 {
	slices := d.next.GetSlices()
	total := 0.0
	for _, s := range slices {
		total += d.requestRate(s)
	}
	weights := make([]float64, len(slices))
	for i, s := range slices {
		width := float64(ownership.SliceEnd(slices, i)-s.GetStart()) / float64(ownership.MaxHash)
		if total <= 0 {
			weights[i] = width
			continue
		}
		weights[i] = widthWeightShare*width + (1-widthWeightShare)*d.requestRate(s)/total
	}
	return weights
}

func (d *draft) requestRate(s *schema.Slice) float64 {
	return float64(d.input.Loads[s.GetStart()].GetRate())
}
