package daemon

import (
	"sync"
	"time"

	"cuminlift/core/admission"
	"cuminlift/core/retry"
	"cuminlift/internal/metrics"
	"cuminlift/schema"
)

// pool runs admission for the upstreams of one service in one zone, on the instance that is the zone's home.
type pool struct {
	service      *service
	zone         string
	mutex        sync.Mutex
	pool         *admission.Pool
	waiters      map[uint64]*waiter
	lastQueuedID uint64
	timer        *time.Timer
	// handedOver is true while another instance is the home.
	handedOver bool
	// knownUpstreams holds the names of the upstreams that admission was told of.
	knownUpstreams map[string]bool
	// hashesInFlight holds the key hash of each attempt in progress, by upstream and queued request ID.
	hashesInFlight map[string]map[uint64]uint64
}

// waiter is a request that waits for a dispatch.
type waiter struct {
	id uint64
	// requestID is the ID of the request, for the trace.
	requestID string
	queued    *admission.QueuedRequest
	hash      uint64
	dispatch  chan admission.Dispatch
	refusal   chan admission.Refusal
}

// maxOwnerWait bounds the wait for an owner while none is usable. It is longer than a planned handover takes and
// shorter than the recovery from a lost owner.
const maxOwnerWait = 400 * time.Millisecond

// hedgeRatio bounds hedges as a fraction of the submitted requests.
const hedgeRatio = 0.05

func newPool(s *service, zone string) *pool {
	p := &pool{
		service:        s,
		zone:           zone,
		waiters:        map[uint64]*waiter{},
		knownUpstreams: map[string]bool{},
		hashesInFlight: map[string]map[uint64]uint64{},
	}
	p.pool = admission.NewPool(admissionConfig(s.currentSpec()))
	p.timer = time.AfterFunc(time.Hour, p.poll)
	return p
}

func admissionConfig(spec *schema.Service) admission.Config {
	return admission.Config{
		Slots:      int(spec.GetSlots()),
		QueueLimit: int(spec.GetQueue()),
		Cold:       time.Duration(spec.GetColdStartMs()) * time.Millisecond,
		HoldLimit:  maxOwnerWait,
		RetryRatio: retry.DefaultRatio,
		HedgeRatio: hedgeRatio,
	}
}

// setSpec updates the specification of a running service.
func (s *service) setSpec(spec *schema.Service) {
	s.spec.Store(spec)
	s.poolMutex.Lock()
	defer s.poolMutex.Unlock()
	for _, p := range s.pools {
		p.mutex.Lock()
		p.pool.Configure(admissionConfig(spec))
		p.mutex.Unlock()
	}
}

// updateUpstreams passes the state of each upstream in the document to admission, including whether this instance may
// send to it.
func (p *pool) updateUpstreams(now time.Duration, document *schema.Ownership) {
	configuration := p.service.daemon.current.Load()
	zoneOut := configuration != nil && configuration.isOut("zone", p.zone)
	p.mutex.Lock()
	p.handedOver = false
	listed := map[string]bool{}
	for _, h := range document.GetHolders() {
		if h.GetZone() != p.zone {
			continue
		}
		listed[h.GetName()] = true
		p.knownUpstreams[h.GetName()] = true
		p.service.mutex.Lock()
		lease, ok := p.service.guardian.ForwardingLease(now, h.GetName())
		leaving := p.service.guardian.UpstreamLeaving(h.GetName())
		p.service.mutex.Unlock()
		outOfService := zoneOut || (configuration != nil && configuration.isOut("upstream", h.GetName()))
		p.pool.SetUpstream(now, admission.UpstreamState{
			Name:        h.GetName(),
			Usable:      ok,
			Incarnation: lease.Incarnation,
			Cold:        lease.Cold,
			Draining:    (outOfService || leaving) && !p.service.currentSpec().GetKeyed(),
		})
	}
	for name := range p.knownUpstreams {
		if !listed[name] {
			p.pool.SetUpstream(now, admission.UpstreamState{
				Name: name,
			})
			p.pool.Remove(name)
			delete(p.knownUpstreams, name)
		}
	}
	p.rerouteMoved()
	p.mutex.Unlock()
	p.poll()
}

// rerouteMoved returns the waiting requests whose key has moved to another upstream, so that they are routed again.
func (p *pool) rerouteMoved() {
	if !p.service.currentSpec().GetKeyed() {
		return
	}
	for id, w := range p.waiters {
		if p.service.route(w.hash).Upstream != w.queued.Upstream {
			p.returnForReroute(id, w)
		}
	}
}

// returnForReroute removes a waiting request and refuses it, so that its call looks up its home again.
func (p *pool) returnForReroute(id uint64, w *waiter) {
	if !p.pool.Cancel(id) {
		return
	}
	delete(p.waiters, id)
	w.refusal <- admission.Refusal{
		QueuedRequest: w.queued,
		Reason:        admission.Stopping,
	}
}

// handOver marks all upstreams as unusable and returns waiting requests so that they are routed to the new home.
// Attempts in progress finish.
func (p *pool) handOver(now time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.handedOver {
		return
	}
	p.handedOver = true
	for name := range p.knownUpstreams {
		p.pool.SetUpstream(now, admission.UpstreamState{
			Name: name,
		})
	}
	for id, w := range p.waiters {
		p.returnForReroute(id, w)
	}
}

func (p *pool) idle() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.pool.Idle()
}

// countUnownedInFlight returns the number of requests in progress at an upstream for keys that it no longer owns.
func (p *pool) countUnownedInFlight(upstream string) uint32 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var count uint32
	for _, hash := range p.hashesInFlight[upstream] {
		if p.service.route(hash).Upstream != upstream {
			count++
		}
	}
	return count
}

// submit queues a request and returns its waiter, which receives a dispatch or a refusal.
func (p *pool) submit(queued *admission.QueuedRequest, requestID string, hash uint64) *waiter {
	p.mutex.Lock()
	p.lastQueuedID++
	queued.ID = p.lastQueuedID
	w := &waiter{
		id:        queued.ID,
		requestID: requestID,
		queued:    queued,
		hash:      hash,
		dispatch:  make(chan admission.Dispatch, 4),
		refusal:   make(chan admission.Refusal, 4),
	}
	p.waiters[w.id] = w
	p.deliverRefusals(p.pool.Submit(p.service.daemon.clock.Now(), queued))
	p.mutex.Unlock()
	p.poll()
	return w
}

func (p *pool) deliverRefusals(refusals []admission.Refusal) {
	for _, r := range refusals {
		if w := p.waiters[r.QueuedRequest.ID]; w != nil {
			delete(p.waiters, r.QueuedRequest.ID)
			w.refusal <- r
		}
	}
}

// poll delivers the dispatches and refusals that are due and schedules the next poll.
func (p *pool) poll() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := p.service.daemon.clock.Now()
	decisions := p.pool.Poll(now)
	p.deliverRefusals(decisions.Refusals)
	for _, d := range decisions.Dispatches {
		w := p.waiters[d.QueuedRequest.ID]
		if w == nil {
			p.pool.Finish(now, d.QueuedRequest.ID, d.Upstream, admission.Abandoned, 0)
			continue
		}
		p.recordHash(d.Upstream, w.id, w.hash)
		w.dispatch <- d
		p.trace(w, d.Upstream)
		if d.Hedge {
			p.service.daemon.metrics.Add(metrics.Hedged, 1)
		}
		p.service.daemon.metrics.Add(metrics.Dispatched, 1)
	}
	p.timer.Reset(p.pool.NextWake() - now)
}

// trace records a dispatch to an upstream and the number of its slots in use.
func (p *pool) trace(w *waiter, upstream string) {
	t := p.service.daemon.trace
	t.recordOutcome(&schema.Outcome{
		Kind:    "dispatched",
		Subject: upstream,
		Request: w.requestID,
		Detail:  p.zone,
	})
	t.recordOutcome(&schema.Outcome{
		Kind:    "admitted",
		Subject: upstream,
		Value:   int64(p.pool.Running(upstream)),
		To:      uint64(p.service.currentSpec().GetSlots()),
	})
}

func (p *pool) recordHash(upstream string, id, hash uint64) {
	if p.hashesInFlight[upstream] == nil {
		p.hashesInFlight[upstream] = map[uint64]uint64{}
	}
	p.hashesInFlight[upstream][id] = hash
}

// finish ends an attempt and frees its slot.
func (p *pool) finish(w *waiter, upstream string, result admission.Result, retryAfter time.Duration) {
	p.mutex.Lock()
	delete(p.hashesInFlight[upstream], w.id)
	p.pool.Finish(p.service.daemon.clock.Now(), w.id, upstream, result, retryAfter)
	p.mutex.Unlock()
	p.poll()
}

// retry queues the waiter's request again if the retry budget allows it and the pool was not handed over.
func (p *pool) retry(w *waiter) bool {
	p.mutex.Lock()
	ok := !p.handedOver && p.pool.Retry(p.service.daemon.clock.Now(), w.queued)
	p.mutex.Unlock()
	if ok {
		p.service.daemon.metrics.Add(metrics.Retried, 1)
		p.poll()
	}
	return ok
}

// abandon removes a waiter: it cancels a waiting request and ends dispatches that were not started.
func (p *pool) abandon(w *waiter) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.waiters, w.id)
	p.pool.Cancel(w.id)
	for {
		select {
		case d := <-w.dispatch:
			delete(p.hashesInFlight[d.Upstream], w.id)
			p.pool.Finish(p.service.daemon.clock.Now(), w.id, d.Upstream, admission.Abandoned, 0)
		default:
			return
		}
	}
}
