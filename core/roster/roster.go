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
}

// Usable reports whether u may receive new requests.
func (s Snapshot) Usable(u Upstream) bool {
	return !u.Draining && !s.ExcludedZones[u.Zone]
}
