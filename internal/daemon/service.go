package daemon

import (
	"context"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"cuminlift/core/assign"
	"cuminlift/core/load"
	"cuminlift/core/ownership"
	"cuminlift/schema"
)

// service is one service of the estate on this instance.
type service struct {
	name   string
	daemon *Daemon
	// index is the service's place in the estate when it was made.
	index int
	// mutex guards guardian. The control loop alone steps it.
	mutex    sync.Mutex
	guardian *ownership.Guardian
	// idleTold is the version for which the guardian was told that nothing is in progress for other homes' pools.
	idleTold uint64
	sketch   *load.Sketch
	waits    *zoneWaits
	spec     atomic.Pointer[schema.Service]
	// poolMutex guards pools.
	poolMutex sync.Mutex
	pools     map[string]*pool
}

func newService(d *Daemon, spec *schema.Service, index int) *service {
	timing := d.config.Timing
	s := &service{
		name:   spec.GetName(),
		daemon: d,
		index:  index,
		pools:  map[string]*pool{},
		waits:  newZoneWaits(),
		sketch: load.NewSketch(load.DefaultSize),
	}
	s.spec.Store(spec)
	config := ownership.Config{
		Self:    d.self,
		Service: spec.GetName(),
		Timing:  timing,
		Keyed:   spec.GetKeyed(),
		Planner: assign.NewPlanner(assign.Config{
			Keyed:  spec.GetKeyed(),
			Spread: index,
		}),
	}
	config.Extra = s.extra()
	s.guardian = ownership.NewGuardian(config)
	return s
}

// treatment returns the estate's entry for the service, as of the configuration in force.
func (s *service) treatment() *schema.Service {
	return s.spec.Load()
}

func (s *service) document() *schema.Ownership {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.guardian.Document()
}

// route returns where a request for hash goes. Documents are never changed, so that the result may be kept.
func (s *service) route(hash uint64) ownership.Route {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.guardian.Route(hash)
}

// lease returns this instance's right to forward a request: for hash to its owner, or without a key to name.
func (s *service) lease(hash uint64, name string) (ownership.Lease, bool) {
	now := s.daemon.clock.Now()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.treatment().GetKeyed() {
		return s.guardian.Owning(now, hash)
	}
	return s.guardian.Forwarding(now, name)
}

// homeReady reports whether this instance may forward to the zone's pool.
func (s *service) homeReady(zone string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.guardian.HomeReady(s.daemon.clock.Now(), zone)
}

// isHome reports whether the document makes this instance the home of the zone's pool.
func (s *service) isHome(zone string) bool {
	return ownership.PoolOf(s.document(), zone).GetHome() == s.daemon.self.GetId()
}

// left reports whether the member is the home of no pool, or nobody is there to take over.
func (s *service) left(id string) bool {
	document := s.document()
	for _, p := range document.GetPools() {
		if p.GetHome() == id && len(document.GetGuardians()) > 1 {
			return false
		}
	}
	s.poolMutex.Lock()
	defer s.poolMutex.Unlock()
	for _, p := range s.pools {
		if !p.idle() {
			return false
		}
	}
	return true
}

// pool returns the zone's pool on this instance, made on first use.
func (s *service) pool(zone string) *pool {
	s.poolMutex.Lock()
	defer s.poolMutex.Unlock()
	p := s.pools[zone]
	if p == nil {
		p = newPool(s, zone)
		s.pools[zone] = p
	}
	return p
}

// updatePools tells the pools which upstreams this instance may send to.
func (s *service) updatePools(now time.Duration) {
	document := s.document()
	home := map[string]bool{}
	idle := true
	for _, p := range document.GetPools() {
		if p.GetHome() == s.daemon.self.GetId() {
			home[p.GetZone()] = true
			s.pool(p.GetZone()).update(now, document)
		}
	}
	s.poolMutex.Lock()
	for zone, p := range s.pools {
		if home[zone] {
			continue
		}
		p.lose(now)
		idle = idle && p.idle()
	}
	s.poolMutex.Unlock()
	if idle && s.idleTold < document.GetVersion() {
		s.idleTold = document.GetVersion()
		s.daemon.post(s, &schema.OwnershipEvent{
			Kind:     schema.EventKind_idle,
			Sequence: document.GetVersion(),
		})
	}
}

// busyLost counts requests of this instance in progress at an upstream for keys that it no longer owns. It stands in
// for the count of an upstream that keeps none.
func (s *service) busyLost(upstream string) uint32 {
	if !s.treatment().GetKeyed() {
		return 0
	}
	s.poolMutex.Lock()
	defer s.poolMutex.Unlock()
	var busy uint32
	for _, p := range s.pools {
		busy += p.busyLost(upstream)
	}
	return busy
}

// listLoop tells the guardians of members, upstreams and loads, as far as the lagging list and the heartbeats show.
func (d *Daemon) listLoop(ctx context.Context) error {
	ticker := time.NewTicker(listPeriod)
	defer ticker.Stop()
	var list *schema.InstanceList
	last := time.Now()
	for {
		measure := time.Since(last) >= loadPeriod
		fresh, err := d.list.List(ctx)
		if err == nil {
			list = fresh
		}
		for _, s := range d.services() {
			d.post(s, &schema.OwnershipEvent{
				Kind:  schema.EventKind_listed,
				Facts: d.facts(s, list, measure, time.Since(last)),
			})
		}
		if measure {
			last = time.Now()
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// listPeriod is how often the platform's list is read.
const listPeriod = 500 * time.Millisecond

// loadPeriod is how often the loads of slices are reported.
const loadPeriod = 3 * time.Second

func (d *Daemon) facts(s *service, list *schema.InstanceList, measure bool, period time.Duration) *schema.Facts {
	facts := &schema.Facts{
		Members: append([]*schema.Member{d.self}, d.members.alive(d.clock.Now())...),
		Dead:    d.deadGuardians(s.document()),
	}
	for _, u := range list.GetUpstreams() {
		if u.GetService() == s.name {
			facts.Upstreams = append(facts.Upstreams, u)
		}
	}
	sort.Slice(facts.Upstreams, func(i, j int) bool { return facts.Upstreams[i].GetName() < facts.Upstreams[j].GetName() })
	if c := d.current.Load(); c != nil {
		facts.Out = c.record.GetOut()
	}
	if s.treatment().GetKeyed() && measure {
		facts.Loads = s.loads(period)
	}
	return facts
}

// deadGuardians returns guardians that are proved to have ended: a later run holds their address.
func (d *Daemon) deadGuardians(document *schema.Ownership) []string {
	dead := d.members.ended()
	alive := append(d.members.alive(d.clock.Now()), d.self)
	for _, g := range document.GetGuardians() {
		for _, m := range alive {
			if m.GetPeers() == g.GetPeers() && m.GetName() == g.GetName() && m.GetId() > g.GetId() {
				dead = append(dead, g.GetId())
			}
		}
	}
	return dead
}

// loads returns the rates of the slices whose requests this instance forwards, measured since the last call.
func (s *service) loads(period time.Duration) []*schema.SliceLoad {
	document := s.document()
	counts := s.sketch.Take()
	if len(document.GetSlices()) == 0 || period <= 0 {
		return nil
	}
	return load.SliceLoads(document, counts, period, func(zone string) bool {
		return ownership.PoolOf(document, zone).GetHome() == s.daemon.self.GetId()
	})
}

// extra is added to the waits of take-overs where upstreams do not check grants.
func (s *service) extra() time.Duration {
	if s.treatment().GetChecksGrants() {
		return 0
	}
	return time.Duration(s.treatment().GetDeadlineMs()) * time.Millisecond
}
