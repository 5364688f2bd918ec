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

func facts(upstreams int) ownership.PlanFacts {
	f := ownership.PlanFacts{
		Members: []*schema.Member{{
			Id:   "entry-1/1",
			Name: "entry-1",
			Zone: "zone-0",
		}},
		Alive:   map[string]bool{},
		Down:    map[string]bool{},
		Loads:   map[uint64]*schema.SliceLoad{},
		Settled: true,
	}
	for i := range upstreams {
		name := fmt.Sprintf("u-%02d", i)
		f.Upstreams = append(f.Upstreams, &schema.ListedUpstream{
			Name:    name,
			Zone:    fmt.Sprintf("zone-%d", i%3),
			Address: name,
		})
		f.Alive[name] = true
	}
	return f
}

// settle plans until nothing changes, and returns the document and the number of plans.
func settle(p *assign.Planner, document *schema.Ownership, f ownership.PlanFacts) (*schema.Ownership, int) {
	for n := range 200 {
		next := p.Plan(document, f)
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
	document, _ := settle(p, &schema.Ownership{}, facts(16))
	c.Assert(p.Plan(document, facts(16)), qt.IsNil)
}

func TestLossMovesOnlyTheSlicesOfTheLost(t *testing.T) {
	c := qt.New(t)
	p := newPlanner()
	document, _ := settle(p, &schema.Ownership{}, facts(16))
	f := facts(16)
	f.Down["u-03"] = true
	after, _ := settle(p, document, f)
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
	f := facts(16)
	document, _ := settle(p, &schema.Ownership{}, f)
	const hot = uint64(12345678901234567)
	for _, s := range document.GetSlices() {
		f.Loads[s.GetStart()] = &schema.SliceLoad{
			Start: s.GetStart(),
			Rate:  10,
		}
	}
	at := document.GetSlices()[ownership.SliceIndex(document.GetSlices(), hot)].GetStart()
	f.Loads[at].Rate = 200
	f.Loads[at].Hot = hot
	f.Loads[at].HotRate = 190
	document, _ = settle(p, document, f)
	i := ownership.SliceIndex(document.GetSlices(), hot)
	c.Assert(document.GetSlices()[i].GetStart(), qt.Equals, hot)
	c.Assert(ownership.SliceEnd(document.GetSlices(), i), qt.Equals, hot)
	c.Assert(ownership.Check(document), qt.IsNil)
}

func TestChanceMovesNothing(t *testing.T) {
	c := qt.New(t)
	p := newPlanner()
	f := facts(16)
	document, _ := settle(p, &schema.Ownership{}, f)
	random := rand.New(rand.NewPCG(1, 1))
	// About 12 requests a second an upstream, counted for the time that a moving average stands for.
	const seconds = 57
	for range 200 * seconds {
		s := document.GetSlices()[ownership.SliceIndex(document.GetSlices(), random.Uint64())]
		if f.Loads[s.GetStart()] == nil {
			f.Loads[s.GetStart()] = &schema.SliceLoad{
				Start: s.GetStart(),
			}
		}
		f.Loads[s.GetStart()].Rate += 1.0 / seconds
	}
	c.Assert(p.Plan(document, f), qt.IsNil)
}

// TestPlansKeepTheInvariants plans with random facts: the document stays sound, owners are usable, fences grow.
func TestPlansKeepTheInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPlanner()
		f := facts(rapid.IntRange(1, 8).Draw(t, "upstreams"))
		document, _ := settle(p, &schema.Ownership{}, f)
		for range rapid.IntRange(1, 10).Draw(t, "rounds") {
			drawFacts(t, &f, document)
			next := p.Plan(document, f)
			if next == nil {
				continue
			}
			next.Version = document.GetVersion() + 1
			checkStep(t, document, next, f)
			document = next
		}
	})
}

func drawFacts(t *rapid.T, f *ownership.PlanFacts, document *schema.Ownership) {
	f.Down = map[string]bool{}
	f.Evicted = map[string]bool{}
	for _, u := range f.Upstreams {
		f.Down[u.GetName()] = rapid.IntRange(0, 3).Draw(t, "down") == 0
		f.Evicted[u.GetName()] = rapid.IntRange(0, 9).Draw(t, "evicted") == 0
	}
	f.Settled = rapid.Bool().Draw(t, "settled")
	for _, s := range document.GetSlices() {
		if rapid.IntRange(0, 20).Draw(t, "report") > 0 {
			continue
		}
		f.Loads[s.GetStart()] = &schema.SliceLoad{
			Start:   s.GetStart(),
			Rate:    rapid.Float32Range(0, 1000).Draw(t, "rate"),
			Hot:     s.GetStart() + 1,
			HotRate: rapid.Float32Range(0, 500).Draw(t, "hot"),
		}
	}
}

func checkStep(t *rapid.T, before, after *schema.Ownership, f ownership.PlanFacts) {
	if err := ownership.Check(after); err != nil {
		t.Fatal(err)
	}
	for i, s := range after.GetSlices() {
		old := before.GetSlices()[ownership.SliceIndex(before.GetSlices(), s.GetStart())]
		moved := s.GetOwner() != old.GetOwner()
		if moved && s.GetFence() != after.GetVersion() {
			t.Fatalf("slice %d moved with fence %d in version %d", i, s.GetFence(), after.GetVersion())
		}
		if moved && !has(s.GetPrevious(), old.GetOwner()) {
			t.Fatalf("slice %d moved from %s, which is not an earlier owner in %v", i, old.GetOwner(), s.GetPrevious())
		}
		if moved && ownership.HolderOf(after, old.GetOwner()).GetFence() != after.GetVersion() {
			t.Fatalf("the fence of %s did not grow", old.GetOwner())
		}
		if !f.Settled {
			for _, name := range old.GetPrevious() {
				if !has(s.GetPrevious(), name) {
					t.Fatalf("slice %d forgot its earlier owner %s", i, name)
				}
			}
		}
	}
}

func has(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}
