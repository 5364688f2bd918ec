// Package admission decides which waiting request goes to which upstream next, and which is refused. A Pool holds the
// requests for the upstreams of one service in one availability zone; its home is the only instance that sends to
// them, so that its bounds are bounds over all instances.
package admission

import "time"

// Class orders requests. A lower class goes first, and a higher one is shed first.
type Class int

const (
	// Order is work that is not idempotent.
	Order Class = iota
	// Check is interactive idempotent reading.
	Check
	// Download is bulk transfer.
	Download
	// NumClasses is the number of classes.
	NumClasses
)

// String returns the kebab-case name.
func (c Class) String() string {
	switch c {
	case Order:
		return "order"
	case Check:
		return "check"
	case Download, NumClasses:
	}
	return "download"
}

// QueuedRequest is a request that waits.
type QueuedRequest struct {
	ID    uint64
	Class Class
	// Idempotent requests may be hedged and tried again.
	Idempotent bool
	// Deadline is when the caller's time is over.
	Deadline time.Duration
	// Upstream is the owner for a keyed request, empty where any upstream of the pool may answer.
	Upstream string
	// CanSpillOver tickets are refused where another zone may answer sooner.
	CanSpillOver bool
	// Attempts counts how often the ticket was dispatched.
	Attempts int
	// avoid is the upstream of the last attempt.
	avoid   string
	arrived time.Duration
	order   uint64
}

// Reason tells why a request was refused.
type Reason int

const (
	// QueueFull: more urgent requests fill the queue.
	QueueFull Reason = iota
	// TooLate: the request would not be answered before its deadline.
	TooLate
	// NoUpstream: no upstream can take it now.
	NoUpstream
	// Stopping: the instance is leaving.
	Stopping
	// Elsewhere: the ticket is soft and would wait here; RetryAfter is the expected wait.
	Elsewhere
)

// String returns the kebab-case name that callers see.
func (r Reason) String() string {
	switch r {
	case QueueFull:
		return "queue-full"
	case TooLate:
		return "too-late"
	case NoUpstream:
		return "no-upstream"
	case Elsewhere:
		return "elsewhere"
	case Stopping:
	}
	return "stopping"
}

// Refusal is the final word on a ticket that was not dispatched.
type Refusal struct {
	QueuedRequest *QueuedRequest
	Reason        Reason
	// RetryAfter is when asking again may help.
	RetryAfter time.Duration
}

// Dispatch sends a ticket to an upstream.
type Dispatch struct {
	QueuedRequest *QueuedRequest
	Upstream      string
	// Hedge is true for a second copy of an idempotent request that is still running elsewhere.
	Hedge bool
}

// Decisions is what a pool wants done.
type Decisions struct {
	Dispatches []Dispatch
	Refusals   []Refusal
}
