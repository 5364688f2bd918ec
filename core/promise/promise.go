// Package promise checks the ten guarantees given to users, here called promises, against the outcomes in a trace.
package promise

import (
	"fmt"
	"time"

	"cuminlift/schema"
)

// Verdict is the result of checking one promise.
type Verdict int

const (
	// NotExercised means that the trace has no outcome that could have violated the promise.
	NotExercised Verdict = iota
	// Held means that the trace has such outcomes and none violated the promise.
	Held
	// Broken means that an outcome violated the promise.
	Broken
)

// String returns the name that is used in reports.
func (v Verdict) String() string {
	switch v {
	case Held:
		return "held"
	case Broken:
		return "broken"
	case NotExercised:
	}
	return "not-exercised"
}

// Finding is the verdict on one promise.
type Finding struct {
	Promise string
	Verdict Verdict
	// Line is the sequence number of the first line that violated the promise, and What describes the violation.
	Line uint64
	What string
	// Checked counts the lines that could have violated the promise.
	Checked int
}

// Time limits of the promises, from the users' requirements.
const (
	// MaxNewWorkDelay is how long a zone or an upstream may still get new work after it was taken out of service or began
	// to drain.
	MaxNewWorkDelay = 5 * time.Second
	// MaxPropagation bounds the time from the acceptance of a configuration until it is in force on all instances.
	MaxPropagation = 11 * time.Second
)

// checker checks one promise against a sequence of outcomes.
type checker interface {
	name() string
	// observe processes one outcome. It reports whether the outcome could have violated the promise, and describes the
	// violation, if any.
	observe(at time.Duration, o *schema.Outcome) (checked bool, violation string)
	// end is called with the time of the last line and describes a violation that is still pending then, if any.
	end(at time.Duration) (violation string)
}

// Check returns a finding for each promise, in the order of the users' requirements.
func Check(lines []*schema.TraceLine) []Finding {
	checkers := []checker{
		newSingleOwner(),
		newDurableAssignment(),
		&coldStartLimit{},
		newOutOfService("zone-out", "zone-in", "a zone that is out gets no new work after a few seconds", zoneOf),
		newCompleteAnswer(),
		newAccurateRefusal(),
		newAtMostOnce(),
		newOutOfService("leaving", "returned", "a leaving upstream gets no new work after a few seconds", upstreamOf),
		newGracefulStop(),
		newConfigurationPropagation(),
	}
	findings := make([]Finding, 0, len(checkers))
	for _, c := range checkers {
		findings = append(findings, runChecker(c, lines))
	}
	return findings
}

// runChecker runs one checker over the outcomes in lines.
func runChecker(c checker, lines []*schema.TraceLine) Finding {
	f := Finding{
		Promise: c.name(),
	}
	var at time.Duration
	var last uint64
	for _, line := range lines {
		if line.GetOutcome() == nil {
			continue
		}
		at = time.Duration(line.GetAtUs()) * time.Microsecond
		last = line.GetSequence()
		checked, violation := c.observe(at, line.GetOutcome())
		if checked {
			f.Checked++
		}
		f.recordViolation(last, violation)
	}
	f.recordViolation(last, c.end(at))
	if f.Verdict == NotExercised && f.Checked > 0 {
		f.Verdict = Held
	}
	return f
}

// recordViolation records the first violation. An empty text means that there is none.
func (f *Finding) recordViolation(line uint64, violation string) {
	if violation == "" || f.Verdict == Broken {
		return
	}
	f.Verdict = Broken
	f.Line = line
	f.What = violation
}

// String returns the finding as a line of text.
func (f Finding) String() string {
	if f.Verdict == Broken {
		return fmt.Sprintf("%-13s %s: line %d: %s", f.Verdict, f.Promise, f.Line, f.What)
	}
	return fmt.Sprintf("%-13s %s (%d checked)", f.Verdict, f.Promise, f.Checked)
}
