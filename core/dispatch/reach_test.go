package dispatch_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminlift/core/dispatch"
)

// sendOne submits a request from an instance and returns the decision, which must be to send it.
func sendOne(c *qt.C, p *dispatch.Pool, now time.Duration, id uint64, instance string) dispatch.Decision {
	t := ticket(id, now)
	t.Instance = instance
	p.Submit(now, t)
	decisions := p.Decide(now)
	c.Assert(decisions, qt.HasLen, 1)
	c.Assert(decisions[0].Reason, qt.Equals, dispatch.Reason(""))
	return decisions[0]
}

// An instance without a path says that an upstream is unreachable, which takes it from all others (RECOVER).
func TestUnreachableForOneInstanceIsUsedByOthers(t *testing.T) {
	const ms = time.Millisecond
	c := qt.New(t)
	// The upstream answers another instance while the connection is tried.
	p := newPool(dispatch.Share{})
	p.SetUpstreams(0, states(1))
	sendOne(c, p, 0, 1, "cut")
	sendOne(c, p, 0, 2, "sound")
	p.End(100*ms, 2, dispatch.Answered, 100*ms, nil)
	p.End(300*ms, 1, dispatch.Unreachable, 300*ms, nil)
	c.Check(p.Stats(300*ms).Unreachable, qt.Equals, 0)
	sendOne(c, p, 300*ms, 3, "sound")

	// It answers a request that was at work when the connection was tried: it has not started again, and is not cold.
	p = newPool(dispatch.Share{})
	p.SetUpstreams(0, states(1))
	sendOne(c, p, 0, 1, "sound")
	sendOne(c, p, 10*ms, 2, "cut")
	p.End(12*ms, 2, dispatch.Unreachable, 2*ms, nil)
	c.Check(p.Stats(12*ms).Unreachable, qt.Equals, 1)
	p.End(100*ms, 1, dispatch.Answered, 100*ms, nil)
	c.Check(p.Stats(100*ms).Unreachable, qt.Equals, 0)
	c.Check(p.Cold(100*ms, "u00"), qt.IsFalse)
	sendOne(c, p, 100*ms, 3, "sound")
}

// An upstream that has ended after an answer may start again, cold.
func TestUnreachableUpstreamIsColdAfterItsNextAnswer(t *testing.T) {
	const ms = time.Millisecond
	c := qt.New(t)
	for _, outcome := range []dispatch.Outcome{dispatch.Unreachable, dispatch.Crashed} {
		p := newPool(dispatch.Share{})
		p.SetUpstreams(0, states(1))
		sendOne(c, p, 0, 1, "n0")
		sendOne(c, p, 0, 2, "n1")
		p.End(50*ms, 1, dispatch.Answered, 50*ms, nil)
		took := 2 * ms
		if outcome == dispatch.Crashed {
			took = 100 * ms
		}
		p.End(100*ms, 2, outcome, took, nil)
		c.Check(p.Stats(100*ms).Unreachable, qt.Equals, 1)
		sendOne(c, p, 500*ms, 3, "n0")
		p.End(600*ms, 3, dispatch.Answered, 100*ms, nil)
		c.Check(p.Cold(600*ms, "u00"), qt.IsTrue)
	}
}

// Attempts that could not be sent would use up the budget for retries.
func TestUnsentAttemptsTakeNoRetryBudget(t *testing.T) {
	c := qt.New(t)
	p := dispatch.NewPool(dispatch.Config{
		RetryWindow: 10 * time.Second,
	})
	p.SetUpstreams(0, states(1))
	for _, unsent := range []bool{true, false} {
		again := ticket(1, 0)
		again.Attempt = 1
		again.Unsent = unsent
		p.Submit(0, again)
		decisions := p.Decide(0)
		c.Assert(decisions, qt.HasLen, 1)
		c.Check(decisions[0].Reason == dispatch.NoBudget, qt.Equals, !unsent)
	}
}

// An instance without a coordinator that loses its paths takes the few upstreams that it may use for ended, and refuses its callers although
// other instances can send their requests (RECOVER).
func TestLostPathsTakeNoUpstreamsFromALocalPool(t *testing.T) {
	const ms = time.Millisecond
	c := qt.New(t)
	p := newPool(dispatch.Share{
		Index: 0,
		Count: 3,
	})
	p.SetUpstreams(0, states(4))
	for id := range uint64(4) {
		sendOne(c, p, 0, id, "cut")
	}
	for id := range uint64(4) {
		p.End(300*ms, id, dispatch.Unreachable, 300*ms, nil)
	}
	c.Check(p.Stats(300*ms).Blocked, qt.Equals, 4)
	p.PathsLost()
	c.Check(p.Stats(300*ms).Blocked, qt.Equals, 0)
	sent := sendOne(c, p, 300*ms, 9, "cut")
	c.Check(p.Cold(300*ms, sent.Upstream), qt.IsFalse)
}
