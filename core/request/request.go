// Package request tracks a request from its arrival to its final response, and what is known about whether it ran.
package request

import "fmt"

// State is the state of a request.
type State int

const (
	// Received: read from the caller, and not yet passed on.
	Received State = iota
	// Claimed: the table holds a claim for its idempotency key.
	Claimed
	// Queued: waits for a slot at the home instance of its pool.
	Queued
	// Sent: at least one byte may have reached an upstream.
	Sent
	// Refused: the upstream reported that it did not run the request.
	Refused
	// Answered: the upstream's response has begun to arrive.
	Answered
	// Lost: the attempt ended without a response.
	Lost
)

// ExecutionStatus is what is known about whether a request ran.
type ExecutionStatus int

const (
	// NotRun: it has not run, and will not run unless it is sent again.
	NotRun ExecutionStatus = iota
	// Ran: an upstream responded to it.
	Ran
	// Unknown: it may have run, or may still run.
	Unknown
)

// String returns the name that is sent to callers, in kebab case.
func (s ExecutionStatus) String() string {
	switch s {
	case NotRun:
		return "not-run"
	case Ran:
		return "ran"
	case Unknown:
	}
	return "unknown"
}

// Request is the state of one request. It is not safe for concurrent use.
type Request struct {
	// Idempotent requests may run more than once.
	Idempotent bool
	state      State
	// inDoubt is true once an attempt has ended and it is unknown whether it ran.
	inDoubt bool
	// attempts is how often the request was sent.
	attempts int
}

// TransitionError reports an invalid state transition, which is a bug.
type TransitionError struct {
	From, To State
}

func (e *TransitionError) Error() string {
	return fmt.Sprintf("invalid request state transition from %d to %d: report this with the trace of the instance", e.From, e.To)
}

// Advance moves the request to state to, or returns a *TransitionError. A request that is not idempotent is not sent again
// after an attempt that may have run.
func (r *Request) Advance(to State) error {
	if !r.allowed(to) {
		return &TransitionError{
			From: r.state,
			To:   to,
		}
	}
	switch to {
	case Sent:
		r.attempts++
	case Lost:
		r.inDoubt = true
	case Received, Claimed, Queued, Refused, Answered:
	}
	r.state = to
	return nil
}

func (r *Request) allowed(to State) bool {
	switch to {
	case Claimed:
		return r.state == Received
	case Queued:
		return (r.state == Received || r.state == Claimed || r.state == Refused || r.state == Lost) && r.CanAttempt()
	case Sent:
		return r.state == Queued && r.CanAttempt()
	case Refused, Answered, Lost:
		return r.state == Sent
	case Received:
	}
	return false
}

// CanAttempt reports whether another attempt is allowed: a request that is not idempotent runs at most once.
func (r *Request) CanAttempt() bool {
	if r.state == Answered || r.state == Sent {
		return false
	}
	return r.Idempotent || !r.inDoubt
}

// Attempts returns how often the request was sent.
func (r *Request) Attempts() int {
	return r.attempts
}

// ExecutionStatus returns what is known about whether the request ran.
func (r *Request) ExecutionStatus() ExecutionStatus {
	switch r.state {
	case Answered:
		return Ran
	case Sent, Lost:
		return Unknown
	case Received, Claimed, Queued, Refused:
	}
	if r.inDoubt {
		return Unknown
	}
	return NotRun
}
