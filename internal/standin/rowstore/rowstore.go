// Package rowstore is an in-memory test implementation of cuminlift.RowStore with versions, conditional commits and a
// change feed. It can inject outages, lost replies and truncated history.
package rowstore

import (
	"context"
	"errors"
	"maps"
	"sort"
	"sync"
	"time"

	"cuminlift"
)

// Store implements cuminlift.RowStore. The zero value is not usable; see New.
type Store struct {
	mutex   sync.Mutex
	rows    map[rowKey]cuminlift.Row
	version uint64
	changed chan struct{}
	down    bool
	// loseReplies makes commits take effect but return ErrUnavailable.
	loseReplies bool
	// truncatedAt is the version up to which the change history is gone.
	truncatedAt uint64
	// era rises each time the store comes back from a copy. It starts at 0, as if the store told none.
	era uint64
}

// Copy is the content of a Store at one moment.
type Copy struct {
	rows    map[rowKey]cuminlift.Row
	version uint64
}

type rowKey struct{ table, part, key string }

// ErrUnavailable is returned while the store is down, and for commits whose reply is lost.
var ErrUnavailable = errors.New("row store stand-in is unavailable")

// New returns an empty store.
func New() *Store {
	return &Store{
		rows:    map[rowKey]cuminlift.Row{},
		changed: make(chan struct{}),
	}
}

// Copy returns the current content, for Restore.
func (s *Store) Copy() Copy {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return Copy{
		rows:    maps.Clone(s.rows),
		version: s.version,
	}
}

// Restore brings the store back from a copy, in a new era: changes since the copy are lost, and their versions are given out again.
func (s *Store) Restore(c Copy) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.rows = maps.Clone(c.rows)
	s.version = c.version
	s.era++
	s.notify()
}

// SetDown starts or ends an outage.
func (s *Store) SetDown(down bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.down = down
	s.notify()
}

// SetLoseReplies sets whether commits take effect but return ErrUnavailable, as if their reply was lost.
func (s *Store) SetLoseReplies(lose bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.loseReplies = lose
}

// TruncateHistory drops the change history up to the current version.
func (s *Store) TruncateHistory() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.truncatedAt = s.version
	s.notify()
}

// notify wakes all waiting calls of Changes. The caller holds the mutex.
func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Rows implements cuminlift.RowStore.
func (s *Store) Rows(_ context.Context, table, part string) (cuminlift.RowPage, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.down {
		return cuminlift.RowPage{}, ErrUnavailable
	}
	page := cuminlift.RowPage{
		Version: s.version,
		Era:     s.era,
	}
	for key, row := range s.rows {
		if key.table == table && key.part == part && !row.Removed {
			page.Rows = append(page.Rows, row)
		}
	}
	sort.Slice(page.Rows, func(i, j int) bool { return page.Rows[i].Key < page.Rows[j].Key })
	return page, nil
}

// Changes implements cuminlift.RowStore.
func (s *Store) Changes(ctx context.Context, table string, after uint64, wait time.Duration) (cuminlift.RowPage, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		page, changed, err := s.changes(table, after)
		if err != nil || len(page.Rows) > 0 {
			return page, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return page, nil
		case <-ctx.Done():
			return cuminlift.RowPage{}, ctx.Err()
		}
	}
}

// changes returns the rows of table that changed after a version, and a channel that is closed at the next change.
func (s *Store) changes(table string, after uint64) (cuminlift.RowPage, <-chan struct{}, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.down {
		return cuminlift.RowPage{}, nil, ErrUnavailable
	}
	if after < s.truncatedAt || after > s.version {
		return cuminlift.RowPage{}, nil, &cuminlift.CompactedError{
			After: after,
		}
	}
	page := cuminlift.RowPage{
		Version: s.version,
		Era:     s.era,
	}
	for key, row := range s.rows {
		if key.table == table && row.Version > after {
			page.Rows = append(page.Rows, row)
		}
	}
	sort.Slice(page.Rows, func(i, j int) bool { return page.Rows[i].Version < page.Rows[j].Version })
	return page, s.changed, nil
}

// Commit implements cuminlift.RowStore.
func (s *Store) Commit(_ context.Context, transaction cuminlift.RowTransaction) (uint64, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.down {
		return 0, ErrUnavailable
	}
	version, err := s.commit(transaction)
	if transaction.Era != 0 && transaction.Era != s.era {
		return 0, &cuminlift.EraError{
			Want: transaction.Era,
			Have: s.era,
		}
	}
	return version, err
}

// CommitEra is like Commit for a transaction without an era, and returns the era in which it was applied or refused.
func (s *Store) CommitEra(transaction cuminlift.RowTransaction) (version, era uint64, err error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.down {
		return 0, s.era, ErrUnavailable
	}
	version, err = s.commit(transaction)
	return version, s.era, err
}

// commit applies a transaction, whatever its era: a store does not know in which era the versions of a precondition were read.
func (s *Store) commit(transaction cuminlift.RowTransaction) (uint64, error) {
	conflict := &cuminlift.ConflictError{}
	for _, r := range transaction.Require {
		row := s.rows[keyOf(r)]
		currentVersion := row.Version
		if row.Removed {
			currentVersion = 0
		}
		if currentVersion != r.Version {
			conflict.Rows = append(conflict.Rows, row)
		}
	}
	if len(conflict.Rows) > 0 {
		return 0, conflict
	}
	s.version++
	for _, r := range transaction.Put {
		r.Version = s.version
		s.rows[keyOf(r)] = r
	}
	for _, r := range transaction.Remove {
		r.Version = s.version
		r.Removed = true
		r.Value = nil
		s.rows[keyOf(r)] = r
	}
	s.notify()
	if s.loseReplies {
		return 0, ErrUnavailable
	}
	return s.version, nil
}

func keyOf(r cuminlift.Row) rowKey {
	return rowKey{
		table: r.Table,
		part:  r.Part,
		key:   r.Key,
	}
}
