package gateway_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"cuminlift/io/frames"
	"cuminlift/schema"
)

// flooder is an instance that requests many tickets at once and acknowledges heartbeats.
type flooder struct {
	c        *qt.C
	listener net.Listener
	requests int
	// answered counts the tickets that were granted or refused.
	answered atomic.Int64
}

func startFlooder(c *qt.C, requests int) *flooder {
	listener, err := net.Listen("tcp4", freeAddress(c))
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { listener.Close() })
	f := &flooder{
		c:        c,
		listener: listener,
		requests: requests,
	}
	go f.accept()
	return f
}

func (f *flooder) accept() {
	for {
		conn, err := f.listener.Accept()
		if err != nil {
			return
		}
		go f.serve(frames.NewConnection(conn))
	}
}

func (f *flooder) serve(conn *frames.Connection) {
	defer conn.Close()
	flooding := false
	for {
		frame, err := conn.Receive()
		if err != nil {
			return
		}
		switch body := frame.GetBody().(type) {
		case *schema.Frame_Beat:
			conn.Send(&schema.Frame{
				Body: &schema.Frame_BeatReply{
					BeatReply: &schema.BeatReply{
						Sequence: body.Beat.GetSequence(),
					},
				},
			})
			if !flooding {
				flooding = true
				go f.flood(conn)
			}
		case *schema.Frame_Reply:
			f.answered.Add(1)
		}
	}
}

// flood requests tickets for keys of a service without upstreams that hold them.
func (f *flooder) flood(conn *frames.Connection) {
	for id := range f.requests {
		// The send queue is bounded, so let the coordinator's answers pace the flood.
		eventually(func() bool { return int64(id)-f.answered.Load() < 900 })
		conn.Send(&schema.Frame{
			Body: &schema.Frame_Request{
				Request: &schema.TicketRequest{
					Id:          uint64(id + 1),
					Service:     "keyed",
					Key:         uint32(id + 1),
					Idempotent:  true,
					RemainingMs: 2000,
					ObjectiveMs: 500,
				},
			},
		})
	}
}

// TestCoordinatorOutlastsAFloodOfRequests replays the load of trouble-1 of the large site: when requests came faster than the
// coordinator could queue them, a change of the tables found its event queue full and ended it, and each successor within
// 0.6 s.
func TestCoordinatorOutlastsAFloodOfRequests(t *testing.T) {
	c := qt.New(t)
	k := newCluster(c, 0)
	const requests, flooders = 1000, 16
	var all []*flooder
	for i := range flooders {
		f := startFlooder(c, requests)
		all = append(all, f)
		name := fmt.Sprint("flooder-", i)
		value, err := proto.Marshal(&schema.InstanceRow{
			Name:    name,
			Address: f.listener.Addr().String(),
			Zone:    "z1",
		})
		c.Assert(err, qt.IsNil)
		k.put("gateway-instances", name, string(value))
	}
	k.configure(1, "keyed")
	k.upstream("p0", "plain", "z1")
	k.upstream("k0", "keyed", "z1")
	k.start("n0")
	answered := func() int {
		sum := 0
		for _, f := range all {
			sum += int(f.answered.Load())
		}
		return sum
	}
	for round := 0; answered() < requests*flooders && k.leaseTerm() <= 1; round++ {
		// Each change is a page that the coordinator forwards.
		k.put("op", "evacuate/z9", fmt.Sprint(round))
	}
	eventually(func() bool {
		status, _, _ := k.send("n0", http.MethodPost, "/order/x", 0, "")
		return status == http.StatusOK
	})
	c.Check(k.leaseTerm(), qt.Equals, uint64(1), qt.Commentf("the coordinator was replaced"))
}

// leaseTerm returns the term of the lease, 0 before the first.
func (k *cluster) leaseTerm() uint64 {
	page, err := k.store.Rows(context.Background(), "gateway-lease", "")
	k.c.Assert(err, qt.IsNil)
	lease := &schema.LeaseRow{}
	for _, row := range page.Rows {
		k.c.Assert(proto.Unmarshal(row.Value, lease), qt.IsNil)
	}
	return lease.GetTerm()
}

// TestMalformedMessagesCloseOnlyTheirConnection sends bytes that are no messages, and messages that make no sense, to the port on
// which an instance waits for its coordinator.
func TestMalformedMessagesCloseOnlyTheirConnection(t *testing.T) {
	c := qt.New(t)
	k := newCluster(c, 1)
	k.configure(1, "keyed")
	k.upstream("k0", "keyed", "z1")
	k.waitServing("n0")
	peer := k.instances["n0"].settings.PeerAddress
	random := rand.New(rand.NewPCG(1, 2))
	for range 50 {
		conn, err := net.Dial("tcp4", peer)
		c.Assert(err, qt.IsNil)
		garbage := make([]byte, random.IntN(2000))
		for i := range garbage {
			garbage[i] = byte(random.Uint32())
		}
		_, err = conn.Write(garbage)
		c.Assert(err, qt.IsNil)
		conn.Close()
	}
	conn, err := net.Dial("tcp4", peer)
	c.Assert(err, qt.IsNil)
	f := frames.NewConnection(conn)
	defer f.Close()
	for _, frame := range []*schema.Frame{
		{},
		{
			Body: &schema.Frame_Reply{},
		},
		{
			Body: &schema.Frame_Rows{
				Rows: &schema.TableRows{
					Table:   "op",
					Whole:   true,
					Version: 1 << 60,
				},
			},
		},
		{
			Body: &schema.Frame_Owners{
				Owners: &schema.Owners{
					Service: "keyed",
					Map: &schema.KeyMap{
						Widths: []uint32{0, 7},
						Owners: []uint32{9},
					},
				},
			},
		},
		{
			Body: &schema.Frame_Beat{},
		},
	} {
		f.Send(frame)
	}
	k.waitServing("n0")
}
