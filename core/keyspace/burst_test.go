package keyspace_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminlift/core/keyspace"
)

// TestGrantsOfANewTermDoNotTimeOutTogether grants all keys of a large site anew, from an instance that handles one call after another. All
// of them at once took longer than a call may take, failed and were sent again.
func TestGrantsOfANewTermDoNotTimeOutTogether(t *testing.T) {
	c := qt.New(t)
	const (
		ranges      = 1024
		perCall     = 500 * time.Microsecond
		step        = 10 * time.Millisecond
		callTimeout = keyspace.DefaultCallTimeout
	)
	recorded := assignmentWithRanges(ranges)
	manager := keyspace.NewManager(keyspace.Config{
		Keys:          splitKeys,
		Hold:          keyspace.DefaultHold,
		RenewInterval: keyspace.DefaultRenewInterval,
		CallTimeout:   callTimeout,
	}, 0, 4, recorded)
	var upstreams []keyspace.Upstream
	for _, holder := range recorded.GetMap().GetHolders() {
		upstreams = append(upstreams, keyspace.Upstream{
			ID:          holder.GetUpstream(),
			Incarnation: holder.GetBorn(),
			Address:     fmt.Sprint("a-", holder.GetUpstream()),
			Usable:      true,
			Capacity:    10,
			Responsive:  true,
		})
	}
	type pending struct {
		sent, ends time.Duration
		call       keyspace.GrantCall
	}
	var calls []pending
	busyUntil := time.Duration(0)
	failed, granted := 0, 0
	for now := step; now < 6*time.Second; now += step {
		for len(calls) > 0 && calls[0].ends <= now {
			p := calls[0]
			calls = calls[1:]
			result := keyspace.Granted
			if p.ends-p.sent > callTimeout {
				result = keyspace.NotSent
				failed++
			} else {
				granted++
			}
			manager.Granted(now, p.sent, p.call, result)
		}
		manager.SetUpstreams(upstreams)
		actions := manager.Advance(now)
		if actions.Record != nil {
			manager.Recorded(now)
		}
		for _, call := range actions.Releases {
			manager.Released(now, call, "", true)
		}
		for _, call := range actions.Grants {
			busyUntil = max(busyUntil, now) + perCall
			calls = append(calls, pending{
				sent: now,
				ends: busyUntil,
				call: call,
			})
		}
	}
	c.Check(failed, qt.Equals, 0, qt.Commentf("%d were granted", granted))
	c.Check(granted >= 4*ranges, qt.IsTrue, qt.Commentf("only %d were granted", granted))
	for key := uint32(0); key < splitKeys; key += splitKeys / ranges {
		_, owned := manager.Owner(6*time.Second, key)
		c.Assert(owned, qt.IsTrue, qt.Commentf("key %d", key))
	}
}
