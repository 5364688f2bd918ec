package ownership_test

import (
	"testing"
	"time"

	"cuminlift/schema"
)

// BenchmarkTick lets time pass at a home of a settled service with 512 slices, 16 upstreams and three guardians.
func BenchmarkTick(b *testing.B) {
	w := newWorld(worldConfig{
		nodes:   3,
		holders: 16,
		slices:  32,
		zones:   3,
	})
	w.run(4*time.Second, quantum)
	n := w.nodes[0]
	now := n.clock(w.now)
	tick := &schema.OwnershipEvent{
		Kind: schema.EventKind_tick,
	}
	b.ReportAllocs()
	for b.Loop() {
		now += time.Microsecond
		n.guardian.Step(now, tick)
	}
}
