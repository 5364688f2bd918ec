package gateway

import (
	"context"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"cuminlift"
	"cuminlift/core/authority"
	"cuminlift/schema"
)

// renew renews the lease if it is due.
func (c *coordinator) renew(now time.Duration) {
	if c.renewing || now-c.lastRenewal < authority.RenewInterval {
		return
	}
	c.renewing = true
	c.lastRenewal = now
	c.leaseBeat++
	row := leaseRow(c.config.Settings.Name, c.incarnation, c.term, c.leaseBeat)
	version, era := c.leaseVersion, c.leaseEra
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, leaseWriteTimeout)
		defer cancel()
		written, err := c.config.Store.Commit(ctx, cuminlift.RowTransaction{
			Era: era,
			Require: []cuminlift.Row{{
				Table:   leaseTable,
				Key:     leaseKey,
				Version: version,
			}},
			Put: []cuminlift.Row{row},
		})
		c.post(func(at time.Duration) { c.handleRenewal(at, now, written, err) })
	}()
}

func leaseRow(name, incarnation string, term, beat uint64) cuminlift.Row {
	value, err := proto.Marshal(&schema.LeaseRow{
		Name:        name,
		Incarnation: incarnation,
		Term:        term,
		Beat:        beat,
	})
	if err != nil {
		panic("encoding a lease row fails only for strings that are not UTF-8: " + err.Error())
	}
	return cuminlift.Row{
		Table: leaseTable,
		Key:   leaseKey,
		Value: value,
	}
}

func (c *coordinator) handleRenewal(now, sentAt time.Duration, version uint64, err error) {
	c.renewing = false
	var eraError *cuminlift.EraError
	if errors.As(err, &eraError) {
		return // The lease is written again at the next tick.
	}
	if err == nil {
		if failingSince, failing := c.leadership.StoreFailing(); failing {
			c.wakeFeeds(failingSince)
		}
		c.leaseVersion = version
		c.leadership.Renewed(sentAt)
		return
	}
	c.leadership.RenewalFailed(now)
	c.log.WithError(err).WithField("left", c.leadership.ValidUntil()-now).Warn("lease was not renewed")
	if rows, ok := conflictRows(err); ok {
		c.handleLeaseConflict(rows)
	}
}

// handleLeaseConflict inspects the stored lease after a conflict: it is either an own write, whose reply was lost, or that
// of another coordinator.
func (c *coordinator) handleLeaseConflict(rows []cuminlift.Row) {
	for _, row := range rows {
		lease := &schema.LeaseRow{}
		if row.Key != leaseKey || proto.Unmarshal(row.Value, lease) != nil {
			continue
		}
		if lease.GetIncarnation() == c.incarnation && lease.GetTerm() == c.term {
			c.leaseVersion = row.Version
			return
		}
		c.log.WithField("holder", lease.GetName()).Warn("another instance holds the lease")
	}
	c.leadership.Resign()
}

// conflictRows returns the current rows of a *cuminlift.ConflictError; ok is false for any other error.
func conflictRows(err error) (rows []cuminlift.Row, ok bool) {
	var conflict *cuminlift.ConflictError
	if errors.As(err, &conflict) {
		return conflict.Rows, true
	}
	return nil, false
}
