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
	// Cold is how much longer it bears only little, as of the moment of its report.
	Cold time.Duration
	// Born tells incarnations under one id apart, milliseconds since 1970.
	Born int64
}

// List is what is known of all upstreams at a moment.
type List struct {
	Upstreams map[string]Upstream
	// Out holds the availability zones that operators have taken out.
	Out map[string]bool
}

// Usable reports whether u may get new work.
func (l List) Usable(u Upstream) bool {
	return !u.Draining && !l.Out[u.Zone]
}

// Change is a difference between two lists.
type Change struct {
	ID string
	// Before and After are nil where the upstream is not on the list.
	Before, After *Upstream
}

// Differences returns the changes from one list to another, without order.
func Differences(before, after List) []Change {
	var changes []Change
	for id, u := range after.Upstreams {
		old, known := before.Upstreams[id]
		if known && old == u {
			continue
		}
		change := Change{
			ID:    id,
			After: &u,
		}
		if known {
			change.Before = &old
		}
		changes = append(changes, change)
	}
	for id, u := range before.Upstreams {
		if _, known := after.Upstreams[id]; !known {
			changes = append(changes, Change{
				ID:     id,
				Before: &u,
			})
		}
	}
	return changes
}
