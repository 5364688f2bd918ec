package authority_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminlift/core/authority"
)

// TestSmallInstancesRankBehindLargeOnes covers the loss of a coordinator among instances with 0.8 and 0.16 of a core. A
// small instance took the lease 400 ms after the last large one could have. Overloaded, it failed to renew the lease,
// lost it, and took it again.
func TestSmallInstancesRankBehindLargeOnes(t *testing.T) {
	c := qt.New(t)
	const small, large = 160, 800
	last, first := 0, 1<<30
	for i := range 200 {
		last = max(last, authority.Rank(fmt.Sprint("large-", i), large, large))
		first = min(first, authority.Rank(fmt.Sprint("small-", i), small, large))
	}
	// A large instance tries, waits 0.7 s for the store without success, and tries again.
	const retry = 700 * time.Millisecond
	c.Check(time.Duration(first-last)*authority.HeartbeatInterval/4 > retry, qt.IsTrue, qt.Commentf("%d and %d steps", last, first))
	// If all instances are small, none is delayed.
	c.Check(authority.Rank("small-1", small, small) < 8, qt.IsTrue)
}

// TestLargeInstancesTakeOverFirstAfterOutage covers the recovery of the store. By then all instances have waited longer
// than any rank's delay, and the first one to read the lease took it, small or not.
func TestLargeInstancesTakeOverFirstAfterOutage(t *testing.T) {
	c := qt.New(t)
	takeoverAfter := func(rank int) time.Duration {
		m := authority.NewMonitor(0)
		m.HeartbeatReceived(0, 0, 7, 1)
		for now := 3 * time.Second; now < 10*time.Second; now += time.Second {
			m.LeaseReadFailed()
		}
		const back = 10 * time.Second
		m.LeaseRead(back, 7, 1)
		for now := back; ; now += 10 * time.Millisecond {
			if now < m.NextLeaseRead(rank, 65) {
				continue
			}
			if version, ok := m.CanTakeLease(now, rank); ok {
				c.Check(version, qt.Equals, uint64(7))
				return now - back
			}
		}
	}
	large := authority.Rank("large", 800, 800)
	small := authority.Rank("small", 160, 800)
	c.Check(takeoverAfter(small)-takeoverAfter(large) > 700*time.Millisecond, qt.IsTrue, qt.Commentf("%v and %v", takeoverAfter(large), takeoverAfter(small)))
	// The lease is not taken from a coordinator that has returned in the meantime.
	m := authority.NewMonitor(0)
	m.LeaseReadFailed()
	m.LeaseRead(10*time.Second, 8, 2)
	_, ok := m.CanTakeLease(10*time.Second+time.Second, small)
	c.Check(ok, qt.IsFalse)
}
