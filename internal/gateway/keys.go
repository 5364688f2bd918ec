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
func (c *coordinator) holders(now time.Duration, d *serviceDuty, list roster.Snapshot) []keyspace.Upstream {
	var holders []keyspace.Upstream
	cold := c.view().table.Services[d.name].ColdRate
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
			Incarnation: u.Incarnation,
			Address:     u.Address,
			Usable:      list.Usable(u),
			Capacity:    max(capacity, 1),
			Unreachable: d.pool.Unreachable(u.ID),
			Responsive:  d.pool.RecentlyAnswered(now, u.ID),
		})
	}
	return holders
}

// grant sends one grant.
func (c *coordinator) grant(d *serviceDuty, call keyspace.GrantCall) {
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, keyspace.DefaultCallTimeout)
		defer cancel()
		sent := c.clock.Now()
		err := c.config.Keys.Grant(ctx, call.Address, call.Grant)
		result := grantResult(err)
		c.post(func(now time.Duration) {
			d.keeper.GrantFinished(now, sent, call, result)
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
		return keyspace.StaleFence
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
			d.keeper.ReleaseFinished(now, call, handover, err == nil || gone)
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
				Map:     d.keeper.Map(),
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
		if d == nil || !d.keyed || !d.pool.Unreachable(u.ID) {
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
	c.post(func(now time.Duration) { d.pool.MarkReachable(now, u.ID) })
}
