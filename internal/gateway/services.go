package gateway

import (
	"time"

	"github.com/sirupsen/logrus"

	"cuminlift/core/dispatch"
)

// logQueues logs the queue statistics of each service once per queueLogInterval.
func (c *coordinator) logQueues(now time.Duration) {
	if now-c.lastQueueLog < c.putOff(queueLogInterval) {
		return
	}
	c.lastQueueLog = now
	logRefusals(c.log, c.quota.Refusals(now), false)
	slots := map[string]int{}
	for _, s := range c.services {
		stats := s.pool.Stats(now)
		slots[s.name] = stats.SlotsInUse
		c.log.WithFields(logrus.Fields{
			"service":      s.name,
			"waiting":      stats.Waiting,
			"running":      stats.Running,
			"slots-in-use": stats.SlotsInUse,
			"usable":       stats.Usable,
			"full":         stats.Full,
			"limited":      stats.Limited,
			"cold":         stats.Cold,
			"blocked":      stats.Blocked,
			"unreachable":  stats.Unreachable,
			"usual":        stats.MedianLatency,
			"lead":         stats.Overcommit,
			"sent":         stats.Sent,
			"refused":      stats.Refused,
			"events":       len(c.ticketEvents),
			"open-tickets": c.sessions.Len(),
			"predicted":    stats.Predicted,
			"observed":     stats.Observed,
			"error":        stats.PredictionError,
			"held-bound":   stats.HeldBound,
			"retries":      stats.Retries,
			"max-retries":  stats.MaxRetries,
		}).Info("queue statistics")
		c.counters.setCosts(s.name, s.pool.Pool)
	}
	c.counters.setSlots(slots)
}

func (c *coordinator) ensureService(name string, keyed bool) *serviceState {
	s := c.services[name]
	if s == nil {
		s = &serviceState{
			name:  name,
			keyed: keyed,
			owners: ownerPublication{
				sent: map[frameConn]bool{},
			},
		}
		config := poolConfig(c.config.Settings, dispatch.Share{})
		config.Suspects = c.suspects
		config.Quota = c.quota
		config.Promised = quotaLimits(c.view)
		if keyed {
			config.Owners = s
			c.loadAssignment(s)
		}
		s.pool = &syncedPool{
			Pool: dispatch.NewPool(config),
		}
		c.services[name] = s
	}
	return s
}

// Owner implements dispatch.Owners.
func (s *serviceState) Owner(now time.Duration, key uint32) (string, bool) {
	if s.assigner == nil {
		return "", false
	}
	return s.assigner.Owner(now, key)
}
