package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"cuminlift"
	"cuminlift/core/authority"
	"cuminlift/core/paths"
	"cuminlift/core/replica"
	"cuminlift/schema"
)

// elector takes the lease when its holder is lost, and then runs the coordinator.
type elector struct {
	config       Config
	clock        cuminlift.Clock
	log          *logrus.Entry
	counters     *counters
	ticketClient *ticketClient
	view         func() *view
	// tables are forwarded by the coordinator.
	tables      []*tableFeed
	departures  departureKeeper
	paths       *pathMonitor
	store       *watchedStore
	incarnation string
	// lastRead is when the lease was last read, and readPause the minimum time until the next read.
	lastRead, readPause time.Duration
	// rowVersion is the version of the instance's own row, without which it may not take the lease, rowEra the era of the store in
	// which it was given out, and row its value.
	rowVersion, rowEra uint64
	row                []byte
	// leaseEra is the era of the store in which the lease was last read.
	leaseEra uint64
	// backoff delays the instance after a short term.
	backoff authority.Backoff
	// lastRegistrationCheck is when the own row was last looked for because there was no word from a coordinator.
	lastRegistrationCheck time.Duration
}

// maxLeaseReadPause is the longest pause between reads of the lease while the store fails. All instances read it then, and
// there must be a coordinator within a second of the store's recovery.
const maxLeaseReadPause = 500 * time.Millisecond

// electionInterval is the interval at which the coordinator's heartbeats are checked.
const electionInterval = 50 * time.Millisecond

func permille(share float64) uint32 {
	return uint32(share * 1000)
}

// run watches the coordinator, and takes over from a lost one, until ctx ends.
func (e *elector) run(ctx context.Context) error {
	e.registerInstance(ctx)
	for ctx.Err() == nil {
		if e.store.currentEra() != e.rowEra {
			// The row may be lost. All instances look for theirs at the same time.
			sleep(ctx, jitter(replica.ReadPause(e.ticketClient.knownInstances())))
			e.checkRegistration(ctx)
		}
		if version, term, acquire := e.checkLease(ctx); acquire {
			e.acquire(ctx, version, term)
		}
		sleep(ctx, electionInterval)
	}
	return nil
}

// registerInstance writes the instance's row unless the stored one is up to date.
func (e *elector) registerInstance(ctx context.Context) {
	row := &schema.InstanceRow{
		Name:    e.config.Settings.Name,
		Address: e.config.Settings.PeerAddress,
		Zone:    e.config.Settings.Zone,

		CpuPermille: permille(e.config.Settings.CPUShare),

		RelayAddress: e.config.Settings.RelayAddress,

		LinkMbps: e.config.Settings.LinkMbps,
		MemoryMb: uint32(e.config.Settings.MemoryBytes >> 20),
		MaxFds:   e.config.Settings.MaxFDs,
	}
	value, err := proto.Marshal(row)
	if err != nil {
		e.log.WithError(err).Error("encoding the instance row failed: correct the name in the settings")
		return
	}
	e.row = value
	for ctx.Err() == nil {
		if err := e.writeInstanceRow(ctx); err == nil {
			e.log.Info("instance registered")
			return
		}
		sleep(ctx, storeRetryPause)
	}
}

// registrationCheckInterval is the time between looks for the own row while others have a coordinator and this instance has none.
const registrationCheckInterval = 2 * time.Second

// checkRegistration registers again if a coordinator that did not reach this instance has removed its row.
func (e *elector) checkRegistration(ctx context.Context) {
	now := e.clock.Now()
	if now-e.lastRegistrationCheck < registrationCheckInterval {
		return
	}
	e.lastRegistrationCheck = now
	if err := e.writeInstanceRow(ctx); err != nil {
		e.log.WithError(err).Warn("looking for the own registration failed, trying again")
	}
}

// writeInstanceRow writes the instance's row unless the stored one is up to date.
func (e *elector) writeInstanceRow(ctx context.Context) error {
	version, era, err := e.putInstanceRow(ctx)
	if err != nil {
		return err
	}
	e.rowVersion, e.rowEra = version, era
	return nil
}

// putInstanceRow does so for any goroutine. It returns the version of the row and its era.
func (e *elector) putInstanceRow(ctx context.Context) (version, era uint64, err error) {
	callCtx, cancel := context.WithTimeout(ctx, storeReadTimeout)
	defer cancel()
	page, err := e.config.Store.Rows(callCtx, instanceTable, "")
	if err != nil {
		return 0, 0, err
	}
	if version, upToDate := e.observeInstances(page.Rows, e.row); upToDate {
		return version, page.Era, nil
	}
	version, err = e.config.Store.Commit(callCtx, cuminlift.RowTransaction{
		Era: page.Era,
		Put: []cuminlift.Row{{
			Table: instanceTable,
			Key:   e.config.Settings.Name,
			Value: e.row,
		}},
	})
	return version, page.Era, err
}

// observeInstances counts the registered instances before a coordinator reports them, and returns the version of the own row
// and whether it is up to date. Without the count, instances that start at the same time would each take half of the shared limits.
func (e *elector) observeInstances(rows []cuminlift.Row, value []byte) (version uint64, upToDate bool) {
	maxCPUPermille := uint32(0)
	index, others := 0, 0
	resources := []authority.Resources{e.config.Settings.resources()}
	var relays []paths.Relay
	own := e.config.Settings.Name
	for _, row := range rows {
		instance := &schema.InstanceRow{}
		if proto.Unmarshal(row.Value, instance) != nil {
			continue
		}
		maxCPUPermille = max(maxCPUPermille, instance.GetCpuPermille())
		if row.Key == own {
			version, upToDate = row.Version, string(row.Value) == string(value)
		} else {
			others++
			resources = append(resources, rowResources(instance))
		}
		if address := instance.GetRelayAddress(); address != "" {
			relays = append(relays, paths.Relay{
				Name:    row.Key,
				Zone:    instance.GetZone(),
				Address: address,
			})
		}
		if row.Key < own {
			index++
		}
	}
	t := e.ticketClient
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.maxCPUPermille = max(t.maxCPUPermille, maxCPUPermille)
	t.resources.rows = resources
	if t.registration == unknownRegistration {
		t.registration = firstRegistration
		if version != 0 {
			t.registration = repeatedRegistration
		}
	}
	if t.instanceCount <= others {
		t.instanceCount, t.index = others+1, index
	}
	if t.frameConn == nil {
		t.shares.SetPlace(t.index, t.instanceCount, 0)
	}
	t.useRegisteredRelays(relays)
	return version, upToDate
}

// checkLease reads the lease if the coordinator's heartbeats are missing, and reports whether to acquire it.
func (e *elector) checkLease(ctx context.Context) (version, term uint64, acquire bool) {
	t := e.ticketClient
	now := e.clock.Now()
	holdersLost := e.paths.holdersLost()
	t.mutex.Lock()
	rank := t.rank()
	if holdersLost {
		rank = authority.RankWithoutPaths(rank)
	}
	rank = e.backoff.Rank(now, rank)
	suspects := t.monitor.ShouldReadLease(now, rank)
	due := now >= t.monitor.NextLeaseRead(rank, t.instanceCount) && now-e.lastRead > e.readPause
	t.mutex.Unlock()
	if !suspects || !due {
		return 0, 0, false
	}
	e.lastRead = now
	callCtx, cancel := context.WithTimeout(ctx, storeReadTimeout)
	defer cancel()
	page, err := e.config.Store.Rows(callCtx, leaseTable, "")
	if err != nil {
		e.readPause = min(2*e.readPause, e.maxReadPause(rank))
		t.mutex.Lock()
		defer t.mutex.Unlock()
		t.monitor.LeaseReadFailed()
		return 0, 0, false // The table feeds log that the store is lost.
	}
	e.readPause = storeRetryPause
	e.leaseEra = page.Era
	term, ok := e.recordLease(page.Rows, page.Era)
	if !ok {
		return 0, 0, false
	}
	if e.coordinatorMissing(now) {
		e.checkRegistration(ctx)
	}
	if term == 0 && !e.observeAll(callCtx) {
		return 0, 0, false
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if term == 0 && t.rank() > rank {
		return 0, 0, false // A fitter instance has registered since.
	}
	version, acquire = t.monitor.CanTakeLease(e.clock.Now(), rank)
	t.acquiringLease = acquire
	return version, term, acquire
}

// observeAll reads which instances have registered. Before the first lease, no coordinator tells of them, and those that start at the same
// time may have registered after this one.
func (e *elector) observeAll(ctx context.Context) bool {
	page, err := e.config.Store.Rows(ctx, instanceTable, "")
	if err != nil {
		e.log.WithError(err).Warn("reading the registered instances failed, trying again before the lease is taken")
		return false
	}
	e.observeInstances(page.Rows, e.row)
	return true
}

// maxReadPause returns the longest pause between reads of the lease while the store fails. The instances that come first in the
// order of takeover are few; the others leave it to them.
func (e *elector) maxReadPause(rank int) time.Duration {
	if authority.First(rank) {
		return maxLeaseReadPause
	}
	return max(maxLeaseReadPause, replica.ReadPause(e.ticketClient.knownInstances()), replica.ProbePause(e.ticketClient.knownInstances())/4)
}

// coordinatorMissing reports whether there has been no coordinator for this instance for longer than a takeover lasts.
func (e *elector) coordinatorMissing(now time.Duration) bool {
	t := e.ticketClient
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.frameConn == nil && now-t.coordinatorLostAt > coordinatorGap
}

// recordLease passes the lease among rows of the store to the monitor and returns its term. ok is false if it can't be decoded.
func (e *elector) recordLease(rows []cuminlift.Row, era uint64) (term uint64, ok bool) {
	lease := &schema.LeaseRow{}
	version := uint64(0)
	for _, row := range rows {
		if row.Table != leaseTable || row.Key != leaseKey {
			continue
		}
		version = row.Version
		if err := proto.Unmarshal(row.Value, lease); err != nil {
			e.log.WithError(err).Error("decoding the lease failed: remove its row")
			return 0, false
		}
	}
	t := e.ticketClient
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.monitor.EraChanged(era)
	t.monitor.LeaseRead(e.clock.Now(), version, lease.GetTerm())
	return lease.GetTerm(), true
}

// acquire writes the lease and, if that succeeds, runs the coordinator until its authority ends.
func (e *elector) acquire(ctx context.Context, version, term uint64) {
	if e.rowEra != e.leaseEra {
		e.checkRegistration(ctx)
		return
	}
	sentAt := e.clock.Now()
	era, next := e.leaseEra, authority.NextTerm(term, e.leaseEra, version)
	callCtx, cancel := context.WithTimeout(ctx, leaseWriteTimeout)
	written, err := e.config.Store.Commit(callCtx, cuminlift.RowTransaction{
		Era: era,
		Require: []cuminlift.Row{{
			Table:   leaseTable,
			Key:     leaseKey,
			Version: version,
		}, {
			Table:   instanceTable,
			Key:     e.config.Settings.Name,
			Version: e.rowVersion,
		}},
		Put: []cuminlift.Row{leaseRow(e.config.Settings.Name, e.incarnation, next, 0)},
	})
	cancel()
	e.ticketClient.mutex.Lock()
	e.ticketClient.acquiringLease = false
	e.ticketClient.mutex.Unlock()
	if rows, conflict := conflictRows(err); conflict {
		// What the monitor knows still holds, such as a resignation whose last renewal came in between.
		if containsLease(rows) {
			e.recordLease(rows, era)
		}
		e.checkRegistration(ctx)
		return
	}
	defer e.resetMonitor()
	if err != nil {
		e.log.WithError(err).Warn("outcome of the lease write is unknown, not acting as coordinator")
		return
	}
	e.ticketClient.resumeStoreReads(nil)
	c := newCoordinator(ctx, e.config, e.log, e.view, e.incarnation, next, written, sentAt)
	c.leaseEra = era
	e.ticketClient.mutex.Lock()
	c.demand = authority.NewDemand(float64(e.ticketClient.resources.requestRate))
	c.strain.Strain = authority.NewStrain(sentAt, e.ticketClient.monitor.LastResignation())
	e.ticketClient.mutex.Unlock()
	c.store = e.store
	c.register = func(ctx context.Context) error {
		_, _, err := e.putInstanceRow(ctx)
		return err
	}
	c.tables = e.tables
	c.departures = e.departures
	c.paths = e.paths
	c.counters = e.counters
	c.run()
	e.backoff.TermEnded(e.clock.Now(), sentAt, c.gaveUp)
}

func containsLease(rows []cuminlift.Row) bool {
	return slices.ContainsFunc(rows, func(row cuminlift.Row) bool { return row.Table == leaseTable && row.Key == leaseKey })
}

// resetMonitor starts monitoring anew.
func (e *elector) resetMonitor() {
	t := e.ticketClient
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.monitor = authority.NewMonitor(e.clock.Now())
	t.monitor.EraChanged(e.store.currentEra())
}
