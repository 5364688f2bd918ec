package authority_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminlift/core/authority"
)

// TestSmallInstancesLeaveTheLeaseToLargeOnes covers the loss of a coordinator among instances of 0.8 and 0.16 of a core: a small one took the
// lease 400 ms after the last large one might have, could not renew it beside its work, lost it, and took it again.
func TestSmallInstancesLeaveTheLeaseToLargeOnes(t *testing.T) {
	c := qt.New(t)
	const small, large = 160, 800
	last, first := 0, 1<<30
	for i := range 200 {
		last = max(last, authority.Rank(fmt.Sprint("large-", i), large, large))
		first = min(first, authority.Rank(fmt.Sprint("small-", i), small, large))
	}
	// A large one tries, waits 0.7 s for the store in vain, and tries again.
	const retry = 700 * time.Millisecond
	c.Check(time.Duration(first-last)*authority.HeartbeatInterval/4 > retry, qt.IsTrue, qt.Commentf("%d and %d steps", last, first))
	// Where all are small, none waits for a larger one.
	c.Check(authority.Rank("small-1", small, small) < 8, qt.IsTrue)
}

// TestAfterAnOutageLargeInstancesAreStillFirst covers the return of the store: all instances have waited for longer than any step, and whoever
// asked first took the lease, small or not.
func TestAfterAnOutageLargeInstancesAreStillFirst(t *testing.T) {
	c := qt.New(t)
	takes := func(rank int) time.Duration {
		w := authority.NewMonitor(0)
		w.HeartbeatReceived(0, 7, 1)
		for now := 3 * time.Second; now < 10*time.Second; now += time.Second {
			w.LeaseReadFailed()
		}
		const back = 10 * time.Second
		w.LeaseRead(back, 7, 1)
		for now := back; ; now += 10 * time.Millisecond {
			if now < w.NextLeaseRead(rank) {
				continue
			}
			if version, ok := w.CanTakeLease(now, rank); ok {
				c.Check(version, qt.Equals, uint64(7))
				return now - back
			}
		}
	}
	large := authority.Rank("large", 800, 800)
	small := authority.Rank("small", 160, 800)
	c.Check(takes(small)-takes(large) > 700*time.Millisecond, qt.IsTrue, qt.Commentf("%v and %v", takes(large), takes(small)))
	// A coordinator that has come back meanwhile is left alone.
	w := authority.NewMonitor(0)
	w.LeaseReadFailed()
	w.LeaseRead(10*time.Second, 8, 2)
	_, ok := w.CanTakeLease(10*time.Second+time.Second, small)
	c.Check(ok, qt.IsFalse)
}
