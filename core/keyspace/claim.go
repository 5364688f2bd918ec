package keyspace

import "time"

// holder is one incarnation of an upstream with the fence of its grant.
type holder struct {
	id          string
	incarnation int64
	fence       uint64
}

// claim holds the known bounds of the time during which a holder owns its keys.
type claim struct {
	holder holder
	// validUntil is the earliest time at which the grant can end. heldUntil is the latest end of the answered grants.
	validUntil, heldUntil time.Duration
	// unansweredUntil is the latest time until which an unanswered call may still grant the keys. A release does not
	// shorten it.
	unansweredUntil time.Duration
	// callPending is true while a grant call is in progress.
	callPending bool
	// sent is when the last grant was sent.
	sent time.Duration
}

// prior is an earlier holder that must give up its keys.
type prior struct {
	claim
	released       bool
	releasePending bool
	retryAt        time.Duration
}

// span is a range of keys with its holder, as recorded in the store.
type span struct {
	id       uint64
	from, to uint32
	claim
	priors   []*prior
	handover string
	// failures counts consecutive failed grants, and failingSince is when the first of them was sent.
	failures     int
	failingSince time.Duration
	// answeredAt is when the holder last accepted a grant.
	answeredAt time.Duration
	// gone is true once a different upstream has answered at the holder's address.
	gone bool
	// needsHigherFence is true while the span must not be granted again under its fence, because its holder may have restarted.
	needsHigherFence bool
	// reassigned is when the span was assigned to its holder, and accepted when the holder first accepted it.
	reassigned, accepted time.Duration
	// formers are the upstreams that have given up any part of the span, the recent ones at least. The slice is not modified.
	formers []former
}

func (p *prior) done(now time.Duration) bool {
	if p.callPending {
		return false
	}
	if p.released {
		return now >= p.unansweredUntil
	}
	return now >= max(p.heldUntil, p.unansweredUntil)
}
