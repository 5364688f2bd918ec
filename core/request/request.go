// Package request follows one request from its arrival to its final answer, and tells at each point what is known of
// whether it ran.
package request

import "fmt"

// State is how far a request has come.
type State int

const (
	// Received: read from the caller, known to nobody else.
	Received State = iota
	// Claimed: the table holds a claim for its idempotency key.
	Claimed
	// Queued: waits for a slot at its pool's home.
	Queued
	// Sent: at least one byte may have reached an upstream.
	Sent
	// Refused: the upstream said that it did not run the request.
	Refused
	// Answered: the upstream's answer has begun to arrive.
	Answered
	// Lost: the attempt ended without an answer.
	Lost
)

// ExecutionStatus is what is known of whether a request ran.
type ExecutionStatus int

const (
	// NotRun: it has surely not run, and will not run by itself.
	NotRun ExecutionStatus = iota
	// Ran: an upstream answered it.
	Ran
	// Unknown: it may have run, or may still.
	Unknown
)

// String returns the kebab-case name that callers see.
func (k ExecutionStatus) String() string {
	switch k {
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
	// doubt is true once an attempt ended without telling whether it ran.
	doubt bool
	// attempts counts how often the request was sent.
	attempts int
}

// TransitionError reports an event that is impossible in a state. It is a defect of the program.
type TransitionError struct {
	From, To State
}

func (e *TransitionError) Error() string {
	return fmt.Sprintf("request can't go from state %d to %d: report this with the trace of the instance", e.From, e.To)
}

// Advance moves the request to state to, or returns a *TransitionError. A request that is not idempotent is never
// sent again unless no earlier attempt is in doubt.
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
		r.doubt = true
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

// CanAttempt reports whether another attempt keeps the promise that a request that is not idempotent runs at most once.
func (r *Request) CanAttempt() bool {
	if r.state == Answered || r.state == Sent {
		return false
	}
	return r.Idempotent || !r.doubt
}

// Attempts returns how often the request was sent.
func (r *Request) Attempts() int {
	return r.attempts
}

// ExecutionStatus returns what is known now of whether the request ran.
func (r *Request) ExecutionStatus() ExecutionStatus {
	switch r.state {
	case Answered:
		return Ran
	case Sent, Lost:
		return Unknown
	case Received, Claimed, Queued, Refused:
	}
	if r.doubt {
		return Unknown
	}
	return NotRun
}
