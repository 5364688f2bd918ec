// Package paths decides whether an instance has lost its network paths to upstreams, and which other instance sends its requests
// meanwhile. An upstream that has ended looks the same from one instance; several that fail while none is reached do not.
package paths

import "time"

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
}

// failure tells since when an upstream is not reached, and when it was last tried.
type failure struct {
	since, triedAt time.Duration
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
	s.failed[upstream] = f
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

// MostlyLost reports whether the instance has lost its paths to most of the upstreams of a service, of which there are total. A zone
// that loses power is less than that.
func (m *Monitor) MostlyLost(name string, total int) bool {
	s := m.services[name]
	return s != nil && (m.Lost(name) || (len(s.failed) >= lostAfter && 2*len(s.failed) > total))
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

// OthersReach reports whether the instance lacks paths to upstreams of a service that other instances have: several were not reached
// since they failed, and have answered others since. lastAnswered returns when an upstream last answered, 0 for never.
func (m *Monitor) OthersReach(name string, lastAnswered func(upstream string) time.Duration) bool {
	s := m.services[name]
	if s == nil {
		return false
	}
	n := 0
	for upstream, f := range s.failed {
		if lastAnswered(upstream) > f.since+lateReport {
			n++
		}
	}
	return n >= lostAfter
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

// DueProbes returns the upstreams to probe at now, and forgets those that present does not know.
func (m *Monitor) DueProbes(now time.Duration, present func(service, upstream string) bool) []Probe {
	var due []Probe
	for name, s := range m.services {
		n := 0
		for upstream, f := range s.failed {
			switch {
			case !present(name, upstream):
				delete(s.failed, upstream)
				delete(s.failedInTurn, upstream)
			case n < maxProbes && now-f.triedAt >= probeInterval:
				n++
				f.triedAt = now
				s.failed[upstream] = f
				due = append(due, Probe{
					Service:  name,
					Upstream: upstream,
				})
			}
		}
	}
	return due
}
