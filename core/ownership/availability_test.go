package ownership_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// threeZones is a world of two instances and two upstreams in each of three zones, with every slice owned.
func threeZones(c *qt.C) *world {
	w := newWorld(worldConfig{
		nodes:   6,
		holders: 6,
		slices:  4,
		zones:   3,
	})
	w.run(4*time.Second, quantum)
	c.Assert(w.unowned(), qt.Equals, 0)
	return w
}

// setZone isolates a zone's instances, and cuts them from the platform where platformToo is set.
func (w *world) setZone(zone string, cut, platformToo bool) {
	w.cutZones = map[string]bool{
		zone: cut,
	}
	for _, n := range w.nodes {
		if n.member.GetZone() == zone {
			n.isolated = cut
			n.blocked = cut && platformToo
		}
	}
}

// watch runs for a time and returns the longest spell in which any slice had no owner.
func (w *world) watch(c *qt.C, length time.Duration) time.Duration {
	end := w.now + length
	since := map[uint64]time.Duration{}
	var longest time.Duration
	for w.now < end {
		w.run(w.now+quantum, quantum)
		for _, s := range w.document.GetSlices() {
			start := s.GetStart()
			if len(w.owners(start)) > 0 {
				delete(since, start)
				continue
			}
			if _, known := since[start]; !known {
				since[start] = w.now
			}
			longest = max(longest, w.now-since[start]+quantum)
		}
	}
	c.Assert(w.overlap, qt.Equals, "")
	return longest
}

// servedWithin is the users' bound, scaled to the test's timing, whose grants last half as long as by default.
const servedWithin = 1500 * time.Millisecond

func TestHourWithoutPlatformKeepsEveryKeyOwned(t *testing.T) {
	c := qt.New(t)
	w := threeZones(c)
	w.down = true
	c.Assert(w.watch(c, time.Hour/20), qt.Equals, time.Duration(0))
	w.down = false
	c.Assert(w.watch(c, 10*time.Second), qt.Equals, time.Duration(0))
}

func TestLostUpstreamIsReplaced(t *testing.T) {
	c := qt.New(t)
	w := threeZones(c)
	w.holders[1].dead = true
	c.Assert(w.watch(c, 5*time.Second) <= servedWithin, qt.IsTrue)
	c.Assert(w.unowned(), qt.Equals, 0)
}

func TestLostUpstreamIsReplacedByItsStandbyWithoutPlatform(t *testing.T) {
	c := qt.New(t)
	w := threeZones(c)
	w.down = true
	w.run(w.now+3*time.Second, quantum)
	w.holders[1].dead = true
	c.Assert(w.watch(c, 5*time.Second) <= servedWithin, qt.IsTrue)
	c.Assert(w.unowned(), qt.Equals, 0)
	w.holders[1].restart()
	w.down = false
	c.Assert(w.watch(c, 10*time.Second) <= servedWithin, qt.IsTrue)
	c.Assert(w.unowned(), qt.Equals, 0)
}

func TestTwoUpstreamsLostOneAfterTheOtherWithoutPlatform(t *testing.T) {
	c := qt.New(t)
	w := threeZones(c)
	w.down = true
	w.run(w.now+3*time.Second, quantum)
	w.holders[1].dead = true
	w.run(w.now+400*time.Millisecond, quantum)
	w.holders[2].dead = true
	w.watch(c, 5*time.Second)
	c.Assert(w.unowned(), qt.Equals, 0)
}

func TestLostInstanceInterruptsNoOwnership(t *testing.T) {
	for name, down := range map[string]bool{"platform up": false, "platform down": true} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			w := threeZones(c)
			w.down = down
			w.run(w.now+2*time.Second, quantum)
			w.nodes[0].dead = true
			c.Assert(w.watch(c, 4*time.Second) <= 500*time.Millisecond, qt.IsTrue)
			c.Assert(w.unowned(), qt.Equals, 0)
		})
	}
}

func TestZoneCutFromAllIsTakenOver(t *testing.T) {
	c := qt.New(t)
	w := threeZones(c)
	w.setZone("zone-0", true, true)
	w.watch(c, 4*time.Second)
	c.Assert(w.unowned(), qt.Equals, 0)
	for _, s := range w.document.GetSlices() {
		for _, owner := range w.owners(s.GetStart()) {
			c.Assert(owner, qt.Not(qt.Equals), "calendar-0")
			c.Assert(owner, qt.Not(qt.Equals), "calendar-3")
		}
	}
	w.setZone("zone-0", false, false)
	c.Assert(w.watch(c, 5*time.Second) <= 300*time.Millisecond, qt.IsTrue)
}

func TestZoneCutFromPlatformAloneKeepsItsKeys(t *testing.T) {
	c := qt.New(t)
	w := threeZones(c)
	for _, n := range w.nodes {
		if n.member.GetZone() == "zone-0" {
			n.blocked = true
		}
	}
	before := w.document.GetVersion()
	c.Assert(w.watch(c, 5*time.Second), qt.Equals, time.Duration(0))
	c.Assert(w.document.GetVersion(), qt.Equals, before)
}

func TestZoneCutDuringAnOutageGoesOnServingItsKeys(t *testing.T) {
	c := qt.New(t)
	w := threeZones(c)
	w.down = true
	w.run(w.now+2*time.Second, quantum)
	w.setZone("zone-0", true, true)
	// The promises of the others last for 5 s in the test's timing.
	c.Assert(w.watch(c, 2*time.Second), qt.Equals, time.Duration(0))
	w.down = false
	w.watch(c, 8*time.Second)
	c.Assert(w.unowned(), qt.Equals, 0)
}

func TestZonesCutFromEachOtherOnlyMoveNothing(t *testing.T) {
	c := qt.New(t)
	w := threeZones(c)
	before := w.document.GetVersion()
	w.setZone("zone-0", true, false)
	c.Assert(w.watch(c, 10*time.Second), qt.Equals, time.Duration(0))
	w.setZone("zone-0", false, false)
	c.Assert(w.watch(c, 5*time.Second), qt.Equals, time.Duration(0))
	c.Assert(w.document.GetVersion(), qt.Equals, before)
}

func TestLastInstanceTakesOverFromAllOthers(t *testing.T) {
	c := qt.New(t)
	w := threeZones(c)
	for _, n := range w.nodes[1:] {
		n.dead = true
	}
	w.watch(c, 5*time.Second)
	c.Assert(w.unowned(), qt.Equals, 0)
	c.Assert(w.document.GetGuardians(), qt.HasLen, 1)
}

func TestRestartedUpstreamGetsItsKeysBackWithoutAMove(t *testing.T) {
	c := qt.New(t)
	w := threeZones(c)
	before := w.document.GetVersion()
	w.holders[2].restart()
	c.Assert(w.watch(c, 2*time.Second) <= 500*time.Millisecond, qt.IsTrue)
	c.Assert(w.document.GetVersion(), qt.Equals, before)
}

func TestAllInstancesReplacedAtOnce(t *testing.T) {
	c := qt.New(t)
	w := threeZones(c)
	for i, n := range w.nodes {
		old := n.member
		n.dead = true
		w.addNode(i, old.GetZone(), 4)
		fresh := w.nodes[len(w.nodes)-1]
		fresh.member.Id = old.GetName() + "/2"
	}
	for i := 6; i < 12; i++ {
		w.list(i)
	}
	w.watch(c, 5*time.Second)
	c.Assert(w.unowned(), qt.Equals, 0)
}

func TestNothingMovesWhileNothingChanges(t *testing.T) {
	c := qt.New(t)
	w := threeZones(c)
	before := w.document.GetVersion()
	w.run(w.now+time.Minute, quantum)
	c.Assert(w.document.GetVersion(), qt.Equals, before)
}

func TestUpstreamTakenOutHandsOverAtOnce(t *testing.T) {
	c := qt.New(t)
	w := threeZones(c)
	w.setOut("calendar-1", true)
	c.Assert(w.watch(c, 3*time.Second) <= 2*quantum, qt.IsTrue)
	for _, s := range w.document.GetSlices() {
		c.Assert(w.owners(s.GetStart()), qt.HasLen, 1)
		c.Assert(s.GetOwner(), qt.Not(qt.Equals), "calendar-1")
	}
	w.setOut("calendar-1", false)
	c.Assert(w.watch(c, 3*time.Second) <= 2*quantum, qt.IsTrue)
}
