package gateway

import (
	"context"
	"errors"
	"net/http"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"cuminlift"
	"cuminlift/core/keyspace"
	"cuminlift/core/roster"
	"cuminlift/internal/mutant"
	"cuminlift/io/upstream"
)

// advanceKeys runs the assigner of a service and carries out its actions.
func (c *coordinator) advanceKeys(now time.Duration, s *serviceState, v *view) {
	if !s.keyed {
		return
	}
	if s.assigner == nil {
		c.loadAssignment(s)
		return
	}
	if s.holdersView != v || now-s.holdersSetAt >= keyHoldersInterval {
		s.holdersView, s.holdersSetAt = v, now
		s.assigner.SetUpstreams(c.keyHolders(now, s, v.list))
	}
	actions := s.assigner.Advance(now)
	switch {
	case s.rowEra != c.store.currentEra():
		c.rewriteAssignment(s)
	case actions.Record != nil:
		c.writeAssignment(s, actions.Record)
	}
	for _, call := range actions.Grants {
		c.sendGrant(s, call)
	}
	for _, call := range actions.Releases {
		c.sendRelease(s, call)
	}
	c.publishOwners(now, s)
}

// minCapacity is the lowest capacity of a holder, in requests per second.
const minCapacity = 0.1

// keyHoldersInterval is the time between updates of the holders' capacities, which matter when a plan is made. Hundreds of them
// take longer than the rest of a tick.
const keyHoldersInterval = 100 * time.Millisecond

// keyHolders returns the service's upstreams as candidates for holding keys.
func (c *coordinator) keyHolders(now time.Duration, s *serviceState, list roster.Snapshot) []keyspace.Upstream {
	var keyHolders []keyspace.Upstream
	coldRate := c.view().table.Services[s.name].ColdRate
	for _, u := range list.Upstreams {
		if u.Service != s.name {
			continue
		}
		capacity := s.pool.Capacity(now, u.ID)
		if s.pool.Cold(now, u.ID) && coldRate > 0 {
			capacity = min(capacity, coldRate)
		}
		keyHolders = append(keyHolders, keyspace.Upstream{
			ID:          u.ID,
			Incarnation: u.Incarnation,
			Address:     u.Address,
			Usable:      list.Usable(u),
			Capacity:    max(capacity, minCapacity),
			Unreachable: s.pool.ConnectFailed(u.ID),
			Responsive:  s.pool.Responsive(now, u.ID),
		})
	}
	return keyHolders
}

// sendGrant sends a grant and reports its result to the assigner.
func (c *coordinator) sendGrant(s *serviceState, call keyspace.GrantCall) {
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, keyspace.DefaultCallTimeout)
		defer cancel()
		sentAt := c.clock.Now()
		err := c.config.KeyClient.Grant(ctx, call.Address, call.Grant)
		result := grantResult(err)
		switch result {
		case keyspace.NotSent, keyspace.Refused, keyspace.NotAnswered:
			if c.ctx.Err() == nil {
				c.paths.failed(s.name, call.Upstream, c.clock.Now()-sentAt)
			}
		case keyspace.Granted, keyspace.StaleFence:
			c.paths.reached(s.name, call.Upstream)
		case keyspace.Gone, keyspace.Reset:
		}
		c.post(func(now time.Duration) {
			s.assigner.Granted(now, sentAt, call, result)
			switch {
			case err != nil:
				logKeyCall(c.log, s, call.Grant, now-sentAt).WithError(err).Warn("grant failed")
			case call.First:
				logKeyCall(c.log, s, call.Grant, now-sentAt).Info("keys granted")
			}
			c.decide(now, s)
		})
	}()
}

func grantResult(err error) keyspace.GrantResult {
	var staleFence *cuminlift.StaleFenceError
	var wrongUpstream *cuminlift.WrongUpstreamError
	var notSent *cuminlift.NotSentError
	refused := errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
	switch {
	case err == nil:
		return keyspace.Granted
	case errors.As(err, &staleFence):
		return keyspace.StaleFence
	case errors.As(err, &wrongUpstream):
		return keyspace.Gone
	case errors.As(err, &notSent) && refused:
		return keyspace.Refused
	case errors.As(err, &notSent), mutant.Is(mutant.LateGrantsIgnored):
		return keyspace.NotSent
	case errors.Is(err, context.DeadlineExceeded):
		return keyspace.NotAnswered
	}
	return keyspace.Reset
}

// releaseTimeout bounds a release, which is answered once the requests on its keys have ended.
const releaseTimeout = 2500 * time.Millisecond

func (c *coordinator) sendRelease(s *serviceState, call keyspace.ReleaseCall) {
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, releaseTimeout)
		defer cancel()
		sentAt := c.clock.Now()
		var handover string
		var err error
		if !mutant.Is(mutant.ReleaseSkipped) {
			handover, err = c.config.KeyClient.Release(ctx, call.Address, call.Grant)
		}
		c.post(func(now time.Duration) {
			var wrongUpstream *cuminlift.WrongUpstreamError
			gone := errors.As(err, &wrongUpstream)
			s.assigner.Released(now, call, handover, err == nil || gone)
			entry := logKeyCall(c.log, s, call.Grant, now-sentAt)
			if err != nil {
				entry.WithError(err).Warn("release failed")
			} else {
				entry.WithField("handover", handover).Info("keys released")
			}
			c.advanceKeys(now, s, c.view())
			c.decide(now, s)
		})
	}()
}

// logKeyCall returns a log entry for a call that took the given time.
func logKeyCall(log *logrus.Entry, s *serviceState, grant cuminlift.KeyGrant, took time.Duration) *logrus.Entry {
	return log.WithFields(logrus.Fields{
		"service":  s.name,
		"upstream": grant.Upstream,
		"from":     grant.From,
		"to":       grant.To,
		"fence":    grant.Fence,
		"took":     took,
	})
}

// probeUnreachable sends a health check to each unreachable upstream of a keyed service once per probeInterval.
func (c *coordinator) probeUnreachable(now time.Duration, v *view) {
	if now-c.lastProbe < probeInterval {
		return
	}
	c.lastProbe = now
	for _, u := range v.list.Upstreams {
		s := c.services[u.Service]
		if s == nil || !s.keyed || !s.pool.ConnectFailed(u.ID) {
			continue
		}
		go c.probeUpstream(s, u, v.table.Services[u.Service].HealthPath)
	}
}

func (c *coordinator) probeUpstream(s *serviceState, u roster.Upstream, path string) {
	ctx, cancel := context.WithTimeout(c.ctx, probeInterval/2)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+u.Address+path, nil)
	if err != nil {
		c.log.WithField("upstream", u.ID).WithError(err).Warn("creating the probe request failed")
		return
	}
	healthy, err := upstream.CheckHealth(c.config.ProbeClient, request)
	if err != nil || !healthy {
		return // Still unreachable; the next probe tries again.
	}
	c.paths.reached(s.name, u.ID)
	c.post(func(now time.Duration) { s.pool.MarkReachable(now, u.ID) })
}
