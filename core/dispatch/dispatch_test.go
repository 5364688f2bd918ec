package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminlift/core/dispatch"
	"cuminlift/core/route"
)

func newPool(share dispatch.Share) *dispatch.Pool {
	p := dispatch.NewPool(dispatch.Config{
		Share:       share,
		RetryRatio:  0.2,
		RetrySlack:  58,
		RetryWindow: 10 * time.Second,
	})
	p.SetService(route.Service{
		Name:         "calendar",
		ColdDuration: 3 * time.Second,
		ColdRate:     6.3,
	})
	return p
}

func states(n int) []dispatch.UpstreamState {
	var list []dispatch.UpstreamState
	for i := range n {
		list = append(list, dispatch.UpstreamState{
			ID:          fmt.Sprintf("u%02d", i),
			Address:     fmt.Sprintf("10.0.0.%d:80", i),
			Zone:        fmt.Sprintf("zone-%d", i%3),
			Incarnation: 1,
			Slots:       2,
			Usable:      true,
		})
	}
	return list
}

func ticket(id uint64, now time.Duration) *dispatch.Ticket {
	return &dispatch.Ticket{
		ID:         id,
		Idempotent: true,
		Zone:       "zone-0",
		Deadline:   now + 2*time.Second,
		Objective:  now + 300*time.Millisecond,
	}
}

func TestSlotsAreNeverExceededUnderOverload(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	p := newPool(dispatch.Share{})
	p.SetUpstreams(0, states(5))
	running := map[string]int{}
	type end struct {
		at       time.Duration
		id       uint64
		upstream string
	}
	var ends []end
	granted, refused := 0, 0
	id := uint64(0)
	for now := time.Duration(0); now < 10*time.Second; now += time.Millisecond {
		for i := 0; i < len(ends); {
			if ends[i].at > now {
				i++
				continue
			}
			p.End(now, ends[i].id, dispatch.Answered, 100*time.Millisecond, nil)
			running[ends[i].upstream]--
			ends = append(ends[:i], ends[i+1:]...)
		}
		if random.Float64() < 0.2 { // Twice the capacity of five upstreams with two slots.
			id++
			p.Submit(now, ticket(id, now))
		}
		for _, d := range p.Decide(now) {
			if d.Upstream == "" {
				refused++
				c.Assert(d.RetryAfter > 0, qt.IsTrue)
				continue
			}
			granted++
			running[d.Upstream]++
			c.Assert(running[d.Upstream] <= 2, qt.IsTrue)
			ends = append(ends, end{
				at:       now + time.Duration(random.IntN(200))*time.Millisecond,
				id:       d.Ticket.ID,
				upstream: d.Upstream,
			})
		}
	}
	// The capacity is 1000 requests in this time. Nearly all of it must be used, and the remaining requests refused.
	c.Check(granted > 900, qt.IsTrue, qt.Commentf("%d granted, %d refused", granted, refused))
	c.Check(p.Waiting() < 100, qt.IsTrue)
}

func TestRequestsThatCannotMeetDeadlineAreRefusedImmediately(t *testing.T) {
	c := qt.New(t)
	p := newPool(dispatch.Share{})
	p.SetUpstreams(0, states(1))
	granted, refused := 0, 0
	for id := uint64(1); id <= 40; id++ {
		p.Submit(0, ticket(id, 0))
		for _, d := range p.Decide(0) {
			if d.Upstream != "" {
				granted++
				continue
			}
			c.Check(d.Reason, qt.Equals, dispatch.TooLate)
			refused++
		}
	}
	c.Check(granted, qt.Equals, 2)
	// Two slots with a latency of 100 ms answer 20 requests per second. No late request waits longer than 0.35 of the 2
	// s to the deadline, so at most 14 are queued.
	c.Check(p.Waiting() <= 14, qt.IsTrue, qt.Commentf("%d waiting", p.Waiting()))
	c.Check(refused, qt.Equals, 40-2-p.Waiting())
}

func TestColdUpstreamGetsNoMoreThanItsRate(t *testing.T) {
	c := qt.New(t)
	p := newPool(dispatch.Share{})
	p.SetUpstreams(0, states(1))
	p.SetUpstreams(time.Second, nil)
	p.SetUpstreams(2*time.Second, states(1)) // The upstream returns while there is traffic.
	var sends []time.Duration
	id := uint64(0)
	for now := 2 * time.Second; now < 5*time.Second; now += 5 * time.Millisecond {
		id++
		p.Submit(now, ticket(id, now))
		for _, d := range p.Decide(now) {
			if d.Upstream != "" {
				sends = append(sends, now)
				p.End(now, d.Ticket.ID, dispatch.Answered, time.Millisecond, nil)
			}
		}
	}
	c.Assert(len(sends) > 10, qt.IsTrue)
	for i, from := range sends {
		n := 0
		for _, at := range sends[i:] {
			if at < from+time.Second {
				n++
			}
		}
		// The required bound is 6.3 x 1.5 + 5. Two coordinators in succession within one second must stay within it, so
		// each may send half.
		c.Assert(2*n <= 14, qt.IsTrue, qt.Commentf("%d in the second from %v", n, from))
	}
}

func TestColdRateIsSharedByInstancesWithoutCoordinator(t *testing.T) {
	for _, instances := range []int{2, 9, 62, 4000} {
		checkColdRate(qt.New(t), instances)
	}
}

// checkColdRate checks the total rate at which instances without a coordinator send to a newly joined upstream.
func checkColdRate(c *qt.C, instances int) {
	total := 0
	for instance := range instances {
		p := newPool(dispatch.Share{
			Index: instance,
			Count: instances,
		})
		p.SetUpstreams(0, nil)
		p.SetUpstreams(0, states(1))
		for now := time.Duration(0); now < time.Second; now += 10 * time.Millisecond {
			id := uint64(instance*1000) + uint64(now/time.Millisecond)
			p.Submit(now, ticket(id, now))
			for _, d := range p.Decide(now) {
				if d.Upstream != "" {
					total++
					p.End(now, d.Ticket.ID, dispatch.Answered, time.Millisecond, nil)
				}
			}
		}
	}
	// The cold-start rate is 6.3 per second; the bound is 1.5 times that plus 5.
	c.Check(total <= 14, qt.IsTrue, qt.Commentf("%d from %d instances", total, instances))
	c.Check(total >= 1, qt.IsTrue)
}

// TestSlotsNotExceededWithoutCoordinator covers operation without a coordinator, where every instance used to take one
// slot of every upstream.
func TestSlotsNotExceededWithoutCoordinator(t *testing.T) {
	c := qt.New(t)
	const instances, upstreams = 62, 20
	running := map[string]int{}
	for instance := range instances {
		p := newPool(dispatch.Share{
			Index: instance,
			Count: instances,
		})
		p.SetUpstreams(0, states(upstreams))
		for id := range uint64(5) {
			p.Submit(0, ticket(id, 0))
		}
		for _, d := range p.Decide(0) {
			running[d.Upstream]++
		}
	}
	for id, n := range running {
		// Two slots plus ten queued requests; the upstream resets any beyond that.
		c.Check(n <= 12, qt.IsTrue, qt.Commentf("%d at %s", n, id))
	}
	c.Check(len(running), qt.Equals, upstreams)
}

func TestRetriesStayWithinBudget(t *testing.T) {
	c := qt.New(t)
	p := newPool(dispatch.Share{})
	p.SetUpstreams(0, states(10))
	id := uint64(0)
	granted := 0
	for now := time.Duration(0); now < 10*time.Second; now += 10 * time.Millisecond {
		for attempt := range 2 {
			id++
			r := ticket(id, now)
			r.Attempt = attempt
			p.Submit(now, r)
			for _, d := range p.Decide(now) {
				if d.Upstream == "" {
					c.Assert(d.Reason, qt.Equals, dispatch.NoBudget)
					continue
				}
				granted += attempt
				p.End(now, d.Ticket.ID, dispatch.Answered, time.Millisecond, nil)
			}
		}
	}
	// The bound over all coordinators is 0.2 x 1000 requests plus 58, of which one coordinator spends only a part.
	c.Check(granted <= 200+58, qt.IsTrue, qt.Commentf("%d", granted))
	c.Check(granted >= 100, qt.IsTrue, qt.Commentf("%d", granted))
}

func TestPriorityOrder(t *testing.T) {
	c := qt.New(t)
	p := newPool(dispatch.Share{})
	one := states(1)
	one[0].Slots = 1
	p.SetUpstreams(0, one)
	submit := func(id uint64, priority int, bulk bool) {
		r := ticket(id, 0)
		r.Priority = priority
		r.Bulk = bulk
		r.Objective = time.Second
		p.Submit(0, r)
	}
	submit(1, 2, false)
	c.Assert(p.Decide(0), qt.HasLen, 1)
	submit(2, 2, true)
	submit(3, 2, false)
	submit(4, 1, false)
	var order []uint64
	last := uint64(1)
	for range 3 {
		p.End(0, last, dispatch.Answered, 100*time.Millisecond, nil)
		decisions := p.Decide(0)
		c.Assert(decisions, qt.HasLen, 1)
		last = decisions[0].Ticket.ID
		order = append(order, last)
	}
	c.Check(order, qt.DeepEquals, []uint64{4, 3, 2})
}

// singleOwner makes one upstream the owner of every key, or none if owner is empty.
type singleOwner struct{ owner string }

func (k *singleOwner) Owner(time.Duration, uint32) (string, bool) { return k.owner, k.owner != "" }

func TestKeyedRequestWaitsForItsOwner(t *testing.T) {
	c := qt.New(t)
	owners := &singleOwner{}
	p := dispatch.NewPool(dispatch.Config{
		RetryRatio:  0.2,
		RetrySlack:  58,
		RetryWindow: 10 * time.Second,
		Owners:      owners,
	})
	p.SetUpstreams(0, states(4))
	keyed := func(id uint64) *dispatch.Ticket {
		r := ticket(id, 0)
		r.Key = 7
		return r
	}
	p.Submit(0, keyed(1))
	c.Assert(p.Decide(0), qt.HasLen, 0)
	owners.owner = "u02"
	decisions := p.Decide(20 * time.Millisecond)
	c.Assert(decisions, qt.HasLen, 1)
	c.Check(decisions[0].Upstream, qt.Equals, "u02")
	owners.owner = ""
	p.Submit(0, keyed(2))
	c.Assert(p.Decide(100*time.Millisecond), qt.HasLen, 0)
	refused := p.Decide(time.Second)
	c.Assert(refused, qt.HasLen, 1)
	c.Check(refused[0].Reason, qt.Equals, dispatch.NoOwner)
}

// TestKeyedRequestIsRefusedAtOnceIfNoOwnerIsExpected covers an outage of the store in which there is no coordinator: a request
// that no upstream can serve must not be held.
func TestKeyedRequestIsRefusedAtOnceIfNoOwnerIsExpected(t *testing.T) {
	c := qt.New(t)
	p := dispatch.NewPool(dispatch.Config{
		RetryWindow: 10 * time.Second,
		Owners:      &singleOwner{},
	})
	p.SetUpstreams(0, states(4))
	p.SetOwnerWait(0)
	r := ticket(1, 0)
	r.Key = 7
	p.Submit(0, r)
	refused := p.Decide(0)
	c.Assert(refused, qt.HasLen, 1)
	c.Check(refused[0].Reason, qt.Equals, dispatch.NoOwner)
	c.Check(refused[0].RetryAfter, qt.Equals, dispatch.DefaultOwnerWait)
}

func TestUnusableUpstreamGetsNoNewRequests(t *testing.T) {
	c := qt.New(t)
	p := newPool(dispatch.Share{})
	list := states(2)
	p.SetUpstreams(0, list)
	list[0].Usable = false
	p.SetUpstreams(time.Second, list)
	for id := uint64(1); id <= 10; id++ {
		p.Submit(time.Second, ticket(id, time.Second))
		for _, d := range p.Decide(time.Second) {
			c.Assert(d.Upstream, qt.Not(qt.Equals), "u00")
		}
	}
	p.SetUpstreams(2*time.Second, nil)
	p.Submit(2*time.Second, ticket(99, 2*time.Second))
	for _, d := range p.Decide(2 * time.Second) {
		if d.Ticket.ID == 99 {
			c.Check(d.Reason, qt.Equals, dispatch.NoUpstream)
		}
	}
}

// TestJoinedUpstreamIsUsedSoon covers an upstream that joins a service whose other upstreams are fast and mostly idle.
// With an assumed latency above the measured latency of the others, it never received a request.
func TestJoinedUpstreamIsUsedSoon(t *testing.T) {
	c := qt.New(t)
	p := newPool(dispatch.Share{})
	p.SetUpstreams(0, states(3))
	id := uint64(0)
	serve := func(from, to time.Duration) map[string]int {
		got := map[string]int{}
		for now := from; now < to; now += 60 * time.Millisecond {
			id++
			p.Submit(now, ticket(id, now))
			for _, d := range p.Decide(now) {
				got[d.Upstream]++
				p.End(now+50*time.Millisecond, d.Ticket.ID, dispatch.Answered, 50*time.Millisecond, nil)
			}
		}
		return got
	}
	serve(0, 5*time.Second)
	p.SetUpstreams(5*time.Second, states(4))
	got := serve(5*time.Second, 9*time.Second)
	c.Check(got["u03"] > 0, qt.IsTrue, qt.Commentf("%v", got))
}

// TestServedRequestsMeetObjectiveUnderOverload covers an overload of twice the capacity for 10 s. If requests are served
// in order of arrival, nearly every response misses its objective.
func TestServedRequestsMeetObjectiveUnderOverload(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(5, 6))
	p := newPool(dispatch.Share{})
	p.SetUpstreams(0, states(5))
	type end struct {
		at, took time.Duration
		ticket   *dispatch.Ticket
	}
	var ends []end
	inTime, served := 0, 0
	id := uint64(0)
	for now := time.Duration(0); now < 10*time.Second; now += time.Millisecond {
		var left []end
		for _, e := range ends {
			if e.at > now {
				left = append(left, e)
				continue
			}
			p.End(now, e.ticket.ID, dispatch.Answered, e.took, nil)
			served++
			if now <= e.ticket.Objective {
				inTime++
			}
		}
		ends = left
		if random.Float64() < 0.2 {
			id++
			p.Submit(now, ticket(id, now))
		}
		for _, d := range p.Decide(now) {
			if d.Upstream != "" {
				took := time.Duration(50+random.IntN(100)) * time.Millisecond
				ends = append(ends, end{
					at:     now + took,
					took:   took,
					ticket: d.Ticket,
				})
			}
		}
	}
	c.Check(float64(inTime) > 0.75*float64(served), qt.IsTrue, qt.Commentf("%d of %d in time", inTime, served))
}

// TestBulkRequestWaitsForLocalZone covers downloads in a zone whose upstream is briefly busy while an upstream in
// another zone is idle.
func TestBulkRequestWaitsForLocalZone(t *testing.T) {
	c := qt.New(t)
	p := newPool(dispatch.Share{})
	list := states(2) // One in zone-0, one in zone-1.
	list[0].Slots = 1
	p.SetUpstreams(0, list)
	bulk := func(id uint64, now time.Duration) {
		r := ticket(id, now)
		r.Bulk = true
		p.Submit(now, r)
	}
	bulk(1, 0)
	first := p.Decide(0)
	c.Assert(first, qt.HasLen, 1)
	c.Assert(first[0].Upstream, qt.Equals, "u00")
	bulk(2, 0)
	c.Assert(p.Decide(40*time.Millisecond), qt.HasLen, 0)
	p.End(60*time.Millisecond, 1, dispatch.Answered, 60*time.Millisecond, nil)
	second := p.Decide(60 * time.Millisecond)
	c.Assert(second, qt.HasLen, 1)
	c.Check(second[0].Upstream, qt.Equals, "u00")
	bulk(3, 60*time.Millisecond)
	c.Assert(p.Decide(100*time.Millisecond), qt.HasLen, 0)
	third := p.Decide(160 * time.Millisecond)
	c.Assert(third, qt.HasLen, 1)
	c.Check(third[0].Upstream, qt.Equals, "u01", qt.Commentf("the request must not wait forever"))
}
