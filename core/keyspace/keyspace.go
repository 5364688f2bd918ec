// Package keyspace decides who owns which numbered keys of a service, when a grant is renewed and when a key may pass to
// another holder. The argument stands in docs/design/operators-platform.md. A Keeper acts only while its instance is the
// coordinator.
package keyspace

import (
	"time"

	"cuminlift/schema"
)

// Config constructs a Keeper.
type Config struct {
	// Keys is the number of keys, from 0.
	Keys uint32
	// GrantDuration is how long a grant lasts, and RenewInterval the time between grants of the same range.
	GrantDuration, RenewInterval time.Duration
	// CallTimeout is the time after which a call to an upstream is given up and its connection reset, so that it arrives no more.
	CallTimeout time.Duration
}

// Defaults. A key whose holder is lost is served again after at most Renew + CallLimit + 1.02 x Hold and detection, within
// the 3 s that users were promised; a coordinator is replaced within Hold - Renew.
const (
	DefaultGrantDuration = 2400 * time.Millisecond
	DefaultRenewInterval = 600 * time.Millisecond
	DefaultCallTimeout   = 350 * time.Millisecond
	// drift is the most by which an upstream's clock may run slow, and slack covers what a call may be late on its way.
	drift = 0.02
	slack = 50 * time.Millisecond
	// useMargin is the time before the surest end of a grant at which requests are no longer sent under it: a request's way.
	useMargin = 50 * time.Millisecond
)

// Upstream is a possible holder.
type Upstream struct {
	ID          string
	Incarnation int64
	Address     string
	// Usable ones may be given keys.
	Usable bool
	// Capacity is the requests a second that it answers, above 0. A cold one has that of its cold rate.
	Capacity float64
	// Unreachable is true while no connection to it can be made.
	Unreachable bool
	// Responsive is true while it answers requests: its grants fail for another reason than its loss.
	Responsive bool
}

// Manager holds the assignment of one service. It is not safe for concurrent use.
type Manager struct {
	config    Config
	term      uint64
	nextFence uint64
	nextSpan  uint64
	spans     []*span
	upstreams map[string]Upstream
	// gone remembers upstreams that are no longer registered but may hold keys, so that these can be released.
	gone map[string]Upstream
	heat *heat
	// proposal is the assignment that is being recorded, nil for none.
	proposal *proposal
	// planned is when a plan was last made.
	planned time.Duration
	// merged is when ranges were last joined, and tidied when some were last moved to be joined.
	merged, tidied time.Duration
	// raise holds spans whose fence an upstream refused.
	raise map[uint64]bool
	// first is when upstreams were first seen without an assignment, gathered their number since joined.
	first, joined time.Duration
	gathered      int
}

// NewManager returns a Keeper for the term of a coordinator, at now. recorded is the assignment in the store, which passed Check, nil for
// none; whoever stands in it may hold its keys from a grant that the former coordinator sent last.
func NewManager(config Config, now time.Duration, term uint64, recorded *schema.Assignment) *Manager {
	k := &Manager{
		config:    config,
		term:      term,
		nextFence: max(1, recorded.GetNextFence()),
		upstreams: map[string]Upstream{},
		gone:      map[string]Upstream{},
		heat:      newHeat(config.Keys),
		raise:     map[uint64]bool{},
	}
	k.restore(recorded, now+config.CallTimeout+k.longest())
	for _, s := range k.spans {
		// Its holder may have started anew since the last grant: it is granted again only with a higher fence.
		k.raise[s.id] = true
	}
	return k
}

func (k *Manager) newSpan(from, to uint32, c claim) *span {
	k.nextSpan++
	return &span{
		id:    k.nextSpan,
		from:  from,
		to:    to,
		claim: c,
	}
}

// longest is the longest time from the arrival of a grant for which it may last.
func (k *Manager) longest() time.Duration {
	return time.Duration(float64(k.config.GrantDuration)*(1+drift)) + slack
}

// SetUpstreams tells who may hold keys. One that is no longer there keeps what it has until it is moved.
func (k *Manager) SetUpstreams(upstreams []Upstream) {
	next := make(map[string]Upstream, len(upstreams))
	for _, u := range upstreams {
		next[u.ID] = u
		delete(k.gone, u.ID)
	}
	for id, u := range k.upstreams {
		if _, known := next[id]; !known {
			k.gone[id] = u
		}
	}
	k.upstreams = next
	k.forgetUnused()
}

// forgetUnused drops what is remembered of upstreams that hold nothing any more.
func (k *Manager) forgetUnused() {
	if len(k.gone) == 0 {
		return
	}
	used := map[string]bool{}
	for _, s := range k.spans {
		used[s.holder.id] = true
		for _, p := range s.priors {
			used[p.holder.id] = true
		}
	}
	for id := range k.gone {
		if !used[id] {
			delete(k.gone, id)
		}
	}
}

// lookUp returns a registered upstream, or one that was until of late.
func (k *Manager) lookUp(id string) (Upstream, bool) {
	if u, known := k.upstreams[id]; known {
		return u, true
	}
	u, known := k.gone[id]
	return u, known
}

// Count notes a request for a key.
func (k *Manager) Count(key uint32) {
	if key < k.config.Keys {
		k.heat.add(key)
	}
}

// find returns the span with key, or nil.
func (k *Manager) find(key uint32) *span {
	if at := k.within(key, key); len(at) > 0 {
		return at[0]
	}
	return nil
}

// Owner returns the upstream that surely holds key at now.
func (k *Manager) Owner(now time.Duration, key uint32) (string, bool) {
	s := k.find(key)
	if s == nil || now+useMargin >= s.sure {
		return "", false
	}
	if u, known := k.upstreams[s.holder.id]; known && u.Incarnation != s.holder.born {
		return "", false
	}
	return s.holder.id, true
}
