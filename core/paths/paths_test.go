package paths_test

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminlift/core/paths"
)

const ms = time.Millisecond

// listed returns the upstreams u0 and so on of one service.
func listed(total int) map[string][]string {
	ids := map[string][]string{}
	for i := range total {
		ids["s"] = append(ids["s"], fmt.Sprint("u", i))
	}
	return ids
}

// One upstream that has ended must not send all requests through other instances.
func TestOneFailedUpstreamIsNoLostPath(t *testing.T) {
	c := qt.New(t)
	var m paths.Monitor
	for i := range 5 {
		m.Failed(time.Duration(i)*ms, time.Duration(i)*ms, "s", "u0")
	}
	c.Check(m.Lost("s"), qt.IsFalse)
	c.Check(m.Avoid("s", "u0"), qt.IsTrue)
	c.Check(m.Avoid("s", "u1"), qt.IsFalse)
	m.Failed(10*ms, 10*ms, "s", "u1")
	c.Check(m.Lost("s"), qt.IsTrue)
	c.Check(m.Avoid("s", "u2"), qt.IsTrue)
	c.Check(m.Avoid("other", "u2"), qt.IsFalse)
	m.Reached(20*ms, "s", "u2")
	c.Check(m.Lost("s"), qt.IsFalse)
	c.Check(m.Avoid("s", "u0"), qt.IsTrue)
	m.Reached(30*ms, "s", "u0")
	c.Check(m.Avoid("s", "u0"), qt.IsFalse)
}

// Attempts that began before the path was back fail after it.
func TestLateFailuresAreNoLostPath(t *testing.T) {
	c := qt.New(t)
	var m paths.Monitor
	m.Reached(100*ms, "s", "u9")
	for i := range 5 {
		m.Failed(200*ms, 50*ms, "s", fmt.Sprint("u", i))
	}
	c.Check(m.Lost("s"), qt.IsFalse)
}

// An instance whose coordinator's keys lapse because it reaches one upstream of many (a partition of most of them).
func TestOthersReachWhatThisInstanceDoesNot(t *testing.T) {
	c := qt.New(t)
	var m paths.Monitor
	answered := map[string]time.Duration{}
	others := func(now time.Duration) bool {
		return m.Lacks(now, "s", 9, func(id string) time.Duration { return answered[id] }) == paths.OthersReach
	}
	for i := range 3 {
		id := fmt.Sprint("u", i)
		answered[id] = 95 * ms // The last answer before it ended, or was partitioned.
		m.Failed(100*ms, 90*ms, "s", id)
	}
	m.Reached(110*ms, "s", "u9")
	c.Check(others(120*ms), qt.IsFalse)
	answered["u0"], answered["u1"] = 190*ms, 190*ms // Reported late.
	c.Check(others(200*ms), qt.IsFalse)
	answered["u0"], answered["u1"] = 300*ms, 300*ms
	c.Check(others(310*ms), qt.IsFalse, qt.Commentf("they were not tried since"))
	m.Failed(600*ms, 95*ms, "s", "u0") // An attempt that began before the first one had failed.
	m.Failed(600*ms, 320*ms, "s", "u1")
	answered["u0"], answered["u1"] = 590*ms, 590*ms
	c.Check(others(600*ms), qt.IsFalse, qt.Commentf("one failed again"))
	m.Failed(700*ms, 400*ms, "s", "u0")
	c.Check(others(700*ms), qt.IsTrue)
	m.Reached(710*ms, "s", "u1")
	c.Check(others(710*ms), qt.IsFalse)
	m.Failed(800*ms, 720*ms, "s", "u1")
	c.Check(m.FailedCount(), qt.Equals, 3)
	c.Check(paths.Reaches(1, 3), qt.IsTrue)
	c.Check(paths.Reaches(2, 3), qt.IsFalse)
}

// A coordinator that resigns because many upstreams have ended and come back, which others notice before it does.
func TestUpstreamsThatComeBackAreNoLostPaths(t *testing.T) {
	c := qt.New(t)
	const total, ended = 577, 75
	var m paths.Monitor
	answered := map[string]time.Duration{}
	lastAnswered := func(id string) time.Duration { return answered[id] }
	known := listed(total)
	for i := range ended {
		m.Failed(100*ms, 90*ms, "s", fmt.Sprint("u", i))
	}
	for now := 110 * ms; now < 10*time.Second; now += 20 * ms {
		if now > 3500*ms {
			for i := range ended {
				answered[fmt.Sprint("u", i)] = now
			}
		}
		c.Assert(m.Lacks(now, "s", total, lastAnswered), qt.Equals, paths.Lack(""), qt.Commentf("at %v", now))
		if now%(100*ms) != 10*ms {
			continue
		}
		for _, p := range m.DueProbes(now, known) {
			if now > 3500*ms || number(p.Upstream) >= ended {
				m.Reached(now+ms, "s", p.Upstream)
			} else {
				m.Failed(now+ms, now, "s", p.Upstream)
			}
		}
	}
	c.Check(m.FailedCount(), qt.Equals, 0)
}

// A coordinator that resigns because many of its calls time out together, as when all grants of a new term are sent at once.
func TestCallsThatTimeOutTogetherAreNoLostPaths(t *testing.T) {
	c := qt.New(t)
	const total = 9
	var m paths.Monitor
	fail := func(now, started time.Duration, number int) {
		for i := range number {
			m.Failed(now, started, "s", fmt.Sprint("u", i))
		}
	}
	m.Reached(100*ms, "s", "u8")
	fail(450*ms, 90*ms, 4)
	c.Check(m.MostlyLost(460*ms, "s", total), qt.IsFalse, qt.Commentf("four of nine"))
	fail(470*ms, 90*ms, 5)
	c.Check(m.MostlyLost(480*ms, "s", total), qt.IsFalse, qt.Commentf("they were not tried since"))
	fail(800*ms, 470*ms, 5) // Attempts that began before the loss was noticed.
	c.Check(m.MostlyLost(810*ms, "s", total), qt.IsFalse)
	fail(820*ms, 490*ms, 2)
	c.Check(m.MostlyLost(820*ms, "s", total), qt.IsTrue)
	for range 2 {
		m.Reached(830*ms, "s", "u8")
	}
	c.Check(m.MostlyLost(840*ms, "s", total), qt.IsFalse, qt.Commentf("as many succeed as fail"))
	fail(1200*ms, 850*ms, 5)
	c.Check(m.MostlyLost(1200*ms, "s", total), qt.IsTrue)
	m.Reached(1210*ms, "s", "u0")
	c.Check(m.MostlyLost(1210*ms, "s", total), qt.IsFalse)
	fail(1500*ms, 1100*ms, 5)
	c.Check(m.MostlyLost(1510*ms, "s", total), qt.IsFalse, qt.Commentf("counted anew"))
	fail(1600*ms, 1520*ms, 5)
	c.Check(m.MostlyLost(1650*ms, "s", total), qt.IsFalse, qt.Commentf("calls are under way"))
	c.Check(m.MostlyLost(1660*ms, "s", total), qt.IsTrue)
}

// A coordinator that resigns for single holders, whose keys can be assigned to others.
func TestPathsToSingleUpstreamsAreNotWorthAnotherCoordinator(t *testing.T) {
	for total, want := range map[int]bool{20: true, 21: false, 577: false} {
		c := qt.New(t)
		var m paths.Monitor
		answered := time.Duration(0)
		lastAnswered := func(string) time.Duration { return answered }
		for attempt := range 3 {
			for i := range 2 {
				now := time.Duration(attempt) * time.Second
				m.Failed(now+300*ms, now, "s", fmt.Sprint("u", i))
			}
			m.Reached(time.Duration(attempt)*time.Second+310*ms, "s", "u9")
			answered = time.Duration(attempt+1)*time.Second - 100*ms
			m.Lacks(answered+50*ms, "s", total, lastAnswered)
		}
		c.Check(m.Lacks(3*time.Second, "s", total, lastAnswered) == paths.OthersReach, qt.Equals, want, qt.Commentf("of %d", total))
	}
}

// number returns the number in the ID of an upstream.
func number(upstream string) int {
	n, err := strconv.Atoi(upstream[1:])
	if err != nil {
		panic(err)
	}
	return n
}

// Upstreams that end or are taken out must not be probed for ever.
func TestProbesAreSpacedAndForgotten(t *testing.T) {
	c := qt.New(t)
	var m paths.Monitor
	known := listed(10)
	for i := range 10 {
		m.Failed(0, 0, "s", fmt.Sprint("u", i))
	}
	c.Check(m.DueProbes(400*ms, known), qt.HasLen, 0)
	c.Check(m.DueProbes(500*ms, known), qt.HasLen, 3)
	probed := map[string]bool{}
	for now := 510 * ms; now < 900*ms; now += 100 * ms {
		for _, p := range m.DueProbes(now, known) {
			c.Check(probed[p.Upstream], qt.IsFalse, qt.Commentf("%s is probed twice within 0.5 s", p.Upstream))
			probed[p.Upstream] = true
		}
	}
	m.DueProbes(time.Second, nil)
	c.Check(m.FailedCount(), qt.Equals, 0)
	c.Check(m.Lost("s"), qt.IsFalse)
}

// A slow answer alone is no reason to open more connections.
func TestStalledRequestIsProbedOnlyIfNothingIsAnswered(t *testing.T) {
	c := qt.New(t)
	var m paths.Monitor
	m.Reached(100*ms, "s", "u0")
	c.Check(m.Stalled(600*ms, 50*ms, "s"), qt.IsFalse)
	c.Check(m.Stalled(700*ms, 200*ms, "s"), qt.IsTrue)
	c.Check(m.Stalled(800*ms, 300*ms, "s"), qt.IsFalse)
	m.Failed(1000*ms, 700*ms, "s", "u0")
	c.Check(m.Stalled(1010*ms, 500*ms, "s"), qt.IsTrue)
}

// One instance that has noticed no failure must not be the relay of all others (some upstreams have ended, most instances lack paths).
func TestInstancesThatMissSingleUpstreamsAreRelays(t *testing.T) {
	c := qt.New(t)
	var instances []paths.Reach
	add := func(n, failed int, lost bool) {
		for range n {
			instances = append(instances, paths.Reach{
				Relay: paths.Relay{
					Name: fmt.Sprintf("n%02d", len(instances)),
				},
				Failed: failed,
				Lost:   lost,
			})
		}
	}
	add(1, 0, false)
	add(9, 5, false)
	add(3, 90, false) // Cut off from a zone.
	add(20, 8, true)
	chosen := paths.RelayCandidates(instances, 100)
	c.Assert(chosen, qt.HasLen, 10)
	c.Check(chosen[9].Name, qt.Equals, "n09")
	c.Check(paths.RelayCandidates(instances[13:], 100), qt.HasLen, 20)
	c.Check(paths.RelayCandidates(instances[:10], 10), qt.HasLen, 1)
	c.Check(paths.RelayCandidates(nil, 100), qt.HasLen, 0)
}

// Small instances whose links carry the requests of all that lack paths, while large ones have room.
func TestLargeInstancesRelayMore(t *testing.T) {
	c := qt.New(t)
	var instances []paths.Reach
	for i := range 20 {
		r := paths.Reach{
			Relay: paths.Relay{
				Name: fmt.Sprintf("n%02d", i),
				Zone: fmt.Sprint("z", i%2),
			},
			CPUPermille: 160,
			LinkMbps:    10,
		}
		if i < 3 {
			r.CPUPermille, r.LinkMbps = 800, 200
		}
		instances = append(instances, r)
	}
	chosen := paths.ChooseRelays(paths.RelayCandidates(instances, 100), "n07", "z1", 7, 8)
	c.Assert(chosen, qt.HasLen, 8)
	c.Check([]string{chosen[0].Name, chosen[1].Name, chosen[2].Name}, qt.DeepEquals, []string{"n01", "n00", "n02"})
	for _, small := range chosen[3:] {
		c.Check(small.Zone, qt.Equals, "z1")
		c.Check(small.Weight, qt.Equals, 1.0)
	}
	var r paths.Relays
	r.Set(chosen)
	uses := map[string]int{}
	for range 200 {
		next, ok := r.Next(0)
		c.Assert(ok, qt.IsTrue)
		uses[next.Name]++
	}
	for _, relay := range chosen {
		c.Check(uses[relay.Name], qt.Equals, 10*int(relay.Weight), qt.Commentf("%s", relay.Name))
	}
	// An instance that does not tell its resources counts as a small one.
	instances[0].LinkMbps = 0
	c.Check(paths.RelayCandidates(instances, 100)[0].Weight, qt.Equals, 1.0)
}

func TestRelaysAreNearAndUsedInTurn(t *testing.T) {
	c := qt.New(t)
	var all []paths.Relay
	for i := range 9 {
		all = append(all, paths.Relay{
			Name: fmt.Sprint("n", i),
			Zone: fmt.Sprint("z", i%3),
		})
	}
	chosen := paths.ChooseRelays(all, "n3", "z0", 3, 4)
	c.Assert(chosen, qt.HasLen, 4)
	c.Check(chosen[0].Zone+chosen[1].Zone, qt.Equals, "z0z0")
	for _, r := range chosen {
		c.Check(r.Name, qt.Not(qt.Equals), "n3")
	}
	var r paths.Relays
	_, ok := r.Next(0)
	c.Check(ok, qt.IsFalse)
	r.Set(chosen[:2])
	first, _ := r.Next(0)
	second, _ := r.Next(0)
	c.Check(first.Name, qt.Not(qt.Equals), second.Name)
	r.Failed(0, first.Name)
	for range 3 {
		next, ok := r.Next(ms)
		c.Check(ok, qt.IsTrue)
		c.Check(next.Name, qt.Equals, second.Name)
	}
	r.Failed(0, second.Name)
	_, ok = r.Next(ms)
	c.Check(ok, qt.IsFalse)
	_, ok = r.Next(time.Second)
	c.Check(ok, qt.IsTrue)
}

// Relays that lack paths themselves must not take a part of the requests again every second (no coordinator tells of others).
func TestRelayThatFailsAgainIsTriedLessOften(t *testing.T) {
	c := qt.New(t)
	var r paths.Relays
	r.Set([]paths.Relay{{
		Name: "r",
	}})
	tries := 0
	for now := time.Duration(0); now < 20*time.Second; now += 10 * ms {
		if relay, ok := r.Next(now); ok {
			tries++
			r.Failed(now, relay.Name)
			r.Failed(now+5*ms, relay.Name) // Another request was under way.
		}
	}
	c.Check(tries, qt.Equals, 5)
	r.Answered("r")
	_, ok := r.Next(20 * time.Second)
	c.Check(ok, qt.IsTrue)
	r.Failed(20*time.Second, "r")
	_, ok = r.Next(21 * time.Second)
	c.Check(ok, qt.IsTrue)
}
