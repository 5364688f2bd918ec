package keyspace

import (
	"sort"
	"time"

	"cuminlift"
	"cuminlift/schema"
)

// GrantCall is a grant to send.
type GrantCall struct {
	Upstream string
	Address  string
	Grant    cuminlift.KeyGrant
	// First is true unless the call renews an earlier one, answered or not.
	First bool
}

// ReleaseCall is a release to send.
type ReleaseCall struct {
	Upstream string
	Address  string
	Grant    cuminlift.KeyGrant
}

// Actions lists what a Manager wants done. The caller reports the result of each action.
type Actions struct {
	// Record is the assignment to write to the store, nil if there is none.
	Record   *schema.Assignment
	Grants   []GrantCall
	Releases []ReleaseCall
}

// Advance returns the actions due at now.
func (k *Manager) Advance(now time.Duration) Actions {
	var actions Actions
	k.rates.decay(now)
	if k.proposal == nil {
		if p := k.plan(now); p != nil {
			k.proposal = p
			actions.Record = k.document(now, p)
		}
	}
	k.advanceSpans(now, &actions)
	return actions
}

// maxFreshCalls bounds the grants that are under way and not late yet. A new coordinator grants all keys anew. On sites with more
// than a thousand ranges, all of them at once take longer than the timeout of a call where processors are small, time out together and are
// sent again. Late ones don't count: upstreams that are silent must not hold up the others.
const maxFreshCalls = 128

// advanceSpans adds the releases that are due, and as many grants as may be under way. Those that are left are the first ones the next time.
func (k *Manager) advanceSpans(now time.Duration, actions *Actions) {
	room := maxFreshCalls
	for _, s := range k.spans {
		if s.callPending && now-s.sent < usualAnswerTime {
			room--
		}
	}
	first := sort.Search(len(k.spans), func(i int) bool { return k.spans[i].to >= k.resumeAt })
	full := false
	for i := range k.spans {
		s := k.spans[(first+i)%len(k.spans)]
		k.releasePriors(now, s, actions)
		switch {
		case !k.mayGrant(now, s):
		case room > 0:
			room--
			k.grant(now, s, actions)
		case !full:
			full = true
			k.resumeAt = s.from
		}
	}
}

// releasePriors drops the priors that have given up their keys, and asks the others to.
func (k *Manager) releasePriors(now time.Duration, s *span, actions *Actions) {
	kept := s.priors[:0]
	for _, p := range s.priors {
		if p.done(now) {
			continue
		}
		kept = append(kept, p)
		k.release(now, s, p, actions)
	}
	s.priors = kept
}

// mayGrant reports whether a grant of s is due and allowed.
func (k *Manager) mayGrant(now time.Duration, s *span) bool {
	u, known := k.upstreams[s.holder.id]
	if len(s.priors) > 0 || now < k.quietUntil || !known || u.Incarnation != s.holder.incarnation || s.callPending || s.gone || s.needsHigherFence || !k.due(now, s) {
		return false
	}
	if s.sent != 0 && now-s.answeredAt > restartSilence {
		s.needsHigherFence = true // No grant could be sent for long, for example because the holder was not registered.
		return false
	}
	return true
}

func (k *Manager) grant(now time.Duration, s *span, actions *Actions) {
	u := k.upstreams[s.holder.id]
	s.callPending = true
	s.sent = now
	actions.Grants = append(actions.Grants, GrantCall{
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

// due reports whether a grant of s must be sent: at once if there was none, well before the previous grant ends, or as
// soon as a failed call may be repeated.
func (k *Manager) due(now time.Duration, s *span) bool {
	if s.sent == 0 {
		return true
	}
	if s.failures > 0 {
		return now-s.sent >= k.config.CallTimeout
	}
	return now-s.sent >= k.renewInterval()
}

const (
	// maxRenewalsPerSecond is the number of grants a second above which the time between renewals grows: all of them are sent by
	// one instance, at about 0.1 ms of its processor each.
	maxRenewalsPerSecond = 1200
	// maxRenewShare bounds that time, as a fraction of the duration of a grant. It leaves room for two failed calls.
	maxRenewShare = 0.4
)

// renewInterval returns the time between grants of the same range.
func (k *Manager) renewInterval() time.Duration {
	paced := time.Duration(len(k.spans)) * time.Second / maxRenewalsPerSecond
	return max(k.config.RenewInterval, min(paced, time.Duration(maxRenewShare*float64(k.config.Hold))))
}

// Rewrite returns the current assignment, to be written for the given term and era instead of the one of an older copy from which the
// store has come back. Until Recorded is called, no keys are reassigned.
func (k *Manager) Rewrite(now time.Duration, term, era uint64) *schema.Assignment {
	k.term = term
	k.config.Era = era
	if k.proposal == nil {
		k.proposal = k.propose(now, nil)
	}
	return k.document(now, k.proposal)
}

// releaseRetryDelay is the delay before an unanswered release is sent again.
const releaseRetryDelay = 300 * time.Millisecond

func (k *Manager) release(now time.Duration, s *span, p *prior, actions *Actions) {
	u, known := k.lookUp(p.holder.id)
	if p.released || p.releasePending || p.callPending || now < p.retryAt || !known {
		return
	}
	p.releasePending = true
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

// overlapping returns the spans that share keys with a range.
func (k *Manager) overlapping(from, to uint32) []*span {
	first := sort.Search(len(k.spans), func(i int) bool { return k.spans[i].to >= from })
	last := first
	for last < len(k.spans) && k.spans[last].from <= to {
		last++
	}
	return k.spans[first:last]
}

// GrantResult is the result of a grant call.
type GrantResult int

// Results of a grant call.
const (
	// Granted means that the upstream accepted the grant.
	Granted GrantResult = iota
	// StaleFence means that the upstream has seen a higher fence.
	StaleFence
	// NotAnswered means that the grant may have been accepted, or may still be.
	NotAnswered
	// NotSent means that no connection could be made, so the upstream received nothing.
	NotSent
	// Reset is like NotAnswered, but the connection broke: the process may have ended.
	Reset
	// Refused is like NotSent, but the connection was refused: the process may have ended.
	Refused
	// Gone means that a different upstream answers at the address, so the process has ended.
	Gone
)

// Granted reports at now the result of a grant call that was sent at sent. If the span has been split since, the result
// applies to all of its parts.
func (k *Manager) Granted(now, sent time.Duration, call GrantCall, result GrantResult) {
	for _, s := range k.overlapping(call.Grant.From, call.Grant.To) {
		if s.holder.id == call.Upstream && s.holder.fence == call.Grant.Fence {
			k.granted(now, sent, s, result)
			continue
		}
		for _, p := range s.priors {
			if p.holder.id == call.Upstream && p.holder.fence == call.Grant.Fence {
				k.recordCallEnd(now, &p.claim, result)
			}
		}
	}
}

// recordCallEnd updates the latest possible end of the claim after a grant call that ended at now.
func (k *Manager) recordCallEnd(now time.Duration, c *claim, result GrantResult) {
	c.callPending = false
	switch result {
	case Granted:
		c.heldUntil = max(c.heldUntil, now+k.maxGrantDuration())
	case NotAnswered, Reset:
		c.unansweredUntil = max(c.unansweredUntil, now+k.maxGrantDuration())
	case Gone:
		c.validUntil, c.heldUntil, c.unansweredUntil = 0, 0, 0
	case StaleFence, NotSent, Refused:
	}
}

func (k *Manager) granted(now, sent time.Duration, s *span, result GrantResult) {
	k.recordCallEnd(now, &s.claim, result)
	switch result {
	case Granted:
		if s.validUntil == 0 {
			s.accepted = now
		}
		s.validUntil = sent + k.config.Hold
		s.failures = 0
		s.answeredAt = now
		s.handover = ""
	case StaleFence:
		s.validUntil = 0
		s.needsHigherFence = true
	case Gone:
		s.gone = true
	case NotAnswered, NotSent, Reset, Refused:
		if s.failures == 0 {
			s.failingSince = sent
		}
		s.failures++
		if result == Reset || result == Refused || now-s.answeredAt > restartSilence {
			s.needsHigherFence = true
		}
	}
}

// restartSilence is the time without an accepted grant after which an upstream may have restarted under the same ID; a
// restart takes longer than this. Its keys then need a higher fence, even if they stay with the same upstream.
const restartSilence = 1200 * time.Millisecond

// Released reports at now the result of a release. answered is false if it is unknown whether the release was executed.
func (k *Manager) Released(now time.Duration, call ReleaseCall, handover string, answered bool) {
	for _, s := range k.overlapping(call.Grant.From, call.Grant.To) {
		for _, p := range s.priors {
			if p.holder.id != call.Upstream || p.holder.fence != call.Grant.Fence {
				continue
			}
			p.releasePending = false
			if !answered {
				p.retryAt = now + releaseRetryDelay
				continue
			}
			p.released = true
			if handover != "" {
				s.handover = handover
			}
		}
	}
}
