package roster_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminlift/core/roster"
)

func TestDepartureHoldsForOneStartOnly(t *testing.T) {
	c := qt.New(t)
	d := &roster.Departures{}
	c.Check(d.Has("u0", 5), qt.IsFalse)
	c.Check(d.Add(time.Second, "u0", 5), qt.IsTrue)
	c.Check(d.Add(2*time.Second, "u0", 5), qt.IsFalse)
	c.Check(d.Has("u0", 5), qt.IsTrue)
	// A late entry of an earlier start must not be used either.
	c.Check(d.Has("u0", 4), qt.IsTrue)
	c.Check(d.Has("u0", 6), qt.IsFalse)
	c.Check(d.Add(3*time.Second, "u0", 6), qt.IsTrue)
	c.Check(d.Has("u0", 6), qt.IsTrue)
	c.Check(d.Has("u1", 5), qt.IsFalse)
	c.Check(d.Add(time.Hour, "u1", 5), qt.IsTrue)
	c.Check(d.Has("u0", 6), qt.IsFalse, qt.Commentf("departures are kept for ever"))
}
