package assign

import (
	"sort"

	"cuminlift/core/ownership"
	"cuminlift/schema"
)

// bin is a usable holder with the weight of its slices.
type bin struct {
	holder *schema.Holder
	weight float64
}

func (d *draft) planSlices() {
	d.clearPrevious()
	d.foldEvictions()
	bins := d.bins()
	if len(bins) == 0 {
		return
	}
	if len(d.next.GetSlices()) == 0 {
		d.makeSlices(bins)
		return
	}
	if d.replaceOwners(bins) {
		return
	}
	if !d.facts.HandoversComplete {
		return
	}
	d.isolateHot(bins)
	d.balance(bins)
	d.mergeCold()
}

func (d *draft) bins() []*bin {
	var bins []*bin
	for _, h := range d.next.GetHolders() {
		if d.usable(h) {
			bins = append(bins, &bin{
				holder: h,
			})
		}
	}
	return bins
}

// makeSlices divides the hash space evenly. Neighbours get different owners, so that the loss of one spreads.
func (d *draft) makeSlices(bins []*bin) {
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
	d.because("slices made")
}

func (d *draft) clearPrevious() {
	if !d.facts.HandoversComplete {
		return
	}
	for _, s := range d.next.GetSlices() {
		if len(s.GetPrevious()) > 0 {
			s.Previous = nil
			d.because("earlier owners have given up")
		}
	}
}

// move makes to the owner of s.
func (d *draft) move(s *schema.Slice, to *schema.Holder) {
	if s.GetOwner() != "" {
		s.Previous = appendNew(s.GetPrevious(), s.GetOwner())
		if from := ownership.FindHolder(d.next, s.GetOwner()); from != nil {
			from.Fence = d.version
		}
	}
	s.Owner = to.GetName()
	s.Fence = d.version
	to.Fence = d.version
}

func appendNew(names []string, name string) []string {
	for _, n := range names {
		if n == name {
			return names
		}
	}
	return append(names, name)
}

// replaceOwners moves the slices of holders that can't own any. It reports whether it moved any.
func (d *draft) replaceOwners(bins []*bin) bool {
	byName := map[string]*bin{}
	for _, b := range bins {
		byName[b.holder.GetName()] = b
	}
	weights := d.weights()
	var homeless []int
	for i, s := range d.next.GetSlices() {
		if b := byName[s.GetOwner()]; b != nil {
			b.weight += weights[i]
			continue
		}
		homeless = append(homeless, i)
	}
	sort.SliceStable(homeless, func(i, j int) bool { return weights[homeless[i]] > weights[homeless[j]] })
	for _, i := range homeless {
		s := d.next.GetSlices()[i]
		b := lightest(bins)
		d.because("slices of " + s.GetOwner() + " have a new owner")
		d.move(s, b.holder)
		b.weight += weights[i]
	}
	return len(homeless) > 0
}

// foldEvictions writes down what may have happened during an outage. It comes before all other moves, whatever else the
// plan does: a document that leaves it out would forget who may hold a grant.
func (d *draft) foldEvictions() {
	for _, s := range d.next.GetSlices() {
		if d.facts.Evicted[s.GetOwner()] {
			d.foldEviction(s)
		}
	}
}

// foldEviction makes the first standby that is not evicted the owner, and all before it earlier owners: any of them
// may have been granted s by another guardian. Where all are evicted the owner stays, and is granted s anew.
func (d *draft) foldEviction(s *schema.Slice) {
	d.because("standbys of " + s.GetOwner() + " may have taken over in an outage")
	owner := s.GetOwner()
	// The order is that of the document in which the evictions happened: others act on it.
	for _, name := range ownership.TakeoverOrder(d.before, s) {
		if !d.facts.Evicted[name] {
			owner = name
			break
		}
		s.Previous = appendNew(s.GetPrevious(), name)
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

// widthShare is the part of a slice's weight that its width gives, so that idle slices are spread too.
const widthShare = 0.02

// weights returns each slice's share of the whole, from measured load and from width; they add up to 1.
func (d *draft) weights() []float64 {
	slices := d.next.GetSlices()
	total := 0.0
	for _, s := range slices {
		total += d.rate(s)
	}
	weights := make([]float64, len(slices))
	for i, s := range slices {
		width := float64(ownership.SliceEnd(slices, i)-s.GetStart()) / float64(ownership.MaxHash)
		if total <= 0 {
			weights[i] = width
			continue
		}
		weights[i] = widthShare*width + (1-widthShare)*d.rate(s)/total
	}
	return weights
}

func (d *draft) rate(s *schema.Slice) float64 {
	return float64(d.facts.Loads[s.GetStart()].GetRate())
}
