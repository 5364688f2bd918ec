package gateway

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"cuminlift"
	"cuminlift/core/replica"
	"cuminlift/core/roster"
	"cuminlift/core/route"
	"cuminlift/internal/mutant"
)

// view is an immutable snapshot of the configuration and upstreams known to an instance.
type view struct {
	// table is nil before the first configuration.
	table *route.Table
	list  roster.Snapshot
	// configured and listed are true once the tables of configurations and upstreams have been read.
	configured, listed bool
}

// upstreamIDs returns the registered upstreams of each service, in any order.
func (v *view) upstreamIDs() map[string][]string {
	ids := map[string][]string{}
	for _, u := range v.list.Upstreams {
		ids[u.Service] = append(ids[u.Service], u.ID)
	}
	return ids
}

// follower keeps the current view up to date.
type follower struct {
	store    cuminlift.RowStore
	registry Registry
	log      *logrus.Entry
	current  atomic.Pointer[view]
	clock    cuminlift.Clock
	// probes are those of the store for a coordinator that can't reach it.
	probeMutex sync.Mutex
	probes     replica.Probes

	// instances returns the number of instances that may read the store at the same time.
	instances func() int

	// configuration and upstreams are the feeds of the two tables.
	configuration, upstreams *tableFeed

	mutex sync.Mutex
	next  view
	rows  map[string]upstreamRow
	// Until graceUntil, upstreams whose entries disappear are kept; missing holds them.
	graceUntil time.Duration
	missing    map[string]bool
	// held are the rows of an older copy of the store that may be out of date, and keptZones the zones that it doesn't exclude and that
	// were excluded before. Both are decided at graceUntil, or when they are written again.
	held      map[string]cuminlift.Row
	keptZones map[string]bool
	// departures are the upstreams that have said in answers that they leave, and removed those whose entries are gone.
	departures, removed roster.Departures
}

type upstreamRow struct {
	version  uint64
	upstream roster.Upstream
}

const (
	// longPollWait is how long a read waits for changes, and longPollMargin how much longer the reply may take. A read that the
	// store accepted but never answers must time out before the store counts as healthy again, 3 s after its last failure.
	longPollWait   = 2 * time.Second
	longPollMargin = 700 * time.Millisecond
	// changeBatchInterval is the pause between reads of upstreams, so that a burst of changes takes one call. It is small
	// compared with the limits for changes to take effect, which are seconds.
	changeBatchInterval = 100 * time.Millisecond
	// storeRetryPause is the pause after a failed call to the store. It doubles up to maxStoreRetryPause, which is half of the
	// time within which a configuration must be in force.
	storeRetryPause    = 250 * time.Millisecond
	maxStoreRetryPause = time.Second
	// storeReadTimeout bounds a read that is not a long poll.
	storeReadTimeout = 2 * time.Second
	// storeProbeTimeout bounds a probe of the store.
	storeProbeTimeout = 500 * time.Millisecond
	// registrationGrace is how long after the store's recovery missing entries are kept: upstreams whose entries expired
	// while the store was down register again within two seconds.
	registrationGrace = 2300 * time.Millisecond
	// eraGrace is how long after the store has come back from an older copy what it says is compared with what was known before.
	// Upstreams and operators write again meanwhile, and entries of upstreams that have ended expire.
	eraGrace = 4 * time.Second
	// clockTolerance is how much earlier than the clock a timer may fire.
	clockTolerance = 5 * time.Millisecond
	// minOutage is the shortest outage of the store in which entries can expire: less than three of the shortest heartbeats.
	minOutage = time.Second
)

func newFollower(config Config, log *logrus.Entry) *follower {
	f := &follower{
		store:     config.Store,
		registry:  config.Registry,
		log:       log,
		clock:     config.Clock,
		rows:      map[string]upstreamRow{},
		missing:   map[string]bool{},
		held:      map[string]cuminlift.Row{},
		keptZones: map[string]bool{},
		instances: func() int { return 1 },
		next: view{
			list: roster.Snapshot{
				Upstreams:     map[string]roster.Upstream{},
				ExcludedZones: map[string]bool{},
			},
		},
	}
	f.configuration = f.configurationFeed()
	f.upstreams = f.upstreamFeed()
	f.publish()
	return f
}

// publish makes a copy of next the current view. The caller holds the mutex, except in newFollower.
func (f *follower) publish() {
	snapshot := f.next
	snapshot.list.Upstreams = make(map[string]roster.Upstream, len(f.rows))
	for id, r := range f.rows {
		r.upstream.Draining = r.upstream.Draining || f.departures.Has(id, r.upstream.Incarnation)
		if mutant.Is(mutant.DrainIgnored) {
			r.upstream.Draining = false
		}
		snapshot.list.Upstreams[id] = r.upstream
	}
	snapshot.list.ExcludedZones = make(map[string]bool, len(f.next.list.ExcludedZones))
	for zone := range f.next.list.ExcludedZones {
		snapshot.list.ExcludedZones[zone] = !mutant.Is(mutant.ZonesIgnored)
	}
	snapshot.list.Removed = map[string]int64{}
	f.removed.List(func(id string, incarnation int64) { snapshot.list.Removed[id] = incarnation })
	f.current.Store(&snapshot)
}

func (f *follower) view() *view {
	return f.current.Load()
}

// storeReachable reports whether the store answered the last probe.
func (f *follower) storeReachable() bool {
	f.probeMutex.Lock()
	defer f.probeMutex.Unlock()
	return f.probes.Reached(f.clock.Now())
}

// probeStore starts a small read of the store if one is due while a number of instances probe it, which updates storeReachable.
func (f *follower) probeStore(ctx context.Context, instances int) {
	f.probeMutex.Lock()
	defer f.probeMutex.Unlock()
	if !f.probes.Due(f.clock.Now(), instances, rand.Float64()) {
		return
	}
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, storeProbeTimeout)
		defer cancel()
		_, err := f.store.Rows(callCtx, leaseTable, "")
		f.probeMutex.Lock()
		defer f.probeMutex.Unlock()
		f.probes.Ended(f.clock.Now(), err == nil)
	}()
}

// jitter returns a random duration below pause.
func jitter(pause time.Duration) time.Duration {
	if pause <= 0 {
		return 0
	}
	return rand.N(pause)
}

// sleep waits for pause, or until ctx ends.
func sleep(ctx context.Context, pause time.Duration) {
	if pause <= 0 {
		return
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// configurationFeed returns the feed of the operators' table.
func (f *follower) configurationFeed() *tableFeed {
	return newTableFeed(&tableFeed{
		table: f.registry.ConfigurationTable(),
		replaceRows: func(rows []cuminlift.Row, newEra bool) {
			f.update(func() {
				before := f.next.list.ExcludedZones
				f.next.list.ExcludedZones = map[string]bool{}
				f.applyOperatorRows(rows)
				f.next.configured = true
				f.keepZones(before, newEra)
			})
		},
		applyChanges: func(rows []cuminlift.Row) {
			f.update(func() { f.applyOperatorRows(rows) })
		},
		onRecovered: func(context.Context, time.Duration) {},
	})
}

func (f *follower) update(change func()) {
	f.mutex.Lock()
	change()
	f.publish()
	f.mutex.Unlock()
}

func (f *follower) applyOperatorRows(rows []cuminlift.Row) {
	for _, row := range rows {
		if zone, ok := f.registry.EvacuatedZone(row); ok {
			f.applyZone(zone, row)
			continue
		}
		table, ok, err := f.registry.Configuration(row)
		if err != nil {
			f.log.WithError(err).WithField("row-version", row.Version).Error("decoding the configuration failed, the previous one stays in force")
			continue
		}
		if !ok || (f.next.table != nil && table.Version <= f.next.table.Version) {
			continue
		}
		f.next.table = table
		f.log.WithFields(logrus.Fields{
			"version":     table.Version,
			"row-version": row.Version,
			"mixed":       table.MixedServices(),
		}).Info("configuration is in force")
	}
}

func (f *follower) applyZone(zone string, row cuminlift.Row) {
	delete(f.keptZones, zone)
	if row.Removed {
		delete(f.next.list.ExcludedZones, zone)
	} else {
		f.next.list.ExcludedZones[zone] = true
	}
	f.log.WithFields(logrus.Fields{
		"zone":        zone,
		"out":         !row.Removed,
		"row-version": row.Version,
	}).Info("availability zone changed")
}

// upstreamFeed returns the feed of the upstreams' table.
func (f *follower) upstreamFeed() *tableFeed {
	return newTableFeed(&tableFeed{
		table: f.registry.UpstreamTable(),
		replaceRows: func(rows []cuminlift.Row, newEra bool) {
			f.update(func() {
				if newEra {
					f.holdOutdated(rows)
				}
				f.replaceUpstreams(rows)
			})
		},
		applyChanges: func(rows []cuminlift.Row) {
			f.update(func() { f.applyUpstreams(rows) })
		},
		onRecovered: func(_ context.Context, failed time.Duration) {
			if failed > minOutage {
				f.update(func() { f.startGrace(registrationGrace) })
			}
		},
		pause: changeBatchInterval,
	})
}

func (f *follower) replaceUpstreams(rows []cuminlift.Row) {
	present := map[string]bool{}
	for _, row := range rows {
		present[row.Key] = true
	}
	for id := range f.held {
		if !present[id] {
			delete(f.held, id)
		}
	}
	for id := range f.rows {
		if !present[id] {
			f.handleMissing(id)
		}
	}
	f.applyUpstreams(rows)
	f.next.listed = true
}

// handleMissing removes an upstream whose entry is gone, or during the grace period marks it as missing.
func (f *follower) handleMissing(id string) {
	if f.clock.Now() < f.graceUntil && !f.rows[id].upstream.Draining {
		f.missing[id] = true
		return
	}
	f.removeUpstream(id)
}

func (f *follower) applyUpstreams(rows []cuminlift.Row) {
	for _, row := range rows {
		if known, wasKnown := f.rows[row.Key]; wasKnown && known.version >= row.Version {
			continue
		}
		if held, isHeld := f.held[row.Key]; isHeld && row.Version <= held.Version {
			continue // Read again, not written again.
		}
		delete(f.held, row.Key)
		if row.Removed {
			f.handleMissing(row.Key)
			continue
		}
		delete(f.missing, row.Key)
		u, err := f.registry.Upstream(row)
		if err != nil {
			f.log.WithError(err).Warn("upstream's entry is passed over")
			delete(f.rows, row.Key)
			continue
		}
		if old, known := f.rows[row.Key]; !known || old.upstream.Draining != u.Draining || old.upstream.Incarnation != u.Incarnation {
			f.log.WithFields(logrus.Fields{
				"upstream":    u.ID,
				"service":     u.Service,
				"draining":    u.Draining,
				"born":        u.Incarnation,
				"cold":        u.ColdRemaining,
				"row-version": row.Version,
			}).Info("upstream registered")
		}
		f.rows[row.Key] = upstreamRow{
			version:  row.Version,
			upstream: u,
		}
	}
}

func (f *follower) removeUpstream(id string) {
	if row, known := f.rows[id]; known {
		f.removed.Add(f.clock.Now(), id, row.upstream.Incarnation)
		f.log.WithField("upstream", id).Info("upstream's entry is gone")
	}
	delete(f.rows, id)
	delete(f.missing, id)
}

// stripPort returns the host of a Host header without its port.
func stripPort(host string) string {
	if index := strings.LastIndexByte(host, ':'); index >= 0 && !strings.HasSuffix(host, "]") {
		return host[:index]
	}
	return host
}
