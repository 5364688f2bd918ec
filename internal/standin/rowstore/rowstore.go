// Package rowstore is an in-memory test implementation of cuminlift.RowStore with versions, conditional commits and a
// change feed. It can inject outages, lost replies and truncated history.
package rowstore

import (
	"context"
	"errors"
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
	if after < s.truncatedAt {
		return cuminlift.RowPage{}, nil, &cuminlift.CompactedError{
			After: after,
		}
	}
	page := cuminlift.RowPage{
		Version: s.version,
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
