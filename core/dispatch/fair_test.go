package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminlift/core/dispatch"
)

// fairReplay sends the requests of many workspaces to one service.
type fairReplay struct {
	// load is the usual load of all workspaces as a fraction of the capacity, and sizes are their parts of it.
	load  float64
	sizes []float64
	// From surgeAt on, workspace 0 sends surge times its usual.
	surge   float64
	surgeAt time.Duration
	end     time.Duration
	// anonymous makes the tickets have no workspace, as before.
	anonymous bool
	promised  func(string) (float64, float64, bool)
}

// fairCount counts the requests of a workspace after surgeAt, and those that were answered by their objective.
type fairCount struct {
	asked, inTime int
}

const (
	fairUpstreams = 20
	fairWork      = 100 * time.Millisecond
	fairCapacity  = 2 * fairUpstreams * float64(time.Second/fairWork)
)

func (r fairReplay) run() []fairCount {
	random := rand.New(rand.NewPCG(3, 5))
	p := dispatch.NewPool(dispatch.Config{
		RetryWindow: 10 * time.Second,
		Promised:    r.promised,
	})
	p.SetUpstreams(0, states(fairUpstreams))
	total := 0.0
	for _, size := range r.sizes {
		total += size
	}
	counts := make([]fairCount, len(r.sizes))
	type running struct {
		ticket *dispatch.Ticket
		owner  int
		took   time.Duration
	}
	owners := map[uint64]int{}
	ends := map[time.Duration][]running{}
	id := uint64(0)
	const tick = time.Millisecond
	for now := time.Duration(0); now < r.end; now += tick {
		for _, e := range ends[now] {
			p.End(now, e.ticket.ID, dispatch.Answered, e.took, nil)
			if e.ticket.Objective >= now && now >= r.surgeAt {
				counts[e.owner].inTime++
			}
		}
		delete(ends, now)
		for owner, size := range r.sizes {
			rate := size / total * r.load * fairCapacity
			if owner == 0 && now >= r.surgeAt {
				rate *= r.surge
			}
			for range arrivals(random, rate*tick.Seconds()) {
				id++
				t := ticket(id, now)
				t.Priority = random.IntN(3)
				if !r.anonymous {
					t.Workspace = fmt.Sprint("w", owner)
				}
				owners[id] = owner
				if now >= r.surgeAt {
					counts[owner].asked++
				}
				p.Submit(now, t)
			}
		}
		for _, d := range p.Decide(now) {
			owner := owners[d.Ticket.ID]
			delete(owners, d.Ticket.ID)
			if d.Upstream != "" {
				took := time.Duration((0.5 + random.Float64()) * float64(fairWork)).Truncate(tick)
				ends[now+took] = append(ends[now+took], running{
					ticket: d.Ticket,
					owner:  owner,
					took:   took,
				})
			}
		}
	}
	return counts
}

func arrivals(random *rand.Rand, mean float64) int {
	n := 0
	for {
		if mean -= random.ExpFloat64(); mean < 0 {
			break
		}
		n++
	}
	return n
}

func (c fairCount) share() float64 { return float64(c.inTime) / float64(max(1, c.asked)) }

func sum(counts []fairCount) fairCount {
	var total fairCount
	for _, c := range counts {
		total.asked += c.asked
		total.inTime += c.inTime
	}
	return total
}

// zipf returns the sizes of n workspaces, of which the one at position is the first.
func zipf(n, position int) []float64 {
	var sizes []float64
	for i := range n {
		sizes = append(sizes, 1/float64(i+3))
	}
	sizes[0], sizes[position] = sizes[position], sizes[0]
	return sizes
}

// A workspace that sends ten times its usual takes capacity from 72 others.
func TestOtherWorkspacesKeepTheirCapacityBesideASurge(t *testing.T) {
	c := qt.New(t)
	for _, load := range []float64{1, 1.15, 1.3} {
		for _, position := range []int{0, 10, 72} {
			r := fairReplay{
				load:    load,
				sizes:   zipf(73, position),
				surge:   1,
				surgeAt: 20 * time.Second,
				end:     35 * time.Second,
			}
			calm := sum(r.run()[1:]).share()
			r.surge = 10
			counts := r.run()
			surge := sum(counts[1:]).share()
			r.anonymous = true
			before := sum(r.run()[1:]).share()
			t.Logf("load %v, workspace %d: others in time %.3f, beside the surge %.3f, without workspaces %.3f; surging one %.3f",
				load, position, calm, surge, before, counts[0].share())
			c.Check(surge >= calm-0.02, qt.IsTrue, qt.Commentf("load %v, workspace %d: %v, beside the surge %v", load, position, calm, surge))
		}
	}
}

// When capacity is short, a small workspace is refused more often than a large one, or one of them nearly always.
func TestSmallWorkspacesAreServedAsOftenAsLargeOnes(t *testing.T) {
	c := qt.New(t)
	for _, promise := range []float64{0, 100} {
		counts := fairReplay{
			load:     1.3,
			sizes:    zipf(73, 0),
			surge:    1,
			surgeAt:  10 * time.Second,
			end:      70 * time.Second,
			promised: func(string) (float64, float64, bool) { return promise, 0, promise > 0 },
		}.run()
		all, small := sum(counts).share(), sum(counts[36:]).share()
		t.Logf("promise %v: all %.3f, small %.3f, largest %.3f", promise, all, small, counts[0].share())
		c.Check(small >= all-0.02, qt.IsTrue, qt.Commentf("small %v, all %v", small, all))
		for i, count := range counts {
			c.Check(count.share() > all/2, qt.IsTrue, qt.Commentf("workspace %d: %v of %d, all %v", i, count.share(), count.asked, all))
		}
	}
}

// Workspaces that send alike get the same although one was promised more.
func TestShortCapacityIsSharedAsPromised(t *testing.T) {
	c := qt.New(t)
	counts := fairReplay{
		load:    3,
		sizes:   []float64{1, 1, 1, 1},
		surge:   1,
		surgeAt: 5 * time.Second,
		end:     20 * time.Second,
		promised: func(workspace string) (float64, float64, bool) {
			if workspace == "w0" {
				return 200, 0, true
			}
			return 100, 0, true
		},
	}.run()
	others := float64(sum(counts[1:]).inTime) / 3
	c.Check(float64(counts[0].inTime)/others > 1.7, qt.IsTrue, qt.Commentf("%v", counts))
	c.Check(float64(counts[0].inTime)/others < 2.3, qt.IsTrue, qt.Commentf("%v", counts))
}

func benchmarkWorkspaces(b *testing.B, workspaces int) {
	p := dispatch.NewPool(dispatch.Config{
		RetryWindow: 10 * time.Second,
	})
	p.SetUpstreams(0, states(fairUpstreams))
	names := make([]string, workspaces)
	for i := range names {
		names[i] = fmt.Sprint("w", i)
	}
	now := time.Duration(0)
	b.ReportAllocs()
	for id := uint64(1); b.Loop(); id++ {
		now += 500 * time.Microsecond // 2,000 requests per second.
		t := ticket(id, now)
		if workspaces > 0 {
			t.Workspace = names[id%uint64(workspaces)]
		}
		p.Submit(now, t)
		for _, d := range p.Decide(now) {
			if d.Upstream != "" {
				p.End(now, d.Ticket.ID, dispatch.Answered, fairWork, nil)
			}
		}
	}
}

func BenchmarkWorkspaces0(b *testing.B)     { benchmarkWorkspaces(b, 0) }
func BenchmarkWorkspaces73(b *testing.B)    { benchmarkWorkspaces(b, 73) }
func BenchmarkWorkspaces10000(b *testing.B) { benchmarkWorkspaces(b, 10_000) }

// A deployment without workspaces is served otherwise than before.
func TestTicketsWithoutWorkspaceAreServedAsBefore(t *testing.T) {
	r := fairReplay{
		load:      1.3,
		sizes:     zipf(10, 0),
		surge:     1,
		end:       5 * time.Second,
		anonymous: true,
	}
	plain := r.run()
	r.promised = func(string) (float64, float64, bool) { return 1, 0, true }
	qt.Assert(t, fmt.Sprint(r.run()), qt.Equals, fmt.Sprint(plain))
}
