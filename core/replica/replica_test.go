package replica_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"cuminlift"
	"cuminlift/core/replica"
)

// all returns the keys and versions of a table's rows.
func all(t *replica.Table) map[string]uint64 {
	known := map[string]uint64{}
	page, _, _ := t.Since(0)
	for _, row := range page.Rows {
		if !row.Removed {
			known[row.Key] = row.Version
		}
	}
	return known
}

// TestFollowerThatJoinsAtAnyTimeKnowsTheSame plays a table whose rows come and go, and followers that join with what they knew from earlier,
// sometimes so much earlier that the removals are forgotten.
func TestFollowerThatJoinsAtAnyTimeKnowsTheSame(t *testing.T) {
	c := qt.New(t)
	wholes, parts := 0, 0
	for seed := range uint64(30) {
		random := rand.New(rand.NewPCG(seed, 3))
		leader, follower := &replica.Table{}, &replica.Table{}
		version := uint64(1)
		leader.Apply(cuminlift.RowPage{
			Version: version,
		}, true)
		follower.Apply(cuminlift.RowPage{
			Version: version,
		}, true)
		for range 40 {
			for range random.IntN(800) {
				version++
				leader.Apply(cuminlift.RowPage{
					Version: version,
					Rows: []cuminlift.Row{{
						Key:     fmt.Sprint(random.IntN(50)),
						Version: version,
						Removed: random.IntN(3) == 0,
					}},
				}, false)
			}
			if random.IntN(4) > 0 {
				continue
			}
			since := follower.SyncedVersion()
			page, whole, ok := leader.Since(since)
			c.Assert(ok, qt.IsTrue)
			c.Assert(follower.CanApply(page, whole, since), qt.IsTrue)
			follower.Apply(page, whole)
			c.Assert(all(follower), qt.DeepEquals, all(leader))
			c.Assert(follower.SyncedVersion(), qt.Equals, version)
			if whole {
				wholes++
			} else {
				parts++
			}
		}
	}
	c.Check(wholes > 0 && parts > wholes, qt.IsTrue, qt.Commentf("%d whole, %d in part", wholes, parts))
}

func TestPageWithAGapDoesNotJoin(t *testing.T) {
	c := qt.New(t)
	table := &replica.Table{}
	c.Check(table.CanApply(cuminlift.RowPage{}, false, 0), qt.IsFalse) // Nothing was read.
	table.Apply(cuminlift.RowPage{
		Version: 5,
	}, true)
	c.Check(table.CanApply(cuminlift.RowPage{}, false, 6), qt.IsFalse)
	c.Check(table.CanApply(cuminlift.RowPage{}, false, 5), qt.IsTrue)
	table.Invalidate()
	c.Check(table.SyncedVersion(), qt.Equals, uint64(0))
	c.Check(table.CanApply(cuminlift.RowPage{}, false, 5), qt.IsFalse)
}
