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
	page, _, _ := t.Since(0, 0)
	for _, row := range page.Rows {
		if !row.Removed {
			known[row.Key] = row.Version
		}
	}
	return known
}

func apply(c *qt.C, t *replica.Table, page cuminlift.RowPage, snapshot bool, since uint64) {
	_, ok := t.Apply(page, snapshot, since)
	c.Assert(ok, qt.IsTrue)
}

// TestLatePageRestoresNothing guards against an instance that brings back a row it has already seen removed or replaced. A
// read of the store was answered late, after the coordinator had forwarded newer rows.
func TestLatePageRestoresNothing(t *testing.T) {
	c := qt.New(t)
	table := &replica.Table{}
	apply(c, table, cuminlift.RowPage{
		Version: 5,
		Rows: []cuminlift.Row{{
			Key:     "left",
			Version: 2,
		}, {
			Key:     "kept",
			Version: 3,
		}},
	}, true, 0)
	apply(c, table, cuminlift.RowPage{
		Version: 9,
		Rows: []cuminlift.Row{{
			Key:     "left",
			Version: 7,
			Removed: true,
		}, {
			Key:     "kept",
			Version: 9,
		}},
	}, false, 5)
	late := cuminlift.RowPage{
		Version: 6,
		Rows: []cuminlift.Row{{
			Key:     "left",
			Version: 6,
		}, {
			Key:     "kept",
			Version: 6,
		}},
	}
	news, ok := table.Apply(late, false, 5)
	c.Check(ok, qt.IsTrue)
	c.Check(news.Rows, qt.HasLen, 0)
	_, ok = table.Apply(late, true, 0)
	c.Check(ok, qt.IsFalse, qt.Commentf("a snapshot from before the removal"))
	c.Check(knownVersions(table), qt.DeepEquals, map[string]uint64{
		"kept": 9,
	})
	c.Check(table.SyncedVersion(), qt.Equals, uint64(9))
	table.Invalidate()
	_, ok = table.Apply(late, true, 0)
	c.Check(ok, qt.IsFalse, qt.Commentf("a snapshot from before the removal, after the history was lost"))
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
		apply(c, leader, cuminlift.RowPage{
			Version: version,
		}, true, 0)
		apply(c, follower, cuminlift.RowPage{
			Version: version,
		}, true, 0)
		for range 40 {
			for range random.IntN(800) {
				version++
				apply(c, leader, cuminlift.RowPage{
					Version: version,
					Rows: []cuminlift.Row{{
						Key:     fmt.Sprint(random.IntN(50)),
						Version: version,
						Removed: random.IntN(3) == 0,
					}},
				}, false, version-1)
			}
			if random.IntN(4) > 0 {
				continue
			}
			since := follower.SyncedVersion()
			page, snapshot, ok := leader.Since(0, since)
			c.Assert(ok, qt.IsTrue)
			apply(c, follower, page, snapshot, since)
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
	apply(c, table, cuminlift.RowPage{
		Version: 5,
	}, true, 0)
	c.Check(table.CanApply(cuminlift.RowPage{}, false, 6), qt.IsFalse)
	c.Check(table.CanApply(cuminlift.RowPage{}, false, 5), qt.IsTrue)
	table.Invalidate()
	c.Check(table.SyncedVersion(), qt.Equals, uint64(0))
	c.Check(table.CanApply(cuminlift.RowPage{}, false, 5), qt.IsFalse)
}

// TestEmptyPagesAreNoChanges guards against a follower whose copy counts as older than that of the coordinator, although it lacks no
// row: pages without rows are not forwarded.
func TestEmptyPagesAreNoChanges(t *testing.T) {
	c := qt.New(t)
	coordinator, follower := &replica.Table{}, &replica.Table{}
	for _, table := range []*replica.Table{coordinator, follower} {
		apply(c, table, cuminlift.RowPage{
			Version: 5,
		}, true, 0)
	}
	apply(c, coordinator, cuminlift.RowPage{
		Version: 8,
	}, false, 5)
	c.Check(coordinator.Position().Version, qt.Equals, uint64(8))
	c.Check(follower.Position().Before(coordinator.LastChange()), qt.IsFalse)
	apply(c, coordinator, cuminlift.RowPage{
		Version: 12,
		Rows: []cuminlift.Row{{
			Key:     "k",
			Version: 11,
		}},
	}, false, 8)
	c.Check(follower.Position().Before(coordinator.LastChange()), qt.IsTrue)
	coordinator.Invalidate()
	c.Check(coordinator.Position().Version, qt.Equals, uint64(12))
	apply(c, follower, cuminlift.RowPage{
		Version: 1,
		Era:     1,
	}, true, 0)
	c.Check(coordinator.Position().Before(follower.LastChange()), qt.IsTrue, qt.Commentf("a later era"))
}
