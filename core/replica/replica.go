// Package replica keeps what an instance knows of a table of the store, and tells which part of it another instance lacks.
package replica

import "cuminlift"

// Table is what is known of one table. It is not safe for concurrent use.
type Table struct {
	rows map[string]cuminlift.Row
	read bool
	// after is the version up to which all changes are known, and changed that of the newest row that was taken.
	after, changed uint64
	// removals are the rows that were removed after floor, in the order of their versions.
	removals []cuminlift.Row
	floor    uint64
}

// mostRemovals bounds the removed rows that are remembered. Whoever lacks more is told the table as a whole.
const mostRemovals = 2048

// Apply takes a page in: all rows, or those that changed.
func (t *Table) Apply(page cuminlift.RowPage, whole bool) {
	if whole {
		t.rows = make(map[string]cuminlift.Row, len(page.Rows))
		t.read = true
		t.removals = nil
		// Which rows were removed until then is not known.
		t.floor = page.Version
	}
	for _, row := range page.Rows {
		t.changed = max(t.changed, row.Version)
		if !row.Removed {
			t.rows[row.Key] = row
			continue
		}
		delete(t.rows, row.Key)
		t.removals = append(t.removals, row)
	}
	if surplus := len(t.removals) - mostRemovals; surplus > 0 {
		t.floor = max(t.floor, t.removals[surplus-1].Version)
		t.removals = append(t.removals[:0], t.removals[surplus:]...)
	}
	t.after = max(t.after, page.Version)
}

// Invalidate makes the next page a whole one. What is known stays until then.
func (t *Table) Invalidate() {
	t.read = false
}

// Loaded reports whether all rows have been read.
func (t *Table) Loaded() bool {
	return t.read
}

// SyncedVersion returns the version up to which changes are known, 0 where the table must be read as a whole.
func (t *Table) SyncedVersion() uint64 {
	if !t.read {
		return 0
	}
	return t.after
}

// Since returns what changed after a version, or all rows with whole true where that is not known. ok is false before the table was read.
func (t *Table) Since(version uint64) (page cuminlift.RowPage, whole, ok bool) {
	if !t.read {
		return cuminlift.RowPage{}, false, false
	}
	page.Version = t.after
	whole = version < t.floor
	for _, row := range t.rows {
		if whole || row.Version > version {
			page.Rows = append(page.Rows, row)
		}
	}
	if whole {
		return page, true, true
	}
	for _, row := range t.removals {
		if _, back := t.rows[row.Key]; row.Version > version && !back {
			page.Rows = append(page.Rows, row)
		}
	}
	return page, false, true
}

// CanApply reports whether a page that another instance tells may be taken as the beginning of all that follows: it is whole and not older than
// what is known, or holds all changes since a version up to which changes are known.
func (t *Table) CanApply(page cuminlift.RowPage, whole bool, since uint64) bool {
	if whole {
		return page.Version >= t.changed
	}
	return t.read && since <= t.after
}
