package shutdown_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminlift/core/shutdown"
)

var order = shutdown.Request{
	Service:    "orders",
	Class:      "order",
	Objective:  400 * time.Millisecond,
	AtMostOnce: true,
}

var plan = shutdown.Plan{
	End:      6 * time.Second,
	LastWait: time.Second,
}

func answer(d *shutdown.Durations, now, took time.Duration, request shutdown.Request) {
	d.End(now, d.Begin(now-took, request), true)
}

func TestRequestThatCannotEndBeforeTheInstanceIsNotPassedOn(t *testing.T) {
	c := qt.New(t)
	for _, took := range []time.Duration{50 * time.Millisecond, time.Second, 2500 * time.Millisecond, 3300 * time.Millisecond, 5 * time.Second} {
		d := &shutdown.Durations{}
		for i := range 10 {
			answer(d, time.Duration(i)*time.Second, took, order)
		}
		latest := plan.LatestSend(d.Longest(10*time.Second, order))
		c.Check(latest+took <= plan.End, qt.IsTrue, qt.Commentf("requests of %v are sent until %v", took, latest))
		c.Check(latest <= plan.End-plan.LastWait, qt.IsTrue, qt.Commentf("%v", latest))
		// Those that can end are passed on.
		c.Check(latest+took*3/2+plan.LastWait >= plan.End, qt.IsTrue, qt.Commentf("requests of %v are sent until %v", took, latest))
	}
}

func TestFirstAnswerTellsTheDurationOfAnUnknownClass(t *testing.T) {
	c := qt.New(t)
	d := &shutdown.Durations{}
	before := d.Longest(0, order)
	c.Check(before <= order.Objective, qt.IsTrue, qt.Commentf("%v", before))
	c.Check(before > order.Objective/4, qt.IsTrue, qt.Commentf("%v", before))
	answer(d, 4*time.Second, 3300*time.Millisecond, order)
	c.Check(plan.LatestSend(d.Longest(4*time.Second, order)) <= plan.End-3300*time.Millisecond, qt.IsTrue)
}

func TestRequestsThatStillRunTellTheirDuration(t *testing.T) {
	c := qt.New(t)
	d := &shutdown.Durations{}
	read := order
	read.AtMostOnce = false
	id := d.Begin(time.Second, order)
	c.Check(d.Longest(4*time.Second, order), qt.Equals, 6*time.Second)
	c.Check(d.Longest(4*time.Second, read), qt.Equals, 6*time.Second)
	d.End(4*time.Second, id, false)
	d.End(4*time.Second, id, true)
	c.Check(d.Longest(4*time.Second, order) <= order.Objective, qt.IsTrue)

	answer(d, 4*time.Second, 100*time.Millisecond, order)
	d.Begin(time.Second, order)
	c.Check(d.Longest(4*time.Second, order), qt.Equals, 3*time.Second)
	c.Check(d.Longest(4*time.Second, read) <= order.Objective, qt.IsTrue)
}

// A request that can't be repeated must not be cut off because 99 of 100 like it are short.
func TestRareLongAnswersCountForRequestsThatMustNotBeRepeated(t *testing.T) {
	c := qt.New(t)
	d := &shutdown.Durations{}
	read := order
	read.Class, read.AtMostOnce = "read", false
	for i := range 200 {
		took := 100 * time.Millisecond
		if i == 150 {
			took = 4 * time.Second
		}
		for _, request := range []shutdown.Request{order, read} {
			answer(d, 10*time.Second+time.Duration(i)*10*time.Millisecond, took, request)
		}
	}
	now := 12 * time.Second
	c.Check(plan.LatestSend(d.Longest(now, order)) <= plan.End-4*time.Second, qt.IsTrue)
	c.Check(plan.LatestSend(d.Longest(now, read)), qt.Equals, plan.End-plan.LastWait)
}

func TestClassesAndServicesAreToldApart(t *testing.T) {
	c := qt.New(t)
	d := &shutdown.Durations{}
	for i := range 1000 {
		answer(d, 10*time.Second, 4*time.Second, shutdown.Request{
			Service: fmt.Sprint("service-", i%2),
			Class:   fmt.Sprint("class-", i),
		})
	}
	answer(d, 10*time.Second, 4*time.Second, order)
	other := order
	other.Service = "others"
	now := 10 * time.Second
	c.Check(d.Longest(now, order) > 3*time.Second, qt.IsTrue)
	c.Check(d.Longest(now, other) <= order.Objective, qt.IsTrue)
	d.Retain(func(service string) bool { return service != order.Service })
	c.Check(d.Longest(now, order) <= order.Objective, qt.IsTrue)
}
