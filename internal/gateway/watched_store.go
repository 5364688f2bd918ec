package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"cuminlift"
	"cuminlift/core/replica"
)

// watchedStore passes calls to the store. It repeats the reads of the feeds as soon as any call is answered after an outage, and
// notices when the store has come back from an older copy.
type watchedStore struct {
	store cuminlift.RowStore
	clock cuminlift.Clock
	// feeds are set before the first call.
	feeds []*tableFeed

	// log and counters record changes of the era.
	log      *logrus.Entry
	counters *counters

	mutex  sync.Mutex
	outage replica.Outage
	// era is the newest known era of the store. eraKnown is false before the first answer.
	era      uint64
	eraKnown bool
}

// currentEra returns the newest known era of the store.
func (s *watchedStore) currentEra() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.era
}

// learnEra records that the store is in an era, or in a later one. It reports false if era is not the newest known one, so that
// what was read in it is out of date.
func (s *watchedStore) learnEra(era uint64) bool {
	s.mutex.Lock()
	if s.eraKnown && era < s.era {
		s.mutex.Unlock()
		return false
	}
	changed := s.eraKnown && era > s.era
	if changed {
		s.log.WithFields(logrus.Fields{
			"era":    era,
			"before": s.era,
		}).Warn("the store has come back from an older copy")
		s.counters.count("store-era-changed")
	}
	s.era, s.eraKnown = era, true
	s.mutex.Unlock()
	if changed {
		for _, feed := range s.feeds {
			feed.reload()
		}
	}
	return true
}

// checkEra turns a page of an earlier era, which was answered late, into an error.
func (s *watchedStore) checkEra(page cuminlift.RowPage, err error) (cuminlift.RowPage, error) {
	if err != nil || s.learnEra(page.Era) {
		return page, err
	}
	return cuminlift.RowPage{}, &cuminlift.EraError{
		Want: s.currentEra(),
		Have: page.Era,
	}
}

// Rows implements cuminlift.RowStore.
func (s *watchedStore) Rows(ctx context.Context, table, part string) (cuminlift.RowPage, error) {
	page, err := s.store.Rows(ctx, table, part)
	s.observe(err)
	return s.checkEra(page, err)
}

// Changes implements cuminlift.RowStore.
func (s *watchedStore) Changes(ctx context.Context, table string, after uint64, wait time.Duration) (cuminlift.RowPage, error) {
	page, err := s.store.Changes(ctx, table, after, wait)
	s.observe(err)
	return s.checkEra(page, err)
}

// Commit implements cuminlift.RowStore.
func (s *watchedStore) Commit(ctx context.Context, transaction cuminlift.RowTransaction) (uint64, error) {
	version, err := s.store.Commit(ctx, transaction)
	var eraError *cuminlift.EraError
	if errors.As(err, &eraError) {
		s.learnEra(eraError.Have)
	}
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
	var era *cuminlift.EraError
	return err == nil || errors.As(err, &era) || errors.As(err, &conflict) || errors.As(err, &compacted) || errors.As(err, &refused)
}
