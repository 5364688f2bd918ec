package assign_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"cuminlift/core/assign"
	"cuminlift/core/ownership"
	"cuminlift/internal/fixedseed"
	"cuminlift/schema"
)

func TestMain(m *testing.M) {
	fixedseed.SetRapidFlags("300")
	os.Exit(m.Run())
}

func newInput(upstreams int) ownership.PlanInput {
	in := ownership.PlanInput{
		Members: []*schema.Member{{
			Id:   "entry-1/1",
			Name: "entry-1",
			Zone: "zone-0",
		}},
		Alive:             map[string]bool{},
		Down:              map[string]bool{},
		Loads:             map[uint64]*schema.SliceLoad{},
		HandoversComplete: true,
	}
	for i := range upstreams {
		name := fmt.Sprintf("u-%02d", i)
		in.Upstreams = append(in.Upstreams, &schema.ListedUpstream{
			Name:    name,
			Zone:    fmt.Sprintf("zone-%d", i%3),
			Address: name,
		})
		in.Alive[name] = true
	}
	return in
}

// settle plans until nothing changes. It returns the document and the number of plans.
func settle(p *assign.Planner, document *schema.Ownership, in ownership.PlanInput) (*schema.Ownership, int) {
	for n := range 200 {
		next := p.Plan(document, in)
		if next == nil {
			return document, n
		}
		next.Version = document.GetVersion() + 1
		document = next
	}
	return document, 200
}

func newPlanner() *assign.Planner {
	return assign.NewPlanner(assign.Config{
		Keyed: true,
	})
}

func TestNothingChangesWithoutACause(t *testing.T) {
	c := qt.New(t)
	p := newPlanner()
	document, _ := settle(p, &schema.Ownership{}, newInput(16))
	c.Assert(p.Plan(document, newInput(16)), qt.IsNil)
}

func TestLostUpstreamMovesOnlyItsOwnSlices(t *testing.T) {
	c := qt.New(t)
	p := newPlanner()
	document, _ := settle(p, &schema.Ownership{}, newInput(16))
	in := newInput(16)
	in.Down["u-03"] = true
	after, _ := settle(p, document, in)
	for i, s := range document.GetSlices() {
		next := after.GetSlices()[i]
		if s.GetOwner() == "u-03" {
			c.Assert(next.GetOwner(), qt.Not(qt.Equals), "u-03")
			continue
		}
		c.Assert(next.GetOwner(), qt.Equals, s.GetOwner())
	}
}

func TestHotKeyGetsASliceOfItsOwn(t *testing.T) {
	c := qt.New(t)
	p := newPlanner()
	in := newInput(16)
	document, _ := settle(p, &schema.Ownership{}, in)
	const hot = uint64(12345678901234567)
	for _, s := range document.GetSlices() {
		in.Loads[s.GetStart()] = &schema.SliceLoad{
			Start: s.GetStart(),
			Rate:  10,
		}
	}
	at := document.GetSlices()[ownership.SliceIndex(document.GetSlices(), hot)].GetStart()
	in.Loads[at].Rate = 200
	in.Loads[at].Hot = hot
	in.Loads[at].HotRate = 190
	document, _ = settle(p, document, in)
	i := ownership.SliceIndex(document.GetSlices(), hot)
	c.Assert(document.GetSlices()[i].GetStart(), qt.Equals, hot)
	c.Assert(ownership.SliceEnd(document.GetSlices(), i), qt.Equals, hot)
	c.Assert(ownership.Validate(document), qt.IsNil)
}

func TestSamplingNoiseMovesNothing(t *testing.T) {
	c := qt.New(t)
	p := newPlanner()
	in := newInput(16)
	document, _ := settle(p, &schema.Ownership{}, in)
	random := rand.New(rand.NewPCG(1, 1))
	// Each upstream gets about 12 requests per second, counted over the time that the moving average covers.
	const seconds = 57
	for range 200 * seconds {
		s := document.GetSlices()[ownership.SliceIndex(document.GetSlices(), random.Uint64())]
		if in.Loads[s.GetStart()] == nil {
			in.Loads[s.GetStart()] = &schema.SliceLoad{
				Start: s.GetStart(),
			}
		}
		in.Loads[s.GetStart()].Rate += 1.0 / seconds
	}
	c.Assert(p.Plan(document, in), qt.IsNil)
}

// TestPlansKeepTheInvariants plans with random input. It guards against invalid documents, moved slices whose fence or
// previous owner is not recorded, and previous owners that are dropped before their grants have ended.
func TestPlansKeepTheInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPlanner()
		in := newInput(rapid.IntRange(1, 8).Draw(t, "upstreams"))
		document, _ := settle(p, &schema.Ownership{}, in)
		for range rapid.IntRange(1, 10).Draw(t, "rounds") {
			drawInput(t, &in, document)
			next := p.Plan(document, in)
			if next == nil {
				continue
			}
			next.Version = document.GetVersion() + 1
			checkPlan(t, document, next, in)
			document = next
		}
	})
}

func drawInput(t *rapid.T, in *ownership.PlanInput, document *schema.Ownership) {
	in.Down = map[string]bool{}
	in.Evicted = map[string]bool{}
	for _, u := range in.Upstreams {
		in.Down[u.GetName()] = rapid.IntRange(0, 3).Draw(t, "down") == 0
		in.Evicted[u.GetName()] = rapid.IntRange(0, 9).Draw(t, "evicted") == 0
	}
	in.HandoversComplete = rapid.Bool().Draw(t, "settled")
	for _, s := range document.GetSlices() {
		if rapid.IntRange(0, 20).Draw(t, "report") > 0 {
			continue
		}
		in.Loads[s.GetStart()] = &schema.SliceLoad{
			Start:   s.GetStart(),
			Rate:    rapid.Float32Range(0, 1000).Draw(t, "rate"),
			Hot:     s.GetStart() + 1,
			HotRate: rapid.Float32Range(0, 500).Draw(t, "hot"),
		}
	}
}

func checkPlan(t *rapid.T, before, after *schema.Ownership, in ownership.PlanInput) {
	if err := ownership.Validate(after); err != nil {
		t.Fatal(err)
	}
	for i, s := range after.GetSlices() {
		old := before.GetSlices()[ownership.SliceIndex(before.GetSlices(), s.GetStart())]
		moved := s.GetOwner() != old.GetOwner()
		if moved && s.GetFence() != after.GetVersion() {
			t.Fatalf("slice %d moved with fence %d in version %d", i, s.GetFence(), after.GetVersion())
		}
		if moved && !contains(s.GetPrevious(), old.GetOwner()) {
			t.Fatalf("slice %d moved from %s, which is not among its previous owners %v", i, old.GetOwner(), s.GetPrevious())
		}
		if moved && ownership.FindHolder(after, old.GetOwner()).GetFence() != after.GetVersion() {
			t.Fatalf("fence of holder %s was not raised to the new version", old.GetOwner())
		}
		if !in.HandoversComplete {
			for _, name := range old.GetPrevious() {
				if !contains(s.GetPrevious(), name) {
					t.Fatalf("slice %d dropped its previous owner %s before its grants ended", i, name)
				}
			}
		}
	}
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}
