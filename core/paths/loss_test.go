package paths_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminlift/core/authority"
	"cuminlift/core/paths"
)

// A follower that has met two upstreams that have ended, in turn, sends all requests of the service through relays: nothing but the ended
// ones is tried again.
func TestTwoEndedUpstreamsAreNoLostPathsForLong(t *testing.T) {
	c := qt.New(t)
	const total = 577
	var m paths.Monitor
	m.Reached(50*ms, "s", "u500")
	m.Failed(100*ms, 99*ms, "s", "u0") // Refused.
	m.Failed(101*ms, 100*ms, "s", "u1")
	lostFor, lateTakeover := time.Duration(0), time.Duration(0)
	for now := 110 * ms; now < 5*time.Second; now += 100 * ms {
		for _, p := range m.DueProbes(now, listed(total)) {
			if p.Upstream == "u0" || p.Upstream == "u1" {
				m.Failed(now+ms, now, "s", p.Upstream) // Still registered, refuses.
			} else {
				m.Reached(now+ms, "s", p.Upstream)
			}
		}
		// A request goes to another upstream, directly unless it is to be avoided.
		if up := fmt.Sprint("u", 2+int(now/ms)%(total-2)); !m.Avoid("s", up) {
			m.Reached(now+10*ms, "s", up)
		}
		if m.Lost("s") {
			lostFor += 100 * ms
		}
		if m.MostlyLost(now, "s", total) {
			lateTakeover += 100 * ms
		}
	}
	c.Check(lateTakeover < time.Second, qt.IsTrue, qt.Commentf("counts as an instance without paths, last in the order of takeover, for %v", lateTakeover))
	c.Check(lostFor < time.Second, qt.IsTrue, qt.Commentf("lost for %v", lostFor))
}

// Upstreams that come back crash once more, before all of them were probed, and come back again.
func TestUpstreamsThatComeBackTwiceAreNoLostPaths(t *testing.T) {
	c := qt.New(t)
	const total, ended = 989, 128 // 13 in 100, as on scale-1 of the large site.
	var m paths.Monitor
	answered := map[string]time.Duration{}
	lastAnswered := func(id string) time.Duration { return answered[id] }
	up := func(now time.Duration) bool { return (now > 3500*ms && now < 4000*ms) || now > 6*time.Second }
	for i := range ended {
		m.Failed(100*ms, 90*ms, "s", fmt.Sprint("u", i))
	}
	var lackingSince, longest time.Duration
	for now := 110 * ms; now < 12*time.Second; now += 20 * ms {
		if up(now) {
			for i := range ended {
				answered[fmt.Sprint("u", i)] = now
			}
		}
		switch {
		case m.Lacks(now, "s", total, lastAnswered) == "":
			lackingSince = 0
		case lackingSince == 0:
			lackingSince = now
		default:
			longest = max(longest, now-lackingSince)
		}
		if now == 4030*ms {
			for i := range ended { // Those that were reached have crashed again: their grants fail.
				m.Failed(now, now-5*ms, "s", fmt.Sprint("u", i))
			}
		}
		if now%(100*ms) != 10*ms {
			continue
		}
		for _, p := range m.DueProbes(now, listed(total)) {
			if up(now) || number(p.Upstream) >= ended {
				m.Reached(now+ms, "s", p.Upstream)
			} else {
				m.Failed(now+ms, now, "s", p.Upstream)
			}
		}
	}
	c.Check(longest < 200*ms, qt.IsTrue, qt.Commentf("the coordinator lacks paths for %v and resigns after 200ms", longest))
}

// Evidence of an earlier loss must not count in a later one: internal/gateway does not ask while no upstream has failed.
func TestCountsOfAnEarlierLossDoNotCount(t *testing.T) {
	c := qt.New(t)
	const total = 3
	var m paths.Monitor
	for i := range 10 {
		now := time.Duration(i) * 400 * ms
		for u := range total {
			m.Failed(now+350*ms, now, "s", fmt.Sprint("u", u))
		}
		m.MostlyLost(now+360*ms, "s", total)
	}
	c.Assert(m.MostlyLost(4*time.Second, "s", total), qt.IsTrue)
	for u := range total { // All come back between two looks; holdersLost returns early with failedCount 0.
		m.Reached(4*time.Second+ms, "s", fmt.Sprint("u", u))
	}
	c.Assert(m.FailedCount(), qt.Equals, 0)
	for u := range total { // One batch of calls times out together, later.
		m.Failed(6*time.Second, 5650*ms, "s", fmt.Sprint("u", u))
	}
	c.Check(m.MostlyLost(6*time.Second+10*ms, "s", total), qt.IsFalse, qt.Commentf("nothing was tried since"))
}

// All upstreams leave the registry at once while they are lost, and others take their place.
func TestCountsOfUpstreamsThatLeftDoNotCount(t *testing.T) {
	c := qt.New(t)
	const total = 3
	var m paths.Monitor
	for i := range 10 {
		now := time.Duration(i) * 400 * ms
		for u := range total {
			m.Failed(now+350*ms, now, "s", fmt.Sprint("u", u))
		}
		m.MostlyLost(now+360*ms, "s", total)
	}
	m.DueProbes(4*time.Second, nil)
	c.Assert(m.FailedCount(), qt.Equals, 0)
	m.Reached(5*time.Second, "s", "v0")
	for u := range 2 {
		m.Failed(6*time.Second, 5650*ms, "s", fmt.Sprint("v", u))
	}
	c.Check(m.MostlyLost(6*time.Second+10*ms, "s", total), qt.IsFalse, qt.Commentf("nothing was tried since"))
}

// Most upstreams have ended. No other instance reaches them either; most instances have tried few of them.
func TestMostUpstreamsEndedIsNoReasonToResign(t *testing.T) {
	c := qt.New(t)
	const total, ended = 577, 320
	var m paths.Monitor
	leadership := authority.NewLeadership(0)
	leadership.SetMembers([]string{"b"})
	const memberFailed = 4                                                // b has met four of those that ended.
	lastAnswered := func(string) time.Duration { return 2 * time.Second } // The last answers of those that ended.
	due := map[int]time.Duration{}
	for u := range total {
		due[u] = time.Duration(u%30) * 20 * ms // Grants are spread over the time between renewals.
	}
	for now := 20 * ms; now < 5*time.Second; now += 20 * ms {
		leadership.Renewed(now)
		leadership.Acknowledged("b", now, true)
		for i := range total {
			u := (i*7 + int(now/ms)) % total // Failures and answers come in a mixed order.
			name := fmt.Sprint("u", u)
			switch {
			case now < due[u]:
			case u < ended && now > 2*time.Second: // Refused, and sent again after the call timeout.
				m.Failed(now+ms, now, "s", name)
				due[u] = now + 360*ms
			default:
				m.Reached(now+ms, "s", name)
				due[u] = now + 600*ms
			}
		}
		leadership.PathsLost(now, m.Lacks(now, "s", total, lastAnswered) != "")
		leadership.MemberPaths("b", paths.Reaches(memberFailed, m.FailedCount()))
		c.Assert(leadership.ResignReason(now), qt.Equals, authority.ResignReason(""), qt.Commentf("at %v, %d unreached", now, m.FailedCount()))
	}
}

// All grants time out together; of those sent again, upstreams that have ended refuse at once, the others answer in 250 ms.
func TestQuickRefusalsDoNotOutweighCallsThatAreUnderWay(t *testing.T) {
	c := qt.New(t)
	const total, ended = 577, 75
	var m paths.Monitor
	m.Reached(90*ms, "s", "u576")
	for u := range total - 1 {
		m.Failed(450*ms, 80*ms, "s", fmt.Sprint("u", u))
	}
	c.Assert(m.MostlyLost(460*ms, "s", total), qt.IsFalse)
	for u := range ended {
		m.Failed(465*ms, 462*ms, "s", fmt.Sprint("u", u))
	}
	lostFor := time.Duration(0)
	for now := 480 * ms; now < 712*ms; now += 20 * ms {
		if m.MostlyLost(now, "s", total) {
			lostFor += 20 * ms
		}
	}
	c.Check(lostFor < 200*ms, qt.IsTrue, qt.Commentf("%v: the coordinator resigns before one of 502 sound upstreams has had 250 ms to answer", lostFor))
}

// Two of the three upstreams of a keyed service end. Other instances have sent them nothing since.
func TestTwoOfThreeUpstreamsEndedIsNoReasonToResign(t *testing.T) {
	c := qt.New(t)
	const total = 3
	var m paths.Monitor
	leadership := authority.NewLeadership(0)
	leadership.SetMembers([]string{"b"})
	due := map[int]time.Duration{}
	for now := 20 * ms; now < 5*time.Second; now += 20 * ms {
		leadership.Renewed(now)
		leadership.Acknowledged("b", now, true)
		for u := range total {
			name := fmt.Sprint("u", u)
			switch {
			case now < due[u]:
			case u < 2 && now > 2*time.Second:
				m.Failed(now+ms, now, "s", name)
				due[u] = now + 360*ms
			default:
				m.Reached(now+ms, "s", name)
				due[u] = now + 600*ms
			}
		}
		leadership.PathsLost(now, m.Lacks(now, "s", total, func(string) time.Duration { return 0 }) != "")
		leadership.MemberPaths("b", paths.Reaches(0, m.FailedCount()))
		c.Assert(leadership.ResignReason(now), qt.Equals, authority.ResignReason(""), qt.Commentf("at %v, %d unreached", now, m.FailedCount()))
	}
}

// Of many upstreams that come back, three reset the coordinator's connections for a moment because they are full.
func TestFullUpstreamsAmongThoseThatComeBackAreNoLostPaths(t *testing.T) {
	c := qt.New(t)
	const total, ended, full = 989, 128, 3
	var m paths.Monitor
	answered := map[string]time.Duration{}
	for i := range ended {
		m.Failed(100*ms, 90*ms, "s", fmt.Sprint("u", i))
	}
	var lackingSince, longest time.Duration
	for now := 110 * ms; now < 8*time.Second; now += 20 * ms {
		if now > 3500*ms {
			for i := range ended {
				answered[fmt.Sprint("u", i)] = now
			}
		}
		switch {
		case m.Lacks(now, "s", total, func(id string) time.Duration { return answered[id] }) == "":
			lackingSince = 0
		case lackingSince == 0:
			lackingSince = now
		default:
			longest = max(longest, now-lackingSince)
		}
		if now == 3690*ms {
			for i := range full { // A grant to each of them is reset.
				m.Failed(now, now-5*ms, "s", fmt.Sprint("u", i))
			}
		}
		if now%(100*ms) != 10*ms {
			continue
		}
		for _, p := range m.DueProbes(now, listed(total)) {
			isFull := p.Upstream == "u0" || p.Upstream == "u1" || p.Upstream == "u2"
			if number(p.Upstream) >= ended || (now > 3500*ms && (!isFull || now > 5*time.Second)) {
				m.Reached(now+ms, "s", p.Upstream)
			} else {
				m.Failed(now+ms, now, "s", p.Upstream)
			}
		}
	}
	c.Check(longest < 200*ms, qt.IsTrue, qt.Commentf("the coordinator lacks paths for %v because of %d of %d upstreams", longest, full, total))
}
