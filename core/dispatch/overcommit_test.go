package dispatch_test

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminlift/core/dispatch"
)

// remoteSimulation simulates upstreams with slots and queues of their own, which messages from the coordinator reach
// after a delay.
type remoteSimulation struct {
	pool         *dispatch.Pool
	now          time.Duration
	events       eventQueue
	served       int
	delay        time.Duration
	reports      bool
	upstreams    map[string]*simulatedUpstream
	longestQueue int
	random       *rand.Rand
}

type simulatedUpstream struct {
	running int
	queue   []uint64
}

type event struct {
	at  time.Duration
	run func()
}

type eventQueue []event

func (l eventQueue) Len() int           { return len(l) }
func (l eventQueue) Less(i, j int) bool { return l[i].at < l[j].at }
func (l eventQueue) Swap(i, j int)      { l[i], l[j] = l[j], l[i] }
func (l *eventQueue) Push(x any)        { *l = append(*l, x.(event)) }
func (l *eventQueue) Pop() any {
	old := *l
	last := old[len(old)-1]
	*l = old[:len(old)-1]
	return last
}

func (s *remoteSimulation) after(pause time.Duration, run func()) {
	heap.Push(&s.events, event{
		at:  s.now + pause,
		run: run,
	})
}

func (s *remoteSimulation) decide() {
	for _, decision := range s.pool.Decide(s.now) {
		if decision.Upstream == "" {
			continue
		}
		sent := s.now
		u := s.upstreams[decision.Upstream]
		s.after(s.delay, func() { s.arrive(u, decision.Ticket.ID, sent) })
	}
}

const overloadDuration = 4 * time.Second

func (s *remoteSimulation) arrive(u *simulatedUpstream, id uint64, sent time.Duration) {
	if u.running == 2 {
		u.queue = append(u.queue, id)
		s.longestQueue = max(s.longestQueue, len(u.queue))
		return
	}
	u.running++
	// The mean duration is 100 ms.
	work := time.Duration(50+s.random.IntN(101)) * time.Millisecond
	s.after(work, func() { s.finish(u, id, sent) })
}

func (s *remoteSimulation) finish(u *simulatedUpstream, id uint64, sent time.Duration) {
	var load []uint32
	if s.reports {
		load = []uint32{uint32(u.running), uint32(len(u.queue)), 2, 100}
	}
	u.running--
	if len(u.queue) > 0 {
		next := u.queue[0]
		u.queue = u.queue[1:]
		s.arrive(u, next, sent)
	}
	s.after(s.delay, func() {
		if s.now <= overloadDuration {
			s.served++
		}
		s.pool.End(s.now, id, dispatch.Answered, s.now-sent, &dispatch.Report{
			Load: load,
		})
		s.decide()
	})
}

// simulateRemote sends more requests than can be answered for overloadDuration and returns the simulation at its end.
func simulateRemote(delay time.Duration, reports bool) *remoteSimulation {
	s := &remoteSimulation{
		pool:      newPool(dispatch.Share{}),
		delay:     delay,
		reports:   reports,
		upstreams: map[string]*simulatedUpstream{},
		random:    rand.New(rand.NewPCG(5, 6)),
	}
	for _, state := range states(10) {
		s.upstreams[state.ID] = &simulatedUpstream{}
	}
	s.pool.SetUpstreams(0, states(10))
	for id := uint64(1); id <= 1200; id++ {
		at := time.Duration(id) * overloadDuration / 1200
		s.after(at, func() {
			s.pool.Submit(s.now, ticket(id, s.now))
			s.decide()
		})
	}
	for s.events.Len() > 0 {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.run()
	}
	return s
}

// TestOvercommitHidesMessageDelay simulates an overload with message delays of 30 ms, as on a slow link that also
// carries large responses. Without overcommit, every request leaves its slot idle for two such delays.
func TestOvercommitHidesMessageDelay(t *testing.T) {
	c := qt.New(t)
	before := simulateRemote(30*time.Millisecond, false)
	after := simulateRemote(30*time.Millisecond, true)
	// Ten upstreams with two slots and a mean duration of 100 ms can answer 800 requests in 4 s. At least a third of
	// the capacity lost to message delays must be recovered, including the time to adapt.
	idle := 800 - before.served
	c.Check(idle > 250, qt.IsTrue, qt.Commentf("%d served without reports", before.served))
	c.Check(after.served-before.served > idle/3, qt.IsTrue, qt.Commentf("%d served, %d without reports", after.served, before.served))
	// Upstreams queue only a few requests, so no queue may exceed the number of slots.
	c.Check(after.longestQueue <= 2, qt.IsTrue, qt.Commentf("%d waited at one upstream", after.longestQueue))
}

func TestNoOvercommitWithoutMessageDelay(t *testing.T) {
	c := qt.New(t)
	c.Check(simulateRemote(time.Millisecond, true).longestQueue, qt.Equals, 0)
}

// TestSlotReleasedWhenResponseHeadersArrive covers large responses, whose transfer takes longer than the work.
func TestSlotReleasedWhenResponseHeadersArrive(t *testing.T) {
	c := qt.New(t)
	p := newPool(dispatch.Share{})
	p.SetUpstreams(0, states(1))
	for id := uint64(1); id <= 3; id++ {
		p.Submit(0, ticket(id, 0))
	}
	c.Assert(p.Decide(0), qt.HasLen, 2)
	const began = 50 * time.Millisecond
	p.Head(began, 1, began, nil)
	next := p.Decide(began)
	c.Assert(next, qt.HasLen, 1)
	c.Check(next[0].Ticket.ID, qt.Equals, uint64(3))
	// End must not release the slot of the first request a second time.
	p.Submit(began, ticket(4, began))
	p.End(2*began, 1, dispatch.Answered, 2*began, nil)
	c.Check(p.Decide(2*began), qt.HasLen, 0)
	c.Check(p.Stats(2*began).Running, qt.Equals, 2)
}
