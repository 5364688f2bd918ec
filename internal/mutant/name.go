package mutant

// Variable is the environment variable that names the planted fault.
const Variable = "CUMINLIFT_MUTANT"

// Name identifies a fault.
type Name string

// The faults.
const (
	// ReleaseSkipped counts keys as released that their holder was not told to give up.
	ReleaseSkipped Name = "release-skipped"
	// LateGrantsIgnored takes unanswered grants for grants that were not sent.
	LateGrantsIgnored Name = "late-grants-ignored"
	// RepeatUnsafe sends requests again that may have run and must run once at most.
	RepeatUnsafe Name = "repeat-unsafe"
	// FalsePromise says of each request that was not answered that it has not run.
	FalsePromise Name = "false-promise"
	// DrainIgnored sends to upstreams that have said that they are draining, and ZonesIgnored to evacuated zones.
	DrainIgnored Name = "drain-ignored"
	ZonesIgnored Name = "zones-ignored"
	// StatusTrusted passes on an upstream's status that promises what nothing proves, and takes 421 for a proof.
	StatusTrusted Name = "status-trusted"
	// CopiesTrusted takes the second copy of a refusal for the answer to the next attempt.
	CopiesTrusted Name = "copies-trusted"
	// SlotsKept keeps the slots of requests whose instance was killed.
	SlotsKept Name = "slots-kept"
	// StopCloses does not refuse the requests that wait when an instance is stopped.
	StopCloses Name = "stop-closes"
	// StopCuts cuts off running requests when an instance is stopped.
	StopCuts Name = "stop-cuts"
)
