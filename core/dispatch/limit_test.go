package dispatch_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminlift/core/dispatch"
)

// limitHistory plays instances whose requests all go to one upstream with a limit, while coordinators come and go.
type limitHistory struct {
	random    *rand.Rand
	limit     float64
	notices   []dispatch.Notices
	localPool []*dispatch.Pool
	sends     []time.Duration
	nextID    uint64
}

func newLimitHistory(seed uint64, instances int, limit float64) *limitHistory {
	h := &limitHistory{
		random:  rand.New(rand.NewPCG(seed, 28)),
		limit:   limit,
		notices: make([]dispatch.Notices, instances),
	}
	for i := range instances {
		p := newPool(dispatch.Share{
			Index: i,
			Count: instances,
		})
		p.SetUpstreams(0, states(1))
		h.localPool = append(h.localPool, p)
	}
	return h
}

func limitedUpstream() dispatch.Notice {
	return dispatch.Notice{
		Service:     "calendar",
		Upstream:    "u00",
		Incarnation: 1,
	}
}

func isPresent(string, int64) bool { return true }

// request makes instance i ask p for a ticket. A granted request is answered at once, and the answer names the limit.
func (h *limitHistory) request(now time.Duration, i int, p *dispatch.Pool) {
	h.nextID++
	p.Submit(now, ticket(h.nextID, now))
	for _, d := range p.Decide(now) {
		if d.Upstream == "" {
			continue
		}
		h.sends = append(h.sends, now)
		notice, _ := h.notices[i].Record(now, now, limitedUpstream(), named(h.limit))
		p.End(now, d.Ticket.ID, dispatch.Answered, time.Millisecond, named(h.limit))
		h.localPool[i].ApplyNotice(now, "", notice)
	}
}

// play lets pools without a predecessor's knowledge follow each other. Between them, instances decide for themselves.
func (h *limitHistory) play(duration time.Duration) {
	var coordinator *dispatch.Pool
	change := time.Duration(0)
	for now := time.Duration(0); now < duration; now += 5 * time.Millisecond {
		if now >= change {
			change = now + time.Duration(100+h.random.IntN(2500))*time.Millisecond
			if coordinator != nil && h.random.IntN(2) == 0 {
				coordinator = nil
			} else {
				coordinator = newPool(dispatch.Share{})
				coordinator.SetUpstreams(now, states(1))
				for i := range h.notices {
					for _, notice := range h.notices[i].List(now, isPresent) {
						coordinator.ApplyNotice(now, "", notice)
					}
				}
			}
		}
		i := h.random.IntN(len(h.notices))
		p := coordinator
		if p == nil {
			p = h.localPool[i]
		}
		h.request(now, i, p)
	}
}

func mostSends(sends []time.Duration, from, span time.Duration) int {
	most := 0
	for i, first := range sends {
		if first < from {
			continue
		}
		n := 0
		for _, at := range sends[i:] {
			if at-first >= span {
				break
			}
			n++
		}
		most = max(most, n)
	}
	return most
}

func TestLimitHoldsOverChangesOfCoordinator(t *testing.T) {
	c := qt.New(t)
	const contact, window = 3 * time.Second, 4 * time.Second
	for seed := range uint64(60) {
		for _, instances := range []int{2, 9, 62, 295} {
			for _, limit := range []float64{0, 0.4, 2.3, 3.7, 12, 60} {
				h := newLimitHistory(seed, instances, limit)
				// Every instance has heard of the limit before contact.
				for i := range instances {
					notice, _ := h.notices[i].Record(0, 0, limitedUpstream(), named(limit))
					h.localPool[i].ApplyNotice(0, "", notice)
				}
				h.play(20 * time.Second)
				most := mostSends(h.sends, contact, window)
				c.Assert(float64(most) <= 1.5*limit*window.Seconds()+5, qt.IsTrue,
					qt.Commentf("seed %d, %d instances, limit %v: %d in %v", seed, instances, limit, most, window))
			}
		}
	}
}

func TestLimitedUpstreamIsUsedUpToItsLimit(t *testing.T) {
	c := qt.New(t)
	p := newPool(dispatch.Share{})
	p.SetUpstreams(0, states(1))
	p.ApplyNotice(0, "", dispatch.Notice{
		Upstream:    "u00",
		Incarnation: 1,
		Limit:       4,
	})
	sent, refused := 0, 0
	for now := time.Duration(0); now < 10*time.Second; now += 5 * time.Millisecond {
		p.Submit(now, ticket(uint64(now), now))
		for _, d := range p.Decide(now) {
			if d.Upstream == "" {
				refused++
				// The queue is at most as long as a request can wait, so there is room again after that time.
				c.Assert(d.RetryAfter > 0 && d.RetryAfter <= 2*time.Second, qt.IsTrue, qt.Commentf("%v", d.RetryAfter))
				continue
			}
			sent++
			p.End(now, d.Ticket.ID, dispatch.Answered, time.Millisecond, named(4))
		}
	}
	c.Check(sent >= 38 && sent <= 41, qt.IsTrue, qt.Commentf("%d sent in 10 s", sent))
	c.Check(refused > 1000, qt.IsTrue)
	c.Check(p.Stats(10*time.Second).Limited, qt.Equals, 1)
	c.Check(p.Capacity(10*time.Second, "u00"), qt.Equals, 4.0)
}

// TestRequestsGoRoundALimitedUpstream covers a service without keys: the other upstreams take what the limited one does not.
func TestRequestsGoRoundALimitedUpstream(t *testing.T) {
	c := qt.New(t)
	p := newPool(dispatch.Share{})
	p.SetUpstreams(0, states(2))
	p.ApplyNotice(0, "", dispatch.Notice{
		Upstream:    "u00",
		Incarnation: 1,
		Limit:       1,
	})
	counts := map[string]int{}
	for now := time.Duration(0); now < 4*time.Second; now += 100 * time.Millisecond {
		p.Submit(now, ticket(uint64(now), now))
		for _, d := range p.Decide(now) {
			counts[d.Upstream]++
			report := &dispatch.Report{}
			if d.Upstream == "u00" {
				report = named(1)
			}
			p.End(now, d.Ticket.ID, dispatch.Answered, 50*time.Millisecond, report)
		}
	}
	c.Check(counts[""], qt.Equals, 0)
	c.Check(counts["u00"] <= 4, qt.IsTrue, qt.Commentf("%v", counts))
	c.Check(counts["u01"] >= 36, qt.IsTrue, qt.Commentf("%v", counts))
}
