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

// rowKey names the rows of an assignment in their order. The first one alone is guarded; all are written and read at one moment.
func rowKey(number int) string {
	return fmt.Sprintf("assignment-%03d", number)
}

// assignmentRows divides an assignment into rows.
func assignmentRows(service string, assignment *schema.Assignment) ([]cuminlift.Row, error) {
	parts, err := keyspace.Split(assignment)
	if err != nil {
		return nil, err
	}
	rows := make([]cuminlift.Row, 0, len(parts))
	for number, part := range parts {
		rows = append(rows, cuminlift.Row{
			Table: assignmentTable,
			Part:  service,
			Key:   rowKey(number),
			Value: part,
		})
	}
	return rows, nil
}

// surplusRows returns the rows that an earlier, longer assignment had besides.
func surplusRows(service string, now, before int) []cuminlift.Row {
	var rows []cuminlift.Row
	for number := now; number < before; number++ {
		rows = append(rows, cuminlift.Row{
			Table: assignmentTable,
			Part:  service,
			Key:   rowKey(number),
		})
	}
	return rows
}

// readAssignment joins rows in the order of their keys. It returns nil where there are none, and the version of the first.
func readAssignment(rows []cuminlift.Row, keys uint32) (*schema.Assignment, uint64, error) {
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

// load reads a service's assignment and makes its keeper.
func (c *coordinator) load(d *serviceDuty) {
	if d.loading || d.keeper != nil {
		return
	}
	d.loading = true
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, storeRead)
		defer cancel()
		page, err := c.config.Store.Rows(ctx, assignmentTable, d.name)
		c.post(func(now time.Duration) { c.takeAssignment(now, d, page, err) })
	}()
}

func (c *coordinator) takeAssignment(now time.Duration, d *serviceDuty, page cuminlift.RowPage, err error) {
	d.loading = false
	if err != nil {
		c.log.WithField("service", d.name).WithError(err).Warn("assignment can't be read")
		return
	}
	recorded, version, err := readAssignment(page.Rows, c.config.KeySpace)
	if err != nil {
		c.log.WithField("service", d.name).WithError(err).Error("assignment can't be read")
		return
	}
	d.version = version
	d.rows = len(page.Rows)
	d.keeper = keyspace.NewManager(keyspace.Config{
		Keys:          c.config.KeySpace,
		GrantDuration: min(keyspace.DefaultGrantDuration, c.config.Settings.HoldLimit),
		RenewInterval: keyspace.DefaultRenewInterval,
		CallTimeout:   keyspace.DefaultCallTimeout,
	}, now, c.term, recorded)
	c.log.WithFields(logrus.Fields{
		"service":     d.name,
		"row-version": d.version,
		"ranges":      len(recorded.GetMap().GetWidths()),
	}).Info("assignment is read")
}

// record writes an assignment over the one that this coordinator knows. Whichever of two coordinators writes second finds another
// version, and resigns.
func (c *coordinator) record(d *serviceDuty, assignment *schema.Assignment) {
	rows, err := assignmentRows(d.name, assignment)
	if err != nil {
		c.log.WithError(err).Error("assignment can't be written")
		d.keeper.NotRecorded()
		return
	}
	version := d.version
	surplus := surplusRows(d.name, len(rows), d.rows)
	d.writing = len(rows)
	c.log.WithFields(logrus.Fields{
		"service":     d.name,
		"row-version": version,
		"ranges":      len(assignment.GetMap().GetWidths()),
		"next-fence":  assignment.GetNextFence(),
	}).Info("assignment changes")
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, assignmentWrite)
		defer cancel()
		written, err := c.config.Store.Commit(ctx, cuminlift.RowTransaction{
			Require: []cuminlift.Row{{
				Table:   assignmentTable,
				Part:    d.name,
				Key:     rowKey(0),
				Version: version,
			}},
			Put:    rows,
			Remove: surplus,
		})
		c.post(func(now time.Duration) { c.takeRecord(now, d, assignment, written, err) })
	}()
}

// takeRecord goes on from what the store answered. Without an answer the row is read until it tells: the write may be done late, but
// then only while the row still has the version that it required.
func (c *coordinator) takeRecord(now time.Duration, d *serviceDuty, assignment *schema.Assignment, version uint64, err error) {
	var refused *cuminlift.StoreRefusedError
	rows, conflict := conflictRows(err)
	switch {
	case err == nil:
		c.recorded(now, d, version)
	case errors.As(err, &refused):
		d.keeper.NotRecorded()
	case conflict:
		c.resolve(now, d, rows)
	default:
		c.log.WithField("service", d.name).WithError(err).Warn("it is not known whether the assignment was written")
		time.AfterFunc(storePause, func() {
			// Writing the same again under the same condition settles it either way.
			c.post(func(time.Duration) { c.record(d, assignment) })
		})
	}
}

// resolve learns from the assignment as it stands: the own write whose answer was lost, or a later coordinator's.
func (c *coordinator) resolve(now time.Duration, d *serviceDuty, rows []cuminlift.Row) {
	for _, row := range rows {
		head := &schema.AssignmentRow{}
		if row.Key != rowKey(0) || proto.Unmarshal(row.Value, head) != nil {
			continue
		}
		if d.keeper.Proposed(head.GetTerm(), head.GetNextFence()) {
			c.recorded(now, d, row.Version)
			return
		}
	}
	c.log.WithField("service", d.name).Warn("another coordinator wrote the assignment")
	c.lead.Resign()
}

// recorded goes on once an assignment is surely in the store.
func (c *coordinator) recorded(now time.Duration, d *serviceDuty, version uint64) {
	d.version = version
	d.rows = d.writing
	d.keeper.Recorded(now)
}
