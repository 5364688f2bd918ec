// Package execution decides what an attempt at an upstream shows about whether the request ran there.
package execution

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
}

// statusesOfRefusals are the statuses by which a caller is told that its request has not run and will not run.
var statusesOfRefusals = map[int]bool{
	408: true,
	421: true,
	429: true,
	503: true,
}

// Promises reports whether a status tells a caller that its request has not run and will not run.
func Promises(status int) bool {
	return statusesOfRefusals[status]
}
