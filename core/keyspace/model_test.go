package keyspace_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"cuminlift/core/keyspace"
	"cuminlift/schema"
)

// The model plays a keeper against upstreams that hold keys as the platform's do: the time of a grant counts from its arrival, on a clock
// that runs up to 2% slow; a call without an answer may be carried out seconds later; a release is never refused.

const (
	modelKeys = 64
	modelStep = 10 * time.Millisecond
)

// mutant names a way in which the keeper is made to believe something false, or its bound is broken.
type mutant string

const (
	sound mutant = ""
	// lateTakenAsLapsed: a grant without an answer counts as if nothing had been sent.
	lateTakenAsLapsed mutant = "a late grant taken as lapsed"
	// fenceReused: a new coordinator begins with old fences.
	fenceReused mutant = "fences reused"
	// withoutDrift: holds are computed without the clock's 2%.
	withoutDrift mutant = "hold computed without the clock's 2%"
	// lostRelease: a release without an answer counts as answered.
	lostRelease mutant = "a release's lost answer taken as released"
	// forgetful: a new coordinator takes nobody in the record to hold.
	forgetful mutant = "a new coordinator forgets who may hold"
)

// held is one key at one upstream.
type held struct {
	fence uint64
	until time.Duration
}

type modelUpstream struct {
	id   string
	born int64
	// known is the incarnation that stands in the registry, which lags.
	known int64
	// fell is when it went down.
	fell time.Duration
	// slow is the factor by which its clock stretches a hold.
	slow float64
	up   bool
	cut  bool
	// registered is true while it stands in the registry.
	registered bool
	draining   bool
	// dark is true for one that went down without refusing connections.
	dark bool
	keys [modelKeys]held
	seen [modelKeys]uint64
}

// message is a call on its way: at takes effect when it comes.
type message struct {
	at    time.Duration
	apply func()
}

type model struct {
	c         *qt.C
	random    *rand.Rand
	mutant    mutant
	now       time.Duration
	upstreams []*modelUpstream
	keeper    *keyspace.Manager
	record    *schema.Assignment
	term      uint64
	messages  []message
	// otherFence is the highest fence with which each key was taken, and who took it.
	topFence [modelKeys]uint64
	topBy    [modelKeys]string
	failure  string
	owned    int
	asked    int
}

func newModel(c *qt.C, seed uint64, m mutant) *model {
	w := &model{
		c:      c,
		random: rand.New(rand.NewPCG(seed, 7)),
		mutant: m,
	}
	for i := range 5 {
		w.upstreams = append(w.upstreams, &modelUpstream{
			id:         fmt.Sprintf("u%d", i),
			born:       1,
			known:      1,
			slow:       1 + 0.0199*w.random.Float64(),
			up:         true,
			registered: true,
		})
	}
	w.newKeeper()
	return w
}

func (w *model) config() keyspace.Config {
	return keyspace.Config{
		Keys:          modelKeys,
		GrantDuration: keyspace.DefaultGrantDuration,
		RenewInterval: keyspace.DefaultRenewInterval,
		CallTimeout:   keyspace.DefaultCallTimeout,
	}
}

// newKeeper replaces the coordinator: what the old one sent may still arrive, and it hears of nothing any more.
func (w *model) newKeeper() {
	w.term++
	record := w.record
	if record != nil {
		record = proto.Clone(record).(*schema.Assignment)
	}
	if w.mutant == fenceReused && record != nil {
		record.NextFence = 1
	}
	at := w.now
	if w.mutant == forgetful {
		at -= time.Minute
	}
	w.keeper = keyspace.NewManager(w.config(), at, w.term, record)
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

// takeGrant carries a grant out whose time counts from arrived.
func (w *model) takeGrant(u *modelUpstream, call keyspace.GrantCall, arrived time.Duration, born int64) bool {
	if !u.up || u.born != born {
		return false
	}
	for key := call.Grant.From; key <= call.Grant.To; key++ {
		if u.seen[key] > call.Grant.Fence {
			return false
		}
	}
	hold := call.Grant.Hold
	if w.mutant == withoutDrift {
		hold += hold / 10
	}
	until := arrived + time.Duration(float64(hold)*u.slow)
	if until <= w.now {
		return true
	}
	for key := call.Grant.From; key <= call.Grant.To; key++ {
		if w.topBy[key] != u.name() && w.topFence[key] >= call.Grant.Fence {
			w.fail("%s takes key %d with fence %d, %s had %d", u.name(), key, call.Grant.Fence, w.topBy[key], w.topFence[key])
		}
		w.topFence[key] = max(w.topFence[key], call.Grant.Fence)
		w.topBy[key] = u.name()
		u.seen[key] = call.Grant.Fence
		u.keys[key] = held{
			fence: call.Grant.Fence,
			until: max(until, u.keys[key].until),
		}
	}
	return true
}

func (u *modelUpstream) name() string { return fmt.Sprintf("%s/%d", u.id, u.born) }

func (w *model) sendGrant(call keyspace.GrantCall) {
	k := w.keeper
	sent := w.now
	u := w.byID(call.Upstream)
	born := u.born
	report := func(result keyspace.GrantResult) {
		if w.mutant == lateTakenAsLapsed && result == keyspace.NotAnswered {
			result = keyspace.NotSent
		}
		k.GrantFinished(w.now, sent, call, result)
	}
	if u.cut {
		w.after(keyspace.DefaultCallTimeout, func() { report(keyspace.NotSent) })
		return
	}
	if !u.up {
		result := keyspace.Refused
		if u.dark {
			result = keyspace.NotSent
		}
		w.after(time.Millisecond, func() { report(result) })
		return
	}
	way := time.Duration(w.random.IntN(5)) * time.Millisecond
	if w.random.Float64() < 0.1 {
		// It arrives, is not answered, and is carried out late.
		arrived := w.now + time.Duration(w.random.IntN(int(keyspace.DefaultCallTimeout)))
		w.after(time.Duration(2+w.random.IntN(8))*time.Second/4, func() { w.takeGrant(u, call, arrived, born) })
		w.after(keyspace.DefaultCallTimeout, func() { report(keyspace.NotAnswered) })
		return
	}
	w.after(way, func() {
		accepted := w.takeGrant(u, call, w.now, born)
		w.after(way, func() {
			if accepted {
				report(keyspace.Granted)
			} else {
				report(keyspace.StaleFence)
			}
		})
	})
}

func (w *model) sendRelease(call keyspace.ReleaseCall) {
	k := w.keeper
	u := w.byID(call.Upstream)
	lost := w.mutant == lostRelease
	born := u.born // A release names no incarnation: it reaches whichever runs.
	if u == nil || u.cut || !u.up {
		w.after(300*time.Millisecond, func() { k.ReleaseFinished(w.now, call, "", lost) })
		return
	}
	if w.random.Float64() < 0.2 {
		w.after(300*time.Millisecond, func() { k.ReleaseFinished(w.now, call, "", lost) })
		return
	}
	w.after(5*time.Millisecond, func() {
		for key := call.Grant.From; key <= call.Grant.To; key++ {
			if u.born == born && u.keys[key].fence <= call.Grant.Fence {
				u.keys[key] = held{}
			}
		}
		w.after(5*time.Millisecond, func() { k.ReleaseFinished(w.now, call, "token", true) })
	})
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
			Incarnation: u.known,
			Address:     u.id,
			Usable:      !u.draining,
			Capacity:    20,
		})
	}
	w.keeper.SetUpstreams(list)
	actions := w.keeper.Advance(w.now)
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

// write records an assignment; its answer may be lost, and a new coordinator then finds it.
func (w *model) write(assignment *schema.Assignment) {
	k := w.keeper
	w.after(5*time.Millisecond, func() {
		if k != w.keeper {
			return // The condition on the row no longer holds.
		}
		w.record = proto.Clone(assignment).(*schema.Assignment)
		w.after(5*time.Millisecond, func() { k.Recorded(w.now) })
	})
}

// disturb changes the world at random.
func (w *model) disturb() {
	u := w.upstreams[w.random.IntN(len(w.upstreams))]
	switch w.random.IntN(9) {
	case 0:
		u.cut = !u.cut
	case 1:
		if u.up {
			u.fell = w.now
			u.dark = w.random.IntN(2) == 0
		}
		u.up = false
		u.keys = [modelKeys]held{}
	case 2:
		// A start takes longer than the time between two grants.
		if !u.up && w.now-u.fell > 1500*time.Millisecond {
			u.up = true
			u.born++
			w.after(time.Duration(w.random.IntN(3000))*time.Millisecond, func() { u.known = u.born })
			u.keys = [modelKeys]held{}
			u.seen = [modelKeys]uint64{}
			u.registered = true
			u.draining = false
		}
	case 3:
		u.registered = !u.registered || !u.up
	case 4:
		u.draining = !u.draining
	case 5:
		w.newKeeper()
	case 6, 7:
		for range 30 {
			w.keeper.Count(uint32(w.random.IntN(4)) + uint32(w.random.IntN(2))*20)
		}
	case 8:
		u.cut = false
		u.registered = true
		u.draining = false
	}
}

// check looks for keys that two living upstreams hold, and for a keeper that believes in an owner that does not hold.
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
		id, ok := w.keeper.Owner(w.now, key)
		w.asked++
		if !ok {
			continue
		}
		w.owned++
		u := w.byID(id)
		if u.up && u.known == u.born && u.keys[key].until <= w.now {
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
			w.disturb()
		}
		w.advance()
		w.check()
	}
}

// modelSeeds is the number of random histories of a minute each.
const modelSeeds = 60

func TestNoKeyHasTwoHoldersUnderRandomFaults(t *testing.T) {
	c := qt.New(t)
	owned, asked := 0, 0
	for seed := range uint64(modelSeeds) {
		w := newModel(c, seed, sound)
		w.run(time.Minute)
		c.Check(w.failure, qt.Equals, "", qt.Commentf("seed %d", seed))
		owned += w.owned
		asked += w.asked
	}
	// Faults come every half second; the keys must be in use for much of the time all the same, or the check shows nothing.
	c.Check(float64(owned)/float64(asked) > 0.3, qt.IsTrue, qt.Commentf("owned %d of %d", owned, asked))
}

func TestModelFindsEachMutant(t *testing.T) {
	for _, m := range []mutant{lateTakenAsLapsed, fenceReused, withoutDrift, lostRelease, forgetful} {
		t.Run(string(m), func(t *testing.T) {
			c := qt.New(t)
			found := ""
			for seed := uint64(0); seed < modelSeeds && found == ""; seed++ {
				w := newModel(c, seed, m)
				w.run(time.Minute)
				found = w.failure
			}
			c.Check(strings.Contains(found, "is held by") || strings.Contains(found, "takes key"), qt.IsTrue, qt.Commentf("%s", found))
		})
	}
}
