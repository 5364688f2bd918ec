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
	c.Check(l.ShouldResign(2*time.Second), qt.IsTrue)
	l.Renewed(2 * time.Second)
	c.Check(l.ShouldResign(2*time.Second), qt.IsFalse)
}

func TestResignationAppliesToItsTermOnly(t *testing.T) {
	c := qt.New(t)
	w := authority.NewMonitor(0)
	w.LeaseRead(time.Second, 10, 3)
	_, ok := w.CanTakeLease(time.Second, 0)
	c.Check(ok, qt.IsFalse)
	w.CoordinatorResigned(2)
	_, ok = w.CanTakeLease(time.Second, 0)
	c.Check(ok, qt.IsFalse, qt.Commentf("the resignation is of an older term"))
	w.CoordinatorResigned(3)
	version, ok := w.CanTakeLease(time.Second, 0)
	c.Check(ok, qt.IsTrue)
	c.Check(version, qt.Equals, uint64(10))
}

// The model simulates instances with a single lease row. At random, instances pause, and lose contact with the store
// and with each other.

type instance struct {
	name    string
	lead    *authority.Leadership
	monitor *authority.Monitor
	term    uint64
	// version is the lease version known to the holder.
	version       uint64
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
	version          uint64
	term             uint64
	events           []event
	coordinatedSteps int
	failure          string
	// countFromAnswer is a mutant that counts renewals and acknowledgements from their answers, which may be seconds
	// old.
	countFromAnswer bool
	// takeoverTooEarly is a mutant that takes over before the leadership of the last coordinator has expired.
	takeoverTooEarly bool
}

func newSimulation(seed uint64) *simulation {
	w := &simulation{
		random:      rand.New(rand.NewPCG(seed, 3)),
		partitioned: map[string]bool{},
	}
	for i := range 4 {
		w.instances = append(w.instances, &instance{
			name:    fmt.Sprint("i", i),
			monitor: authority.NewMonitor(0),
		})
	}
	return w
}

func (w *simulation) send(to *instance, delay time.Duration, apply func()) {
	w.events = append(w.events, event{
		at:    w.now + delay,
		to:    to,
		apply: apply,
	})
}

func (w *simulation) others(i *instance) []string {
	var names []string
	for _, o := range w.instances {
		if o != i {
			names = append(names, o.name)
		}
	}
	return names
}

func (w *simulation) messageDelay() time.Duration {
	return time.Duration(1+w.random.IntN(40)) * time.Millisecond
}

// commit writes the lease if it still has the given version. The write may be delayed and the answer lost.
func (w *simulation) commit(i *instance, version, term uint64, answer func(version uint64, ok bool)) {
	if w.storeDown || i.storeDenied {
		return
	}
	delay := w.messageDelay()
	if w.random.Float64() < 0.05 {
		delay = time.Duration(w.random.IntN(3000)) * time.Millisecond
	}
	lost := w.random.Float64() < 0.1
	w.events = append(w.events, event{
		at: w.now + delay,
		apply: func() {
			ok := w.version == version
			if ok {
				w.version++
				w.term = term
			}
			written := w.version
			if !lost && delay < 700*time.Millisecond {
				w.send(i, w.messageDelay(), func() { answer(written, ok) })
			}
		},
	})
}

func (w *simulation) step(i *instance) {
	if w.now < i.pausedUntil {
		return
	}
	if i.lead != nil {
		w.lead(i)
		return
	}
	if i.takeoverPending || !i.monitor.ShouldReadLease(w.now, 0) || w.now < i.monitor.NextLeaseRead(0) || w.now-i.lastRead < 250*time.Millisecond || w.storeDown || i.storeDenied {
		if w.takeoverTooEarly && !i.takeoverPending && i.monitor.ShouldReadLease(w.now, 0) {
			w.takeOver(i, w.version, w.term)
		}
		return
	}
	i.lastRead = w.now
	sent, version, term := w.now, w.version, w.term
	w.send(i, w.messageDelay(), func() {
		i.lastStoreAnswer = w.now
		i.monitor.LeaseRead(sent, version, term)
		if v, ok := i.monitor.CanTakeLease(w.now, 0); ok && i.lead == nil {
			w.takeOver(i, v, term)
		}
	})
}

func (w *simulation) takeOver(i *instance, version, term uint64) {
	i.takeoverPending = true
	sent := w.now
	done := false
	w.commit(i, version, term+1, func(written uint64, ok bool) {
		if done {
			return
		}
		done = true
		i.takeoverPending = false
		if ok {
			i.lead = authority.NewLeadership(sent)
			i.lead.SetMembers(w.others(i))
			i.term = term + 1
			i.version = written
			i.lastRenewal = w.now
			return
		}
		i.monitor = authority.NewMonitor(w.now)
	})
	w.send(i, 700*time.Millisecond, func() {
		if !done {
			done = true
			i.takeoverPending = false
			i.monitor = authority.NewMonitor(w.now)
		}
	})
}

func (w *simulation) lead(i *instance) {
	if !i.lead.Valid(w.now) || i.lead.ShouldResign(w.now) {
		i.lead = nil
		i.monitor = authority.NewMonitor(w.now)
		for _, o := range w.instances {
			if o != i && !w.partitioned[i.name+o.name] {
				term := i.term
				w.send(o, w.messageDelay(), func() { o.monitor.CoordinatorResigned(term) })
			}
		}
		return
	}
	if w.now-i.lastRenewal >= authority.RenewInterval {
		i.lastRenewal = w.now
		sent, l := w.now, i.lead
		if w.storeDown || i.storeDenied {
			l.RenewalFailed(w.now)
		}
		w.commit(i, i.version, i.term, func(version uint64, ok bool) {
			if i.lead != l {
				return
			}
			if !ok {
				if w.term == i.term {
					i.version = w.version
					return
				}
				l.Resign()
				return
			}
			i.version = version
			if w.countFromAnswer {
				sent = w.now
			}
			l.Renewed(sent)
		})
	}
	if w.now-i.lastHeartbeat >= authority.HeartbeatInterval {
		i.lastHeartbeat = w.now
		for _, o := range w.instances {
			if o != i {
				w.sendHeartbeat(i, o)
			}
		}
	}
}

func (w *simulation) sendHeartbeat(i, o *instance) {
	if w.partitioned[i.name+o.name] {
		return
	}
	sent, l, term, version := w.now, i.lead, i.term, i.version
	w.send(o, w.messageDelay(), func() {
		if o.lead != nil && o.term >= term || o.takeoverPending || w.partitioned[o.name+i.name] {
			return
		}
		o.monitor.HeartbeatReceived(w.now, version, term)
		reached := w.now-o.lastStoreAnswer < 25*time.Second
		w.send(i, w.messageDelay(), func() {
			if w.countFromAnswer {
				sent = w.now
			}
			if i.lead == l {
				l.Acknowledged(o.name, sent, reached)
			}
		})
	})
}

func (w *simulation) injectFault() {
	i := w.instances[w.random.IntN(len(w.instances))]
	o := w.instances[w.random.IntN(len(w.instances))]
	switch w.random.IntN(7) {
	case 0:
		i.pausedUntil = w.now + time.Duration(w.random.IntN(4000))*time.Millisecond
	case 1:
		w.partitioned[i.name+o.name] = !w.partitioned[i.name+o.name]
	case 2:
		i.storeDenied = !i.storeDenied
	case 3:
		w.storeDown = !w.storeDown
	case 4:
		w.partitioned = map[string]bool{}
	case 5:
		w.storeDown = false
		i.storeDenied = false
	case 6:
		// The instance restarts without any state. If it was the coordinator, it no longer is.
		i.lead = nil
		i.takeoverPending = false
		i.monitor = authority.NewMonitor(w.now)
	}
}

func (w *simulation) run(length time.Duration) {
	for w.now < length && w.failure == "" {
		w.now += 10 * time.Millisecond
		pending := w.events
		w.events = nil
		for _, e := range pending {
			// Messages to a paused instance are delivered after the pause.
			if e.at > w.now || (e.to != nil && w.now < e.to.pausedUntil) {
				w.events = append(w.events, e)
				continue
			}
			e.apply()
		}
		if w.random.Float64() < 0.01 {
			w.injectFault()
		}
		var acting []string
		for _, i := range w.instances {
			w.step(i)
			if i.lead != nil && i.lead.Valid(w.now) && w.now >= i.pausedUntil {
				acting = append(acting, fmt.Sprintf("%s (term %d)", i.name, i.term))
			}
		}
		if len(acting) > 0 {
			w.coordinatedSteps++
		}
		if len(acting) > 1 {
			w.failure = fmt.Sprintf("at %v more than one instance may act: %v", w.now, acting)
		}
	}
}

// modelSeeds is the number of random histories, of two minutes each.
const modelSeeds = 100

func TestNeverTwoCoordinatorsUnderRandomFaults(t *testing.T) {
	c := qt.New(t)
	coordinatedSteps := 0
	for seed := range uint64(modelSeeds) {
		w := newSimulation(seed)
		w.run(2 * time.Minute)
		c.Check(w.failure, qt.Equals, "", qt.Commentf("seed %d", seed))
		coordinatedSteps += w.coordinatedSteps
	}
	// A fault occurs every second on average. There must still be a coordinator for much of the time.
	c.Check(coordinatedSteps > modelSeeds*12000/4, qt.IsTrue, qt.Commentf("%d of %d", coordinatedSteps, modelSeeds*12000))
}

func TestModelDetectsMutants(t *testing.T) {
	for name, enableMutant := range map[string]func(*simulation){
		"counts from the answer": func(w *simulation) { w.countFromAnswer = true },
		"takes over too early":   func(w *simulation) { w.takeoverTooEarly = true },
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			found := false
			for seed := uint64(0); seed < 10*modelSeeds && !found; seed++ {
				w := newSimulation(seed)
				enableMutant(w)
				w.run(2 * time.Minute)
				found = w.failure != ""
			}
			c.Check(found, qt.IsTrue)
		})
	}
}
