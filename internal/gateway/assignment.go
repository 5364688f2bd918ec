package gateway

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"cuminlift"
	"cuminlift/core/keyspace"
	"cuminlift/schema"
)

// assignmentRowKey returns the key of an assignment's row. Keys sort in the order of the rows. Only the first row is
// checked for its version; all rows are written in one transaction and read from one snapshot.
func assignmentRowKey(index int) string {
	return fmt.Sprintf("assignment-%03d", index)
}

// encodeAssignment splits an assignment into rows.
func encodeAssignment(service string, assignment *schema.Assignment) ([]cuminlift.Row, error) {
	parts, err := keyspace.Split(assignment)
	if err != nil {
		return nil, err
	}
	rows := make([]cuminlift.Row, 0, len(parts))
	for index, part := range parts {
		rows = append(rows, cuminlift.Row{
			Table: assignmentTable,
			Part:  service,
			Key:   assignmentRowKey(index),
			Value: part,
		})
	}
	return rows, nil
}

// surplusRows returns the rows that remain of an earlier, longer assignment.
func surplusRows(service string, newCount, oldCount int) []cuminlift.Row {
	var rows []cuminlift.Row
	for index := newCount; index < oldCount; index++ {
		rows = append(rows, cuminlift.Row{
			Table: assignmentTable,
			Part:  service,
			Key:   assignmentRowKey(index),
		})
	}
	return rows
}

// decodeAssignment joins rows, which must be in the order of their keys. It returns the assignment and the version of the
// first row, or nil if there are no rows.
func decodeAssignment(rows []cuminlift.Row, keys uint32) (*schema.Assignment, uint64, error) {
	if len(rows) == 0 {
		return nil, 0, nil
	}
	parts := make([][]byte, 0, len(rows))
	for _, row := range rows {
		parts = append(parts, row.Value)
	}
	assignment, err := keyspace.Join(parts, keys)
	return assignment, rows[0].Version, err
}

// loadAssignment reads a service's assignment and creates its assigner.
func (c *coordinator) loadAssignment(s *serviceState) {
	if s.assigner == nil {
		c.readAssignment(s, c.handleAssignment)
	}
}

// readAssignment reads the rows of a service's assignment and passes them to handle, unless they are being read.
func (c *coordinator) readAssignment(s *serviceState, handle func(now time.Duration, s *serviceState, page cuminlift.RowPage, err error)) {
	if s.loading {
		return
	}
	s.loading = true
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, storeReadTimeout)
		defer cancel()
		page, err := c.config.Store.Rows(ctx, assignmentTable, s.name)
		c.post(func(now time.Duration) {
			s.loading = false
			handle(now, s, page, err)
		})
	}()
}

func (c *coordinator) handleAssignment(now time.Duration, s *serviceState, page cuminlift.RowPage, err error) {
	if err != nil {
		c.log.WithField("service", s.name).WithError(err).Warn("reading the assignment failed")
		return
	}
	if page.Era != c.leaseEra {
		return // The lease must be written again first.
	}
	assignment, rowVersion, err := decodeAssignment(page.Rows, c.config.KeyCount)
	if err != nil {
		c.log.WithField("service", s.name).WithError(err).Error("decoding the assignment failed")
		return
	}
	s.rowVersion, s.rowEra = rowVersion, page.Era
	s.rows = len(page.Rows)
	s.assigner = keyspace.NewManager(keyspace.Config{
		Keys:          c.config.KeyCount,
		Hold:          min(keyspace.DefaultHold, c.config.Settings.MaxGrantDuration),
		RenewInterval: keyspace.DefaultRenewInterval,
		CallTimeout:   keyspace.DefaultCallTimeout,
		Era:           page.Era,
		RowVersion:    rowVersion,
	}, now, c.term, assignment)
	c.log.WithFields(logrus.Fields{
		"service":     s.name,
		"row-version": s.rowVersion,
		"ranges":      len(assignment.GetMap().GetWidths()),
	}).Info("assignment loaded")
}

// writeAssignment replaces the assignment that this coordinator last read or wrote. If two coordinators write, the second
// one finds another version and resigns.
func (c *coordinator) writeAssignment(s *serviceState, assignment *schema.Assignment) {
	rows, err := encodeAssignment(s.name, assignment)
	if err != nil {
		c.log.WithError(err).Error("encoding the assignment failed")
		s.assigner.NotRecorded()
		return
	}
	s.writing = true
	rowVersion, rowEra := s.rowVersion, s.rowEra
	surplus := surplusRows(s.name, len(rows), s.rows)
	s.pendingRows = len(rows)
	c.log.WithFields(logrus.Fields{
		"service":     s.name,
		"row-version": rowVersion,
		"ranges":      len(assignment.GetMap().GetWidths()),
		"next-fence":  assignment.GetNextFence(),
	}).Info("assignment changes")
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, assignmentWriteTimeout)
		defer cancel()
		written, err := c.config.Store.Commit(ctx, cuminlift.RowTransaction{
			Era: rowEra,
			Require: []cuminlift.Row{{
				Table:   assignmentTable,
				Part:    s.name,
				Key:     assignmentRowKey(0),
				Version: rowVersion,
			}},
			Put:    rows,
			Remove: surplus,
		})
		c.post(func(now time.Duration) { c.handleWriteResult(now, s, assignment, written, err) })
	}()
}

// handleWriteResult continues after the store's reply. Without one, the write is repeated until its outcome is known: a
// delayed write takes effect only while the row still has the required version.
func (c *coordinator) handleWriteResult(now time.Duration, s *serviceState, assignment *schema.Assignment, rowVersion uint64, err error) {
	var refused *cuminlift.StoreRefusedError
	var eraError *cuminlift.EraError
	rows, conflict := conflictRows(err)
	s.writing = false
	switch {
	case errors.As(err, &eraError):
		// The proposed moves stay with the assigner until the assignment is written again.
	case err == nil:
		c.assignmentWritten(now, s, rowVersion)
	case errors.As(err, &refused):
		s.assigner.NotRecorded()
	case conflict:
		c.resolveConflict(now, s, rows)
	default:
		c.log.WithField("service", s.name).WithError(err).Warn("outcome of the assignment write is unknown, repeating it")
		s.writing = true
		time.AfterFunc(storeRetryPause, func() {
			// Repeating the write with the same precondition resolves both cases.
			c.post(func(time.Duration) { c.writeAssignment(s, assignment) })
		})
	}
}

// resolveConflict inspects the stored assignment after a conflict: it is either this coordinator's own write, whose reply
// was lost, or that of a later coordinator.
func (c *coordinator) resolveConflict(now time.Duration, s *serviceState, rows []cuminlift.Row) {
	for _, row := range rows {
		head := &schema.AssignmentRow{}
		if row.Key != assignmentRowKey(0) || proto.Unmarshal(row.Value, head) != nil {
			continue
		}
		if s.assigner.Proposed(head.GetTerm(), head.GetNextFence()) {
			c.assignmentWritten(now, s, row.Version)
			return
		}
	}
	c.log.WithField("service", s.name).Warn("another coordinator changed the assignment, resigning")
	c.leadership.Resign()
}

// assignmentWritten continues once the store is known to hold the assignment.
func (c *coordinator) assignmentWritten(now time.Duration, s *serviceState, rowVersion uint64) {
	s.rowVersion = rowVersion
	s.rows = s.pendingRows
	s.assigner.Recorded(now)
}
