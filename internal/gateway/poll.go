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
type tableDuty struct {
	table string
	// whole takes all rows, change those that changed.
	whole, change func([]cuminlift.Row)
	// regained is called when the store answers again after failing for some time.
	regained func(ctx context.Context, failed time.Duration)
	// pause is the time between reads, so that a burst of changes takes one call.
	pause time.Duration

	// mutex is held while rows are taken, so that those from the store and those passed on do not mix.
	mutex sync.Mutex
	// known is what was taken until now.
	known replica.Table
	// source passes the rows on, nil where the store is read.
	source carrier
	// stopPoll ends the read that waits for changes.
	stopPoll context.CancelFunc
	// listener is told of each page that was taken, nil for none.
	listener func(page cuminlift.RowPage, whole bool)
}

// follow reads a table as a whole, then its changes, until ctx ends. It rests while the coordinator passes the rows on.
func (f *follower) follow(ctx context.Context, d *tableDuty) error {
	failing := time.Duration(0)
	pause := storePause
	for ctx.Err() == nil {
		if d.passedOn() {
			failing = 0
			sleep(ctx, gatherChanges)
			continue
		}
		page, whole, err := f.readTable(ctx, d)
		if errors.Is(err, context.Canceled) {
			continue
		}
		var history *cuminlift.CompactedError
		if errors.As(err, &history) {
			f.log.WithField("after", history.After).Info("history is gone, reading the table as a whole")
			d.forget()
			continue
		}
		if err != nil {
			if failing == 0 {
				f.log.WithField("table", d.table).WithError(err).Warn("store lost")
				failing = f.clock.Now()
			}
			sleep(ctx, pause)
			pause = min(2*pause, storePauseMost)
			continue
		}
		pause = storePause
		if failing != 0 {
			f.log.WithField("table", d.table).Info("store regained")
			d.regained(ctx, f.clock.Now()-failing)
			failing = 0
		}
		d.take(page, whole)
		if !whole && len(page.Rows) > 0 {
			sleep(ctx, d.pause)
		}
	}
	return nil
}

func (f *follower) readTable(ctx context.Context, d *tableDuty) (page cuminlift.RowPage, whole bool, err error) {
	limit := longPoll + pollReserve
	d.mutex.Lock()
	whole = !d.known.Read()
	if whole {
		limit = storeRead
	}
	after := d.known.After()
	limited, cancel := context.WithTimeout(ctx, limit)
	d.stopPoll = cancel
	d.mutex.Unlock()
	defer cancel()
	if whole {
		page, err = f.store.Rows(limited, d.table, "")
	} else {
		page, err = f.store.Changes(limited, d.table, after, longPoll)
	}
	if err != nil && errors.Is(limited.Err(), context.Canceled) {
		err = context.Canceled
	}
	return page, whole, err
}

// take takes a page in.
func (d *tableDuty) take(page cuminlift.RowPage, whole bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if whole {
		d.whole(page.Rows)
	} else if len(page.Rows) > 0 {
		d.change(page.Rows)
	}
	d.known.Take(page, whole)
	if d.listener != nil && (whole || len(page.Rows) > 0) {
		d.listener(page, whole)
	}
}

func (d *tableDuty) forget() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.known.Forget()
}

func (d *tableDuty) passedOn() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.source != nil
}

// takePassedOn takes rows that the coordinator passed on. From the first ones that join what is known on, the store is not read.
func (d *tableDuty) takePassedOn(from carrier, rows *schema.TableRows) {
	page := cuminlift.RowPage{
		Version: rows.GetVersion(),
	}
	for _, row := range rows.GetRows() {
		page.Rows = append(page.Rows, cuminlift.Row{
			Table:   d.table,
			Key:     row.GetKey(),
			Value:   row.GetValue(),
			Version: row.GetVersion(),
			Removed: row.GetRemoved(),
		})
	}
	d.mutex.Lock()
	follows := d.source == from
	if (rows.GetWhole() || rows.GetJoins()) && d.known.Joins(page, rows.GetWhole(), rows.GetSince()) {
		d.source = from
		follows = true
		if d.stopPoll != nil {
			d.stopPoll()
		}
	}
	d.mutex.Unlock()
	if follows {
		d.take(page, rows.GetWhole())
	}
}

// lose reads from the store again where from passed the rows on, or whoever did where from is nil.
func (d *tableDuty) lose(from carrier) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if from == nil || d.source == from {
		d.source = nil
	}
}

// listen tells listener of each page from now on; nil ends that.
func (d *tableDuty) listen(listener func(page cuminlift.RowPage, whole bool)) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.listener = listener
}

// version returns up to where the table is known.
func (d *tableDuty) version() uint64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.known.After()
}

// since returns the message that lets another instance follow that knows the table up to a version; ok is false before the first read.
func (d *tableDuty) since(version uint64) (frame *schema.Frame, ok bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	page, whole, ok := d.known.Since(version)
	frame = rowsFrame(d.table, page, whole)
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
