package measure

import (
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	"cuminlift/core/assign"
	"cuminlift/core/load"
	"cuminlift/core/ownership"
	"cuminlift/schema"
)

// newMembers returns n instances spread over three zones.
func newMembers(n int) []*schema.Member {
	members := make([]*schema.Member, 0, n)
	for i := range n {
		name := fmt.Sprintf("entry-%04d", i)
		members = append(members, &schema.Member{
			Id:      name + "/1",
			Name:    name,
			Zone:    fmt.Sprintf("zone-%d", i%3),
			Peers:   "10.0.0.1:7001",
			Forward: "10.0.0.1:7002",
		})
	}
	return members
}

func newUpstreams(n int) []*schema.ListedUpstream {
	upstreams := make([]*schema.ListedUpstream, 0, n)
	for i := range n {
		upstreams = append(upstreams, &schema.ListedUpstream{
			Name:    fmt.Sprintf("calendar-%05d", i),
			Service: "calendar",
			Zone:    fmt.Sprintf("zone-%d", i%3),
			Address: "10.0.0.1:8000",
		})
	}
	return upstreams
}

// planFixture holds a planner, its input and the current ownership document. All upstreams start alive.
type planFixture struct {
	planner  *assign.Planner
	input    ownership.PlanInput
	document *schema.Ownership
}

func newPlanFixture(upstreams, slices int) *planFixture {
	p := &planFixture{
		planner: assign.NewPlanner(assign.Config{
			Keyed:                  true,
			InitialSlicesPerHolder: max(1, slices/upstreams),
		}),
		input: ownership.PlanInput{
			Members:           newMembers(9),
			Upstreams:         newUpstreams(upstreams),
			Alive:             map[string]bool{},
			Loads:             map[uint64]*schema.SliceLoad{},
			HandoversComplete: true,
		},
		document: &schema.Ownership{
			Service: "calendar",
		},
	}
	for _, u := range p.input.Upstreams {
		p.input.Alive[u.GetName()] = true
	}
	p.planOnce()
	return p
}

// planOnce plans once and makes the plan the current document. It returns nil if the plan is unchanged.
func (p *planFixture) planOnce() *schema.Ownership {
	next := p.planner.Plan(p.document, p.input)
	if next == nil {
		return nil
	}
	next.Version = p.document.GetVersion() + 1
	p.document = next
	return next
}

// PlanningCost measures planning time, heap use and document size for several numbers of slices and upstreams.
func PlanningCost() *Table {
	t := &Table{
		Name:    "planning",
		Columns: []string{"slices", "upstreams", "plan-idle-us", "plan-loss-us", "document-bytes", "heap-kb"},
	}
	for _, c := range []struct{ slices, upstreams int }{
		{512, 16},
		{1000, 16},
		{4000, 64},
		{16000, 64},
		{16000, 500},
		{64000, 64},
		{64000, 1000},
		{64000, 4000},
	} {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		p := newPlanFixture(c.upstreams, c.slices)
		runtime.GC()
		runtime.ReadMemStats(&after)
		idle := shortestRun(3, func() { p.planner.Plan(p.document, p.input) })
		p.input.Down = map[string]bool{
			p.input.Upstreams[1].GetName(): true,
		}
		loss := shortestRun(3, func() { p.planner.Plan(p.document, p.input) })
		t.Add(len(p.document.GetSlices()), c.upstreams, idle.Microseconds(), loss.Microseconds(), proto.Size(p.document),
			int64(after.HeapAlloc-min(before.HeapAlloc, after.HeapAlloc))/1024)
	}
	return t
}

// shortestRun calls f n times and returns the shortest duration.
func shortestRun(n int, f func()) time.Duration {
	best := time.Duration(1 << 62)
	for range n {
		began := time.Now()
		f()
		best = min(best, time.Since(began))
	}
	return best
}

// zipfLoad is a load distribution after Zipf's law with exponent 0.99. The hottest keys have a share each; the others
// are spread evenly over the hash space.
type zipfLoad struct {
	hot       map[uint64]float64
	tailShare float64
}

func newZipfLoad(keys float64, topKeys int, random *rand.Rand) *zipfLoad {
	const exponent = 0.99
	// Ranks beyond topKeys are summed by the integral.
	sum := 0.0
	z := &zipfLoad{
		hot: map[uint64]float64{},
	}
	weights := make([]float64, topKeys)
	for i := range topKeys {
		weights[i] = math.Pow(float64(i+1), -exponent)
		sum += weights[i]
	}
	tail := (math.Pow(keys, 1-exponent) - math.Pow(float64(topKeys), 1-exponent)) / (1 - exponent)
	sum += tail
	for _, w := range weights {
		z.hot[random.Uint64()] = w / sum
	}
	z.tailShare = tail / sum
	return z
}

// sliceReports returns the reports that home instances would send for the document's slices at rate requests per
// second, and the share of the load by slice start.
func (z *zipfLoad) sliceReports(document *schema.Ownership, rate float64) (map[uint64]*schema.SliceLoad, map[uint64]float64) {
	slices := document.GetSlices()
	sliceReports := map[uint64]*schema.SliceLoad{}
	loads := map[uint64]float64{}
	for i, s := range slices {
		width := float64(ownership.SliceEnd(slices, i)-s.GetStart()) / float64(ownership.MaxHash)
		loads[s.GetStart()] = width * z.tailShare
		sliceReports[s.GetStart()] = &schema.SliceLoad{
			Start: s.GetStart(),
		}
	}
	for hash, share := range z.hot {
		s := slices[ownership.SliceIndex(slices, hash)]
		loads[s.GetStart()] += share
		r := sliceReports[s.GetStart()]
		if share*rate > float64(r.GetHotRate()) {
			r.Hot = hash
			r.HotRate = float32(share * rate)
		}
	}
	for start, l := range loads {
		sliceReports[start].Rate = float32(l * rate)
	}
	return sliceReports, loads
}

// balanceResult is the outcome of planning for one load distribution.
type balanceResult struct {
	imbalance          float64
	consistentHashing  float64
	hottestKeyOverMean float64
	plans              int
	movedShare         float64
}

// LoadImbalance measures the imbalance under Zipf load, compared with consistent hashing, and the churn each time the 68
// hottest keys change.
func LoadImbalance() *Table {
	t := &Table{
		Name:    "balance",
		Columns: []string{"upstreams", "change", "imbalance", "consistent-hashing", "hottest-key-over-mean", "plans", "share-moved"},
	}
	for _, upstreams := range []int{16, 20} {
		random := rand.New(rand.NewPCG(uint64(upstreams), 68))
		p := newPlanFixture(upstreams, upstreams*32)
		for change := range 5 {
			z := newZipfLoad(3.5e9, 68, random)
			r := p.planUntilStable(z)
			t.Add(upstreams, change, r.imbalance, r.consistentHashing, r.hottestKeyOverMean, r.plans, r.movedShare)
		}
	}
	return t
}

// planUntilStable feeds the loads back into the planner until the plan no longer changes, at most 500 times.
func (p *planFixture) planUntilStable(z *zipfLoad) balanceResult {
	const rate = 10000
	r := balanceResult{}
	before := ownerLookup(p.document)
	for r.plans < 500 {
		p.input.Loads, _ = z.sliceReports(p.document, rate)
		if p.planOnce() == nil {
			break
		}
		r.plans++
	}
	_, loads := z.sliceReports(p.document, rate)
	r.imbalance = assign.Imbalance(p.document, loads)
	r.movedShare = p.shareMoved(before)
	r.consistentHashing = hashRingImbalance(p.input.Upstreams, z)
	for _, share := range z.hot {
		r.hottestKeyOverMean = max(r.hottestKeyOverMean, share*float64(len(p.input.Upstreams)))
	}
	return r
}

// ownerLookup returns a function that maps a hash to its owner in document.
func ownerLookup(document *schema.Ownership) func(uint64) string {
	slices := document.GetSlices()
	return func(hash uint64) string { return slices[ownership.SliceIndex(slices, hash)].GetOwner() }
}

// shareMoved returns the share of the hash space whose owner differs from before, by sampling.
func (p *planFixture) shareMoved(before func(uint64) string) float64 {
	const points = 100000
	moved := 0
	after := ownerLookup(p.document)
	for i := range uint64(points) {
		hash := i * (ownership.MaxHash / points)
		if before(hash) != after(hash) {
			moved++
		}
	}
	return float64(moved) / points
}

// hashRingImbalance returns the imbalance of the baseline: consistent hashing with 100 virtual nodes per upstream,
// which ignores load.
func hashRingImbalance(upstreams []*schema.ListedUpstream, z *zipfLoad) float64 {
	type point struct {
		hash  uint64
		owner int
	}
	var ring []point
	random := rand.New(rand.NewPCG(99, uint64(len(upstreams))))
	for u := range upstreams {
		for range 100 {
			ring = append(ring, point{
				hash:  random.Uint64(),
				owner: u,
			})
		}
	}
	sort.Slice(ring, func(i, j int) bool { return ring[i].hash < ring[j].hash })
	sums := make([]float64, len(upstreams))
	for i, at := range ring {
		from := uint64(0)
		if i > 0 {
			from = ring[i-1].hash
		}
		sums[at.owner] += z.tailShare * float64(at.hash-from) / float64(ownership.MaxHash)
	}
	for hash, share := range z.hot {
		i := sort.Search(len(ring), func(i int) bool { return ring[i].hash >= hash }) % len(ring)
		sums[ring[i].owner] += share
	}
	top := 0.0
	for _, s := range sums {
		top = max(top, s)
	}
	return top * float64(len(sums))
}

// Churn measures the share of the hash space that moves when an upstream leaves, when it returns and when nothing
// changes.
func Churn() *Table {
	t := &Table{
		Name:    "churn",
		Columns: []string{"upstreams", "event", "share-moved", "least-possible", "ratio"},
	}
	for _, upstreams := range []int{16, 20} {
		p := newPlanFixture(upstreams, upstreams*32)
		recordEvent := func(event string, minimumShare float64) {
			before := ownerLookup(p.document)
			for range 200 {
				if p.planOnce() == nil {
					break
				}
			}
			moved := p.shareMoved(before)
			ratio := 1.0
			if minimumShare > 0 {
				ratio = moved / minimumShare
			}
			t.Add(upstreams, event, moved, minimumShare, ratio)
		}
		recordEvent("nothing", 0)
		p.input.Down = map[string]bool{
			p.input.Upstreams[3].GetName(): true,
		}
		recordEvent("one leaves", 1/float64(upstreams))
		p.input.Down = nil
		recordEvent("it returns", 1/float64(upstreams))
		recordEvent("nothing", 0)
	}
	return t
}

// HotKeyDetection measures how many of 68 hot keys a sketch finds, and its memory and time per request.
func HotKeyDetection() *Table {
	t := &Table{
		Name:    "hotkeys",
		Columns: []string{"requests", "sketch-keys", "sketch-kb", "found-of-68", "add-ns"},
	}
	for _, requests := range []int{10000, 100000, 1000000} {
		random := rand.New(rand.NewPCG(5, 6))
		z := newZipfLoad(3.5e9, 68, random)
		hashes, cumulative := z.cumulativeShares()
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		sketch := load.NewSketch(load.DefaultSize)
		stream := make([]uint64, requests)
		for i := range stream {
			stream[i] = sampleHash(random, hashes, cumulative)
		}
		began := time.Now()
		for _, h := range stream {
			sketch.Add(h)
		}
		perAdd := time.Since(began).Nanoseconds() / int64(requests)
		stream = nil
		runtime.GC()
		runtime.ReadMemStats(&after)
		counts := sketch.Take()
		sort.Slice(counts.Keys, func(i, j int) bool { return counts.Keys[i].Count > counts.Keys[j].Count })
		found := 0
		for _, k := range counts.Keys[:min(68, len(counts.Keys))] {
			if _, hot := z.hot[k.Hash]; hot {
				found++
			}
		}
		kb := (int64(after.HeapAlloc) - int64(before.HeapAlloc)) / 1024
		t.Add(requests, load.DefaultSize, max(kb, 0), found, perAdd)
	}
	return t
}

// cumulativeShares returns the hot keys by hash with the running sum of their shares.
func (z *zipfLoad) cumulativeShares() (hashes []uint64, cumulative []float64) {
	for h := range z.hot {
		hashes = append(hashes, h)
	}
	sort.Slice(hashes, func(i, j int) bool { return hashes[i] < hashes[j] })
	sum := 0.0
	for _, h := range hashes {
		sum += z.hot[h]
		cumulative = append(cumulative, sum)
	}
	return hashes, cumulative
}

// sampleHash draws a key from the distribution: a hot key by its share, otherwise a uniformly random hash.
func sampleHash(random *rand.Rand, hashes []uint64, cumulative []float64) uint64 {
	x := random.Float64()
	i := sort.SearchFloat64s(cumulative, x)
	if i < len(hashes) {
		return hashes[i]
	}
	return random.Uint64()
}
