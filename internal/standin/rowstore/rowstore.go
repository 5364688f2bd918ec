// Package rowstore is a small stand-in for the platform's store: rows in memory with versions, conditions and changes,
// which can be taken down.
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
	// loseAnswers makes commits take effect without an answer.
	loseAnswers bool
	forgotten   uint64
}

type rowKey struct{ table, part, key string }

// ErrUnavailable is what a store answers that is down, or whose answer is lost.
var ErrUnavailable = errors.New("the stand-in store gives no answer")

// New returns an empty store.
func New() *Store {
	return &Store{
		rows:    map[rowKey]cuminlift.Row{},
		changed: make(chan struct{}),
	}
}

// SetDown takes the store down, or brings it back.
func (s *Store) SetDown(down bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.down = down
	s.notify()
}

// SetLoseReplies makes commits take effect without an answer, or no longer.
func (s *Store) SetLoseReplies(lose bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.loseAnswers = lose
}

// TruncateHistory drops the history up to now.
func (s *Store) TruncateHistory() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.forgotten = s.version
	s.notify()
}

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

func (s *Store) changes(table string, after uint64) (cuminlift.RowPage, <-chan struct{}, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.down {
		return cuminlift.RowPage{}, nil, ErrUnavailable
	}
	if after < s.forgotten {
		return cuminlift.RowPage{}, nil, &cuminlift.HistoryError{
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
		present := row.Version
		if row.Removed {
			present = 0
		}
		if present != r.Version {
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
	if s.loseAnswers {
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
