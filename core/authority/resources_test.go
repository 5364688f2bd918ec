package authority_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminlift/core/authority"
)

// fleet returns the ranks of instances by their CPU share and link, among which the best one is chosen as the coordinator does.
func fleet(load authority.Load, classes map[authority.Resources]int) map[authority.Resources][]int {
	var all []authority.Resources
	largest := uint32(0)
	for r, count := range classes {
		for range count {
			all = append(all, r)
		}
		largest = max(largest, r.CPUPermille)
	}
	needed := load.Needs()
	ranks := map[authority.Resources][]int{}
	for i, r := range all {
		ranks[r] = append(ranks[r], authority.Candidate{
			Name:               fmt.Sprint("i", i),
			Own:                r,
			Best:               authority.Best(needed, all),
			Needed:             needed,
			LargestCPUPermille: largest,
		}.Rank())
	}
	return ranks
}

func resources(cpu, link uint32) authority.Resources {
	return authority.Resources{
		CPUPermille: cpu,
		LinkMbps:    link,
		MemoryMB:    184,
		MaxFDs:      4096,
	}
}

var mixedLoad = authority.Load{
	Instances:         75,
	Upstreams:         331,
	RequestsPerSecond: 2000,
}

// TestInstancesWithSlowLinksRankBehindLargeOnes guards against a chain of short terms: 75 instances had 17 coordinators in 38 s, since
// those with 0.4 of a core counted as large beside 0.8, and their links of 10 Mbit/s couldn't carry the tickets of 2,000 requests/s.
func TestInstancesWithSlowLinksRankBehindLargeOnes(t *testing.T) {
	c := qt.New(t)
	small, middle, large := resources(120, 10), resources(400, 10), resources(800, 200)
	for _, largeOnes := range []int{20, 3, 1} {
		ranks := fleet(mixedLoad, map[authority.Resources]int{small: 30, middle: 40, large: largeOnes})
		for _, rank := range ranks[large] {
			c.Check(authority.First(rank), qt.IsTrue)
		}
		for _, rank := range append(ranks[small], ranks[middle]...) {
			c.Check(authority.First(rank), qt.IsFalse)
			// Without any of the large ones, the others follow in 2.8 s at the latest.
			c.Check(time.Duration(rank)*authority.HeartbeatInterval/4 <= 2800*time.Millisecond, qt.IsTrue)
		}
	}
	// The coordinator that follows all large ones reports that none is fitter than the middle ones, which then come first.
	ranks := fleet(mixedLoad, map[authority.Resources]int{small: 30, middle: 40})
	for i := range ranks[middle] {
		c.Check(authority.First(ranks[middle][i]), qt.IsTrue)
	}
	for i := range ranks[small] {
		c.Check(authority.First(ranks[small][i]), qt.IsFalse)
	}
}

// TestOrderStaysWhereAllCanCoordinate guards the order of takeover where no instance lacks anything: on small deployments, among
// alike instances, and beside rows of a build that doesn't tell links.
func TestOrderStaysWhereAllCanCoordinate(t *testing.T) {
	c := qt.New(t)
	smallSite := authority.Load{
		Instances:         11,
		Upstreams:         36,
		RequestsPerSecond: 400,
	}
	for name, classes := range map[string]map[authority.Resources]int{
		"links differ":      {resources(300, 10): 4, resources(300, 100): 7},
		"shares differ":     {resources(160, 100): 4, resources(500, 100): 7},
		"alike":             {resources(120, 10): 11},
		"earlier build":     {resources(300, 0): 11},
		"mixed builds":      {resources(300, 0): 5, resources(400, 100): 6},
		"nothing is known":  {{}: 11},
		"only descriptors ": {{MaxFDs: 4096}: 11},
	} {
		largest := uint32(0)
		for r := range classes {
			largest = max(largest, r.CPUPermille)
		}
		for r := range classes {
			candidate := authority.Candidate{
				Name:               "n1",
				Own:                r,
				Best:               authority.Best(smallSite.Needs(), keys(classes)),
				Needed:             smallSite.Needs(),
				LargestCPUPermille: largest,
			}
			c.Check(candidate.Rank(), qt.Equals, authority.Rank("n1", r.CPUPermille, largest), qt.Commentf("%s: %v", name, r))
		}
	}
	// Alike instances that are all too small for the load keep their order, too.
	alike := resources(120, 10)
	for i, rank := range fleet(mixedLoad, map[authority.Resources]int{alike: 75})[alike] {
		c.Check(rank, qt.Equals, authority.Rank(fmt.Sprint("i", i), 120, 120))
	}
}

func keys(classes map[authority.Resources]int) []authority.Resources {
	var all []authority.Resources
	for r := range classes {
		all = append(all, r)
	}
	return all
}

// TestDemandKeepsPeaks guards against a coordinator that takes the trough of a wave for its load, and against one that starts with none.
func TestDemandKeepsPeaks(t *testing.T) {
	c := qt.New(t)
	d := authority.NewDemand(1500)
	count := uint64(0)
	for now := time.Duration(0); now < 12*time.Second; now += 20 * time.Millisecond {
		d.Observe(now, count)
		if now < 6*time.Second {
			count += 40
		}
	}
	c.Check(d.Rate() > 1700 && d.Rate() <= 2000, qt.IsTrue, qt.Commentf("%v", d.Rate()))
}

// TestLostPathsKeepTheOrderBySize guards against a takeover that waits longer than needed, or that falls to an instance too small for the
// work, because an availability zone is cut off and the instances of all others lose paths alike.
func TestLostPathsKeepTheOrderBySize(t *testing.T) {
	c := qt.New(t)
	large := authority.Resources{
		CPUPermille: 800,
		LinkMbps:    200,
	}
	small := authority.Resources{
		CPUPermille: 120,
		LinkMbps:    10,
	}
	firstLarge, lastSmall, firstPathlessSmall, lastPathlessLarge := 1000, 0, 1000, 0
	for i := range 200 {
		candidate := authority.Candidate{
			Name:   fmt.Sprint("instance-", i),
			Own:    large,
			Best:   large,
			Needed: large,
		}
		pathless := authority.RankWithoutPaths(candidate.Rank())
		firstLarge, lastPathlessLarge = min(firstLarge, pathless), max(lastPathlessLarge, pathless)
		candidate.Own = small
		lastSmall = max(lastSmall, candidate.Rank())
		firstPathlessSmall = min(firstPathlessSmall, authority.RankWithoutPaths(candidate.Rank()))
	}
	c.Check(lastSmall < firstLarge, qt.IsTrue, qt.Commentf("small with paths %d, large without %d", lastSmall, firstLarge))
	c.Check(lastPathlessLarge < firstPathlessSmall, qt.IsTrue, qt.Commentf("large %d, small %d", lastPathlessLarge, firstPathlessSmall))
}
