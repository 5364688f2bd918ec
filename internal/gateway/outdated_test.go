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
	k := newCluster(c, 0)
	k.configure(1, "plain")
	k.start("n0") // Its first read must find rows: one that has read the empty store knows all changes, and never sends the whole table.
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

// TestUpstreamLeavesWhileTheStoreRefusesTheCoordinator guards against requests to an upstream that leaves while the store refuses the
// coordinator alone, by the instances that know it and by the coordinator's own one (DRAIN).
func TestUpstreamLeavesWhileTheStoreRefusesTheCoordinator(t *testing.T) {
	c := qt.New(t)
	c.Check(retryIfStalled(func() string { return playUpstreamThatLeaves(c) }), qt.Equals, "")
}

// playUpstreamThatLeaves returns what is wrong, empty for nothing.
func playUpstreamThatLeaves(c *qt.C) string {
	k := newCluster(c, 0)
	k.configure(1, "plain")
	leaving := k.upstream("p0", "plain", "z1")
	k.upstream("p1", "plain", "z1")
	store := &switchedStore{
		Store: k.store,
	}
	k.rows = store
	k.start("n0")
	eventually(func() bool { return k.leaseTerm() == 1 })
	k.rows = k.store
	for _, name := range []string{"n1", "n2"} {
		k.start(name)
	}
	for name := range k.instances {
		k.waitServing(name)
	}
	eventually(func() bool { return len(k.instanceRows()) == 3 && k.servedBy("n0", 0) == "p0" })
	store.refused.Store(true)
	k.register("p0", "plain", "z1", "draining")
	left := time.Now()
	for time.Since(left) < 4*time.Second {
		for name := range k.instances {
			k.send(name, http.MethodGet, "/read/x", 0, "")
		}
	}
	// The limit in small deployments.
	if late := lastArrival(leaving.Arrivals()).Sub(left); late > 2*time.Second {
		return fmt.Sprintf("the last request arrives %v after the upstream leaves", late)
	}
	return ""
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
	told := make(chan *schema.Beat, 1)
	k.testFollower("earlier", func(f *frames.Connection, frame *schema.Frame) {
		beat := frame.GetBeat()
		if beat == nil {
			return
		}
		if beat.GetStoreFails() {
			select {
			case told <- beat:
			default:
			}
		}
		acknowledge(f, beat, &schema.BeatReply{})
	})
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

// testFollower registers an instance whose messages the test handles.
func (k *cluster) testFollower(name string, handle func(f *frames.Connection, frame *schema.Frame)) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	k.c.Assert(err, qt.IsNil)
	k.c.Cleanup(func() { listener.Close() })
	row, err := proto.Marshal(&schema.InstanceRow{
		Name:    name,
		Address: listener.Addr().String(),
	})
	k.c.Assert(err, qt.IsNil)
	k.put("gateway-instances", name, string(row))
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				f := frames.NewConnection(conn)
				for frame, err := f.Receive(); err == nil; frame, err = f.Receive() {
					handle(f, frame)
				}
			}()
		}
	}()
}

func acknowledge(f *frames.Connection, beat *schema.Beat, reply *schema.BeatReply) {
	reply.Sequence = beat.GetSequence()
	f.Send(&schema.Frame{
		Body: &schema.Frame_BeatReply{
			BeatReply: reply,
		},
	})
}

func evacuation(zone string, era, since, version uint64) *schema.Frame {
	return &schema.Frame{
		Body: &schema.Frame_Rows{
			Rows: &schema.TableRows{
				Table:   "op",
				Era:     era,
				Since:   since,
				Version: version,
				Rows: []*schema.TableRow{{
					Key:     "evacuate/" + zone,
					Value:   []byte("{}"),
					Version: version,
				}},
			},
		},
	}
}

// TestNewerRowsOfOneInstanceAreUsed guards against a refused coordinator that stays behind because the first instance that it asks says
// nothing, that uses rows of an older era, or that keeps what it has got to itself.
func TestNewerRowsOfOneInstanceAreUsed(t *testing.T) {
	c := qt.New(t)
	k := newCluster(c, 0)
	k.configure(1, "plain")
	k.upstream("p0", "plain", "z1")
	k.upstream("p1", "plain", "z2")
	first := &switchedStore{
		Store: k.store,
	}
	k.rows = first
	k.start("n0")
	k.waitServing("n0")
	eventually(func() bool { return k.leaseTerm() == 1 })
	k.store.Restore(k.store.Copy())
	k.put("op", "evacuate/z3", "{}")
	k.start("n1")
	k.waitServing("n1")
	page, err := k.store.Rows(context.Background(), "op", "")
	c.Assert(err, qt.IsNil)
	c.Assert(page.Era > 0, qt.IsTrue)
	const newer = 1 << 40
	ahead := &schema.TableVersion{
		Table:   "op",
		Era:     page.Era,
		Version: newer,
	}
	var silent atomic.Int64
	k.testFollower("a-silent", func(f *frames.Connection, frame *schema.Frame) {
		if beat := frame.GetBeat(); beat != nil && first.refused.Load() {
			acknowledge(f, beat, &schema.BeatReply{
				Tables:               []*schema.TableVersion{ahead},
				AnswersTableRequests: true,
				Era:                  page.Era,
			})
		} else if beat != nil {
			acknowledge(f, beat, &schema.BeatReply{
				AnswersTableRequests: true,
			})
		}
		if frame.GetTableRequest() != nil {
			silent.Add(1)
		}
	})
	k.testFollower("b-newer", func(f *frames.Connection, frame *schema.Frame) {
		if beat := frame.GetBeat(); beat != nil {
			reply := &schema.BeatReply{
				AnswersTableRequests: true,
			}
			// Otherwise the coordinator may hear of newer rows here first.
			if first.refused.Load() && silent.Load() > 0 {
				reply.Tables = []*schema.TableVersion{ahead}
			}
			acknowledge(f, beat, reply)
		}
		if request := frame.GetTableRequest(); request != nil {
			f.Send(evacuation("z2", page.Era-1, request.GetSince(), newer+1))
			f.Send(evacuation("z1", page.Era, request.GetSince(), newer))
		}
	})
	eventually(func() bool { return len(k.instanceRows()) == 4 })
	time.Sleep(time.Second) // The instances are connected; if not, the rows come later.
	first.refused.Store(true)
	for name := range k.instances {
		eventually(func() bool {
			_, outcome, _, err := k.relay(name, "p0", "1", "2000")
			return err == nil && outcome == "abandoned"
		})
		status, _, _, err := k.relay(name, "p1", "1", "2000")
		c.Check(err, qt.IsNil)
		c.Check(status, qt.Equals, http.StatusOK, qt.Commentf("rows of an older era are used at %s", name))
	}
	c.Check(silent.Load() > 0, qt.IsTrue)
}
