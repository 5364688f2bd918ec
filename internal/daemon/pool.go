package daemon

import (
	"sync"
	"time"

	"cuminlift/core/admission"
	"cuminlift/core/retry"
	"cuminlift/internal/metrics"
	"cuminlift/schema"
)

// pool runs the admission of one service's upstreams in one zone, on the instance that is its home.
type pool struct {
	service *service
	zone    string
	mutex   sync.Mutex
	pool    *admission.Pool
	waiters map[uint64]*waiter
	next    uint64
	timer   *time.Timer
	// lost is true while another instance is the home.
	lost bool
	// known holds the upstreams that the pool was told of.
	known map[string]bool
	// hashes holds the key of each attempt in progress, by upstream.
	hashes map[string]map[uint64]uint64
}

// waiter is a request that waits for its turn.
type waiter struct {
	id uint64
	// name is the request's, for the trace.
	name     string
	ticket   *admission.QueuedRequest
	hash     uint64
	dispatch chan admission.Dispatch
	refusal  chan admission.Refusal
}

// holdLimit bounds the wait for an owner while none is usable: longer than a planned hand-over, shorter than a loss.
const holdLimit = 400 * time.Millisecond

const hedgeShare = 0.05

func newPool(s *service, zone string) *pool {
	p := &pool{
		service: s,
		zone:    zone,
		waiters: map[uint64]*waiter{},
		known:   map[string]bool{},
		hashes:  map[string]map[uint64]uint64{},
	}
	p.pool = admission.NewPool(poolConfig(s.treatment()))
	p.timer = time.AfterFunc(time.Hour, p.poll)
	return p
}

func poolConfig(spec *schema.Service) admission.Config {
	return admission.Config{
		Slots:      int(spec.GetSlots()),
		QueueLimit: int(spec.GetQueue()),
		Cold:       time.Duration(spec.GetColdStartMs()) * time.Millisecond,
		HoldLimit:  holdLimit,
		RetryRatio: retry.DefaultShare,
		HedgeRatio: hedgeShare,
	}
}

// setSpec changes the treatment of a service that runs already.
func (s *service) setSpec(spec *schema.Service) {
	s.spec.Store(spec)
	s.poolMutex.Lock()
	defer s.poolMutex.Unlock()
	for _, p := range s.pools {
		p.mutex.Lock()
		p.pool.Configure(poolConfig(spec))
		p.mutex.Unlock()
	}
}

// update tells the admission which upstreams this instance may send to.
func (p *pool) update(now time.Duration, document *schema.Ownership) {
	c := p.service.daemon.current.Load()
	zoneOut := c != nil && c.isOut("zone", p.zone)
	p.mutex.Lock()
	p.lost = false
	present := map[string]bool{}
	for _, h := range document.GetHolders() {
		if h.GetZone() != p.zone {
			continue
		}
		present[h.GetName()] = true
		p.known[h.GetName()] = true
		p.service.mutex.Lock()
		lease, ok := p.service.guardian.Forwarding(now, h.GetName())
		leaving := p.service.guardian.UpstreamLeaving(h.GetName())
		p.service.mutex.Unlock()
		out := zoneOut || (c != nil && c.isOut("upstream", h.GetName()))
		p.pool.SetUpstream(now, admission.UpstreamState{
			Name:        h.GetName(),
			Usable:      ok,
			Incarnation: lease.Incarnation,
			Cold:        lease.Cold,
			Draining:    (out || leaving) && !p.service.treatment().GetKeyed(),
		})
	}
	for name := range p.known {
		if !present[name] {
			p.pool.SetUpstream(now, admission.UpstreamState{
				Name: name,
			})
			p.pool.Remove(name)
			delete(p.known, name)
		}
	}
	p.rerouteMoved()
	p.mutex.Unlock()
	p.poll()
}

// rerouteMoved gives back what waits for an upstream that no longer owns its key.
func (p *pool) rerouteMoved() {
	if !p.service.treatment().GetKeyed() {
		return
	}
	for id, w := range p.waiters {
		if p.service.route(w.hash).Upstream != w.ticket.Upstream {
			p.giveBack(id, w)
		}
	}
}

// giveBack takes a waiting ticket out, so that its call looks for its home again.
func (p *pool) giveBack(id uint64, w *waiter) {
	if !p.pool.Cancel(id) {
		return
	}
	delete(p.waiters, id)
	w.refusal <- admission.Refusal{
		QueuedRequest: w.ticket,
		Reason:        admission.Stopping,
	}
}

// lose gives what waits back to be sent to the new home. What is in progress finishes.
func (p *pool) lose(now time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.lost {
		return
	}
	p.lost = true
	for name := range p.known {
		p.pool.SetUpstream(now, admission.UpstreamState{
			Name: name,
		})
	}
	for id, w := range p.waiters {
		p.giveBack(id, w)
	}
}

func (p *pool) idle() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.pool.Idle()
}

// busyLost counts requests in progress at an upstream for keys that it no longer owns.
func (p *pool) busyLost(upstream string) uint32 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var busy uint32
	for _, hash := range p.hashes[upstream] {
		if p.service.route(hash).Upstream != upstream {
			busy++
		}
	}
	return busy
}

// submit queues a request. Its waiter gets a dispatch or a refusal.
func (p *pool) submit(ticket *admission.QueuedRequest, name string, hash uint64) *waiter {
	p.mutex.Lock()
	p.next++
	ticket.ID = p.next
	w := &waiter{
		id:       ticket.ID,
		name:     name,
		ticket:   ticket,
		hash:     hash,
		dispatch: make(chan admission.Dispatch, 4),
		refusal:  make(chan admission.Refusal, 4),
	}
	p.waiters[w.id] = w
	p.deliverRefusals(p.pool.Submit(p.service.daemon.clock.Now(), ticket))
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

// poll dispatches what can be, and sets the time of the next look.
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
		p.noteHash(d.Upstream, w.id, w.hash)
		w.dispatch <- d
		p.trace(w, d.Upstream)
		if d.Hedge {
			p.service.daemon.metrics.Add(metrics.Hedged, 1)
		}
		p.service.daemon.metrics.Add(metrics.Dispatched, 1)
	}
	p.timer.Reset(p.pool.NextWake() - now)
}

// trace records that work was given to an upstream, and how much of its slots is in use.
func (p *pool) trace(w *waiter, upstream string) {
	t := p.service.daemon.trace
	t.outcome(&schema.Outcome{
		Kind:    "dispatched",
		Subject: upstream,
		Request: w.name,
		Detail:  p.zone,
	})
	t.outcome(&schema.Outcome{
		Kind:    "admitted",
		Subject: upstream,
		Value:   int64(p.pool.Running(upstream)),
		To:      uint64(p.service.treatment().GetSlots()),
	})
}

func (p *pool) noteHash(upstream string, id, hash uint64) {
	if p.hashes[upstream] == nil {
		p.hashes[upstream] = map[uint64]uint64{}
	}
	p.hashes[upstream][id] = hash
}

// finish ends an attempt and frees its slot.
func (p *pool) finish(w *waiter, upstream string, result admission.Result, retryAfter time.Duration) {
	p.mutex.Lock()
	delete(p.hashes[upstream], w.id)
	p.pool.Finish(p.service.daemon.clock.Now(), w.id, upstream, result, retryAfter)
	p.mutex.Unlock()
	p.poll()
}

// retry queues the waiter's ticket again if the budget allows.
func (p *pool) retry(w *waiter) bool {
	p.mutex.Lock()
	ok := !p.lost && p.pool.Retry(p.service.daemon.clock.Now(), w.ticket)
	p.mutex.Unlock()
	if ok {
		p.service.daemon.metrics.Add(metrics.Retried, 1)
		p.poll()
	}
	return ok
}

// forget ends the waiter's interest: a waiting ticket is taken out, and later dispatches are given back.
func (p *pool) forget(w *waiter) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.waiters, w.id)
	p.pool.Cancel(w.id)
	for {
		select {
		case d := <-w.dispatch:
			delete(p.hashes[d.Upstream], w.id)
			p.pool.Finish(p.service.daemon.clock.Now(), w.id, d.Upstream, admission.Abandoned, 0)
		default:
			return
		}
	}
}
