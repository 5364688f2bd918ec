package ownership_test

import (
	"testing"
	"time"

	"cuminlift/schema"
)

// BenchmarkTick measures a tick at a home of an idle service with 512 slices, 16 upstreams and three guardians.
func BenchmarkTick(b *testing.B) {
	sim := newSimulation(simulationConfig{
		nodes:   3,
		holders: 16,
		slices:  32,
		zones:   3,
	})
	sim.run(4*time.Second, quantum)
	n := sim.nodes[0]
	now := n.clock(sim.now)
	tick := &schema.OwnershipEvent{
		Kind: schema.EventKind_tick,
	}
	b.ReportAllocs()
	for b.Loop() {
		now += time.Microsecond
		n.guardian.Step(now, tick)
	}
}
