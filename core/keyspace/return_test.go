package keyspace_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// returnPause is the time before keys may go back to an upstream that has given them up, unless their holder leaves.
const returnPause = 4 * time.Second

// ownerHistory follows the owners of some keys.
type ownerHistory struct {
	// owners holds the owners of a key in order, and left when each of them was last seen with it.
	owners map[uint32][]string
	left   map[uint32]map[string]time.Duration
	// moves counts the changes, and returns those to an upstream that has given up the key less than returnPause before.
	moves, returns int
	first          string
}

func newOwnerHistory() *ownerHistory {
	return &ownerHistory{
		owners: map[uint32][]string{},
		left:   map[uint32]map[string]time.Duration{},
	}
}

// follow records the owners of keys at the present time of b.
func (h *ownerHistory) follow(b *balanceSimulation, keys []uint32) {
	for _, key := range keys {
		id, ok := b.manager.Owner(b.now, key)
		if !ok {
			continue
		}
		if h.left[key] == nil {
			h.left[key] = map[string]time.Duration{}
		}
		if owners := h.owners[key]; len(owners) == 0 || owners[len(owners)-1] != id {
			h.owners[key] = append(owners, id)
			if len(owners) > 0 {
				h.moves++
			}
			if left, before := h.left[key][id]; before && b.now-left < returnPause {
				h.returns++
				if h.first == "" {
					h.first = fmt.Sprintf("key %d at %v: %v, given up %v ago", key, b.now, h.owners[key], b.now-left)
				}
			}
		}
		h.left[key][id] = b.now
	}
}

// TestRangesDoNotReturnToAHolderThatJustGaveThemUp changes hot ranges and the capacities of holders that are nearly full, as they are
// measured under load. Ranges went to another holder and back within a tenth of a second.
func TestRangesDoNotReturnToAHolderThatJustGaveThemUp(t *testing.T) {
	for _, upstreams := range []int{2, 5, 20} {
		t.Run(fmt.Sprint(upstreams, " upstreams"), func(t *testing.T) {
			c := qt.New(t)
			capacities := manyUpstreams(upstreams)
			b := newBalanceSimulation(c, capacities...)
			capacityRandom := rand.New(rand.NewPCG(5, uint64(upstreams)))
			history := newOwnerHistory()
			for round := range uint32(15) {
				rates := decreasingLoad(9 * float64(upstreams))
				for key := range uint32(200) {
					rates[(round*23456+3*key)%(1<<16)] += 0.03 * float64(upstreams)
				}
				keys := slices.Sorted(maps.Keys(rates))
				for range 20 {
					for i, capacity := range capacities {
						b.upstreams[i].Capacity = capacity * (0.7 + 0.6*capacityRandom.Float64())
					}
					for range 10 {
						b.run(10*time.Millisecond, rates)
						history.follow(b, keys)
					}
				}
			}
			c.Check(history.returns, qt.Equals, 0, qt.Commentf("of %d moves of keys; first: %s", history.moves, history.first))
			c.Check(history.moves > 0, qt.IsTrue)
		})
	}
}
