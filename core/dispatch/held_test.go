package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminlift/core/dispatch"
	"cuminlift/core/request"
)

// memoryHistory plays upstreams that end once the requests that they hold exceed their memory.
type memoryHistory struct {
	pool     *dispatch.Pool
	suspects *dispatch.Suspects
	now      time.Duration
	memory   int64
	states   []dispatch.UpstreamState
	held     map[string]int64
	running  map[string][]uint64
	size     int
	nextID   uint64
	crashes  int
	served   int
	// suspected is the largest number of suspicions after a round.
	suspected int
}

func newMemoryHistory(bounded bool, memory int64, size int) *memoryHistory {
	h := &memoryHistory{
		suspects: &dispatch.Suspects{},
		memory:   memory,
		held:     map[string]int64{},
		running:  map[string][]uint64{},
		size:     size,
	}
	h.pool = dispatch.NewPool(dispatch.Config{
		RetryRatio:     1,
		RetrySlack:     1000,
		RetryWindow:    time.Second,
		Suspects:       h.suspects,
		BoundHeldBytes: bounded,
	})
	for i := range 4 {
		h.states = append(h.states, dispatch.UpstreamState{
			ID:          fmt.Sprint("u", i),
			Incarnation: 1,
			Slots:       8,
			Usable:      true,
		})
	}
	h.pool.SetUpstreams(0, h.states)
	return h
}

// step submits n requests, sends what the pool decides, and then ends all that is held.
func (h *memoryHistory) step(n int) {
	h.now += 50 * time.Millisecond
	for range n {
		h.nextID++
		h.pool.Submit(h.now, &dispatch.Ticket{
			ID:        h.nextID,
			BodyBytes: h.size,
			Deadline:  h.now + time.Second,
			Objective: h.now + time.Second,
			Identity: request.Identity{
				Content: 1 + h.nextID%16,
			},
		})
	}
	for _, d := range h.pool.Decide(h.now) {
		if d.Upstream != "" {
			h.held[d.Upstream] += int64(h.size)
			h.running[d.Upstream] = append(h.running[d.Upstream], d.Ticket.ID)
		}
	}
	for i := range h.states {
		h.end(&h.states[i])
	}
	h.pool.SetUpstreams(h.now, h.states)
	h.suspected = max(h.suspected, len(h.suspects.List(h.now)))
}

func (h *memoryHistory) end(u *dispatch.UpstreamState) {
	outcome := dispatch.Answered
	if h.held[u.ID] > h.memory {
		outcome = dispatch.Crashed
		h.crashes++
	}
	for _, id := range h.running[u.ID] {
		if outcome == dispatch.Crashed {
			h.suspects.Record(h.now, request.Identity{
				Content: 1 + id%16,
			}, dispatch.Crash{
				Upstream:    u.ID,
				Incarnation: u.Incarnation,
				Sent:        h.now,
				Ended:       h.now,
			})
		} else {
			h.served++
		}
		h.pool.End(h.now, id, outcome, time.Millisecond, nil)
	}
	h.held[u.ID], h.running[u.ID] = 0, nil
	if outcome == dispatch.Crashed {
		u.Incarnation++
	}
}

// TestBoundOnHeldBytesKeepsUpstreamsAlive guards against upstreams that end because the requests sent to them exceed their memory, again
// and again, and against innocent requests that are rejected for it.
func TestBoundOnHeldBytesKeepsUpstreamsAlive(t *testing.T) {
	c := qt.New(t)
	play := func(bounded bool) *memoryHistory {
		h := newMemoryHistory(bounded, 6<<20, 1<<20)
		for range 200 {
			h.step(40)
		}
		return h
	}
	unbounded, bounded := play(false), play(true)
	c.Logf("without a bound %d ends, %d served; with it %d ends, %d served", unbounded.crashes, unbounded.served, bounded.crashes, bounded.served)
	// Upstreams don't tell how much they can hold: all four may be tried beyond it once, at the same time.
	c.Check(bounded.crashes <= 4, qt.IsTrue, qt.Commentf("%d ends", bounded.crashes))
	c.Check(bounded.served > unbounded.served, qt.IsTrue)
	c.Check(bounded.suspected, qt.Equals, 0)
}

// TestSmallRequestsAreNotBounded guards against a bound that costs capacity where memory is not short, and against a request that fits no
// bound and is never sent.
func TestSmallRequestsAreNotBounded(t *testing.T) {
	c := qt.New(t)
	for _, size := range []int{0, 4 << 10} {
		unbounded, bounded := newMemoryHistory(false, 6<<20, size), newMemoryHistory(true, 6<<20, size)
		for range 50 {
			unbounded.step(20)
			bounded.step(20)
		}
		c.Check(bounded.served, qt.Equals, unbounded.served)
	}
	large := newMemoryHistory(true, 1<<40, 100<<20)
	large.step(1)
	c.Check(large.served, qt.Equals, 1)
}

// TestRequestThatEndsUpstreamsAloneStaysSuspected guards against taking a request that ends upstreams for lack of memory.
func TestRequestThatEndsUpstreamsAloneStaysSuspected(t *testing.T) {
	c := qt.New(t)
	h := newMemoryHistory(true, 0, 1<<20)
	h.step(1)
	c.Check(h.crashes, qt.Equals, 1)
	c.Check(h.suspects.List(h.now), qt.HasLen, 1)
}
