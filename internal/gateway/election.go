package gateway

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"cuminlift"
	"cuminlift/core/authority"
	"cuminlift/schema"
)

// election is the duty that takes the lease when its holder is lost, and runs the coordinator while this instance holds it.
type election struct {
	config Config
	clock  cuminlift.Clock
	log    *logrus.Entry
	office *office
	view   func() *view
	// tables are passed on by the coordinator.
	tables      []*tableDuty
	incarnation string
	// read is when the lease was last read, and pause the shortest time to the next read.
	read, pause time.Duration
}

// leasePauseMost is the longest pause between reads of the lease while the store fails: all instances read it then, and a store that is back
// is to have a coordinator within a second.
const leasePauseMost = 500 * time.Millisecond

// electionStep is the time between looks at the coordinator's silence.
const electionStep = 50 * time.Millisecond

func permille(share float64) uint32 {
	return uint32(share * 1000)
}

// run watches and takes over until ctx ends.
func (e *election) run(ctx context.Context) error {
	e.register(ctx)
	for ctx.Err() == nil {
		if version, term, take := e.look(ctx); take {
			e.take(ctx, version, term)
		}
		sleep(ctx, electionStep)
	}
	return nil
}

// register writes the instance's row, unless it stands already as it should.
func (e *election) register(ctx context.Context) {
	row := &schema.InstanceRow{
		Name:    e.config.Settings.Name,
		Address: e.config.Settings.PeerAddress,
		Zone:    e.config.Settings.Zone,

		CpuPermille: permille(e.config.Settings.CPUShare),
	}
	value, err := proto.Marshal(row)
	if err != nil {
		e.log.WithError(err).Error("instance can't be registered: correct its name in the settings")
		return
	}
	for ctx.Err() == nil {
		if err := e.writeRow(ctx, value); err == nil {
			e.log.Info("instance is registered")
			return
		}
		sleep(ctx, storePause)
	}
}

func (e *election) writeRow(ctx context.Context, value []byte) error {
	limited, cancel := context.WithTimeout(ctx, storeRead)
	defer cancel()
	page, err := e.config.Store.Rows(limited, instanceTable, "")
	if err != nil {
		return err
	}
	standing := e.seeInstances(page.Rows, value)
	if standing {
		return nil
	}
	_, err = e.config.Store.Commit(limited, cuminlift.RowTransaction{
		Put: []cuminlift.Row{{
			Table: instanceTable,
			Key:   e.config.Settings.Name,
			Value: value,
		}},
	})
	return err
}

// seeInstances learns of the others before a coordinator tells of them, and reports whether the own row stands as it should. Without that, all
// instances that started at once would each take half of what all may use together.
func (e *election) seeInstances(rows []cuminlift.Row, value []byte) bool {
	standing := false
	largest := uint32(0)
	place, others := 0, 0
	own := e.config.Settings.Name
	for _, row := range rows {
		instance := &schema.InstanceRow{}
		if proto.Unmarshal(row.Value, instance) != nil {
			continue
		}
		largest = max(largest, instance.GetCpuPermille())
		standing = standing || (row.Key == own && string(row.Value) == string(value))
		if row.Key != own {
			others++
		}
		if row.Key < own {
			place++
		}
	}
	o := e.office
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.largest = max(o.largest, largest)
	if o.instances <= others {
		o.instances, o.place = others+1, place
	}
	return standing
}

// look reads the lease where the coordinator is silent, and reports whether to take it.
func (e *election) look(ctx context.Context) (version, term uint64, take bool) {
	o := e.office
	now := e.clock.Now()
	o.mutex.Lock()
	rank := authority.Rank(e.config.Settings.Name, permille(e.config.Settings.CPUShare), o.largest)
	suspects := o.watch.ShouldReadLease(now, rank)
	due := now >= o.watch.NextLeaseRead(rank) && now-e.read > e.pause
	o.mutex.Unlock()
	if !suspects || !due {
		return 0, 0, false
	}
	e.read = now
	limited, cancel := context.WithTimeout(ctx, storeRead)
	defer cancel()
	page, err := e.config.Store.Rows(limited, leaseTable, "")
	if err != nil {
		e.pause = min(2*e.pause, leasePauseMost)
		o.mutex.Lock()
		defer o.mutex.Unlock()
		o.watch.LeaseReadFailed()
		return 0, 0, false // The followers of the tables log that the store is lost.
	}
	e.pause = storePause
	lease := &schema.LeaseRow{}
	for _, row := range page.Rows {
		if row.Key != leaseKey {
			continue
		}
		version = row.Version
		if err := proto.Unmarshal(row.Value, lease); err != nil {
			e.log.WithError(err).Error("lease is unreadable: remove its row")
			return 0, 0, false
		}
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.watch.LeaseRead(now, version, lease.GetTerm())
	version, take = o.watch.CanTakeLease(e.clock.Now(), rank)
	o.taking = take
	return version, lease.GetTerm(), take
}

// take writes the lease and, if that succeeds, runs the coordinator until its right ends.
func (e *election) take(ctx context.Context, version, term uint64) {
	defer e.release()
	sent := e.clock.Now()
	limited, cancel := context.WithTimeout(ctx, leaseWrite)
	written, err := e.config.Store.Commit(limited, cuminlift.RowTransaction{
		Require: []cuminlift.Row{{
			Table:   leaseTable,
			Key:     leaseKey,
			Version: version,
		}},
		Put: []cuminlift.Row{leaseRow(e.config.Settings.Name, e.incarnation, term+1, 0)},
	})
	cancel()
	if err != nil {
		if _, conflict := conflictRows(err); !conflict {
			e.log.WithError(err).Warn("lease may have been taken, and is not used")
		}
		return
	}
	e.office.mutex.Lock()
	e.office.taking = false
	e.office.mutex.Unlock()
	e.office.loseTables(nil)
	c := newCoordinator(ctx, e.config, e.log, e.view, e.incarnation, term+1, written, sent)
	c.tables = e.tables
	c.run()
}

// release lets the instance acknowledge others again.
func (e *election) release() {
	o := e.office
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.taking = false
	o.watch = authority.NewMonitor(e.clock.Now())
}
