package gateway

import (
	"context"
	"time"

	"cuminlift/core/authority"
	"cuminlift/core/dispatch"
	"cuminlift/core/keyspace"
)

// localPool returns the local pool of a service, with the current services, upstreams and share of the limits.
func (t *ticketClient) localPool(now time.Duration, service string) *syncedPool {
	// An instance that knows of no others assumes one other.
	share := dispatch.Share{
		Index: t.index,
		Count: max(2, t.instanceCount),
	}
	v := t.view()
	keyed := v.table != nil && v.table.Services[service].Keyed
	pool := t.localPools[service]
	created := pool == nil
	if created {
		config := poolConfig(t.config.Settings, share)
		config.Suspects = t.suspects
		config.Quota = t.shares
		config.Promised = quotaLimits(t.view)
		if keyed {
			config.Owners = t.keyOwners(service)
		}
		pool = &syncedPool{
			Pool: dispatch.NewPool(config),
		}
		t.localPools[service] = pool
	}
	pool.SetShare(share)
	if window := t.config.Settings.RetryWindow; window > 0 {
		pool.SetRetryCoverage(float64(t.retriesKnown(now)) / float64(window))
	}
	pool.SetOwnerWait(t.ownerWait(now))
	if v.table != nil {
		pool.SetService(v.table.Services[service])
	}
	pool.sync(now, v, service)
	if created {
		t.applyNotices(now, pool, service)
		t.applyCosts(pool, service)
	}
	return pool
}

// coordinatorGap is how long there is usually no coordinator after the loss of one: until another may take over, its write of
// the lease and its first grants.
const coordinatorGap = authority.TakeoverDelay + 500*time.Millisecond

// ownerWait returns how long a request waits for its key to get an owner while there is no coordinator. Beyond coordinatorGap,
// there is none to expect, for example because the store is down.
func (t *ticketClient) ownerWait(now time.Duration) time.Duration {
	if now-t.coordinatorLostAt > coordinatorGap {
		return 0
	}
	return dispatch.DefaultOwnerWait
}

func (t *ticketClient) decide(now time.Duration, pool *syncedPool) {
	for _, decision := range pool.Decide(now) {
		w := t.waiters[decision.Ticket.ID]
		if w == nil {
			pool.Cancel(now, decision.Ticket.ID)
			continue
		}
		delete(t.waiters, decision.Ticket.ID)
		if decision.Upstream != "" {
			t.noteGranted(now, w.request)
		}
		if decision.Reason == dispatch.OverQuota {
			t.logRefusals(now)
		}
		t.grant(now, w, ticketResult{
			id:          decision.Ticket.ID,
			upstream:    decision.Upstream,
			address:     decision.Address,
			incarnation: decision.Incarnation,
			reason:      string(decision.Reason),
			retryAfter:  decision.RetryAfter,
			local:       true,
		})
	}
}

// localPoolInterval is the interval at which local pools with waiting requests are checked.
const localPoolInterval = 10 * time.Millisecond

// run serves the local pools until ctx ends.
func (t *ticketClient) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.wake:
		}
		for t.decideWaiting() && ctx.Err() == nil {
			sleep(ctx, localPoolInterval)
		}
	}
}

// decideWaiting decides on requests that wait in local pools. It reports whether any still wait.
func (t *ticketClient) decideWaiting() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := t.clock.Now()
	waiting := false
	for service, pool := range t.localPools {
		if pool.Waiting() == 0 {
			continue
		}
		pool.sync(now, t.view(), service)
		t.decide(now, pool)
		waiting = waiting || pool.Waiting() > 0
	}
	return waiting
}

// pathsLost makes the local pool of a service not take upstreams for ended because this instance can't reach them.
func (t *ticketClient) pathsLost(service string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if pool := t.localPools[service]; pool != nil {
		pool.PathsLost()
		t.decide(t.clock.Now(), pool)
	}
}

// denyOwner records that an upstream has said that it doesn't hold a key, given as in call. Tickets of a local pool come from
// holders reported earlier; those of the coordinator from what it grants itself.
func (t *ticketClient) denyOwner(result ticketResult, service string, key uint32) {
	if !result.local || key == 0 {
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.keyOwners(service).Deny(t.clock.Now(), key-1, result.upstream)
}

// keyOwners returns the holders of a keyed service's keys, none before the coordinator reports them.
func (t *ticketClient) keyOwners(service string) *keyspace.LocalOwners {
	known := t.owners[service]
	if known == nil {
		known = &keyspace.LocalOwners{}
		t.owners[service] = known
	}
	return known
}
