package dispatch_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// compare plays a replay with the decisions of a service with one kind, as the baseline, and with those by expected cost.
func compare(c *qt.C, s replay) (before, after []replayResult) {
	c.Helper()
	mixed := s
	mixed.mixed = true
	before, allBefore := s.run()
	after, allAfter := mixed.run()
	for i := range s.kinds {
		c.Logf("priority %d before: %v", s.kinds[i].priority, before[i])
		c.Logf("priority %d after:  %v", s.kinds[i].priority, after[i])
	}
	c.Logf("all before: %v", allBefore)
	c.Logf("all after:  %v", allAfter)
	// The total may not suffer for the urgent kinds' sake.
	c.Check(allAfter.shareValue() >= 0.97*allBefore.shareValue(), qt.IsTrue, qt.Commentf("value %.3f, before %.3f", allAfter.shareValue(), allBefore.shareValue()))
	c.Check(allAfter.waited <= allBefore.waited, qt.IsTrue, qt.Commentf("%d refused after waiting, before %d", allAfter.waited, allBefore.waited))
	return before, after
}

// checkOrder checks that no kind is served less often or earns a smaller share of its value than a less urgent one, and that none is
// starved.
func checkOrder(c *qt.C, s replay, results []replayResult) {
	c.Helper()
	offered, served := 0, 0
	for _, r := range results {
		offered += r.offered
		served += r.served
	}
	for i, r := range results {
		c.Check(r.shareServed() >= 0.25*float64(served)/float64(offered), qt.IsTrue, qt.Commentf("priority %d: %v", s.kinds[i].priority, r))
		for j, other := range results {
			if s.kinds[i].priority >= s.kinds[j].priority {
				continue
			}
			c.Check(r.shareServed() >= other.shareServed()-0.05, qt.IsTrue, qt.Commentf("priority %d: %v; %d: %v", s.kinds[i].priority, r, s.kinds[j].priority, other))
			c.Check(r.shareValue() >= 0.85*other.shareValue(), qt.IsTrue, qt.Commentf("priority %d: %v; %d: %v", s.kinds[i].priority, r, s.kinds[j].priority, other))
		}
	}
}

// TestUrgentKindKeepsItsShareUnderOverload covers kinds of 180 and 1,000 ms at 1.3 times the capacity. With one average for both,
// 0.13 of the urgent requests were served in time.
func TestUrgentKindKeepsItsShareUnderOverload(t *testing.T) {
	c := qt.New(t)
	calm := openReplay(0.9)
	_, usual := compare(c, calm)
	overload := openReplay(1.3)
	before, after := compare(c, overload)
	c.Check(after[0].shareInTime() >= 0.95*usual[0].shareInTime(), qt.IsTrue, qt.Commentf("%v", after[0]))
	c.Check(before[0].shareInTime() < 0.5, qt.IsTrue, qt.Commentf("%v", before[0]))
	checkOrder(c, overload, after)
	keyed := keyedReplay(1.3)
	_, after = compare(c, keyed)
	checkOrder(c, keyed, after)
}

// TestBursts covers a burst of 1.7 times the usual load for 3 s, of all kinds and of the least urgent alone.
func TestBursts(t *testing.T) {
	c := qt.New(t)
	burst := during(5*time.Second, 8*time.Second, 1.7)
	for _, leastOnly := range []bool{false, true} {
		for _, s := range []replay{openReplay(0.9), keyedReplay(0.6)} {
			for i := range s.kinds {
				if !leastOnly || s.kinds[i].priority == 2 {
					s.kinds[i].load = burst
				}
			}
			_, after := compare(c, s)
			checkOrder(c, s, after)
			for i, r := range after {
				if s.kinds[i].priority == 0 {
					c.Check(r.shareInTime() >= 0.94, qt.IsTrue, qt.Commentf("%v", r))
				}
			}
		}
	}
}
