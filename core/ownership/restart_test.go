package ownership_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"cuminlift/core/ownership"
	"cuminlift/schema"
)

// TestViewForAnEarlierRunIsIgnored sends a restarted instance a view that its peer addressed to its earlier process. If
// the instance recorded that view's sequence, it would ignore the peer's later views as old.
func TestViewForAnEarlierRunIsIgnored(t *testing.T) {
	c := qt.New(t)
	self := &schema.Member{
		Id: "entry-1/2",
	}
	g := ownership.NewGuardian(ownership.Config{
		Self:    self,
		Service: service,
		Timing:  testTiming(),
		Keyed:   true,
	})
	heard := func(to string, sequence uint64, document *schema.Ownership) {
		g.Step(1, &schema.OwnershipEvent{
			Kind: schema.EventKind_heard,
			View: &schema.View{
				Service:  service,
				From:     "entry-2/1",
				To:       to,
				Sequence: sequence,
				Document: document,
			},
		})
	}
	heard("entry-1/1", 45, nil)
	heard("entry-1/2", 1, &schema.Ownership{
		Version:   3,
		Guardians: []*schema.Member{self},
	})
	c.Assert(g.Version(), qt.Equals, uint64(3))
}
