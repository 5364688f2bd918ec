// Package load finds how much traffic each slice gets and which keys are hot, in bounded memory.
package load

import (
	"sort"
	"sync"
	"time"

	"cuminlift/core/ownership"
	"cuminlift/schema"
)

// DefaultSize is the number of keys that a sketch follows: about 50 bytes each.
const DefaultSize = 4096

// bins is the number of equal parts of the hash space in which a sketch counts all traffic.
const bins = 1 << 14

// Sketch counts requests by key, exactly for the few keys that matter: the Space-Saving algorithm, which overestimates
// a key by at most the number of requests divided by its size. It is safe for concurrent use.
type Sketch struct {
	mutex  sync.Mutex
	size   int
	counts map[uint64]*entry
	heap   []*entry
	total  uint64
	bins   []uint32
}

type entry struct {
	hash  uint64
	count uint64
	// over is the most by which count may be too high.
	over  uint64
	index int
}

// NewSketch returns an empty sketch that follows size keys.
func NewSketch(size int) *Sketch {
	return &Sketch{
		size:   size,
		counts: map[uint64]*entry{},
		bins:   make([]uint32, bins),
	}
}

// Add counts one request for the key with hash.
func (s *Sketch) Add(hash uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.total++
	s.bins[hash/(ownership.MaxHash/bins+1)]++
	if e := s.counts[hash]; e != nil {
		e.count++
		s.sink(e.index)
		return
	}
	if len(s.heap) < s.size {
		e := &entry{
			hash:  hash,
			count: 1,
			index: len(s.heap),
		}
		s.heap = append(s.heap, e)
		s.counts[hash] = e
		s.rise(e.index)
		return
	}
	least := s.heap[0]
	delete(s.counts, least.hash)
	least.hash = hash
	least.over = least.count
	least.count++
	s.counts[hash] = least
	s.sink(0)
}

func (s *Sketch) swap(i, j int) {
	s.heap[i], s.heap[j] = s.heap[j], s.heap[i]
	s.heap[i].index = i
	s.heap[j].index = j
}

func (s *Sketch) rise(i int) {
	for i > 0 && s.heap[(i-1)/2].count > s.heap[i].count {
		s.swap(i, (i-1)/2)
		i = (i - 1) / 2
	}
}

func (s *Sketch) sink(i int) {
	for {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(s.heap); child++ {
			if s.heap[child].count < s.heap[least].count {
				least = child
			}
		}
		if least == i {
			return
		}
		s.swap(i, least)
		i = least
	}
}

// Key is a counted key.
type Key struct {
	Hash uint64
	// Count is the least number of requests that the key surely had.
	Count uint64
}

// Counts is what a sketch counted in a period.
type Counts struct {
	Total uint64
	// Keys is sorted by hash.
	Keys []Key
	// Bins counts the requests in equal parts of the hash space.
	Bins []uint32
}

// Take returns the counts and starts anew.
func (s *Sketch) Take() Counts {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	counts := Counts{
		Total: s.total,
		Keys:  make([]Key, 0, len(s.heap)),
		Bins:  s.bins,
	}
	for _, e := range s.heap {
		counts.Keys = append(counts.Keys, Key{
			Hash:  e.hash,
			Count: e.count - e.over,
		})
	}
	sort.Slice(counts.Keys, func(i, j int) bool { return counts.Keys[i].Hash < counts.Keys[j].Hash })
	s.counts = map[uint64]*entry{}
	s.heap = s.heap[:0]
	s.total = 0
	s.bins = make([]uint32, bins)
	return counts
}

// minimumHot is the number of requests in a period below which no key counts as hot.
const minimumHot = 16

// SliceLoads turns counts into the load of each slice whose owner's zone is mine, in requests a second, with the hottest key.
func SliceLoads(document *schema.Ownership, counts Counts, period time.Duration, mine func(zone string) bool) []*schema.SliceLoad {
	slices := document.GetSlices()
	sums := sliceCounts(slices, counts)
	zones := map[string]bool{}
	for _, h := range document.GetHolders() {
		zones[h.GetName()] = mine(h.GetZone())
	}
	var loads []*schema.SliceLoad
	next := 0
	for i, s := range slices {
		end := ownership.SliceEnd(slices, i)
		hottest := Key{}
		for next < len(counts.Keys) && counts.Keys[next].Hash <= end {
			if k := counts.Keys[next]; k.Count > hottest.Count {
				hottest = k
			}
			next++
		}
		if !zones[s.GetOwner()] {
			continue
		}
		l := &schema.SliceLoad{
			Start: s.GetStart(),
			Rate:  float32(sums[i] / period.Seconds()),
		}
		if hottest.Count >= minimumHot {
			l.Hot = hottest.Hash
			l.HotRate = float32(float64(hottest.Count) / period.Seconds())
		}
		loads = append(loads, l)
	}
	return loads
}

// sliceCounts divides the counts of the bins among slices: keys that are followed count where they lie, the rest of a
// bin by width.
func sliceCounts(slices []*schema.Slice, counts Counts) []float64 {
	sums := make([]float64, len(slices))
	width := ownership.MaxHash/bins + 1
	rest := make([]float64, len(counts.Bins))
	for i, n := range counts.Bins {
		rest[i] = float64(n)
	}
	for _, k := range counts.Keys {
		sums[ownership.SliceIndex(slices, k.Hash)] += float64(k.Count)
		rest[k.Hash/width] -= float64(k.Count)
	}
	slice := 0
	for i, n := range rest {
		low := uint64(i) * width
		high := low + width - 1
		for slice < len(slices) && ownership.SliceEnd(slices, slice) < low {
			slice++
		}
		for j := slice; j < len(slices) && slices[j].GetStart() <= high; j++ {
			from := max(low, slices[j].GetStart())
			to := min(high, ownership.SliceEnd(slices, j))
			sums[j] += max(0, n) * (float64(to-from) + 1) / float64(width)
		}
	}
	return sums
}
