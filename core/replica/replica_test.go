package replica_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"cuminlift"
	"cuminlift/core/replica"
)

// knownVersions returns the versions of a table's rows by key.
func knownVersions(t *replica.Table) map[string]uint64 {
	known := map[string]uint64{}
	page, _, _ := t.Since(0)
	for _, row := range page.Rows {
		if !row.Removed {
			known[row.Key] = row.Version
		}
	}
	return known
}

// TestFollowerMatchesLeaderAfterCatchingUp changes a table at random and lets a follower catch up from what it knew
// earlier, sometimes after the leader has dropped the removals since then. It guards against a follower that keeps
// removed rows or misses changed ones.
func TestFollowerMatchesLeaderAfterCatchingUp(t *testing.T) {
	c := qt.New(t)
	snapshots, deltas := 0, 0
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
			page, snapshot, ok := leader.Since(since)
			c.Assert(ok, qt.IsTrue)
			c.Assert(follower.CanApply(page, snapshot, since), qt.IsTrue)
			follower.Apply(page, snapshot)
			c.Assert(knownVersions(follower), qt.DeepEquals, knownVersions(leader))
			c.Assert(follower.SyncedVersion(), qt.Equals, version)
			if snapshot {
				snapshots++
			} else {
				deltas++
			}
		}
	}
	c.Check(snapshots > 0 && deltas > snapshots, qt.IsTrue, qt.Commentf("%d snapshots, %d pages of changes", snapshots, deltas))
}

func TestPageWithAGapIsRejected(t *testing.T) {
	c := qt.New(t)
	table := &replica.Table{}
	c.Check(table.CanApply(cuminlift.RowPage{}, false, 0), qt.IsFalse) // No snapshot has been read.
	table.Apply(cuminlift.RowPage{
		Version: 5,
	}, true)
	c.Check(table.CanApply(cuminlift.RowPage{}, false, 6), qt.IsFalse)
	c.Check(table.CanApply(cuminlift.RowPage{}, false, 5), qt.IsTrue)
	table.Invalidate()
	c.Check(table.SyncedVersion(), qt.Equals, uint64(0))
	c.Check(table.CanApply(cuminlift.RowPage{}, false, 5), qt.IsFalse)
}
