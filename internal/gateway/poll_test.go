package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminlift"
	"cuminlift/internal/standin/rowstore"
)

// countingStore counts reads of changes of the operators' table.
type countingStore struct {
	*rowstore.Store
	reads atomic.Int64
}

func (s *countingStore) Changes(ctx context.Context, table string, after uint64, wait time.Duration) (cuminlift.RowPage, error) {
	if table == "op" {
		s.reads.Add(1)
	}
	return s.Store.Changes(ctx, table, after, wait)
}

func TestOneInstanceReadsTheStoreForAll(t *testing.T) {
	c := qt.New(t)
	k := newCluster(c, 0)
	store := &countingStore{
		Store: k.store,
	}
	k.rows = store
	for _, name := range []string{"n0", "n1", "n2", "n3"} {
		k.start(name)
	}
	k.upstream("k0", "keyed", "z1")
	version := 0
	result := retryIfStalled(func() string {
		version++
		k.configure(version, "keyed")
		// Keys are served only once there is a coordinator.
		for name := range k.instances {
			k.waitServing(name)
		}
		// The coordinator may take over the reads of an instance that has read later than itself only after its next read.
		for handedOver := false; !handedOver; {
			before := store.reads.Load()
			version++
			k.configure(version, "keyed")
			time.Sleep(300 * time.Millisecond)
			handedOver = store.reads.Load()-before <= 2
		}
		before := store.reads.Load()
		for range 10 {
			version++
			k.configure(version, "keyed")
			time.Sleep(20 * time.Millisecond)
		}
		version++
		k.configure(version, "plain")
		// All instances get the configuration, and each change is read at most about twice.
		for name := range k.instances {
			eventually(func() bool {
				status, _, _ := k.send(name, http.MethodGet, "/read/x", 0, "")
				return status == http.StatusServiceUnavailable
			})
		}
		if reads := store.reads.Load() - before; reads > 2*11 {
			return fmt.Sprintf("%d reads of 11 changes by 4 instances", reads)
		}
		return ""
	})
	c.Check(result, qt.Equals, "")
}

// unresponsiveStore accepts reads of changes and never replies, like a store that goes down.
type unresponsiveStore struct {
	*rowstore.Store
	longest atomic.Int64
}

func (s *unresponsiveStore) Changes(ctx context.Context, _ string, _ uint64, wait time.Duration) (cuminlift.RowPage, error) {
	allowed := 24 * time.Hour
	if until, ok := ctx.Deadline(); ok {
		allowed = time.Until(until)
	}
	s.longest.Store(max(s.longest.Load(), int64(allowed), int64(wait)))
	<-ctx.Done()
	return cuminlift.RowPage{}, ctx.Err()
}

// TestUnansweredReadTimesOut guards against a long poll that outlasts an outage of the store. A store that was down swallowed
// the coordinator's read, and no instance got a configuration for the 27 s until the read timed out.
func TestUnansweredReadTimesOut(t *testing.T) {
	c := qt.New(t)
	k := newCluster(c, 0)
	store := &unresponsiveStore{
		Store: k.store,
	}
	k.rows = store
	k.start("n0")
	k.configure(1, "plain")
	eventually(func() bool { return store.longest.Load() > 0 })
	// The store counts as healthy 3 s after its last failure.
	c.Check(time.Duration(store.longest.Load()) < 3*time.Second, qt.IsTrue, qt.Commentf("%v", time.Duration(store.longest.Load())))
}

// denyingStore rejects reads of changes while denied.
type denyingStore struct {
	*rowstore.Store
	denied atomic.Bool
}

func (s *denyingStore) Changes(ctx context.Context, table string, after uint64, wait time.Duration) (cuminlift.RowPage, error) {
	if s.denied.Load() {
		return cuminlift.RowPage{}, rowstore.ErrUnavailable
	}
	return s.Store.Changes(ctx, table, after, wait)
}

func TestConfigurationReachesInstanceDeniedByStore(t *testing.T) {
	c := qt.New(t)
	k := newCluster(c, 1)
	k.configure(1, "plain")
	k.upstream("p0", "plain", "z1")
	served := func(name string) bool {
		status, _, _ := k.send(name, http.MethodGet, "/read/x", 0, "")
		return status == http.StatusOK
	}
	eventually(func() bool { return served("n0") })
	store := &denyingStore{
		Store: k.store,
	}
	k.rows = store
	k.start("n1")
	eventually(func() bool { return served("n1") })
	store.denied.Store(true)
	k.configure(2, "keyed")
	eventually(func() bool { return !served("n1") })
}

// outageStore fails all calls while down. Reads of changes that were under way when it went down are never answered.
type outageStore struct {
	*rowstore.Store
	down atomic.Bool
	// replaced counts reads that were given up before their timeout, and waitsAfterFailure are those reads of the operators' table
	// that asked the store to wait for a change although the read before had failed.
	replaced, waitsAfterFailure atomic.Int64
	lastFailed                  atomic.Bool
}

func (s *outageStore) Changes(ctx context.Context, table string, after uint64, wait time.Duration) (cuminlift.RowPage, error) {
	if table != "op" {
		return s.Store.Changes(ctx, table, after, wait)
	}
	if s.lastFailed.Load() && wait > 0 {
		s.waitsAfterFailure.Add(1)
	}
	if s.down.Load() {
		s.lastFailed.Store(true)
		return cuminlift.RowPage{}, rowstore.ErrUnavailable
	}
	page, err := s.Store.Changes(ctx, table, after, wait)
	s.lastFailed.Store(err != nil && ctx.Err() == nil)
	if !s.down.Load() {
		return page, err
	}
	<-ctx.Done()
	if context.Cause(ctx) == context.Canceled {
		s.replaced.Add(1)
	}
	return cuminlift.RowPage{}, ctx.Err()
}

func (s *outageStore) Commit(ctx context.Context, transaction cuminlift.RowTransaction) (uint64, error) {
	if s.down.Load() {
		return 0, rowstore.ErrUnavailable
	}
	return s.Store.Commit(ctx, transaction)
}

// TestReadFromBeforeAnOutageIsReplaced guards against a configuration that comes into force seconds late: the coordinator's read
// was under way when the store went down, was never answered, and was waited for until its timeout although the store
// had taken a write meanwhile.
func TestReadFromBeforeAnOutageIsReplaced(t *testing.T) {
	c := qt.New(t)
	k := newCluster(c, 0)
	store := &outageStore{
		Store: k.store,
	}
	k.rows = store
	k.configure(1, "plain")
	k.upstream("p0", "plain", "z1")
	k.start("n0")
	served := func() bool {
		status, _, _ := k.send("n0", http.MethodGet, "/read/x", 0, "")
		return status == http.StatusOK
	}
	eventually(func() bool { return served() && len(k.instanceRows()) == 1 && k.leaseTerm() == 1 })
	for version := 2; store.replaced.Load() == 0; version += 2 {
		store.down.Store(true)
		// A read that waits for a change is woken by one, and not answered.
		k.configure(version, "plain")
		time.Sleep(700 * time.Millisecond)
		store.down.Store(false)
		k.configure(version+1, "keyed")
		eventually(func() bool { return !served() })
		k.configure(version+2, "plain")
		eventually(served)
	}
	c.Check(store.waitsAfterFailure.Load(), qt.Equals, int64(0))
}
