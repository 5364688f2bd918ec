// Package paths decides whether an instance has lost its network paths to upstreams, and which other instance sends its requests
// meanwhile. An upstream that has ended looks the same from one instance; several that fail while none is reached do not.
package paths

import (
	"cmp"
	"slices"
	"time"
)

const (
	// lostAfter is the number of upstreams of a service that must fail, while none is reached, for all paths to count as lost.
	lostAfter = 2
	// probeInterval is the time between probes of the same upstream.
	probeInterval = 500 * time.Millisecond
	// stallProbeInterval is the least time between probes of a service because its answers are late.
	stallProbeInterval = time.Second
	// maxProbes bounds the probes of a service that are due at the same time.
	maxProbes = 3
)

// Monitor tracks which upstreams an instance reaches. The zero value knows of no failure. It is not safe for concurrent use.
type Monitor struct {
	services map[string]*service
}

type service struct {
	// reachedAt is when an upstream was last reached.
	reachedAt time.Duration
	// failed holds the upstreams that were not reached since they failed.
	failed map[string]failure
	// failedInTurn are those that have failed since the last one was reached.
	failedInTurn map[string]bool
	// stallProbedAt is when an upstream was last probed because answers were late.
	stallProbedAt time.Duration
	// mostLostSince is when the paths to most upstreams were first seen to be lost, 0 while they are not. reachedSince and failedSince count
	// the attempts since then, of the failed ones those that began later.
	mostLostSince             time.Duration
	reachedSince, failedSince int
}

// failure tells since when an upstream is not reached, and when it was last tried.
type failure struct {
	since, triedAt time.Duration
	// answeredAt is when it was first seen that the upstream has answered another instance since, 0 if it was not.
	answeredAt time.Duration
	// retriedAt is when the first failed attempt after answeredAt began, 0 if there was none.
	retriedAt time.Duration
}

func (m *Monitor) service(name string) *service {
	s := m.services[name]
	if s == nil {
		s = &service{
			failed:       map[string]failure{},
			failedInTurn: map[string]bool{},
		}
		if m.services == nil {
			m.services = map[string]*service{}
		}
		m.services[name] = s
	}
	return s
}

// Reached records that an upstream has answered, or has accepted a connection.
func (m *Monitor) Reached(now time.Duration, name, upstream string) {
	s := m.service(name)
	s.reachedAt = now
	s.reachedSince++
	delete(s.failed, upstream)
	clear(s.failedInTurn)
}

// Failed records that an attempt to reach an upstream, which began at started, has failed.
func (m *Monitor) Failed(now, started time.Duration, name, upstream string) {
	s := m.service(name)
	f, known := s.failed[upstream]
	if !known {
		f.since = now
	}
	f.triedAt = now
	if f.answeredAt != 0 && f.retriedAt == 0 && started >= f.answeredAt {
		f.retriedAt = started
	}
	s.failed[upstream] = f
	if s.mostLostSince != 0 && started >= s.mostLostSince {
		s.failedSince++
	}
	if started >= s.reachedAt {
		s.failedInTurn[upstream] = true
	}
}

// Lost reports whether the instance has lost its paths to all upstreams of a service.
func (m *Monitor) Lost(name string) bool {
	s := m.services[name]
	return s != nil && len(s.failedInTurn) >= lostAfter
}

// AnyLost reports whether the instance has lost its paths to all upstreams of some service.
func (m *Monitor) AnyLost() bool {
	for name := range m.services {
		if m.Lost(name) {
			return true
		}
	}
	return false
}

// MostlyLost reports at now whether the instance has lost its paths to most of the upstreams of a service, of which there are total. A zone
// that loses power is less than that. Many attempts that time out together may do so because this instance was busy, so that more of those
// that begin afterwards must fail than succeed.
func (m *Monitor) MostlyLost(now time.Duration, name string, total int) bool {
	s := m.services[name]
	if s == nil {
		return false
	}
	if !m.Lost(name) && (len(s.failed) < lostAfter || 2*len(s.failed) <= total) {
		s.mostLostSince = 0
		return false
	}
	if s.mostLostSince == 0 {
		s.mostLostSince, s.reachedSince, s.failedSince = now, 0, 0
	}
	return s.failedSince >= lostAfter && s.failedSince > s.reachedSince
}

// FailedCount returns the number of upstreams of all services that were not reached since they failed.
func (m *Monitor) FailedCount() int {
	n := 0
	for _, s := range m.services {
		n += len(s.failed)
	}
	return n
}

// lateReport is how much later than a failure the report of an earlier answer may arrive from another instance.
const lateReport = 100 * time.Millisecond

// lackingShare is the part of the upstreams of a service whose keys a change of coordinator is worth. It makes the keys of all services
// unavailable for a moment; those of single holders are assigned to others instead.
const lackingShare = 0.1

// OthersReach reports at now whether the instance lacks paths to a considerable part of the upstreams of a service, of which there are
// total, that other instances have: they were not reached since they failed, and have answered others since, and several of them failed again
// between two answers to others. One that has come back and was not tried again proves nothing. lastAnswered returns when an upstream last answered, 0 for
// never.
func (m *Monitor) OthersReach(now time.Duration, name string, total int, lastAnswered func(upstream string) time.Duration) bool {
	s := m.services[name]
	if s == nil {
		return false
	}
	answering, failedAgain := 0, 0
	for upstream, f := range s.failed {
		answered := lastAnswered(upstream)
		if answered <= f.since+lateReport {
			continue
		}
		answering++
		if f.answeredAt == 0 {
			f.answeredAt = now
			s.failed[upstream] = f
		}
		if f.retriedAt != 0 && answered > f.retriedAt+lateReport {
			failedAgain++
		}
	}
	return failedAgain >= lostAfter && float64(answering) >= lackingShare*float64(total)
}

// Reaches reports whether an instance that doesn't reach a number of upstreams reaches clearly more of them than one that doesn't
// reach another number.
func Reaches(failed, otherFailed int) bool {
	return failed+lostAfter <= otherFailed
}

// Avoid reports whether another instance had better send a request to an upstream.
func (m *Monitor) Avoid(name, upstream string) bool {
	s := m.services[name]
	if s == nil {
		return false
	}
	_, failed := s.failed[upstream]
	return failed || m.Lost(name)
}

// Stalled reports whether an upstream is to be probed because a request that was sent at sent has no answer yet, and no
// upstream of the service was reached since.
func (m *Monitor) Stalled(now, sent time.Duration, name string) bool {
	s := m.service(name)
	recentlyProbed := s.stallProbedAt != 0 && now-s.stallProbedAt < stallProbeInterval
	if s.reachedAt > sent || (recentlyProbed && len(s.failed) == 0) {
		return false
	}
	s.stallProbedAt = now
	return true
}

// Probe is an upstream to be probed.
type Probe struct {
	Service, Upstream string
}

// DueProbes returns the upstreams to probe at now, and forgets those that present does not know. Those that have answered another instance
// since they failed come first: they have come back, or the path from this instance is lost.
func (m *Monitor) DueProbes(now time.Duration, present func(service, upstream string) bool) []Probe {
	var due []Probe
	for name, s := range m.services {
		var answering, others []string
		for upstream, f := range s.failed {
			switch {
			case !present(name, upstream):
				delete(s.failed, upstream)
				delete(s.failedInTurn, upstream)
			case f.answeredAt != 0 && f.triedAt < f.answeredAt:
				answering = append(answering, upstream)
			case now-f.triedAt >= probeInterval:
				others = append(others, upstream)
			}
		}
		longestAgo := func(a, b string) int {
			return cmp.Or(cmp.Compare(s.failed[a].triedAt, s.failed[b].triedAt), cmp.Compare(a, b))
		}
		slices.SortFunc(answering, longestAgo)
		slices.SortFunc(others, longestAgo)
		candidates := append(answering, others...)
		for _, upstream := range candidates[:min(maxProbes, len(candidates))] {
			f := s.failed[upstream]
			f.triedAt = now
			s.failed[upstream] = f
			due = append(due, Probe{
				Service:  name,
				Upstream: upstream,
			})
		}
	}
	return due
}
