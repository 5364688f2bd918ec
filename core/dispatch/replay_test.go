package dispatch_test

import (
	"container/heap"
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminlift/core/dispatch"
	"cuminlift/core/route"
)

// replayKind is a kind of requests in a replay.
type replayKind struct {
	// work is the mean on an upstream of speed 1, without the tail.
	work, objective, deadline time.Duration
	priority                  int
	// share is the part of all requests.
	share      float64
	atMostOnce bool
	// load returns the offered requests of the kind relative to the usual number at now, nil for always 1.
	load func(now time.Duration) float64
}

// replay sends kinds of requests to a service in virtual time. Refused callers come back once.
type replay struct {
	kinds     []replayKind
	upstreams int
	slots     int
	speeds    []float64
	keyed     bool
	// load is the offered work relative to the capacity of the upstreams.
	load     float64
	duration time.Duration
	// tail is the part of requests that take tailFactor times the work.
	tail float64
	// slowPhases makes each upstream take three times as long for 400 ms, every 4 s on average.
	slowPhases bool
	// reportAge is how old load reports are, and wrongReports makes them random.
	reportAge    time.Duration
	wrongReports bool
	// takeoverAt is when a new pool takes over that knows nothing, 0 for never.
	takeoverAt time.Duration
	// slowFrom is when the first of four upstreams becomes five times as slow for good, 0 for never.
	slowFrom time.Duration
	// mixed enables the decisions by expected cost.
	mixed bool

	pool     *dispatch.Pool
	now      time.Duration
	events   eventQueue
	nextID   uint64
	requests map[uint64]*replayRequest
	remote   map[string]*replayUpstream
	results  []replayResult
	reports  *rand.Rand
	digest   uint64
}

const (
	tailFactor   = 7
	replayDelay  = 3 * time.Millisecond
	slowFactor   = 3
	slowDuration = 400 * time.Millisecond
)

type replayRequest struct {
	kind     int
	key      uint32
	work     time.Duration
	arrived  time.Duration
	returned bool
	sent     time.Duration
	// pool granted the request.
	pool *dispatch.Pool
}

type replayUpstream struct {
	speed   float64
	running int
	queue   []uint64
	// slow holds the starts of slow phases.
	slow []time.Duration
	// slowFrom is when it becomes slow for good, 0 for never.
	slowFrom time.Duration
}

// replayResult is what became of the requests of one kind.
type replayResult struct {
	offered, served, inTime int
	// waited counts requests that were refused after more than 50 ms.
	waited int
	// value adds 1 for each answer in time, and less for later ones, down to 0 at the deadline.
	value     float64
	latencies []time.Duration
}

func (r replayResult) shareServed() float64 { return float64(r.served) / float64(max(1, r.offered)) }

func (r replayResult) shareInTime() float64 { return float64(r.inTime) / float64(max(1, r.offered)) }
func (r replayResult) shareValue() float64  { return r.value / float64(max(1, r.offered)) }

func (r replayResult) quantile(fraction float64) time.Duration {
	if len(r.latencies) == 0 {
		return 0
	}
	slices.Sort(r.latencies)
	return r.latencies[min(int(fraction*float64(len(r.latencies))), len(r.latencies)-1)]
}

func (r replayResult) String() string {
	return fmt.Sprintf("%d offered, served %.3f, in time %.3f, value %.3f, refused late %.3f, p99 %v", r.offered, r.shareServed(), r.shareInTime(),
		r.shareValue(), float64(r.waited)/float64(max(1, r.offered)), r.quantile(0.99).Round(time.Millisecond))
}

func (s *replay) after(pause time.Duration, run func()) {
	heap.Push(&s.events, event{
		at:  s.now + pause,
		run: run,
	})
}

// run plays the replay and returns the results by kind, and all together.
func (s *replay) run() (results []replayResult, all replayResult) {
	random := rand.New(rand.NewPCG(11, 12))
	s.reports = rand.New(rand.NewPCG(13, 14))
	s.requests = map[uint64]*replayRequest{}
	s.remote = map[string]*replayUpstream{}
	s.results = make([]replayResult, len(s.kinds))
	s.startPool()
	for i, state := range s.states() {
		u := &replayUpstream{
			speed: s.speeds[i%len(s.speeds)],
		}
		for at := time.Duration(0); s.slowPhases && at < 2*s.duration; at += slowDuration {
			at += time.Duration(random.ExpFloat64() * float64(4*time.Second))
			u.slow = append(u.slow, at)
		}
		if i%4 == 0 {
			u.slowFrom = s.slowFrom
		}
		s.remote[state.ID] = u
	}
	s.planArrivals(random)
	for at := time.Duration(0); at < s.duration+20*time.Second; at += 10 * time.Millisecond {
		s.after(at, s.decide)
	}
	if s.takeoverAt > 0 {
		s.after(s.takeoverAt, s.startPool)
	}
	for s.events.Len() > 0 {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.run()
	}
	for _, r := range s.results {
		all.offered += r.offered
		all.served += r.served
		all.inTime += r.inTime
		all.value += r.value
		all.waited += r.waited
	}
	return s.results, all
}

func (s *replay) states() []dispatch.UpstreamState {
	list := states(s.upstreams)
	for i := range list {
		list[i].Slots = s.slots
	}
	return list
}

// startPool starts a pool that takes over. Requests that are waiting ask it again.
func (s *replay) startPool() {
	config := dispatch.Config{
		RetryRatio:  0.2,
		RetrySlack:  58,
		RetryWindow: 10 * time.Second,
	}
	if s.keyed {
		config.Owners = spreadOwners(s.upstreams)
	}
	s.pool = dispatch.NewPool(config)
	s.pool.SetService(route.Service{
		Name:  "calendar",
		Mixed: s.mixed,
	})
	s.pool.SetUpstreams(s.now, s.states())
	waiting := make([]uint64, 0, len(s.requests))
	for id, r := range s.requests {
		if r.pool == nil {
			waiting = append(waiting, id)
		}
	}
	slices.Sort(waiting)
	for _, id := range waiting {
		r := s.requests[id]
		delete(s.requests, id)
		s.submit(r)
	}
}

func (s *replay) planArrivals(random *rand.Rand) {
	perSlot, work := 0.0, 0.0
	for _, speed := range s.speeds {
		perSlot += speed / float64(len(s.speeds))
	}
	for _, k := range s.kinds {
		work += k.share * k.work.Seconds() * (1 + s.tail*(tailFactor-1))
	}
	perSecond := s.load * perSlot * float64(s.slots*s.upstreams) / work
	for i, k := range s.kinds {
		for at := time.Duration(0); ; {
			rate := perSecond * k.share
			if k.load != nil {
				rate *= k.load(at)
			}
			at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
			if at >= s.duration {
				break
			}
			const sigma = 0.4
			r := &replayRequest{
				kind: i,
				key:  uint32(random.IntN(1 << 16)),
				work: time.Duration(float64(k.work) * math.Exp(sigma*random.NormFloat64()-sigma*sigma/2)),
			}
			if random.Float64() < s.tail {
				r.work *= tailFactor
			}
			s.after(at, func() {
				r.arrived = s.now
				s.results[i].offered++
				s.submit(r)
			})
		}
	}
}

func (s *replay) submit(r *replayRequest) {
	s.nextID++
	k := s.kinds[r.kind]
	s.requests[s.nextID] = r
	t := &dispatch.Ticket{
		ID:         s.nextID,
		Priority:   k.priority,
		Idempotent: !k.atMostOnce,
		Zone:       "zone-0",
		Deadline:   r.arrived + k.deadline,
		Objective:  s.now + k.objective,
		Class:      fmt.Sprint(r.kind),
	}
	if s.keyed {
		t.Key = r.key + 1
	}
	s.pool.Submit(s.now, t)
	s.decide()
}

func (s *replay) decide() {
	for _, d := range s.pool.Decide(s.now) {
		h := fnv.New64a()
		fmt.Fprint(h, s.digest, s.now, d.Ticket.ID, d.Upstream, d.Reason, d.RetryAfter)
		s.digest = h.Sum64()
		id := d.Ticket.ID
		r := s.requests[id]
		if d.Upstream == "" {
			delete(s.requests, id)
			if s.now-r.arrived > 50*time.Millisecond && !r.returned {
				s.results[r.kind].waited++
			}
			if !r.returned && s.now+d.RetryAfter < r.arrived+s.kinds[r.kind].deadline {
				r.returned = true
				s.after(d.RetryAfter, func() { s.submit(r) })
			}
			continue
		}
		r.sent, r.pool = s.now, s.pool
		u := s.remote[d.Upstream]
		s.after(replayDelay, func() { s.arrive(u, id) })
	}
}

func (s *replay) arrive(u *replayUpstream, id uint64) {
	if u.running >= s.slots {
		u.queue = append(u.queue, id)
		return
	}
	u.running++
	s.after(u.takes(s.now, s.requests[id].work), func() { s.finish(u, id) })
}

// takes returns how long a work takes that begins at now.
func (u *replayUpstream) takes(now, work time.Duration) time.Duration {
	left := float64(work) / u.speed
	const step = 10 * time.Millisecond
	at := now
	for ; left > float64(step); at += step {
		left -= float64(step) / u.slowness(at)
	}
	return at - now + time.Duration(left*u.slowness(at))
}

// slowness returns how long work takes at a time relative to the usual.
func (u *replayUpstream) slowness(at time.Duration) float64 {
	if u.slowFrom > 0 && at >= u.slowFrom {
		return 5
	}
	i, _ := slices.BinarySearch(u.slow, at+1)
	if i > 0 && at < u.slow[i-1]+slowDuration {
		return slowFactor
	}
	return 1
}

func (s *replay) finish(u *replayUpstream, id uint64) {
	load := []uint32{uint32(u.running), uint32(len(u.queue)), uint32(s.slots), uint32(100 * u.slowness(s.now-s.reportAge))}
	if s.wrongReports {
		load = []uint32{uint32(s.reports.IntN(s.slots + 1)), uint32(s.reports.IntN(3)), uint32(s.slots), uint32(30 + s.reports.IntN(400))}
	}
	u.running--
	if len(u.queue) > 0 {
		next := u.queue[0]
		u.queue = u.queue[1:]
		s.arrive(u, next)
	}
	s.after(replayDelay, func() {
		r := s.requests[id]
		delete(s.requests, id)
		k, result := s.kinds[r.kind], &s.results[r.kind]
		if took := s.now - r.arrived; took <= k.deadline {
			result.served++
			result.latencies = append(result.latencies, took)
			result.value += min(1, float64(k.deadline-took)/float64(k.deadline-k.objective))
			if took <= k.objective {
				result.inTime++
			}
		}
		r.pool.End(s.now, id, dispatch.Answered, s.now-r.sent, &dispatch.Report{
			Load: load,
		})
		s.decide()
	})
}

// during returns a load that is factor times the usual in a span.
func during(from, to time.Duration, factor float64) func(time.Duration) float64 {
	return func(now time.Duration) float64 {
		if now >= from && now < to {
			return factor
		}
		return 1
	}
}

// openKinds are the kinds of a service whose requests any upstream may run, and keyedKinds those of a service with keys.
func openKinds() []replayKind {
	return []replayKind{
		{
			work:      180 * time.Millisecond,
			objective: 800 * time.Millisecond,
			deadline:  3 * time.Second,
			priority:  0,
			share:     0.6,
		},
		{
			work:      time.Second,
			objective: 3 * time.Second,
			deadline:  12 * time.Second,
			priority:  2,
			share:     0.4,
		},
	}
}

func keyedKinds() []replayKind {
	return []replayKind{
		{
			work:      260 * time.Millisecond,
			objective: 800 * time.Millisecond,
			deadline:  3 * time.Second,
			priority:  2,
			share:     0.5,
		},
		{
			work:       330 * time.Millisecond,
			objective:  1200 * time.Millisecond,
			deadline:   5 * time.Second,
			priority:   1,
			share:      0.25,
			atMostOnce: true,
		},
		{
			work:      180 * time.Millisecond,
			objective: 800 * time.Millisecond,
			deadline:  3 * time.Second,
			priority:  0,
			share:     0.25,
		},
	}
}

func openReplay(load float64) replay {
	return replay{
		kinds:     openKinds(),
		upstreams: 24,
		slots:     2,
		speeds:    []float64{0.6, 1, 1.6},
		load:      load,
		duration:  20 * time.Second,
		tail:      0.015,
	}
}

func keyedReplay(load float64) replay {
	return replay{
		kinds:      keyedKinds(),
		upstreams:  12,
		slots:      6,
		speeds:     []float64{0.6, 1, 1.6},
		keyed:      true,
		load:       load,
		duration:   20 * time.Second,
		tail:       0.02,
		slowPhases: true,
	}
}

// TestServicesWithOneKindAreServedAsBefore guards against changed decisions where the configuration does not mix kinds. The digests
// are those of the commit before the cost model was used.
func TestServicesWithOneKindAreServedAsBefore(t *testing.T) {
	c := qt.New(t)
	open, keyed := openReplay(1.2), keyedReplay(1.2)
	open.run()
	keyed.run()
	c.Check(open.digest, qt.Equals, uint64(7184662778130128643))
	c.Check(keyed.digest, qt.Equals, uint64(1050614550894310916))
}
