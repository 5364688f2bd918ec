package soak

import (
	"fmt"
	"strings"
	"time"

	"cuminlift/internal/standin/backend"
)

// Violation is a broken promise, with the story of what was seen.
type Violation struct {
	Promise string
	At      int64
	Story   []string
}

// Bounds of the platform's settings that the checks use.
const (
	// drainBound and evacuationBound are the times after an acknowledgement within which requests may still arrive.
	drainBound      = 2 * time.Second
	evacuationBound = 5 * time.Second
	// contact is how long an instance must have been undisturbed for bounds in time to hold for it.
	contact = 2 * time.Second
	// freezeSlack is how long after a thaw or a healed link grants may be carried out late.
	freezeSlack = 500 * time.Millisecond
)

// holdups are the disturbances that hold calls up on their way, or make a process carry them out late.
var holdups = map[FaultKind]bool{
	InstancePause: true,
	BackendPause:  true,
	BackendCut:    true,
}

// outOfTouch are the disturbances during which some instance is not in touch with the platform, with the others or with a backend.
var outOfTouch = map[FaultKind]bool{
	InstanceKill:  true,
	InstanceStop:  true,
	InstancePause: true,
	StoreCut:      true,
	BackendCut:    true,
	StoreDown:     true,
	StoreSilent:   true,
	StoreSlow:     true,
	StoreLoses:    true,
	StoreForgets:  true,
	StoreOlder:    true,
}

// Checker checks one promise.
type Checker struct {
	Promise string
	Check   func(h *History) []Violation
}

// Checkers returns all checkers.
func Checkers() []Checker {
	return []Checker{
		{
			Promise: "requests are served",
			Check:   checkServed,
		},
		{
			Promise: "one owner",
			Check:   checkOwners,
		},
		{
			Promise: "at most once",
			Check:   checkAtMostOnce,
		},
		{
			Promise: "not run is true",
			Check:   checkNotRun,
		},
		{
			Promise: "nothing after drain",
			Check:   checkDrain,
		},
		{
			Promise: "nothing after evacuation",
			Check:   checkEvacuation,
		},
		{
			Promise: "own and whole answer",
			Check:   checkAnswers,
		},
		{
			Promise: "nothing cut by a planned stop",
			Check:   checkStops,
		},
		{
			Promise: "a planned stop answers what was read",
			Check:   checkAnsweredAtStops,
		},
		{
			Promise: "slots come back",
			Check:   checkSlots,
		},
		{
			Promise: "workspaces are kept apart",
			Check:   checkWorkspaces,
		},
		{
			Promise: "quota",
			Check:   checkQuota,
		},
	}
}

// Check returns the violations of all promises.
func Check(h *History) []Violation {
	h.sorted()
	var found []Violation
	for _, c := range Checkers() {
		for _, v := range c.Check(h) {
			v.Promise = c.Promise
			found = append(found, v)
		}
	}
	return found
}

func describe(e backend.Event) string {
	text := fmt.Sprintf("%s %s/%d %s", clockText(e.At), e.Backend, e.Born, e.Kind)
	switch e.Kind {
	case backend.Granted, backend.Released:
		text += fmt.Sprintf(" keys %d to %d, fence %d", e.From, e.To, e.Fence)
	case backend.Begun, backend.Ended:
		text += " " + e.Request
		if e.Keyed {
			text += fmt.Sprintf(" (key %d)", e.Key)
		}
	case backend.Started, backend.Draining, backend.Left:
	}
	return text
}

func clockText(at int64) string { return time.Unix(0, at).Format("15:04:05.000000") }

// begun returns the events with which each request began to run.
func begun(h *History) map[string][]backend.Event {
	runs := map[string][]backend.Event{}
	for _, e := range h.Events {
		if e.Kind == backend.Begun {
			runs[e.Request] = append(runs[e.Request], e)
		}
	}
	return runs
}

// minServed is the share of the requests that a run must serve to show anything.
const minServed = 0.3

// checkServed has no excuse: a run that serves next to nothing would keep all other promises.
func checkServed(h *History) []Violation {
	served := 0
	for _, r := range h.Results {
		if r.Outcome == Answered && r.Status/100 == 2 {
			served++
		}
	}
	if served > 0 && float64(served) >= minServed*float64(len(h.Results)) {
		return nil
	}
	return []Violation{{
		Story: []string{fmt.Sprintf("%d of %d requests were served", served, len(h.Results))},
	}}
}

// checkAtMostOnce has no excuse.
func checkAtMostOnce(h *History) []Violation {
	var found []Violation
	runs := begun(h)
	for _, r := range h.Results {
		if !r.Unsafe || len(runs[r.Request]) < 2 {
			continue
		}
		v := Violation{
			At: runs[r.Request][1].At,
		}
		for _, e := range runs[r.Request] {
			v.Story = append(v.Story, describe(e))
		}
		found = append(found, v)
	}
	return found
}

// promisesNotRun reports whether a status promises that the request has not run and won't.
func promisesNotRun(status int) bool {
	return status == 429 || status == 503 || status == 408 || status == 421
}

// checkNotRun excuses the status of a backend's own answer to a request that may be repeated: it is returned unchanged.
func checkNotRun(h *History) []Violation {
	var found []Violation
	runs := begun(h)
	stated := map[string]map[int]bool{}
	for _, e := range h.Events {
		if e.Kind == backend.Ended && promisesNotRun(e.Status) {
			if stated[e.Request] == nil {
				stated[e.Request] = map[int]bool{}
			}
			stated[e.Request][e.Status] = true
		}
	}
	for _, r := range h.Results {
		if r.Outcome != Answered || !promisesNotRun(r.Status) || len(runs[r.Request]) == 0 {
			continue
		}
		if !r.Unsafe && stated[r.Request][r.Status] {
			continue
		}
		found = append(found, Violation{
			At: r.EndedAt,
			Story: []string{
				describe(runs[r.Request][0]),
				fmt.Sprintf("%s instance %d answers %s with %d", clockText(r.EndedAt), r.Instance, r.Request, r.Status),
			},
		})
	}
	return found
}

// checkDrain excuses what came while an instance was out of touch.
func checkDrain(h *History) []Violation {
	type start struct {
		id   string
		born int64
	}
	var found []Violation
	drained := map[start]backend.Event{}
	for _, e := range h.Events {
		s := start{
			id:   e.Backend,
			born: e.Born,
		}
		if e.Kind == backend.Draining {
			drained[s] = e
		}
		told, draining := drained[s]
		if !draining || e.Kind != backend.Begun || e.At <= told.At+drainBound.Nanoseconds() {
			continue
		}
		if h.justHealed(e.At, contact, outOfTouch) {
			continue
		}
		found = append(found, Violation{
			At:    e.At,
			Story: []string{describe(told), describe(e)},
		})
	}
	return found
}

// checkEvacuation excuses what came while an instance was out of touch.
func checkEvacuation(h *History) []Violation {
	var found []Violation
	for _, o := range h.Orders {
		for _, e := range h.Events {
			if e.Kind != backend.Begun || e.Zone != o.Zone || e.At <= o.From+evacuationBound.Nanoseconds() || e.At >= o.To {
				continue
			}
			if h.justHealed(e.At, contact, outOfTouch) {
				continue
			}
			found = append(found, Violation{
				At: e.At,
				Story: []string{
					fmt.Sprintf("%s evacuation of %s acknowledged", clockText(o.From), o.Zone),
					describe(e),
				},
			})
		}
	}
	return found
}

// checkAnswers has no excuse. Only answers with a 2xx status and a signature are those of a backend.
func checkAnswers(h *History) []Violation {
	var found []Violation
	for _, r := range h.Results {
		if r.Outcome != Answered || r.Status/100 != 2 {
			continue
		}
		id, _, _ := strings.Cut(r.Body, " ")
		if r.RequestID == r.Request && r.Signature == id && r.Body == backend.Answer(id, r.Request, r.BodyBytes) {
			continue
		}
		found = append(found, Violation{
			At:    r.EndedAt,
			Story: []string{fmt.Sprintf("%s instance %d answers %s with Request-Id %q, signature %q and %q", clockText(r.EndedAt), r.Instance, r.Request, r.RequestID, r.Signature, r.Body)},
		})
	}
	return found
}

// checkStops excuses requests that took longer than the stop may last, and those whose instance or backend was disturbed otherwise.
func checkStops(h *History) []Violation {
	var found []Violation
	runs := begun(h)
	for _, r := range h.Results {
		if r.Outcome != Dropped || len(runs[r.Request]) == 0 {
			continue
		}
		if h.overlaps(r.SentAt-contact.Nanoseconds(), r.EndedAt, cutters) {
			continue
		}
		for _, stop := range h.stopsAround(r) {
			found = append(found, endedWithoutAnswer(r, stop, describe(runs[r.Request][0])))
		}
	}
	return found
}

// endedWithoutAnswer is the violation by a request that got no answer in a planned stop. fate tells what had become of it.
func endedWithoutAnswer(r Result, stop Span, fate string) Violation {
	return Violation{
		At: r.EndedAt,
		Story: []string{
			fmt.Sprintf("%s instance %d is told to stop", clockText(stop.From), stop.Target),
			fate,
			fmt.Sprintf("%s the caller's connection ends without an answer to %s", clockText(r.EndedAt), r.Request),
		},
	}
}

// stopsAround returns the planned stops of a request's instance during which the request ended, none if that was killed or paused.
func (h *History) stopsAround(r Result) (stops []Span) {
	for _, s := range h.Spans {
		disturbed := s.Kind == InstanceKill || s.Kind == InstancePause
		if disturbed && s.Target == r.Instance && s.From <= r.EndedAt && s.To >= r.SentAt-contact.Nanoseconds() {
			return nil
		}
		if s.Kind == InstanceStop && s.Target == r.Instance && r.EndedAt >= s.From && r.EndedAt-s.From <= h.StopTimeout.Nanoseconds() {
			stops = append(stops, s)
		}
	}
	return stops
}

const (
	// lossSlack is how long after its last byte a request may still be closed without an answer by a stop.
	lossSlack = 200 * time.Millisecond
	// longestSend is the longest time that a caller needs to send a request.
	longestSend = 300 * time.Millisecond
)

// checkAnsweredAtStops looks at requests that no backend has begun. Requests that one has begun are checkStops'.
func checkAnsweredAtStops(h *History) []Violation {
	var found []Violation
	runs := begun(h)
	for _, r := range h.Results {
		if r.Outcome != Dropped || len(runs[r.Request]) > 0 || r.EndedAt-r.SentAt <= (lossSlack+longestSend).Nanoseconds() {
			continue
		}
		for _, stop := range h.stopsAround(r) {
			found = append(found, endedWithoutAnswer(r, stop, fmt.Sprintf("%s %s is sent", clockText(r.SentAt), r.Request)))
		}
	}
	return found
}

// cutters are the disturbances of backends that cut off answers.
var cutters = map[FaultKind]bool{
	BackendKill:   true,
	BackendPause:  true,
	BackendCut:    true,
	BackendBreaks: true,
}
