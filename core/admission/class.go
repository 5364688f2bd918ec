// Package admission schedules queued requests onto upstreams and decides which requests are refused. A Pool holds the
// requests for the upstreams of one service in one availability zone. Only the home instance of that zone dispatches
// to them, so the pool's limits hold across all instances.
package admission

import "time"

// Class is the priority class of a request. Lower values are dispatched first, higher values are shed first.
type Class int

const (
	// Order is the class of requests that are not idempotent.
	Order Class = iota
	// Check is the class of interactive idempotent reads.
	Check
	// Download is the class of bulk transfers.
	Download
	// NumClasses is the number of classes.
	NumClasses
)

// String returns the name that is used in headers and settings.
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

// QueuedRequest is a request that waits in a Pool or was dispatched from it.
type QueuedRequest struct {
	ID    uint64
	Class Class
	// Idempotent requests may be hedged and retried.
	Idempotent bool
	// Deadline is the time on the pool's clock by which the caller needs the answer.
	Deadline time.Duration
	// Upstream is the owner of the key of a keyed request. It is empty if any upstream of the pool may answer.
	Upstream string
	// CanSpillOver requests are refused with Elsewhere if their expected wait is at least the typical latency, because
	// another zone may answer sooner.
	CanSpillOver bool
	// Attempts counts the dispatches, without hedges.
	Attempts int
	// lastUpstream is the upstream of the last attempt. A retry prefers another one.
	lastUpstream string
	arrivedAt    time.Duration
	sequence     uint64
}

// Reason is the reason for refusing a request.
type Reason int

const (
	// QueueFull means that requests of the same or a more urgent class fill the queue.
	QueueFull Reason = iota
	// TooLate means that the request would not be answered before its deadline.
	TooLate
	// NoUpstream means that no upstream was usable when the hold limit was over.
	NoUpstream
	// Stopping means that the instance is shutting down.
	Stopping
	// Elsewhere means that a request with CanSpillOver would wait too long here. RetryAfter is the expected wait.
	Elsewhere
)

// String returns the name that callers see.
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

// Refusal reports that a request left the queue without being dispatched.
type Refusal struct {
	QueuedRequest *QueuedRequest
	Reason        Reason
	// RetryAfter is the delay after which a retry may succeed.
	RetryAfter time.Duration
}

// Dispatch tells the caller of the pool to send a request to an upstream.
type Dispatch struct {
	QueuedRequest *QueuedRequest
	Upstream      string
	// Hedge is true for a second copy of an idempotent request that is still in flight at another upstream.
	Hedge bool
}

// Decisions holds the dispatches and refusals of one Poll.
type Decisions struct {
	Dispatches []Dispatch
	Refusals   []Refusal
}
