package keyspace_test

import (
	"maps"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Three holders of 40 that answer others can't be granted keys by the coordinator. It doesn't resign for less than a tenth of them.
func TestKeysOfSingleUnreachedHoldersAreAssignedToOthers(t *testing.T) {
	c := qt.New(t)
	capacities := manyUpstreams(40)
	b := newBalanceSimulation(c, capacities...)
	rates := decreasingLoad(200)
	b.run(5*time.Second, rates)
	b.dark = map[string]bool{"u3": true, "u17": true, "u30": true}
	held := map[string]uint32{}
	for key := uint32(0); key < 1<<16; key += 64 {
		if id, ok := b.manager.Owner(b.now, key); ok && b.dark[id] {
			held[id] = key
		}
	}
	lastAnswer := map[string]time.Duration{}
	without := map[string]time.Duration{}
	for range 3000 {
		for i := range b.upstreams {
			u := &b.upstreams[i]
			// It answers the requests of others while it is known to hold keys.
			for key := uint32(0); key < 1<<16 && b.dark[u.ID]; key += 64 {
				if id, ok := b.manager.Owner(b.now, key); ok && id == u.ID {
					lastAnswer[u.ID] = b.now
					break
				}
			}
			u.Responsive = !b.dark[u.ID] || (lastAnswer[u.ID] != 0 && b.now-lastAnswer[u.ID] < 700*time.Millisecond)
		}
		b.run(10*time.Millisecond, rates)
		for id, key := range held {
			if _, ok := b.manager.Owner(b.now, key); !ok {
				without[id] += 10 * time.Millisecond
			}
		}
	}
	for id, d := range without {
		// Renewal, call timeout, end of the grant and transit, as in the comment on DefaultHold.
		c.Check(d <= 3500*time.Millisecond, qt.IsTrue, qt.Commentf("a key of %s has no owner for %v", id, d))
	}
}

// An upstream whose zone is evacuated for half a second gets the load on its former keys back late.
func TestHolderThatWasTakenOutForAMomentGetsItsLoadBack(t *testing.T) {
	c := qt.New(t)
	b := newBalanceSimulation(c, 20, 20)
	base := map[uint32]float64{}
	for key := uint32(0); key < 1<<16; key += 1 << 11 {
		base[key] = 0.1
	}
	b.run(5*time.Second, base)
	b.upstreams[0].Usable = false
	b.run(500*time.Millisecond, base)
	b.upstreams[0].Usable = true
	rates := maps.Clone(base)
	for key := uint32(5000); key < 5200; key++ {
		rates[key] = 0.15 // 30 requests per second, on former keys of u0.
	}
	overloaded := time.Duration(0)
	for range 800 {
		b.run(10*time.Millisecond, rates)
		if b.loads(rates)["u1"] > 24 {
			overloaded += 10 * time.Millisecond
		}
	}
	c.Check(overloaded < 2*time.Second, qt.IsTrue, qt.Commentf("overloaded for %v", overloaded))
}
