// Package lease implements the leases on keys that upstreams of the operators' platform hold, for stand-ins of them.
package lease

import (
	"time"

	"cuminlift"
)

// Leases holds the leases of one upstream. The zero value holds none. It is not safe for concurrent use.
type Leases struct {
	keys map[uint32]lease
}

// lease is a lease on one key. The fence stays after a release, so that older grants are still refused.
type lease struct {
	fence uint64
	until time.Time
}

// Grant takes a lease on all keys of a grant, or on none if one of them was granted under a higher fence.
func (l *Leases) Grant(grant cuminlift.KeyGrant, until time.Time) bool {
	for key := grant.From; key <= grant.To; key++ {
		if l.keys[key].fence > grant.Fence {
			return false
		}
	}
	if l.keys == nil {
		l.keys = map[uint32]lease{}
	}
	for key := grant.From; key <= grant.To; key++ {
		l.keys[key] = lease{
			fence: grant.Fence,
			until: until,
		}
	}
	return true
}

// Release ends the leases on all keys of a grant, whatever its fence.
func (l *Leases) Release(grant cuminlift.KeyGrant) {
	for key := grant.From; key <= grant.To; key++ {
		if held, known := l.keys[key]; known {
			l.keys[key] = lease{
				fence: held.fence,
			}
		}
	}
}

// Until returns when the lease on a key ends, the zero time if it was never granted or was released.
func (l *Leases) Until(key uint32) time.Time { return l.keys[key].until }
