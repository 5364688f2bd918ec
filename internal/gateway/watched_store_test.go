package gateway_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminlift"
	"cuminlift/internal/standin/rowstore"
)

// drilledStore controls the reads of the operators' table around a drill, in which the store comes back from an older copy.
type drilledStore struct {
	*rowstore.Store
	// reads receives each read of the operators' table that begins: "whole" or "changes".
	reads chan string
	// late holds back the answer to the first whole read until it is closed.
	late chan struct{}
	// silent makes polls unanswered. givenUp then receives the error of each one's context.
	silent  bool
	givenUp chan error
	// copyRead is true once the upstreams have been read from the copy. newEra is closed when a read of their changes follows: whoever
	// begins it knows of the era.
	copyRead atomic.Bool
	newEra   chan struct{}
	once     sync.Once
}

func newDrilledStore(store *rowstore.Store) *drilledStore {
	return &drilledStore{
		Store:   store,
		reads:   make(chan string, 1000),
		givenUp: make(chan error, 1000),
		newEra:  make(chan struct{}),
	}
}

// Rows implements cuminlift.RowStore.
func (s *drilledStore) Rows(ctx context.Context, table, part string) (cuminlift.RowPage, error) {
	page, err := s.Store.Rows(ctx, table, part)
	if table != "op" {
		if table == "servers" && page.Era > 0 {
			s.copyRead.Store(true)
		}
		return page, err
	}
	s.reads <- "whole"
	if s.late != nil && page.Era == 0 {
		<-s.late
	}
	return page, err
}

// Changes implements cuminlift.RowStore.
func (s *drilledStore) Changes(ctx context.Context, table string, after uint64, wait time.Duration) (cuminlift.RowPage, error) {
	switch {
	case table == "op":
		s.reads <- "changes"
		if s.silent {
			<-ctx.Done()
			s.givenUp <- ctx.Err()
			return cuminlift.RowPage{}, ctx.Err()
		}
	case table == "servers" && s.copyRead.Load():
		s.once.Do(func() { close(s.newEra) })
	}
	return s.Store.Changes(ctx, table, after, wait)
}

// drill starts an instance, and brings the store back from an older copy once the instance has begun the given read of the operators'
// table. It returns when the instance knows of the new era.
func (s *drilledStore) drill(k *cluster, read string) {
	copied := k.store.Copy()
	k.upstream("p0", "plain", "z1")
	k.rows = s
	k.start("n0")
	for begun := ""; begun != read; begun = <-s.reads {
	}
	k.store.Restore(copied)
	// The history of the copy is gone, so that the upstreams are read as a whole and then for changes.
	k.register("p0", "plain", "z1", "ready")
	<-s.newEra
}

// TestPollContinuesFromAVersionOfAnEarlierEra guards against a whole table of before a drill that is answered after the instance knows of
// it: changes read from its version on leave out those of the copy.
func TestPollContinuesFromAVersionOfAnEarlierEra(t *testing.T) {
	c := qt.New(t)
	k := newCluster(c, 0)
	store := newDrilledStore(k.store)
	store.late = make(chan struct{})
	store.drill(k, "whole")
	close(store.late)
	c.Assert(<-store.reads, qt.Equals, "whole")
}

// TestPollOfAnEarlierEraIsWaitedFor guards against an instance that knows of a drill and waits for a poll that began before it.
func TestPollOfAnEarlierEraIsWaitedFor(t *testing.T) {
	c := qt.New(t)
	k := newCluster(c, 0)
	store := newDrilledStore(k.store)
	store.silent = true
	store.drill(k, "changes")
	// Polls before the drill may have been given up at their time limit.
	for last := error(nil); ; last = <-store.givenUp {
		if last == context.Canceled {
			return
		}
	}
}
