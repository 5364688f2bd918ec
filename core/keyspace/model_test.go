package keyspace_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"cuminlift/core/keyspace"
	"cuminlift/schema"
)

// The model runs a manager against simulated upstreams that hold keys like those of the platform. The duration of a
// grant counts from its arrival, on a clock that runs up to 2% slow. An unanswered call may be executed seconds later.
// A release is never refused.

const (
	modelKeys = 64
	modelStep = 10 * time.Millisecond
)

// mutant names a fault in the information given to the manager, or a violation of its assumptions, that the model must
// detect.
type mutant string

const (
	noMutant mutant = ""
	// lateGrantIgnored treats an unanswered grant as not sent.
	lateGrantIgnored mutant = "unanswered grant treated as not sent"
	// fenceReused restarts the fences in a new coordinator's term.
	fenceReused mutant = "fences reused in a new term"
	// excessiveHold makes upstreams hold keys for longer than the manager allows for with maxClockDrift.
	excessiveHold mutant = "hold exceeds the allowed clock drift"
	// lostRelease treats an unanswered release as executed.
	lostRelease mutant = "unanswered release treated as executed"
	// restoredHoldersIgnored makes a new coordinator assume that the recorded holders no longer hold keys.
	restoredHoldersIgnored mutant = "recorded holders ignored by a new coordinator"
	// workIgnored makes upstreams answer releases while requests on the keys still run.
	workIgnored mutant = "release answered before the requests have ended"
	// copyTrusted takes an assignment from a copy of the store for the newest one.
	copyTrusted mutant = "copy of an older assignment trusted"
	// copyNotWaitedFor makes a new coordinator that has only a copy grant keys at once.
	copyNotWaitedFor mutant = "unknown holders not waited for"
	// unknownHoldersForgotten writes an assignment for the new era while some holders are not known.
	unknownHoldersForgotten mutant = "unknown holders not recorded"
)

// recordState is what the store holds at a time.
type recordState struct {
	at      time.Duration
	record  *schema.Assignment
	version uint64
}

// grantState is the state of one key at one upstream.
type grantState struct {
	fence uint64
	until time.Duration
}

type modelUpstream struct {
	id          string
	incarnation int64
	// registeredIncarnation is the incarnation in the registry, which lags behind.
	registeredIncarnation int64
	// downSince is when the upstream went down.
	downSince time.Duration
	// holdStretch is the factor by which the upstream's slow clock lengthens a grant.
	holdStretch float64
	up          bool
	partitioned bool
	// registered is true while the upstream is in the registry.
	registered bool
	draining   bool
	// silentDown is true if the upstream went down without refusing connections.
	silentDown bool
	keys       [modelKeys]grantState
	seen       [modelKeys]uint64
	// work holds the request that runs on each key.
	work [modelKeys]runningWork
}

// runningWork is a request that runs until a time, or until the grant of its key runs out. A release of the key does not end it.
type runningWork struct {
	until    time.Duration
	released bool
}

// workingUntil returns when the request on key ends, if the grant is not renewed.
func (u *modelUpstream) workingUntil(key uint32) time.Duration {
	if !u.up {
		return 0
	}
	if u.work[key].released {
		return u.work[key].until
	}
	return min(u.work[key].until, u.keys[key].until)
}

// message is a call in transit that takes effect at the time at.
type message struct {
	at    time.Duration
	apply func()
}

type model struct {
	c      *qt.C
	random *rand.Rand
	// workRandom draws what upstreams work on and how releases travel.
	workRandom *rand.Rand
	mutant     mutant
	now        time.Duration
	upstreams  []*modelUpstream
	manager    *keyspace.Manager
	store      recordState
	history    []recordState
	// era is the store's, and managerEra and managerVersion are those that the coordinator knows of the record.
	era, managerEra, managerVersion uint64
	// drills is true if the store may come back older.
	drills   bool
	term     uint64
	messages []message
	// topFence is the highest fence with which each key was taken, and topBy is the upstream that took it.
	topFence [modelKeys]uint64
	topBy    [modelKeys]string
	failure  string
	owned    int
	asked    int
}

func newModel(c *qt.C, seed uint64, m mutant) *model {
	w := &model{
		c:          c,
		random:     rand.New(rand.NewPCG(seed, 7)),
		workRandom: rand.New(rand.NewPCG(seed, 8)),
		mutant:     m,
	}
	for i := range 5 {
		w.upstreams = append(w.upstreams, &modelUpstream{
			id:                    fmt.Sprintf("u%d", i),
			incarnation:           1,
			registeredIncarnation: 1,
			holdStretch:           1 + 0.0199*w.random.Float64(),
			up:                    true,
			registered:            true,
		})
	}
	w.era = 1
	w.newManager()
	return w
}

func (w *model) config() keyspace.Config {
	return keyspace.Config{
		Keys:          modelKeys,
		Hold:          keyspace.DefaultHold,
		RenewInterval: keyspace.DefaultRenewInterval,
		CallTimeout:   keyspace.DefaultCallTimeout,
	}
}

// newManager replaces the coordinator. Calls of the old one may still arrive, but it no longer receives results.
func (w *model) newManager() {
	w.term++
	w.managerEra, w.managerVersion = w.era, w.store.version
	record := w.store.record
	if record != nil {
		record = proto.Clone(record).(*schema.Assignment)
	}
	stale := record.GetEra() < w.era
	if w.mutant == copyTrusted && record != nil {
		record.Era = w.era
	}
	if w.mutant == fenceReused && record != nil {
		record.NextFence = 1
	}
	at := w.now
	if w.mutant == restoredHoldersIgnored || (w.mutant == copyNotWaitedFor && stale) {
		at -= time.Minute
	}
	config := w.config()
	config.Era, config.RowVersion = w.era, w.store.version
	w.manager = keyspace.NewManager(config, at, w.term, record)
}

func (w *model) fail(format string, args ...any) {
	if w.failure == "" {
		w.failure = fmt.Sprintf("at %v: ", w.now) + fmt.Sprintf(format, args...)
	}
}

func (w *model) after(delay time.Duration, apply func()) {
	w.messages = append(w.messages, message{
		at:    w.now + delay,
		apply: apply,
	})
}

// takeGrant executes a grant whose duration counts from arrived.
func (w *model) takeGrant(u *modelUpstream, call keyspace.GrantCall, arrived time.Duration, incarnation int64) bool {
	if !u.up || u.incarnation != incarnation {
		return false
	}
	for key := call.Grant.From; key <= call.Grant.To; key++ {
		if u.seen[key] > call.Grant.Fence {
			return false
		}
	}
	hold := call.Grant.Hold
	if w.mutant == excessiveHold {
		hold += hold / 10
	}
	until := arrived + time.Duration(float64(hold)*u.holdStretch)
	if until <= w.now {
		return true
	}
	for key := call.Grant.From; key <= call.Grant.To; key++ {
		if w.topBy[key] != u.name() && w.topFence[key] >= call.Grant.Fence {
			w.fail("%s takes key %d with fence %d, %s had %d", u.name(), key, call.Grant.Fence, w.topBy[key], w.topFence[key])
		}
		for _, other := range w.upstreams {
			if other != u && other.workingUntil(key) > w.now {
				w.fail("%s is given key %d on which %s is at work until %v", u.name(), key, other.name(), other.workingUntil(key))
			}
		}
		w.topFence[key] = max(w.topFence[key], call.Grant.Fence)
		w.topBy[key] = u.name()
		u.seen[key] = call.Grant.Fence
		u.keys[key] = grantState{
			fence: call.Grant.Fence,
			until: max(until, u.keys[key].until),
		}
	}
	return true
}

func (u *modelUpstream) name() string { return fmt.Sprintf("%s/%d", u.id, u.incarnation) }

func (w *model) sendGrant(call keyspace.GrantCall) {
	k := w.manager
	sent := w.now
	u := w.byID(call.Upstream)
	incarnation := u.incarnation
	report := func(result keyspace.GrantResult) {
		if w.mutant == lateGrantIgnored && result == keyspace.NotAnswered {
			result = keyspace.NotSent
		}
		k.Granted(w.now, sent, call, result)
	}
	if u.partitioned {
		w.after(keyspace.DefaultCallTimeout, func() { report(keyspace.NotSent) })
		return
	}
	if !u.up {
		result := keyspace.Refused
		if u.silentDown {
			result = keyspace.NotSent
		}
		w.after(time.Millisecond, func() { report(result) })
		return
	}
	delay := time.Duration(w.random.IntN(5)) * time.Millisecond
	if w.random.Float64() < 0.1 {
		// The grant arrives, is executed late, and is not answered.
		arrived := w.now + time.Duration(w.random.IntN(int(keyspace.DefaultCallTimeout)))
		w.after(time.Duration(2+w.random.IntN(8))*time.Second/4, func() { w.takeGrant(u, call, arrived, incarnation) })
		w.after(keyspace.DefaultCallTimeout, func() { report(keyspace.NotAnswered) })
		return
	}
	w.after(delay, func() {
		accepted := w.takeGrant(u, call, w.now, incarnation)
		w.after(delay, func() {
			if accepted {
				report(keyspace.Granted)
			} else {
				report(keyspace.StaleFence)
			}
		})
	})
}

func (w *model) sendRelease(call keyspace.ReleaseCall) {
	k := w.manager
	u := w.byID(call.Upstream)
	lost := w.mutant == lostRelease
	incarnation := u.incarnation // A release does not name an incarnation; it reaches the one that is running.
	if u == nil || u.partitioned || !u.up {
		w.after(300*time.Millisecond, func() { k.Released(w.now, call, "", lost) })
		return
	}
	// A release may be executed late, on a connection that waits, and the connection may break before the answer.
	delay, broken := 5*time.Millisecond, w.random.Float64() < 0.2
	if w.workRandom.Float64() < 0.1 {
		delay = time.Duration(w.workRandom.IntN(800)) * time.Millisecond
	}
	reported := false
	report := func(handover string, answered bool) {
		if !reported {
			reported = true
			k.Released(w.now, call, handover, answered)
		}
	}
	if broken {
		w.after(time.Duration(w.workRandom.IntN(600))*time.Millisecond, func() { report("", lost) })
		if w.workRandom.IntN(2) == 0 {
			return // It never arrives.
		}
	}
	w.after(delay, func() {
		ended := w.now
		for key := call.Grant.From; key <= call.Grant.To; key++ {
			if u.incarnation != incarnation {
				continue
			}
			ended = max(ended, u.workingUntil(key))
			if u.keys[key].fence <= call.Grant.Fence {
				u.work[key] = runningWork{
					until:    u.workingUntil(key),
					released: true,
				}
				u.keys[key] = grantState{}
			}
		}
		if w.mutant == workIgnored {
			ended = w.now
		}
		w.after(ended-w.now+5*time.Millisecond, func() {
			if !broken {
				report("token", true)
			}
		})
	})
}

// startWork starts requests at random on keys that their upstreams hold.
func (w *model) startWork() {
	u := w.upstreams[w.workRandom.IntN(len(w.upstreams))]
	key := uint32(w.workRandom.IntN(modelKeys))
	if !u.up || u.keys[key].until <= w.now || u.workingUntil(key) > w.now {
		return
	}
	u.work[key] = runningWork{
		until: w.now + time.Duration(w.workRandom.IntN(2000))*time.Millisecond,
	}
}

func (w *model) byID(id string) *modelUpstream {
	for _, u := range w.upstreams {
		if u.id == id {
			return u
		}
	}
	return nil
}

func (w *model) advance() {
	var list []keyspace.Upstream
	for _, u := range w.upstreams {
		if !u.registered {
			continue
		}
		list = append(list, keyspace.Upstream{
			ID:          u.id,
			Incarnation: u.registeredIncarnation,
			Address:     u.id,
			Usable:      !u.draining,
			Capacity:    20,
		})
	}
	w.manager.SetUpstreams(list)
	actions := w.manager.Advance(w.now)
	for _, call := range actions.Grants {
		w.sendGrant(call)
	}
	for _, call := range actions.Releases {
		w.sendRelease(call)
	}
	if actions.Record != nil {
		w.write(actions.Record)
	}
}

// write records an assignment if the record has the version that the coordinator knows. The write may be executed late and the answer
// lost, and a new coordinator then finds the assignment in the store.
func (w *model) write(assignment *schema.Assignment) {
	k, era, version := w.manager, w.managerEra, w.managerVersion
	record := proto.Clone(assignment).(*schema.Assignment)
	if w.mutant == unknownHoldersForgotten {
		record.Era = era
	}
	delay := 5 * time.Millisecond
	if w.drills && w.random.Float64() < 0.1 {
		delay = time.Duration(w.random.IntN(2000)) * time.Millisecond
	}
	w.after(delay, func() {
		applied := w.store.version == version
		if applied {
			w.store = recordState{
				at:      w.now,
				record:  record,
				version: version + 1,
			}
			w.history = append(w.history, w.store)
		}
		known := w.era == era
		w.after(5*time.Millisecond, func() {
			switch {
			case k != w.manager || !known || w.managerEra != era:
			case applied:
				w.managerVersion = version + 1
				k.Recorded(w.now)
			default:
				w.newManager() // Another coordinator has written.
			}
		})
	})
}

// drill brings the store back from a copy that is up to five seconds old. The coordinator learns of it later, and writes its
// assignment again unless it is replaced before.
func (w *model) drill() {
	at := w.now - time.Duration(w.random.IntN(5000))*time.Millisecond
	w.store = recordState{}
	for _, old := range w.history {
		if old.at <= at {
			w.store = old
		}
	}
	w.history = append(w.history[:0:0], w.store)
	w.era++
	k := w.manager
	w.after(time.Duration(20+w.random.IntN(1000))*time.Millisecond, func() {
		if k != w.manager || w.managerEra == w.era {
			return
		}
		w.term++
		w.managerEra, w.managerVersion = w.era, w.store.version
		w.write(k.Rewrite(w.now, w.term, w.era))
	})
}

// injectFault changes the state of the system at random.
func (w *model) injectFault() {
	u := w.upstreams[w.random.IntN(len(w.upstreams))]
	switch w.random.IntN(10) {
	case 9:
		if w.drills {
			w.drill()
		}
	case 0:
		u.partitioned = !u.partitioned
	case 1:
		if u.up {
			u.downSince = w.now
			u.silentDown = w.random.IntN(2) == 0
		}
		u.up = false
		u.keys = [modelKeys]grantState{}
		u.work = [modelKeys]runningWork{}
	case 2:
		// A restart takes longer than the time between two grants.
		if !u.up && w.now-u.downSince > 1500*time.Millisecond {
			u.up = true
			u.incarnation++
			w.after(time.Duration(w.random.IntN(3000))*time.Millisecond, func() { u.registeredIncarnation = u.incarnation })
			u.keys = [modelKeys]grantState{}
			u.seen = [modelKeys]uint64{}
			u.registered = true
			u.draining = false
		}
	case 3:
		u.registered = !u.registered || !u.up
	case 4:
		u.draining = !u.draining
	case 5:
		w.newManager()
	case 6, 7:
		for range 30 {
			w.manager.Count(uint32(w.random.IntN(4)) + uint32(w.random.IntN(2))*20)
		}
	case 8:
		u.partitioned = false
		u.registered = true
		u.draining = false
	}
}

// check looks for keys held by two running upstreams, and for keys whose owner according to the manager does not hold
// them.
func (w *model) check() {
	for key := range uint32(modelKeys) {
		holder := ""
		for _, u := range w.upstreams {
			if !u.up || u.keys[key].until <= w.now {
				continue
			}
			if holder != "" {
				w.fail("key %d is held by %s and %s", key, holder, u.name())
			}
			holder = u.name()
		}
		id, ok := w.manager.Owner(w.now, key)
		w.asked++
		if !ok {
			continue
		}
		w.owned++
		u := w.byID(id)
		if u.up && u.registeredIncarnation == u.incarnation && u.keys[key].until <= w.now {
			w.fail("%s is believed to hold key %d and does not", u.name(), key)
		}
	}
}

func (w *model) run(length time.Duration) {
	for w.now < length && w.failure == "" {
		w.now += modelStep
		for again := true; again; {
			again = false
			pending := w.messages
			w.messages = nil
			for _, m := range pending {
				if m.at > w.now {
					w.messages = append(w.messages, m)
					continue
				}
				m.apply()
				again = true
			}
		}
		if w.random.Float64() < 0.02 {
			w.injectFault()
		}
		w.startWork()
		w.advance()
		w.check()
	}
}

// modelSeeds is the number of random histories, of one minute each.
const modelSeeds = 60

func TestNoKeyHasTwoHoldersUnderRandomFaults(t *testing.T) {
	for _, drills := range []bool{false, true} {
		var owned, asked atomic.Int64
		t.Run(fmt.Sprintf("drills %v", drills), func(t *testing.T) {
			for seed := range uint64(modelSeeds) {
				t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
					t.Parallel()
					w := newModel(qt.New(t), seed, noMutant)
					w.drills = drills
					w.run(time.Minute)
					qt.Check(t, w.failure, qt.Equals, "")
					owned.Add(int64(w.owned))
					asked.Add(int64(w.asked))
				})
			}
		})
		// A fault occurs every half second on average. The keys must still be owned for much of the time, or the check
		// would prove nothing.
		qt.Check(t, float64(owned.Load())/float64(asked.Load()) > 0.3, qt.IsTrue, qt.Commentf("owned %d of %d, drills %v", owned.Load(), asked.Load(), drills))
	}
}

func TestModelDetectsMutants(t *testing.T) {
	for _, m := range []mutant{lateGrantIgnored, fenceReused, excessiveHold, lostRelease, restoredHoldersIgnored, workIgnored, copyTrusted, copyNotWaitedFor, unknownHoldersForgotten} {
		t.Run(string(m), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			found := ""
			for seed := uint64(0); seed < 4*modelSeeds && found == ""; seed++ {
				w := newModel(c, seed, m)
				w.drills = m == copyTrusted || m == copyNotWaitedFor || m == unknownHoldersForgotten
				w.run(time.Minute)
				found = w.failure
			}
			c.Check(strings.Contains(found, "is held by") || strings.Contains(found, "takes key") || strings.Contains(found, "at work"), qt.IsTrue, qt.Commentf("%s", found))
		})
	}
}
