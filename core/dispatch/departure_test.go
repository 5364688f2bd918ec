package dispatch_test

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminlift/core/dispatch"
	"cuminlift/core/roster"
)

// departureHistory plays instances whose upstreams leave one after the other and say so in their answers alone. Whoever grants tickets
// changes, and instances are cut off from it at times.
type departureHistory struct {
	c      *qt.C
	random *rand.Rand
	// known are the departures that each instance knows of, and coordinator those of the present coordinator.
	known       []roster.Departures
	coordinator roster.Departures
	connected   []bool
	pool        *dispatch.Pool
	// told is when an instance first passed on an answer that says that an upstream leaves.
	told   map[string]time.Duration
	nextID uint64
	sent   int
	// forgetful is a mutant whose instances tell a new coordinator nothing, and return no ticket.
	forgetful bool
	failure   string
}

const departureUpstreams = 6

// leavingAt returns when an upstream begins to leave; the first never does.
func leavingAt(index int) time.Duration { return time.Duration(index) * 2 * time.Second }

func (h *departureHistory) usableStates() []dispatch.UpstreamState {
	list := states(departureUpstreams)
	for i := range list {
		list[i].Usable = !h.coordinator.Has(list[i].ID, list[i].Incarnation)
	}
	return list
}

// replaceCoordinator starts a pool that knows only what the instances connected to it tell.
func (h *departureHistory) replaceCoordinator(now time.Duration) {
	h.coordinator = roster.Departures{}
	for i := range h.known {
		h.connected[i] = h.random.IntN(4) > 0
		if h.connected[i] && !h.forgetful {
			h.known[i].List(func(id string, incarnation int64) { h.coordinator.Add(now, id, incarnation) })
		}
	}
	h.pool = newPool(dispatch.Share{})
	h.pool.SetUpstreams(now, h.usableStates())
}

// learn makes the coordinator know of a departure, and all instances that are connected to it.
func (h *departureHistory) learn(now time.Duration, id string, incarnation int64) {
	h.coordinator.Add(now, id, incarnation)
	for i := range h.known {
		if h.connected[i] && !h.forgetful {
			h.known[i].Add(now, id, incarnation)
		}
	}
	h.pool.SetUpstreams(now, h.usableStates())
}

func (h *departureHistory) request(now time.Duration) {
	h.nextID++
	request := ticket(h.nextID, now)
	request.Instance = strconv.Itoa(h.random.IntN(len(h.known)))
	h.pool.Submit(now, request)
	for _, d := range h.pool.Decide(now) {
		if d.Upstream == "" {
			continue
		}
		i, err := strconv.Atoi(d.Ticket.Instance)
		h.c.Assert(err, qt.IsNil)
		if h.known[i].Has(d.Upstream, d.Incarnation) && !h.forgetful {
			h.pool.Cancel(now, d.Ticket.ID)
			h.learn(now, d.Upstream, d.Incarnation)
			continue
		}
		const drain = 2 * time.Second
		pair := d.Ticket.Instance + d.Upstream
		if at, told := h.told[pair]; told && now-at > drain {
			h.failure = "instance " + d.Ticket.Instance + " sends to " + d.Upstream + " " + (now - at).String() + " after it passed on that it leaves"
		}
		h.sent++
		index, err := strconv.Atoi(d.Upstream[1:])
		h.c.Assert(err, qt.IsNil)
		report := &dispatch.Report{
			Leaving: index > 0 && now >= leavingAt(index),
		}
		h.pool.End(now, d.Ticket.ID, dispatch.Answered, time.Millisecond, report)
		if !report.Leaving {
			continue
		}
		if _, told := h.told[pair]; !told {
			h.told[pair] = now
		}
		h.known[i].Add(now, d.Upstream, d.Incarnation)
		// The report of the answer may be lost with the connection to the coordinator.
		if h.connected[i] {
			h.learn(now, d.Upstream, d.Incarnation)
		}
	}
}

func playDepartures(c *qt.C, seed uint64, forgetful bool) *departureHistory {
	h := &departureHistory{
		c:         c,
		random:    rand.New(rand.NewPCG(seed, 31)),
		known:     make([]roster.Departures, 5),
		connected: make([]bool, 5),
		told:      map[string]time.Duration{},
		forgetful: forgetful,
	}
	change := time.Duration(0)
	for now := time.Duration(0); now < 18*time.Second && h.failure == ""; now += 10 * time.Millisecond {
		if now >= change {
			change = now + time.Duration(200+h.random.IntN(3000))*time.Millisecond
			h.replaceCoordinator(now)
		}
		h.request(now)
	}
	return h
}

func TestDepartedUpstreamIsLeftAloneOverChangesOfCoordinator(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(100) {
		h := playDepartures(c, seed, false)
		c.Assert(h.failure, qt.Equals, "", qt.Commentf("seed %d", seed))
		c.Assert(h.sent > 500, qt.IsTrue, qt.Commentf("seed %d: %d sent", seed, h.sent))
	}
	found := false
	for seed := uint64(0); seed < 100 && !found; seed++ {
		found = playDepartures(c, seed, true).failure != ""
	}
	c.Check(found, qt.IsTrue, qt.Commentf("instances that forget are not noticed"))
}
