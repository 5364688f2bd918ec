package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"cuminlift"
	"cuminlift/core/replica"
	"cuminlift/schema"
)

// tableFeed follows a table, either by reading the store or by rows that the coordinator forwards.
type tableFeed struct {
	table string
	// replaceRows handles all rows of the table; newEra is true if they come from an older copy of the store. applyChanges handles
	// changed ones.
	replaceRows  func(rows []cuminlift.Row, newEra bool)
	applyChanges func([]cuminlift.Row)
	// onRecovered is called when the store replies again after failing for some time.
	onRecovered func(ctx context.Context, failed time.Duration)
	// pause is the time between reads. A burst of changes then takes one call.
	pause time.Duration

	// mutex is held while rows are applied, so that rows from the store and forwarded ones do not interleave.
	mutex sync.Mutex
	// known holds the rows applied so far.
	known replica.Table
	// source forwards the rows; it is nil while the store is read.
	source frameConn
	// cancelPoll cancels the long poll of the store.
	cancelPoll context.CancelFunc
	// listener is called with each page that is applied, and the version after which its changes count; it may be nil.
	listener func(page cuminlift.RowPage, whole bool, since uint64)
	// failingSince is when the store began to fail, 0 while it works or is not read.
	failingSince time.Duration
	// applied is true once a page has been applied.
	applied bool
	// forwardedVersion is the version up to which all changes were passed to the listener.
	forwardedVersion uint64
	// woken has an element if the pause before the next read is to end at once.
	woken chan struct{}
}

// newTableFeed completes a feed.
func newTableFeed(feed *tableFeed) *tableFeed {
	feed.woken = make(chan struct{}, 1)
	return feed
}

// follow reads the whole table, then its changes, until ctx ends. It pauses while the coordinator forwards the rows.
func (f *follower) follow(ctx context.Context, feed *tableFeed) error {
	pause := storeRetryPause
	wasForwarded := false
	for ctx.Err() == nil {
		if feed.forwarded() {
			wasForwarded = true
			sleep(ctx, changeBatchInterval)
			continue
		}
		if wasForwarded {
			// The next coordinator may forward the rows before this instance needs to read them.
			wasForwarded = false
			feed.wait(ctx, jitter(replica.ReadPause(f.instances())))
			continue
		}
		began := f.clock.Now()
		page, whole, since, err := f.readTable(ctx, feed)
		if errors.Is(err, context.Canceled) {
			continue
		}
		var compacted *cuminlift.CompactedError
		if errors.As(err, &compacted) {
			f.log.WithField("after", compacted.After).Info("history is no longer available, reading the whole table")
			feed.forget()
			// Many instances lose the history at the same time.
			feed.wait(ctx, max(changeBatchInterval, jitter(f.readPause(feed))))
			continue
		}
		if err != nil {
			if feed.fails(f.clock.Now()) {
				f.log.WithField("table", feed.table).WithError(err).Warn("store lost")
			}
			feed.wait(ctx, pause)
			pause = min(2*pause, maxStoreRetryPause)
			continue
		}
		pause = storeRetryPause
		if failed := feed.recovers(f.clock.Now()); failed > 0 {
			f.log.WithFields(logrus.Fields{
				"table":   feed.table,
				"failed":  failed,
				"took":    f.clock.Now() - began,
				"version": page.Version,
			}).Info("store regained")
			feed.onRecovered(ctx, failed)
		}
		if !feed.applyPage(page, whole, since) {
			f.log.WithFields(logrus.Fields{
				"table":   feed.table,
				"version": page.Version,
				"era":     page.Era,
			}).Info("a late answer of the store is passed over")
			feed.wait(ctx, pause)
			continue
		}
		if !whole && len(page.Rows) > 0 && feed.pause > 0 {
			sleep(ctx, max(feed.pause, f.readPause(feed)))
		}
	}
	return nil
}

// readPause returns the pause after a read of changes: none for an instance that reads for all others.
func (f *follower) readPause(feed *tableFeed) time.Duration {
	feed.mutex.Lock()
	forwards := feed.listener != nil
	feed.mutex.Unlock()
	if forwards {
		return 0
	}
	return replica.ReadPause(f.instances())
}

// fails records that a read failed at now. It reports whether the store worked before.
func (t *tableFeed) fails(now time.Duration) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.failingSince != 0 {
		return false
	}
	t.failingSince = now
	return true
}

// recovers records that a read succeeded at now. It returns how long the store failed before, 0 if it did not.
func (t *tableFeed) recovers(now time.Duration) time.Duration {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.failingSince == 0 {
		return 0
	}
	failed := now - t.failingSince
	t.failingSince = 0
	return failed
}

// failing reports whether the last read failed, so that the rows may be outdated.
func (t *tableFeed) failing() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.failingSince != 0
}

// wait pauses, at most until wakeAfterOutage is called.
func (t *tableFeed) wait(ctx context.Context, pause time.Duration) {
	waitCtx, cancel := context.WithTimeout(ctx, pause)
	defer cancel()
	select {
	case <-waitCtx.Done():
	case <-t.woken:
	}
}

// wakeAfterOutage starts a new read at once, because another call shows that the store works again after failing since
// failingSince. A read that the store accepted before it failed may never be answered.
func (t *tableFeed) wakeAfterOutage(failingSince time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.source != nil {
		return
	}
	if t.failingSince == 0 || failingSince < t.failingSince {
		t.failingSince = failingSince
	}
	if t.cancelPoll != nil {
		t.cancelPoll()
	}
	select {
	case t.woken <- struct{}{}:
	default:
	}
}

func (f *follower) readTable(ctx context.Context, feed *tableFeed) (page cuminlift.RowPage, whole bool, since uint64, err error) {
	limit, wait := longPollWait+longPollMargin, longPollWait
	feed.mutex.Lock()
	whole = !feed.known.Loaded()
	if whole || feed.failingSince != 0 {
		// After a failure, an answer without changes must not wait: it shows that the store works again.
		limit, wait = storeReadTimeout, 0
	}
	since = feed.known.SyncedVersion()
	callCtx, cancel := context.WithTimeout(ctx, limit)
	feed.cancelPoll = cancel
	feed.mutex.Unlock()
	defer cancel()
	if whole {
		page, err = f.store.Rows(callCtx, feed.table, "")
	} else {
		page, err = f.store.Changes(callCtx, feed.table, since, wait)
	}
	if err != nil && errors.Is(callCtx.Err(), context.Canceled) {
		err = context.Canceled
	}
	return page, whole, since, err
}

// applyPage applies a page and passes it to the listener. It reports false if the page is outdated or leaves a gap.
func (t *tableFeed) applyPage(page cuminlift.RowPage, whole bool, since uint64) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.applyPageLocked(page, whole, since)
}

func (t *tableFeed) applyPageLocked(page cuminlift.RowPage, whole bool, since uint64) bool {
	eraBefore := t.known.Era()
	news, ok := t.known.Apply(page, whole, since)
	if !ok {
		return false
	}
	if whole {
		t.replaceRows(news.Rows, t.applied && page.Era > eraBefore)
	} else if len(news.Rows) > 0 {
		t.applyChanges(news.Rows)
	}
	t.applied = true
	if t.listener != nil && (whole || len(news.Rows) > 0) {
		t.listener(news, whole, t.forwardedVersion)
		t.forwardedVersion = news.Version
	}
	return true
}

func (t *tableFeed) forget() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.known.Invalidate()
}

// reload starts a new read of the whole table at once, unless the rows are forwarded.
func (t *tableFeed) reload() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.source != nil {
		return
	}
	t.known.Invalidate()
	if t.cancelPoll != nil {
		t.cancelPoll()
	}
}

func (t *tableFeed) forwarded() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.source != nil
}

// handleForwarded applies rows forwarded by the coordinator. From the first page that continues the
// known rows on, the store is no longer read. changed is true if the source of the rows has changed.
func (t *tableFeed) handleForwarded(from frameConn, rows *schema.TableRows) (changed bool) {
	page := decodeRows(rows)
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.source != from && !rows.GetWhole() && !rows.GetJoins() {
		// The store may refuse this instance too: the rows are used, and it goes on trying to read itself.
		t.applyPageLocked(page, false, rows.GetSince())
		return false
	}
	if !t.applyPageLocked(page, rows.GetWhole(), rows.GetSince()) {
		if t.source != from {
			return false
		}
		t.source = nil // The forwarded rows leave a gap.
		return true
	}
	if t.source == from {
		return false
	}
	t.source = from
	t.failingSince = 0
	if t.cancelPoll != nil {
		t.cancelPoll()
	}
	return true
}

// detach resumes reading from the store if from is the source of the rows. If from is nil, it does so for any source.
func (t *tableFeed) detach(from frameConn) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if from == nil || t.source == from {
		t.source = nil
	}
}

// setListener makes listener receive each page from now on; nil removes it.
func (t *tableFeed) setListener(listener func(page cuminlift.RowPage, whole bool, since uint64)) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.listener = listener
	t.forwardedVersion = t.known.SyncedVersion()
}

// version returns the version up to which the table is known, and its era.
func (t *tableFeed) version() (version, era uint64) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.known.SyncedVersion(), t.known.Era()
}

// position returns the version up to which the table is known, also while it must be read again.
func (t *tableFeed) position() replica.Position {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.known.Position()
}

// lastChange returns the version of the latest known change.
func (t *tableFeed) lastChange() replica.Position {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.known.LastChange()
}

// frameSince returns the message that brings an instance up to date that knows the table up to version of an era. ok is false
// before the first read, and while the instance knows newer rows.
func (t *tableFeed) frameSince(era, version uint64) (frame *schema.Frame, ok bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	page, whole, ok := t.known.Since(era, version)
	if !ok || era > page.Era || (era == page.Era && version > page.Version) {
		return nil, false
	}
	frame = rowsFrame(t.table, page, whole, version)
	frame.GetRows().Joins = true
	return frame, true
}

// rowsFrame converts a page to a message. Unless it is whole, it holds all changes after since.
func rowsFrame(table string, page cuminlift.RowPage, whole bool, since uint64) *schema.Frame {
	message := &schema.TableRows{
		Table:   table,
		Version: page.Version,
		Whole:   whole,
		Since:   since,
		Era:     page.Era,
	}
	for _, row := range page.Rows {
		message.Rows = append(message.Rows, &schema.TableRow{
			Key:     row.Key,
			Value:   row.Value,
			Version: row.Version,
			Removed: row.Removed,
		})
	}
	return &schema.Frame{
		Body: &schema.Frame_Rows{
			Rows: message,
		},
	}
}
