package gateway_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"cuminlift/io/frames"
	"cuminlift/schema"
)

// peer is an instance that the test plays, and to which the coordinator connects.
type peer struct {
	k        *cluster
	listener net.Listener
	conn     *frames.Connection
	replies  chan *schema.TicketReply
}

func (k *cluster) peer() *peer {
	listener, err := net.Listen("tcp4", freeAddress(k.c))
	k.c.Assert(err, qt.IsNil)
	k.c.Cleanup(func() { listener.Close() })
	value, err := proto.Marshal(&schema.InstanceRow{
		Name:    "peer",
		Address: listener.Addr().String(),
		Zone:    "z1",
	})
	k.c.Assert(err, qt.IsNil)
	k.put("gateway-instances", "peer", string(value))
	return &peer{
		k:        k,
		listener: listener,
	}
}

// connect waits for the next connection of the coordinator and tells the tickets that an incarnation has open.
func (p *peer) connect(open *schema.OpenTickets) {
	conn, err := p.listener.Accept()
	p.k.c.Assert(err, qt.IsNil)
	f := frames.NewConnection(conn)
	p.k.c.Cleanup(f.Close)
	p.conn, p.replies = f, make(chan *schema.TicketReply, 100)
	replies := p.replies
	f.Send(&schema.Frame{
		Body: &schema.Frame_OpenTickets{
			OpenTickets: open,
		},
	})
	go func() {
		for {
			frame, err := f.Receive()
			if err != nil {
				return
			}
			switch body := frame.GetBody().(type) {
			case *schema.Frame_Beat:
				f.Send(&schema.Frame{
					Body: &schema.Frame_BeatReply{
						BeatReply: &schema.BeatReply{
							Sequence: body.Beat.GetSequence(),
						},
					},
				})
			case *schema.Frame_Reply:
				replies <- body.Reply
			}
		}
	}()
}

// request asks for a ticket and returns how long it took to get it.
func (p *peer) request(id uint64, remaining time.Duration) time.Duration {
	began := time.Now()
	p.conn.Send(&schema.Frame{
		Body: &schema.Frame_Request{
			Request: &schema.TicketRequest{
				Id:          id,
				Service:     "plain",
				Idempotent:  true,
				RemainingMs: uint32(remaining.Milliseconds()),
				ObjectiveMs: uint32(remaining.Milliseconds()),
			},
		},
	})
	reply := <-p.replies
	p.k.c.Check(reply.GetId(), qt.Equals, id)
	p.k.c.Check(reply.GetUpstream(), qt.Equals, "p0", qt.Commentf("%s", reply.GetReason()))
	return time.Since(began)
}

// openTickets is what an incarnation tells that has nothing open but the tickets given.
func openTickets(incarnation string, ids ...uint64) *schema.OpenTickets {
	open := &schema.OpenTickets{
		Incarnation:    incarnation,
		RetriesKnownMs: 1,
		Last:           true,
	}
	for _, id := range ids {
		open.Tickets = append(open.Tickets, &schema.OpenTicket{
			Id:          id,
			Service:     "plain",
			Upstream:    "p0",
			Born:        1,
			RemainingMs: 60_000,
		})
	}
	return open
}

// connectedPeer is a peer of a cluster with a single upstream, which has two slots, and has no tickets yet.
func connectedPeer(c *qt.C) *peer {
	k := newCluster(c, 1)
	k.configure(1, "plain")
	k.upstream("p0", "plain", "z1")
	k.waitPlain("n0")
	p := k.peer()
	p.connect(openTickets("first"))
	return p
}

// The slots of requests that end while their instance is not connected are not used until their deadlines have passed.
func TestSlotsOfRequestsThatEndedWithoutAConnectionAreHeld(t *testing.T) {
	c := qt.New(t)
	p := connectedPeer(c)
	const remaining = 20 * time.Second
	p.request(1, remaining)
	p.request(2, remaining)
	p.conn.Close()
	p.connect(openTickets("first", 2))
	c.Check(p.request(3, remaining) < 2*time.Second, qt.IsTrue, qt.Commentf("the slot of ticket 1 is held"))
	status := make(chan int, 1)
	go func() {
		code, _, _ := p.k.send("n0", http.MethodGet, "/read/x", 0, "")
		status <- code
	}()
	select {
	case code := <-status:
		c.Check(code, qt.Not(qt.Equals), http.StatusOK, qt.Commentf("a slot that is in use was granted"))
	case <-time.After(300 * time.Millisecond):
	}
}

// Requests of an instance that was killed may still be at upstreams. Its next start, which may use the same IDs, neither ends them nor keeps
// their slots for good.
func TestSlotsOfAnEarlierStartAreUsedOrLost(t *testing.T) {
	c := qt.New(t)
	p := connectedPeer(c)
	const remaining = 2 * time.Second
	killed := time.Now()
	p.request(1, remaining)
	p.request(2, remaining)
	p.conn.Close()
	p.connect(openTickets("second"))
	p.request(1, 20*time.Second)
	c.Check(time.Since(killed) > remaining, qt.IsTrue, qt.Commentf("granted after %v, before the deadline of the earlier start", time.Since(killed)))
	c.Check(p.request(2, 20*time.Second) < 2*time.Second, qt.IsTrue)
}
