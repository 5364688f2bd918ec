package keyspace

import (
	"sort"
	"time"

	"cuminlift"
	"cuminlift/schema"
)

// GrantCall is a grant to be sent.
type GrantCall struct {
	Upstream string
	Address  string
	Grant    cuminlift.KeyGrant
}

// ReleaseCall is a release to be sent.
type ReleaseCall struct {
	Upstream string
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

// Advance returns what is to be done at now.
func (k *Manager) Advance(now time.Duration) Actions {
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

func (k *Manager) advanceSpan(now time.Duration, s *span, actions *Actions) {
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
	if len(kept) > 0 || !known || u.Incarnation != s.holder.born || s.calling || s.gone || k.raise[s.id] || !k.due(now, s) {
		return
	}
	s.calling = true
	s.sent = now
	actions.Grants = append(actions.Grants, GrantCall{
		Upstream: u.ID,
		Address:  u.Address,
		Grant: cuminlift.KeyGrant{
			Upstream: u.ID,
			From:     s.from,
			To:       s.to,
			Fence:    s.holder.fence,
			Hold:     k.config.GrantDuration,
			Handover: s.handover,
		},
	})
}

// due reports whether a grant of s is to be sent: in time before it ends, and at once after one that failed.
func (k *Manager) due(now time.Duration, s *span) bool {
	if s.sent == 0 {
		return true
	}
	if s.failures > 0 {
		return now-s.sent >= k.config.CallTimeout
	}
	return now-s.sent >= k.config.RenewInterval
}

// releaseRetry is the time between releases that were not answered.
const releaseRetry = 300 * time.Millisecond

func (k *Manager) release(now time.Duration, s *span, p *prior, actions *Actions) {
	u, known := k.lookUp(p.holder.id)
	if p.released || p.releasing || p.calling || now < p.retryAt || !known {
		return
	}
	p.releasing = true
	actions.Releases = append(actions.Releases, ReleaseCall{
		Upstream: u.ID,
		Address:  u.Address,
		Grant: cuminlift.KeyGrant{
			Upstream: u.ID,
			From:     s.from,
			To:       s.to,
			Fence:    p.holder.fence,
		},
	})
}

// within returns the spans that share keys with a range.
func (k *Manager) within(from, to uint32) []*span {
	first := sort.Search(len(k.spans), func(i int) bool { return k.spans[i].to >= from })
	last := first
	for last < len(k.spans) && k.spans[last].from <= to {
		last++
	}
	return k.spans[first:last]
}

// GrantResult is how a grant ended.
type GrantResult int

// The results of a grant.
const (
	// Granted: the upstream accepted it.
	Granted GrantResult = iota
	// StaleFence: it has seen a higher fence.
	StaleFence
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

// GrantFinished reports the result of call, sent at sent, at now. A call for a span that was split meanwhile counts for all
// its parts.
func (k *Manager) GrantFinished(now, sent time.Duration, call GrantCall, result GrantResult) {
	for _, s := range k.within(call.Grant.From, call.Grant.To) {
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
func (k *Manager) settleCall(now time.Duration, c *claim, result GrantResult) {
	c.calling = false
	switch result {
	case Granted:
		c.held = max(c.held, now+k.longest())
	case NotAnswered, Reset:
		c.unanswered = max(c.unanswered, now+k.longest())
	case Gone:
		c.sure, c.held, c.unanswered = 0, 0, 0
	case StaleFence, NotSent, Refused:
	}
}

func (k *Manager) granted(now, sent time.Duration, s *span, result GrantResult) {
	k.settleCall(now, &s.claim, result)
	switch result {
	case Granted:
		s.sure = sent + k.config.GrantDuration
		s.failures = 0
		s.answered = now
		s.handover = ""
	case StaleFence:
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

// ReleaseFinished reports the end of a release at now; answered is false where it is unknown whether it was carried out.
func (k *Manager) ReleaseFinished(now time.Duration, call ReleaseCall, handover string, answered bool) {
	for _, s := range k.within(call.Grant.From, call.Grant.To) {
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
