package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminlift/io/frames"
	"cuminlift/schema"
)

// recorder is an upstream that records the headers of the requests that it got.
type recorder struct {
	address string
	mutex   sync.Mutex
	headers []http.Header
	times   []time.Time
}

func (r *recorder) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	r.mutex.Lock()
	r.headers = append(r.headers, request.Header.Clone())
	r.times = append(r.times, time.Now())
	r.mutex.Unlock()
	w.Header().Set("Request-Id", request.Header.Get("Request-Id"))
	w.Header().Set("Response-Signature", "s")
}

func (r *recorder) count() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.headers)
}

func (r *recorder) last() http.Header {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.headers[len(r.headers)-1]
}

// record registers a recorder as an upstream of service "plain".
func (k *cluster) record() *recorder {
	r := &recorder{}
	server := httptest.NewServer(r)
	k.c.Cleanup(server.Close)
	r.address = server.Listener.Addr().String()
	k.registerPlain("recorder", server.Listener.Addr().String(), 20)
	return r
}

// configureWorkspaces writes a configuration with a route that needs a key and one that doesn't. workspaces is the text of the field.
func (k *cluster) configureWorkspaces(version int, workspaces string) {
	if workspaces != "" {
		workspaces = `"tenants":` + workspaces + ","
	}
	k.put("op", "config", fmt.Sprintf(`{"version":%d,%s
 "listeners":[{"host":"a.example","rules":[
  {"name":"read","kind":"idempotent","target_latency":"300ms","priority":2,"match":{"prefix":"/read/"},
   "action":{"service":"plain","timeout":"2s","max_attempts":3}},
  {"name":"open","kind":"idempotent","target_latency":"300ms","priority":2,"no_auth":true,"match":{"prefix":"/open/"},
   "action":{"service":"plain","timeout":"2s","max_attempts":3}}]}],
 "clusters":[{"name":"plain","health_path":"/healthz","warmup":"0ms","warmup_per_s":100}]}`, version, workspaces))
}

// call sends a request with headers, given as pairs of name and value, and returns the status.
func (k *cluster) call(address, path string, headers ...string) (status int, header http.Header) {
	k.requestCount++
	request, err := http.NewRequest(http.MethodGet, "http://"+address+path, nil)
	k.c.Assert(err, qt.IsNil)
	request.Host = "a.example"
	request.Header.Set("Request-Id", fmt.Sprint("call-", k.requestCount))
	request.Header.Set("Deadline-Ms", "2000")
	for i := 0; i < len(headers); i += 2 {
		request.Header.Add(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	k.c.Assert(err, qt.IsNil)
	return response.StatusCode, response.Header
}

func (k *cluster) front(instance string) string { return k.instances[instance].settings.FrontAddress }

const twoWorkspaces = `[{"name":"first","api_keys":["key-1","key-2"],"priority":0},{"name":"second","api_keys":["key-3"]}]`

// A caller without a valid key is served, or gets into another workspace, or an upstream gets its key.
func TestCallersAreAuthenticated(t *testing.T) {
	c := qt.New(t)
	k := newCluster(c, 1)
	r := k.record()
	k.configureWorkspaces(1, twoWorkspaces)
	front := k.front("n0")
	eventually(func() bool {
		status, _ := k.call(front, "/read/x", "Api-Key", "key-1")
		return status == http.StatusOK
	})
	served := func(workspace, path string, headers ...string) {
		status, _ := k.call(front, path, headers...)
		c.Assert(status, qt.Equals, http.StatusOK, qt.Commentf("%s %v", path, headers))
		c.Check(r.last().Get("Tenant"), qt.Equals, workspace, qt.Commentf("%s %v", path, headers))
		c.Check(r.last().Values("Api-Key"), qt.HasLen, 0)
	}
	served("first", "/read/x", "Api-Key", "key-2")
	served("second", "/read/x", "Api-Key", "key-3")
	served("second", "/read/x", "Api-Key", "key-3", "Tenant", "first")
	served("second", "/read/x", "Api-Key", "key-3", "Connection", "Tenant, Api-Key")
	served("", "/open/x", "Tenant", "first")
	served("", "/open/x", "Api-Key", "unknown")
	served("first", "/open/x", "Api-Key", "key-1")
	arrived := r.count()
	for _, headers := range [][]string{
		nil,
		{"Api-Key", "unknown"},
		{"Api-Key", ""},
		{"Api-Key", "key-1", "Api-Key", "key-3"},
		{"Api-Key", "Bearer key-1"},
		{"Tenant", "first"},
	} {
		status, header := k.call(front, "/read/x", headers...)
		c.Check(status, qt.Equals, http.StatusUnauthorized, qt.Commentf("%v", headers))
		c.Check(header.Get("WWW-Authenticate"), qt.Not(qt.Equals), "")
	}
	status, _ := k.call(front, "/other/x")
	c.Check(status, qt.Equals, http.StatusNotFound)
	c.Check(r.count(), qt.Equals, arrived)
}

// A caller without a valid key makes the instance wait for its body.
func TestBodyIsNotReadBeforeTheKey(t *testing.T) {
	c := qt.New(t)
	k := newCluster(c, 1)
	k.record()
	k.configureWorkspaces(1, twoWorkspaces)
	eventually(func() bool {
		status, _ := k.call(k.front("n0"), "/read/x")
		return status == http.StatusUnauthorized
	})
	conn, err := net.Dial("tcp4", k.front("n0"))
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	_, err = io.WriteString(conn, "POST /read/x HTTP/1.1\r\nHost: a.example\r\nContent-Length: 50\r\n\r\n")
	c.Assert(err, qt.IsNil)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	c.Assert(err, qt.IsNil)
	response.Body.Close()
	c.Check(response.StatusCode, qt.Equals, http.StatusUnauthorized)
	c.Check(response.Close, qt.IsTrue)
}

// A removed key stays valid on an open connection, or a malformed version withdraws or grants keys.
func TestKeysFollowTheConfiguration(t *testing.T) {
	c := qt.New(t)
	k := newCluster(c, 2)
	k.record()
	k.configureWorkspaces(1, twoWorkspaces)
	expect := func(key string, status int) {
		for name := range k.instances {
			eventually(func() bool {
				got, _ := k.call(k.front(name), "/read/x", "Api-Key", key)
				return got == status
			})
		}
	}
	expect("key-1", http.StatusOK)
	expect("key-3", http.StatusOK)
	k.configureWorkspaces(2, `[{"name":"first","api_keys":["key-2","key-4"]},{"name":"second","api_keys":["key-3"]}]`)
	expect("key-1", http.StatusUnauthorized)
	expect("key-4", http.StatusOK)
	// Neither a malformed nor an earlier version changes anything; the zone shows that it has arrived.
	for _, change := range []func(){
		func() { k.configureWorkspaces(3, `[{"name":"","api_keys":["key-5"]}]`) },
		func() { k.configureWorkspaces(1, twoWorkspaces) },
	} {
		change()
		k.put("op", "evacuate/z1", "{}")
		expect("key-3", http.StatusServiceUnavailable)
		expect("key-4", http.StatusServiceUnavailable)
		expect("key-5", http.StatusUnauthorized)
		expect("key-1", http.StatusUnauthorized)
		k.remove("op", "evacuate/z1")
		expect("key-3", http.StatusOK)
	}
}

// A deployment without workspaces asks for keys or changes what upstreams get. Only the name of a workspace is not a caller's to give.
func TestWithoutWorkspacesNoKeyIsNeeded(t *testing.T) {
	c := qt.New(t)
	k := newCluster(c, 1)
	r := k.record()
	k.configureWorkspaces(1, "")
	eventually(func() bool {
		status, _ := k.call(k.front("n0"), "/read/x")
		return status == http.StatusOK
	})
	status, _ := k.call(k.front("n0"), "/read/x", "Tenant", "first", "Api-Key", "own")
	c.Assert(status, qt.Equals, http.StatusOK)
	c.Check(r.last().Values("Tenant"), qt.HasLen, 0)
	c.Check(r.last().Get("Api-Key"), qt.Equals, "own")
}

// The upstream does not get the workspace of a request that another instance sends, or gets a key that an instance of the previous
// build passes on.
func TestRelayPassesTheWorkspaceOn(t *testing.T) {
	c := qt.New(t)
	k := newCluster(c, 1)
	r := k.record()
	relay := k.instances["n0"].settings.RelayAddress
	// Before a configuration is in force, the relay can't know that the key is not meant for the upstream.
	for range 2 {
		eventually(func() bool {
			status, _ := k.call(relay, "/read/x", "Cuminlift-Relay-Upstream", "recorder", "Cuminlift-Relay-Born", "1", "Tenant", "second", "Api-Key", "key-3")
			return status == http.StatusOK
		})
		c.Check(r.last().Get("Tenant"), qt.Equals, "second")
		c.Check(r.last().Values("Api-Key"), qt.HasLen, 0)
		k.configureWorkspaces(1, twoWorkspaces)
		eventually(func() bool {
			status, _ := k.call(k.front("n0"), "/read/x", "Api-Key", "unknown")
			return status == http.StatusUnauthorized
		})
	}
}

// coordinateAndReceive connects to an instance as its coordinator, and passes on what it sends except replies to heartbeats.
func (k *cluster) coordinateAndReceive(instance string) (f *frames.Connection, received chan *schema.Frame) {
	conn, err := net.Dial("tcp4", k.instances[instance].settings.PeerAddress)
	k.c.Assert(err, qt.IsNil)
	f = frames.NewConnection(conn)
	k.c.Cleanup(f.Close)
	received = make(chan *schema.Frame, 100)
	beat := func() {
		f.Send(&schema.Frame{
			Body: &schema.Frame_Beat{
				Beat: &schema.Beat{
					Name:      "test",
					Term:      1 << 40,
					Instances: 1,
				},
			},
		})
	}
	beat()
	attached := make(chan struct{}, 1)
	go func() {
		defer close(received)
		for {
			frame, err := f.Receive()
			if err != nil {
				return
			}
			if frame.GetBeatReply() == nil {
				received <- frame
				continue
			}
			select {
			case attached <- struct{}{}:
			default:
			}
			time.AfterFunc(50*time.Millisecond, beat)
		}
	}()
	<-attached
	return f, received
}

// The coordinator does not learn the workspace, or the route's priority goes before the workspace's.
func TestCoordinatorLearnsWorkspaceAndPriority(t *testing.T) {
	for key, want := range map[string]*schema.TicketRequest{
		"key-1": {
			Workspace: "first",
			Priority:  0,
		},
		"key-3": {
			Workspace: "second",
			Priority:  2,
		},
	} {
		c := qt.New(t)
		k := newCluster(c, 1)
		k.record()
		k.configureWorkspaces(1, twoWorkspaces)
		front := k.front("n0")
		eventually(func() bool {
			status, _ := k.call(front, "/read/x", "Api-Key", key)
			return status == http.StatusOK
		})
		f, received := k.coordinateAndReceive("n0")
		go k.call(front, "/read/x", "Api-Key", key)
		for frame := range received {
			if request := frame.GetRequest(); request != nil {
				c.Check(request.GetWorkspace(), qt.Equals, want.GetWorkspace())
				c.Check(request.GetPriority(), qt.Equals, want.GetPriority())
				c.Check(strings.Contains(request.String(), key), qt.IsFalse)
				f.Close()
			}
		}
	}
}
