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
	w := newWorld(worldConfig{
		nodes:   3,
		holders: 4,
		slices:  4,
		zones:   3,
	})
	w.run(3*time.Second, quantum)
	c.Assert(w.overlap, qt.Equals, "")
	c.Assert(w.unowned(), qt.Equals, 0)
}

// fault is something that goes wrong for a while.
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
func (w *world) apply(f fault, on bool) {
	n := w.nodes[f.target%len(w.nodes)]
	h := w.holders[f.target%len(w.holders)]
	switch f.kind {
	case "platform-down":
		w.down = on
	case "lose-answer":
		if on {
			w.loseAnswers++
		}
	case "block":
		n.blocked = on
	case "isolate":
		n.isolated = on
		n.blocked = on
	case "pause":
		n.paused = on
		if !on {
			w.resume(f.target % len(w.nodes))
		}
	case "freeze":
		h.frozen = on
		if !on {
			w.thaw(h)
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
		w.setOut(h.name, on)
	}
}

var faultKinds = []string{
	"platform-down", "lose-answer", "block", "isolate", "pause", "freeze", "crash-holder", "restart-holder", "cut-peers",
	"out-holder",
}

// runFaults runs until end, with the faults at their times.
func (w *world) runFaults(faults []fault, end time.Duration) {
	for w.now < end {
		for _, f := range faults {
			if f.from > w.now-quantum && f.from <= w.now {
				w.apply(f, true)
			}
			if f.to > w.now-quantum && f.to <= w.now {
				w.apply(f, false)
			}
		}
		w.settle()
		w.tick(quantum)
	}
	w.settle()
}

// TestNoTwoOwnersUnderRandomFaults draws faults, delays, losses and clock rates; every violation shrinks to a small one.
func TestNoTwoOwnersUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(worldConfig{
			nodes:   rapid.IntRange(1, 5).Draw(t, "nodes"),
			holders: rapid.IntRange(2, 5).Draw(t, "holders"),
			slices:  3,
			zones:   3,
		})
		if os.Getenv("WORLD_LOG") != "" {
			w.log = func(format string, values ...any) { fmt.Printf(format+"\n", values...) }
		}
		for _, n := range w.nodes {
			n.ppm = rapid.Int64Range(-4000, 4000).Draw(t, "clock")
		}
		for _, h := range w.holders {
			h.ppm = rapid.Int64Range(-4000, 4000).Draw(t, "holder clock")
		}
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		loss := rapid.Float64Range(0, 0.1).Draw(t, "loss")
		w.delay = func(*message) time.Duration { return randomDelay(random, loss) }
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
		w.runFaults(faults, 11*time.Second)
		if w.overlap != "" {
			t.Fatalf("%s after %v", w.overlap, faults)
		}
		w.delay = nil
		w.run(w.now+8*time.Second, quantum)
		if w.unowned() != 0 || w.overlap != "" {
			t.Fatalf("%d slices have no owner 8 s after the last fault, overlap %q, after %v", w.unowned(), w.overlap, faults)
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
