package gateway

import (
	"context"
	"maps"
	"runtime/debug"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"cuminlift"
	"cuminlift/schema"
)

// followInstances keeps the links in sync with the registered instances.
func (c *coordinator) followInstances() {
	f := &follower{
		store: c.config.Store,
		log:   c.log,
		clock: c.clock,
		// Only the coordinator reads this table.
		instances: func() int { return 1 },
	}
	var mutex sync.Mutex
	rows, unconfirmed := map[string]registeredInstance{}, map[string]bool{}
	apply := func(list []cuminlift.Row) {
		mutex.Lock()
		defer mutex.Unlock()
		for _, row := range list {
			delete(rows, row.Key)
			delete(unconfirmed, row.Key)
			instance := &schema.InstanceRow{}
			if row.Removed || proto.Unmarshal(row.Value, instance) != nil || instance.GetName() == "" {
				continue
			}
			rows[row.Key] = registeredInstance{
				InstanceRow: instance,
				version:     row.Version,
			}
		}
		registered := make([]registeredInstance, 0, len(rows))
		for _, instance := range rows {
			registered = append(registered, instance)
		}
		c.post(func(now time.Duration) { c.setInstances(now, registered) })
	}
	// follow returns only when the context ends.
	_ = f.follow(c.ctx, newTableFeed(&tableFeed{
		table: instanceTable,
		replaceRows: func(list []cuminlift.Row, newEra bool) {
			mutex.Lock()
			if newEra {
				// Instances whose rows are lost register again. Until then they may still hold the lease or take it.
				for name := range rows {
					unconfirmed[name] = true
				}
				time.AfterFunc(eraGrace, func() {
					mutex.Lock()
					for name := range unconfirmed {
						delete(rows, name)
					}
					mutex.Unlock()
					apply(nil)
				})
			} else {
				clear(rows)
			}
			mutex.Unlock()
			apply(list)
		},
		applyChanges: apply,
		onRecovered:  func(context.Context, time.Duration) {},
		pause:        changeBatchInterval,
	}))
}

// registeredInstance is an instance's row and its version.
type registeredInstance struct {
	*schema.InstanceRow
	version uint64
}

func (c *coordinator) setInstances(now time.Duration, instances []registeredInstance) {
	present := map[string]bool{}
	var others []string
	for _, instance := range instances {
		present[instance.GetName()] = true
		if instance.GetName() != c.config.Settings.Name {
			others = append(others, instance.GetName())
		}
		old := c.links[instance.GetName()]
		if old != nil && old.address == instance.GetAddress() {
			old.rowVersion = instance.version
			old.relayAddress = instance.GetRelayAddress()
			old.resources = rowResources(instance.InstanceRow)
			continue
		}
		if old != nil {
			old.close()
			c.quota.Leave(now, old.name)
		}
		c.addLink(now, instance)
	}
	for name, l := range c.links {
		if !present[name] {
			l.close()
			delete(c.links, name)
		}
	}
	c.leadership.SetMembers(others)
	c.quota.SetMembers(now, slices.Collect(maps.Keys(c.links)))
	if len(c.links) >= manyInstances {
		debug.SetGCPercent(coordinatorGCPercent)
	}
	for index, name := range slices.Sorted(maps.Keys(c.links)) {
		c.links[name].index = uint32(index)
	}
}

const (
	// pruneAfter is how long an instance must have been out of reach for its row to be removed. It is longer than a restart or a
	// short partition.
	pruneAfter = 5 * time.Second
	// pruneInterval is the time between looks for such instances, of which each removes at most maxPruned.
	pruneInterval = time.Second
	maxPruned     = 50
)

// pruneInstances removes the rows of instances that have been out of reach for long. Without the store, the coordinator needs an
// acknowledgement of every registered instance, and one that is gone for good never gives it. An instance that is alive
// can't take the lease without its row, and registers again.
func (c *coordinator) pruneInstances(now time.Duration) {
	if now-c.lastPrune < pruneInterval || c.storeFails() {
		return
	}
	c.lastPrune = now
	transaction := cuminlift.RowTransaction{
		Era: c.leaseEra,
	}
	for name, l := range c.links {
		if l.downSince == 0 || now-l.downSince < pruneAfter || len(transaction.Remove) == maxPruned {
			continue
		}
		row := cuminlift.Row{
			Table:   instanceTable,
			Key:     name,
			Version: l.rowVersion,
		}
		transaction.Require = append(transaction.Require, row)
		transaction.Remove = append(transaction.Remove, row)
		c.log.WithFields(logrus.Fields{
			"lost": name,
			"for":  now - l.downSince,
		}).Info("removing the row of an instance out of reach")
	}
	if len(transaction.Remove) == 0 {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, storeReadTimeout)
		defer cancel()
		if _, err := c.config.Store.Commit(ctx, transaction); err != nil {
			c.log.WithError(err).Warn("removing rows of instances failed, trying again")
		}
	}()
}
