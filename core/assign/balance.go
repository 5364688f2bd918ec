package assign

import (
	"math"
	"sort"

	"cuminlift/core/ownership"
	"cuminlift/schema"
)

const (
	// balanceStart is the ratio of the heaviest holder to the mean at which moves begin.
	balanceStart = 1.06
	// balanceGoal is the ratio at which they end, below the start so that noise moves nothing.
	balanceGoal = 1.02
	// loadWindow is how many seconds of requests a measured rate stands for: the period of reports, 3 s, with a moving
	// average of weight 0.1.
	loadWindow = 57.0
	// chanceFactor is how many standard deviations count as more than chance.
	chanceFactor = 4.0
	// hotShare is the part of a holder's mean weight above which a key gets a slice of its own.
	hotShare = 0.04
	// splitShare is the part of a holder's mean weight above which a slice is split in two.
	splitShare = 0.25
	// mergeShare is the part of the mean weight of a slice below which neighbours are merged.
	mergeShare = 0.25
	// maxSlicesFactor bounds the slices: so many times those made at the start.
	maxSlicesFactor = 8
)

// balance moves slices from the heaviest holder to the lightest, at most the plan's number of moves.
func (d *draft) balance(bins []*bin) {
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
	start := d.balanceStart(len(bins))
	if heaviest(bins).weight < mean*start && lightest(bins).weight > mean*(2-start)*0.9 {
		return
	}
	for range d.config.MaxMovesPerPlan {
		from, to := heaviest(bins), lightest(bins)
		if from.weight < mean*balanceGoal && to.weight > mean*(2-balanceGoal)*0.9 {
			return
		}
		index := bestMove(weights, owned[from.holder.GetName()], from.weight, to.weight, mean)
		if index < 0 {
			return
		}
		s := d.next.GetSlices()[index]
		d.because("load moves off " + from.holder.GetName())
		d.move(s, to.holder)
		from.weight -= weights[index]
		to.weight += weights[index]
		owned[from.holder.GetName()] = without(owned[from.holder.GetName()], index)
		owned[to.holder.GetName()] = append(owned[to.holder.GetName()], index)
	}
}

// balanceStart returns the ratio of the heaviest holder to the mean at which moves begin: above what chance makes of the
// few requests that were counted.
func (d *draft) balanceStart(holders int) float64 {
	total := 0.0
	for _, s := range d.next.GetSlices() {
		total += d.rate(s)
	}
	if total <= 0 {
		return balanceStart
	}
	counted := total / float64(holders) * loadWindow
	return max(balanceStart, 1+chanceFactor/math.Sqrt(counted))
}

func meanWeight(bins []*bin) float64 {
	sum := 0.0
	for _, b := range bins {
		sum += b.weight
	}
	return sum / float64(len(bins))
}

// bestMove returns the slice whose move brings the two holders closest to the mean, or -1 where none helps.
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

func without(indices []int, index int) []int {
	kept := indices[:0]
	for _, i := range indices {
		if i != index {
			kept = append(kept, i)
		}
	}
	return kept
}

// isolateHot gives hot keys a slice of their own, and splits slices that are too heavy to move.
func (d *draft) isolateHot(bins []*bin) {
	limit := maxSlicesFactor * d.config.InitialSlicesPerHolder * len(bins)
	weights := d.weights()
	total := 0.0
	for _, s := range d.next.GetSlices() {
		total += d.rate(s)
	}
	if total <= 0 {
		return
	}
	mean := 1 / float64(len(bins))
	var made []*schema.Slice
	for i, s := range d.next.GetSlices() {
		made = append(made, s)
		if len(d.next.GetSlices())+len(made)-i > limit {
			continue
		}
		load := d.facts.Loads[s.GetStart()]
		end := ownership.SliceEnd(d.next.GetSlices(), i)
		hot := load.GetHot()
		if hot != 0 && float64(load.GetHotRate())/total > hotShare*mean && end > s.GetStart() {
			made = append(made, d.cut(s, end, hot)...)
			d.because("a hot key has a slice of its own")
			continue
		}
		if weights[i] > splitShare*mean && end-s.GetStart() > 1 {
			made = append(made, d.halve(s, end))
			d.because("a heavy slice is split")
		}
	}
	d.next.Slices = made
}

// cut makes slices for hot and for what follows it, and leaves s with what comes before. The loads follow.
func (d *draft) cut(s *schema.Slice, end, hot uint64) []*schema.Slice {
	load := d.facts.Loads[s.GetStart()]
	rest := max(0, load.GetRate()-load.GetHotRate())
	var made []*schema.Slice
	if hot > s.GetStart() {
		made = append(made, twin(s, hot))
		d.setLoad(hot, load.GetHotRate())
	}
	if hot < end {
		made = append(made, twin(s, hot+1))
		d.setLoad(hot+1, rest/2)
		rest /= 2
	}
	if hot == s.GetStart() {
		rest = load.GetHotRate()
	}
	d.setLoad(s.GetStart(), rest)
	return made
}

func (d *draft) halve(s *schema.Slice, end uint64) *schema.Slice {
	middle := s.GetStart() + (end-s.GetStart())/2 + 1
	half := d.facts.Loads[s.GetStart()].GetRate() / 2
	d.setLoad(s.GetStart(), half)
	d.setLoad(middle, half)
	return twin(s, middle)
}

func (d *draft) setLoad(start uint64, rate float32) {
	d.facts.Loads[start] = &schema.SliceLoad{
		Start: start,
		Rate:  rate,
	}
}

func twin(s *schema.Slice, start uint64) *schema.Slice {
	return &schema.Slice{
		Start:    start,
		Owner:    s.GetOwner(),
		Fence:    s.GetFence(),
		Previous: append([]string(nil), s.GetPrevious()...),
	}
}

// mergeCold joins light neighbours of one owner once there are many more slices than at the start.
func (d *draft) mergeCold() {
	slices := d.next.GetSlices()
	goal := d.config.InitialSlicesPerHolder * len(d.next.GetHolders())
	if len(slices) <= goal*2 {
		return
	}
	weights := d.weights()
	limit := mergeShare / float64(goal)
	kept := slices[:1]
	last := weights[0]
	for i := 1; i < len(slices); i++ {
		s, before := slices[i], kept[len(kept)-1]
		same := s.GetOwner() == before.GetOwner() && len(s.GetPrevious()) == 0 && len(before.GetPrevious()) == 0
		if same && last+weights[i] < limit {
			before.Fence = max(before.GetFence(), s.GetFence())
			last += weights[i]
			d.because("cold slices are merged")
			continue
		}
		kept = append(kept, s)
		last = weights[i]
	}
	d.next.Slices = kept
}

// Imbalance returns the heaviest holder's load as a multiple of the mean over holders, given loads by slice start.
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
