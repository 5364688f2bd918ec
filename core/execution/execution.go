// Package execution decides what proves that a request has not run, and which statuses may say so to a caller. All that passes requests on
// asks it, so that no answer says "not run" on any other ground.
package execution

import (
	"net/http"

	"cuminlift/core/request"
)

// Evidence is what one attempt has shown. The zero value stands for an attempt of which nothing was sent.
type Evidence struct {
	// Sent is true if a byte of the request may have reached the upstream.
	Sent bool
	// Status is the status of the answer, 0 if none came that can be the attempt's.
	Status int
	// Marked is true if the answer bears the header by which an upstream states that it did not run the request.
	Marked bool
	// OtherUpstream is true if the answer names another upstream than the one that the request is for.
	OtherUpstream bool
	// Identified is true if the answer carries the request's ID, which is not empty.
	Identified bool
	// Reused is true if an earlier answer had come on the connection.
	Reused bool
	// RefusedBefore is true if a refusal with the request's ID had come on the connection. It may be written once more in place of the
	// next answer.
	RefusedBefore bool
}

// Proof names what proves that a request has not run.
type Proof string

// Proofs.
const (
	// None: the request may have run.
	None Proof = ""
	// NothingSent: no byte of the request has left.
	NothingSent Proof = "nothing-sent"
	// Stated: the upstream says that it did not run the request.
	Stated Proof = "stated"
	// Misaddressed: another upstream has the address, and runs nothing that is not for it.
	Misaddressed Proof = "misaddressed"
)

// Proof returns what proves that the attempt's request has not run and will not. A status alone proves nothing.
func (e Evidence) Proof() Proof {
	switch {
	case !e.Sent:
		return NothingSent
	case e.Status < http.StatusBadRequest || !e.belongs():
		return None
	case e.OtherUpstream && e.Status == http.StatusMisdirectedRequest:
		return Misaddressed
	case e.Marked:
		return Stated
	}
	return None
}

// belongs reports whether the answer can be no other attempt's.
func (e Evidence) belongs() bool {
	return !e.Reused || (e.Identified && !e.RefusedBefore)
}

// Refusal reports whether the answer has the form of a refusal, whether it proves anything or not.
func (e Evidence) Refusal() bool {
	return e.Status == http.StatusMisdirectedRequest || (e.Marked && e.Status >= http.StatusBadRequest)
}

// Promises reports whether a status tells a caller that its request has not run and will not run.
func Promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// MayPassOn reports whether an answer's own status may go on to the caller. One that promises what nothing proves may not, unless the
// request may be repeated.
func (e Evidence) MayPassOn(atMostOnce bool) bool {
	return !atMostOnce || !Promises(e.Status) || e.Proof() != None
}

// StatusFor returns the status with which a caller is told that no upstream has answered its request. late is true if its time is over.
func StatusFor(known request.ExecutionStatus, late bool) int {
	switch {
	case known == request.NotRun:
		return http.StatusServiceUnavailable
	case late:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}
