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

// service is the runtime state of one service of the estate on this instance.
type service struct {
	name   string
	daemon *Daemon
	// index is the position of the service in the estate when it was created.
	index int
	// mutex guards guardian. Only the control loop steps the guardian.
	mutex    sync.Mutex
	guardian *ownership.Guardian
	// idleReportedVersion is the newest document version for which an idle event was posted: nothing is in progress
	// here for pools that have other homes.
	idleReportedVersion uint64
	sketch              *load.Sketch
	zoneWaits           *zoneWaitCache
	spec                atomic.Pointer[schema.Service]
	// poolMutex guards pools.
	poolMutex sync.Mutex
	pools     map[string]*pool
}

func newService(d *Daemon, spec *schema.Service, index int) *service {
	timing := d.config.Timing
	s := &service{
		name:      spec.GetName(),
		daemon:    d,
		index:     index,
		pools:     map[string]*pool{},
		zoneWaits: newZoneWaitCache(),
		sketch:    load.NewSketch(load.DefaultSize),
	}
	s.spec.Store(spec)
	config := ownership.Config{
		Self:    d.self,
		Service: spec.GetName(),
		Timing:  timing,
		Keyed:   spec.GetKeyed(),
		Planner: assign.NewPlanner(assign.Config{
			Keyed:      spec.GetKeyed(),
			HomeOffset: index,
		}),
	}
	config.ExtraTakeoverDelay = s.extraTakeoverDelay()
	s.guardian = ownership.NewGuardian(config)
	return s
}

// currentSpec returns the service's entry in the active estate.
func (s *service) currentSpec() *schema.Service {
	return s.spec.Load()
}

func (s *service) document() *schema.Ownership {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.guardian.Document()
}

// route returns the destination of requests for hash. Documents are immutable, so the caller may keep the result.
func (s *service) route(hash uint64) ownership.Route {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.guardian.Route(hash)
}

// lease returns this instance's lease to forward a request: for a keyed service to the owner of hash, otherwise to
// upstream.
func (s *service) lease(hash uint64, upstream string) (ownership.Lease, bool) {
	now := s.daemon.clock.Now()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.currentSpec().GetKeyed() {
		return s.guardian.OwnerLease(now, hash)
	}
	return s.guardian.ForwardingLease(now, upstream)
}

// homeReady reports whether this instance may forward to the zone's pool.
func (s *service) homeReady(zone string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.guardian.HomeReady(s.daemon.clock.Now(), zone)
}

// isHome reports whether the document names this instance as the home of the zone's pool.
func (s *service) isHome(zone string) bool {
	return ownership.FindPool(s.document(), zone).GetHome() == s.daemon.self.GetId()
}

// handoverComplete reports whether no pool with another possible home is left to hand over, and all pools on this
// instance are idle.
func (s *service) handoverComplete(id string) bool {
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

// pool returns the zone's pool on this instance, creating it on first use.
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

// updatePools updates the pools that this instance is the home of and hands over the others. It posts an idle event
// once for each document version when nothing is in progress in the latter.
func (s *service) updatePools(now time.Duration) {
	document := s.document()
	home := map[string]bool{}
	idle := true
	for _, p := range document.GetPools() {
		if p.GetHome() == s.daemon.self.GetId() {
			home[p.GetZone()] = true
			s.pool(p.GetZone()).updateUpstreams(now, document)
		}
	}
	s.poolMutex.Lock()
	for zone, p := range s.pools {
		if home[zone] {
			continue
		}
		p.handOver(now)
		idle = idle && p.idle()
	}
	s.poolMutex.Unlock()
	if idle && s.idleReportedVersion < document.GetVersion() {
		s.idleReportedVersion = document.GetVersion()
		s.daemon.postEvent(s, &schema.OwnershipEvent{
			Kind:     schema.EventKind_idle,
			Sequence: document.GetVersion(),
		})
	}
}

// countUnownedInFlight returns the number of this instance's requests in progress at an upstream for keys that it no
// longer owns. It substitutes for the count of an upstream that keeps none.
func (s *service) countUnownedInFlight(upstream string) uint32 {
	if !s.currentSpec().GetKeyed() {
		return 0
	}
	s.poolMutex.Lock()
	defer s.poolMutex.Unlock()
	var count uint32
	for _, p := range s.pools {
		count += p.countUnownedInFlight(upstream)
	}
	return count
}

// instanceListLoop reports members, upstreams and loads to the guardians, from the platform's instance list, which may
// lag, and from heartbeats.
func (d *Daemon) instanceListLoop(ctx context.Context) error {
	ticker := time.NewTicker(listPeriod)
	defer ticker.Stop()
	var instanceList *schema.InstanceList
	lastLoadReport := time.Now()
	for {
		reportLoads := time.Since(lastLoadReport) >= loadPeriod
		current, err := d.instanceList.List(ctx)
		if err == nil {
			instanceList = current
		}
		for _, s := range d.services() {
			d.postEvent(s, &schema.OwnershipEvent{
				Kind:  schema.EventKind_listed,
				Facts: d.facts(s, instanceList, reportLoads, time.Since(lastLoadReport)),
			})
		}
		if reportLoads {
			lastLoadReport = time.Now()
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// listPeriod is the interval between reads of the platform's instance list.
const listPeriod = 500 * time.Millisecond

// loadPeriod is the interval between reports of slice loads.
const loadPeriod = 3 * time.Second

func (d *Daemon) facts(s *service, instanceList *schema.InstanceList, reportLoads bool, period time.Duration) *schema.Facts {
	facts := &schema.Facts{
		Members: append([]*schema.Member{d.self}, d.members.alive(d.clock.Now())...),
		Dead:    d.endedGuardians(s.document()),
	}
	for _, u := range instanceList.GetUpstreams() {
		if u.GetService() == s.name {
			facts.Upstreams = append(facts.Upstreams, u)
		}
	}
	sort.Slice(facts.Upstreams, func(i, j int) bool { return facts.Upstreams[i].GetName() < facts.Upstreams[j].GetName() })
	if c := d.current.Load(); c != nil {
		facts.Out = c.record.GetOut()
	}
	if s.currentSpec().GetKeyed() && reportLoads {
		facts.Loads = s.loads(period)
	}
	return facts
}

// endedGuardians returns the members known to have ended, and the guardians whose peer address is held by a later run.
func (d *Daemon) endedGuardians(document *schema.Ownership) []string {
	ended := d.members.endedIDs()
	alive := append(d.members.alive(d.clock.Now()), d.self)
	for _, g := range document.GetGuardians() {
		for _, m := range alive {
			if m.GetPeers() == g.GetPeers() && m.GetName() == g.GetName() && m.GetId() > g.GetId() {
				ended = append(ended, g.GetId())
			}
		}
	}
	return ended
}

// loads returns the request rates of the slices for which this instance forwards, measured since the last call.
func (s *service) loads(period time.Duration) []*schema.SliceLoad {
	document := s.document()
	counts := s.sketch.Take()
	if len(document.GetSlices()) == 0 || period <= 0 {
		return nil
	}
	return load.SliceLoads(document, counts, period, func(zone string) bool {
		return ownership.FindPool(document, zone).GetHome() == s.daemon.self.GetId()
	})
}

// extraTakeoverDelay returns the time to add to takeover delays if the upstreams do not check grants: the deadline of a
// request.
func (s *service) extraTakeoverDelay() time.Duration {
	if s.currentSpec().GetChecksGrants() {
		return 0
	}
	return time.Duration(s.currentSpec().GetDeadlineMs()) * time.Millisecond
}
