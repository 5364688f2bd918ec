package admission_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"cuminlift/core/admission"
)

const ms = time.Millisecond

func newPool(slots int, cold time.Duration) *admission.Pool {
	return admission.NewPool(admission.Config{
		Slots:      slots,
		QueueLimit: 8,
		Cold:       cold,
		HoldLimit:  100 * ms,
		RetryRatio: 0.1,
		HedgeRatio: 0.05,
	})
}

func addUpstreams(p *admission.Pool, now time.Duration, names ...string) {
	for _, name := range names {
		p.SetUpstream(now, admission.UpstreamState{
			Name:   name,
			Usable: true,
		})
	}
}

func newRequest(id uint64, class admission.Class, deadline time.Duration) *admission.QueuedRequest {
	return &admission.QueuedRequest{
		ID:         id,
		Class:      class,
		Idempotent: class != admission.Order,
		Deadline:   deadline,
	}
}

func TestDispatchFollowsClassOrder(t *testing.T) {
	c := qt.New(t)
	p := newPool(1, 0)
	addUpstreams(p, 0, "a")
	p.Submit(0, newRequest(1, admission.Download, time.Second))
	c.Assert(p.Poll(0).Dispatches, qt.HasLen, 1)
	p.Submit(0, newRequest(2, admission.Download, time.Second))
	p.Submit(0, newRequest(3, admission.Check, time.Second))
	p.Submit(0, newRequest(4, admission.Order, time.Second))
	var order []uint64
	last := uint64(1)
	for range 3 {
		p.Finish(ms, last, "a", admission.Answered, 0)
		d := p.Poll(ms).Dispatches
		c.Assert(d, qt.HasLen, 1)
		last = d[0].QueuedRequest.ID
		order = append(order, last)
	}
	c.Assert(order, qt.DeepEquals, []uint64{4, 3, 2})
}

func TestFullQueueShedsLeastUrgentRequest(t *testing.T) {
	c := qt.New(t)
	p := newPool(1, 0)
	addUpstreams(p, 0, "a")
	for id := range uint64(9) {
		c.Assert(p.Submit(0, newRequest(id, admission.Download, time.Minute)), qt.HasLen, 0)
		p.Poll(0)
	}
	refusals := p.Submit(0, newRequest(20, admission.Check, time.Minute))
	c.Assert(refusals, qt.HasLen, 1)
	c.Assert(refusals[0].QueuedRequest.ID, qt.Equals, uint64(8))
	c.Assert(refusals[0].Reason, qt.Equals, admission.QueueFull)
	c.Assert(refusals[0].RetryAfter > 0, qt.IsTrue)
	refusals = p.Submit(0, newRequest(21, admission.Download, time.Minute))
	c.Assert(refusals, qt.HasLen, 1)
	c.Assert(refusals[0].QueuedRequest.ID, qt.Equals, uint64(21))
}

func TestSubmitRefusesUnreachableDeadline(t *testing.T) {
	c := qt.New(t)
	p := newPool(1, 0)
	addUpstreams(p, 0, "a")
	p.Submit(0, newRequest(1, admission.Check, time.Second))
	p.Poll(0)
	p.Finish(100*ms, 1, "a", admission.Answered, 0)
	p.Submit(100*ms, newRequest(2, admission.Check, time.Second))
	p.Poll(100 * ms)
	refusals := p.Submit(100*ms, newRequest(3, admission.Check, 150*ms))
	c.Assert(refusals, qt.HasLen, 1)
	c.Assert(refusals[0].Reason, qt.Equals, admission.TooLate)
}

func TestRequestIsRefusedAfterHoldLimitWithoutUpstream(t *testing.T) {
	c := qt.New(t)
	p := newPool(1, 0)
	p.Submit(0, newRequest(1, admission.Check, time.Minute))
	c.Assert(p.Poll(99*ms).Refusals, qt.HasLen, 0)
	refusals := p.Poll(100 * ms).Refusals
	c.Assert(refusals, qt.HasLen, 1)
	c.Assert(refusals[0].Reason, qt.Equals, admission.NoUpstream)
}

func TestSheddingUpstreamIsBackedOff(t *testing.T) {
	c := qt.New(t)
	p := newPool(2, time.Second)
	addUpstreams(p, 0, "a")
	request := newRequest(1, admission.Order, time.Minute)
	p.Submit(0, request)
	p.Poll(0)
	p.Finish(0, 1, "a", admission.Shed, 300*ms)
	c.Assert(p.Retry(0, request), qt.IsTrue)
	c.Assert(p.Poll(299*ms).Dispatches, qt.HasLen, 0)
	c.Assert(p.Poll(300*ms).Dispatches, qt.HasLen, 1)
}

func TestRetriesStayWithinTheBudget(t *testing.T) {
	c := qt.New(t)
	p := newPool(1000, 0)
	addUpstreams(p, 0, "a", "b")
	retried := 0
	for id := range uint64(1000) {
		request := newRequest(id, admission.Check, time.Hour)
		p.Submit(0, request)
		for _, d := range p.Poll(0).Dispatches {
			p.Finish(0, d.QueuedRequest.ID, d.Upstream, admission.Failed, 0)
			if p.Retry(0, d.QueuedRequest) {
				retried++
			}
		}
	}
	c.Assert(retried <= 101, qt.IsTrue, qt.Commentf("%d", retried))
	c.Assert(retried >= 50, qt.IsTrue, qt.Commentf("%d", retried))
}

func TestDrainingUpstreamGetsNoNewRequests(t *testing.T) {
	c := qt.New(t)
	p := newPool(2, 0)
	addUpstreams(p, 0, "a", "b")
	p.SetUpstream(0, admission.UpstreamState{
		Name:     "a",
		Usable:   true,
		Draining: true,
	})
	for id := range uint64(2) {
		p.Submit(0, newRequest(id, admission.Check, time.Minute))
	}
	for _, d := range p.Poll(0).Dispatches {
		c.Assert(d.Upstream, qt.Equals, "b")
	}
}

// countRampDispatches keeps requests queued for one upstream that has just started, and counts the dispatches in each
// tenth of the ramp.
func countRampDispatches(p *admission.Pool, cold time.Duration) []int {
	counts := make([]int, 10)
	finishAt := map[uint64]time.Duration{}
	id := uint64(0)
	for now := time.Duration(0); now < cold; now += ms {
		for len(finishAt)+p.Waiting() < 4 {
			id++
			p.Submit(now, newRequest(id, admission.Check, now+time.Hour))
			finishAt[id] = 0
		}
		for d, at := range finishAt {
			if at != 0 && at <= now {
				p.Finish(now, d, "a", admission.Answered, 0)
				delete(finishAt, d)
			}
		}
		for _, d := range p.Poll(now).Dispatches {
			finishAt[d.QueuedRequest.ID] = now + 5*ms
			counts[now*10/cold]++
		}
	}
	return counts
}

func TestStartedUpstreamIsRampedUp(t *testing.T) {
	c := qt.New(t)
	cold := time.Second
	p := newPool(2, cold)
	p.SetUpstream(0, admission.UpstreamState{
		Name:        "a",
		Usable:      true,
		Incarnation: "1",
	})
	counts := countRampDispatches(p, cold)
	full := int(cold / 10 / (5 * ms) * 2)
	for i, n := range counts {
		c.Assert(n <= full*(i+2)/10+1, qt.IsTrue, qt.Commentf("tenth %d of %v", i, counts))
	}
	c.Assert(counts[9] > counts[0], qt.IsTrue)
}

func TestHedgeGoesToAnotherUpstreamWithinTheBudget(t *testing.T) {
	c := qt.New(t)
	p := newPool(2, 0)
	addUpstreams(p, 0, "a", "b", "c")
	now := time.Duration(0)
	for id := range uint64(200) {
		p.Submit(now, newRequest(id, admission.Check, now+time.Minute))
		for _, d := range p.Poll(now).Dispatches {
			p.Finish(now+5*ms, d.QueuedRequest.ID, d.Upstream, admission.Answered, 0)
		}
		now += 10 * ms
	}
	late := newRequest(1000, admission.Check, now+time.Minute)
	p.Submit(now, late)
	first := p.Poll(now).Dispatches
	c.Assert(first, qt.HasLen, 1)
	second := p.Poll(now + 100*ms).Dispatches
	c.Assert(second, qt.HasLen, 1)
	c.Assert(second[0].Hedge, qt.IsTrue)
	c.Assert(second[0].Upstream, qt.Not(qt.Equals), first[0].Upstream)
	c.Assert(p.Poll(now+200*ms).Dispatches, qt.HasLen, 0)
}

func TestOrdersAreNeverHedged(t *testing.T) {
	c := qt.New(t)
	p := newPool(2, 0)
	addUpstreams(p, 0, "a", "b")
	for id := range uint64(100) {
		p.Submit(0, newRequest(id, admission.Check, time.Minute))
		for _, d := range p.Poll(0).Dispatches {
			p.Finish(ms, d.QueuedRequest.ID, d.Upstream, admission.Answered, 0)
		}
	}
	p.Submit(ms, newRequest(1000, admission.Order, time.Minute))
	c.Assert(p.Poll(ms).Dispatches, qt.HasLen, 1)
	c.Assert(p.Poll(10*time.Second).Dispatches, qt.HasLen, 0)
}

// TestPoolNeverExceedsSlots drives a pool with random events. It checks that no upstream runs more requests than it has
// slots, that each request ends exactly once, and that the pool's counts of waiting and running requests are right.
func TestPoolNeverExceedsSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 3).Draw(t, "slots")
		p := newPool(slots, 200*ms)
		names := []string{"a", "b", "c"}
		addUpstreams(p, 0, names...)
		m := &poolModel{
			pool:    p,
			slots:   slots,
			running: map[string]map[uint64]*admission.QueuedRequest{},
			open:    map[uint64]bool{},
		}
		for step := range rapid.IntRange(1, 200).Draw(t, "steps") {
			m.now += time.Duration(rapid.IntRange(0, 30).Draw(t, "elapsed")) * ms
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0, 1:
				m.submit(uint64(step), rapid.IntRange(0, 2).Draw(t, "class"), rapid.SampledFrom(append(names, "")).Draw(t, "owner"))
			case 2, 3:
				m.finish(admission.Result(rapid.IntRange(0, 3).Draw(t, "result")))
			case 4:
				p.SetUpstream(m.now, admission.UpstreamState{
					Name:        rapid.SampledFrom(names).Draw(t, "upstream"),
					Usable:      rapid.Bool().Draw(t, "usable"),
					Cold:        rapid.Bool().Draw(t, "cold"),
					Incarnation: fmt.Sprint(rapid.IntRange(1, 2).Draw(t, "incarnation")),
				})
			}
			if violation := m.poll(); violation != "" {
				t.Fatal(violation)
			}
		}
	})
}

// poolModel tracks the requests that a pool should have queued or running.
type poolModel struct {
	pool    *admission.Pool
	slots   int
	now     time.Duration
	running map[string]map[uint64]*admission.QueuedRequest
	open    map[uint64]bool
}

func (m *poolModel) submit(id uint64, class int, owner string) {
	request := newRequest(id, admission.Class(class), m.now+500*ms)
	request.Upstream = owner
	m.open[id] = true
	m.recordRefusals(m.pool.Submit(m.now, request))
}

func (m *poolModel) recordRefusals(refusals []admission.Refusal) {
	for _, r := range refusals {
		delete(m.open, r.QueuedRequest.ID)
	}
}

func (m *poolModel) finish(result admission.Result) {
	for name, running := range m.running {
		for id, r := range running {
			delete(running, id)
			m.pool.Finish(m.now, id, name, result, 0)
			if result != admission.Answered && !m.isRunning(id) && m.pool.Retry(m.now, r) {
				return
			}
			if !m.isRunning(id) {
				delete(m.open, id)
			}
			return
		}
	}
}

func (m *poolModel) isRunning(id uint64) bool {
	for _, running := range m.running {
		if running[id] != nil {
			return true
		}
	}
	return false
}

func (m *poolModel) poll() string {
	d := m.pool.Poll(m.now)
	m.recordRefusals(d.Refusals)
	for _, dispatch := range d.Dispatches {
		if m.running[dispatch.Upstream] == nil {
			m.running[dispatch.Upstream] = map[uint64]*admission.QueuedRequest{}
		}
		if dispatch.QueuedRequest.Upstream != "" && dispatch.QueuedRequest.Upstream != dispatch.Upstream {
			return "a keyed request was dispatched to an upstream that does not own its key"
		}
		m.running[dispatch.Upstream][dispatch.QueuedRequest.ID] = dispatch.QueuedRequest
	}
	busy := map[uint64]bool{}
	for name, running := range m.running {
		if len(running) > m.slots {
			return fmt.Sprintf("%s runs %d requests", name, len(running))
		}
		if m.pool.Running(name) != len(running) {
			return fmt.Sprintf("%s: the pool counts %d running requests, want %d", name, m.pool.Running(name), len(running))
		}
		for id := range running {
			busy[id] = true
		}
	}
	if m.pool.Waiting()+len(busy) != len(m.open) {
		return fmt.Sprintf("%d requests are waiting and %d running, but %d are unfinished", m.pool.Waiting(), len(busy), len(m.open))
	}
	return ""
}

// answerAll submits n requests one after the other, each answered after work, and returns the time of the last answer.
func answerAll(p *admission.Pool, now time.Duration, n int, work time.Duration) time.Duration {
	for id := range uint64(n) {
		p.Submit(now, newRequest(id, admission.Check, now+time.Hour))
		d := p.Poll(now).Dispatches
		for len(d) == 0 {
			now += ms
			d = p.Poll(now).Dispatches
		}
		now += work
		p.Finish(now, id, d[0].Upstream, admission.Answered, 0)
	}
	return now
}

func TestSingleSlowAnswerDoesNotStartRamp(t *testing.T) {
	c := qt.New(t)
	p := newPool(64, time.Second)
	addUpstreams(p, 0, "a")
	now := answerAll(p, 0, 100, 300*time.Microsecond)
	now = answerAll(p, now, 1, 20*ms)
	began := now
	now = answerAll(p, now, 10, 300*time.Microsecond)
	c.Assert(now-began, qt.Equals, 3*ms)
}

func TestUnreportedColdStartIsDetected(t *testing.T) {
	c := qt.New(t)
	p := newPool(2, time.Second)
	addUpstreams(p, 0, "a")
	now := answerAll(p, 0, 100, 5*ms)
	now = answerAll(p, now, 6, 50*ms)
	began := now
	now = answerAll(p, now, 10, 50*ms)
	c.Assert(now-began > 10*50*ms, qt.IsTrue, qt.Commentf("%v", now-began))
}
