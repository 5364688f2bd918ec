package replica_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminlift/core/replica"
)

// TestRowsAreAskedOfAnInstanceThatIsAhead guards against a coordinator that stays behind because the instance that it asks is lost or
// silent, that asks all at once, or that asks one of an older era.
func TestRowsAreAskedOfAnInstanceThatIsAhead(t *testing.T) {
	const ms = time.Millisecond
	c := qt.New(t)
	at := func(name string, era, version uint64) replica.Copy {
		return replica.Copy{
			Name: name,
			Position: replica.Position{
				Era:     era,
				Version: version,
			},
		}
	}
	own := at("", 1, 10).Position
	all := []replica.Copy{at("a", 1, 12), at("b", 1, 14), at("c", 0, 90), at("d", 1, 10), at("e", 1, 14)}
	catchUp := &replica.CatchUp{}
	next := func(now time.Duration, own replica.Position, copies []replica.Copy) string {
		name, _ := catchUp.Next(now, own, copies)
		return name
	}
	c.Check(next(0, own, all[2:4]), qt.Equals, "")
	_, behind := catchUp.BehindSince()
	c.Check(behind, qt.IsFalse)
	c.Check(next(1000*ms, own, all), qt.Equals, "b")
	c.Check(next(1200*ms, own, all), qt.Equals, "")
	c.Check(next(1300*ms, own, all), qt.Equals, "e", qt.Commentf("b does not answer"))
	c.Check(next(1320*ms, own, all[:4]), qt.Equals, "a", qt.Commentf("e is lost"))
	c.Check(next(1640*ms, own, all[:4]), qt.Equals, "")
	c.Check(next(1700*ms, own, all[:4]), qt.Equals, "b", qt.Commentf("all were asked once"))
	since, behind := catchUp.BehindSince()
	c.Check(behind, qt.IsTrue)
	c.Check(since, qt.Equals, 1000*ms)
	// Having got what was known then, it is no longer behind since then.
	catchUp.Answered("b", true)
	newer := append(all, at("f", 1, 20))
	c.Check(next(1720*ms, at("", 1, 14).Position, newer), qt.Equals, "f")
	since, behind = catchUp.BehindSince()
	c.Check(behind, qt.IsTrue)
	c.Check(since, qt.Equals, 1720*ms)
	// A later era is newer, whatever its versions.
	catchUp.Answered("f", false)
	c.Check(next(1740*ms, at("", 1, 14).Position, append(newer, at("g", 2, 1))), qt.Equals, "g")
	c.Check(next(1760*ms, at("", 2, 1).Position, newer), qt.Equals, "")
	_, behind = catchUp.BehindSince()
	c.Check(behind, qt.IsFalse)
}
