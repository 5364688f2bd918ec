package measure

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"cuminlift/core/admission"
)

// PolicyCase configures one discrete-event simulation of requests to upstreams with few slots. The policy "cuminlift"
// runs the code of core/admission; the baselines are instances that choose upstreams independently of each other.
type PolicyCase struct {
	// Policy is "cuminlift", "round-robin" or "least-running".
	Policy    string
	Upstreams int
	// Slowed is the number of slowed upstreams.
	Slowed int
	// SlowdownFactor multiplies the service time of slowed upstreams.
	SlowdownFactor float64
	// Load is the offered load as a fraction of the capacity of all slots, with slowed upstreams counted as healthy.
	Load float64
	// Requests is the number of requests sent.
	Requests int
	Seed     uint64
}

// PolicyResult holds the statistics of one simulation.
type PolicyResult struct {
	P50, P99, P999 time.Duration
	// Goodput is the number of requests per second that were answered within their deadline.
	Goodput float64
	// RefusedShare is the fraction of requests that were refused, LateShare that of requests answered after the
	// deadline.
	RefusedShare, LateShare float64
	// AttemptsPerRequest is the mean number of attempts per request.
	AttemptsPerRequest float64
}

const (
	policySlots       = 2
	policyServiceTime = 5 * time.Millisecond
	policyDeadline    = 500 * time.Millisecond
	policyZones       = 3
	policyInstances   = 9
)

// simEvent is a scheduled event. Events at the same time run in the order in which they were scheduled.
type simEvent struct {
	at      time.Duration
	kind    int
	request int
	// upstream is the upstream of a completion, or the zone of a wake-up.
	upstream int
	order    int
}

const (
	arrivalEvent = iota
	completionEvent
	wakeEvent
)

type eventHeap []simEvent

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].order < h[j].order)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(simEvent)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// simulation is the state of one discrete-event simulation.
type simulation struct {
	config         PolicyCase
	random         *rand.Rand
	events         eventHeap
	order          int
	now            time.Duration
	arrived        []time.Duration
	done           []bool
	latencies      []time.Duration
	late           int
	refused        int
	attempts       int
	lastCompletion time.Duration
}

// SimulatePolicy runs the simulation that config describes.
func SimulatePolicy(config PolicyCase) PolicyResult {
	s := &simulation{
		config:  config,
		random:  rand.New(rand.NewPCG(config.Seed, 7)),
		arrived: make([]time.Duration, config.Requests),
		done:    make([]bool, config.Requests),
	}
	rate := config.Load * float64(config.Upstreams*policySlots) / policyServiceTime.Seconds()
	at := time.Duration(0)
	for i := range config.Requests {
		at += time.Duration(s.random.ExpFloat64() / rate * float64(time.Second))
		s.arrived[i] = at
		s.schedule(simEvent{
			at:      at,
			kind:    arrivalEvent,
			request: i,
		})
	}
	if config.Policy == "cuminlift" {
		s.runPools()
	} else {
		s.runBaseline()
	}
	return s.result(rate)
}

func (s *simulation) schedule(e simEvent) {
	s.order++
	e.order = s.order
	heap.Push(&s.events, e)
}

// drawServiceTime draws the service time of an attempt: log-normal with mean policyServiceTime, times SlowdownFactor on
// a slowed upstream.
func (s *simulation) drawServiceTime(upstream int) time.Duration {
	const sigma = 0.5
	d := float64(policyServiceTime) * math.Exp(sigma*s.random.NormFloat64()-sigma*sigma/2)
	if upstream < s.config.Slowed {
		d *= s.config.SlowdownFactor
	}
	return time.Duration(d)
}

// complete records the response to a request, unless the request is already done.
func (s *simulation) complete(request int) {
	if s.done[request] {
		return
	}
	s.done[request] = true
	d := s.now - s.arrived[request]
	if d > policyDeadline {
		s.late++
		return
	}
	s.lastCompletion = s.now
	s.latencies = append(s.latencies, d)
}

func (s *simulation) refuse(request int) {
	if !s.done[request] {
		s.done[request] = true
		s.refused++
	}
}

func (s *simulation) result(rate float64) PolicyResult {
	sort.Slice(s.latencies, func(i, j int) bool { return s.latencies[i] < s.latencies[j] })
	n := float64(s.config.Requests)
	return PolicyResult{
		P50:                quantileOf(s.latencies, 0.5),
		P99:                quantileOf(s.latencies, 0.99),
		P999:               quantileOf(s.latencies, 0.999),
		Goodput:            float64(len(s.latencies)) / (n / rate),
		RefusedShare:       float64(s.refused) / n,
		LateShare:          float64(s.late) / n,
		AttemptsPerRequest: float64(s.attempts) / n,
	}
}

func quantileOf(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// simPool is the admission pool of one zone and the time of its next scheduled wake-up.
type simPool struct {
	pool *admission.Pool
	wake time.Duration
}

// runPools simulates upstreams behind one admission pool per zone.
func (s *simulation) runPools() {
	pools := make([]*simPool, policyZones)
	for z := range pools {
		pools[z] = &simPool{
			pool: admission.NewPool(admission.Config{
				Slots:      policySlots,
				QueueLimit: 512,
				HoldLimit:  400 * time.Millisecond,
				RetryRatio: 0.1,
				HedgeRatio: 0.05,
			}),
		}
	}
	for u := range s.config.Upstreams {
		pools[u%policyZones].pool.SetUpstream(0, admission.UpstreamState{
			Name:   upstreamName(u),
			Usable: true,
		})
	}
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		switch e.kind {
		case arrivalEvent:
			s.submit(pools, e.request)
		case completionEvent:
			p := pools[e.upstream%policyZones]
			result := admission.Answered
			if s.done[e.request] {
				result = admission.Abandoned
			}
			p.pool.Finish(s.now, uint64(e.request), upstreamName(e.upstream), result, 0)
			s.complete(e.request)
			s.pollPool(pools, e.upstream%policyZones)
		case wakeEvent:
			s.pollPool(pools, e.upstream)
		}
	}
}

func upstreamName(u int) string { return string(rune('A' + u)) }

// submit offers the request as a soft request to each zone, starting with its own, and then, as a hard request, to the
// zone whose refusal gave the shortest retry delay.
func (s *simulation) submit(pools []*simPool, request int) {
	ownZone := request % policyZones
	best := ownZone
	shortest := time.Duration(math.MaxInt64)
	for offset := range policyZones {
		z := (ownZone + offset) % policyZones
		refusals := s.submitTo(pools[z], request, true)
		if len(refusals) == 0 {
			s.pollPool(pools, z)
			return
		}
		if refusals[0].RetryAfter < shortest {
			shortest = refusals[0].RetryAfter
			best = z
		}
	}
	if len(s.submitTo(pools[best], request, false)) > 0 {
		s.refuse(request)
		return
	}
	s.pollPool(pools, best)
}

func (s *simulation) submitTo(p *simPool, request int, soft bool) []admission.Refusal {
	return p.pool.Submit(s.now, &admission.QueuedRequest{
		ID:           uint64(request),
		Class:        admission.Check,
		Idempotent:   true,
		CanSpillOver: soft,
		Deadline:     s.arrived[request] + policyDeadline,
	})
}

// pollPool applies the decisions of a zone's pool and schedules its next wake-up.
func (s *simulation) pollPool(pools []*simPool, z int) {
	p := pools[z]
	d := p.pool.Poll(s.now)
	for _, r := range d.Refusals {
		s.refuse(int(r.QueuedRequest.ID))
	}
	for _, dispatch := range d.Dispatches {
		s.attempts++
		u := int([]rune(dispatch.Upstream)[0] - 'A')
		s.schedule(simEvent{
			at:       s.now + s.drawServiceTime(u),
			kind:     completionEvent,
			request:  int(dispatch.QueuedRequest.ID),
			upstream: u,
		})
	}
	if next := p.pool.NextWake(); p.wake <= s.now && (p.pool.Waiting() > 0 || !p.pool.Idle()) {
		p.wake = next
		s.schedule(simEvent{
			at:       next,
			kind:     wakeEvent,
			upstream: z,
		})
	}
}

// runBaseline simulates instances that choose upstreams independently, and upstreams that queue requests beyond their
// slots.
func (s *simulation) runBaseline() {
	running := make([][]int, policyInstances)
	for i := range running {
		running[i] = make([]int, s.config.Upstreams)
	}
	nextIndex := make([]int, policyInstances)
	busySlots := make([]int, s.config.Upstreams)
	queued := make([][]int, s.config.Upstreams)
	startService := func(u, request int) {
		busySlots[u]++
		s.schedule(simEvent{
			at:       s.now + s.drawServiceTime(u),
			kind:     completionEvent,
			request:  request,
			upstream: u,
		})
	}
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		instance := e.request % policyInstances
		if e.kind == arrivalEvent {
			u := s.chooseBaseline(running[instance], &nextIndex[instance])
			running[instance][u]++
			s.attempts++
			if busySlots[u] < policySlots {
				startService(u, e.request)
			} else {
				queued[u] = append(queued[u], e.request)
			}
			continue
		}
		u := e.upstream
		running[instance][u]--
		busySlots[u]--
		s.complete(e.request)
		if len(queued[u]) > 0 {
			next := queued[u][0]
			queued[u] = queued[u][1:]
			startService(u, next)
		}
	}
}

func (s *simulation) chooseBaseline(running []int, nextIndex *int) int {
	if s.config.Policy == "round-robin" {
		*nextIndex++
		return *nextIndex % s.config.Upstreams
	}
	best := s.random.IntN(s.config.Upstreams)
	for u := range running {
		if running[u] < running[best] {
			best = u
		}
	}
	return best
}

// DispatchPolicies simulates the cases of docs/MEASURES.md.
func DispatchPolicies(requests int) *Table {
	t := &Table{
		Name:    "policy",
		Columns: []string{"policy", "upstreams", "slowed", "load", "p50-ms", "p99-ms", "p999-ms", "goodput", "refused", "late", "attempts"},
	}
	for _, upstreams := range []int{6, 10, 16, 20} {
		for _, slowed := range []int{0, 1, 3} {
			for _, load := range []float64{0.5, 0.8, 1.2, 2} {
				for _, policy := range []string{"cuminlift", "least-running", "round-robin"} {
					r := SimulatePolicy(PolicyCase{
						Policy:         policy,
						Upstreams:      upstreams,
						Slowed:         slowed,
						SlowdownFactor: 10,
						Load:           load,
						Requests:       requests,
						Seed:           uint64(upstreams*100 + slowed),
					})
					t.Add(policy, upstreams, slowed, load, milliseconds(r.P50), milliseconds(r.P99), milliseconds(r.P999),
						r.Goodput, r.RefusedShare, r.LateShare, r.AttemptsPerRequest)
				}
			}
		}
	}
	return t
}

func milliseconds(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}
