package keyspace_test

import (
	"math/rand/v2"
	"strconv"
	"testing"

	qt "github.com/frankban/quicktest"

	"cuminlift/core/keyspace"
	"cuminlift/schema"
)

// threeRanges has ranges of 100 keys each at u0, u1 and u0.
func threeRanges() *schema.KeyMap {
	return &schema.KeyMap{
		Holders: []*schema.KeyHolder{{
			Upstream: "u0",
		}, {
			Upstream: "u1",
		}},
		Widths: []uint32{100, 100, 100},
		Owners: []uint32{0, 1, 0},
	}
}

func ownerOf(m *keyspace.HolderMap, key uint32) string {
	id, _ := m.Owner(0, key)
	return id
}

// TestDeniedRangeHasNoOwnerUntilReportedAgain guards against sending every request for a lost key to the upstream that has
// already rejected it.
func TestDeniedRangeHasNoOwnerUntilReportedAgain(t *testing.T) {
	c := qt.New(t)
	m := &keyspace.HolderMap{}
	c.Check(ownerOf(m, 0), qt.Equals, "")
	m.Deny(0, "u0") // Nothing is known of the key.
	c.Assert(m.Update(threeRanges()), qt.IsTrue)
	m.Deny(150, "u0") // A late rejection of another upstream.
	c.Check(ownerOf(m, 150), qt.Equals, "u1")
	m.Deny(50, "u0")
	m.Deny(51, "u0") // The same range.
	c.Check(ownerOf(m, 0), qt.Equals, "")
	c.Check(ownerOf(m, 99), qt.Equals, "")
	c.Check(ownerOf(m, 250), qt.Equals, "u0")
	m.Deny(250, "u0")
	c.Check(ownerOf(m, 250), qt.Equals, "")
	c.Check(ownerOf(m, 150), qt.Equals, "u1")
	c.Assert(m.Update(threeRanges()), qt.IsTrue)
	c.Check(ownerOf(m, 50), qt.Equals, "u0")
}

func TestHolderOfManyDeniedRangesHoldsNothing(t *testing.T) {
	c := qt.New(t)
	m := &keyspace.HolderMap{}
	c.Assert(m.Update(&schema.KeyMap{
		Holders: threeRanges().GetHolders(),
		Widths:  []uint32{10, 10, 10, 10},
		Owners:  []uint32{0, 0, 0, 1},
	}), qt.IsTrue)
	m.Deny(5, "u0")
	c.Check(ownerOf(m, 25), qt.Equals, "u0")
	m.Deny(15, "u0")
	c.Check(ownerOf(m, 25), qt.Equals, "")
	c.Check(ownerOf(m, 35), qt.Equals, "u1")
}

func TestInconsistentHoldersAreRejected(t *testing.T) {
	c := qt.New(t)
	m := &keyspace.HolderMap{}
	c.Assert(m.Update(threeRanges()), qt.IsTrue)
	broken := threeRanges()
	broken.Owners[1] = 7
	c.Check(m.Update(broken), qt.IsFalse)
	broken.Owners = broken.Owners[:2]
	c.Check(m.Update(broken), qt.IsFalse)
	c.Check(ownerOf(m, 150), qt.Equals, "u1")
}

// TestChangesTurnOneMapIntoTheNext guards against instances that keep an outdated holder, or invent one, because only the changed
// ranges are sent.
func TestChangesTurnOneMapIntoTheNext(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	previous := randomMap(random)
	m := &keyspace.HolderMap{}
	c.Check(m.Apply(keyspace.Changes(&schema.KeyMap{}, previous)), qt.IsFalse) // Nothing is known that could change.
	c.Assert(m.Update(previous), qt.IsTrue)
	for range 300 {
		next := randomMap(random)
		c.Assert(m.Apply(keyspace.Changes(previous, next)), qt.IsTrue)
		want := &keyspace.HolderMap{}
		c.Assert(want.Update(next), qt.IsTrue)
		for key := range uint32(mapKeys) {
			c.Assert(ownerOf(m, key), qt.Equals, ownerOf(want, key))
		}
		c.Check(keyspace.Changes(next, next).GetRanges(), qt.HasLen, 0)
		previous = next
	}
	c.Check(m.Apply(&schema.OwnerChanges{
		Holders: previous.GetHolders(),
		Ranges: []*schema.OwnedRange{{
			From:  mapKeys - 1,
			Width: 2,
		}},
	}), qt.IsFalse)
}

const mapKeys = 64

// randomMap returns a map of mapKeys keys in random ranges.
func randomMap(random *rand.Rand) *schema.KeyMap {
	m := &schema.KeyMap{}
	for i := range 4 {
		m.Holders = append(m.Holders, &schema.KeyHolder{
			Upstream: "u" + strconv.Itoa((i+random.IntN(2))%4),
			Born:     int64(random.IntN(2)),
		})
	}
	for left := uint32(mapKeys); left > 0; {
		width := min(left, 1+random.Uint32N(20))
		left -= width
		m.Widths = append(m.Widths, width)
		m.Owners = append(m.Owners, random.Uint32N(4))
	}
	return m
}
