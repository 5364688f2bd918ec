// Package dispatch assigns waiting requests to upstreams and refuses those that cannot be answered in time. A Pool
// holds the requests and upstreams of one service. While the coordinator is known, its pool is the only one in use, so
// that slots, cold-start ramps and the retry budget are enforced across all instances.
package dispatch

import (
	"time"

	"cuminlift/core/request"
)

// Ticket is a request waiting for an upstream.
type Ticket struct {
	// ID is unique among the tickets of a pool.
	ID uint64
	// Key is the request's key plus 1, or 0 for a request without a key.
	Key uint32
	// Priority is the urgency of the request; 0 is the most urgent.
	Priority   int
	Idempotent bool
	// Bulk marks requests with large responses, which stay within a zone if that is not slower.
	Bulk bool
	// Instance will send the request, and Zone is its availability zone.
	Instance, Zone string
	// Deadline is when the request times out. Objective is the time by which it should be answered.
	Deadline, Objective time.Duration
	// Attempt counts from 0. Avoid is the upstream used by the previous attempt.
	Attempt int
	Avoid   string
	// Unsent is true if no earlier attempt was sent, so that this one takes nothing of the retry budget.
	Unsent bool
	// Returned is true if the last ticket of the request was returned unused. It was counted as a request or a retry then.
	Returned bool
	// Resubmitted is true if another pool has counted the request for its retry budget.
	Resubmitted bool
	// Workspace is the workspace of the caller, empty for none.
	Workspace string
	// Class is the same for requests that are taken to cost alike.
	Class string
	// BodyBytes is the size of the request's body.
	BodyBytes int
	// Identity is the same for each repeat of the request.
	Identity request.Identity
	// arrived is when the ticket was submitted.
	arrived time.Duration
	// rank orders the tickets of a queue: arrived plus a delay for bulk requests and for those of low priority.
	rank time.Duration
	// kind and level are set on services with mixed kinds. level is the priority, or 0 if promoted is true: the kind of the ticket
	// was served too rarely when it arrived. lagging is true if it was served less often than a less urgent kind.
	kind              *kind
	level             int
	promoted, lagging bool
	// queue is the queue that holds the ticket, nil if it is not waiting.
	queue *queue
	// reserved is true while a request of the workspace is reserved for the ticket.
	reserved bool
	// fairGap is the time by which the next ticket of the workspace is put back for this one, 0 if it was sent or refused.
	fairGap time.Duration
}

// Reason is why a ticket was refused. A refused ticket has not been sent to an upstream, but earlier attempts of the
// same request may have been.
type Reason string

// Reasons for a refusal.
const (
	// TooLate means that the request would not be answered in time.
	TooLate Reason = "too-late"
	// NoUpstream means that no upstream of the service is usable.
	NoUpstream Reason = "no-upstream"
	// NoBudget means that the retry budget is exhausted.
	NoBudget Reason = "no-budget"
	// NoOwner means that the request's key has no owner.
	NoOwner Reason = "no-owner"
	// Quarantined means that several upstreams have ended while they ran the request.
	Quarantined Reason = "crashes-upstreams"
	// OverQuota means that the quota of the workspace is used up.
	OverQuota Reason = "quota"
)

// Decision is the result for a ticket: either the upstream to send it to, or a refusal.
type Decision struct {
	Ticket *Ticket
	// Upstream and Address are empty in a refusal.
	Upstream, Address string
	// Incarnation is the start of the upstream that the ticket is for.
	Incarnation int64
	Reason      Reason
	// RetryAfter is the delay after which a retry may succeed.
	RetryAfter time.Duration
}

// Outcome is the result of an attempt.
type Outcome int

// The outcomes correspond to TicketOutcome in the schema.
const (
	Answered Outcome = iota
	Erred
	Shed
	Misdirected
	Unreachable
	Lost
	Abandoned
	Crashed
)
