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
	// otherProbedAt is when an upstream that has not failed was last probed because all paths counted as lost.
	otherProbedAt time.Duration
	// mostLostSince is when the paths to most upstreams were first seen to be lost, 0 while they are not. reachedSince and failedSince count
	// the attempts since then, of the failed ones those that began later.
	mostLostSince             time.Duration
	reachedSince, failedSince int
}

// failure tells since when an upstream is not reached, and when the last attempt began.
type failure struct {
	since, triedAt time.Duration
	// aliveSince is since when the upstream is known to answer other instances, at the earliest since it failed, and answeredAt its last
	// answer to one. Both are 0 if there is none within aliveFor.
	aliveSince, answeredAt time.Duration
	// retriedAt is when the last attempt began that has failed after aliveSince, 0 if there was none. failedAgain is true once the upstream
	// has also answered others after it.
	retriedAt   time.Duration
	failedAgain bool
}

// aliveFor is how long an upstream counts as alive after an answer to another instance. One that restarts is away for longer.
const aliveFor = 1200 * time.Millisecond

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
	s.forgetLoss()
}

// forgetLoss ends the counts of a loss once too few upstreams are not reached for one.
func (s *service) forgetLoss() {
	if len(s.failed) < lostAfter {
		s.mostLostSince = 0
	}
}

// Failed records that an attempt to reach an upstream, which began at started, has failed.
func (m *Monitor) Failed(now, started time.Duration, name, upstream string) {
	s := m.service(name)
	f, known := s.failed[upstream]
	if !known {
		f.since = now
	}
	f.triedAt = max(f.triedAt, started)
	if f.aliveSince != 0 && started >= f.aliveSince {
		f.retriedAt = max(f.retriedAt, started)
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

// settleTime is how long the paths to most upstreams must have been lost. With the time for which a coordinator waits before it resigns, it is
// longer than a call may take: answers to those that are under way count.
const settleTime = 150 * time.Millisecond

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
	return now-s.mostLostSince >= settleTime && s.failedSince >= lostAfter && s.failedSince > s.reachedSince
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

// Lack tells how an instance knows that it lacks paths to upstreams of a service, empty if it does not.
type Lack string

// Ways to know it.
const (
	// MostPathsLost means that most paths are lost, as MostlyLost says. Others may get no answers then, because this instance grants no keys.
	MostPathsLost Lack = "most-lost"
	// OthersReach means that a considerable part of the upstreams answers others, and that attempts to reach them fail again.
	OthersReach Lack = "others-reach"
)

// Lacks tells at now whether the instance lacks paths that other instances have, to a considerable part of the upstreams of a service, of
// which there are total. An upstream that has come back and was not tried again is no lack. lastAnswered returns when an upstream last
// answered, 0 for never.
func (m *Monitor) Lacks(now time.Duration, name string, total int, lastAnswered func(upstream string) time.Duration) Lack {
	s := m.services[name]
	if s == nil {
		return ""
	}
	answering, failedAgain := s.compare(now, lastAnswered)
	switch {
	case m.MostlyLost(now, name, total):
		return MostPathsLost
	case failedAgain >= lostAfter && float64(failedAgain) >= lackingShare*float64(answering) && float64(answering) >= lackingShare*float64(total):
		return OthersReach
	}
	return ""
}

// compare returns how many of the upstreams that this instance does not reach answer others, and how many of these have failed again
// between two answers to others.
func (s *service) compare(now time.Duration, lastAnswered func(upstream string) time.Duration) (answering, failedAgain int) {
	for upstream, f := range s.failed {
		f.observe(now, lastAnswered(upstream))
		s.failed[upstream] = f
		if f.aliveSince != 0 && f.answeredAt > f.since+lateReport {
			answering++
			if f.failedAgain {
				failedAgain++
			}
		}
	}
	return answering, failedAgain
}

// observe records at now when the upstream last answered another instance.
func (f *failure) observe(now, answered time.Duration) {
	if answered == 0 || now-answered > aliveFor {
		f.aliveSince, f.answeredAt, f.retriedAt, f.failedAgain = 0, 0, 0, false
		return
	}
	if f.aliveSince == 0 || answered-f.answeredAt > aliveFor {
		f.aliveSince, f.retriedAt, f.failedAgain = now, 0, false
		if answered <= f.since+lateReport {
			f.aliveSince = f.since // It has answered others just before it failed.
		}
	}
	f.answeredAt = answered
	f.failedAgain = f.failedAgain || (f.retriedAt != 0 && answered > f.retriedAt+lateReport)
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

// otherProbeInterval is the time between probes of upstreams that have not failed while all paths count as lost.
const otherProbeInterval = 100 * time.Millisecond

// DueProbes returns the upstreams to probe at now, and forgets those that are not listed. Those that have answered another instance
// since they failed come first: they have come back, or the path from this instance is lost. While all paths to a service count as lost,
// one that has not failed is probed too: requests go through other instances then, and the upstreams that have failed may have ended. listed are
// the upstreams of each service, in any order.
func (m *Monitor) DueProbes(now time.Duration, listed map[string][]string) []Probe {
	var due []Probe
	for name, s := range m.services {
		if len(s.failed) == 0 {
			continue
		}
		present := make(map[string]bool, len(listed[name]))
		for _, upstream := range listed[name] {
			present[upstream] = true
		}
		due = append(due, s.dueProbes(now, name, present)...)
		if !m.Lost(name) || (s.otherProbedAt != 0 && now-s.otherProbedAt < otherProbeInterval) {
			continue
		}
		for _, upstream := range listed[name] {
			if _, failed := s.failed[upstream]; !failed {
				s.otherProbedAt = now
				due = append(due, Probe{
					Service:  name,
					Upstream: upstream,
				})
				break
			}
		}
	}
	return due
}

// dueProbes does so for the upstreams of a service that have failed.
func (s *service) dueProbes(now time.Duration, name string, present map[string]bool) []Probe {
	var answering, others []string
	for upstream, f := range s.failed {
		switch {
		case !present[upstream]:
			delete(s.failed, upstream)
			delete(s.failedInTurn, upstream)
		case f.aliveSince != 0 && f.triedAt < f.aliveSince:
			answering = append(answering, upstream)
		case now-f.triedAt >= probeInterval:
			others = append(others, upstream)
		}
	}
	s.forgetLoss()
	longestAgo := func(a, b string) int {
		return cmp.Or(cmp.Compare(s.failed[a].triedAt, s.failed[b].triedAt), cmp.Compare(a, b))
	}
	slices.SortFunc(answering, longestAgo)
	slices.SortFunc(others, longestAgo)
	candidates := append(answering, others...)
	var due []Probe
	for _, upstream := range candidates[:min(maxProbes, len(candidates))] {
		f := s.failed[upstream]
		f.triedAt = now
		s.failed[upstream] = f
		due = append(due, Probe{
			Service:  name,
			Upstream: upstream,
		})
	}
	return due
}
