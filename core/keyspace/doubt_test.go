package keyspace_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminlift/core/keyspace"
	"cuminlift/schema"
)

// evenMap divides the keys evenly among upstreams, with two ranges each.
func evenMap(upstreams int) *schema.KeyMap {
	m := &schema.KeyMap{}
	for i := range upstreams {
		m.Holders = append(m.Holders, &schema.KeyHolder{
			Upstream: fmt.Sprint("u", i),
			Born:     1,
		})
	}
	for i := range 2 * upstreams {
		m.Widths = append(m.Widths, 98)
		m.Owners = append(m.Owners, uint32(i%upstreams))
	}
	return m
}

type keyOwners interface {
	Update(*schema.KeyMap) bool
	Owner(now time.Duration, key uint32) (string, bool)
}

// denials counts the requests that one of 75 instances sends to upstreams which hold no keys, at 27 requests/s for 38 s, in which 17
// coordinators in turn report the holders.
func denials(o keyOwners, deny func(now time.Duration, key uint32, upstream string)) int {
	const upstreams = 331
	count, sent := 0, uint32(0)
	for now := time.Duration(0); now < 38*time.Second; now += 37 * time.Millisecond {
		if now%(2200*time.Millisecond) < 37*time.Millisecond {
			o.Update(evenMap(upstreams))
		}
		sent++
		key := sent * 7919 % (2 * upstreams * 98)
		if upstream, ok := o.Owner(now, key); ok {
			count++
			deny(now, key, upstream)
		}
	}
	return count
}

// TestDeniedHoldersAreNotTriedInTurn guards against an instance without a coordinator that asks one upstream after the other for keys
// whose grants have all ended.
func TestDeniedHoldersAreNotTriedInTurn(t *testing.T) {
	c := qt.New(t)
	before := &keyspace.HolderMap{}
	without := denials(before, func(_ time.Duration, key uint32, upstream string) { before.Deny(key, upstream) })
	o := &keyspace.LocalOwners{}
	with := denials(o, o.Deny)
	c.Logf("%d of 1,028 requests to upstreams without the key, %d with doubts", without, with)
	c.Check(without > 500, qt.IsTrue)
	c.Check(with < 20, qt.IsTrue)
	c.Check(o.Doubted(), qt.IsTrue)
}

// TestOneAcceptedKeyEndsDoubts guards against an instance that goes on refusing although the holders have their grants again, and
// against answers to requests from before the grants ended that count for that.
func TestOneAcceptedKeyEndsDoubts(t *testing.T) {
	c := qt.New(t)
	o := &keyspace.LocalOwners{}
	o.Update(evenMap(8))
	for i := range uint32(3) {
		upstream, ok := o.Owner(time.Second, i*98)
		c.Assert(ok, qt.IsTrue)
		o.Deny(time.Second, i*98, upstream)
	}
	c.Assert(o.Doubted(), qt.IsTrue)
	o.Accepted(900 * time.Millisecond)
	c.Assert(o.Doubted(), qt.IsTrue)
	probed := time.Duration(0)
	for now := time.Second; probed == 0; now += 10 * time.Millisecond {
		if _, ok := o.Owner(now, 5*98); ok {
			probed = now
		}
	}
	c.Check(probed >= 1500*time.Millisecond && probed < 6*time.Second, qt.IsTrue, qt.Commentf("%v", probed))
	o.Accepted(probed)
	_, ok := o.Owner(probed, 6*98)
	c.Check(ok, qt.IsTrue)
	_, ok = o.Owner(probed, 0)
	c.Check(ok, qt.IsFalse, qt.Commentf("a denied range stays without a holder until the next report"))
}

// TestMovedRangesRaiseNoDoubts guards against refusals of all keys because some have moved since the last report.
func TestMovedRangesRaiseNoDoubts(t *testing.T) {
	c := qt.New(t)
	o := &keyspace.LocalOwners{}
	o.Update(evenMap(331))
	for i := range uint32(50) {
		now := time.Duration(i) * 100 * time.Millisecond
		upstream, ok := o.Owner(now, i*98)
		c.Assert(ok, qt.IsTrue)
		o.Deny(now, i*98, upstream)
		o.Accepted(now + 30*time.Millisecond)
	}
	c.Check(o.Doubted(), qt.IsFalse)
}
