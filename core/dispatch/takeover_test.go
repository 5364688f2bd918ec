package dispatch_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminlift/core/dispatch"
)

// takeover replays a change of the coordinator among upstreams at full load. In one of 50 requests the first attempt fails, and its
// retry takes from the budget.
type takeover struct {
	random    *rand.Rand
	pool      *dispatch.Pool
	now       time.Duration
	nextID    uint64
	waiting   map[uint64]*dispatch.Ticket
	running   map[string][]*sentRequest
	latencies dispatch.Latencies
	history   dispatch.RetryHistory
	// refused, noBudget and beyondSlots count since the last reset.
	refused, noBudget, beyondSlots, sent int
}

type sentRequest struct {
	ticket         *dispatch.Ticket
	upstream       string
	sent, startsAt time.Duration
	endsAt         time.Duration
	// pool granted the request.
	pool *dispatch.Pool
}

const takeoverUpstreams, takeoverWork = 40, 180 * time.Millisecond

func newTakeover() *takeover {
	r := &takeover{
		random:  rand.New(rand.NewPCG(5, 7)),
		waiting: map[uint64]*dispatch.Ticket{},
		running: map[string][]*sentRequest{},
		history: dispatch.NewRetryHistory(10 * time.Second),
	}
	r.pool = r.newPool()
	return r
}

func (r *takeover) newPool() *dispatch.Pool {
	p := newPool(dispatch.Share{})
	p.SetUpstreams(r.now, states(takeoverUpstreams))
	return p
}

// run plays until a time, at the given part of the upstreams' capacity.
func (r *takeover) run(until time.Duration, load float64) {
	perMillisecond := load * 2 * takeoverUpstreams / float64(takeoverWork/time.Millisecond)
	for credit := 0.0; r.now < until; r.now += time.Millisecond {
		for i := range takeoverUpstreams {
			r.end(fmt.Sprintf("u%02d", i))
		}
		for credit += perMillisecond; credit >= 1; credit-- {
			r.nextID++
			r.history.Request(r.now)
			t := ticket(r.nextID, r.now)
			t.Objective = r.now + 2*takeoverWork
			t.Deadline = r.now + 5*takeoverWork
			r.submit(t)
		}
		r.decide()
	}
}

func (r *takeover) submit(t *dispatch.Ticket) {
	r.waiting[t.ID] = t
	r.pool.Submit(r.now, t)
}

func (r *takeover) decide() {
	for _, d := range r.pool.Decide(r.now) {
		delete(r.waiting, d.Ticket.ID)
		switch {
		case d.Reason == dispatch.NoBudget:
			r.noBudget++
		case d.Upstream == "":
			r.refused++
		default:
			r.send(d)
		}
	}
}

func (r *takeover) send(d dispatch.Decision) {
	r.sent++
	if d.Ticket.Attempt > 0 {
		r.history.Retry(r.now)
	}
	at := r.running[d.Upstream]
	startsAt := r.now
	if len(at) >= 2 {
		r.beyondSlots++
		startsAt = max(r.now, at[len(at)-2].endsAt)
	}
	work := time.Duration((0.5 + r.random.Float64()) * float64(takeoverWork))
	r.running[d.Upstream] = append(at, &sentRequest{
		ticket:   d.Ticket,
		upstream: d.Upstream,
		sent:     r.now,
		startsAt: startsAt,
		endsAt:   startsAt + work,
		pool:     r.pool,
	})
}

func (r *takeover) end(upstream string) {
	var left []*sentRequest
	for _, s := range r.running[upstream] {
		if s.endsAt > r.now {
			left = append(left, s)
			continue
		}
		took := r.now - s.sent
		if r.nextID%50 == 0 && s.ticket.Attempt == 0 {
			s.pool.End(r.now, s.ticket.ID, dispatch.Erred, took, nil)
			r.nextID++
			retry := ticket(r.nextID, r.now)
			retry.Attempt = 1
			r.submit(retry)
			continue
		}
		s.pool.End(r.now, s.ticket.ID, dispatch.Answered, took, nil)
		r.latencies.Record(r.now, took, dispatch.Latency{
			Upstream:    upstream,
			Incarnation: 1,
		})
	}
	r.running[upstream] = left
}

// replace changes the coordinator. If told is true, the instances tell the new one what they have at upstreams and have learned.
func (r *takeover) replace(told bool) {
	r.pool = r.newPool()
	r.refused, r.noBudget, r.beyondSlots, r.sent = 0, 0, 0, 0
	defer func() {
		for _, id := range slices.Sorted(maps.Keys(r.waiting)) {
			t := *r.waiting[id]
			r.submit(&t)
		}
	}()
	if !told {
		return
	}
	for _, list := range r.running {
		for _, s := range list {
			s.pool = r.pool
			r.pool.Restore(r.now, dispatch.OpenTicket{
				ID:          s.ticket.ID,
				Upstream:    s.upstream,
				Incarnation: 1,
				Sent:        s.sent,
			})
		}
	}
	r.pool.AddRetryUsage(r.now, r.history.Usage(r.now))
	for _, l := range r.latencies.List(r.now, func(string, int64) bool { return true }) {
		r.pool.LearnLatency(r.now, l)
	}
}

// TestTakeoverAtFullLoadKeepsSlots guards against a new coordinator that takes all slots for free and all upstreams for fast: at full
// load, upstreams then get up to twice their slots, and requests wait there until they are late.
func TestTakeoverAtFullLoadKeepsSlots(t *testing.T) {
	c := qt.New(t)
	results := map[bool]*takeover{}
	for _, told := range []bool{false, true} {
		r := newTakeover()
		r.run(5*time.Second, 1.2)
		c.Assert(r.beyondSlots, qt.Equals, 0)
		r.replace(told)
		r.run(6*time.Second, 1.2)
		results[told] = r
		c.Logf("told %v: sent %d, refused %d, retries refused %d, beyond slots %d", told, r.sent, r.refused, r.noBudget, r.beyondSlots)
	}
	c.Check(results[false].beyondSlots > takeoverUpstreams, qt.IsTrue)
	c.Check(results[true].beyondSlots, qt.Equals, 0)
	c.Check(results[true].refused <= results[false].refused, qt.IsTrue)
}

// TestReportedLatenciesAreBounded guards against a report for hundreds of upstreams from each instance, which fills the new
// coordinator's link, and against outdated measurements in it.
func TestReportedLatenciesAreBounded(t *testing.T) {
	c := qt.New(t)
	l := dispatch.Latencies{}
	for i := range 331 {
		l.Record(time.Duration(i)*100*time.Millisecond, 80*time.Millisecond, dispatch.Latency{
			Upstream:    fmt.Sprint("u", i),
			Incarnation: int64(1 + i%2),
		})
	}
	now := 34 * time.Second
	list := l.List(now, func(string, int64) bool { return true })
	c.Assert(list, qt.HasLen, 50)
	c.Check(list[0].Upstream, qt.Equals, "u330")
	c.Check(list[49].Upstream, qt.Equals, "u281")
	// An upstream that has restarted is not taken for its former start.
	for _, entry := range l.List(now, func(_ string, incarnation int64) bool { return incarnation == 2 }) {
		c.Check(entry.Incarnation, qt.Equals, int64(2))
	}
	c.Check(l.List(now+31*time.Second, func(string, int64) bool { return true }), qt.HasLen, 0)
}

// TestRetryBudgetOutlastsTakeovers guards against a budget that each new coordinator gives out again: a chain of short terms spent
// several times what is allowed.
func TestRetryBudgetOutlastsTakeovers(t *testing.T) {
	c := qt.New(t)
	history := dispatch.NewRetryHistory(10 * time.Second)
	id := uint64(0)
	granted, requests := 0, 0
	for term := range 17 {
		start := time.Duration(term) * 500 * time.Millisecond
		p := newPool(dispatch.Share{})
		p.SetUpstreams(start, states(40))
		p.AddRetryUsage(start, history.Usage(start))
		for now := start; now < start+500*time.Millisecond; now += 10 * time.Millisecond {
			for attempt := range 3 {
				id++
				retry := ticket(id, now)
				retry.Attempt = attempt
				if attempt == 0 {
					history.Request(now)
					requests++
				}
				p.Submit(now, retry)
				for _, d := range p.Decide(now) {
					if d.Upstream != "" && d.Ticket.Attempt > 0 {
						history.Retry(now)
						granted++
					}
					p.End(now, d.Ticket.ID, dispatch.Answered, 5*time.Millisecond, nil)
				}
			}
		}
	}
	allowed := 0.2*float64(requests) + 58
	c.Logf("%d retries of %v", granted, allowed)
	c.Check(float64(granted) <= allowed, qt.IsTrue)
	// What earlier requests allow isn't lost either.
	c.Check(float64(granted) > 0.2*0.9*float64(requests), qt.IsTrue)
}
