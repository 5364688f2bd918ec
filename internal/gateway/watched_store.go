package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"cuminlift"
	"cuminlift/core/replica"
)

// watchedStore passes calls to the store, and repeats the reads of the feeds as soon as any call is answered after an outage.
type watchedStore struct {
	store cuminlift.RowStore
	clock cuminlift.Clock
	// feeds are set before the first call.
	feeds []*tableFeed

	mutex  sync.Mutex
	outage replica.Outage
}

// Rows implements cuminlift.RowStore.
func (s *watchedStore) Rows(ctx context.Context, table, part string) (cuminlift.RowPage, error) {
	page, err := s.store.Rows(ctx, table, part)
	s.observe(err)
	return page, err
}

// Changes implements cuminlift.RowStore.
func (s *watchedStore) Changes(ctx context.Context, table string, after uint64, wait time.Duration) (cuminlift.RowPage, error) {
	page, err := s.store.Changes(ctx, table, after, wait)
	s.observe(err)
	return page, err
}

// Commit implements cuminlift.RowStore.
func (s *watchedStore) Commit(ctx context.Context, transaction cuminlift.RowTransaction) (uint64, error) {
	version, err := s.store.Commit(ctx, transaction)
	// The answer to a write may be lost while the store works: only the coordinator's renewals tell of an outage.
	if answered(err) {
		s.observe(nil)
	}
	return version, err
}

// observe records the result of a call.
func (s *watchedStore) observe(err error) {
	if errors.Is(err, context.Canceled) {
		return // Given up by this instance.
	}
	s.mutex.Lock()
	if !answered(err) {
		s.outage.Unanswered(s.clock.Now())
		s.mutex.Unlock()
		return
	}
	since, ended := s.outage.Answered()
	s.mutex.Unlock()
	if !ended {
		return
	}
	for _, feed := range s.feeds {
		feed.wakeAfterOutage(since)
	}
}

// answered reports whether a call with this result was answered by the store, with success or a refusal of its own.
func answered(err error) bool {
	var conflict *cuminlift.ConflictError
	var compacted *cuminlift.CompactedError
	var refused *cuminlift.StoreRefusedError
	return err == nil || errors.As(err, &conflict) || errors.As(err, &compacted) || errors.As(err, &refused)
}
