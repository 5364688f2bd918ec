package soak

import (
	"sort"
	"time"

	"cuminlift/internal/standin/backend"
)

// Outcome is how a request ended for its caller.
type Outcome string

// Outcomes.
const (
	Answered Outcome = "answered"
	// Dropped means that the connection ended without a complete answer.
	Dropped Outcome = "dropped"
	// Left means that the caller gave up.
	Left Outcome = "left"
)

// Result is what a caller saw of one request. Times are Unix times in nanoseconds.
type Result struct {
	Request string
	// Instance is the number of the instance that was asked.
	Instance int
	// Unsafe requests must not run more than once.
	Unsafe bool
	// Workspace is the workspace of the caller, empty if its key is unknown.
	Workspace  string
	SentAt     int64
	EndedAt    int64
	Outcome    Outcome
	Status     int
	Body       string
	BodyBytes  int
	RequestID  string
	Signature  string
	RetryAfter string
}

// Span is a time during which something was disturbed.
type Span struct {
	Kind FaultKind
	// Target is that of the fault.
	Target   int
	From, To int64
}

// Order is an order of the operators to evacuate a zone, acknowledged at From and taken back at To.
type Order struct {
	Zone     string
	From, To int64
}

// Exit is the end of a backend that was killed.
type Exit struct {
	Backend string
	Born    int64
	At      int64
}

// History is all that was seen in a run.
type History struct {
	// NoWorkspaces is true if the configuration has no workspaces, as in runs with even seeds.
	NoWorkspaces bool
	// StopTimeout is how long an instance may take to stop.
	StopTimeout time.Duration

	Events  []backend.Event
	Results []Result
	Spans   []Span
	Orders  []Order
	Exits   []Exit
	// SlotsInUse holds the slots that coordinators still counted as in use when all requests must have ended, by instance and service.
	SlotsInUse map[int]map[string]int
}

// sorted orders the events by time.
func (h *History) sorted() {
	sort.SliceStable(h.Events, func(i, j int) bool { return h.Events[i].At < h.Events[j].At })
}

// overlaps reports whether a disturbance of one of the kinds overlaps a time.
func (h *History) overlaps(from, to int64, kinds map[FaultKind]bool) bool {
	for _, s := range h.Spans {
		if kinds[s.Kind] && s.From <= to && s.To >= from {
			return true
		}
	}
	return false
}

// justHealed reports whether a disturbance of one of the kinds was under way at a time, or had ended within a time before.
func (h *History) justHealed(at int64, within time.Duration, kinds map[FaultKind]bool) bool {
	return h.overlaps(at-within.Nanoseconds(), at, kinds)
}
