package gateway_test

import (
	"net"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"cuminlift/io/frames"
	"cuminlift/schema"
)

// A ticket that was granted before the coordinator has heard that its upstream leaves is used.
func TestTicketForALeavingUpstreamIsReturned(t *testing.T) {
	c := qt.New(t)
	k := newCluster(c, 1)
	k.configure(1, "plain")
	u := k.upstream("p0", "plain", "z1")
	serve := func() bool {
		_, text, _ := k.send("n0", http.MethodGet, "/read/x", 0, "")
		return strings.HasPrefix(text, "p0")
	}
	eventually(serve)
	// The next answer says that the upstream leaves; this test then is the coordinator, and goes on granting it.
	u.Leave()
	c.Assert(serve(), qt.IsTrue)
	arrived := len(u.Arrivals())
	conn, err := net.Dial("tcp4", k.instances["n0"].settings.PeerAddress)
	c.Assert(err, qt.IsNil)
	f := frames.NewConnection(conn)
	defer f.Close()
	f.Send(&schema.Frame{
		Body: &schema.Frame_Beat{
			Beat: &schema.Beat{
				Name:      "test",
				Term:      1 << 40,
				Instances: 1,
			},
		},
	})
	status := make(chan int, 1)
	returned, told := 0, 0
	asked := false
	for {
		frame, err := f.Receive()
		c.Assert(err, qt.IsNil)
		if frame.GetBeatReply() != nil && !asked {
			asked = true
			go func() {
				code, _, _ := k.sendWithID("n0", http.MethodPost, "/order/x", 0, "", "last")
				status <- code
			}()
		}
		if request := frame.GetRequest(); request != nil {
			f.Send(&schema.Frame{
				Body: &schema.Frame_Reply{
					Reply: &schema.TicketReply{
						Id:       request.GetId(),
						Upstream: "p0",
						Address:  u.Address(),
						Born:     1,
					},
				},
			})
		}
		if notice := frame.GetNotice(); notice.GetLeaving() {
			c.Check(notice.GetUpstream(), qt.Equals, "p0")
			told++
		}
		if end := frame.GetEnd(); end != nil {
			c.Check(end.GetOutcome(), qt.Equals, schema.TicketOutcome_abandoned)
			if returned++; returned == 3 {
				break
			}
		}
	}
	c.Check(told >= returned, qt.IsTrue, qt.Commentf("the coordinator is told %d times that the upstream leaves", told))
	c.Check(<-status, qt.Equals, http.StatusServiceUnavailable)
	c.Check(u.Arrivals(), qt.HasLen, arrived)
}
