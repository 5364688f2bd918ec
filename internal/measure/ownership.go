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

// members returns n instances in three zones.
func membersOf(n int) []*schema.Member {
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

func upstreamsOf(n int) []*schema.ListedUpstream {
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

// planCase is a planner with its facts, all upstreams alive.
type planCase struct {
	planner  *assign.Planner
	facts    ownership.PlanFacts
	document *schema.Ownership
}

func newPlanCase(upstreams, slices int) *planCase {
	p := &planCase{
		planner: assign.NewPlanner(assign.Config{
			Keyed:           true,
			SlicesPerHolder: max(1, slices/upstreams),
		}),
		facts: ownership.PlanFacts{
			Members:   membersOf(9),
			Upstreams: upstreamsOf(upstreams),
			Alive:     map[string]bool{},
			Loads:     map[uint64]*schema.SliceLoad{},
			Settled:   true,
		},
		document: &schema.Ownership{
			Service: "calendar",
		},
	}
	for _, u := range p.facts.Upstreams {
		p.facts.Alive[u.GetName()] = true
	}
	p.step()
	return p
}

// step plans once and takes the plan over. It returns nil where nothing changed.
func (p *planCase) step() *schema.Ownership {
	next := p.planner.Plan(p.document, p.facts)
	if next == nil {
		return nil
	}
	next.Version = p.document.GetVersion() + 1
	p.document = next
	return next
}

// PlanningCost measures the time, the memory and the document of one plan, over numbers of slices and of upstreams.
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
		p := newPlanCase(c.upstreams, c.slices)
		runtime.GC()
		runtime.ReadMemStats(&after)
		idle := timeOf(3, func() { p.planner.Plan(p.document, p.facts) })
		p.facts.Down = map[string]bool{
			p.facts.Upstreams[1].GetName(): true,
		}
		loss := timeOf(3, func() { p.planner.Plan(p.document, p.facts) })
		t.Add(len(p.document.GetSlices()), c.upstreams, idle.Microseconds(), loss.Microseconds(), proto.Size(p.document),
			int64(after.HeapAlloc-min(before.HeapAlloc, after.HeapAlloc))/1024)
	}
	return t
}

// timeOf returns the shortest of n runs.
func timeOf(n int, f func()) time.Duration {
	best := time.Duration(1 << 62)
	for range n {
		began := time.Now()
		f()
		best = min(best, time.Since(began))
	}
	return best
}

// zipfLoads draws the share of each key by Zipf's law with exponent 0.99 over a number of keys: the hottest ones by name
// and the rest spread evenly.
type zipfLoads struct {
	hot  map[uint64]float64
	rest float64
}

func newZipfLoads(keys float64, named int, random *rand.Rand) *zipfLoads {
	const exponent = 0.99
	// The sum over all ranks, by the integral beyond the named ones.
	sum := 0.0
	z := &zipfLoads{
		hot: map[uint64]float64{},
	}
	weights := make([]float64, named)
	for i := range named {
		weights[i] = math.Pow(float64(i+1), -exponent)
		sum += weights[i]
	}
	tail := (math.Pow(keys, 1-exponent) - math.Pow(float64(named), 1-exponent)) / (1 - exponent)
	sum += tail
	for _, w := range weights {
		z.hot[random.Uint64()] = w / sum
	}
	z.rest = tail / sum
	return z
}

// reports turns the loads into what homes would report for the document's slices, and the load by slice.
func (z *zipfLoads) reports(document *schema.Ownership, rate float64) (map[uint64]*schema.SliceLoad, map[uint64]float64) {
	slices := document.GetSlices()
	reports := map[uint64]*schema.SliceLoad{}
	loads := map[uint64]float64{}
	for i, s := range slices {
		width := float64(ownership.SliceEnd(slices, i)-s.GetStart()) / float64(ownership.MaxHash)
		loads[s.GetStart()] = width * z.rest
		reports[s.GetStart()] = &schema.SliceLoad{
			Start: s.GetStart(),
		}
	}
	for hash, share := range z.hot {
		s := slices[ownership.SliceIndex(slices, hash)]
		loads[s.GetStart()] += share
		r := reports[s.GetStart()]
		if share*rate > float64(r.GetHotRate()) {
			r.Hot = hash
			r.HotRate = float32(share * rate)
		}
	}
	for start, l := range loads {
		reports[start].Rate = float32(l * rate)
	}
	return reports, loads
}

// balanceRun is what came of one run of the balance experiment.
type balanceRun struct {
	imbalance float64
	baseline  float64
	hottest   float64
	plans     int
	moved     float64
}

// LoadImbalance measures imbalance under Zipf load whose 68 hottest keys change, and churn, against consistent hashing.
func LoadImbalance() *Table {
	t := &Table{
		Name:    "balance",
		Columns: []string{"upstreams", "change", "imbalance", "consistent-hashing", "hottest-key-over-mean", "plans", "share-moved"},
	}
	for _, upstreams := range []int{16, 20} {
		random := rand.New(rand.NewPCG(uint64(upstreams), 68))
		p := newPlanCase(upstreams, upstreams*32)
		for change := range 5 {
			z := newZipfLoads(3.5e9, 68, random)
			r := p.settle(z)
			t.Add(upstreams, change, r.imbalance, r.baseline, r.hottest, r.plans, r.moved)
		}
	}
	return t
}

// settle plans with measured loads until nothing changes any more.
func (p *planCase) settle(z *zipfLoads) balanceRun {
	const rate = 10000
	r := balanceRun{}
	before := ownersAt(p.document)
	for r.plans < 500 {
		p.facts.Loads, _ = z.reports(p.document, rate)
		if p.step() == nil {
			break
		}
		r.plans++
	}
	_, loads := z.reports(p.document, rate)
	r.imbalance = assign.Imbalance(p.document, loads)
	r.moved = p.shareMoved(before)
	r.baseline = consistentHashing(p.facts.Upstreams, z)
	for _, share := range z.hot {
		r.hottest = max(r.hottest, share*float64(len(p.facts.Upstreams)))
	}
	return r
}

// ownersAt returns a function that tells the owner of a hash.
func ownersAt(document *schema.Ownership) func(uint64) string {
	slices := document.GetSlices()
	return func(hash uint64) string { return slices[ownership.SliceIndex(slices, hash)].GetOwner() }
}

// shareMoved returns the share of the hash space whose owner changed.
func (p *planCase) shareMoved(before func(uint64) string) float64 {
	const points = 100000
	moved := 0
	after := ownersAt(p.document)
	for i := range uint64(points) {
		hash := i * (ownership.MaxHash / points)
		if before(hash) != after(hash) {
			moved++
		}
	}
	return float64(moved) / points
}

// consistentHashing returns the imbalance of the baseline: 100 points an upstream on a ring, no regard for load.
func consistentHashing(upstreams []*schema.ListedUpstream, z *zipfLoads) float64 {
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
		sums[at.owner] += z.rest * float64(at.hash-from) / float64(ownership.MaxHash)
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

// Churn measures the share of the hash space that moves when an upstream leaves, comes back, and when nothing changes.
func Churn() *Table {
	t := &Table{
		Name:    "churn",
		Columns: []string{"upstreams", "event", "share-moved", "least-possible", "ratio"},
	}
	for _, upstreams := range []int{16, 20} {
		p := newPlanCase(upstreams, upstreams*32)
		add := func(event string, least float64) {
			before := ownersAt(p.document)
			for range 200 {
				if p.step() == nil {
					break
				}
			}
			moved := p.shareMoved(before)
			ratio := 1.0
			if least > 0 {
				ratio = moved / least
			}
			t.Add(upstreams, event, moved, least, ratio)
		}
		add("nothing", 0)
		p.facts.Down = map[string]bool{
			p.facts.Upstreams[3].GetName(): true,
		}
		add("one leaves", 1/float64(upstreams))
		p.facts.Down = nil
		add("it returns", 1/float64(upstreams))
		add("nothing", 0)
	}
	return t
}

// HotKeyDetection measures how many of 68 hot keys a sketch finds, and its memory.
func HotKeyDetection() *Table {
	t := &Table{
		Name:    "hotkeys",
		Columns: []string{"requests", "sketch-keys", "sketch-kb", "found-of-68", "add-ns"},
	}
	for _, requests := range []int{10000, 100000, 1000000} {
		random := rand.New(rand.NewPCG(5, 6))
		z := newZipfLoads(3.5e9, 68, random)
		hashes, cumulated := z.sorted()
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		sketch := load.NewSketch(load.DefaultSize)
		stream := make([]uint64, requests)
		for i := range stream {
			stream[i] = draw(random, hashes, cumulated)
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

func (z *zipfLoads) sorted() (hashes []uint64, cumulated []float64) {
	for h := range z.hot {
		hashes = append(hashes, h)
	}
	sort.Slice(hashes, func(i, j int) bool { return hashes[i] < hashes[j] })
	sum := 0.0
	for _, h := range hashes {
		sum += z.hot[h]
		cumulated = append(cumulated, sum)
	}
	return hashes, cumulated
}

func draw(random *rand.Rand, hashes []uint64, cumulated []float64) uint64 {
	x := random.Float64()
	i := sort.SearchFloat64s(cumulated, x)
	if i < len(hashes) {
		return hashes[i]
	}
	return random.Uint64()
}
