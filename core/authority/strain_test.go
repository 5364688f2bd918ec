package authority_test

import (
	"fmt"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"cuminlift/core/authority"
	"cuminlift/internal/fixedseed"
)

func TestMain(m *testing.M) {
	fixedseed.SetRapidFlags("300")
	os.Exit(m.Run())
}

// election simulates who holds the lease among instances of several classes. The connections of an overloaded coordinator fail after
// two seconds, unless it resigns before.
type election struct {
	now        time.Duration
	candidates []*candidate
	needed     authority.Resources
	// demandFactor is what the work really takes, as a multiple of what the slopes say.
	demandFactor float64
	holder       *candidate
	lostAt       time.Duration
	terms        []term
}

type candidate struct {
	authority.Candidate
	monitor *authority.Monitor
	strain  authority.Strain
	backoff authority.Backoff
	// degraded is true if the instance gets a third of its processor and link.
	degraded, killed bool
	since            time.Duration
}

type term struct {
	holder *candidate
	at     time.Duration
}

const electionStep = 50 * time.Millisecond

// overloaded reports whether a candidate gets less than the work takes on average, half of what counts as needed.
func (e *election) overloaded(x *candidate) bool {
	divisor := 1.0
	if x.degraded {
		divisor = 3
	}
	lacks := func(has, needed uint32) bool {
		return has != 0 && float64(has)/divisor < e.demandFactor*float64(needed)/2
	}
	return lacks(x.Own.CPUPermille, e.needed.CPUPermille) || lacks(x.Own.LinkMbps, e.needed.LinkMbps)
}

func (e *election) run(until time.Duration) {
	for ; e.now < until; e.now += electionStep {
		if e.holder != nil && !e.holder.killed {
			e.coordinate()
			continue
		}
		if e.holder != nil {
			e.holder, e.lostAt = nil, e.now
		}
		for _, x := range e.candidates {
			if e.takeOver(x) {
				break
			}
		}
	}
}

func (e *election) takeOver(x *candidate) bool {
	rank := x.backoff.Rank(e.now, x.Rank())
	if x.killed || !x.monitor.ShouldReadLease(e.now, rank) {
		return false
	}
	if _, ok := x.monitor.CanTakeLease(e.now, rank); !ok {
		return false
	}
	x.strain = authority.NewStrain(e.now, x.monitor.LastResignation())
	x.since = e.now
	e.holder = x
	e.terms = append(e.terms, term{
		holder: x,
		at:     e.now,
	})
	return true
}

func (e *election) coordinate() {
	x := e.holder
	var peers []authority.Resources
	for _, o := range e.candidates {
		if o != x && !o.killed {
			peers = append(peers, o.Own)
		}
	}
	best := authority.Best(e.needed, append(peers, x.Own))
	for _, o := range e.candidates {
		o.monitor.HeartbeatReceived(e.now, 0, uint64(len(e.terms)), uint64(len(e.terms)))
		o.Needed, o.Best, o.LargestCPUPermille = e.needed, best, best.CPUPermille
	}
	sample := authority.Sample{}
	if e.overloaded(x) {
		sample.Lag = time.Second
	}
	x.strain.Observe(e.now, sample)
	if !x.strain.Yields(e.now, x.Own, e.needed, peers) {
		return
	}
	x.backoff.TermEnded(e.now, x.since, true)
	e.holder, e.lostAt = nil, e.now
	for _, o := range e.candidates {
		o.monitor.CoordinatorResigned(e.now, uint64(len(e.terms)))
	}
}

// TestNoChainOfShortTerms guards against the lease moving from instance to instance, each of which is overloaded and resigns: 17 terms
// in 38 s. It plays mixed classes, loads that the slopes estimate wrongly, instances that get less than their settings say, and the
// loss of all large instances.
func TestNoChainOfShortTerms(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := &election{
			demandFactor: rapid.SampledFrom([]float64{0.5, 1, 2, 6}).Draw(t, "demand"),
		}
		classes := []authority.Resources{resources(120, 10), resources(400, 10), resources(800, 200)}
		for class, own := range classes {
			for i := range rapid.IntRange(0, 12).Draw(t, fmt.Sprint("class ", class)) {
				e.candidates = append(e.candidates, &candidate{
					Candidate: authority.Candidate{
						Name: fmt.Sprint("i", class, "-", i),
						Own:  own,
					},
					monitor:  authority.NewMonitor(0),
					degraded: rapid.IntRange(0, 9).Draw(t, "degraded") == 0,
				})
			}
		}
		if len(e.candidates) == 0 {
			return
		}
		load := mixedLoad
		load.RequestsPerSecond = rapid.SampledFrom([]float64{100, 500, 2000, 4000}).Draw(t, "rate")
		e.needed = load.Needs()
		for _, x := range e.candidates {
			x.monitor.LeaseRead(0, 1, 0)
		}
		const settled = 40 * time.Second
		e.run(settled)
		if len(e.terms) > 3 {
			t.Fatalf("%d terms in 40 s while nothing is killed", len(e.terms))
		}
		if e.holder == nil {
			t.Fatalf("no coordinator")
		}
		// All that are as large as the coordinator are lost; one of the others takes over and stays.
		lost := e.holder.Own
		left := 0
		for _, x := range e.candidates {
			if x.Own == lost {
				x.killed = true
			} else {
				left++
			}
		}
		before := len(e.terms)
		e.run(settled + 6*time.Second)
		if left > 0 && e.holder == nil {
			t.Fatalf("no coordinator 6 s after the loss of all large instances")
		}
		e.run(settled + 46*time.Second)
		if terms := len(e.terms) - before; terms > 3 {
			t.Fatalf("%d terms in 46 s after the loss of the large instances", terms)
		}
		if left > 0 && e.holder == nil {
			t.Fatalf("no coordinator at the end")
		}
	})
}

// TestOneSmallInstanceStaysCoordinator guards against small instances that hand the lease to each other where no larger one is left.
func TestOneSmallInstanceStaysCoordinator(t *testing.T) {
	c := qt.New(t)
	needed := mixedLoad.Needs()
	small, large := resources(120, 10), resources(800, 200)
	s := authority.NewStrain(0, 0)
	for now := time.Duration(0); now < 60*time.Second; now += electionStep {
		s.Observe(now, authority.Sample{
			Lag: time.Second,
		})
		c.Assert(s.Yields(now, small, needed, []authority.Resources{small, small}), qt.IsFalse)
	}
	now := 60 * time.Second
	c.Check(s.Sheds(now, small, needed), qt.IsTrue)
	c.Check(s.Yields(now, small, needed, []authority.Resources{small, large}), qt.IsTrue)
	// A peer of an earlier build tells no link, and is not taken for fitter.
	c.Check(s.Yields(now, small, needed, []authority.Resources{{CPUPermille: 800}}), qt.IsFalse)
}

// TestUnfitCoordinatorYieldsBeforeItIsStrained guards against an instance that took the lease before large ones had started, and that
// keeps it until its connections fail under full load.
func TestUnfitCoordinatorYieldsBeforeItIsStrained(t *testing.T) {
	c := qt.New(t)
	needed := mixedLoad.Needs()
	small, large := resources(400, 10), resources(800, 200)
	s := authority.NewStrain(0, 0)
	c.Check(s.Yields(time.Second, small, needed, []authority.Resources{small}), qt.IsFalse)
	c.Check(s.Yields(2*time.Second, small, needed, []authority.Resources{small, large}), qt.IsFalse)
	c.Check(s.Yields(3*time.Second, small, needed, []authority.Resources{small}), qt.IsFalse)
	c.Check(s.Yields(6*time.Second, small, needed, []authority.Resources{small, large}), qt.IsFalse)
	c.Check(s.Yields(9*time.Second, small, needed, []authority.Resources{small, large}), qt.IsTrue)
	// A load that all can carry moves nothing.
	s = authority.NewStrain(0, 0)
	for now := time.Duration(0); now < 10*time.Second; now += electionStep {
		c.Assert(s.Yields(now, small, authority.AssumedLoad(11, 36).Needs(), []authority.Resources{small, large}), qt.IsFalse)
	}
}

// A coordinator resigns in its second second, for a fitter instance that has just come back: the burst of the takeover strains it.
func TestTakeoverIsNotFollowedByAnotherWithinItsBurst(t *testing.T) {
	c := qt.New(t)
	needed := mixedLoad.Needs()
	small, large := resources(400, 10), resources(800, 200)
	const startedAt = 17 * time.Second
	s := authority.NewStrain(startedAt, 0)
	yieldedAt := time.Duration(0)
	for now := startedAt; yieldedAt == 0 && now < startedAt+10*time.Second; now += electionStep {
		s.Observe(now, authority.Sample{Lag: 700 * time.Millisecond})
		if s.Yields(now, small, needed, []authority.Resources{large}) {
			yieldedAt = now
		}
	}
	// Two terms together last longer than 5 s, and the fitter instance gets the lease all the same.
	c.Check(yieldedAt-startedAt, qt.Equals, 3*time.Second)
}

// TestShortStallsAreNoStrain guards against resignations for a pause of the process or a single burst, and for peers that are gone.
func TestShortStallsAreNoStrain(t *testing.T) {
	c := qt.New(t)
	s := authority.NewStrain(0, 0)
	s.Observe(time.Second, authority.Sample{Lag: 900 * time.Millisecond})
	s.Observe(1300*time.Millisecond, authority.Sample{})
	s.Observe(1800*time.Millisecond, authority.Sample{})
	s.Observe(2100*time.Millisecond, authority.Sample{Lag: 900 * time.Millisecond})
	c.Check(s.Strained(2100*time.Millisecond), qt.IsFalse)
	// One stall of 0.7 s, whose acknowledgements come late, too. Strain was reported half a second after its end.
	s = authority.NewStrain(0, 0)
	s.Observe(3*time.Second, authority.Sample{Lag: 700 * time.Millisecond})
	for now := 3 * time.Second; now < 4500*time.Millisecond; now += electionStep {
		sample := authority.Sample{}
		if now < 3600*time.Millisecond {
			sample.RoundTrip = 700 * time.Millisecond
		}
		s.Observe(now, sample)
		c.Check(s.Strained(now), qt.IsFalse, qt.Commentf("%v", now))
	}
	for now := 5 * time.Second; now < 8*time.Second; now += electionStep {
		s.Observe(now, authority.Sample{Peers: 10, TimedOut: 4})
		c.Check(s.Strained(now), qt.IsFalse)
	}
	for now := 8 * time.Second; now <= 9*time.Second; now += electionStep {
		s.Observe(now, authority.Sample{Peers: 10, TimedOut: 9})
	}
	c.Check(s.Strained(9*time.Second), qt.IsTrue)
}

// TestShortTermsWaitLonger guards against an instance that takes the lease again right after it has given it up.
func TestShortTermsWaitLonger(t *testing.T) {
	c := qt.New(t)
	var b authority.Backoff
	b.TermEnded(2*time.Second, 0, true)
	c.Check(authority.First(b.Rank(11*time.Second, 0)), qt.IsFalse)
	c.Check(b.Rank(12*time.Second, 3), qt.Equals, 3)
	b.TermEnded(15*time.Second, 13*time.Second, true)
	c.Check(authority.First(b.Rank(34*time.Second, 0)), qt.IsFalse)
	b.TermEnded(60*time.Second, 36*time.Second, true)
	b.TermEnded(62*time.Second, 61*time.Second, true)
	c.Check(b.Rank(72*time.Second, 0), qt.Equals, 0)
}

// TestShortStrainDoesNotMoveTheLease guards against a takeover in the middle of a burst or of a large configuration, which would strain the
// next coordinator as much.
func TestShortStrainDoesNotMoveTheLease(t *testing.T) {
	c := qt.New(t)
	able := authority.Resources{
		CPUPermille: 800,
		LinkMbps:    200,
	}
	needed := authority.Resources{
		CPUPermille: 200,
		LinkMbps:    50,
	}
	s := authority.NewStrain(0, 0)
	yielded := time.Duration(0)
	for now := time.Duration(0); now < 30*time.Second && yielded == 0; now += 200 * time.Millisecond {
		s.Observe(now, authority.Sample{
			Lag: 10 * time.Second,
		})
		if s.Yields(now, able, needed, []authority.Resources{able}) {
			yielded = now
		}
	}
	c.Check(yielded >= 8*time.Second, qt.IsTrue, qt.Commentf("yielded after %v", yielded))
}
