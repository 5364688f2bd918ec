package gateway

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"cuminlift"
	"cuminlift/core/authority"
	"cuminlift/schema"
)

// rewriteLease writes the lease again after the store has come back from an older copy. Until then, the coordinator acts by the
// acknowledgements of all instances: while it has them, no other one has taken the lease.
func (c *coordinator) rewriteLease(now time.Duration) {
	if c.renewing || now-c.lastRenewal < authority.RenewInterval/2 {
		return
	}
	c.renewing = true
	c.lastRenewal = now
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, leaseWriteTimeout)
		defer cancel()
		page, err := c.config.Store.Rows(ctx, leaseTable, "")
		c.post(func(now time.Duration) { c.handleLeaseCopy(now, page, err) })
	}()
}

// handleLeaseCopy replaces the lease of an older copy of the store.
func (c *coordinator) handleLeaseCopy(now time.Duration, page cuminlift.RowPage, err error) {
	if err != nil {
		c.handleRenewal(now, now, 0, err)
		return
	}
	lease, version := &schema.LeaseRow{}, uint64(0)
	for _, row := range page.Rows {
		if row.Key != leaseKey {
			continue
		}
		version = row.Version
		if err := proto.Unmarshal(row.Value, lease); err != nil {
			c.log.WithError(err).Error("decoding the lease failed: remove its row")
			c.leadership.Resign()
			return
		}
	}
	term := authority.NextTerm(lease.GetTerm(), page.Era, version)
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, leaseWriteTimeout)
		defer cancel()
		written, err := c.config.Store.Commit(ctx, cuminlift.RowTransaction{
			Era: page.Era,
			Require: []cuminlift.Row{{
				Table:   leaseTable,
				Key:     leaseKey,
				Version: version,
			}},
			Put: []cuminlift.Row{leaseRow(c.config.Settings.Name, c.incarnation, term, 0)},
		})
		c.post(func(at time.Duration) {
			c.handleRenewal(at, now, written, err)
			if err != nil {
				return
			}
			c.leaseEra, c.term = page.Era, term
			c.log.WithFields(logrus.Fields{
				"era":         page.Era,
				"new-term":    term,
				"copy-term":   lease.GetTerm(),
				"copy-holder": lease.GetName(),
			}).Info("lease written again")
			go func() {
				if err := c.register(c.ctx); err != nil {
					c.log.WithError(err).Warn("registering again failed: the instance does so once another is the coordinator")
				}
			}()
		})
	}()
}

// rewriteAssignment writes an assignment again after the store has come back from an older copy. Until then no keys are reassigned.
func (c *coordinator) rewriteAssignment(s *serviceState) {
	if s.writing || c.store.currentEra() != c.leaseEra {
		return
	}
	c.readAssignment(s, c.handleAssignmentCopy)
}

// handleAssignmentCopy replaces the assignment of an older copy of the store.
func (c *coordinator) handleAssignmentCopy(now time.Duration, s *serviceState, page cuminlift.RowPage, err error) {
	if err != nil || page.Era != c.leaseEra {
		c.log.WithField("service", s.name).WithError(err).Warn("reading the assignment to write it again failed")
		return
	}
	s.rowVersion, s.rowEra, s.rows = 0, page.Era, len(page.Rows)
	if len(page.Rows) > 0 {
		s.rowVersion = page.Rows[0].Version
	}
	c.writeAssignment(s, s.assigner.Rewrite(now, c.term, page.Era))
}
