package gateway_test

import (
	"fmt"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"cuminlift/internal/gateway"
	"cuminlift/io/frames"
	"cuminlift/schema"
)

// acknowledgeLate acknowledges heartbeats on a connection 400 ms late, and tells of a resignation.
func acknowledgeLate(f *frames.Connection, resigned chan<- struct{}) {
	for {
		frame, err := f.Receive()
		if err != nil {
			return
		}
		beat := frame.GetBeat()
		if beat == nil {
			continue
		}
		if beat.GetResigned() {
			resigned <- struct{}{}
			return
		}
		time.AfterFunc(400*time.Millisecond, func() {
			f.Send(&schema.Frame{
				Body: &schema.Frame_BeatReply{
					BeatReply: &schema.BeatReply{
						Sequence: beat.GetSequence(),
					},
				},
			})
		})
	}
}

// TestCoordinatorWithABottleneckResigns guards against a coordinator that keeps the lease until its connections time out, although
// its link is full and others have what is needed.
func TestCoordinatorWithABottleneckResigns(t *testing.T) {
	c := qt.New(t)
	k := newCluster(c, 0)
	k.configure(1, "plain")
	k.upstream("p0", "plain", "z1")
	const peers = 3
	resigned := make(chan struct{}, peers)
	for i := range peers {
		listener, err := net.Listen("tcp4", freeAddress(c))
		c.Assert(err, qt.IsNil)
		c.Cleanup(func() { listener.Close() })
		go func() {
			for conn, err := listener.Accept(); err == nil; conn, err = listener.Accept() {
				go acknowledgeLate(frames.NewConnection(conn), resigned)
			}
		}()
		name := fmt.Sprint("peer-", i)
		value, err := proto.Marshal(&schema.InstanceRow{
			Name:        name,
			Address:     listener.Addr().String(),
			Zone:        "z1",
			CpuPermille: 800,
			LinkMbps:    200,
		})
		c.Assert(err, qt.IsNil)
		k.put("gateway-instances", name, string(value))
	}
	k.adjust = func(settings *gateway.Settings) {
		settings.CPUShare = 0.8
		settings.LinkMbps = 200
	}
	k.start("n0")
	for range peers {
		<-resigned
	}
}
