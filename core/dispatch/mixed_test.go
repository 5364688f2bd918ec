package dispatch_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminlift/core/cost"
	"cuminlift/core/dispatch"
	"cuminlift/core/route"
)

// compare plays a replay with the decisions of a service with one kind, as the baseline, and with those by expected cost.
func compare(c *qt.C, s replay) (before, after []replayResult) {
	c.Helper()
	mixed := s
	mixed.mixed = true
	before, allBefore := s.run()
	after, allAfter := mixed.run()
	for i := range s.kinds {
		c.Logf("priority %d before: %v", s.kinds[i].priority, before[i])
		c.Logf("priority %d after:  %v", s.kinds[i].priority, after[i])
	}
	c.Logf("all before: %v", allBefore)
	c.Logf("all after:  %v", allAfter)
	// The total may not suffer for the urgent kinds' sake.
	c.Check(allAfter.shareValue() >= 0.97*allBefore.shareValue(), qt.IsTrue, qt.Commentf("value %.3f, before %.3f", allAfter.shareValue(), allBefore.shareValue()))
	c.Check(allAfter.waited <= allBefore.waited, qt.IsTrue, qt.Commentf("%d refused after waiting, before %d", allAfter.waited, allBefore.waited))
	return before, after
}

// orderFaults returns the kinds that are served less often or earn a smaller share of their value than a less urgent one, and those
// that are starved.
func orderFaults(s replay, results []replayResult) (faults, starved []string) {
	offered, served := 0, 0
	for _, r := range results {
		offered += r.offered
		served += r.served
	}
	for i, r := range results {
		if r.shareServed() < 0.25*float64(served)/float64(offered) {
			starved = append(starved, fmt.Sprintf("priority %d: %v", s.kinds[i].priority, r))
		}
		for j, other := range results {
			if s.kinds[i].priority < s.kinds[j].priority && (r.shareServed() < other.shareServed()-0.05 || r.shareValue() < 0.85*other.shareValue()) {
				faults = append(faults, fmt.Sprintf("priority %d: %v; %d: %v", s.kinds[i].priority, r, s.kinds[j].priority, other))
			}
		}
	}
	return faults, starved
}

// checkOrder checks that the results have no faults.
func checkOrder(c *qt.C, s replay, results []replayResult) {
	c.Helper()
	faults, starved := orderFaults(s, results)
	c.Check(faults, qt.HasLen, 0)
	c.Check(starved, qt.HasLen, 0)
}

// TestUrgentKindKeepsItsShareUnderOverload covers kinds of 180 and 1,000 ms at 1.3 times the capacity. With one average for both,
// 0.13 of the urgent requests were served in time.
func TestUrgentKindKeepsItsShareUnderOverload(t *testing.T) {
	c := qt.New(t)
	calm := openReplay(0.9)
	_, usual := compare(c, calm)
	overload := openReplay(1.3)
	before, after := compare(c, overload)
	c.Check(after[0].shareInTime() >= 0.95*usual[0].shareInTime(), qt.IsTrue, qt.Commentf("%v", after[0]))
	c.Check(before[0].shareInTime() < 0.5, qt.IsTrue, qt.Commentf("%v", before[0]))
	checkOrder(c, overload, after)
	keyed := keyedReplay(1.3)
	_, after = compare(c, keyed)
	checkOrder(c, keyed, after)
}

// TestBursts covers a burst of 1.7 times the usual load for 3 s, of all kinds and of the least urgent alone.
func TestBursts(t *testing.T) {
	c := qt.New(t)
	burst := during(5*time.Second, 8*time.Second, 1.7)
	for _, leastOnly := range []bool{false, true} {
		for _, s := range []replay{openReplay(0.9), keyedReplay(0.6)} {
			for i := range s.kinds {
				if !leastOnly || s.kinds[i].priority == 2 {
					s.kinds[i].load = burst
				}
			}
			_, after := compare(c, s)
			checkOrder(c, s, after)
			for i, r := range after {
				if s.kinds[i].priority == 0 {
					c.Check(r.shareInTime() >= 0.94, qt.IsTrue, qt.Commentf("%v", r))
				}
			}
		}
	}
}

// TestTailsOfShortRequests covers speeds of 0.6, 1.0 and 1.6 with tails of 7 times the mean, at the capacity. Short requests waited
// behind long ones.
func TestTailsOfShortRequests(t *testing.T) {
	c := qt.New(t)
	s := openReplay(1)
	s.tail = 0.01
	before, after := compare(c, s)
	c.Check(after[0].quantile(0.99) <= before[0].quantile(0.99)/2, qt.IsTrue, qt.Commentf("%v, before %v", after[0], before[0]))
	checkOrder(c, s, after)
}

// TestWaves covers load that goes up and down by half every 12 s.
func TestWaves(t *testing.T) {
	c := qt.New(t)
	for _, s := range []replay{openReplay(0.9), keyedReplay(0.7)} {
		for i := range s.kinds {
			s.kinds[i].load = func(now time.Duration) float64 { return 1 + 0.5*math.Sin(2*math.Pi*now.Seconds()/12) }
		}
		before, after := compare(c, s)
		checkOrder(c, s, after)
		urgent := len(s.kinds) - 1
		if s.kinds[0].priority == 0 {
			urgent = 0
		}
		c.Check(after[urgent].shareInTime() >= before[urgent].shareInTime()+0.05, qt.IsTrue, qt.Commentf("%v", after[urgent]))
	}
}

// TestUnreliableReports covers load reports that are 500 ms old or wrong, while upstreams take three times as long for 400 ms at a
// time. Wrong reports once led to requests that waited at upstreams behind long ones.
func TestUnreliableReports(t *testing.T) {
	c := qt.New(t)
	for _, s := range []replay{openReplay(1.1), keyedReplay(0.6)} {
		s.slowPhases = true
		s.reportAge = 500 * time.Millisecond
		for _, wrong := range []bool{false, true} {
			s.wrongReports = wrong
			_, after := compare(c, s)
			checkOrder(c, s, after)
			for i, r := range after {
				if s.kinds[i].priority == 0 {
					c.Check(r.shareInTime() >= 0.93, qt.IsTrue, qt.Commentf("%v", r))
				}
			}
		}
	}
}

// TestTakeoverAndSlowUpstreams covers a coordinator that has just taken over and knows nothing, and upstreams of which one of four
// becomes five times as slow.
func TestTakeoverAndSlowUpstreams(t *testing.T) {
	c := qt.New(t)
	for _, s := range []replay{openReplay(0.6), keyedReplay(0.5)} {
		taken := s
		taken.takeoverAt = 7 * time.Second
		_, after := compare(c, taken)
		checkOrder(c, taken, after)
		s.slowFrom = 5 * time.Second
		_, after = compare(c, s)
		checkOrder(c, s, after)
	}
}

// TestRefusedCallersDoNotReturnTogether guards against callers that all come back at the same time, and after their deadline.
func TestRefusedCallersDoNotReturnTogether(t *testing.T) {
	c := qt.New(t)
	p := newPool(dispatch.Share{})
	p.SetService(route.Service{
		Mixed: true,
	})
	p.SetUpstreams(0, states(1))
	delays := map[time.Duration]int{}
	for id := uint64(1); id <= 200; id++ {
		p.Submit(0, ticket(id, 0))
		for _, d := range p.Decide(0) {
			if d.Upstream == "" {
				c.Assert(d.Reason, qt.Equals, dispatch.TooLate)
				c.Assert(d.RetryAfter >= 100*time.Millisecond && d.RetryAfter <= time.Second, qt.IsTrue, qt.Commentf("%v", d.RetryAfter))
				delays[d.RetryAfter.Truncate(10*time.Millisecond)]++
			}
		}
	}
	c.Check(len(delays) >= 10, qt.IsTrue, qt.Commentf("%v", delays))
}

// TestStarvedKindKeepsAFloor covers urgent requests that alone exceed the capacity.
func TestStarvedKindKeepsAFloor(t *testing.T) {
	c := qt.New(t)
	s := openReplay(1.5)
	s.kinds[0].share, s.kinds[1].share = 0.97, 0.03
	s.mixed = true
	results, _ := s.run()
	c.Log(results)
	checkOrder(c, s, results)
}

// TestChangeOfKindsKeepsTickets covers a configuration that gives a service routes of different kinds, and takes them away, while
// tickets wait.
func TestChangeOfKindsKeepsTickets(t *testing.T) {
	c := qt.New(t)
	p := newPool(dispatch.Share{})
	p.SetUpstreams(0, states(1))
	service := route.Service{}
	const tickets = 12
	ended := map[uint64]bool{}
	var running []uint64
	for now := time.Duration(0); now < 4*time.Second; now += 50 * time.Millisecond {
		service.Mixed = int(now/(100*time.Millisecond))%2 == 1
		p.SetService(service)
		if id := uint64(now/(50*time.Millisecond)) + 1; id <= tickets {
			r := ticket(id, now)
			r.Priority = int(id % 3)
			p.Submit(now, r)
		}
		for _, id := range running {
			p.End(now, id, dispatch.Answered, 50*time.Millisecond, nil)
		}
		running = nil
		for _, d := range p.Decide(now) {
			c.Assert(ended[d.Ticket.ID], qt.IsFalse)
			ended[d.Ticket.ID] = true
			if d.Upstream != "" {
				running = append(running, d.Ticket.ID)
			}
		}
	}
	c.Check(ended, qt.HasLen, tickets)
	c.Check(p.Waiting(), qt.Equals, 0)
}

// TestRandomMixesKeepTheOrder plays kinds with random works, objectives, priorities, shares and bursts. Kinds with short objectives
// were starved or served less often than less urgent ones, because more urgent kinds with long objectives waited ahead of them.
func TestRandomMixesKeepTheOrder(t *testing.T) {
	c := qt.New(t)
	const mixes = 100
	faulty := 0
	for seed := range uint64(mixes) {
		random := rand.New(rand.NewPCG(seed, 99))
		s := openReplay(0.7 + 1.5*random.Float64())
		s.upstreams = 4 + random.IntN(20)
		if random.IntN(2) == 0 {
			s = keyedReplay(0.5 + 1.5*random.Float64())
			s.upstreams = 6
		}
		s.mixed, s.duration = true, 12*time.Second
		total := 0.0
		priorities := random.Perm(3)
		for i := range s.kinds {
			k := &s.kinds[i]
			k.priority = priorities[i]
			k.share = 0.1 + random.Float64()
			k.work = time.Duration(80+random.IntN(900)) * time.Millisecond
			k.objective = time.Duration((2.5 + 3*random.Float64()) * float64(k.work))
			k.deadline = time.Duration((2.5 + 2*random.Float64()) * float64(k.objective))
			if random.IntN(3) == 0 {
				from := time.Duration(random.IntN(6)) * time.Second
				k.load = during(from, from+time.Duration(3+random.IntN(5))*time.Second, 1.6+0.7*random.Float64())
			}
			total += k.share
		}
		for i := range s.kinds {
			s.kinds[i].share /= total
		}
		results, _ := s.run()
		faults, starved := orderFaults(s, results)
		c.Check(starved, qt.HasLen, 0, qt.Commentf("seed %d", seed))
		if len(faults) > 0 {
			c.Logf("seed %d: %v", seed, faults)
			faulty++
		}
	}
	// Kinds compete at single owners, while their shares are those of the service: some short bursts are over before the order has
	// made up for them.
	c.Check(faulty <= mixes/100, qt.IsTrue, qt.Commentf("%d of %d mixes", faulty, mixes))
}

// TestKindsAreBounded covers a service whose configuration changes again and again, and one with very many kinds at once.
func TestKindsAreBounded(t *testing.T) {
	c := qt.New(t)
	p := newPool(dispatch.Share{})
	p.SetService(route.Service{
		Mixed: true,
	})
	p.SetUpstreams(0, states(2))
	id, sent := uint64(0), 0
	for now := time.Duration(0); now < 10*time.Minute; now += 100 * time.Millisecond {
		id++
		r := ticket(id, now)
		r.Class = fmt.Sprint(int(now / (2 * time.Second)))
		r.Priority = int(id % 3)
		p.Submit(now, r)
		for _, d := range p.Decide(now) {
			if d.Upstream != "" {
				sent++
				p.End(now, d.Ticket.ID, dispatch.Answered, 50*time.Millisecond, nil)
			}
		}
	}
	c.Check(sent, qt.Equals, int(id))
	classes := 0
	p.Costs(func(class *cost.Class) {
		classes++
		c.Check(class.Name, qt.Not(qt.Equals), "")
	})
	c.Check(classes <= 64, qt.IsTrue, qt.Commentf("%d classes", classes))
}

// benchmarkDecisions measures the decisions about a request, from its submission to its end, at 300 upstreams whose slots are all in
// use, or half of them.
func benchmarkDecisions(b *testing.B, mixed, keyed, full bool) {
	const upstreams, slots = 300, 2
	s := replay{
		upstreams: upstreams,
		slots:     slots,
		keyed:     keyed,
		mixed:     mixed,
	}
	s.startPool()
	var running []uint64
	step := func(id uint64, end bool) {
		s.now += time.Millisecond
		kind := openKinds()[id%2]
		s.pool.Submit(s.now, &dispatch.Ticket{
			ID:         id,
			Key:        uint32(id * 7919 % scaleKeys),
			Priority:   kind.priority,
			Idempotent: true,
			Zone:       "zone-0",
			Deadline:   s.now + kind.deadline,
			Objective:  s.now + kind.objective,
			Class:      "abcd"[id%2 : id%2+1],
		})
		for _, d := range s.pool.Decide(s.now) {
			if d.Upstream != "" {
				running = append(running, d.Ticket.ID)
			}
		}
		if end && len(running) > 0 {
			s.pool.End(s.now, running[0], dispatch.Answered, kind.work, &dispatch.Report{
				Load: []uint32{slots, 0, slots, 100},
			})
			running = running[1:]
		}
	}
	id, limit := uint64(0), upstreams*slots
	if !full {
		limit /= 2
	}
	for id < 2000 && len(running) < limit {
		id++
		step(id, false)
	}
	b.ResetTimer()
	for range b.N {
		id++
		step(id, true)
	}
}

func BenchmarkDecision(b *testing.B) {
	for _, keyed := range []bool{false, true} {
		for _, full := range []bool{false, true} {
			name := fmt.Sprintf("keyed=%t/full=%t", keyed, full)
			b.Run(name+"/before", func(b *testing.B) { benchmarkDecisions(b, false, keyed, full) })
			b.Run(name+"/after", func(b *testing.B) { benchmarkDecisions(b, true, keyed, full) })
		}
	}
}

// TestPredictionsAreCompared guards against a metric that says nothing of the model: expected and observed times agree within a
// fifth on average, also with an upstream that is slower than the others.
func TestPredictionsAreCompared(t *testing.T) {
	c := qt.New(t)
	s := openReplay(0.8)
	s.mixed = true
	s.run()
	stats := s.pool.Stats(s.now)
	c.Check(math.Abs(stats.Predicted.Seconds()/stats.Observed.Seconds()-1) < 0.2, qt.IsTrue, qt.Commentf("%v, observed %v", stats.Predicted, stats.Observed))
	c.Check(stats.PredictionError < stats.Observed/2, qt.IsTrue, qt.Commentf("%v of %v", stats.PredictionError, stats.Observed))
	classes := 0
	s.pool.Costs(func(class *cost.Class) {
		classes++
		c.Check(class.Samples > 300, qt.IsTrue)
		c.Logf("%s: predicted %v, observed %v, error %v", class.Name, class.Predicted, class.Observed, class.Error)
	})
	c.Check(classes, qt.Equals, 2)
	plain := openReplay(0.8)
	plain.run()
	c.Check(plain.pool.Stats(plain.now).Predicted, qt.Equals, time.Duration(0))
}

// TestNewPoolLearnsFromInstances guards against a coordinator that has just taken over and expects a part of the objective, at
// upstreams of average speed.
func TestNewPoolLearnsFromInstances(t *testing.T) {
	c := qt.New(t)
	p := newPool(dispatch.Share{})
	p.SetService(route.Service{
		Mixed: true,
	})
	p.SetUpstreams(0, states(2))
	p.LearnClass(cost.ClassEstimate{
		Class:     "a",
		Mean:      time.Second,
		Deviation: time.Second / 2,
		Samples:   100,
	})
	for _, incarnation := range []int64{1, 2} {
		p.LearnSpeed(cost.SpeedEstimate{
			Upstream:    "u00",
			Incarnation: incarnation,
			Factor:      float64(2 * incarnation),
			Samples:     20,
		})
	}
	r := ticket(1, 0)
	r.Class = "a"
	work := p.ExpectedWork(0, r)
	c.Check(work > 800*time.Millisecond && work < 1100*time.Millisecond, qt.IsTrue, qt.Commentf("%v", work))
	// An estimate of another start of the upstream must not count.
	ratio := p.WorkRate(0, "u01") / p.WorkRate(0, "u00")
	c.Check(ratio > 1.7 && ratio < 2.1, qt.IsTrue, qt.Commentf("%v", ratio))
}
