package authority_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminlift/core/authority"
)

func TestLeadershipExpiresWithoutRenewal(t *testing.T) {
	c := qt.New(t)
	l := authority.NewLeadership(time.Second)
	l.SetMembers([]string{"a", "b"})
	c.Check(l.Valid(time.Second+authority.LeaseDuration-1), qt.IsTrue)
	c.Check(l.Valid(time.Second+authority.LeaseDuration), qt.IsFalse)
	l.Acknowledged("a", 3*time.Second, false)
	c.Check(l.Valid(3*time.Second), qt.IsFalse, qt.Commentf("only one of two members has acknowledged"))
	l.Acknowledged("b", 2500*time.Millisecond, false)
	c.Check(l.Valid(3*time.Second), qt.IsTrue)
	c.Check(l.Valid(2500*time.Millisecond+authority.LeaseDuration), qt.IsFalse)
	l.Resign()
	c.Check(l.Valid(time.Second), qt.IsFalse)
}

func TestCoordinatorResignsOnlyIfAnotherReachesTheStore(t *testing.T) {
	c := qt.New(t)
	l := authority.NewLeadership(0)
	l.SetMembers([]string{"a"})
	l.RenewalFailed(time.Second)
	l.Acknowledged("a", 2*time.Second, false)
	c.Check(l.ShouldResign(2*time.Second), qt.IsFalse)
	l.Acknowledged("a", 2*time.Second, true)
	c.Check(l.ShouldResign(2*time.Second), qt.IsFalse, qt.Commentf("the store may have come back just now"))
	l.Acknowledged("a", 3200*time.Millisecond, true)
	c.Check(l.ShouldResign(3200*time.Millisecond), qt.IsTrue)
	l.Acknowledged("a", 3300*time.Millisecond, false)
	c.Check(l.ShouldResign(3300*time.Millisecond), qt.IsFalse)
	l.Acknowledged("a", 3400*time.Millisecond, true)
	c.Check(l.ShouldResign(3400*time.Millisecond), qt.IsFalse)
	l.Acknowledged("a", 4700*time.Millisecond, true)
	c.Check(l.ShouldResign(4700*time.Millisecond), qt.IsTrue)
	l.Renewed(5 * time.Second)
	c.Check(l.ShouldResign(5*time.Second), qt.IsFalse)
}

func TestResignationAppliesToItsTermOnly(t *testing.T) {
	c := qt.New(t)
	m := authority.NewMonitor(0)
	m.LeaseRead(time.Second, 10, 3)
	_, ok := m.CanTakeLease(time.Second, 0)
	c.Check(ok, qt.IsFalse)
	m.CoordinatorResigned(time.Second, 2)
	_, ok = m.CanTakeLease(time.Second, 0)
	c.Check(ok, qt.IsFalse, qt.Commentf("the resignation is of an older term"))
	m.CoordinatorResigned(time.Second, 3)
	version, ok := m.CanTakeLease(time.Second, 0)
	c.Check(ok, qt.IsTrue)
	c.Check(version, qt.Equals, uint64(10))
}

// TestResignationHandsOverWithoutTheTakeoverDelay guards against seconds without a coordinator after a planned stop: the
// instances knew of the resignation, and still waited for as long as after a loss.
func TestResignationHandsOverWithoutTheTakeoverDelay(t *testing.T) {
	c := qt.New(t)
	const resignedAt = 1100 * time.Millisecond
	for rank := range 3 {
		m := authority.NewMonitor(0)
		m.HeartbeatReceived(time.Second, 0, 10, 3)
		m.CoordinatorResigned(resignedAt, 3)
		turn := resignedAt + time.Duration(rank)*authority.HeartbeatInterval/4
		if rank > 0 {
			c.Check(m.ShouldReadLease(turn-1, rank), qt.IsFalse, qt.Commentf("rank %d", rank))
		}
		c.Check(m.ShouldReadLease(turn, rank), qt.IsTrue, qt.Commentf("rank %d", rank))
		c.Check(m.NextLeaseRead(rank, 65) <= turn, qt.IsTrue, qt.Commentf("rank %d", rank))
		m.LeaseRead(turn, 10, 3)
		version, ok := m.CanTakeLease(turn, rank)
		c.Check(ok, qt.IsTrue)
		c.Check(version, qt.Equals, uint64(10))
		// Another instance was faster.
		m.LeaseRead(turn, 11, 4)
		_, ok = m.CanTakeLease(turn, rank)
		c.Check(ok, qt.IsFalse)
		c.Check(m.NextLeaseRead(rank, 65) > turn, qt.IsTrue)
	}
}

// A renewal that no heartbeat has told of makes the takeover wait for twice the takeover delay.
func TestUntoldRenewalDoublesTheTakeoverDelay(t *testing.T) {
	c := qt.New(t)
	silent := 10 * time.Second
	m := authority.NewMonitor(0)
	m.HeartbeatReceived(silent, 0, 7, 1)
	const rank = 1
	takenAt := time.Duration(0)
	for now := silent; takenAt == 0 && now < silent+10*time.Second; now += 10 * time.Millisecond {
		if !m.ShouldReadLease(now, rank) || now < m.NextLeaseRead(rank, 65) {
			continue
		}
		m.LeaseRead(now, 8, 1)
		if version, ok := m.CanTakeLease(now, rank); ok {
			c.Check(version, qt.Equals, uint64(8))
			takenAt = now
		}
	}
	c.Check(takenAt-silent < authority.TakeoverDelay+time.Second, qt.IsTrue, qt.Commentf("taken %v after the last heartbeat", takenAt-silent))
	c.Check(takenAt-silent >= authority.TakeoverDelay, qt.IsTrue)
}

// TestReadExecutedLateDelaysTakeover guards against a second coordinator: the store executed a read long after it was sent, so
// the version that it returned was written after the read was sent.
func TestReadExecutedLateDelaysTakeover(t *testing.T) {
	c := qt.New(t)
	const renewalSent, readAnswered = 1400 * time.Millisecond, 1500 * time.Millisecond
	l := authority.NewLeadership(renewalSent)
	l.SetMembers([]string{"a"})
	m := authority.NewMonitor(0)
	m.LeaseRead(readAnswered, 7, 1)
	for now := readAnswered; now < l.ValidUntil(); now += 10 * time.Millisecond {
		_, ok := m.CanTakeLease(now, 0)
		c.Assert(ok, qt.IsFalse, qt.Commentf("at %v", now))
	}
	_, ok := m.CanTakeLease(readAnswered+authority.TakeoverDelay, 0)
	c.Check(ok, qt.IsTrue)
}

// The model simulates instances with a single lease row. At random, instances pause, and lose contact with the store
// and with each other.

type instance struct {
	name    string
	lead    *authority.Leadership
	monitor *authority.Monitor
	term    uint64
	// version is the lease version known to the holder, of leaseEra.
	version, leaseEra uint64
	// era is the newest era of the store that the instance knows of, and rewriting is true while the lease is written in it again.
	era           uint64
	rewriting     bool
	lastRenewal   time.Duration
	lastHeartbeat time.Duration
	lastRead      time.Duration
	// pausedUntil is the end of a pause of the process. storeDenied is true while the store rejects the instance.
	pausedUntil     time.Duration
	storeDenied     bool
	takeoverPending bool
	lastStoreAnswer time.Duration
}

type event struct {
	at    time.Duration
	to    *instance
	apply func()
}

type simulation struct {
	random           *rand.Rand
	now              time.Duration
	instances        []*instance
	partitioned      map[string]bool
	storeDown        bool
	lease            leaseState
	era              uint64
	history          []leaseState
	terms            map[uint64]string
	events           []event
	coordinatedSteps int
	failure          string
	// countFromAnswer is a mutant that counts renewals and acknowledgements from their answers, which may be seconds
	// old.
	countFromAnswer bool
	// takeoverTooEarly is a mutant that takes over before the leadership of the last coordinator has expired.
	takeoverTooEarly bool
	// countReadsFromSending is a mutant that takes a version for as old as the read that returned it.
	countReadsFromSending bool
	// The following mutants concern a store that comes back older. ignoreEraOfWrites takes a write that another era has applied
	// for one under its own precondition, keepVersionsOverEras takes an equal version of another era for the same, and reuseTerms gives
	// the terms of an era out again.
	ignoreEraOfWrites, keepVersionsOverEras, reuseTerms bool
	// drills is true if the store may come back older. refusals is true if the only fault is that it refuses some instances, though
	// never all, for a time.
	drills, refusals bool
	// starts are the times at which terms begin.
	starts []time.Duration
}

// leaseState is the lease's row at a time.
type leaseState struct {
	at            time.Duration
	version, term uint64
}

func newSimulation(seed uint64) *simulation {
	s := &simulation{
		random:      rand.New(rand.NewPCG(seed, 3)),
		partitioned: map[string]bool{},
		era:         1,
		terms:       map[uint64]string{},
	}
	for i := range 4 {
		s.instances = append(s.instances, &instance{
			name:    fmt.Sprint("i", i),
			monitor: authority.NewMonitor(0),
		})
	}
	return s
}

func (s *simulation) send(to *instance, delay time.Duration, apply func()) {
	s.events = append(s.events, event{
		at:    s.now + delay,
		to:    to,
		apply: apply,
	})
}

func (s *simulation) others(i *instance) []string {
	var names []string
	for _, o := range s.instances {
		if o != i {
			names = append(names, o.name)
		}
	}
	return names
}

func (s *simulation) messageDelay() time.Duration {
	return time.Duration(1+s.random.IntN(40)) * time.Millisecond
}

// drill brings the store back from a copy that is up to five seconds old.
func (s *simulation) drill() {
	at := s.now - time.Duration(s.random.IntN(5000))*time.Millisecond
	s.lease = leaseState{}
	for _, old := range s.history {
		if old.at <= at {
			s.lease = old
		}
	}
	s.history = append(s.history[:0:0], s.lease)
	s.era++
}

// learnEra makes an instance know of an era of the store.
func (s *simulation) learnEra(i *instance, era uint64) {
	if era <= i.era {
		return
	}
	i.era = era
	if !s.keepVersionsOverEras {
		i.monitor.EraChanged(era)
	}
}

// commit writes the lease if it still has the given version, which was read in era. The write may be delayed and the answer lost.
func (s *simulation) commit(i *instance, era, version, term uint64, answer func(version uint64, ok bool)) {
	if s.storeDown || i.storeDenied {
		return
	}
	delay := s.storeDelay()
	lost := s.random.Float64() < 0.1
	s.events = append(s.events, event{
		at: s.now + delay,
		apply: func() {
			ok := s.lease.version == version
			if ok {
				s.lease = leaseState{
					at:      s.now,
					version: s.lease.version + 1,
					term:    term,
				}
				s.history = append(s.history, s.lease)
			}
			written, appliedIn := s.lease.version, s.era
			if lost || delay >= 700*time.Millisecond {
				return
			}
			s.send(i, s.messageDelay(), func() {
				s.learnEra(i, appliedIn)
				answer(written, ok && (appliedIn == era || s.ignoreEraOfWrites))
			})
		},
	})
}

func (s *simulation) step(i *instance) {
	if s.now < i.pausedUntil {
		return
	}
	if i.lead != nil {
		s.lead(i)
		return
	}
	if i.takeoverPending || !i.monitor.ShouldReadLease(s.now, 0) || s.now < i.monitor.NextLeaseRead(0, 3) || s.now-i.lastRead < 250*time.Millisecond || s.storeDown || i.storeDenied {
		if s.takeoverTooEarly && !i.takeoverPending && i.monitor.ShouldReadLease(s.now, 0) {
			s.takeOver(i, s.era, s.lease.version, s.lease.term)
		}
		return
	}
	i.lastRead = s.now
	sent := s.now
	s.readLease(func(era, version, term uint64) {
		if era < i.era {
			return
		}
		s.learnEra(i, era)
		i.lastStoreAnswer = s.now
		seen := s.now
		if s.countReadsFromSending {
			seen = sent
		}
		i.monitor.LeaseRead(seen, version, term)
		if v, ok := i.monitor.CanTakeLease(s.now, 0); ok && i.lead == nil {
			s.takeOver(i, era, v, term)
		}
	}, i)
}

// readLease reads the lease for an instance. The store may execute the read, and the answer may arrive, late.
func (s *simulation) readLease(answer func(era, version, term uint64), i *instance) {
	s.events = append(s.events, event{
		at: s.now + s.storeDelay(),
		apply: func() {
			era, lease := s.era, s.lease
			s.send(i, s.messageDelay(), func() { answer(era, lease.version, lease.term) })
		},
	})
}

// storeDelay is the time from sending a call until the store executes it, at times seconds.
func (s *simulation) storeDelay() time.Duration {
	if s.random.Float64() < 0.05 {
		return time.Duration(s.random.IntN(3000)) * time.Millisecond
	}
	return s.messageDelay()
}

func (s *simulation) takeOver(i *instance, era, version, term uint64) {
	i.takeoverPending = true
	sent := s.now
	done := false
	next := authority.NextTerm(term, era, version)
	if s.reuseTerms {
		next = term + 1
	}
	s.commit(i, era, version, next, func(written uint64, ok bool) {
		if done {
			return
		}
		done = true
		i.takeoverPending = false
		if ok {
			i.lead = authority.NewLeadership(sent)
			i.lead.SetMembers(s.others(i))
			s.takeTerm(i, next)
			i.version, i.leaseEra, i.rewriting = written, era, false
			i.lastRenewal = s.now
			return
		}
		i.monitor = s.newMonitor(i)
	})
	s.send(i, 700*time.Millisecond, func() {
		if !done {
			done = true
			i.takeoverPending = false
			i.monitor = s.newMonitor(i)
		}
	})
}

// takeTerm gives an instance a term, which no other may ever have had.
func (s *simulation) takeTerm(i *instance, term uint64) {
	if holder, given := s.terms[term]; given {
		s.failure = fmt.Sprintf("at %v %s gets term %d, which %s had", s.now, i.name, term, holder)
	}
	s.terms[term] = i.name
	s.starts = append(s.starts, s.now)
	i.term = term
}

// newMonitor returns a monitor for an instance that goes on knowing the store's era.
func (s *simulation) newMonitor(i *instance) *authority.Monitor {
	m := authority.NewMonitor(s.now)
	m.EraChanged(i.era)
	return m
}

func (s *simulation) lead(i *instance) {
	if !i.lead.Valid(s.now) || i.lead.ShouldResign(s.now) {
		i.lead = nil
		i.monitor = s.newMonitor(i)
		for _, o := range s.instances {
			if o != i && !s.partitioned[i.name+o.name] {
				term := i.term
				s.send(o, s.messageDelay(), func() { o.monitor.CoordinatorResigned(s.now, term) })
			}
		}
		return
	}
	if i.era != i.leaseEra {
		s.rewriteLease(i)
	} else if s.now-i.lastRenewal >= authority.RenewInterval {
		i.lastRenewal = s.now
		sent, l := s.now, i.lead
		if s.storeDown || i.storeDenied {
			l.RenewalFailed(s.now)
		}
		s.commit(i, i.leaseEra, i.version, i.term, func(version uint64, ok bool) {
			if i.lead != l {
				return
			}
			if !ok {
				if s.lease.term == i.term && s.era == i.leaseEra {
					i.version = s.lease.version
					return
				}
				l.Resign()
				return
			}
			i.version = version
			if s.countFromAnswer {
				sent = s.now
			}
			l.Renewed(sent)
		})
	}
	if s.now-i.lastHeartbeat >= authority.HeartbeatInterval {
		i.lastHeartbeat = s.now
		for _, o := range s.instances {
			if o != i {
				s.sendHeartbeat(i, o)
			}
		}
	}
}

// rewriteLease writes the lease of an acting coordinator again, after the store has come back older.
func (s *simulation) rewriteLease(i *instance) {
	if i.rewriting || s.now-i.lastRenewal < authority.RenewInterval/2 || s.storeDown || i.storeDenied {
		return
	}
	i.rewriting = true
	i.lastRenewal = s.now
	l := i.lead
	s.send(i, 700*time.Millisecond, func() { i.rewriting = false })
	s.readLease(func(era, version, term uint64) {
		if i.lead != l || era < i.era {
			return
		}
		s.learnEra(i, era)
		if !l.Valid(s.now) {
			return
		}
		sent, next := s.now, authority.NextTerm(term, era, version)
		s.commit(i, era, version, next, func(written uint64, ok bool) {
			if i.lead != l || !ok || i.era != era {
				return
			}
			s.takeTerm(i, next)
			i.version, i.leaseEra = written, era
			l.Renewed(sent)
		})
	}, i)
}

func (s *simulation) sendHeartbeat(i, o *instance) {
	if s.partitioned[i.name+o.name] {
		return
	}
	sent, l, term, version, era := s.now, i.lead, i.term, i.version, i.leaseEra
	s.send(o, s.messageDelay(), func() {
		s.learnEra(o, era)
		if o.lead != nil && o.term >= term || o.takeoverPending || s.partitioned[o.name+i.name] {
			return
		}
		o.monitor.HeartbeatReceived(s.now, era, version, term)
		reached, replyEra := s.now-o.lastStoreAnswer < 25*time.Second, o.era
		if s.refusals {
			reached = !o.storeDenied
		}
		s.send(i, s.messageDelay(), func() {
			s.learnEra(i, replyEra)
			if s.countFromAnswer {
				sent = s.now
			}
			if i.lead == l {
				l.Acknowledged(o.name, sent, reached)
			}
		})
	})
}

func (s *simulation) injectFault() {
	if s.refusals {
		s.refuseSome()
		return
	}
	i := s.instances[s.random.IntN(len(s.instances))]
	o := s.instances[s.random.IntN(len(s.instances))]
	switch s.random.IntN(9) {
	case 7, 8:
		if s.drills {
			s.drill()
		}
	case 0:
		i.pausedUntil = s.now + time.Duration(s.random.IntN(4000))*time.Millisecond
	case 1:
		s.partitioned[i.name+o.name] = !s.partitioned[i.name+o.name]
	case 2:
		i.storeDenied = !i.storeDenied
	case 3:
		s.storeDown = !s.storeDown
	case 4:
		s.partitioned = map[string]bool{}
	case 5:
		s.storeDown = false
		i.storeDenied = false
	case 6:
		// The instance restarts without any state. If it was the coordinator, it no longer is.
		i.lead = nil
		i.takeoverPending = false
		i.monitor = authority.NewMonitor(s.now)
		i.era = 0
	}
}

func (s *simulation) run(length time.Duration) {
	for s.now < length && s.failure == "" {
		s.now += 10 * time.Millisecond
		pending := s.events
		s.events = nil
		for _, e := range pending {
			// Messages to a paused instance are delivered after the pause.
			if e.at > s.now || (e.to != nil && s.now < e.to.pausedUntil) {
				s.events = append(s.events, e)
				continue
			}
			e.apply()
		}
		if s.random.Float64() < 0.01 {
			s.injectFault()
		}
		var acting []string
		for _, i := range s.instances {
			s.step(i)
			if i.lead != nil && i.lead.Valid(s.now) && s.now >= i.pausedUntil {
				acting = append(acting, fmt.Sprintf("%s (term %d)", i.name, i.term))
			}
		}
		if len(acting) > 0 {
			s.coordinatedSteps++
		}
		if len(acting) > 1 {
			s.failure = fmt.Sprintf("at %v more than one instance may act: %v", s.now, acting)
		}
	}
}

// modelSeeds is the number of random histories, of two minutes each.
const modelSeeds = 100

func TestNeverTwoCoordinatorsUnderRandomFaults(t *testing.T) {
	for _, drills := range []bool{false, true} {
		c := qt.New(t)
		coordinatedSteps := 0
		for seed := range uint64(modelSeeds) {
			s := newSimulation(seed)
			s.drills = drills
			s.run(2 * time.Minute)
			c.Check(s.failure, qt.Equals, "", qt.Commentf("seed %d, drills %v", seed, drills))
			coordinatedSteps += s.coordinatedSteps
		}
		// A fault occurs every second on average. There must still be a coordinator for much of the time.
		c.Check(coordinatedSteps > modelSeeds*12000/4, qt.IsTrue, qt.Commentf("%d of %d, drills %v", coordinatedSteps, modelSeeds*12000, drills))
	}
}

func TestModelDetectsMutants(t *testing.T) {
	for name, enableMutant := range map[string]func(*simulation){
		"counts from the answer":    func(s *simulation) { s.countFromAnswer = true },
		"takes over too early":      func(s *simulation) { s.takeoverTooEarly = true },
		"counts from the read":      func(s *simulation) { s.countReadsFromSending = true },
		"ignores the era of writes": func(s *simulation) { s.drills, s.ignoreEraOfWrites = true, true },
		"keeps versions over eras":  func(s *simulation) { s.drills, s.keepVersionsOverEras = true, true },
		"gives terms out again":     func(s *simulation) { s.drills, s.reuseTerms = true, true },
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			found := false
			for seed := uint64(0); seed < 10*modelSeeds && !found; seed++ {
				s := newSimulation(seed)
				enableMutant(s)
				s.run(2 * time.Minute)
				found = s.failure != ""
			}
			c.Check(found, qt.IsTrue)
		})
	}
}

// A coordinator without paths to upstreams lets the grants of their keys run out (RECOVER).
func TestCoordinatorWithoutPathsResignsOnlyIfAnotherHasThem(t *testing.T) {
	const ms = time.Millisecond
	c := qt.New(t)
	l := authority.NewLeadership(0)
	l.SetMembers([]string{"n1", "n2"})
	l.Acknowledged("n1", 900*ms, false)
	l.Acknowledged("n2", 900*ms, false)
	l.PathsLost(1000*ms, true)
	c.Check(l.ShouldResign(1300*ms), qt.IsFalse)
	l.MemberPaths("n2", true)
	c.Check(l.ShouldResign(1100*ms), qt.IsFalse)
	c.Check(l.ShouldResign(1200*ms), qt.IsTrue)
	// Without the store none could follow.
	l.RenewalFailed(1200 * ms)
	c.Check(l.ShouldResign(1300*ms), qt.IsFalse)
	l.Renewed(1300 * ms)
	c.Check(l.ShouldResign(1300*ms), qt.IsTrue)
	// A member that has not answered for long is no successor.
	c.Check(l.ShouldResign(900*ms+authority.LeaseDuration), qt.IsFalse)
	l.Acknowledged("n2", 2000*ms, false)
	l.PathsLost(2000*ms, false)
	c.Check(l.ShouldResign(2100*ms), qt.IsFalse)
	// Whoever has paths comes first, however small.
	for _, name := range []string{"a", "b", "c", "d", "e", "f"} {
		without := authority.RankWithoutPaths(authority.Rank(name, 800, 800))
		c.Check(without > authority.Rank("small-"+name, 100, 800), qt.IsTrue)
	}
}
