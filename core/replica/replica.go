// Package replica keeps an instance's copy of a table of the store and computes which changes another instance lacks.
package replica

import "cuminlift"

// Table is the copy of one table. It is not safe for concurrent use.
type Table struct {
	rows   map[string]cuminlift.Row
	loaded bool
	// syncedVersion is the version up to which all changes are known, also while loaded is false. It was given out in era.
	syncedVersion, era uint64
	// changedVersion is the version of the latest known change.
	changedVersion uint64
	// removals are the rows removed after removalsSince, ordered by version.
	removals      []cuminlift.Row
	removalsSince uint64
}

// maxRemovals bounds the number of removed rows that are kept. An instance that lacks more removals gets a snapshot.
const maxRemovals = 2048

// Apply applies a page, which is either a snapshot of all rows or the rows that changed, and returns it without the changes
// that were known before. A page may arrive late, after newer ones from another source: ok is false if it must not be
// applied, because it is older than what is known or leaves a gap. A page of changes must hold all changes after since.
func (t *Table) Apply(page cuminlift.RowPage, snapshot bool, since uint64) (news cuminlift.RowPage, ok bool) {
	if !t.CanApply(page, snapshot, since) {
		if page.Era > t.era {
			t.loaded = false // Changes are missing before those of the new era.
		}
		return cuminlift.RowPage{}, false
	}
	if page.Era > t.era {
		t.era, t.syncedVersion, t.changedVersion = page.Era, 0, 0
	}
	news.Version, news.Era = page.Version, page.Era
	if snapshot {
		t.rows = make(map[string]cuminlift.Row, len(page.Rows))
		t.loaded = true
		t.removals = nil
		// The rows removed up to this version are unknown.
		t.removalsSince = page.Version
		t.changedVersion = max(t.changedVersion, page.Version)
	}
	for _, row := range page.Rows {
		if !snapshot && row.Version <= t.syncedVersion {
			continue
		}
		news.Rows = append(news.Rows, row)
		t.changedVersion = max(t.changedVersion, row.Version)
		if !row.Removed {
			t.rows[row.Key] = row
			continue
		}
		delete(t.rows, row.Key)
		t.removals = append(t.removals, row)
	}
	if excess := len(t.removals) - maxRemovals; excess > 0 {
		t.removalsSince = max(t.removalsSince, t.removals[excess-1].Version)
		t.removals = append(t.removals[:0], t.removals[excess:]...)
	}
	t.syncedVersion = max(t.syncedVersion, page.Version)
	return news, true
}

// Invalidate requires the next page to be a snapshot. The current rows are kept until then.
func (t *Table) Invalidate() {
	t.loaded = false
}

// Loaded reports whether a snapshot has been read since the start or the last Invalidate.
func (t *Table) Loaded() bool {
	return t.loaded
}

// SyncedVersion returns the version up to which changes are known, or 0 if a snapshot must be read.
func (t *Table) SyncedVersion() uint64 {
	if !t.loaded {
		return 0
	}
	return t.syncedVersion
}

// Position returns the version up to which changes are known, also while a snapshot must be read.
func (t *Table) Position() Position {
	return Position{
		Era:     t.era,
		Version: t.syncedVersion,
	}
}

// LastChange returns the version of the latest known change. A copy that is known up to there is not older than this one. Position may
// be higher: a page without rows advances it.
func (t *Table) LastChange() Position {
	return Position{
		Era:     t.era,
		Version: t.changedVersion,
	}
}

// Era returns the era of the store from which the rows were read.
func (t *Table) Era() uint64 {
	return t.era
}

// Since returns the changes after version of an era, or all rows with snapshot set if the removals since then are no longer
// known. ok is false if the table is not loaded.
func (t *Table) Since(era, version uint64) (page cuminlift.RowPage, snapshot, ok bool) {
	if !t.loaded {
		return cuminlift.RowPage{}, false, false
	}
	page.Version, page.Era = t.syncedVersion, t.era
	snapshot = version < t.removalsSince || era != t.era
	for _, row := range t.rows {
		if snapshot || row.Version > version {
			page.Rows = append(page.Rows, row)
		}
	}
	if snapshot {
		return page, true, true
	}
	for _, row := range t.removals {
		if _, present := t.rows[row.Key]; row.Version > version && !present {
			page.Rows = append(page.Rows, row)
		}
	}
	return page, false, true
}

// CanApply reports whether applying a page loses and omits no change. A snapshot must not be older than what is known. A page
// of changes holds those after since, up to which all changes must be known. Versions of different eras can't be compared: a
// later era begins with a snapshot, and pages of an earlier one are late.
func (t *Table) CanApply(page cuminlift.RowPage, snapshot bool, since uint64) bool {
	if page.Era != t.era {
		return page.Era > t.era && snapshot
	}
	if snapshot {
		return page.Version >= t.syncedVersion
	}
	return t.loaded && since <= t.syncedVersion
}
