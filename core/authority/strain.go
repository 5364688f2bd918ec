package authority

import "time"

// Sample holds measurements of the coordinator's own instance.
type Sample struct {
	// Lag is how late the event loop runs.
	Lag time.Duration
	// RoundTrip is the median time from a heartbeat to its acknowledgement, and Queued the time that the link takes for what waits to
	// be sent.
	RoundTrip, Queued time.Duration
	// Peers is the number of other registered instances, and TimedOut how many of them could not be connected to in time. One that
	// refuses connections is not running, which says nothing about the coordinator.
	Peers, TimedOut int
}

const (
	// maxLag, maxRoundTrip and maxQueued are half of the time without a heartbeat after which connections are closed, so that the
	// coordinator resigns before it is lost.
	maxLag, maxRoundTrip, maxQueued = 3 * HeartbeatInterval / 2, 3 * HeartbeatInterval / 2, 3 * HeartbeatInterval / 2
	// minPeers is the number of peers from which failed connections to most of them point to the coordinator's own link.
	minPeers = 3
	// strainPeriod is how long the measurements must exceed their bounds. Garbage collection and single bursts are shorter.
	strainPeriod = time.Second
	// strainRelief is how long they must be within their bounds for the strain to have ended.
	strainRelief = 500 * time.Millisecond
	// unfitPeriod is how long a peer must be fitter for a coordinator without strain to resign. An instance that started before all
	// others has taken the lease without knowing of them, and would fail under full load.
	unfitPeriod = 3 * time.Second
	// settledTerm is how long a coordinator whose predecessor has resigned does not resign in favor of an instance that is no fitter.
	// If the load is too high for all of them, each would resign in turn.
	settledTerm = 30 * time.Second
)

func (s Sample) exceeds() bool {
	return s.Lag > maxLag || s.RoundTrip > maxRoundTrip || s.Queued > maxQueued || (s.Peers >= minPeers && 2*s.TimedOut > s.Peers)
}

// Strain tells whether the coordinator's own instance is the bottleneck, and whether to leave the lease to another one.
type Strain struct {
	// startedAt is the start of the term, and followsResignation is true if the last coordinator has resigned shortly before.
	startedAt          time.Duration
	followsResignation bool
	// since is when the measurements began to exceed their bounds, 0 while they don't, and lastExceeded when they last did.
	since, lastExceeded time.Duration
	// unfitSince is since when a peer is fitter, 0 if none is.
	unfitSince time.Duration
}

// NewStrain returns the Strain of a term that starts at now. resignedAt is when the last coordinator resigned, 0 if it did not.
func NewStrain(now, resignedAt time.Duration) Strain {
	return Strain{
		startedAt:          now,
		followsResignation: resignedAt != 0 && now-resignedAt < settledTerm,
	}
}

// Observe records measurements at now.
func (s *Strain) Observe(now time.Duration, sample Sample) {
	switch {
	case sample.exceeds():
		if s.since == 0 {
			s.since = now
		}
		s.lastExceeded = now
	case now-s.lastExceeded >= strainRelief:
		s.since = 0
	}
}

// Strained reports whether the own instance is the bottleneck.
func (s *Strain) Strained(now time.Duration) bool {
	return s.since != 0 && s.lastExceeded-s.since >= strainPeriod && now-s.lastExceeded < strainRelief
}

// lastingStrain is how long the own instance must be strained for the coordinator to leave the lease to one that is equally fit. Bursts of
// requests and large configurations strain whichever instance coordinates, for up to some seconds, and a takeover then costs more.
const lastingStrain = 8 * time.Second

// Yields reports whether to resign because one of the peers, which are connected and acknowledge heartbeats, is likely to be a better
// coordinator: it is fitter, or the own instance is strained and both have what is needed, so that it does not get what its settings
// say. Where all have less than is needed, the strain would follow the lease, and the coordinator stays.
func (s *Strain) Yields(now time.Duration, own, needed Resources, peers []Resources) bool {
	best := Best(needed, peers)
	if own.LinkMbps == 0 || best.LinkMbps == 0 {
		return false
	}
	ownFit, bestFit := own.fit(needed), best.fit(needed)
	if ownFit < fitTolerance*bestFit {
		if s.unfitSince == 0 {
			s.unfitSince = now
		}
		// All instances connect when a term begins, which strains every coordinator.
		return (s.Strained(now) && now-s.startedAt >= minTerm) || now-s.unfitSince >= unfitPeriod
	}
	s.unfitSince = 0
	if !s.Strained(now) {
		return false
	}
	return ownFit == 1 && bestFit == 1 && s.lastExceeded-s.since >= lastingStrain && (!s.followsResignation || now-s.startedAt >= settledTerm)
}

// Sheds reports whether to put off work that can wait: the own instance is the bottleneck or has less than is needed.
func (s *Strain) Sheds(now time.Duration, own, needed Resources) bool {
	return s.Strained(now) || (own.LinkMbps != 0 && own.fit(needed) < fitTolerance)
}

// Responsive returns the members that have acknowledged a recent heartbeat.
func (l *Leadership) Responsive(now time.Duration) []string {
	var names []string
	for name, m := range l.members {
		if m.lastAcknowledged != 0 && now-m.lastAcknowledged < LeaseDuration {
			names = append(names, name)
		}
	}
	return names
}

// LastResignation returns when this instance learned that the holder of the known lease has resigned, 0 if it has not.
func (m *Monitor) LastResignation() time.Duration {
	if !m.resigned() {
		return 0
	}
	return m.resignedAt
}

const (
	// shortTerm is the length of a term below which a resignation counts against the instance.
	shortTerm = 10 * time.Second
	// minBackoff and maxBackoff bound the time for which it then comes later in the order of takeover. Each further short term doubles
	// it.
	minBackoff, maxBackoff = 10 * time.Second, 80 * time.Second
)

// Backoff delays an instance that has resigned after a short term, so that others come first. The zero value delays nothing.
type Backoff struct {
	pause, until time.Duration
}

// TermEnded records the end of a term at now.
func (b *Backoff) TermEnded(now, startedAt time.Duration, resigned bool) {
	if now-startedAt >= shortTerm {
		b.pause = 0
		return
	}
	if !resigned {
		return
	}
	b.pause = min(max(2*b.pause, minBackoff), maxBackoff)
	b.until = now + b.pause
}

// Rank returns the position in the order of takeover at now of an instance with the given rank.
func (b *Backoff) Rank(now time.Duration, rank int) int {
	if now < b.until {
		return rank + smallInstanceDelay
	}
	return rank
}
