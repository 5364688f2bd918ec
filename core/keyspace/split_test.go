package keyspace_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"cuminlift/core/keyspace"
	"cuminlift/schema"
)

const splitKeys = 1 << 16

// assignmentWithRanges returns an assignment of all keys in the given number of ranges.
func assignmentWithRanges(ranges uint32) *schema.Assignment {
	return assignmentOver(ranges, splitKeys)
}

func assignmentOver(ranges, keys uint32) *schema.Assignment {
	a := &schema.Assignment{
		Term:      3,
		NextFence: 70000,
		Map:       &schema.KeyMap{},
	}
	for i := range uint32(500) {
		a.Map.Holders = append(a.Map.Holders, &schema.KeyHolder{
			Upstream: fmt.Sprintf("i-%010x", i),
			Born:     1765000000000 + int64(i),
		})
	}
	for i := range ranges {
		a.Map.Widths = append(a.Map.Widths, keys/ranges)
		a.Map.Owners = append(a.Map.Owners, i%500)
		a.Fences = append(a.Fences, uint64(i+1))
	}
	a.Priors = append(a.Priors, &schema.KeyPrior{
		Range:  1,
		Holder: 2,
		Fence:  9,
	})
	return a
}

func TestLongAssignmentSpansSeveralRows(t *testing.T) {
	c := qt.New(t)
	for ranges, several := range map[uint32]bool{
		512:   false,
		32768: true,
	} {
		whole := assignmentWithRanges(ranges)
		values, err := keyspace.Split(whole)
		c.Assert(err, qt.IsNil)
		c.Check(len(values) > 1, qt.Equals, several)
		for _, value := range values {
			c.Check(len(value) <= 64<<10, qt.IsTrue)
		}
		joined, err := keyspace.Join(values, splitKeys)
		c.Assert(err, qt.IsNil)
		c.Check(proto.Equal(joined, whole), qt.IsTrue)
	}
}

func TestInvalidAssignmentIsRejected(t *testing.T) {
	c := qt.New(t)
	whole := assignmentWithRanges(32768)
	values, err := keyspace.Split(whole)
	c.Assert(err, qt.IsNil)
	other := assignmentWithRanges(32768)
	other.NextFence++
	foreign, err := keyspace.Split(other)
	c.Assert(err, qt.IsNil)
	short := assignmentWithRanges(512)
	short.Map.Widths[3]--
	gap, err := keyspace.Split(short)
	c.Assert(err, qt.IsNil)
	ownerless := assignmentWithRanges(512)
	ownerless.Map.Owners[7] = 500
	unknown, err := keyspace.Split(ownerless)
	c.Assert(err, qt.IsNil)
	for name, damaged := range map[string][][]byte{
		"missing row":                  values[:len(values)-1],
		"row of another assignment":    append(append([][]byte{}, values[:1]...), foreign[1:]...),
		"row that cannot be decoded":   {[]byte("no row")},
		"key without a range":          gap,
		"range with an unknown holder": unknown,
		"prior of an unknown range":    {mustSplit(c, &schema.Assignment{Priors: []*schema.KeyPrior{{Range: 1}}})},
	} {
		_, err := keyspace.Join(damaged, splitKeys)
		var invalid *keyspace.AssignmentError
		c.Check(errors.As(err, &invalid), qt.IsTrue, qt.Commentf("%s: %v", name, err))
	}
}

func mustSplit(c *qt.C, a *schema.Assignment) []byte {
	values, err := keyspace.Split(a)
	c.Assert(err, qt.IsNil)
	return values[0]
}

// FuzzJoin decodes rows with arbitrary content: Join must either reject them or return an assignment that a Manager can
// use.
func FuzzJoin(f *testing.F) {
	const keys = 64
	values, err := keyspace.Split(assignmentOver(16, keys))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(values[0])
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, value []byte) {
		assignment, err := keyspace.Join([][]byte{value}, keys)
		if err != nil {
			return
		}
		keyspace.NewManager(keyspace.Config{
			Keys: keys,
			Hold: time.Second,
		}, 0, 1, assignment).Owner(0, keys-1)
	})
}
