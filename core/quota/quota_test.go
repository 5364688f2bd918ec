package quota_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminlift/core/quota"
)

// take reserves and sends until there is no room, and returns the number of requests and the last wait.
func take(g gate, now time.Duration, workspace, instance string) (n int, wait time.Duration) {
	for {
		wait, ok := g.Reserve(now, workspace, instance)
		if !ok {
			return n, wait
		}
		g.Send(now, workspace, instance)
		n++
	}
}

// joinedLedger returns a ledger of instances that have all reported that they sent nothing.
func joinedLedger(now time.Duration, limits quota.Limits, names ...string) *quota.Ledger {
	l := quota.NewLedger(now, limits)
	l.SetMembers(now, names)
	for _, name := range names {
		l.Join(now, name, quota.Window, nil)
	}
	return l
}

// A new coordinator gives a workspace its burst again that it has just used, or gives an instance that it doesn't reach no share.
func TestNewCoordinatorStartsFromReports(t *testing.T) {
	c := qt.New(t)
	const rate, burst = 100.0, 200.0
	now := time.Hour
	usage := &quota.Usage{}
	old := joinedLedger(now, fixedLimits(rate, burst), "a", "b")
	full, _ := take(old, now, "w", "a")
	for range full {
		usage.Sent(now, "w")
	}
	next := quota.NewLedger(now, fixedLimits(rate, burst))
	next.SetMembers(now, []string{"a", "b"})
	next.Join(now, "b", quota.Window, nil)
	n, _ := take(next, now, "w", "b")
	c.Check(n, qt.Equals, 0)
	n, _ = take(next, now, "w", "a")
	c.Check(n, qt.Equals, 0, qt.Commentf("granted before the report"))
	next.Join(now, "a", quota.Window, usage.List(now))
	n, _ = take(next, now, "w", "b")
	c.Check(n, qt.Equals, 0)
	n, _ = take(next, now, "other", "b")
	c.Check(n, qt.Equals, full)
	// Half a second later, only what the rate gives is there; with one of two instances away, half of it.
	n, _ = take(next, now+500*time.Millisecond, "w", "b")
	c.Check(n, qt.Equals, 50)
	next.Leave(now+500*time.Millisecond, "a")
	n, _ = take(next, now+time.Second, "w", "b")
	c.Check(n, qt.Equals, 25)
}

// The share of an instance that was removed because it can't be reached goes to the others while it still uses it.
func TestShareOfALostInstanceStaysReserved(t *testing.T) {
	c := qt.New(t)
	now := time.Hour
	l := joinedLedger(now, fixedLimits(100, 0), "a", "b")
	l.Leave(now, "a")
	l.SetMembers(now, []string{"b"})
	rate := func(from time.Duration) int {
		take(l, from, "w", "b")
		n, _ := take(l, from+200*time.Millisecond, "w", "b")
		return n
	}
	c.Check(rate(now+10*time.Second), qt.Equals, 10)
	l.ForgetLost(now + time.Minute)
	c.Check(rate(now+time.Minute), qt.Equals, 20)
}

// While instances of the previous build run, or some instances are away, a small workspace gets nothing.
func TestSmallQuotaBesideAbsentInstances(t *testing.T) {
	c := qt.New(t)
	const rate, instances = 3.0, 62
	for _, connected := range []bool{true, false} {
		now := time.Hour
		l := quota.NewLedger(now, fixedLimits(rate, 0))
		var names []string
		for i := range instances {
			names = append(names, fmt.Sprint("n", i))
		}
		l.SetMembers(now, names)
		for i, name := range names {
			switch {
			case i < instances/2:
				l.Join(now, name, quota.Window, nil)
			case connected:
				l.Connect(now, name)
			}
		}
		sent := 0
		for end := now + time.Minute; now < end; now += 100 * time.Millisecond {
			n, _ := take(l, now, "w", "n0")
			sent += n
		}
		if connected {
			c.Check(float64(sent) >= 0.95*rate*60, qt.IsTrue, qt.Commentf("%d", sent))
		} else {
			c.Check(float64(sent) >= 0.15*rate*60, qt.IsTrue, qt.Commentf("%d", sent))
			c.Check(float64(sent) <= 0.3*rate*60, qt.IsTrue, qt.Commentf("%d", sent))
		}
	}
}

// A lowered quota does not bind.
func TestLoweredQuotaBindsAtOnce(t *testing.T) {
	c := qt.New(t)
	now, rate := time.Hour, 1000.0
	l := joinedLedger(now, func(string) (float64, float64, bool) { return rate, 0, true }, "a")
	n, _ := take(l, now, "w", "a")
	c.Check(n > 100, qt.IsTrue)
	rate = 2
	n, _ = take(l, now+quota.Window, "w", "a")
	c.Check(float64(n) <= rate*quota.Window.Seconds()+10, qt.IsTrue, qt.Commentf("%d", n))
	rate = 0
	_, ok := joinedLedger(now, fixedLimits(0, 0), "a").Reserve(now, "w", "a")
	c.Check(ok, qt.IsTrue, qt.Commentf("a rate of 0 is no limit"))
}

// Refused callers come back all at the same time, or when there is no room yet, or never.
func TestRefusedCallersComeBackOneByOne(t *testing.T) {
	c := qt.New(t)
	const rate = 50.0
	now := time.Hour
	l := joinedLedger(now, fixedLimits(rate, 0), "a")
	take(l, now, "w", "a")
	waits := map[time.Duration]bool{}
	for range 100 {
		wait, ok := l.Reserve(now, "w", "a")
		c.Assert(ok, qt.IsFalse)
		c.Check(wait > 0 && wait <= quota.Window, qt.IsTrue, qt.Commentf("%v", wait))
		waits[wait] = true
	}
	c.Check(waits, qt.HasLen, 100)
	first := quota.Window
	for wait := range waits {
		first = min(first, wait)
	}
	_, ok := l.Reserve(now+first, "w", "a")
	c.Check(ok, qt.IsTrue)
}

// The log has a line for each of thousands of workspaces, or does not say on what a refusal is based.
func TestRefusalsAreSummedUp(t *testing.T) {
	c := qt.New(t)
	now := time.Hour
	l := joinedLedger(now, fixedLimits(1, 2), "a")
	for i := range 1000 {
		for range i%50 + 100 {
			if _, ok := l.Reserve(now, fmt.Sprint("w", i), "a"); ok {
				l.Send(now, fmt.Sprint("w", i), "a")
			}
		}
	}
	list := l.Refusals(now + time.Second)
	c.Assert(list, qt.HasLen, 11)
	sent := 12 // The burst and half of the slack.
	c.Check(list[0], qt.Equals, quota.Refusal{
		Workspace: "w149",
		Rate:      1,
		Burst:     2,
		Refused:   149 - sent,
		Sent:      sent,
		Age:       time.Second,
	})
	total := 0
	for _, r := range list {
		total += r.Refused
	}
	c.Check(total, qt.Equals, 20*(49*50/2+50*100)-1000*sent)
	c.Check(l.Refusals(now), qt.HasLen, 0)
}
