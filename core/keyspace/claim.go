package keyspace

import "time"

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

func (p *prior) done(now time.Duration) bool {
	if p.calling {
		return false
	}
	if p.released {
		return now >= p.unanswered
	}
	return now >= max(p.held, p.unanswered)
}
