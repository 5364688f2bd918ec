package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"cuminlift"
	"cuminlift/core/replica"
	"cuminlift/schema"
)

// tableFeed follows a table, either by reading the store or by rows that the coordinator forwards.
type tableFeed struct {
	table string
	// replaceRows handles all rows of the table, applyChanges only changed ones.
	replaceRows, applyChanges func([]cuminlift.Row)
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
	// listener is called with each page that is applied; it may be nil.
	listener func(page cuminlift.RowPage, whole bool)
}

// follow reads the whole table, then its changes, until ctx ends. It pauses while the coordinator forwards the rows.
func (f *follower) follow(ctx context.Context, feed *tableFeed) error {
	failingSince := time.Duration(0)
	pause := storeRetryPause
	for ctx.Err() == nil {
		if feed.forwarded() {
			failingSince = 0
			sleep(ctx, changeBatchInterval)
			continue
		}
		page, whole, err := f.readTable(ctx, feed)
		if errors.Is(err, context.Canceled) {
			continue
		}
		var compacted *cuminlift.CompactedError
		if errors.As(err, &compacted) {
			f.log.WithField("after", compacted.After).Info("history is no longer available, reading the whole table")
			feed.forget()
			continue
		}
		if err != nil {
			if failingSince == 0 {
				f.log.WithField("table", feed.table).WithError(err).Warn("store lost")
				failingSince = f.clock.Now()
			}
			sleep(ctx, pause)
			pause = min(2*pause, maxStoreRetryPause)
			continue
		}
		pause = storeRetryPause
		if failingSince != 0 {
			f.log.WithField("table", feed.table).Info("store regained")
			feed.onRecovered(ctx, f.clock.Now()-failingSince)
			failingSince = 0
		}
		feed.applyPage(page, whole)
		if !whole && len(page.Rows) > 0 {
			sleep(ctx, feed.pause)
		}
	}
	return nil
}

func (f *follower) readTable(ctx context.Context, feed *tableFeed) (page cuminlift.RowPage, whole bool, err error) {
	limit := longPollWait + longPollMargin
	feed.mutex.Lock()
	whole = !feed.known.Loaded()
	if whole {
		limit = storeReadTimeout
	}
	after := feed.known.SyncedVersion()
	callCtx, cancel := context.WithTimeout(ctx, limit)
	feed.cancelPoll = cancel
	feed.mutex.Unlock()
	defer cancel()
	if whole {
		page, err = f.store.Rows(callCtx, feed.table, "")
	} else {
		page, err = f.store.Changes(callCtx, feed.table, after, longPollWait)
	}
	if err != nil && errors.Is(callCtx.Err(), context.Canceled) {
		err = context.Canceled
	}
	return page, whole, err
}

// applyPage applies a page and passes it to the listener.
func (t *tableFeed) applyPage(page cuminlift.RowPage, whole bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if whole {
		t.replaceRows(page.Rows)
	} else if len(page.Rows) > 0 {
		t.applyChanges(page.Rows)
	}
	t.known.Apply(page, whole)
	if t.listener != nil && (whole || len(page.Rows) > 0) {
		t.listener(page, whole)
	}
}

func (t *tableFeed) forget() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.known.Invalidate()
}

func (t *tableFeed) forwarded() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.source != nil
}

// handleForwarded applies rows forwarded by the coordinator. From the first page that continues the
// known rows on, the store is no longer read.
func (t *tableFeed) handleForwarded(from frameConn, rows *schema.TableRows) {
	page := cuminlift.RowPage{
		Version: rows.GetVersion(),
	}
	for _, row := range rows.GetRows() {
		page.Rows = append(page.Rows, cuminlift.Row{
			Table:   t.table,
			Key:     row.GetKey(),
			Value:   row.GetValue(),
			Version: row.GetVersion(),
			Removed: row.GetRemoved(),
		})
	}
	t.mutex.Lock()
	accepted := t.source == from
	if (rows.GetWhole() || rows.GetJoins()) && t.known.CanApply(page, rows.GetWhole(), rows.GetSince()) {
		t.source = from
		accepted = true
		if t.cancelPoll != nil {
			t.cancelPoll()
		}
	}
	t.mutex.Unlock()
	if accepted {
		t.applyPage(page, rows.GetWhole())
	}
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
func (t *tableFeed) setListener(listener func(page cuminlift.RowPage, whole bool)) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.listener = listener
}

// version returns the version up to which the table is known.
func (t *tableFeed) version() uint64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.known.SyncedVersion()
}

// frameSince returns the message that brings an instance up to date that knows the table up to version. ok is false before
// the first read.
func (t *tableFeed) frameSince(version uint64) (frame *schema.Frame, ok bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	page, whole, ok := t.known.Since(version)
	frame = rowsFrame(t.table, page, whole)
	frame.GetRows().Joins = true
	frame.GetRows().Since = version
	return frame, ok
}

// rowsFrame converts a page to a message.
func rowsFrame(table string, page cuminlift.RowPage, whole bool) *schema.Frame {
	message := &schema.TableRows{
		Table:   table,
		Version: page.Version,
		Whole:   whole,
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
