package gateway_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"cuminlift/internal/standin/keyholder"
	"cuminlift/io/frames"
	"cuminlift/schema"
)

// coordinate connects to an instance as the coordinator of a term.
func (k *cluster) coordinate(instance string, term uint64) *frames.Connection {
	conn, err := net.Dial("tcp4", k.instances[instance].settings.PeerAddress)
	k.c.Assert(err, qt.IsNil)
	f := frames.NewConnection(conn)
	f.Send(&schema.Frame{
		Body: &schema.Frame_Beat{
			Beat: &schema.Beat{
				Name:      "test",
				Term:      term,
				Instances: 1,
			},
		},
	})
	return f
}

// receive returns the next message that wanted accepts.
func (k *cluster) receive(f *frames.Connection, wanted func(*schema.Frame) bool) *schema.Frame {
	for {
		frame, err := f.Receive()
		k.c.Assert(err, qt.IsNil)
		if wanted(frame) {
			return frame
		}
	}
}

// TestNewCoordinatorIsToldOfRunningRequests guards against a coordinator that grants slots in use, because it knows of no request that
// was sent before its term, and that never learns of their ends.
func TestNewCoordinatorIsToldOfRunningRequests(t *testing.T) {
	c := qt.New(t)
	k := newCluster(c, 1)
	k.configure(1, "plain")
	u := keyholder.Start(keyholder.Config{
		ID:          "p0",
		ServiceTime: 500 * time.Millisecond,
	})
	k.upstreams["p0"] = u
	k.register("p0", "plain", "z1", "ready")
	eventually(func() bool {
		status, _, _ := k.send("n0", http.MethodGet, "/read/x", 0, "")
		return status == http.StatusOK
	})
	first := k.coordinate("n0", 1<<40)
	defer first.Close()
	k.receive(first, func(f *schema.Frame) bool { return f.GetBeatReply() != nil })
	status := make(chan int, 1)
	go func() {
		code, _, _ := k.sendWithID("n0", http.MethodPost, "/order/x", 0, "", "last")
		status <- code
	}()
	arrived := len(u.Arrivals())
	request := k.receive(first, func(f *schema.Frame) bool { return f.GetRequest() != nil }).GetRequest()
	first.Send(&schema.Frame{
		Body: &schema.Frame_Reply{
			Reply: &schema.TicketReply{
				Id:       request.GetId(),
				Upstream: "p0",
				Address:  u.Address(),
				Born:     1,
			},
		},
	})
	eventually(func() bool { return len(u.Arrivals()) > arrived })
	second := k.coordinate("n0", 1<<41)
	defer second.Close()
	told := k.receive(second, func(f *schema.Frame) bool { return f.GetOpenTickets() != nil }).GetOpenTickets()
	c.Assert(told.GetTickets(), qt.HasLen, 1)
	c.Check(told.GetTickets()[0].GetId(), qt.Equals, request.GetId())
	c.Check(told.GetTickets()[0].GetUpstream(), qt.Equals, "p0")
	c.Check(told.GetTickets()[0].GetBorn(), qt.Equals, int64(1))
	sent := uint32(0)
	for _, usage := range told.GetRetries() {
		for _, count := range usage.GetRequests() {
			sent += count
		}
	}
	c.Check(sent > 0, qt.IsTrue)
	speeds := k.receive(second, func(f *schema.Frame) bool { return f.GetCostEstimates() != nil }).GetCostEstimates().GetUpstreams()
	c.Assert(speeds, qt.HasLen, 1)
	c.Check(speeds[0].GetLatencyUs() >= 500_000, qt.IsTrue)
	end := k.receive(second, func(f *schema.Frame) bool { return f.GetEnd() != nil }).GetEnd()
	c.Check(end.GetId(), qt.Equals, request.GetId())
	c.Check(<-status, qt.Equals, http.StatusOK)
}

// TestSlotsOfToldRequestsAreNotGranted guards against a coordinator that is told of running requests and grants their slots.
func TestSlotsOfToldRequestsAreNotGranted(t *testing.T) {
	c := qt.New(t)
	k := newCluster(c, 1)
	k.configure(1, "plain")
	u := k.upstream("p0", "plain", "z1")
	eventually(func() bool {
		status, _, _ := k.send("n0", http.MethodGet, "/read/x", 0, "")
		return status == http.StatusOK
	})
	listener, err := net.Listen("tcp4", freeAddress(c))
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	value, err := proto.Marshal(&schema.InstanceRow{
		Name:    "peer",
		Address: listener.Addr().String(),
		Zone:    "z1",
	})
	c.Assert(err, qt.IsNil)
	k.put("gateway-instances", "peer", string(value))
	conn, err := listener.Accept()
	c.Assert(err, qt.IsNil)
	f := frames.NewConnection(conn)
	defer f.Close()
	open := &schema.OpenTickets{}
	for id := range uint64(2) {
		open.Tickets = append(open.Tickets, &schema.OpenTicket{
			Id:          id + 1,
			Service:     "plain",
			Upstream:    "p0",
			Born:        1,
			RemainingMs: 60_000,
		})
	}
	f.Send(&schema.Frame{
		Body: &schema.Frame_OpenTickets{
			OpenTickets: open,
		},
	})
	f.Send(&schema.Frame{
		Body: &schema.Frame_Request{
			Request: &schema.TicketRequest{
				Id:          3,
				Service:     "plain",
				Idempotent:  true,
				RemainingMs: 60_000,
				ObjectiveMs: 60_000,
			},
		},
	})
	beats, ended := 0, false
	for granted := false; !granted; {
		frame, err := f.Receive()
		c.Assert(err, qt.IsNil)
		switch body := frame.GetBody().(type) {
		case *schema.Frame_Beat:
			f.Send(&schema.Frame{
				Body: &schema.Frame_BeatReply{
					BeatReply: &schema.BeatReply{
						Sequence: body.Beat.GetSequence(),
					},
				},
			})
			if beats++; beats == 4 {
				ended = true
				f.Send(&schema.Frame{
					Body: &schema.Frame_End{
						End: &schema.TicketEnd{
							Id: 1,
						},
					},
				})
			}
		case *schema.Frame_Reply:
			c.Check(body.Reply.GetUpstream(), qt.Equals, "p0")
			c.Check(ended, qt.IsTrue, qt.Commentf("granted while both slots are in use"))
			granted = true
		}
	}
	c.Check(u.Rejections(), qt.Equals, 0)
}
