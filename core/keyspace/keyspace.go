// Package keyspace decides who owns which numbered keys of a service, when a grant is renewed and when a key may pass to
// another holder. The argument stands in docs/design/operators-platform.md. A Keeper acts only while its instance is the
// coordinator.
package keyspace

import (
	"time"

	"cuminlift"
	"cuminlift/schema"
)

// Config constructs a Keeper.
type Config struct {
	// Keys is the number of keys, from 0.
	Keys uint32
	// Hold is how long a grant lasts, and Renew the time between grants of the same range.
	Hold, Renew time.Duration
	// CallLimit is the time after which a call to an upstream is given up and its connection reset, so that it arrives no more.
	CallLimit time.Duration
}

// Defaults. A key whose holder is lost is served again after at most Renew + CallLimit + 1.02 x Hold and detection, within
// the 3 s that users were promised; a coordinator is replaced within Hold - Renew.
const (
	DefaultHold      = 2400 * time.Millisecond
	DefaultRenew     = 600 * time.Millisecond
	DefaultCallLimit = 350 * time.Millisecond
	// drift is the most by which an upstream's clock may run slow, and slack covers what a call may be late on its way.
	drift = 0.02
	slack = 50 * time.Millisecond
	// useMargin is the time before the surest end of a grant at which requests are no longer sent under it: a request's way.
	useMargin = 50 * time.Millisecond
)

// Upstream is a possible holder.
type Upstream struct {
	ID      string
	Born    int64
	Address string
	// Usable ones may be given keys.
	Usable bool
	// Capacity is the requests a second that it answers, above 0. A cold one has that of its cold rate.
	Capacity float64
	// Unreachable is true while no connection to it can be made.
	Unreachable bool
	// Lively is true while it answers requests: its grants fail for another reason than its loss.
	Lively bool
}

// holder is one incarnation with the fence that it was granted.
type holder struct {
	id    string
	born  int64
	fence uint64
}

// claim is what is known of the time for which a holder holds.
type claim struct {
	holder holder
	// sure is when the grant ends at the earliest, and held when the answered grants end at the latest.
	sure, held time.Duration
	// unanswered is until when a call without an answer may still give the keys: no release shortens it.
	unanswered time.Duration
	// calling is true while a grant is on its way.
	calling bool
	// sent is when the last grant was sent.
	sent time.Duration
}

// prior is an earlier holder that has to let go.
type prior struct {
	claim
	released  bool
	releasing bool
	retryAt   time.Duration
}

// span is a range of keys with its holder, as recorded in the store.
type span struct {
	id       uint64
	from, to uint32
	claim
	priors   []*prior
	handover string
	// failures counts grants in a row that were not answered, and failingSince is when the first of them was sent.
	failures     int
	failingSince time.Duration
	// answered is when the holder last accepted a grant.
	answered time.Duration
	// gone is true once another upstream answered at the holder's address.
	gone bool
	// moved is when the span got its holder.
	moved time.Duration
}

func (s *span) settled(now time.Duration) bool {
	for _, p := range s.priors {
		if !p.done(now) {
			return false
		}
	}
	return true
}

func (p *prior) done(now time.Duration) bool {
	if p.calling {
		return false
	}
	if p.released {
		return now >= p.unanswered
	}
	return now >= max(p.held, p.unanswered)
}

// Keeper holds the assignment of one service. It is not safe for concurrent use.
type Keeper struct {
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
	// merged is when ranges were last joined.
	merged time.Duration
	// raise holds spans whose fence an upstream refused.
	raise map[uint64]bool
	// first is when upstreams were first seen without an assignment.
	first time.Duration
}

// GrantCall is a grant to be sent.
type GrantCall struct {
	Span     uint64
	Upstream string
	Address  string
	Grant    cuminlift.KeyGrant
}

// ReleaseCall is a release to be sent.
type ReleaseCall struct {
	Span     uint64
	Upstream string
	Born     int64
	Address  string
	Grant    cuminlift.KeyGrant
}

// Actions is what a Keeper wants done. Each is reported back.
type Actions struct {
	// Record is the assignment to write, nil for none.
	Record   *schema.Assignment
	Grants   []GrantCall
	Releases []ReleaseCall
}

// NewKeeper returns a Keeper for the term of a coordinator, at now. recorded is the assignment in the store, nil for none;
// whoever stands in it may hold its keys from a grant that the former coordinator sent last.
func NewKeeper(config Config, now time.Duration, term uint64, recorded *schema.Assignment) *Keeper {
	k := &Keeper{
		config:    config,
		term:      term,
		nextFence: max(1, recorded.GetNextFence()),
		upstreams: map[string]Upstream{},
		gone:      map[string]Upstream{},
		heat:      newHeat(config.Keys),
		raise:     map[uint64]bool{},
	}
	may := now + config.CallLimit + k.longest()
	for _, r := range recorded.GetRanges() {
		s := k.newSpan(r.GetFrom(), r.GetTo(), k.claimOf(r.GetHolder(), may))
		for _, p := range r.GetPriors() {
			s.priors = append(s.priors, &prior{
				claim: k.claimOf(p, may),
			})
		}
		k.spans = append(k.spans, s)
		// Its holder may have started anew since the last grant: it is granted again only with a higher fence.
		k.raise[s.id] = true
	}
	return k
}

func (k *Keeper) claimOf(h *schema.KeyHolder, may time.Duration) claim {
	return claim{
		holder: holder{
			id:    h.GetUpstream(),
			born:  h.GetBorn(),
			fence: h.GetFence(),
		},
		held:       may,
		unanswered: may,
	}
}

func (k *Keeper) newSpan(from, to uint32, c claim) *span {
	k.nextSpan++
	return &span{
		id:    k.nextSpan,
		from:  from,
		to:    to,
		claim: c,
	}
}

// longest is the longest time from the arrival of a grant for which it may last.
func (k *Keeper) longest() time.Duration {
	return time.Duration(float64(k.config.Hold)*(1+drift)) + slack
}

// SetUpstreams tells who may hold keys. One that is no longer there keeps what it has until it is moved.
func (k *Keeper) SetUpstreams(upstreams []Upstream) {
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
func (k *Keeper) forgetUnused() {
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
func (k *Keeper) lookUp(id string) (Upstream, bool) {
	if u, known := k.upstreams[id]; known {
		return u, true
	}
	u, known := k.gone[id]
	return u, known
}

// Count notes a request for a key.
func (k *Keeper) Count(key uint32) {
	if key < k.config.Keys {
		k.heat.add(key)
	}
}

// find returns the span with key, or nil.
func (k *Keeper) find(key uint32) *span {
	low, high := 0, len(k.spans)
	for low < high {
		middle := (low + high) / 2
		if k.spans[middle].to < key {
			low = middle + 1
		} else {
			high = middle
		}
	}
	if low < len(k.spans) && k.spans[low].from <= key {
		return k.spans[low]
	}
	return nil
}

// Owner returns the upstream that surely holds key at now.
func (k *Keeper) Owner(now time.Duration, key uint32) (string, bool) {
	s := k.find(key)
	if s == nil || now+useMargin >= s.sure {
		return "", false
	}
	if u, known := k.upstreams[s.holder.id]; known && u.Born != s.holder.born {
		return "", false
	}
	return s.holder.id, true
}

// Advance returns what is to be done at now.
func (k *Keeper) Advance(now time.Duration) Actions {
	var actions Actions
	k.heat.decay(now)
	if k.proposal == nil {
		if p := k.plan(now); p != nil {
			k.proposal = p
			actions.Record = k.document(p)
		}
	}
	for _, s := range k.spans {
		k.advanceSpan(now, s, &actions)
	}
	return actions
}

func (k *Keeper) advanceSpan(now time.Duration, s *span, actions *Actions) {
	kept := s.priors[:0]
	for _, p := range s.priors {
		if p.done(now) {
			continue
		}
		kept = append(kept, p)
		k.release(now, s, p, actions)
	}
	s.priors = kept
	u, known := k.upstreams[s.holder.id]
	if len(kept) > 0 || !known || u.Born != s.holder.born || s.calling || s.gone || k.raise[s.id] || !k.due(now, s) {
		return
	}
	s.calling = true
	s.sent = now
	actions.Grants = append(actions.Grants, GrantCall{
		Span:     s.id,
		Upstream: u.ID,
		Address:  u.Address,
		Grant: cuminlift.KeyGrant{
			Upstream: u.ID,
			From:     s.from,
			To:       s.to,
			Fence:    s.holder.fence,
			Hold:     k.config.Hold,
			Handover: s.handover,
		},
	})
}

// due reports whether a grant of s is to be sent: in time before it ends, and at once after one that failed.
func (k *Keeper) due(now time.Duration, s *span) bool {
	if s.sent == 0 {
		return true
	}
	if s.failures > 0 {
		return now-s.sent >= k.config.CallLimit
	}
	return now-s.sent >= k.config.Renew
}

// releaseRetry is the time between releases that were not answered.
const releaseRetry = 300 * time.Millisecond

func (k *Keeper) release(now time.Duration, s *span, p *prior, actions *Actions) {
	u, known := k.lookUp(p.holder.id)
	if p.released || p.releasing || p.calling || now < p.retryAt || !known {
		return
	}
	p.releasing = true
	actions.Releases = append(actions.Releases, ReleaseCall{
		Span:     s.id,
		Upstream: u.ID,
		Born:     u.Born,
		Address:  u.Address,
		Grant: cuminlift.KeyGrant{
			Upstream: u.ID,
			From:     s.from,
			To:       s.to,
			Fence:    p.holder.fence,
		},
	})
}

func (k *Keeper) byID(id uint64) *span {
	for _, s := range k.spans {
		if s.id == id {
			return s
		}
	}
	return nil
}

// GrantResult is how a grant ended.
type GrantResult int

// The results of a grant.
const (
	// Granted: the upstream accepted it.
	Granted GrantResult = iota
	// FenceSeen: it has seen a higher fence.
	FenceSeen
	// NotAnswered: it may have been accepted, or be accepted later.
	NotAnswered
	// NotSent: no connection could be made, so nothing reached the upstream.
	NotSent
	// Reset: as NotAnswered, and the connection broke: the process may have ended.
	Reset
	// Refused: as NotSent, and connections are refused: the process may have ended.
	Refused
	// Gone: another upstream answers at the address, so the process has ended.
	Gone
)

// Granted reports the result of call, sent at sent, at now. A call for a span that was split meanwhile counts for all
// its parts.
func (k *Keeper) Granted(now, sent time.Duration, call GrantCall, result GrantResult) {
	for _, s := range k.spans {
		if s.to < call.Grant.From || s.from > call.Grant.To {
			continue
		}
		if s.holder.id == call.Upstream && s.holder.fence == call.Grant.Fence {
			k.granted(now, sent, s, result)
			continue
		}
		for _, p := range s.priors {
			if p.holder.id == call.Upstream && p.holder.fence == call.Grant.Fence {
				k.settleCall(now, &p.claim, result)
			}
		}
	}
}

// settleCall notes the latest end that follows from a call that ended at now.
func (k *Keeper) settleCall(now time.Duration, c *claim, result GrantResult) {
	c.calling = false
	switch result {
	case Granted:
		c.held = max(c.held, now+k.longest())
	case NotAnswered, Reset:
		c.unanswered = max(c.unanswered, now+k.longest())
	case Gone:
		c.sure, c.held, c.unanswered = 0, 0, 0
	case FenceSeen, NotSent, Refused:
	}
}

func (k *Keeper) granted(now, sent time.Duration, s *span, result GrantResult) {
	k.settleCall(now, &s.claim, result)
	switch result {
	case Granted:
		s.sure = sent + k.config.Hold
		s.failures = 0
		s.answered = now
		s.handover = ""
	case FenceSeen:
		s.sure = 0
		k.raise[s.id] = true
	case Gone:
		s.gone = true
	case NotAnswered, NotSent, Reset, Refused:
		if s.failures == 0 {
			s.failingSince = sent
		}
		s.failures++
		if result == Reset || result == Refused || now-s.answered > raiseAfter {
			k.raise[s.id] = true
		}
	}
}

// raiseAfter is the silence after which an upstream may have started anew under its id, which takes longer: its keys then need a higher
// fence, also at the same upstream.
const raiseAfter = 1200 * time.Millisecond

// Released reports the end of a release at now; answered is false where it is unknown whether it was carried out.
func (k *Keeper) Released(now time.Duration, call ReleaseCall, handover string, answered bool) {
	for _, s := range k.spans {
		if s.to < call.Grant.From || s.from > call.Grant.To {
			continue
		}
		for _, p := range s.priors {
			if p.holder.id != call.Upstream || p.holder.fence != call.Grant.Fence {
				continue
			}
			p.releasing = false
			if !answered {
				p.retryAt = now + releaseRetry
				continue
			}
			p.released = true
			if handover != "" {
				s.handover = handover
			}
		}
	}
}

// Ranges returns the assignment as messages, for others to know who holds what.
func (k *Keeper) Ranges() []*schema.KeyRange {
	return ranges(k.spans)
}

// Spans returns the number of ranges.
func (k *Keeper) Spans() int {
	return len(k.spans)
}
