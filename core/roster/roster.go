// Package roster holds the registered state of the upstreams.
package roster

import "time"

// Upstream is the registration of one incarnation of an upstream.
type Upstream struct {
	ID      string
	Service string
	Address string
	Zone    string
	// Slots is the number of requests that the upstream runs concurrently, at least 1.
	Slots int
	// Draining upstreams receive no new requests.
	Draining bool
	// ColdRemaining is the remaining duration of the cold start at the time of registration.
	ColdRemaining time.Duration
	// Incarnation distinguishes restarts under the same ID. It is the start time in milliseconds since 1970.
	Incarnation int64
}

// Snapshot is the state of all upstreams at one moment.
type Snapshot struct {
	Upstreams map[string]Upstream
	// ExcludedZones holds the availability zones that operators have taken out of service.
	ExcludedZones map[string]bool
	// Removed holds the last start of each upstream whose entry is gone.
	Removed map[string]int64
}

// Usable reports whether u may receive new requests.
func (s Snapshot) Usable(u Upstream) bool {
	return !u.Draining && !s.ExcludedZones[u.Zone]
}

// Exclusion is why an upstream may not be sent a request, empty if it may.
type Exclusion string

// Reasons for an exclusion.
const (
	ZoneEvacuated Exclusion = "zone-evacuated"
	Draining      Exclusion = "draining"
	Removed       Exclusion = "removed"
	// Restarted means that the upstream has started again since.
	Restarted Exclusion = "restarted"
)

// ZoneExclusion reports whether the zone of an upstream excludes it. The zone of an unknown upstream is not known.
func (s Snapshot) ZoneExclusion(id string) Exclusion {
	if u, known := s.Upstreams[id]; known && s.ExcludedZones[u.Zone] {
		return ZoneEvacuated
	}
	return ""
}

// StartExclusion reports why one start of an upstream is excluded. A start that is not yet known is not, and an incarnation of 0 stands
// for the known start.
func (s Snapshot) StartExclusion(id string, incarnation int64) Exclusion {
	u, known := s.Upstreams[id]
	removed, wasRemoved := s.Removed[id]
	switch {
	case !known && wasRemoved && incarnation <= removed:
		return Removed
	case !known || incarnation > u.Incarnation:
		return ""
	case incarnation != 0 && incarnation < u.Incarnation:
		return Restarted
	case u.Draining:
		return Draining
	}
	return ""
}
