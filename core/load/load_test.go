package load_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminlift/core/load"
	"cuminlift/core/ownership"
	"cuminlift/schema"
)

func TestSketchNeverOvercounts(t *testing.T) {
	c := qt.New(t)
	s := load.NewSketch(64)
	random := rand.New(rand.NewPCG(1, 2))
	truth := map[uint64]uint64{}
	for range 20000 {
		hash := uint64(random.ExpFloat64()*30) << 50
		truth[hash]++
		s.Add(hash)
	}
	counts := s.Take()
	c.Assert(counts.Total, qt.Equals, uint64(20000))
	for _, k := range counts.Keys {
		c.Assert(k.Count <= truth[k.Hash], qt.IsTrue)
	}
	for hash, n := range truth {
		if n < 20000/64*2 {
			continue
		}
		found := false
		for _, k := range counts.Keys {
			found = found || (k.Hash == hash && k.Count > 0)
		}
		c.Assert(found, qt.IsTrue)
	}
}

func TestSliceLoadsSumToTotalAndReportHotKey(t *testing.T) {
	c := qt.New(t)
	document := &schema.Ownership{
		Holders: []*schema.Holder{{
			Name: "a",
			Zone: "z",
		}},
		Slices: []*schema.Slice{
			{
				Owner: "a",
			},
			{
				Start: ownership.MaxHash / 3,
				Owner: "a",
			},
		},
	}
	s := load.NewSketch(16)
	random := rand.New(rand.NewPCG(3, 4))
	for range 5000 {
		s.Add(random.Uint64())
	}
	const hot = ownership.MaxHash / 2
	for range 500 {
		s.Add(hot)
	}
	loads := load.SliceLoads(document, s.Take(), 10*time.Second, func(string) bool { return true })
	c.Assert(loads, qt.HasLen, 2)
	sum := float64(loads[0].GetRate() + loads[1].GetRate())
	c.Assert(sum > 540 && sum < 560, qt.IsTrue, qt.Commentf("%v", sum))
	c.Assert(loads[1].GetHot(), qt.Equals, uint64(hot))
	c.Assert(loads[0].GetHot(), qt.Equals, uint64(0))
}
