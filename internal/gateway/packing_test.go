package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"cuminlift/io/frames"
	"cuminlift/schema"
)

// configureRoutes writes a configuration with a number of routes to the service "plain", besides that of /read/.
func (k *cluster) configureRoutes(version, routes int) {
	var rules strings.Builder
	for i := range routes {
		fmt.Fprintf(&rules, `,{"name":"route-%d","kind":"idempotent","target_latency":"300ms","priority":2,"match":{"prefix":"/added/%d/"},
   "action":{"service":"plain","timeout":"2s","max_attempts":3}}`, i, i)
	}
	k.put("op", "config", fmt.Sprintf(`{"version":%d,"limits":{"max_body_bytes":100},
 "listeners":[{"host":"a.example","rules":[
  {"name":"read","kind":"idempotent","target_latency":"300ms","priority":2,"match":{"prefix":"/read/"},
   "action":{"service":"plain","timeout":"2s","max_attempts":3}}%s]}],
 "clusters":[{"name":"plain","health_path":"/healthz","warmup":"0ms","warmup_per_s":100}]}`, version, rules.String()))
}

// Heartbeats wait behind a large configuration on the coordinator's link, so that all instances lose the coordinator, and rows of upstreams
// that leave come too late (DRAIN, CONFIG).
func TestLargeConfigurationFillsTheCoordinatorsLink(t *testing.T) {
	c := qt.New(t)
	k := newCluster(c, 1)
	k.configureRoutes(1, 1)
	k.upstream("p0", "plain", "z1")
	k.waitPlain("n0")
	var mutex sync.Mutex
	// sizes holds the largest message with rows of the table "op" that each instance got.
	sizes := map[string]int{}
	follower := func(name string, unpacks bool) {
		k.testFollower(name, func(f *frames.Connection, frame *schema.Frame) {
			if beat := frame.GetBeat(); beat != nil {
				acknowledge(f, beat, &schema.BeatReply{
					StoreReached: true,
					UnpacksRows:  unpacks,
					Tables: []*schema.TableVersion{
						{
							Table: "op",
						},
						{
							Table: "servers",
						},
					},
				})
			}
			if rows := frame.GetRows(); rows.GetTable() == "op" {
				mutex.Lock()
				defer mutex.Unlock()
				sizes[name] = max(sizes[name], proto.Size(frame))
			}
		})
	}
	follower("earlier", false)
	follower("present", true)
	got := func(bytes int) bool {
		mutex.Lock()
		defer mutex.Unlock()
		return sizes["earlier"] >= bytes && sizes["present"] > 0
	}
	eventually(func() bool { return got(1) })
	k.start("n1")
	k.configureRoutes(2, 2000)
	eventually(func() bool { return got(100_000) })
	// An instance that reads the compressed rows serves by them.
	eventually(func() bool {
		status, _, _ := k.send("n1", http.MethodGet, "/added/1999/x", 0, "")
		return status == http.StatusOK
	})
	mutex.Lock()
	defer mutex.Unlock()
	c.Check(sizes["present"] < sizes["earlier"]/5, qt.IsTrue, qt.Commentf("%d bytes to an instance that reads compressed rows, %d to one that does not", sizes["present"], sizes["earlier"]))
}

// A message of a coordinator with compressed rows that can't be read, or that grow without bound, ends the process or fills its memory.
func TestUnreadableRowsCloseOnlyTheirConnection(t *testing.T) {
	c := qt.New(t)
	k := newCluster(c, 1)
	k.configureRoutes(1, 1)
	k.upstream("p0", "plain", "z1")
	k.waitPlain("n0")
	for name, packed := range map[string][]byte{
		"no compressed data": []byte("no compressed data"),
		"cut off":            {0x78, 0x01, 0x01},
	} {
		conn := k.dialPeer("n0")
		conn.Send(&schema.Frame{
			Body: &schema.Frame_Rows{
				Rows: &schema.TableRows{
					Table:      "op",
					PackedRows: packed,
				},
			},
		})
		_, err := conn.Receive()
		c.Check(err, qt.IsNotNil, qt.Commentf("%s", name))
	}
	k.waitPlain("n0")
}

// dialPeer connects to an instance as a coordinator does.
func (k *cluster) dialPeer(instance string) *frames.Connection {
	conn, err := net.Dial("tcp4", k.instances[instance].settings.PeerAddress)
	k.c.Assert(err, qt.IsNil)
	f := frames.NewConnection(conn)
	k.c.Cleanup(f.Close)
	return f
}
