package authority_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminlift/core/authority"
)

func TestRightEndsWithoutRenewalAndAcknowledgement(t *testing.T) {
	c := qt.New(t)
	l := authority.NewLeadership(time.Second)
	l.SetMembers([]string{"a", "b"})
	c.Check(l.Valid(time.Second+authority.LeaseDuration-1), qt.IsTrue)
	c.Check(l.Valid(time.Second+authority.LeaseDuration), qt.IsFalse)
	l.Acknowledged("a", 3*time.Second, false)
	c.Check(l.Valid(3*time.Second), qt.IsFalse, qt.Commentf("one of two is not all"))
	l.Acknowledged("b", 2500*time.Millisecond, false)
	c.Check(l.Valid(3*time.Second), qt.IsTrue)
	c.Check(l.Valid(2500*time.Millisecond+authority.LeaseDuration), qt.IsFalse)
	l.Resign()
	c.Check(l.Valid(time.Second), qt.IsFalse)
}

func TestCoordinatorResignsOnlyWhereAnotherReachesTheStore(t *testing.T) {
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

func TestResignationCountsForItsOwnTermOnly(t *testing.T) {
	c := qt.New(t)
	w := authority.NewMonitor(0)
	w.LeaseRead(time.Second, 10, 3)
	_, ok := w.CanTakeLease(time.Second, 0)
	c.Check(ok, qt.IsFalse)
	w.CoordinatorResigned(2)
	_, ok = w.CanTakeLease(time.Second, 0)
	c.Check(ok, qt.IsFalse, qt.Commentf("an older term's holder resigned"))
	w.CoordinatorResigned(3)
	version, ok := w.CanTakeLease(time.Second, 0)
	c.Check(ok, qt.IsTrue)
	c.Check(version, qt.Equals, uint64(10))
}

// The model: instances that pause, lose the store and lose each other at random, with one lease row.

type instance struct {
	name  string
	lead  *authority.Leadership
	watch *authority.Monitor
	term  uint64
	// version is that of the lease as the holder knows it.
	version uint64
	renewed time.Duration
	beaten  time.Duration
	read    time.Duration
	// paused is until when it stands still; denied while the store refuses it.
	paused time.Duration
	denied bool
	taking bool
	reach  time.Duration
}

type event struct {
	at    time.Duration
	to    *instance
	apply func()
}

type world struct {
	random    *rand.Rand
	now       time.Duration
	instances []*instance
	cut       map[string]bool
	down      bool
	version   uint64
	term      uint64
	events    []event
	held      int
	failure   string
	// lateCount is the mutant that counts renewals and acknowledgements from their answers, which may be seconds old.
	lateCount bool
	// impatient is the mutant that takes over before the right of the last coordinator has ended.
	impatient bool
}

func newWorld(seed uint64) *world {
	w := &world{
		random: rand.New(rand.NewPCG(seed, 3)),
		cut:    map[string]bool{},
	}
	for i := range 4 {
		w.instances = append(w.instances, &instance{
			name:  fmt.Sprint("i", i),
			watch: authority.NewMonitor(0),
		})
	}
	return w
}

func (w *world) send(to *instance, delay time.Duration, apply func()) {
	w.events = append(w.events, event{
		at:    w.now + delay,
		to:    to,
		apply: apply,
	})
}

func (w *world) others(i *instance) []string {
	var names []string
	for _, o := range w.instances {
		if o != i {
			names = append(names, o.name)
		}
	}
	return names
}

func (w *world) way() time.Duration { return time.Duration(1+w.random.IntN(40)) * time.Millisecond }

// commit writes the lease if it has the version, now or late; the answer may be lost.
func (w *world) commit(i *instance, version, term uint64, answer func(version uint64, ok bool)) {
	if w.down || i.denied {
		return
	}
	delay := w.way()
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
				w.send(i, w.way(), func() { answer(written, ok) })
			}
		},
	})
}

func (w *world) step(i *instance) {
	if w.now < i.paused {
		return
	}
	if i.lead != nil {
		w.lead(i)
		return
	}
	if i.taking || !i.watch.ShouldReadLease(w.now, 0) || w.now < i.watch.NextLeaseRead(0) || w.now-i.read < 250*time.Millisecond || w.down || i.denied {
		if w.impatient && !i.taking && i.watch.ShouldReadLease(w.now, 0) {
			w.take(i, w.version, w.term)
		}
		return
	}
	i.read = w.now
	sent, version, term := w.now, w.version, w.term
	w.send(i, w.way(), func() {
		i.reach = w.now
		i.watch.LeaseRead(sent, version, term)
		if v, ok := i.watch.CanTakeLease(w.now, 0); ok && i.lead == nil {
			w.take(i, v, term)
		}
	})
}

func (w *world) take(i *instance, version, term uint64) {
	i.taking = true
	sent := w.now
	done := false
	w.commit(i, version, term+1, func(written uint64, ok bool) {
		if done {
			return
		}
		done = true
		i.taking = false
		if ok {
			i.lead = authority.NewLeadership(sent)
			i.lead.SetMembers(w.others(i))
			i.term = term + 1
			i.version = written
			i.renewed = w.now
			return
		}
		i.watch = authority.NewMonitor(w.now)
	})
	w.send(i, 700*time.Millisecond, func() {
		if !done {
			done = true
			i.taking = false
			i.watch = authority.NewMonitor(w.now)
		}
	})
}

func (w *world) lead(i *instance) {
	if !i.lead.Valid(w.now) || i.lead.ShouldResign(w.now) {
		i.lead = nil
		i.watch = authority.NewMonitor(w.now)
		for _, o := range w.instances {
			if o != i && !w.cut[i.name+o.name] {
				term := i.term
				w.send(o, w.way(), func() { o.watch.CoordinatorResigned(term) })
			}
		}
		return
	}
	if w.now-i.renewed >= authority.RenewInterval {
		i.renewed = w.now
		sent, l := w.now, i.lead
		if w.down || i.denied {
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
			if w.lateCount {
				sent = w.now
			}
			l.Renewed(sent)
		})
	}
	if w.now-i.beaten >= authority.HeartbeatInterval {
		i.beaten = w.now
		for _, o := range w.instances {
			if o != i {
				w.beat(i, o)
			}
		}
	}
}

func (w *world) beat(i, o *instance) {
	if w.cut[i.name+o.name] {
		return
	}
	sent, l, term, version := w.now, i.lead, i.term, i.version
	w.send(o, w.way(), func() {
		if o.lead != nil && o.term >= term || o.taking || w.cut[o.name+i.name] {
			return
		}
		o.watch.HeartbeatReceived(w.now, version, term)
		reached := w.now-o.reach < 25*time.Second
		w.send(i, w.way(), func() {
			if w.lateCount {
				sent = w.now
			}
			if i.lead == l {
				l.Acknowledged(o.name, sent, reached)
			}
		})
	})
}

func (w *world) disturb() {
	i := w.instances[w.random.IntN(len(w.instances))]
	o := w.instances[w.random.IntN(len(w.instances))]
	switch w.random.IntN(7) {
	case 0:
		i.paused = w.now + time.Duration(w.random.IntN(4000))*time.Millisecond
	case 1:
		w.cut[i.name+o.name] = !w.cut[i.name+o.name]
	case 2:
		i.denied = !i.denied
	case 3:
		w.down = !w.down
	case 4:
		w.cut = map[string]bool{}
	case 5:
		w.down = false
		i.denied = false
	case 6:
		// A restart: it knows nothing, and whoever took the lease is gone.
		i.lead = nil
		i.taking = false
		i.watch = authority.NewMonitor(w.now)
	}
}

func (w *world) run(length time.Duration) {
	for w.now < length && w.failure == "" {
		w.now += 10 * time.Millisecond
		pending := w.events
		w.events = nil
		for _, e := range pending {
			// What reaches a paused instance waits for it.
			if e.at > w.now || (e.to != nil && w.now < e.to.paused) {
				w.events = append(w.events, e)
				continue
			}
			e.apply()
		}
		if w.random.Float64() < 0.01 {
			w.disturb()
		}
		var acting []string
		for _, i := range w.instances {
			w.step(i)
			if i.lead != nil && i.lead.Valid(w.now) && w.now >= i.paused {
				acting = append(acting, fmt.Sprintf("%s (term %d)", i.name, i.term))
			}
		}
		if len(acting) > 0 {
			w.held++
		}
		if len(acting) > 1 {
			w.failure = fmt.Sprintf("at %v both %v may act", w.now, acting)
		}
	}
}

// modelSeeds is the number of random histories of two minutes each.
const modelSeeds = 100

func TestNeverTwoCoordinatorsUnderRandomFaults(t *testing.T) {
	c := qt.New(t)
	held := 0
	for seed := range uint64(modelSeeds) {
		w := newWorld(seed)
		w.run(2 * time.Minute)
		c.Check(w.failure, qt.Equals, "", qt.Commentf("seed %d", seed))
		held += w.held
	}
	// Faults come every second; a coordinator acts for a good part of the time all the same.
	c.Check(held > modelSeeds*12000/4, qt.IsTrue, qt.Commentf("%d of %d", held, modelSeeds*12000))
}

func TestModelFindsItsMutants(t *testing.T) {
	for name, spoil := range map[string]func(*world){
		"counts from the answer": func(w *world) { w.lateCount = true },
		"impatient":              func(w *world) { w.impatient = true },
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			found := false
			for seed := uint64(0); seed < 10*modelSeeds && !found; seed++ {
				w := newWorld(seed)
				spoil(w)
				w.run(2 * time.Minute)
				found = w.failure != ""
			}
			c.Check(found, qt.IsTrue)
		})
	}
}
