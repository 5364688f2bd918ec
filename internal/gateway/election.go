package gateway

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"cuminlift"
	"cuminlift/core/authority"
	"cuminlift/core/replica"
	"cuminlift/schema"
)

// elector takes the lease when its holder is lost, and then runs the coordinator.
type elector struct {
	config       Config
	clock        cuminlift.Clock
	log          *logrus.Entry
	ticketClient *ticketClient
	view         func() *view
	// tables are forwarded by the coordinator.
	tables      []*tableFeed
	incarnation string
	// lastRead is when the lease was last read, and readPause the minimum time until the next read.
	lastRead, readPause time.Duration
	// failingSince is when reading the lease began to fail, 0 while it works.
	failingSince time.Duration
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
	}
	value, err := proto.Marshal(row)
	if err != nil {
		e.log.WithError(err).Error("encoding the instance row failed: correct the name in the settings")
		return
	}
	for ctx.Err() == nil {
		if err := e.writeInstanceRow(ctx, value); err == nil {
			e.log.Info("instance registered")
			return
		}
		sleep(ctx, storeRetryPause)
	}
}

func (e *elector) writeInstanceRow(ctx context.Context, value []byte) error {
	callCtx, cancel := context.WithTimeout(ctx, storeReadTimeout)
	defer cancel()
	page, err := e.config.Store.Rows(callCtx, instanceTable, "")
	if err != nil {
		return err
	}
	upToDate := e.observeInstances(page.Rows, value)
	if upToDate {
		return nil
	}
	_, err = e.config.Store.Commit(callCtx, cuminlift.RowTransaction{
		Put: []cuminlift.Row{{
			Table: instanceTable,
			Key:   e.config.Settings.Name,
			Value: value,
		}},
	})
	return err
}

// observeInstances counts the registered instances before a coordinator reports them, and reports whether the own row is up
// to date. Without the count, instances that start at the same time would each take half of the shared limits.
func (e *elector) observeInstances(rows []cuminlift.Row, value []byte) bool {
	upToDate := false
	maxCPUPermille := uint32(0)
	index, others := 0, 0
	own := e.config.Settings.Name
	for _, row := range rows {
		instance := &schema.InstanceRow{}
		if proto.Unmarshal(row.Value, instance) != nil {
			continue
		}
		maxCPUPermille = max(maxCPUPermille, instance.GetCpuPermille())
		upToDate = upToDate || (row.Key == own && string(row.Value) == string(value))
		if row.Key != own {
			others++
		}
		if row.Key < own {
			index++
		}
	}
	t := e.ticketClient
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.maxCPUPermille = max(t.maxCPUPermille, maxCPUPermille)
	if t.instanceCount <= others {
		t.instanceCount, t.index = others+1, index
	}
	return upToDate
}

// checkLease reads the lease if the coordinator's heartbeats are missing, and reports whether to acquire it.
func (e *elector) checkLease(ctx context.Context) (version, term uint64, acquire bool) {
	t := e.ticketClient
	now := e.clock.Now()
	t.mutex.Lock()
	rank := authority.Rank(e.config.Settings.Name, permille(e.config.Settings.CPUShare), t.maxCPUPermille)
	suspects := t.monitor.ShouldReadLease(now, rank)
	due := now >= t.monitor.NextLeaseRead(rank) && now-e.lastRead > e.readPause
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
		if e.failingSince == 0 {
			e.failingSince = now
		}
		t.mutex.Lock()
		defer t.mutex.Unlock()
		t.monitor.LeaseReadFailed()
		return 0, 0, false // The table feeds log that the store is lost.
	}
	e.readPause = storeRetryPause
	if e.failingSince != 0 {
		for _, feed := range e.tables {
			feed.wakeAfterOutage(e.failingSince)
		}
		e.failingSince = 0
	}
	term, ok := e.recordLease(page.Rows)
	if !ok {
		return 0, 0, false
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	version, acquire = t.monitor.CanTakeLease(e.clock.Now(), rank)
	t.acquiringLease = acquire
	return version, term, acquire
}

// maxReadPause returns the longest pause between reads of the lease while the store fails. The instances that come first in the
// order of takeover are few; the others leave it to them.
func (e *elector) maxReadPause(rank int) time.Duration {
	if authority.First(rank) {
		return maxLeaseReadPause
	}
	return max(maxLeaseReadPause, replica.ReadPause(e.ticketClient.knownInstances()), replica.ProbePause(e.ticketClient.knownInstances())/4)
}

// recordLease passes the lease among rows of the store to the monitor and returns its term. ok is false if it can't be decoded.
func (e *elector) recordLease(rows []cuminlift.Row) (term uint64, ok bool) {
	lease := &schema.LeaseRow{}
	version := uint64(0)
	for _, row := range rows {
		if row.Key != leaseKey {
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
	t.monitor.LeaseRead(e.clock.Now(), version, lease.GetTerm())
	return lease.GetTerm(), true
}

// acquire writes the lease and, if that succeeds, runs the coordinator until its authority ends.
func (e *elector) acquire(ctx context.Context, version, term uint64) {
	sentAt := e.clock.Now()
	callCtx, cancel := context.WithTimeout(ctx, leaseWriteTimeout)
	written, err := e.config.Store.Commit(callCtx, cuminlift.RowTransaction{
		Require: []cuminlift.Row{{
			Table:   leaseTable,
			Key:     leaseKey,
			Version: version,
		}},
		Put: []cuminlift.Row{leaseRow(e.config.Settings.Name, e.incarnation, term+1, 0)},
	})
	cancel()
	e.ticketClient.mutex.Lock()
	e.ticketClient.acquiringLease = false
	e.ticketClient.mutex.Unlock()
	if rows, conflict := conflictRows(err); conflict {
		// What the monitor knows still holds, such as a resignation whose last renewal came in between.
		e.recordLease(rows)
		return
	}
	defer e.resetMonitor()
	if err != nil {
		e.log.WithError(err).Warn("outcome of the lease write is unknown, not acting as coordinator")
		return
	}
	e.ticketClient.resumeStoreReads(nil)
	c := newCoordinator(ctx, e.config, e.log, e.view, e.incarnation, term+1, written, sentAt)
	c.tables = e.tables
	c.run()
}

// resetMonitor starts monitoring anew.
func (e *elector) resetMonitor() {
	t := e.ticketClient
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.monitor = authority.NewMonitor(e.clock.Now())
}
