package keyspace_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminlift/core/keyspace"
)

// TestRestartedHolderKeepsItsFenceAfterASplit guards against a restarted upstream that gets a key under the fence that it had: the
// range was split by another move while its holder was in doubt, and the parts were renewed as if nothing had happened.
func TestRestartedHolderKeepsItsFenceAfterASplit(t *testing.T) {
	c := qt.New(t)
	upstreams := func(ids ...string) []keyspace.Upstream {
		var list []keyspace.Upstream
		for _, id := range ids {
			list = append(list, keyspace.Upstream{
				ID:          id,
				Incarnation: 1,
				Address:     id,
				Usable:      true,
				Capacity:    20,
			})
		}
		return list
	}
	k := keyspace.NewManager(keyspace.Config{
		Keys:          modelKeys,
		Hold:          keyspace.DefaultHold,
		RenewInterval: keyspace.DefaultRenewInterval,
		CallTimeout:   keyspace.DefaultCallTimeout,
	}, 0, 1, nil)
	k.SetUpstreams(upstreams("u0"))
	now := time.Duration(0)
	var grants []keyspace.GrantCall
	recorded := false
	// advance runs the manager until it returns an assignment, which is left unrecorded, or until a time.
	advance := func(until time.Duration) bool {
		for ; now < until; now += 10 * time.Millisecond {
			actions := k.Advance(now)
			grants = append(grants, actions.Grants...)
			if actions.Record != nil {
				return true
			}
		}
		return false
	}
	c.Assert(advance(5*time.Second), qt.IsTrue)
	k.Recorded(now)
	for len(grants) == 0 {
		recorded = advance(now+10*time.Millisecond) || recorded
	}
	c.Assert(recorded, qt.IsFalse)
	first := grants[0]
	k.Granted(now, now, first, keyspace.Granted)
	grants = nil
	// Keys move to a new upstream. While that is written, a renewal tells that the holder may have restarted.
	k.SetUpstreams(upstreams("u0", "u1"))
	c.Assert(advance(now+5*time.Second), qt.IsTrue)
	for len(grants) == 0 {
		advance(now + 10*time.Millisecond)
	}
	renewal := grants[len(grants)-1]
	c.Assert(renewal.Grant.Fence, qt.Equals, first.Grant.Fence)
	k.Granted(now, now, renewal, keyspace.Reset)
	k.Recorded(now)
	grants = nil
	for range 200 {
		if advance(now + 10*time.Millisecond) {
			k.Recorded(now)
		}
	}
	for _, call := range grants {
		if call.Upstream == "u0" {
			c.Check(call.Grant.Fence > first.Grant.Fence, qt.IsTrue, qt.Commentf("keys %d to %d with fence %d", call.Grant.From, call.Grant.To, call.Grant.Fence))
		}
	}
	c.Check(len(grants) > 0, qt.IsTrue)
}

// TestHolderThatWasAwayGetsAHigherFence guards against the same after a time in which nothing was granted: the holder's entry was
// missing, and there was no other upstream for its keys.
func TestHolderThatWasAwayGetsAHigherFence(t *testing.T) {
	c := qt.New(t)
	k := keyspace.NewManager(keyspace.Config{
		Keys:          modelKeys,
		Hold:          keyspace.DefaultHold,
		RenewInterval: keyspace.DefaultRenewInterval,
		CallTimeout:   keyspace.DefaultCallTimeout,
	}, 0, 1, nil)
	only := []keyspace.Upstream{{
		ID:          "u0",
		Incarnation: 1,
		Address:     "u0",
		Usable:      true,
		Capacity:    20,
	}}
	var fences []uint64
	for now := time.Duration(0); now < 15*time.Second; now += 10 * time.Millisecond {
		// The entry is missing for five seconds, and comes back before it tells of a restart.
		if now < 5*time.Second || now > 10*time.Second {
			k.SetUpstreams(only)
		} else {
			k.SetUpstreams(nil)
		}
		actions := k.Advance(now)
		for _, call := range actions.Grants {
			k.Granted(now, now, call, keyspace.Granted)
			fences = append(fences, call.Grant.Fence)
		}
		if actions.Record != nil {
			k.Recorded(now)
		}
	}
	c.Assert(len(fences) > 10, qt.IsTrue)
	c.Check(fences[len(fences)-1] > fences[0], qt.IsTrue, qt.Commentf("%v", fences))
}
