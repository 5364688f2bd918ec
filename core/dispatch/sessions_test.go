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

const sessionGrace = time.Second

// openRequest is a request of an instance that has a ticket.
type openRequest struct {
	service, upstream string
	deadline          time.Duration
	granted, headed   bool
}

// sessionInstance is an instance of the model, with the state of its last start. The IDs of its tickets begin at 1 with each start.
type sessionInstance struct {
	incarnation int
	// untold is true for an instance of an earlier build, which does not tell its incarnation.
	untold   bool
	lastID   uint64
	requests map[uint64]*openRequest
	session  *dispatch.Session
	// attached is true from connecting until both sides know that the connection is lost; delivers is false once it is.
	attached, delivers bool
}

// heldSlot identifies a request of a start whose slot the coordinator must keep.
type heldSlot struct {
	instance, incarnation int
	id                    uint64
}

// sessionModel runs instances with a coordinator. slots is what the coordinator must keep at present, with the time at which it ends it.
type sessionModel struct {
	c         *qt.C
	random    *rand.Rand
	now       time.Duration
	instances []*sessionInstance
	sessions  *dispatch.Sessions
	pools     map[string]*dispatch.Pool
	upstreams []dispatch.UpstreamState
	slots     map[heldSlot]time.Duration
	// counts tells which events have taken place.
	counts map[string]int
}

func newSessionModel(c *qt.C, seed uint64) *sessionModel {
	m := &sessionModel{
		c:         c,
		random:    rand.New(rand.NewPCG(seed, 3)),
		upstreams: states(2),
		counts:    map[string]int{},
	}
	for i := range 4 {
		m.instances = append(m.instances, &sessionInstance{
			untold:   i == 0,
			requests: map[uint64]*openRequest{},
		})
	}
	m.takeOver()
	return m
}

func (m *sessionModel) slot(i int, id uint64) heldSlot {
	slot := heldSlot{
		instance: i,
		id:       id,
	}
	if v := m.instances[i]; !v.untold {
		slot.incarnation = v.incarnation
	}
	return slot
}

// takeOver replaces the coordinator by one that knows nothing.
func (m *sessionModel) takeOver() {
	m.sessions = dispatch.NewSessions(sessionGrace)
	m.slots = map[heldSlot]time.Duration{}
	m.pools = map[string]*dispatch.Pool{}
	for _, service := range []string{"a", "b"} {
		pool := newPool(dispatch.Share{})
		pool.SetUpstreams(m.now, m.upstreams)
		m.pools[service] = pool
	}
	for i, v := range m.instances {
		m.dropWaiting(v)
		v.attached, v.delivers = false, false
		v.session = m.sessions.Open(func(id uint64, d dispatch.Decision) { m.decided(i, id, d) })
	}
}

// dropWaiting makes an instance serve its waiting requests without the coordinator.
func (m *sessionModel) dropWaiting(v *sessionInstance) {
	maps.DeleteFunc(v.requests, func(_ uint64, r *openRequest) bool { return !r.granted })
}

// decided is called with a decision of the coordinator.
func (m *sessionModel) decided(i int, id uint64, d dispatch.Decision) {
	v := m.instances[i]
	if d.Upstream != "" {
		m.slots[m.slot(i, id)] = d.Ticket.Deadline + sessionGrace
	}
	if !v.delivers {
		return
	}
	r := v.requests[id]
	switch {
	case d.Upstream == "":
		delete(v.requests, id)
	case r == nil:
		m.end(i, id) // The request was given up meanwhile.
	default:
		r.granted, r.upstream = true, d.Upstream
	}
}

func (m *sessionModel) submit(i int) {
	v := m.instances[i]
	if !v.attached {
		return
	}
	v.lastID++
	service := []string{"a", "b"}[m.random.IntN(2)]
	v.requests[v.lastID] = &openRequest{
		service:  service,
		deadline: m.now + 2*time.Second,
	}
	if v.delivers {
		delete(m.slots, m.slot(i, v.lastID)) // Of an earlier start, if this one does not tell that it is another.
		v.session.Submit(m.now, service, m.pools[service], ticket(v.lastID, m.now))
	}
}

// end ends a request, and tells the coordinator if that is possible.
func (m *sessionModel) end(i int, id uint64) {
	v := m.instances[i]
	r := v.requests[id]
	granted := r != nil && r.granted
	delete(v.requests, id)
	if !v.delivers {
		return
	}
	delete(m.slots, m.slot(i, id))
	t, ok := v.session.Take(id)
	switch {
	case !ok:
	case granted:
		t.Pool.End(m.now, t.ID, dispatch.Answered, 10*time.Millisecond, nil)
	default:
		t.Pool.Cancel(m.now, t.ID)
	}
}

func (m *sessionModel) head(i int, id uint64) {
	v := m.instances[i]
	v.requests[id].headed = true
	if !v.delivers {
		return
	}
	delete(m.slots, m.slot(i, id))
	t, ok := v.session.Find(id)
	m.c.Assert(ok, qt.IsTrue, qt.Commentf("the coordinator does not know a ticket that it granted, or was told of"))
	t.Pool.Head(m.now, t.ID, 10*time.Millisecond, nil)
}

// connect makes an instance tell its tickets to the coordinator.
func (m *sessionModel) connect(i int) {
	v := m.instances[i]
	v.attached, v.delivers = true, true
	if v.untold {
		v.session.Identify("")
	} else {
		v.session.Identify(fmt.Sprint("start ", v.incarnation))
		maps.DeleteFunc(m.slots, func(s heldSlot, _ time.Duration) bool { return s.instance == i && s.incarnation == v.incarnation })
	}
	var answering []uint64
	for id, r := range v.requests {
		if r.headed {
			answering = append(answering, id)
			continue
		}
		m.slots[m.slot(i, id)] = r.deadline + sessionGrace
		v.session.Restore(m.now, r.service, m.pools[r.service], dispatch.OpenTicket{
			ID:          id,
			Upstream:    r.upstream,
			Incarnation: 1,
			Sent:        m.now,
		}, r.deadline)
	}
	if v.untold {
		answering = nil
	}
	v.session.Complete(m.now, answering)
}

// grantElsewhere gives the requests of an instance that is not connected to the coordinator other upstreams, as another one does.
func (m *sessionModel) grantElsewhere(v *sessionInstance) {
	for _, r := range v.requests {
		if !v.attached && r.granted && !r.headed {
			r.upstream = m.upstreams[m.random.IntN(len(m.upstreams))].ID
		}
	}
}

// lose makes both sides know that the connection is lost.
func (m *sessionModel) lose(v *sessionInstance) {
	if v.attached {
		v.attached, v.delivers = false, false
		v.session.Disconnect(m.now)
		m.dropWaiting(v)
	}
}

// step lets one event happen.
func (m *sessionModel) step() {
	i := m.random.IntN(len(m.instances))
	v := m.instances[i]
	event := ""
	switch n := m.random.IntN(100); {
	case n < 35:
		event = "submit"
		m.submit(i)
	case n < 65:
		ids := slices.Sorted(maps.Keys(v.requests))
		if len(ids) == 0 {
			break
		}
		id := ids[m.random.IntN(len(ids))]
		if r := v.requests[id]; r.granted && !r.headed && m.random.IntN(2) == 0 {
			event = "head"
			m.head(i, id)
		} else {
			event = "end"
			m.end(i, id)
		}
	case n < 75:
		if !v.attached {
			event = "connect"
			m.connect(i)
		}
	case n < 80:
		event = "break"
		v.delivers = false
	case n < 85:
		event = "lose"
		m.lose(v)
	case n < 88:
		event = "kill"
		m.lose(v)
		v.incarnation++
		v.lastID = 0
		clear(v.requests)
	case n < 89:
		event = "take over"
		m.takeOver()
	case n < 92:
		event = "grant elsewhere"
		m.grantElsewhere(v)
	}
	m.counts[event]++
	m.now += time.Duration(m.random.IntN(40)) * time.Millisecond
	for j, other := range m.instances {
		for id, r := range other.requests {
			if m.now > r.deadline {
				m.end(j, id)
			}
		}
	}
	m.settle()
}

// settle does what the coordinator does at each tick, and checks which slots it keeps.
func (m *sessionModel) settle() {
	m.sessions.Expire(m.now)
	maps.DeleteFunc(m.slots, func(_ heldSlot, expires time.Duration) bool { return m.now > expires })
	inUse := 0
	for _, pool := range m.pools {
		for _, decision := range pool.Decide(m.now) {
			m.sessions.Deliver(m.now, pool, decision)
		}
		inUse += pool.Stats(m.now).SlotsInUse
	}
	m.c.Assert(inUse, qt.Equals, len(m.slots), qt.Commentf("slots in use, of running tickets %v", m.slots))
	for _, v := range m.instances {
		m.checkUpstreams(v)
	}
}

// checkUpstreams checks that the coordinator keeps the slots of a connected instance at the upstreams that run its requests.
func (m *sessionModel) checkUpstreams(v *sessionInstance) {
	for id, r := range v.requests {
		if !v.delivers || !r.granted || r.headed {
			continue
		}
		t, ok := v.session.Find(id)
		m.c.Assert(ok, qt.IsTrue)
		upstream, _, ok := t.Pool.Assigned(t.ID)
		m.c.Assert(ok, qt.IsTrue)
		m.c.Assert(t.Service+" at "+upstream, qt.Equals, r.service+" at "+r.upstream)
	}
}

// Slots of an instance that is killed, or not connected for a while, are lost or granted while its requests run: in random histories of
// restarts, IDs that are used again, lost connections and changes of the coordinator.
func TestModelSlotsInUseAreThoseOfRunningTickets(t *testing.T) {
	counts := map[string]int{}
	for seed := range uint64(200) {
		c := qt.New(t)
		m := newSessionModel(c, seed)
		m.counts = counts
		for range 400 {
			m.step()
			if t.Failed() {
				t.Fatalf("seed %d", seed)
			}
		}
		for _, v := range m.instances {
			m.lose(v)
		}
		m.now += time.Minute
		clear(m.slots)
		m.settle()
		c.Assert(m.sessions.Len(), qt.Equals, 0)
	}
	for _, event := range []string{"submit", "head", "end", "connect", "break", "lose", "kill", "take over", "grant elsewhere"} {
		qt.Check(t, counts[event] > 100, qt.IsTrue, qt.Commentf("%s: %d", event, counts[event]))
	}
}
