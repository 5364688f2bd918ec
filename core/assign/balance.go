package assign

import (
	"math"
	"sort"

	"cuminlift/core/ownership"
	"cuminlift/schema"
)

const (
	// minRebalanceRatio is the lowest ratio of the heaviest holder to the mean above which moves start.
	minRebalanceRatio = 1.06
	// targetRatio is the ratio at which moves stop. It is below minRebalanceRatio so that noise moves nothing.
	targetRatio = 1.02
	// loadWindowSeconds is the length of the window that a measured rate covers: reports every 3 s and a moving average
	// with weight 0.1.
	loadWindowSeconds = 57.0
	// noiseDeviations is the number of standard deviations above which an imbalance counts as more than noise.
	noiseDeviations = 4.0
	// hotKeyShare is the share of a holder's mean weight above which a key gets a slice of its own.
	hotKeyShare = 0.04
	// splitWeightShare is the share of a holder's mean weight above which a slice is split in two.
	splitWeightShare = 0.25
	// mergeWeightShare is the share of a slice's mean weight below which neighbouring slices are merged.
	mergeWeightShare = 0.25
	// maxSlicesFactor bounds the number of slices, as a multiple of the initial number.
	maxSlicesFactor = 8
)

// rebalance moves slices from the heaviest holder to the lightest, at most MaxMovesPerPlan of them. It starts when the
// heaviest is well above the mean or the lightest is well below it.
func (d *draft) rebalance(bins []*bin) {
	weights := d.weights()
	owned := map[string][]int{}
	byName := map[string]*bin{}
	for _, b := range bins {
		b.weight = 0
		byName[b.holder.GetName()] = b
	}
	for i, s := range d.next.GetSlices() {
		owned[s.GetOwner()] = append(owned[s.GetOwner()], i)
		if b := byName[s.GetOwner()]; b != nil {
			b.weight += weights[i]
		}
	}
	mean := meanWeight(bins)
	start := d.rebalanceRatio(len(bins))
	if heaviest(bins).weight < mean*start && lightest(bins).weight > mean*(2-start)*0.9 {
		return
	}
	for range d.config.MaxMovesPerPlan {
		from, to := heaviest(bins), lightest(bins)
		if from.weight < mean*targetRatio && to.weight > mean*(2-targetRatio)*0.9 {
			return
		}
		index := bestMove(weights, owned[from.holder.GetName()], from.weight, to.weight, mean)
		if index < 0 {
			return
		}
		s := d.next.GetSlices()[index]
		d.addReason("load moves off " + from.holder.GetName())
		d.moveSlice(s, to.holder)
		from.weight -= weights[index]
		to.weight += weights[index]
		owned[from.holder.GetName()] = removeIndex(owned[from.holder.GetName()], index)
		owned[to.holder.GetName()] = append(owned[to.holder.GetName()], index)
	}
}

// rebalanceRatio returns the ratio of the heaviest holder to the mean above which moves start. With few requests
// counted it is higher, so that sampling noise moves nothing.
func (d *draft) rebalanceRatio(holders int) float64 {
	total := 0.0
	for _, s := range d.next.GetSlices() {
		total += d.requestRate(s)
	}
	if total <= 0 {
		return minRebalanceRatio
	}
	counted := total / float64(holders) * loadWindowSeconds
	return max(minRebalanceRatio, 1+noiseDeviations/math.Sqrt(counted))
}

func meanWeight(bins []*bin) float64 {
	sum := 0.0
	for _, b := range bins {
		sum += b.weight
	}
	return sum / float64(len(bins))
}

// bestMove returns the slice whose move brings the two holders closest to the mean, or -1 if no move helps.
func bestMove(weights []float64, candidates []int, from, to, mean float64) int {
	best := -1
	bestPeak := from
	for _, i := range candidates {
		peak := max(from-weights[i], to+weights[i], mean)
		if weights[i] > 0 && (peak < bestPeak || (best >= 0 && peak == bestPeak && weights[i] > weights[best])) {
			best = i
			bestPeak = peak
		}
	}
	return best
}

func removeIndex(indices []int, index int) []int {
	kept := indices[:0]
	for _, i := range indices {
		if i != index {
			kept = append(kept, i)
		}
	}
	return kept
}

// isolateHotKeys gives hot keys a slice of their own and splits slices that are too heavy to move.
func (d *draft) isolateHotKeys(bins []*bin) {
	limit := maxSlicesFactor * d.config.InitialSlicesPerHolder * len(bins)
	weights := d.weights()
	total := 0.0
	for _, s := range d.next.GetSlices() {
		total += d.requestRate(s)
	}
	if total <= 0 {
		return
	}
	mean := 1 / float64(len(bins))
	var result []*schema.Slice
	for i, s := range d.next.GetSlices() {
		result = append(result, s)
		if len(d.next.GetSlices())+len(result)-i > limit {
			continue
		}
		load := d.input.Loads[s.GetStart()]
		end := ownership.SliceEnd(d.next.GetSlices(), i)
		hot := load.GetHot()
		if hot != 0 && float64(load.GetHotRate())/total > hotKeyShare*mean && end > s.GetStart() {
			result = append(result, d.splitOffKey(s, end, hot)...)
			d.addReason("a hot key has a slice of its own")
			continue
		}
		if weights[i] > splitWeightShare*mean && end-s.GetStart() > 1 {
			result = append(result, d.splitInHalf(s, end))
			d.addReason("a heavy slice is split")
		}
	}
	d.next.Slices = result
}

// splitOffKey returns new slices for hot and for the hashes above it. s keeps the hashes below it, or hot itself if s
// starts there. The loads are divided accordingly.
func (d *draft) splitOffKey(s *schema.Slice, end, hot uint64) []*schema.Slice {
	load := d.input.Loads[s.GetStart()]
	remaining := max(0, load.GetRate()-load.GetHotRate())
	var added []*schema.Slice
	if hot > s.GetStart() {
		added = append(added, copySlice(s, hot))
		d.setLoad(hot, load.GetHotRate())
	}
	if hot < end {
		added = append(added, copySlice(s, hot+1))
		d.setLoad(hot+1, remaining/2)
		remaining /= 2
	}
	if hot == s.GetStart() {
		remaining = load.GetHotRate()
	}
	d.setLoad(s.GetStart(), remaining)
	return added
}

func (d *draft) splitInHalf(s *schema.Slice, end uint64) *schema.Slice {
	middle := s.GetStart() + (end-s.GetStart())/2 + 1
	half := d.input.Loads[s.GetStart()].GetRate() / 2
	d.setLoad(s.GetStart(), half)
	d.setLoad(middle, half)
	return copySlice(s, middle)
}

func (d *draft) setLoad(start uint64, rate float32) {
	d.input.Loads[start] = &schema.SliceLoad{
		Start: start,
		Rate:  rate,
	}
}

func copySlice(s *schema.Slice, start uint64) *schema.Slice {
	return &schema.Slice{
		Start:    start,
		Owner:    s.GetOwner(),
		Fence:    s.GetFence(),
		Previous: append([]string(nil), s.GetPrevious()...),
	}
}

// mergeColdSlices merges light neighbouring slices of the same owner once there are more than twice the initial number
// of slices.
func (d *draft) mergeColdSlices() {
	slices := d.next.GetSlices()
	target := d.config.InitialSlicesPerHolder * len(d.next.GetHolders())
	if len(slices) <= target*2 {
		return
	}
	weights := d.weights()
	limit := mergeWeightShare / float64(target)
	kept := slices[:1]
	lastWeight := weights[0]
	for i := 1; i < len(slices); i++ {
		s, before := slices[i], kept[len(kept)-1]
		mergeable := s.GetOwner() == before.GetOwner() && len(s.GetPrevious()) == 0 && len(before.GetPrevious()) == 0
		if mergeable && lastWeight+weights[i] < limit {
			before.Fence = max(before.GetFence(), s.GetFence())
			lastWeight += weights[i]
			d.addReason("cold slices are merged")
			continue
		}
		kept = append(kept, s)
		lastWeight = weights[i]
	}
	d.next.Slices = kept
}

// Imbalance returns the heaviest holder's load as a multiple of the mean over all holders. loads is keyed by slice
// start.
func Imbalance(document *schema.Ownership, loads map[uint64]float64) float64 {
	sums := map[string]float64{}
	for _, h := range document.GetHolders() {
		sums[h.GetName()] = 0
	}
	for _, s := range document.GetSlices() {
		sums[s.GetOwner()] += loads[s.GetStart()]
	}
	values := make([]float64, 0, len(sums))
	total := 0.0
	for _, v := range sums {
		values = append(values, v)
		total += v
	}
	sort.Float64s(values)
	if total == 0 {
		return 1
	}
	return values[len(values)-1] * float64(len(values)) / total
}
