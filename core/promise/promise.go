// Package promise checks the ten promises over the outcomes in a trace.
package promise

import (
	"fmt"
	"time"

	"cuminlift/schema"
)

// Verdict is what a trace shows of one promise.
type Verdict int

const (
	// NotExercised: the trace holds nothing that could have broken it.
	NotExercised Verdict = iota
	// Held: it could have been broken and was not.
	Held
	// Broken: it was broken.
	Broken
)

// String returns the kebab-case word.
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
	// Line is the sequence of the first line that broke it, and What tells how.
	Line uint64
	What string
	// Checked counts the lines that could have broken it.
	Checked int
}

// Bounds of the promises, from the users' words.
const (
	// MaxNewWorkDelay bounds new work after a zone or an upstream was taken out or told to leave.
	MaxNewWorkDelay = 5 * time.Second
	// MaxPropagation bounds the time from accepted to in force everywhere.
	MaxPropagation = 11 * time.Second
)

// checker follows one promise.
type checker interface {
	name() string
	// see takes one outcome and returns whether it could have broken the promise, and how it did.
	see(at time.Duration, o *schema.Outcome) (checked bool, broken string)
	// end is called after the last line, at its time.
	end(at time.Duration) (broken string)
}

// Check returns a finding for each promise, in the order of the users' list.
func Check(lines []*schema.TraceLine) []Finding {
	checkers := []checker{
		newSoleOwner(),
		newSurvives(),
		&coldStart{},
		newOutOfService("zone-out", "zone-in", "a zone that is out gets no new work after a few seconds", zoneOf),
		newWholeAnswer(),
		newTrueRefusal(),
		newAtMostOnce(),
		newOutOfService("leaving", "returned", "a leaving upstream gets no new work after a few seconds", upstreamOf),
		newGraceful(),
		newInForce(),
	}
	findings := make([]Finding, 0, len(checkers))
	for _, c := range checkers {
		findings = append(findings, follow(c, lines))
	}
	return findings
}

func follow(c checker, lines []*schema.TraceLine) Finding {
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
		checked, broken := c.see(at, line.GetOutcome())
		if checked {
			f.Checked++
		}
		f.breakAt(last, broken)
	}
	f.breakAt(last, c.end(at))
	if f.Verdict == NotExercised && f.Checked > 0 {
		f.Verdict = Held
	}
	return f
}

func (f *Finding) breakAt(line uint64, what string) {
	if what == "" || f.Verdict == Broken {
		return
	}
	f.Verdict = Broken
	f.Line = line
	f.What = what
}

// String returns a line for people.
func (f Finding) String() string {
	if f.Verdict == Broken {
		return fmt.Sprintf("%-13s %s: line %d: %s", f.Verdict, f.Promise, f.Line, f.What)
	}
	return fmt.Sprintf("%-13s %s (%d checked)", f.Verdict, f.Promise, f.Checked)
}
