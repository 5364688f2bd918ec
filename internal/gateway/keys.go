package gateway

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"cuminlift"
	"cuminlift/core/keyspace"
	"cuminlift/core/roster"
	"cuminlift/schema"
)

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
	var recorded *schema.Assignment
	for _, row := range page.Rows {
		if row.Key != leaseKey {
			continue
		}
		recorded = &schema.Assignment{}
		if err := proto.Unmarshal(row.Value, recorded); err != nil {
			c.log.WithField("service", d.name).WithError(err).Error("assignment is unreadable: remove the row to start the service's keys anew")
			return
		}
		d.version = row.Version
	}
	d.keeper = keyspace.NewKeeper(keyspace.Config{
		Keys:      c.config.KeySpace,
		Hold:      min(keyspace.DefaultHold, c.config.Settings.HoldLimit),
		Renew:     keyspace.DefaultRenew,
		CallLimit: keyspace.DefaultCallLimit,
	}, now, c.term, recorded)
	c.log.WithFields(logrus.Fields{
		"service":     d.name,
		"row-version": d.version,
		"ranges":      len(recorded.GetRanges()),
	}).Info("assignment is read")
}

// stepKeys lets the keeper of a service act.
func (c *coordinator) stepKeys(now time.Duration, d *serviceDuty, v *view) {
	if !d.keyed {
		return
	}
	if d.keeper == nil {
		c.load(d)
		return
	}
	d.keeper.SetUpstreams(c.holders(now, d, v.list))
	actions := d.keeper.Advance(now)
	if actions.Record != nil {
		c.record(d, actions.Record)
	}
	for _, call := range actions.Grants {
		c.grant(d, call)
	}
	for _, call := range actions.Releases {
		c.release(d, call)
	}
	if now-d.ownersSent > ownersStep {
		d.ownersSent = now
		c.shareOwners(d)
	}
}

// holders returns the service's upstreams as possible holders.
func (c *coordinator) holders(now time.Duration, d *serviceDuty, list roster.List) []keyspace.Upstream {
	var holders []keyspace.Upstream
	cold := c.view().table.Services[d.name].ColdPerSecond
	for _, u := range list.Upstreams {
		if u.Service != d.name {
			continue
		}
		capacity := d.pool.Capacity(now, u.ID)
		if d.pool.Cold(now, u.ID) && cold > 0 {
			capacity = min(capacity, cold)
		}
		holders = append(holders, keyspace.Upstream{
			ID:          u.ID,
			Born:        u.Born,
			Address:     u.Address,
			Usable:      list.Usable(u),
			Capacity:    max(capacity, 1),
			Unreachable: d.pool.Blocked(u.ID),
			Lively:      d.pool.Lively(now, u.ID),
		})
	}
	return holders
}

// record writes an assignment over the one that this coordinator knows. Whichever of two coordinators writes second finds another
// version, and resigns.
func (c *coordinator) record(d *serviceDuty, assignment *schema.Assignment) {
	value, err := proto.Marshal(assignment)
	if err != nil {
		c.log.WithError(err).Error("assignment can't be written")
		d.keeper.NotRecorded()
		return
	}
	version := d.version
	c.log.WithFields(logrus.Fields{
		"service":     d.name,
		"row-version": version,
		"ranges":      len(assignment.GetRanges()),
		"next-fence":  assignment.GetNextFence(),
	}).Info("assignment changes")
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, assignmentWrite)
		defer cancel()
		written, err := c.config.Store.Commit(ctx, cuminlift.RowTransaction{
			Require: []cuminlift.Row{{
				Table:   assignmentTable,
				Part:    d.name,
				Key:     leaseKey,
				Version: version,
			}},
			Put: []cuminlift.Row{{
				Table: assignmentTable,
				Part:  d.name,
				Key:   leaseKey,
				Value: value,
			}},
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
		d.version = version
		d.keeper.Recorded(now)
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
		recorded := &schema.Assignment{}
		if row.Key != leaseKey || proto.Unmarshal(row.Value, recorded) != nil {
			continue
		}
		if recorded.GetTerm() == c.term && d.keeper.Proposed(recorded) {
			d.version = row.Version
			d.keeper.Recorded(now)
			return
		}
	}
	c.log.WithField("service", d.name).Warn("another coordinator wrote the assignment")
	c.lead.Resign()
}

// grant sends one grant.
func (c *coordinator) grant(d *serviceDuty, call keyspace.GrantCall) {
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, keyspace.DefaultCallLimit)
		defer cancel()
		sent := c.clock.Now()
		err := c.config.Keys.Grant(ctx, call.Address, call.Grant)
		result := grantResult(err)
		c.post(func(now time.Duration) {
			d.keeper.Granted(now, sent, call, result)
			if err != nil {
				c.log.WithFields(logrus.Fields{
					"service":  d.name,
					"upstream": call.Upstream,
					"from":     call.Grant.From,
					"to":       call.Grant.To,
					"fence":    call.Grant.Fence,
				}).WithError(err).Warn("grant failed")
			}
			c.decide(now, d)
		})
	}()
}

func grantResult(err error) keyspace.GrantResult {
	var seen *cuminlift.FenceSeenError
	var other *cuminlift.OtherUpstreamError
	var unsent *cuminlift.UnsentError
	refused := errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
	switch {
	case err == nil:
		return keyspace.Granted
	case errors.As(err, &seen):
		return keyspace.FenceSeen
	case errors.As(err, &other):
		return keyspace.Gone
	case errors.As(err, &unsent) && refused:
		return keyspace.Refused
	case errors.As(err, &unsent):
		return keyspace.NotSent
	case errors.Is(err, context.DeadlineExceeded):
		return keyspace.NotAnswered
	}
	return keyspace.Reset
}

// releaseLimit bounds a release, which is answered when the work on its keys has ended.
const releaseLimit = 2500 * time.Millisecond

func (c *coordinator) release(d *serviceDuty, call keyspace.ReleaseCall) {
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, releaseLimit)
		defer cancel()
		handover, err := c.config.Keys.Release(ctx, call.Address, call.Grant)
		c.post(func(now time.Duration) {
			var other *cuminlift.OtherUpstreamError
			gone := errors.As(err, &other)
			d.keeper.Released(now, call, handover, err == nil || gone)
			if err != nil {
				c.log.WithFields(logrus.Fields{
					"service":  d.name,
					"upstream": call.Upstream,
					"from":     call.Grant.From,
					"to":       call.Grant.To,
				}).WithError(err).Warn("release failed")
			}
			c.stepKeys(now, d, c.view())
			c.decide(now, d)
		})
	}()
}

// shareOwners tells all instances who holds the keys, if that has changed.
func (c *coordinator) shareOwners(d *serviceDuty) {
	frame := ownersFrame(d)
	told, err := proto.MarshalOptions{
		Deterministic: true,
	}.Marshal(frame)
	if err != nil || bytes.Equal(told, d.ownersTold) {
		return
	}
	d.ownersTold = told
	c.tellAll(frame)
}

func ownersFrame(d *serviceDuty) *schema.Frame {
	return &schema.Frame{
		Body: &schema.Frame_Owners{
			Owners: &schema.Owners{
				Service: d.name,
				Ranges:  d.keeper.Ranges(),
			},
		},
	}
}

// tellOwners tells a newly connected instance who holds the keys.
func (c *coordinator) tellOwners(l *link) {
	for _, d := range c.services {
		if d.keeper != nil {
			l.tell(ownersFrame(d))
		}
	}
}

// probe asks upstreams that could not be reached whether they can be again.
func (c *coordinator) probe(now time.Duration, v *view) {
	if now-c.probed < probeStep {
		return
	}
	c.probed = now
	for _, u := range v.list.Upstreams {
		d := c.services[u.Service]
		if d == nil || !d.keyed || !d.pool.Blocked(u.ID) {
			continue
		}
		go c.probeOne(d, u, v.table.Services[u.Service].HealthPath)
	}
}

func (c *coordinator) probeOne(d *serviceDuty, u roster.Upstream, path string) {
	ctx, cancel := context.WithTimeout(c.ctx, probeStep/2)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+u.Address+path, nil)
	if err != nil {
		c.log.WithField("upstream", u.ID).WithError(err).Warn("upstream can't be probed")
		return
	}
	response, err := c.config.Probe.Do(request)
	if err != nil {
		return // Still out of reach; it is asked again.
	}
	response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return
	}
	c.post(func(now time.Duration) { d.pool.Reached(now, u.ID) })
}
