// Package load measures the traffic of each slice and detects hot keys in bounded memory.
package load

import (
	"sort"
	"sync"
	"time"

	"cuminlift/core/ownership"
	"cuminlift/schema"
)

// DefaultSize is the default number of keys tracked by a sketch. Each takes about 50 bytes.
const DefaultSize = 4096

// bins is the number of equal parts of the hash space in which a sketch counts all traffic.
const bins = 1 << 14

// Sketch counts requests by key with the Space-Saving algorithm. It is accurate for the few most frequent keys and
// overestimates a key by at most the number of requests divided by the size. It is safe for concurrent use.
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
	// maxOvercount is the maximum error by which count is too high.
	maxOvercount uint64
	index        int
}

// NewSketch returns an empty sketch that tracks up to size keys.
func NewSketch(size int) *Sketch {
	return &Sketch{
		size:   size,
		counts: map[uint64]*entry{},
		bins:   make([]uint32, bins),
	}
}

// Add counts one request for the key with the given hash.
func (s *Sketch) Add(hash uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.total++
	s.bins[hash/(ownership.MaxHash/bins+1)]++
	if e := s.counts[hash]; e != nil {
		e.count++
		s.siftDown(e.index)
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
		s.siftUp(e.index)
		return
	}
	least := s.heap[0]
	delete(s.counts, least.hash)
	least.hash = hash
	least.maxOvercount = least.count
	least.count++
	s.counts[hash] = least
	s.siftDown(0)
}

func (s *Sketch) swap(i, j int) {
	s.heap[i], s.heap[j] = s.heap[j], s.heap[i]
	s.heap[i].index = i
	s.heap[j].index = j
}

func (s *Sketch) siftUp(i int) {
	for i > 0 && s.heap[(i-1)/2].count > s.heap[i].count {
		s.swap(i, (i-1)/2)
		i = (i - 1) / 2
	}
}

func (s *Sketch) siftDown(i int) {
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

// Key is a tracked key.
type Key struct {
	Hash uint64
	// Count is a lower bound for the number of requests for the key.
	Count uint64
}

// Counts holds the requests counted in a period.
type Counts struct {
	Total uint64
	// Keys is sorted by hash.
	Keys []Key
	// Bins counts all requests by equal parts of the hash space.
	Bins []uint32
}

// Take returns the counts and resets the sketch.
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
			Count: e.count - e.maxOvercount,
		})
	}
	sort.Slice(counts.Keys, func(i, j int) bool { return counts.Keys[i].Hash < counts.Keys[j].Hash })
	s.counts = map[uint64]*entry{}
	s.heap = s.heap[:0]
	s.total = 0
	s.bins = make([]uint32, bins)
	return counts
}

// minHotCount is the number of requests in a period below which no key is reported as hot.
const minHotCount = 16

// SliceLoads computes the load of each slice whose owner is in a selected zone, in requests per second, and its hottest
// key.
func SliceLoads(document *schema.Ownership, counts Counts, period time.Duration, selected func(zone string) bool) []*schema.SliceLoad {
	slices := document.GetSlices()
	sums := sliceCounts(slices, counts)
	zones := map[string]bool{}
	for _, h := range document.GetHolders() {
		zones[h.GetName()] = selected(h.GetZone())
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
		if hottest.Count >= minHotCount {
			l.Hot = hottest.Hash
			l.HotRate = float32(float64(hottest.Count) / period.Seconds())
		}
		loads = append(loads, l)
	}
	return loads
}

// sliceCounts distributes the counts among the slices. Tracked keys count for the slice that contains them; the
// remaining requests of a bin are divided by width.
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
