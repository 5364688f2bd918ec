package gateway_test

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminlift"
	"cuminlift/internal/standin/rowstore"
)

// silentStore never answers calls that begin while it is silent.
type silentStore struct {
	*rowstore.Store
	silent atomic.Bool
	// begun counts unanswered reads of the operators' table, timedOut those that lasted until their timeout, and replaced those
	// that were given up earlier.
	begun, timedOut, replaced atomic.Int64
}

func (s *silentStore) Rows(ctx context.Context, table, part string) (cuminlift.RowPage, error) {
	if s.silent.Load() {
		<-ctx.Done()
		return cuminlift.RowPage{}, ctx.Err()
	}
	return s.Store.Rows(ctx, table, part)
}

func (s *silentStore) Changes(ctx context.Context, table string, after uint64, wait time.Duration) (cuminlift.RowPage, error) {
	if !s.silent.Load() {
		return s.Store.Changes(ctx, table, after, wait)
	}
	if table != "op" {
		<-ctx.Done()
		return cuminlift.RowPage{}, ctx.Err()
	}
	s.begun.Add(1)
	<-ctx.Done()
	if errors.Is(ctx.Err(), context.Canceled) {
		s.replaced.Add(1)
	} else {
		s.timedOut.Add(1)
	}
	return cuminlift.RowPage{}, ctx.Err()
}

func (s *silentStore) Commit(ctx context.Context, transaction cuminlift.RowTransaction) (uint64, error) {
	if s.silent.Load() {
		<-ctx.Done()
		return 0, ctx.Err()
	}
	return s.Store.Commit(ctx, transaction)
}

// TestConfigurationIsLateAfterTakeoverInAnOutage guards against an instance that takes over after an outage of the store and
// keeps waiting for an answer from before its end, while no instance gets a new configuration.
func TestConfigurationIsLateAfterTakeoverInAnOutage(t *testing.T) {
	c := qt.New(t)
	k := newCluster(c, 0)
	first := &silentStore{
		Store: k.store,
	}
	second := &silentStore{
		Store: k.store,
	}
	k.configure(1, "plain")
	k.upstream("p0", "plain", "z1")
	k.rows = first
	k.start("n0")
	eventually(func() bool { return k.leaseTerm() == 1 })
	k.rows = second
	k.start("n1")
	served := func(name string) bool {
		status, _, _ := k.send(name, http.MethodGet, "/read/x", 0, "")
		return status == http.StatusOK
	}
	eventually(func() bool { return served("n1") && len(k.instanceRows()) == 2 })
	first.silent.Store(true)
	second.silent.Store(true)
	eventually(func() bool { return second.timedOut.Load() > 1 })
	// The store returns for one instance while a read of that instance is unanswered.
	timedOut, begun := second.timedOut.Load(), second.begun.Load()
	eventually(func() bool { return second.begun.Load() > begun })
	second.silent.Store(false)
	eventually(func() bool { return second.replaced.Load() > 0 || second.timedOut.Load() > timedOut })
	c.Check(second.timedOut.Load(), qt.Equals, timedOut)
	k.configure(2, "keyed")
	eventually(func() bool { return !served("n1") })
}
