package measure

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"cuminlift/core/admission"
)

// PolicyCase is one run of the queueing experiment: requests in virtual time against upstreams with few slots. The
// decisions are the real ones of core/admission; the baselines are instances that each decide for themselves.
type PolicyCase struct {
	// Policy is "cuminlift", "round-robin" or "least-running".
	Policy    string
	Upstreams int
	Slowed    int
	// SlowdownFactor is how many times longer a slowed upstream takes.
	SlowdownFactor float64
	// Load is the offered load as a part of all slots' capacity, counting slowed upstreams as healthy.
	Load float64
	// Requests is the number sent.
	Requests int
	Seed     uint64
}

// PolicyResult is what came of a case.
type PolicyResult struct {
	P50, P99, P999 time.Duration
	// Goodput is the number of requests answered within their deadline a second.
	Goodput float64
	// RefusedShare is the part that was refused at once, LateShare the part answered after the deadline.
	RefusedShare, LateShare float64
	// AttemptsPerRequest is the number of attempts for each request.
	AttemptsPerRequest float64
}

const (
	policySlots    = 2
	policyWork     = 5 * time.Millisecond
	policyDeadline = 500 * time.Millisecond
	policyZones    = 3
	policyEntries  = 9
)

type simEvent struct {
	at       time.Duration
	kind     int
	request  int
	upstream int
	order    int
}

const (
	arrives = iota
	finishes
	wakes
)

type simHeap []simEvent

func (h simHeap) Len() int { return len(h) }
func (h simHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].order < h[j].order)
}
func (h simHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *simHeap) Push(x any) { *h = append(*h, x.(simEvent)) }

// Pop implements heap.Interface.
func (h *simHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// sim is the state of a run.
type sim struct {
	one      PolicyCase
	random   *rand.Rand
	events   simHeap
	order    int
	now      time.Duration
	arrived  []time.Duration
	done     []bool
	times    []time.Duration
	late     int
	refused  int
	attempts int
	last     time.Duration
}

// SimulatePolicy runs one case.
func SimulatePolicy(one PolicyCase) PolicyResult {
	s := &sim{
		one:     one,
		random:  rand.New(rand.NewPCG(one.Seed, 7)),
		arrived: make([]time.Duration, one.Requests),
		done:    make([]bool, one.Requests),
	}
	rate := one.Load * float64(one.Upstreams*policySlots) / policyWork.Seconds()
	at := time.Duration(0)
	for i := range one.Requests {
		at += time.Duration(s.random.ExpFloat64() / rate * float64(time.Second))
		s.arrived[i] = at
		s.schedule(simEvent{
			at:      at,
			kind:    arrives,
			request: i,
		})
	}
	if one.Policy == "cuminlift" {
		s.runPools()
	} else {
		s.runBaseline()
	}
	return s.result(rate)
}

func (s *sim) schedule(e simEvent) {
	s.order++
	e.order = s.order
	heap.Push(&s.events, e)
}

// work draws how long an attempt takes: log-normal around the mean, and longer on a slowed upstream.
func (s *sim) work(upstream int) time.Duration {
	const sigma = 0.5
	d := float64(policyWork) * math.Exp(sigma*s.random.NormFloat64()-sigma*sigma/2)
	if upstream < s.one.Slowed {
		d *= s.one.SlowdownFactor
	}
	return time.Duration(d)
}

func (s *sim) answer(request int) {
	if s.done[request] {
		return
	}
	s.done[request] = true
	d := s.now - s.arrived[request]
	if d > policyDeadline {
		s.late++
		return
	}
	s.last = s.now
	s.times = append(s.times, d)
}

func (s *sim) refuse(request int) {
	if !s.done[request] {
		s.done[request] = true
		s.refused++
	}
}

func (s *sim) result(rate float64) PolicyResult {
	sort.Slice(s.times, func(i, j int) bool { return s.times[i] < s.times[j] })
	n := float64(s.one.Requests)
	return PolicyResult{
		P50:                quantileOf(s.times, 0.5),
		P99:                quantileOf(s.times, 0.99),
		P999:               quantileOf(s.times, 0.999),
		Goodput:            float64(len(s.times)) / (n / rate),
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

// simPool is one zone's pool with the real decisions.
type simPool struct {
	pool *admission.Pool
	wake time.Duration
}

func (s *sim) runPools() {
	pools := make([]*simPool, policyZones)
	for z := range pools {
		pools[z] = &simPool{
			pool: admission.NewPool(admission.Config{
				Slots:      policySlots,
				Queue:      512,
				HoldLimit:  400 * time.Millisecond,
				RetryShare: 0.1,
				HedgeShare: 0.05,
			}),
		}
	}
	for u := range s.one.Upstreams {
		pools[u%policyZones].pool.SetUpstream(0, admission.UpstreamState{
			Name:   upstreamName(u),
			Usable: true,
		})
	}
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		switch e.kind {
		case arrives:
			s.submit(pools, e.request)
		case finishes:
			p := pools[e.upstream%policyZones]
			result := admission.Answered
			if s.done[e.request] {
				result = admission.Abandoned
			}
			p.pool.Finish(s.now, uint64(e.request), upstreamName(e.upstream), result, 0)
			s.answer(e.request)
			s.poll(pools, e.upstream%policyZones)
		case wakes:
			s.poll(pools, e.upstream)
		}
	}
}

func upstreamName(u int) string { return string(rune('A' + u)) }

// submit asks each zone softly, from the one that the request came to, and then the one with the shortest wait.
func (s *sim) submit(pools []*simPool, request int) {
	home := request % policyZones
	best := home
	shortest := time.Duration(math.MaxInt64)
	for spill := range policyZones {
		z := (home + spill) % policyZones
		refusals := s.offer(pools[z], request, true)
		if len(refusals) == 0 {
			s.poll(pools, z)
			return
		}
		if refusals[0].RetryAfter < shortest {
			shortest = refusals[0].RetryAfter
			best = z
		}
	}
	if len(s.offer(pools[best], request, false)) > 0 {
		s.refuse(request)
		return
	}
	s.poll(pools, best)
}

func (s *sim) offer(p *simPool, request int, soft bool) []admission.Refusal {
	return p.pool.Submit(s.now, &admission.Ticket{
		ID:         uint64(request),
		Class:      admission.Check,
		Idempotent: true,
		Soft:       soft,
		Deadline:   s.arrived[request] + policyDeadline,
	})
}

func (s *sim) poll(pools []*simPool, z int) {
	p := pools[z]
	d := p.pool.Poll(s.now)
	for _, r := range d.Refusals {
		s.refuse(int(r.Ticket.ID))
	}
	for _, one := range d.Dispatches {
		s.attempts++
		u := int([]rune(one.Upstream)[0] - 'A')
		s.schedule(simEvent{
			at:       s.now + s.work(u),
			kind:     finishes,
			request:  int(one.Ticket.ID),
			upstream: u,
		})
	}
	if next := p.pool.NextWake(); p.wake <= s.now && (p.pool.Waiting() > 0 || !p.pool.Idle()) {
		p.wake = next
		s.schedule(simEvent{
			at:       next,
			kind:     wakes,
			upstream: z,
		})
	}
}

// runBaseline is instances that choose for themselves, and upstreams that queue what comes over their slots.
func (s *sim) runBaseline() {
	running := make([][]int, policyEntries)
	for i := range running {
		running[i] = make([]int, s.one.Upstreams)
	}
	turn := make([]int, policyEntries)
	busy := make([]int, s.one.Upstreams)
	waiting := make([][]int, s.one.Upstreams)
	begin := func(u, request int) {
		busy[u]++
		s.schedule(simEvent{
			at:       s.now + s.work(u),
			kind:     finishes,
			request:  request,
			upstream: u,
		})
	}
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		entry := e.request % policyEntries
		if e.kind == arrives {
			u := s.baselineChoice(running[entry], &turn[entry])
			running[entry][u]++
			s.attempts++
			if busy[u] < policySlots {
				begin(u, e.request)
			} else {
				waiting[u] = append(waiting[u], e.request)
			}
			continue
		}
		u := e.upstream
		running[entry][u]--
		busy[u]--
		s.answer(e.request)
		if len(waiting[u]) > 0 {
			next := waiting[u][0]
			waiting[u] = waiting[u][1:]
			begin(u, next)
		}
	}
}

func (s *sim) baselineChoice(running []int, turn *int) int {
	if s.one.Policy == "round-robin" {
		*turn++
		return *turn % s.one.Upstreams
	}
	best := s.random.IntN(s.one.Upstreams)
	for u := range running {
		if running[u] < running[best] {
			best = u
		}
	}
	return best
}

// DispatchPolicies runs the cases of docs/MEASURES.md.
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
