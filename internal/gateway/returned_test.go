package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminlift/io/frames"
	"cuminlift/schema"
)

// testCoordinator is a coordinator that grants tickets for one upstream, whatever its tables say.
type testCoordinator struct {
	conn *frames.Connection
	// grant is the ticket for every request.
	grant *schema.TicketReply

	mutex sync.Mutex
	// tables are those of its heartbeats.
	tables []*schema.TableVersion
	// replies are the instance's last versions, by table, and ends the outcomes of tickets.
	replies map[string]uint64
	ends    []schema.TicketOutcome
	// requests are the ticket requests.
	requests []*schema.TicketRequest
	rows     []*schema.TableRows
}

// attachCoordinator makes the test the coordinator of an instance.
func (k *cluster) attachCoordinator(instance string, grant *schema.TicketReply) *testCoordinator {
	conn, err := net.Dial("tcp4", k.instances[instance].settings.PeerAddress)
	k.c.Assert(err, qt.IsNil)
	t := &testCoordinator{
		conn:    frames.NewConnection(conn),
		grant:   grant,
		replies: map[string]uint64{},
	}
	k.c.Cleanup(t.conn.Close)
	go t.beat()
	go t.receive()
	eventually(func() bool { return t.version("op") > 0 })
	return t
}

func (t *testCoordinator) beat() {
	for sequence := uint64(1); ; sequence++ {
		t.mutex.Lock()
		beat := &schema.Beat{
			Name:      "test",
			Term:      1 << 40,
			Sequence:  sequence,
			Instances: 1,
			Tables:    t.tables,
		}
		t.mutex.Unlock()
		t.conn.Send(&schema.Frame{
			Body: &schema.Frame_Beat{
				Beat: beat,
			},
		})
		time.Sleep(50 * time.Millisecond)
	}
}

func (t *testCoordinator) receive() {
	for {
		frame, err := t.conn.Receive()
		if err != nil {
			return
		}
		t.mutex.Lock()
		for _, table := range frame.GetBeatReply().GetTables() {
			t.replies[table.GetTable()] = table.GetVersion()
		}
		if end := frame.GetEnd(); end != nil {
			t.ends = append(t.ends, end.GetOutcome())
		}
		if rows := frame.GetRows(); rows != nil {
			t.rows = append(t.rows, rows)
		}
		if request := frame.GetRequest(); request != nil {
			t.requests = append(t.requests, request)
			t.conn.Send(&schema.Frame{
				Body: &schema.Frame_Reply{
					Reply: &schema.TicketReply{
						Id:       request.GetId(),
						Upstream: t.grant.GetUpstream(),
						Address:  t.grant.GetAddress(),
						Born:     t.grant.GetBorn(),
					},
				},
			})
		}
		t.mutex.Unlock()
	}
}

func (t *testCoordinator) version(table string) uint64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.replies[table]
}

// setTables sets the versions that heartbeats carry, and waits until the instance has got one.
func (t *testCoordinator) setTables(version uint64) {
	t.mutex.Lock()
	t.tables = nil
	for _, table := range []string{"op", "servers"} {
		t.tables = append(t.tables, &schema.TableVersion{
			Table:   table,
			Version: version,
		})
	}
	t.mutex.Unlock()
	time.Sleep(200 * time.Millisecond)
}

func (t *testCoordinator) takeRequests() []*schema.TicketRequest {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	taken := t.requests
	t.requests, t.ends = nil, nil
	return taken
}

// TestTicketsExcludedByTheSendersTablesAreReturned guards against requests to an evacuated zone, or to an upstream that leaves, has left
// or is another one by now, with tickets of a coordinator that doesn't know it yet (EVAC, DRAIN).
func TestTicketsExcludedByTheSendersTablesAreReturned(t *testing.T) {
	for name, exclude := range map[string]func(k *cluster){
		"zone-evacuated": func(k *cluster) { k.put("op", "evacuate/z1", "{}") },
		"draining":       func(k *cluster) { k.register("p0", "plain", "z1", "draining") },
		"removed":        func(k *cluster) { k.remove("servers", "p0") },
		"restarted": func(k *cluster) {
			k.put("servers", "p0", fmt.Sprintf(`{"service":"plain","addr":%q,"zone":"z1","slots":2,"state":"ready","warmup_left":"0ms","born":2}`, k.upstreams["p0"].Address()))
		},
	} {
		t.Run(name, func(t *testing.T) {
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
			status, _, _ := k.send("n0", http.MethodGet, "/read/x", 0, "")
			c.Assert(status, qt.Equals, http.StatusOK)
			before := coordinator.version("op") + coordinator.version("servers")
			exclude(k)
			eventually(func() bool { return coordinator.version("op")+coordinator.version("servers") > before })
			// The tables are known, and the coordinator sends no versions, like one of an earlier build.
			arrived := len(u.Arrivals())
			coordinator.takeRequests()
			status, _, retryAfter := k.send("n0", http.MethodPost, "/order/x", 0, "")
			c.Check(status, qt.Equals, http.StatusServiceUnavailable)
			c.Check(retryAfter, qt.Not(qt.Equals), "")
			c.Check(u.Arrivals(), qt.HasLen, arrived)
			for i, request := range coordinator.takeRequests() {
				c.Check(request.GetAttempt(), qt.Equals, uint32(0), qt.Commentf("a returned ticket counts as an attempt"))
				c.Check(request.GetReturned(), qt.Equals, i > 0)
			}
			// A coordinator with newer tables knows better.
			coordinator.setTables(1 << 40)
			status, _, _ = k.send("n0", http.MethodGet, "/read/x", 0, "")
			c.Check(status, qt.Equals, http.StatusOK)
			coordinator.setTables(1)
			status, _, _ = k.send("n0", http.MethodGet, "/read/x", 0, "")
			c.Check(status, qt.Equals, http.StatusServiceUnavailable)
		})
	}
}

// TestUpstreamUnknownToTheSenderIsUsed guards against refusing an upstream that has registered just now, also under the ID of one that
// has left.
func TestUpstreamUnknownToTheSenderIsUsed(t *testing.T) {
	c := qt.New(t)
	k := newCluster(c, 1)
	k.configure(1, "plain")
	u := k.upstream("p0", "plain", "z1")
	k.waitServing("n0")
	for i, grant := range []*schema.TicketReply{{
		Upstream: "p0",
		Born:     2,
	}, {
		Upstream: "p1",
		Born:     1,
	}} {
		grant.Address = u.Address()
		coordinator := k.attachCoordinator("n0", grant)
		arrived := len(u.Arrivals())
		k.send("n0", http.MethodGet, "/read/x", 0, "")
		c.Check(len(u.Arrivals()) > arrived, qt.IsTrue, qt.Commentf("grant %d", i))
		coordinator.conn.Close()
	}
}

// TestRequestThatWaitedForAConnectionIsNotSent guards against a request that is sent to an evacuated zone because its ticket was checked
// before the connection was open.
func TestRequestThatWaitedForAConnectionIsNotSent(t *testing.T) {
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
	arrived := len(u.Arrivals())
	dialing, release := k.paths["n0"].holdDials()
	status := make(chan int, 1)
	go func() {
		code, _, _ := k.sendWithID("n0", http.MethodPost, "/order/x", 0, "", "waits")
		status <- code
	}()
	<-dialing
	before := coordinator.version("op")
	k.put("op", "evacuate/z1", "{}")
	eventually(func() bool { return coordinator.version("op") > before })
	release()
	c.Check(<-status, qt.Equals, http.StatusServiceUnavailable)
	c.Check(u.Arrivals(), qt.HasLen, arrived)
	c.Check(u.RunCounts()["waits"], qt.Equals, 0)
}
