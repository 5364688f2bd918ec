package keyspace_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminlift/core/keyspace"
)

// TestKeysAreGrantedAgainAfterAllGrantsFailed guards against a service whose keys stay without owner for good: a stall of the coordinator
// made all grants fail at the same time, so that every upstream counted as failing and none was left to give the keys to.
func TestKeysAreGrantedAgainAfterAllGrantsFailed(t *testing.T) {
	for _, count := range []int{1, 3} {
		for _, failure := range []keyspace.GrantResult{keyspace.NotAnswered, keyspace.NotSent, keyspace.Reset, keyspace.Refused} {
			t.Run(fmt.Sprintf("%d upstreams, result %v", count, failure), func(t *testing.T) { checkStall(qt.New(t), count, failure) })
		}
	}
}

func checkStall(c *qt.C, count int, failure keyspace.GrantResult) {
	k := keyspace.NewManager(keyspace.Config{
		Keys:          modelKeys,
		Hold:          keyspace.DefaultHold,
		RenewInterval: keyspace.DefaultRenewInterval,
		CallTimeout:   keyspace.DefaultCallTimeout,
	}, 0, 1, nil)
	var list []keyspace.Upstream
	for i := range count {
		list = append(list, keyspace.Upstream{
			ID:          fmt.Sprint("u", i),
			Incarnation: 1,
			Address:     fmt.Sprint("u", i),
			Usable:      true,
			Capacity:    20,
		})
	}
	k.SetUpstreams(list)
	now := time.Duration(0)
	advance := func(until time.Duration, result keyspace.GrantResult) {
		for ; now < until; now += 10 * time.Millisecond {
			actions := k.Advance(now)
			if actions.Record != nil {
				k.Recorded(now)
			}
			for _, call := range actions.Releases {
				k.Released(now, call, "", true)
			}
			for _, call := range actions.Grants {
				k.Granted(now, now, call, result)
			}
		}
	}
	owned := func() int {
		n := 0
		for key := range uint32(modelKeys) {
			if _, ok := k.Owner(now, key); ok {
				n++
			}
		}
		return n
	}
	advance(5*time.Second, keyspace.Granted)
	c.Assert(owned(), qt.Equals, modelKeys)
	advance(now+3*time.Second, failure)
	advance(now+15*time.Second, keyspace.Granted)
	c.Check(owned(), qt.Equals, modelKeys)
}
