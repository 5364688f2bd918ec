package ownership_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// newThreeZoneSimulation returns a simulation with two instances and two upstreams in each of three zones. Every slice
// has an owner.
func newThreeZoneSimulation(c *qt.C) *simulation {
	sim := newSimulation(simulationConfig{
		nodes:   6,
		holders: 6,
		slices:  4,
		zones:   3,
	})
	sim.run(4*time.Second, quantum)
	c.Assert(sim.unowned(), qt.Equals, 0)
	return sim
}

// setZoneIsolation isolates a zone's instances, or ends their isolation. With platformToo it also cuts them off from
// the platform.
func (sm *simulation) setZoneIsolation(zone string, cut, platformToo bool) {
	sm.cutZones = map[string]bool{
		zone: cut,
	}
	for _, n := range sm.nodes {
		if n.member.GetZone() == zone {
			n.isolated = cut
			n.blocked = cut && platformToo
		}
	}
}

// longestUnowned runs the simulation for length and returns the longest time for which any slice had no owner.
func (sm *simulation) longestUnowned(c *qt.C, length time.Duration) time.Duration {
	end := sm.now + length
	since := map[uint64]time.Duration{}
	var longest time.Duration
	for sm.now < end {
		sm.run(sm.now+quantum, quantum)
		for _, s := range sm.document.GetSlices() {
			start := s.GetStart()
			if len(sm.owners(start)) > 0 {
				delete(since, start)
				continue
			}
			if _, known := since[start]; !known {
				since[start] = sm.now
			}
			longest = max(longest, sm.now-since[start]+quantum)
		}
	}
	c.Assert(sm.overlap, qt.Equals, "")
	return longest
}

// maxUnowned is the bound promised to users, scaled to the test's timing, in which grants last half as long as by
// default.
const maxUnowned = 1500 * time.Millisecond

// TestHourWithoutPlatformKeepsEveryKeyOwned shortens an hour's outage to 3 minutes. The promises of the test's timing
// last for 5 s, so guardians must renew them many times.
func TestHourWithoutPlatformKeepsEveryKeyOwned(t *testing.T) {
	c := qt.New(t)
	sim := newThreeZoneSimulation(c)
	sim.platformDown = true
	c.Assert(sim.longestUnowned(c, time.Hour/20), qt.Equals, time.Duration(0))
	sim.platformDown = false
	c.Assert(sim.longestUnowned(c, 10*time.Second), qt.Equals, time.Duration(0))
}

func TestLostUpstreamIsReplaced(t *testing.T) {
	c := qt.New(t)
	sim := newThreeZoneSimulation(c)
	sim.holders[1].dead = true
	c.Assert(sim.longestUnowned(c, 5*time.Second) <= maxUnowned, qt.IsTrue)
	c.Assert(sim.unowned(), qt.Equals, 0)
}

func TestLostUpstreamIsReplacedByItsStandbyWithoutPlatform(t *testing.T) {
	c := qt.New(t)
	sim := newThreeZoneSimulation(c)
	sim.platformDown = true
	sim.run(sim.now+3*time.Second, quantum)
	sim.holders[1].dead = true
	c.Assert(sim.longestUnowned(c, 5*time.Second) <= maxUnowned, qt.IsTrue)
	c.Assert(sim.unowned(), qt.Equals, 0)
	sim.holders[1].restart()
	sim.platformDown = false
	c.Assert(sim.longestUnowned(c, 10*time.Second) <= maxUnowned, qt.IsTrue)
	c.Assert(sim.unowned(), qt.Equals, 0)
}

func TestTwoUpstreamsLostOneAfterTheOtherWithoutPlatform(t *testing.T) {
	c := qt.New(t)
	sim := newThreeZoneSimulation(c)
	sim.platformDown = true
	sim.run(sim.now+3*time.Second, quantum)
	sim.holders[1].dead = true
	sim.run(sim.now+400*time.Millisecond, quantum)
	sim.holders[2].dead = true
	sim.longestUnowned(c, 5*time.Second)
	c.Assert(sim.unowned(), qt.Equals, 0)
}

func TestLostInstanceInterruptsOwnershipOnlyBriefly(t *testing.T) {
	for name, platformDown := range map[string]bool{"platform up": false, "platform down": true} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			sim := newThreeZoneSimulation(c)
			sim.platformDown = platformDown
			sim.run(sim.now+2*time.Second, quantum)
			sim.nodes[0].dead = true
			c.Assert(sim.longestUnowned(c, 4*time.Second) <= 500*time.Millisecond, qt.IsTrue)
			c.Assert(sim.unowned(), qt.Equals, 0)
		})
	}
}

func TestZoneCutFromAllIsTakenOver(t *testing.T) {
	c := qt.New(t)
	sim := newThreeZoneSimulation(c)
	sim.setZoneIsolation("zone-0", true, true)
	sim.longestUnowned(c, 4*time.Second)
	c.Assert(sim.unowned(), qt.Equals, 0)
	for _, s := range sim.document.GetSlices() {
		for _, owner := range sim.owners(s.GetStart()) {
			c.Assert(owner, qt.Not(qt.Equals), "calendar-0")
			c.Assert(owner, qt.Not(qt.Equals), "calendar-3")
		}
	}
	sim.setZoneIsolation("zone-0", false, false)
	c.Assert(sim.longestUnowned(c, 5*time.Second) <= 300*time.Millisecond, qt.IsTrue)
}

func TestZoneCutFromPlatformAloneKeepsItsKeys(t *testing.T) {
	c := qt.New(t)
	sim := newThreeZoneSimulation(c)
	for _, n := range sim.nodes {
		if n.member.GetZone() == "zone-0" {
			n.blocked = true
		}
	}
	before := sim.document.GetVersion()
	c.Assert(sim.longestUnowned(c, 5*time.Second), qt.Equals, time.Duration(0))
	c.Assert(sim.document.GetVersion(), qt.Equals, before)
}

func TestZoneCutDuringAnOutageGoesOnServingItsKeys(t *testing.T) {
	c := qt.New(t)
	sim := newThreeZoneSimulation(c)
	sim.platformDown = true
	sim.run(sim.now+2*time.Second, quantum)
	sim.setZoneIsolation("zone-0", true, true)
	// In the test's timing the promises of the other guardians last for 5 s.
	c.Assert(sim.longestUnowned(c, 2*time.Second), qt.Equals, time.Duration(0))
	sim.platformDown = false
	sim.longestUnowned(c, 8*time.Second)
	c.Assert(sim.unowned(), qt.Equals, 0)
}

func TestZonesCutOnlyFromEachOtherMoveNothing(t *testing.T) {
	c := qt.New(t)
	sim := newThreeZoneSimulation(c)
	before := sim.document.GetVersion()
	sim.setZoneIsolation("zone-0", true, false)
	c.Assert(sim.longestUnowned(c, 10*time.Second), qt.Equals, time.Duration(0))
	sim.setZoneIsolation("zone-0", false, false)
	c.Assert(sim.longestUnowned(c, 5*time.Second), qt.Equals, time.Duration(0))
	c.Assert(sim.document.GetVersion(), qt.Equals, before)
}

func TestLastInstanceTakesOverFromAllOthers(t *testing.T) {
	c := qt.New(t)
	sim := newThreeZoneSimulation(c)
	for _, n := range sim.nodes[1:] {
		n.dead = true
	}
	sim.longestUnowned(c, 5*time.Second)
	c.Assert(sim.unowned(), qt.Equals, 0)
	c.Assert(sim.document.GetGuardians(), qt.HasLen, 1)
}

func TestRestartedUpstreamGetsItsKeysBackWithoutAMove(t *testing.T) {
	c := qt.New(t)
	sim := newThreeZoneSimulation(c)
	before := sim.document.GetVersion()
	sim.holders[2].restart()
	c.Assert(sim.longestUnowned(c, 2*time.Second) <= 500*time.Millisecond, qt.IsTrue)
	c.Assert(sim.document.GetVersion(), qt.Equals, before)
}

func TestAllInstancesReplacedAtOnce(t *testing.T) {
	c := qt.New(t)
	sim := newThreeZoneSimulation(c)
	for i, n := range sim.nodes {
		old := n.member
		n.dead = true
		sim.addNode(i, old.GetZone(), 4)
		fresh := sim.nodes[len(sim.nodes)-1]
		fresh.member.Id = old.GetName() + "/2"
	}
	for i := 6; i < 12; i++ {
		sim.sendFacts(i)
	}
	sim.longestUnowned(c, 5*time.Second)
	c.Assert(sim.unowned(), qt.Equals, 0)
}

func TestNothingMovesWhileNothingChanges(t *testing.T) {
	c := qt.New(t)
	sim := newThreeZoneSimulation(c)
	before := sim.document.GetVersion()
	sim.run(sim.now+time.Minute, quantum)
	c.Assert(sim.document.GetVersion(), qt.Equals, before)
}

func TestUpstreamTakenOutHandsOverAtOnce(t *testing.T) {
	c := qt.New(t)
	sim := newThreeZoneSimulation(c)
	sim.setOutOfService("calendar-1", true)
	c.Assert(sim.longestUnowned(c, 3*time.Second) <= 2*quantum, qt.IsTrue)
	for _, s := range sim.document.GetSlices() {
		c.Assert(sim.owners(s.GetStart()), qt.HasLen, 1)
		c.Assert(s.GetOwner(), qt.Not(qt.Equals), "calendar-1")
	}
	sim.setOutOfService("calendar-1", false)
	c.Assert(sim.longestUnowned(c, 3*time.Second) <= 2*quantum, qt.IsTrue)
}
