package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminlift/core/dispatch"
)

func pausing(pause time.Duration) *dispatch.Report {
	return &dispatch.Report{
		Pause: pause,
	}
}

// TestPausedUpstreamIsLeftAloneOverChangesOfCoordinator plays instances to which upstreams say at random that they want nothing for
// a while. Whoever grants tickets changes; an instance returns a ticket for an upstream that has asked it for a pause.
func TestPausedUpstreamIsLeftAloneOverChangesOfCoordinator(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(80) {
		random := rand.New(rand.NewPCG(seed, 29))
		instances := []int{1, 3, 9}[seed%3]
		notices := make([]dispatch.Notices, instances)
		quietUntil := map[string]time.Duration{}
		var pool *dispatch.Pool
		change := time.Duration(0)
		id, sent, returned := uint64(0), 0, 0
		for now := time.Duration(0); now < 15*time.Second; now += 5 * time.Millisecond {
			if now >= change {
				change = now + time.Duration(100+random.IntN(3000))*time.Millisecond
				pool = newPool(dispatch.Share{})
				pool.SetUpstreams(now, states(4))
				for i := range notices {
					// An instance that is cut off tells nothing.
					if random.IntN(4) == 0 {
						continue
					}
					for _, notice := range notices[i].List(now, isPresent) {
						pool.ApplyNotice(now, fmt.Sprint(i), notice)
					}
				}
			}
			i := random.IntN(instances)
			name := fmt.Sprint(i)
			id++
			request := ticket(id, now)
			request.Instance = name
			pool.Submit(now, request)
			for _, d := range pool.Decide(now) {
				if d.Upstream == "" {
					c.Assert(d.RetryAfter > 0, qt.IsTrue)
					continue
				}
				granted := d.Ticket.Instance
				n, err := strconv.Atoi(granted)
				c.Assert(err, qt.IsNil)
				if notice := notices[n].Get(now, d.Upstream, d.Incarnation); notice.Pause > 0 {
					returned++
					pool.ApplyNotice(now, granted, notice)
					pool.Cancel(now, d.Ticket.ID)
					continue
				}
				pair := granted + d.Upstream
				c.Assert(now >= quietUntil[pair], qt.IsTrue, qt.Commentf("seed %d: instance %s sends to %s at %v, wanted from %v", seed, granted, d.Upstream, now, quietUntil[pair]))
				sent++
				report, outcome := &dispatch.Report{}, dispatch.Answered
				if random.IntN(20) == 0 {
					pause := time.Duration(1+random.IntN(4000)) * time.Millisecond
					report, outcome = pausing(pause), dispatch.Shed
					quietUntil[pair] = now + pause
				}
				notices[n].Record(now, now, dispatch.Notice{
					Service:     "calendar",
					Upstream:    d.Upstream,
					Incarnation: d.Incarnation,
				}, report)
				pool.End(now, d.Ticket.ID, outcome, time.Millisecond, report)
			}
		}
		c.Assert(sent > 100, qt.IsTrue, qt.Commentf("seed %d: %d sent", seed, sent))
		c.Assert(returned < sent, qt.IsTrue)
	}
}

func pausedPool() *dispatch.Pool {
	p := newPool(dispatch.Share{})
	p.SetUpstreams(0, states(1))
	p.ApplyNotice(0, "a", dispatch.Notice{
		Upstream:    "u00",
		Incarnation: 1,
		Pause:       1500 * time.Millisecond,
	})
	return p
}

func decideFor(p *dispatch.Pool, now time.Duration, id uint64, instance string) []dispatch.Decision {
	request := ticket(id, now)
	request.Instance = instance
	p.Submit(now, request)
	return p.Decide(now)
}

func TestRequestsOfOtherInstancesPassAPausedOne(t *testing.T) {
	c := qt.New(t)
	p := pausedPool()
	decisions := decideFor(p, 0, 1, "a")
	// The pause is longer than the request may wait. Another instance may send it at once.
	c.Assert(decisions, qt.HasLen, 1)
	c.Check(decisions[0].Reason, qt.Equals, dispatch.TooLate)
	c.Check(decisions[0].RetryAfter < 200*time.Millisecond, qt.IsTrue, qt.Commentf("%v", decisions[0].RetryAfter))
	decisions = decideFor(p, 0, 2, "b")
	c.Assert(decisions, qt.HasLen, 1)
	c.Check(decisions[0].Upstream, qt.Equals, "u00")
}

func TestRetryAfterTellsWhenAnInstanceMaySendAgain(t *testing.T) {
	c := qt.New(t)
	p := pausedPool()
	p.ApplyNotice(0, "b", dispatch.Notice{
		Upstream:    "u00",
		Incarnation: 1,
		Pause:       1200 * time.Millisecond,
	})
	decisions := decideFor(p, 0, 1, "a")
	c.Assert(decisions, qt.HasLen, 1)
	c.Check(decisions[0].RetryAfter, qt.Equals, 1200*time.Millisecond)
}

func TestRequestWaitsForTheEndOfAShortPause(t *testing.T) {
	c := qt.New(t)
	p := pausedPool()
	c.Check(decideFor(p, time.Second, 1, "a"), qt.HasLen, 0)
	for now := time.Second; now < 1500*time.Millisecond; now += 10 * time.Millisecond {
		c.Assert(p.Decide(now), qt.HasLen, 0, qt.Commentf("%v", now))
	}
	decisions := p.Decide(1510 * time.Millisecond)
	c.Assert(decisions, qt.HasLen, 1)
	c.Check(decisions[0].Upstream, qt.Equals, "u00")
}

// TestRequestGoesRoundAPausedUpstream covers a service without keys, of which one upstream wants nothing from the instance.
func TestRequestGoesRoundAPausedUpstream(t *testing.T) {
	c := qt.New(t)
	for _, paused := range []string{"u00", "u01"} {
		p := newPool(dispatch.Share{})
		p.SetUpstreams(0, states(2))
		p.ApplyNotice(0, "a", dispatch.Notice{
			Upstream:    paused,
			Incarnation: 1,
			Pause:       time.Second,
		})
		for id := range uint64(2) {
			decisions := decideFor(p, 0, id+1, "a")
			c.Assert(decisions, qt.HasLen, 1)
			c.Check(decisions[0].Upstream, qt.Not(qt.Equals), paused)
			c.Check(decisions[0].Upstream, qt.Not(qt.Equals), "")
		}
	}
}

// onlyOwner makes one upstream own all keys.
type onlyOwner string

func (o onlyOwner) Owner(time.Duration, uint32) (string, bool) { return string(o), true }

// TestOwnersQueueSkipsPausedInstances covers a key whose owner wants nothing from one instance. Requests of others behind its request
// go first.
func TestOwnersQueueSkipsPausedInstances(t *testing.T) {
	c := qt.New(t)
	p := dispatch.NewPool(dispatch.Config{
		Owners:      onlyOwner("u00"),
		RetryWindow: 10 * time.Second,
	})
	p.SetUpstreams(0, states(2))
	p.ApplyNotice(0, "a", dispatch.Notice{
		Upstream:    "u00",
		Incarnation: 1,
		Pause:       300 * time.Millisecond,
	})
	for id, instance := range []string{"a", "b"} {
		request := ticket(uint64(id+1), 0)
		request.Key = 7
		request.Instance = instance
		p.Submit(0, request)
	}
	decisions := p.Decide(0)
	c.Assert(decisions, qt.HasLen, 1)
	c.Check(decisions[0].Ticket.Instance, qt.Equals, "b")
	c.Check(decisions[0].Upstream, qt.Equals, "u00")
	decisions = p.Decide(310 * time.Millisecond)
	c.Assert(decisions, qt.HasLen, 1)
	c.Check(decisions[0].Ticket.Instance, qt.Equals, "a")
	c.Check(decisions[0].Upstream, qt.Equals, "u00")
}
