package soak_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminlift/internal/soak"
	"cuminlift/internal/standin/backend"
)

// at returns a Unix time, in nanoseconds, so many milliseconds after the start of a trace.
func at(milliseconds int64) int64 { return int64(1e18) + milliseconds*1e6 }

func event(milliseconds int64, id string, kind backend.Kind) backend.Event {
	return backend.Event{
		At:      at(milliseconds),
		Kind:    kind,
		Backend: id,
		Zone:    "zone-1",
		Born:    1,
	}
}

func granted(milliseconds int64, id string, fence uint64) backend.Event {
	e := event(milliseconds, id, backend.Granted)
	e.From, e.To, e.Fence, e.Until = 0, 9, fence, at(milliseconds+2400)
	return e
}

// arrivedAt is a grant that is carried out later than it arrived.
func arrivedAt(milliseconds int64, grant backend.Event) backend.Event {
	grant.ArrivedAt = at(milliseconds)
	return grant
}

func released(milliseconds int64, id string, fence uint64) backend.Event {
	e := event(milliseconds, id, backend.Released)
	e.From, e.To, e.Fence = 0, 9, fence
	return e
}

func run(milliseconds int64, id string, kind backend.Kind, request string) backend.Event {
	e := event(milliseconds, id, kind)
	e.Request, e.Keyed, e.Key = request, true, 5
	return e
}

func answered(request string, status int) soak.Result {
	return soak.Result{
		Request:   request,
		Unsafe:    true,
		SentAt:    at(0),
		EndedAt:   at(100),
		Outcome:   soak.Answered,
		Status:    status,
		RequestID: request,
		Signature: "a",
		Body:      backend.Answer("a", request, 0),
	}
}

// droppedAfter is a request whose connection ends without an answer after some milliseconds.
func droppedAfter(request string, milliseconds int64) soak.Result {
	r := dropped(request)
	r.EndedAt = at(milliseconds)
	return r
}

func dropped(request string) soak.Result {
	r := answered(request, 0)
	r.Outcome = soak.Dropped
	return r
}

func during(kind soak.FaultKind, from, to int64) soak.Span {
	return soak.Span{
		Kind: kind,
		From: at(from),
		To:   at(to),
	}
}

func killed(milliseconds int64, id string) soak.Exit {
	return soak.Exit{
		Backend: id,
		Born:    1,
		At:      at(milliseconds),
	}
}

// trace is a history that breaks a promise, or keeps it.
type trace struct {
	name, promise string
	history       soak.History
	broken        bool
}

// Parts of a history.
type (
	events  []backend.Event
	results []soak.Result
	spans   []soak.Span
	orders  []soak.Order
	exits   []soak.Exit

	noWorkspaces struct{}
	slots        map[int]map[string]int
)

func broken(name, promise string, parts ...any) trace {
	t := kept(name, promise, parts...)
	t.broken = true
	return t
}

func kept(name, promise string, parts ...any) trace {
	t := trace{
		name:    name,
		promise: promise,
	}
	t.history.StopTimeout = 6 * time.Second
	for _, part := range parts {
		switch p := part.(type) {
		case noWorkspaces:
			t.history.NoWorkspaces = true
		case events:
			t.history.Events = p
		case results:
			t.history.Results = p
		case spans:
			t.history.Spans = p
		case orders:
			t.history.Orders = p
		case exits:
			t.history.Exits = p
		case slots:
			t.history.SlotsInUse = p
		default:
			panic(part)
		}
	}
	return t
}

// TestCheckersRejectBrokenTraces plays a trace for each promise that must be rejected, and one close to it that must not.
func TestCheckersRejectBrokenTraces(t *testing.T) {
	evacuated := orders{{
		Zone: "zone-1",
		From: at(0),
		To:   at(20000),
	}}
	stopped := during(soak.InstanceStop, 0, 6000)
	ofWorkspace := func(name string, status int) results {
		r := answered("r", status)
		r.Workspace = name
		return results{r}
	}
	runOf := func(milliseconds int64, name string) backend.Event {
		e := run(milliseconds, "a", backend.Begun, "r")
		e.Workspace = name
		return e
	}
	many := func(n int, apart int64) (list events) {
		for i := range n {
			list = append(list, runOf(int64(i)*apart, soak.LimitedWorkspace))
		}
		return list
	}
	wrong := answered("r", 200)
	wrong.Body = backend.Answer("a", "other", 0)
	repeatable := answered("r", 503)
	repeatable.Unsafe = false
	misstated := events{run(1, "a", backend.Begun, "r"), run(2, "a", backend.Ended, "r")}
	misstated[1].Status = 503
	half := answered("r", 200)
	half.Body = half.Body[:5]
	proved := map[string]bool{}
	for _, test := range []trace{
		broken("two begin", "one owner", events{granted(0, "a", 1), run(10, "a", backend.Begun, "r"), run(20, "a", backend.Ended, "r"), granted(100, "b", 2), run(150, "b", backend.Begun, "s"), run(160, "a", backend.Begun, "t")}),
		kept("released first", "one owner", events{granted(0, "a", 1), run(10, "a", backend.Begun, "r"), run(20, "a", backend.Ended, "r"), released(50, "a", 1), granted(100, "b", 2), run(150, "b", backend.Begun, "s")}),
		kept("grant ran out", "one owner", events{granted(0, "a", 1), run(10, "a", backend.Begun, "r"), run(20, "a", backend.Ended, "r"), granted(2500, "b", 2), run(2600, "b", backend.Begun, "s")}),
		kept("killed first", "one owner", events{granted(0, "a", 1), run(10, "a", backend.Begun, "r"), granted(100, "b", 2), run(150, "b", backend.Begun, "s")}, exits{killed(50, "a")}),
		broken("fence falls", "one owner", events{granted(0, "a", 7), released(50, "a", 7), granted(100, "b", 6)}),
		broken("at work", "one owner", events{granted(0, "a", 1), run(10, "a", backend.Begun, "r"), released(50, "a", 1), granted(100, "b", 2), run(200, "a", backend.Ended, "r")}),
		kept("at work until the grant ran out", "one owner", events{granted(0, "a", 1), run(10, "a", backend.Begun, "r"), released(50, "a", 1), granted(2500, "b", 2)}),
		kept("after a thaw", "one owner", events{granted(0, "a", 7), granted(400, "b", 6)}, spans{during(soak.BackendPause, 0, 300)}),
		broken("long after a thaw", "one owner", events{granted(0, "a", 7), granted(900, "b", 6)}, spans{during(soak.BackendPause, 0, 300)}),
		kept("carried out late, arrived after a thaw", "one owner", events{granted(0, "a", 7), arrivedAt(400, granted(900, "b", 6))}, spans{during(soak.BackendPause, 0, 300)}),
		broken("carried out late, arrived long after a thaw", "one owner", events{granted(0, "a", 7), arrivedAt(900, granted(1200, "b", 6))}, spans{during(soak.BackendPause, 0, 300)}),

		broken("twice", "at most once", events{run(1, "a", backend.Begun, "r"), run(5, "b", backend.Begun, "r")}, results{answered("r", 200)}),
		kept("once each", "at most once", events{run(1, "a", backend.Begun, "r"), run(5, "b", backend.Begun, "s")}, results{answered("r", 200), answered("s", 200)}),

		broken("promised", "not run is true", events{run(1, "a", backend.Begun, "r")}, results{answered("r", 503)}),
		broken("runs after the promise", "not run is true", events{run(5000, "a", backend.Begun, "r")}, results{answered("r", 429)}),
		broken("the backend's own status", "not run is true", misstated, results{answered("r", 503)}),
		kept("the backend's own status, may be repeated", "not run is true", misstated, results{repeatable}),
		broken("another status, may be repeated", "not run is true", events{run(1, "a", backend.Begun, "r")}, results{repeatable}),
		kept("not promised", "not run is true", events{run(1, "a", backend.Begun, "r")}, results{answered("r", 502)}),

		broken("late", "nothing after drain", events{event(0, "a", backend.Draining), run(2100, "a", backend.Begun, "r")}),
		kept("in time", "nothing after drain", events{event(0, "a", backend.Draining), run(1900, "a", backend.Begun, "r")}),
		kept("out of touch", "nothing after drain", events{event(0, "a", backend.Draining), run(2100, "a", backend.Begun, "r")}, spans{during(soak.StoreDown, 0, 500)}),
		broken("in touch again", "nothing after drain", events{event(0, "a", backend.Draining), run(2600, "a", backend.Begun, "r")}, spans{during(soak.StoreDown, 0, 500)}),

		broken("late", "nothing after evacuation", events{run(5100, "a", backend.Begun, "r")}, evacuated),
		kept("in time", "nothing after evacuation", events{run(4900, "a", backend.Begun, "r")}, evacuated),
		kept("taken back", "nothing after evacuation", events{run(20100, "a", backend.Begun, "r")}, evacuated),

		broken("another's", "own and whole answer", results{wrong}),
		broken("half", "own and whole answer", results{half}),
		kept("own", "own and whole answer", results{answered("r", 200)}),

		broken("cut", "nothing cut by a planned stop", events{run(1, "a", backend.Begun, "r")}, results{dropped("r")}, spans{stopped}),
		kept("not passed on", "nothing cut by a planned stop", results{dropped("r")}, spans{stopped}),
		kept("its backend ended", "nothing cut by a planned stop", events{run(1, "a", backend.Begun, "r")}, results{dropped("r")}, spans{stopped, during(soak.BackendKill, 50, 500)}),

		broken("closed", "a planned stop answers what was read", results{droppedAfter("r", 600)}, spans{stopped}),
		kept("closed at once", "a planned stop answers what was read", results{droppedAfter("r", 400)}, spans{stopped}),
		kept("not stopped", "a planned stop answers what was read", results{droppedAfter("r", 600)}),
		kept("instance paused", "a planned stop answers what was read", results{droppedAfter("r", 600)}, spans{stopped, during(soak.InstancePause, 50, 500)}),
		broken("backend killed", "a planned stop answers what was read", results{droppedAfter("r", 600)}, spans{stopped, during(soak.BackendKill, 50, 500)}),

		broken("two in use", "slots come back", slots{1: {"orders": 2}}),
		kept("none in use", "slots come back", slots{}),

		broken("another's name", "workspaces are kept apart", events{runOf(1, "second")}, ofWorkspace("first", 200)),
		broken("no name", "workspaces are kept apart", events{runOf(1, "")}, ofWorkspace("first", 200)),
		broken("unknown key is served", "workspaces are kept apart", ofWorkspace("", 200)),
		broken("unknown key runs", "workspaces are kept apart", events{runOf(1, "")}, ofWorkspace("", 401)),
		broken("known key is refused", "workspaces are kept apart", ofWorkspace("first", 401)),
		kept("own name", "workspaces are kept apart", events{runOf(1, "first")}, ofWorkspace("first", 200)),
		kept("unknown key", "workspaces are kept apart", ofWorkspace("", 401)),
		broken("forged name", "workspaces are kept apart", noWorkspaces{}, events{runOf(1, "forged")}, ofWorkspace("", 200)),
		broken("refused without workspaces", "workspaces are kept apart", noWorkspaces{}, ofWorkspace("", 401)),
		kept("without workspaces", "workspaces are kept apart", noWorkspaces{}, events{runOf(1, "")}, ofWorkspace("", 200)),
		kept("no configuration", "workspaces are kept apart", ofWorkspace("", 503)),

		broken("too many", "quota", many(60, 80)),
		kept("held up", "quota", many(60, 80), spans{during(soak.BackendCut, 0, 100)}),
		kept("within", "quota", many(60, 90)),

		broken("nothing", "requests are served", results{answered("r", 503)}),
		kept("something", "requests are served", results{answered("r", 200)}),
	} {
		t.Run(test.promise+": "+test.name, func(t *testing.T) {
			c := qt.New(t)
			broken := false
			for _, v := range soak.Check(&test.history) {
				broken = broken || v.Promise == test.promise
			}
			c.Check(broken, qt.Equals, test.broken)
		})
		proved[test.promise] = proved[test.promise] || test.broken
	}
	for _, checker := range soak.Checkers() {
		qt.Check(t, proved[checker.Promise], qt.IsTrue, qt.Commentf("no trace that breaks %q", checker.Promise))
	}
}

// TestScheduleOfASeedIsAlwaysTheSame also reads it back from its file.
func TestScheduleOfASeedIsAlwaysTheSame(t *testing.T) {
	c := qt.New(t)
	kinds := map[soak.FaultKind]bool{}
	for seed := range uint64(50) {
		drawn := soak.Draw(seed, time.Minute, 5, 8)
		c.Assert(drawn.Check(), qt.IsNil)
		c.Assert(soak.Draw(seed, time.Minute, 5, 8), qt.DeepEquals, drawn)
		path := t.TempDir() + "/schedule.json"
		c.Assert(drawn.Write(path), qt.IsNil)
		read, err := soak.ReadSchedule(path)
		c.Assert(err, qt.IsNil)
		c.Assert(read, qt.DeepEquals, drawn)
		for _, f := range drawn.Faults {
			kinds[f.Kind] = true
		}
	}
	c.Check(kinds, qt.HasLen, 22)
}

func TestUnusableSchedulesAreRejected(t *testing.T) {
	c := qt.New(t)
	good := soak.Draw(1, time.Minute, 5, 8)
	for _, change := range []func(s *soak.Schedule){
		func(s *soak.Schedule) { s.Instances = 0 },
		func(s *soak.Schedule) { s.Backends = 1000 },
		func(s *soak.Schedule) { s.DurationMS = 0 },
		func(s *soak.Schedule) { s.StopMS = -1 },
		func(s *soak.Schedule) { s.LateGrants = 2 },
		func(s *soak.Schedule) { s.Faults[0].Kind = "unknown" },
		func(s *soak.Schedule) { s.Faults[0].Target = 1000 },
		func(s *soak.Schedule) { s.Faults[0].AtMS = -1 },
	} {
		s := good
		s.Faults = append([]soak.Fault{}, good.Faults...)
		change(&s)
		c.Check(s.Check(), qt.ErrorMatches, "schedule: .*: correct it and run again")
	}
}
