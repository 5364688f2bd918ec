package gateway

import (
	"errors"
	"net"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"cuminlift/core/authority"
	"cuminlift/schema"
)

// strainState holds the measurements of the coordinator's own instance.
type strainState struct {
	authority.Strain
	// lastTick is when the last tick ran.
	lastTick time.Duration
	// logged is the last result of Strained.
	logged bool
}

const (
	// resignationDelay is how long a coordinator whose link is the bottleneck keeps connections open, so that its resignation arrives.
	resignationDelay = 200 * time.Millisecond
	// putOffFactor lengthens the intervals of work that can wait.
	putOffFactor = 4
	// assumedLinkMbps is the rate of a link that the settings don't tell.
	assumedLinkMbps = 100
)

func isTimeout(err error) bool {
	var netError net.Error
	return errors.As(err, &netError) && netError.Timeout()
}

// noteRoundTrip records how long the acknowledgement of a heartbeat took.
func (l *link) noteRoundTrip(now time.Duration, reply *schema.BeatReply) {
	sent := time.Duration(reply.GetSequence())
	if sent <= l.acknowledged || sent > now {
		return
	}
	l.acknowledged = sent
	l.roundTrip = now - sent
}

// currentRoundTrip is at least the time for which a heartbeat is unacknowledged.
func (l *link) currentRoundTrip(now time.Duration) time.Duration {
	return max(l.roundTrip, now-l.acknowledged-authority.HeartbeatInterval)
}

// sample measures the own instance.
func (c *coordinator) sample(now time.Duration) authority.Sample {
	sample := authority.Sample{}
	if c.strain.lastTick != 0 {
		sample.Lag = now - c.strain.lastTick - coordinatorInterval
	}
	c.strain.lastTick = now
	queued := 0
	var roundTrips []time.Duration
	for name, l := range c.links {
		if name == c.config.Settings.Name {
			continue
		}
		sample.Peers++
		switch {
		case l.current == nil && l.dialTimedOut.Load():
			sample.TimedOut++
		case l.current != nil:
			queued += l.current.Queued()
			if l.acknowledged != 0 {
				roundTrips = append(roundTrips, l.currentRoundTrip(now))
			}
		}
	}
	if len(roundTrips) > 0 {
		slices.Sort(roundTrips)
		sample.RoundTrip = roundTrips[len(roundTrips)/2]
	}
	mbps := c.config.Settings.LinkMbps
	if mbps == 0 {
		mbps = assumedLinkMbps
	}
	sample.Queued = time.Duration(float64(queued) * 8 / float64(mbps) * float64(time.Microsecond))
	return sample
}

// measureStrain checks whether the own instance is the bottleneck, and whether another one is likely to do better.
func (c *coordinator) measureStrain(now time.Duration) {
	sample := c.sample(now)
	c.strain.Observe(now, sample)
	strained := c.strain.Strained(now)
	// While the store fails, none may be able to take the lease; authority.ShouldResign decides then.
	if _, failing := c.leadership.StoreFailing(); !failing {
		var peers []authority.Resources
		for _, name := range c.leadership.Responsive(now) {
			if l := c.links[name]; l != nil && l.current != nil {
				peers = append(peers, l.resources)
			}
		}
		c.yields = c.strain.Yields(now, c.config.Settings.resources(), c.resources.needed, peers)
	}
	if c.yields {
		c.store.counters.count("terms-yielded")
	}
	if strained == c.strain.logged && !c.yields {
		return
	}
	c.strain.logged = strained
	c.log.WithFields(logrus.Fields{
		"strained":   strained,
		"lag":        sample.Lag,
		"round-trip": sample.RoundTrip,
		"queued":     sample.Queued,
		"timed-out":  sample.TimedOut,
		"peers":      sample.Peers,
		"yields":     c.yields,
	}).Warn("load of the coordinator's own instance changed")
}

// ownersRate returns the bytes per second that owner updates may take: at most a quarter of the link, the rest of which is for tickets.
func (c *coordinator) ownersRate() int {
	if mbps := c.config.Settings.LinkMbps; mbps != 0 {
		return min(ownersBytesPerSecond, int(mbps)*1e6/8/4)
	}
	return ownersBytesPerSecond
}

// putOff returns the interval at which to do work that can wait.
func (c *coordinator) putOff(interval time.Duration) time.Duration {
	if c.strain.Sheds(c.clock.Now(), c.config.Settings.resources(), c.resources.needed) {
		return putOffFactor * interval
	}
	return interval
}
