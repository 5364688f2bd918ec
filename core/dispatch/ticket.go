// Package dispatch decides which waiting request goes to which upstream, and which is turned away. A Pool holds the
// requests and upstreams of one service; the coordinator's pool is the only one while it is known, so that slots, cold
// ramps and the retry budget are bounds over all instances.
package dispatch

import "time"

// Ticket is a request that waits for an upstream.
type Ticket struct {
	// ID is unique among the tickets of a pool.
	ID uint64
	// Key is the request's key plus 1, 0 for a request without one.
	Key uint32
	// Priority 0 is the most urgent.
	Priority   int
	Idempotent bool
	// Bulk answers are large, and kept in the zone where that is no slower.
	Bulk bool
	// Zone is that of the instance that will send the request.
	Zone string
	// Deadline is when the caller's time is over, and Objective until when an answer is worth most.
	Deadline, Objective time.Duration
	// Attempt counts from 0, and Avoid is the upstream of the last one.
	Attempt int
	Avoid   string
	arrived time.Duration
	rank    time.Duration
	// lane is where it waits, nil while it does not.
	lane *lane
}

// Reason tells why a request was turned away. It has not been sent by this ticket.
type Reason string

// The reasons.
const (
	// TooLate: it would not be answered in time.
	TooLate Reason = "too-late"
	// NoUpstream: no upstream that may answer is usable.
	NoUpstream Reason = "no-upstream"
	// NoBudget: the budget for further attempts is spent.
	NoBudget Reason = "no-budget"
	// NoOwner: its key has no owner for now.
	NoOwner Reason = "no-owner"
)

// Decision is the final word on a ticket: an upstream, or a refusal.
type Decision struct {
	Ticket *Ticket
	// Upstream and Address are empty in a refusal.
	Upstream, Address string
	Reason            Reason
	// RetryAfter is when asking again may help.
	RetryAfter time.Duration
}

// Outcome is how an attempt ended.
type Outcome int

// The outcomes, as in the schema's TicketOutcome.
const (
	Answered Outcome = iota
	Erred
	Shed
	Misdirected
	Unreachable
	Lost
	Abandoned
)
