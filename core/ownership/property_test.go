package ownership_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

const quantum = 20 * time.Millisecond

func TestEverySliceIsOwnedSoonAfterTheStart(t *testing.T) {
	c := qt.New(t)
	sim := newSimulation(simulationConfig{
		nodes:   3,
		holders: 4,
		slices:  4,
		zones:   3,
	})
	sim.run(3*time.Second, quantum)
	c.Assert(sim.overlap, qt.Equals, "")
	c.Assert(sim.unowned(), qt.Equals, 0)
}

// fault is a failure that lasts for a period.
type fault struct {
	kind   string
	target int
	from   time.Duration
	to     time.Duration
}

func (f fault) String() string {
	return fmt.Sprintf("%s %d from %v to %v", f.kind, f.target, f.from, f.to)
}

// apply starts or ends f.
func (sm *simulation) apply(f fault, on bool) {
	n := sm.nodes[f.target%len(sm.nodes)]
	h := sm.holders[f.target%len(sm.holders)]
	switch f.kind {
	case "platform-down":
		sm.platformDown = on
	case "lose-answer":
		if on {
			sm.answersToLose++
		}
	case "block":
		n.blocked = on
	case "isolate":
		n.isolated = on
		n.blocked = on
	case "pause":
		n.paused = on
		if !on {
			sm.resume(f.target % len(sm.nodes))
		}
	case "freeze":
		h.frozen = on
		if !on {
			sm.unfreeze(h)
		}
	case "crash-holder":
		h.dead = on
		if !on {
			h.restart()
		}
	case "restart-holder":
		if on {
			h.restart()
		}
	case "cut-peers":
		n.isolated = on
	case "out-holder":
		sm.setOutOfService(h.name, on)
	}
}

var faultKinds = []string{
	"platform-down", "lose-answer", "block", "isolate", "pause", "freeze", "crash-holder", "restart-holder", "cut-peers",
	"out-holder",
}

// runFaults runs until end and applies the faults at their times.
func (sm *simulation) runFaults(faults []fault, end time.Duration) {
	for sm.now < end {
		for _, f := range faults {
			if f.from > sm.now-quantum && f.from <= sm.now {
				sm.apply(f, true)
			}
			if f.to > sm.now-quantum && f.to <= sm.now {
				sm.apply(f, false)
			}
		}
		sm.deliverDue()
		sm.tick(quantum)
	}
	sm.deliverDue()
}

// TestNoTwoOwnersUnderRandomFaults draws faults, delays, losses and clock rates. It guards against a hash with two
// owners, and against slices that stay without an owner after the last fault. rapid shrinks each violation to a small
// case.
func TestNoTwoOwnersUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(simulationConfig{
			nodes:   rapid.IntRange(1, 5).Draw(t, "nodes"),
			holders: rapid.IntRange(2, 5).Draw(t, "holders"),
			slices:  3,
			zones:   3,
		})
		if os.Getenv("WORLD_LOG") != "" {
			sim.log = func(format string, values ...any) { fmt.Printf(format+"\n", values...) }
		}
		for _, n := range sim.nodes {
			n.clockPPM = rapid.Int64Range(-4000, 4000).Draw(t, "clock")
		}
		for _, h := range sim.holders {
			h.clockPPM = rapid.Int64Range(-4000, 4000).Draw(t, "holder clock")
		}
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		loss := rapid.Float64Range(0, 0.1).Draw(t, "loss")
		sim.delay = func(*message) time.Duration { return randomDelay(random, loss) }
		var faults []fault
		for range rapid.IntRange(0, 6).Draw(t, "faults") {
			from := time.Duration(rapid.IntRange(1000, 6000).Draw(t, "from")) * time.Millisecond
			faults = append(faults, fault{
				kind:   rapid.SampledFrom(faultKinds).Draw(t, "kind"),
				target: rapid.IntRange(0, 4).Draw(t, "target"),
				from:   from,
				to:     from + time.Duration(rapid.IntRange(50, 4000).Draw(t, "length"))*time.Millisecond,
			})
		}
		sim.runFaults(faults, 11*time.Second)
		if sim.overlap != "" {
			t.Fatalf("%s after %v", sim.overlap, faults)
		}
		sim.delay = nil
		sim.run(sim.now+8*time.Second, quantum)
		if sim.unowned() != 0 || sim.overlap != "" {
			t.Fatalf("%d slices have no owner 8 s after the last fault, overlap %q, after %v", sim.unowned(), sim.overlap, faults)
		}
	})
}

func randomDelay(random *rand.Rand, loss float64) time.Duration {
	if random.Float64() < loss {
		return -1
	}
	switch random.IntN(10) {
	case 0:
		return time.Duration(random.IntN(1500)) * time.Millisecond
	case 1, 2:
		return time.Duration(random.IntN(100)) * time.Millisecond
	}
	return time.Duration(random.IntN(10)) * time.Millisecond
}
