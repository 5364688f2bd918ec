package authority_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminlift/core/authority"
)

// refuseSome makes the store refuse any subset of the instances but one, often with the present coordinator among them. It does so at
// intervals of some seconds, or of less than one.
func (s *simulation) refuseSome() {
	if s.random.IntN(4) > 0 {
		return
	}
	served := s.random.IntN(len(s.instances))
	for n, i := range s.instances {
		i.storeDenied = n != served && (s.random.IntN(2) == 0 || (i.lead != nil && s.random.IntN(4) > 0))
	}
}

// TestRefusalsMoveTheLeaseAtMostTwiceInFiveSeconds guards against a lease that goes from instance to instance while the store refuses one
// after the other, and against a refused coordinator that stays although another instance reaches the store.
func TestRefusalsMoveTheLeaseAtMostTwiceInFiveSeconds(t *testing.T) {
	c := qt.New(t)
	moved := 0
	for seed := range uint64(modelSeeds) {
		s := newSimulation(seed)
		s.refusals = true
		refusedFor := time.Duration(0)
		for s.now < 2*time.Minute {
			s.run(s.now + 10*time.Millisecond)
			refusedFor += 10 * time.Millisecond
			for _, i := range s.instances {
				if i.lead != nil && !i.storeDenied {
					refusedFor = 0
				}
			}
			// The term may have begun just before, and those that are served may change.
			c.Assert(refusedFor < 12*time.Second, qt.IsTrue, qt.Commentf("seed %d: refused at %v", seed, s.now))
		}
		c.Assert(s.failure, qt.Equals, "", qt.Commentf("seed %d", seed))
		for i := 2; i < len(s.starts); i++ {
			between := s.starts[i] - s.starts[i-2]
			c.Assert(between > 5*time.Second, qt.IsTrue, qt.Commentf("seed %d: three terms in %v, up to %v", seed, between, s.starts[i]))
		}
		moved += len(s.starts)
	}
	c.Check(moved > 10*modelSeeds, qt.IsTrue, qt.Commentf("%d terms", moved))
	t.Logf("%d terms in %d histories", moved, modelSeeds)
}

// TestCoordinatorThatStaysBehindResigns guards against a coordinator with outdated tables whose followers reach the store off and on, so
// that none does for long.
func TestCoordinatorThatStaysBehindResigns(t *testing.T) {
	const ms = time.Millisecond
	c := qt.New(t)
	l := authority.NewLeadership(0)
	l.SetMembers([]string{"a"})
	l.RenewalFailed(4000 * ms)
	l.TablesBehind(4200*ms, true)
	l.Acknowledged("a", 5100*ms, true)
	c.Check(l.ShouldResign(5100*ms), qt.IsFalse)
	c.Check(l.ShouldResign(5200*ms), qt.IsTrue)
	l.TablesBehind(5150*ms, true)
	c.Check(l.ShouldResign(5200*ms), qt.IsFalse, qt.Commentf("it has got rows meanwhile"))
	l.TablesBehind(4200*ms, true)
	l.Acknowledged("a", 5300*ms, false)
	c.Check(l.ShouldResign(5300*ms), qt.IsFalse, qt.Commentf("none could succeed it"))
	l.Acknowledged("a", 5400*ms, true)
	c.Check(l.ShouldResign(5400*ms), qt.IsTrue)
	l.TablesBehind(0, false)
	c.Check(l.ShouldResign(5400*ms), qt.IsFalse)
	// A term that has just begun does not end for this.
	l = authority.NewLeadership(4000 * ms)
	l.SetMembers([]string{"a"})
	l.RenewalFailed(4000 * ms)
	l.TablesBehind(4000*ms, true)
	l.Acknowledged("a", 6900*ms, true)
	c.Check(l.ShouldResign(6900*ms), qt.IsFalse)
	c.Check(l.ShouldResign(7000*ms), qt.IsTrue)
}
