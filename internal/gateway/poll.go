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

// tableDuty is what is done with the rows of a table, and how far it has been read.
type tableFeed struct {
	table string
	// whole takes all rows, change those that changed.
	whole, change func([]cuminlift.Row)
	// regained is called when the store answers again after failing for some time.
	recovered func(ctx context.Context, failed time.Duration)
	// pause is the time between reads, so that a burst of changes takes one call.
	pause time.Duration

	// mutex is held while rows are taken, so that those from the store and those passed on do not mix.
	mutex sync.Mutex
	// known is what was taken until now.
	known replica.Table
	// source passes the rows on, nil where the store is read.
	source frameConn
	// stopPoll ends the read that waits for changes.
	cancelPoll context.CancelFunc
	// listener is told of each page that was taken, nil for none.
	listener func(page cuminlift.RowPage, whole bool)
}

// follow reads a table as a whole, then its changes, until ctx ends. It rests while the coordinator passes the rows on.
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
		var history *cuminlift.HistoryError
		if errors.As(err, &history) {
			f.log.WithField("after", history.After).Info("history is gone, reading the table as a whole")
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
			feed.recovered(ctx, f.clock.Now()-failingSince)
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
	whole = !feed.known.Read()
	if whole {
		limit = storeReadTimeout
	}
	after := feed.known.After()
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

// take takes a page in.
func (t *tableFeed) applyPage(page cuminlift.RowPage, whole bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if whole {
		t.whole(page.Rows)
	} else if len(page.Rows) > 0 {
		t.change(page.Rows)
	}
	t.known.Take(page, whole)
	if t.listener != nil && (whole || len(page.Rows) > 0) {
		t.listener(page, whole)
	}
}

func (t *tableFeed) forget() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.known.Forget()
}

func (t *tableFeed) forwarded() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.source != nil
}

// takePassedOn takes rows that the coordinator passed on. From the first ones that join what is known on, the store is not read.
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
	if (rows.GetWhole() || rows.GetJoins()) && t.known.Joins(page, rows.GetWhole(), rows.GetSince()) {
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

// lose reads from the store again where from passed the rows on, or whoever did where from is nil.
func (t *tableFeed) detach(from frameConn) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if from == nil || t.source == from {
		t.source = nil
	}
}

// listen tells listener of each page from now on; nil ends that.
func (t *tableFeed) setListener(listener func(page cuminlift.RowPage, whole bool)) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.listener = listener
}

// version returns up to where the table is known.
func (t *tableFeed) version() uint64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.known.After()
}

// since returns the message that lets another instance follow that knows the table up to a version; ok is false before the first read.
func (t *tableFeed) frameSince(version uint64) (frame *schema.Frame, ok bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	page, whole, ok := t.known.Since(version)
	frame = rowsFrame(t.table, page, whole)
	frame.GetRows().Joins = true
	frame.GetRows().Since = version
	return frame, ok
}

// rowsFrame makes a message of a page.
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
