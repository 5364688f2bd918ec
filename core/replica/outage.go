package replica

import "time"

// Outage tells from the results of all calls of an instance to the store when the store answers again. A call that was under
// way when the store stopped answering may never be answered, and must be repeated then.
type Outage struct {
	// unansweredSince is when the first call of the outage was given up, 0 while the store answers.
	unansweredSince time.Duration
}

// Unanswered records at now that a call was not answered in time.
func (o *Outage) Unanswered(now time.Duration) {
	if o.unansweredSince == 0 {
		o.unansweredSince = now
	}
}

// Answered records that a call was answered. ended is true for the first answer after an outage, which began at since.
func (o *Outage) Answered() (since time.Duration, ended bool) {
	since = o.unansweredSince
	o.unansweredSince = 0
	return since, since != 0
}
