package dispatch_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminlift/core/dispatch"
)

func named(rate float64) *dispatch.Report {
	return &dispatch.Report{
		Limit: dispatch.Limit{
			Named: true,
			Rate:  rate,
		},
	}
}

func TestOlderAnswerDoesNotEndALimit(t *testing.T) {
	c := qt.New(t)
	notices := &dispatch.Notices{}
	about := dispatch.Notice{
		Service:     "calendar",
		Upstream:    "u0",
		Incarnation: 1,
	}
	record := func(now, sent time.Duration, report *dispatch.Report) float64 {
		notice, _ := notices.Record(now, sent, about, report)
		return notice.Limit
	}
	c.Check(record(time.Second, 0, named(2.5)), qt.Equals, 2.5)
	c.Check(record(2*time.Second, 500*time.Millisecond, &dispatch.Report{}), qt.Equals, 2.5)
	c.Check(record(3*time.Second, 2500*time.Millisecond, &dispatch.Report{
		Limit: dispatch.Limit{
			Malformed: true,
		},
	}), qt.Equals, 2.5)
	c.Check(record(4*time.Second, 3500*time.Millisecond, &dispatch.Report{}), qt.Equals, 0.0)
	// A limit of 0 would never be heard to end.
	c.Check(record(5*time.Second, 4500*time.Millisecond, named(0)) > 0, qt.IsTrue)
	about.Incarnation = 2
	c.Check(record(6*time.Second, 4500*time.Millisecond, &dispatch.Report{}), qt.Equals, 0.0)
	// An answer of an earlier start arrives late.
	c.Check(record(7*time.Second, 6500*time.Millisecond, named(4)), qt.Equals, 4.0)
	about.Incarnation = 1
	record(8*time.Second, 4500*time.Millisecond, named(9))
	c.Check(notices.Get(8*time.Second, "u0", 2).Limit, qt.Equals, 4.0)
	c.Check(notices.Get(8*time.Second, "u0", 1).Limit, qt.Equals, 0.0)
}

func TestNoticesOfDepartedUpstreamsAreDropped(t *testing.T) {
	c := qt.New(t)
	notices := &dispatch.Notices{}
	for _, id := range []string{"left", "kept"} {
		_, changed := notices.Record(time.Second, 0, dispatch.Notice{
			Service:  "calendar",
			Upstream: id,
		}, named(3))
		c.Check(changed, qt.IsTrue)
	}
	c.Check(notices.List(3*time.Second, func(id string, _ int64) bool { return id == "kept" }), qt.DeepEquals, []dispatch.Notice{{
		Service:  "calendar",
		Upstream: "kept",
		Limit:    3,
		Age:      2 * time.Second,
	}})
}
