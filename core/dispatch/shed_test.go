package dispatch_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminlift/core/dispatch"
)

// spreadOwners owns every key, spread over the upstreams of states.
type spreadOwners int

func (n spreadOwners) Owner(_ time.Duration, key uint32) (string, bool) {
	return fmt.Sprintf("u%02d", int(key)%int(n)), true
}

// shedSimulation replays a service whose upstreams reject a fraction of the requests that reach them, although they have
// free slots. Clients return up to twice, when they are told to.
type shedSimulation struct {
	pool   *dispatch.Pool
	random *rand.Rand
	now    time.Duration
	events eventQueue
	nextID uint64
	// running counts requests by upstream.
	running map[string]int
	// served counts clients, inTime those whose answer met the objective.
	served, inTime int
}

const (
	shedShare      = 0.55
	shedUpstreams  = 11
	shedWork       = 150 * time.Millisecond
	shedDeadline   = 3 * time.Second
	shedObjective  = 500 * time.Millisecond
	clientAttempts = 3
)

func (s *shedSimulation) after(pause time.Duration, run func()) {
	heap.Push(&s.events, event{
		at:  s.now + pause,
		run: run,
	})
}

// request submits an attempt of a client. The gateway repeats it at most twice, as attempts 1 and 2.
func (s *shedSimulation) request(key uint32, arrived time.Duration, clientAttempt int, attempt int) {
	s.nextID++
	s.pool.Submit(s.now, &dispatch.Ticket{
		ID:         s.nextID,
		Key:        key + 1,
		Idempotent: true,
		Zone:       "zone-0",
		Deadline:   arrived + shedDeadline,
		Objective:  arrived + shedObjective,
		Attempt:    attempt,
	})
	for _, d := range s.pool.Decide(s.now) {
		s.handle(d, clientAttempt)
	}
}

func (s *shedSimulation) handle(d dispatch.Decision, clientAttempt int) {
	t := d.Ticket
	arrived := t.Deadline - shedDeadline
	switch {
	case d.Upstream == "":
		// Clients wait for at most a third of the time that they have left.
		if wait := d.RetryAfter; clientAttempt < clientAttempts && wait < (t.Deadline-s.now)/3 {
			s.after(wait, func() { s.request(t.Key-1, arrived, clientAttempt+1, 0) })
		}
	case s.random.Float64() < shedShare:
		load := []uint32{uint32(s.running[d.Upstream]), 0, 2, 100}
		s.after(time.Millisecond, func() {
			s.pool.End(s.now, t.ID, dispatch.Shed, time.Millisecond, &dispatch.Report{
				Load: load,
			})
			if t.Attempt < 2 {
				s.request(t.Key-1, arrived, clientAttempt, t.Attempt+1)
				return
			}
			if clientAttempt < clientAttempts {
				s.after(100*time.Millisecond, func() { s.request(t.Key-1, arrived, clientAttempt+1, 0) })
			}
		})
	default:
		s.running[d.Upstream]++
		s.after(shedWork, func() {
			load := []uint32{uint32(s.running[d.Upstream]), 0, 2, 100}
			s.running[d.Upstream]--
			s.served++
			if s.now <= t.Objective {
				s.inTime++
			}
			s.pool.End(s.now, t.ID, dispatch.Answered, shedWork, &dispatch.Report{
				Load: load,
			})
			for _, next := range s.pool.Decide(s.now) {
				s.handle(next, clientAttempt)
			}
		})
	}
}

// TestUpstreamsThatRejectAtRandomStayInUse replays a service at half of its capacity whose upstreams all reject 55 of 100
// requests at once. Each rejection used to block the upstream for up to 0.64 s, so that requests were refused beside idle slots.
func TestUpstreamsThatRejectAtRandomStayInUse(t *testing.T) {
	c := qt.New(t)
	s := &shedSimulation{
		random:  rand.New(rand.NewPCG(7, 8)),
		running: map[string]int{},
	}
	s.pool = dispatch.NewPool(dispatch.Config{
		RetryRatio:  0.2,
		RetrySlack:  58,
		RetryWindow: 10 * time.Second,
		Owners:      spreadOwners(shedUpstreams),
	})
	s.pool.SetUpstreams(0, states(shedUpstreams))
	const clients, length = 600, 8 * time.Second
	for i := range clients {
		s.after(length*time.Duration(i)/clients, func() { s.request(uint32(s.random.IntN(1<<16)), s.now, 1, 0) })
	}
	for at := time.Duration(0); at < length+shedDeadline; at += 10 * time.Millisecond {
		s.after(at, func() {
			for _, d := range s.pool.Decide(s.now) {
				s.handle(d, 1)
			}
		})
	}
	for s.events.Len() > 0 {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.run()
	}
	// Three attempts at 0.45 each serve 0.83 of the clients even if the gateway repeats nothing, and each attempt is rejected or
	// begun at once.
	inTime := float64(s.inTime) / clients
	c.Check(inTime >= 0.83, qt.IsTrue, qt.Commentf("%.3f of the clients were served in time, %.3f at all", inTime, float64(s.served)/clients))
}
