// Package roster holds what the registry says of upstreams.
package roster

import "time"

// Upstream is one incarnation of an upstream as it registered itself.
type Upstream struct {
	ID      string
	Service string
	Address string
	Zone    string
	// Slots is the number of requests that it runs at a time, at least 1.
	Slots int
	// Draining upstreams get no new work.
	Draining bool
	// ColdRemaining is how much longer it bears only little, as of the moment of its report.
	ColdRemaining time.Duration
	// Incarnation tells incarnations under one id apart, milliseconds since 1970.
	Incarnation int64
}

// Snapshot is what is known of all upstreams at a moment.
type Snapshot struct {
	Upstreams map[string]Upstream
	// ExcludedZones holds the availability zones that operators have taken out.
	ExcludedZones map[string]bool
}

// Usable reports whether u may get new work.
func (l Snapshot) Usable(u Upstream) bool {
	return !u.Draining && !l.ExcludedZones[u.Zone]
}
