// Package keyspace assigns the numbered keys of a service to upstreams. It decides when a grant is renewed and when a
// key may pass to another holder. docs/design/operators-platform.md explains why a key never has two holders. A Manager
// is active only while its instance is the coordinator.
package keyspace

import (
	"time"

	"cuminlift/schema"
)

// Config holds the parameters of a Manager.
type Config struct {
	// Keys is the number of keys. Keys are numbered from 0.
	Keys uint32
	// Hold is the duration of a grant, and RenewInterval the time between grants of the same range.
	Hold, RenewInterval time.Duration
	// CallTimeout is the timeout of a call to an upstream. The connection is then reset, so that the call cannot arrive
	// later.
	CallTimeout time.Duration
	// Era is the era of the store from which the assignment was read, and RowVersion the version of its row.
	Era, RowVersion uint64
}

// Default durations. The keys of a lost holder are served again after at most RenewInterval + CallTimeout + 1.02 x Hold
// + maxTransitTime, plus the time to detect the loss and record the new assignment. With the values below, the sum
// without that time is 0.6 + 0.35 + 2.448 + 0.05 = 3.448 s. This is more than the 3 s that users were promised.
// Where there are many ranges, the time between grants is up to maxRenewShare x Hold instead of RenewInterval, and the sum up to
// 0.36 s more. Keys stay owned if a coordinator is replaced within Hold less the time between grants.
const (
	DefaultHold          = 2400 * time.Millisecond
	DefaultRenewInterval = 600 * time.Millisecond
	DefaultCallTimeout   = 350 * time.Millisecond
	// maxClockDrift is the maximum relative error of an upstream's clock, and maxTransitTime the maximum delay of a
	// call on its way.
	maxClockDrift  = 0.02
	maxTransitTime = 50 * time.Millisecond
	// ownerMargin is how long before the earliest end of a grant requests stop being sent under it. It covers the delay
	// of a request on its way.
	ownerMargin = 50 * time.Millisecond
)

// Upstream is a possible holder of keys.
type Upstream struct {
	ID          string
	Incarnation int64
	Address     string
	// Usable is true if the upstream may be given keys.
	Usable bool
	// Capacity is the number of requests per second that the upstream can answer, above 0. During a cold start it is
	// the cold-start rate.
	Capacity float64
	// Unreachable is true while no connection to the upstream can be made.
	Unreachable bool
	// Responsive is true while the upstream answers requests, so that failing grants do not mean that it is lost.
	Responsive bool
}

// Manager maintains the assignment of one service. It is not safe for concurrent use.
type Manager struct {
	config    Config
	term      uint64
	nextFence uint64
	// lastSpanID is the last ID given to a span.
	lastSpanID uint64
	spans      []*span
	upstreams  map[string]Upstream
	// departed holds upstreams that are no longer registered but may still hold keys, which must be released.
	departed map[string]Upstream
	rates    *rates
	// proposal is the assignment being recorded, nil if there is none.
	proposal *proposal
	// lastPlan is when a plan was last computed, and lastRetry when keys were last granted anew to failing holders.
	lastPlan, lastRetry time.Duration
	// lastMerge is when ranges were last merged, and lastConsolidation when ranges were last moved in order to be
	// merged.
	lastMerge, lastConsolidation time.Duration
	// lostAt is when the keys of a lost holder were last assigned to others.
	lostAt map[lostHolder]time.Duration
	// firstSeen is when upstreams were first seen without an assignment. seenUpstreams is their number, and lastJoin is
	// when it last changed.
	firstSeen, lastJoin time.Duration
	seenUpstreams       int
	// quietUntil is until when nothing is granted, because the holders of the keys are not known.
	quietUntil time.Duration
	// resumeAt is the first key of the range from which grants are sent next.
	resumeAt uint32
	// writtenEra is the era in the last assignment that was read or returned for writing.
	writtenEra uint64
}

// Fences of a later era of the store are higher than all of earlier ones, also than those that were lost with changes of the store.
// Within an era, an assignment of an earlier one may have been written late, over newer ones. The version of its row, of which each
// write takes at least one, then gives the next fence.
const (
	fencesPerVersion = 1 << 16
	fencesPerEra     = 1 << 28 * fencesPerVersion
)

// lostHolder identifies a start of an upstream that left its grants unanswered.
type lostHolder struct {
	id          string
	incarnation int64
}

// NewManager returns a Manager for a coordinator's term that starts at now. recorded is the assignment in the store,
// nil if there is none; it must have passed Validate. The holders in it may still own their keys under a grant sent by
// the previous coordinator.
func NewManager(config Config, now time.Duration, term uint64, recorded *schema.Assignment) *Manager {
	k := &Manager{
		config:     config,
		term:       term,
		nextFence:  max(1, recorded.GetNextFence()),
		upstreams:  map[string]Upstream{},
		departed:   map[string]Upstream{},
		rates:      newRates(config.Keys),
		lostAt:     map[lostHolder]time.Duration{},
		writtenEra: recorded.GetEra(),
	}
	unknownUntil := now + config.CallTimeout + k.maxGrantDuration()
	k.restore(recorded, unknownUntil)
	if recorded.GetEra() < config.Era {
		// Newer assignments may be lost, so that any upstream may hold any key under a fence up to the last of the era before.
		k.quietUntil = unknownUntil
		k.nextFence = max(k.nextFence, config.Era*fencesPerEra+config.RowVersion*fencesPerVersion)
	}
	for _, s := range k.spans {
		// The holder may have restarted since its last grant, so it is granted the keys again only with a higher fence.
		s.needsHigherFence = true
		for _, p := range s.priors {
			s.formers = append(s.formers, former{
				id:          p.holder.id,
				incarnation: p.holder.incarnation,
				left:        now,
			})
		}
	}
	return k
}

func (k *Manager) newSpan(from, to uint32, c claim) *span {
	k.lastSpanID++
	return &span{
		id:    k.lastSpanID,
		from:  from,
		to:    to,
		claim: c,
	}
}

// maxGrantDuration returns the maximum time for which a grant is valid after it arrives.
func (k *Manager) maxGrantDuration() time.Duration {
	return time.Duration(float64(k.config.Hold)*(1+maxClockDrift)) + maxTransitTime
}

// SetUpstreams replaces the list of registered upstreams. Keys of an upstream that is no longer listed stay assigned to
// it until they are moved.
func (k *Manager) SetUpstreams(upstreams []Upstream) {
	next := make(map[string]Upstream, len(upstreams))
	for _, u := range upstreams {
		next[u.ID] = u
		delete(k.departed, u.ID)
	}
	for id, u := range k.upstreams {
		if _, known := next[id]; !known {
			k.departed[id] = u
		}
	}
	k.upstreams = next
	k.forgetUnused()
}

// forgetUnused drops departed upstreams that no longer hold keys.
func (k *Manager) forgetUnused() {
	if len(k.departed) == 0 {
		return
	}
	used := map[string]bool{}
	for _, s := range k.spans {
		used[s.holder.id] = true
		for _, p := range s.priors {
			used[p.holder.id] = true
		}
	}
	for id := range k.departed {
		if !used[id] {
			delete(k.departed, id)
		}
	}
}

// lookUp returns an upstream that is registered, or that has departed but may still hold keys.
func (k *Manager) lookUp(id string) (Upstream, bool) {
	if u, known := k.upstreams[id]; known {
		return u, true
	}
	u, known := k.departed[id]
	return u, known
}

// Count records a request for a key.
func (k *Manager) Count(key uint32) {
	if key < k.config.Keys {
		k.rates.add(key)
	}
}

// find returns the span that contains key, or nil.
func (k *Manager) find(key uint32) *span {
	if at := k.overlapping(key, key); len(at) > 0 {
		return at[0]
	}
	return nil
}

// Owner returns the upstream that is certain to hold key at now.
func (k *Manager) Owner(now time.Duration, key uint32) (string, bool) {
	s := k.find(key)
	if s == nil || now+ownerMargin >= s.validUntil {
		return "", false
	}
	if u, known := k.upstreams[s.holder.id]; known && u.Incarnation != s.holder.incarnation {
		return "", false
	}
	return s.holder.id, true
}
