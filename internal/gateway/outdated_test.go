package gateway_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"cuminlift"
	"cuminlift/internal/standin/rowstore"
	"cuminlift/io/frames"
	"cuminlift/schema"
)

// readRefusingStore refuses reads of changes while refused, and counts them. Writes, such as those of the lease, go on.
type readRefusingStore struct {
	*rowstore.Store
	refused atomic.Bool
	reads   atomic.Int64
}

func (s *readRefusingStore) Changes(ctx context.Context, table string, after uint64, wait time.Duration) (cuminlift.RowPage, error) {
	if table != "op" {
		return s.Store.Changes(ctx, table, after, wait)
	}
	s.reads.Add(1)
	if s.refused.Load() {
		return cuminlift.RowPage{}, rowstore.ErrUnavailable
	}
	// The answer to a read that is under way is lost when the store refuses the instance.
	page, err := s.Store.Changes(ctx, table, after, min(wait, 100*time.Millisecond))
	if s.refused.Load() {
		return cuminlift.RowPage{}, rowstore.ErrUnavailable
	}
	return page, err
}

// TestRefusedCoordinatorGetsRowsFromAFollower guards against a coordinator that knows of no change until the store serves it again, with
// instances that follow its tables, and against reads of the store by all instances meanwhile.
func TestRefusedCoordinatorGetsRowsFromAFollower(t *testing.T) {
	c := qt.New(t)
	k := newCluster(c, 0)
	k.configure(1, "plain")
	k.upstream("p0", "plain", "z1")
	stores := map[string]*readRefusingStore{}
	for i := range 6 {
		name := fmt.Sprint("n", i)
		stores[name] = &readRefusingStore{
			Store: k.store,
		}
		k.rows = stores[name]
		k.start(name)
	}
	for name := range k.instances {
		k.waitServing(name)
	}
	eventually(func() bool { return len(k.instanceRows()) == 6 && k.leaseTerm() > 0 })
	coordinator := k.coordinator()
	stores[coordinator].refused.Store(true)
	readers := func() int {
		before := map[string]int64{}
		for name, store := range stores {
			before[name] = store.reads.Load()
		}
		time.Sleep(time.Second)
		count := 0
		for name, store := range stores {
			if name != coordinator && store.reads.Load() > before[name] {
				count++
			}
		}
		return count
	}
	eventually(func() bool {
		n := readers()
		return n > 0 && n <= 3
	})
	served := func(name string) bool {
		status, _, _ := k.send(name, http.MethodGet, "/read/x", 0, "")
		return status == http.StatusOK
	}
	for i, service := range []string{"keyed", "plain", "keyed"} {
		k.configure(2+i, service)
		for name := range k.instances {
			eventually(func() bool { return served(name) == (service == "plain") })
		}
	}
	c.Check(k.coordinator(), qt.Equals, coordinator, qt.Commentf("the refused coordinator was replaced, so that this shows nothing"))
	c.Check(readers() <= 3, qt.IsTrue)
	stores[coordinator].refused.Store(false)
	k.configure(5, "plain")
	for name := range k.instances {
		eventually(func() bool { return served(name) })
	}
	eventually(func() bool { return readers() == 0 })
}

// TestTableRequestIsAnsweredWithNewerRows guards against a follower that keeps from the coordinator what it knows.
func TestTableRequestIsAnsweredWithNewerRows(t *testing.T) {
	c := qt.New(t)
	k := newCluster(c, 1)
	k.configure(1, "plain")
	u := k.upstream("p0", "plain", "z1")
	k.waitServing("n0")
	coordinator := k.attachCoordinator("n0", &schema.TicketReply{
		Upstream: "p0",
		Address:  u.Address(),
		Born:     1,
	})
	before := coordinator.version("op")
	k.put("op", "evacuate/z1", "{}")
	eventually(func() bool { return coordinator.version("op") > before })
	ask := func(era, since uint64) *schema.TableRows {
		coordinator.mutex.Lock()
		coordinator.rows = nil
		coordinator.mutex.Unlock()
		coordinator.conn.Send(&schema.Frame{
			Body: &schema.Frame_TableRequest{
				TableRequest: &schema.TableRequest{
					Table: "op",
					Era:   era,
					Since: since,
				},
			},
		})
		var rows *schema.TableRows
		eventually(func() bool {
			coordinator.mutex.Lock()
			defer coordinator.mutex.Unlock()
			if len(coordinator.rows) > 0 {
				rows = coordinator.rows[0]
			}
			return rows != nil
		})
		return rows
	}
	rows := ask(0, before)
	c.Check(rows.GetWhole(), qt.IsFalse)
	c.Assert(rows.GetRows(), qt.HasLen, 1)
	c.Check(rows.GetRows()[0].GetKey(), qt.Equals, "evacuate/z1")
	c.Check(rows.GetVersion() > before, qt.IsTrue)
	whole := ask(0, 0)
	c.Check(whole.GetWhole(), qt.IsTrue)
	c.Check(whole.GetRows(), qt.HasLen, 2)
	// Versions of another era can't be compared.
	c.Check(ask(1, 1<<40).GetWhole(), qt.IsTrue)
}

// TestZoneEvacuatedWhileTheStoreRefusesTheCoordinator guards against requests to a zone that is evacuated while the store refuses the
// coordinator, or does not answer it, by instances that know of the evacuation (EVAC).
func TestZoneEvacuatedWhileTheStoreRefusesTheCoordinator(t *testing.T) {
	for _, silent := range []bool{false, true} {
		t.Run(fmt.Sprint("silent ", silent), func(t *testing.T) {
			c := qt.New(t)
			k := newCluster(c, 0)
			k.configure(1, "plain")
			evacuated := k.upstream("p0", "plain", "z1")
			k.upstream("p1", "plain", "z2")
			first := &switchedStore{
				Store: k.store,
			}
			k.rows = first
			k.start("n0")
			eventually(func() bool { return k.leaseTerm() == 1 })
			k.rows = k.store
			for _, name := range []string{"n1", "n2", "n3"} {
				k.start(name)
			}
			for name := range k.instances {
				k.waitServing(name)
			}
			eventually(func() bool { return len(k.instanceRows()) == 4 })
			first.silent.Store(silent)
			first.refused.Store(true)
			k.put("op", "evacuate/z1", "{}")
			put := time.Now()
			knows := map[string]time.Duration{}
			for len(knows) < len(k.instances) {
				for name := range k.instances {
					// An instance that knows of the evacuation passes nothing on to the zone.
					if _, outcome, _, err := k.relay(name, "p0", "1", "2000"); err == nil && outcome == "abandoned" && knows[name] == 0 {
						knows[name] = time.Since(put)
					}
				}
			}
			t.Logf("instances know of the evacuation after %v, term %d", knows, k.leaseTerm())
			arrived := len(evacuated.Arrivals())
			for range 50 {
				for name := range k.instances {
					k.send(name, http.MethodGet, "/read/x", 0, "")
				}
			}
			c.Check(evacuated.Arrivals(), qt.HasLen, arrived)
			eventually(func() bool { return k.leaseTerm() > 1 })
			t.Logf("term %d after %v", k.leaseTerm(), time.Since(put))
		})
	}
}

// switchedStore refuses all calls while refused, or doesn't answer them if it is silent.
type switchedStore struct {
	*rowstore.Store
	refused, silent atomic.Bool
}

func (s *switchedStore) check(ctx context.Context) error {
	if !s.refused.Load() {
		return nil
	}
	if !s.silent.Load() {
		return rowstore.ErrUnavailable
	}
	<-ctx.Done()
	return ctx.Err()
}

func (s *switchedStore) Rows(ctx context.Context, table, part string) (cuminlift.RowPage, error) {
	if err := s.check(ctx); err != nil {
		return cuminlift.RowPage{}, err
	}
	return s.Store.Rows(ctx, table, part)
}

func (s *switchedStore) Changes(ctx context.Context, table string, after uint64, wait time.Duration) (cuminlift.RowPage, error) {
	if err := s.check(ctx); err != nil {
		return cuminlift.RowPage{}, err
	}
	page, err := s.Store.Changes(ctx, table, after, wait)
	if refusal := s.check(ctx); refusal != nil {
		return cuminlift.RowPage{}, refusal // The answer is lost.
	}
	return page, err
}

func (s *switchedStore) Commit(ctx context.Context, transaction cuminlift.RowTransaction) (uint64, error) {
	if err := s.check(ctx); err != nil {
		return 0, err
	}
	return s.Store.Commit(ctx, transaction)
}

// TestInstancesReadTheStoreBesideAnEarlierBuild guards against instances without changes of the tables: the coordinator relies on rows of
// a follower whose build doesn't hand them up.
func TestInstancesReadTheStoreBesideAnEarlierBuild(t *testing.T) {
	c := qt.New(t)
	k := newCluster(c, 0)
	k.configure(1, "plain")
	k.upstream("p0", "plain", "z1")
	first := &switchedStore{
		Store: k.store,
	}
	k.rows = first
	k.start("n0")
	k.waitServing("n0")
	eventually(func() bool { return k.leaseTerm() == 1 })
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { listener.Close() })
	row, err := proto.Marshal(&schema.InstanceRow{
		Name:    "earlier",
		Address: listener.Addr().String(),
	})
	c.Assert(err, qt.IsNil)
	k.put("gateway-instances", "earlier", string(row))
	told := make(chan *schema.Beat, 1)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			f := frames.NewConnection(conn)
			for frame, err := f.Receive(); err == nil; frame, err = f.Receive() {
				beat := frame.GetBeat()
				if beat == nil {
					continue
				}
				if beat.GetStoreFails() {
					select {
					case told <- beat:
					default:
					}
				}
				f.Send(&schema.Frame{
					Body: &schema.Frame_BeatReply{
						BeatReply: &schema.BeatReply{
							Sequence: beat.GetSequence(),
						},
					},
				})
			}
		}
	}()
	k.rows = k.store
	for i := range 4 {
		k.start(fmt.Sprint("n", i+1))
	}
	eventually(func() bool { return len(k.instanceRows()) == 6 })
	first.refused.Store(true)
	beat := <-told
	c.Check(beat.GetStoreReaders(), qt.Equals, uint32(0))
	k.put("op", "evacuate/z1", "{}")
	for name := range k.instances {
		eventually(func() bool {
			_, outcome, _, err := k.relay(name, "p0", "1", "2000")
			return err == nil && outcome == "abandoned"
		})
	}
}
