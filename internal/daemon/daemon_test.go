package daemon_test

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"cuminlift/examples"
	"cuminlift/internal/tryout"
	"cuminlift/io/identity"
	"cuminlift/io/instance"
	"cuminlift/schema"
)

// waitTimeout bounds waits for conditions that must eventually hold. Tests do not check how soon they do.
const waitTimeout = time.Minute

// fakeUpstream is an upstream whose responses are written byte by byte by the test.
type fakeUpstream struct {
	listener net.Listener
	runs     atomic.Int64
	respond  func(connection net.Conn, request *http.Request)
	// early answers requests before their bodies are read, and ends their connections. It is nil if respond answers them.
	early func(connection net.Conn, request *http.Request)
}

func startFakeUpstream(c *qt.C, respond func(net.Conn, *http.Request)) *fakeUpstream {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	return serveFakeUpstream(c, &fakeUpstream{
		listener: listener,
		respond:  respond,
	})
}

func serveFakeUpstream(c *qt.C, f *fakeUpstream) *fakeUpstream {
	listener := f.listener
	c.Cleanup(func() { _ = listener.Close() })
	go f.accept()
	return f
}

func (f *fakeUpstream) accept() {
	for {
		connection, err := f.listener.Accept()
		if err != nil {
			return
		}
		go f.serve(connection)
	}
}

func (f *fakeUpstream) serve(connection net.Conn) {
	defer connection.Close()
	reader := bufio.NewReader(connection)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if f.early != nil && request.URL.Path != "/control/grant" {
			f.runs.Add(1)
			f.early(connection, request)
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if request.URL.Path == "/control/grant" {
			f.grant(connection, body)
			continue
		}
		f.runs.Add(1)
		f.respond(connection, request)
	}
}

func (f *fakeUpstream) grant(connection net.Conn, body []byte) {
	grant := &schema.Grant{}
	if proto.Unmarshal(body, grant) != nil {
		return
	}
	content, err := proto.Marshal(&schema.GrantReply{
		Upstream:    grant.GetUpstream(),
		Incarnation: "1",
		Fence:       grant.GetFence(),
		Stamp:       time.Now().UnixMilli(),
		Accepted:    true,
		Sequence:    grant.GetSequence(),
	})
	if err == nil {
		fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(content), content)
	}
}

// startCluster starts one instance in which f is the only upstream of every service.
func startCluster(c *qt.C, f *fakeUpstream) *tryout.Cluster {
	cluster, err := tryout.Start(tryout.Config{
		Folder:    c.TempDir(),
		Zones:     []string{"zone-a"},
		Instances: 1,
	})
	c.Assert(err, qt.IsNil)
	c.Cleanup(cluster.Close)
	cluster.UpdateInstanceList(func(list *schema.InstanceList) {
		for _, service := range []string{"calendar", "registrations", "media"} {
			list.Upstreams = append(list.Upstreams, &schema.ListedUpstream{
				Name:    service + "-1",
				Service: service,
				Zone:    "zone-a",
				Address: f.listener.Addr().String(),
			})
		}
	})
	_, err = cluster.ApplyEstate(context.Background(), fastEstate)
	c.Assert(err, qt.IsNil)
	ok := tryout.WaitUntil(waitTimeout, func() bool {
		usable := 0
		for _, s := range cluster.Instances[0].Daemon.Status().GetServices() {
			for _, u := range s.GetUpstreams() {
				if u.GetUsable() {
					usable++
				}
			}
		}
		return usable == 3
	})
	c.Assert(ok, qt.IsTrue)
	return cluster
}

func send(c *qt.C, cluster *tryout.Cluster, method, path string, header map[string]string) (*http.Response, []byte, error) {
	request, err := http.NewRequest(method, "http://"+cluster.Instances[0].Daemon.Callers()+path, strings.NewReader("seat"))
	c.Assert(err, qt.IsNil)
	for name, value := range header {
		request.Header.Set(name, value)
	}
	client := &http.Client{
		Transport: &http.Transport{
			DisableKeepAlives: true,
		},
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, nil, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response, body, err
}

func TestOrderWithLostConnectionIsUnknownAndNotRetried(t *testing.T) {
	c := qt.New(t)
	f := startFakeUpstream(c, func(connection net.Conn, _ *http.Request) { _ = connection.Close() })
	cluster := startCluster(c, f)
	for n := range 5 {
		before := f.runs.Load()
		response, _, err := send(c, cluster, http.MethodPost, "/registrations/talk", map[string]string{
			"Idempotency-Key": fmt.Sprint("seat-", n),
		})
		c.Assert(err, qt.IsNil)
		c.Assert(response.Header.Get("Cuminlift-Outcome"), qt.Equals, "unknown")
		c.Assert(f.runs.Load(), qt.Equals, before+1)
	}
}

func TestRepeatOfOrderInDoubtIsNotSent(t *testing.T) {
	c := qt.New(t)
	f := startFakeUpstream(c, func(connection net.Conn, _ *http.Request) { _ = connection.Close() })
	cluster := startCluster(c, f)
	header := map[string]string{
		"Idempotency-Key": "seat-1",
	}
	for range 3 {
		response, _, err := send(c, cluster, http.MethodPost, "/registrations/talk", header)
		c.Assert(err, qt.IsNil)
		c.Assert(response.Header.Get("Cuminlift-Outcome"), qt.Equals, "unknown")
	}
	c.Assert(f.runs.Load(), qt.Equals, int64(1))
}

func TestShedOrderIsRetriedThenReportedNotRun(t *testing.T) {
	c := qt.New(t)
	f := startFakeUpstream(c, func(connection net.Conn, _ *http.Request) {
		fmt.Fprint(connection, "HTTP/1.1 503 Busy\r\nCuminlift-Outcome: not-run\r\nContent-Length: 0\r\n\r\n")
	})
	cluster := startCluster(c, f)
	response, _, err := send(c, cluster, http.MethodPost, "/registrations/talk", nil)
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(response.Header.Get("Cuminlift-Outcome"), qt.Equals, "not-run")
	c.Assert(response.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
	c.Assert(f.runs.Load() >= 1 && f.runs.Load() <= 3, qt.IsTrue)
}

func TestTruncatedResponseIsNotForwardedAsComplete(t *testing.T) {
	for name, answer := range map[string]string{
		"with a length":  "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\nonly this",
		"in chunks":      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nonly this\r\n",
		"within a chunk": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nff\r\nonly this",
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := startFakeUpstream(c, func(connection net.Conn, _ *http.Request) {
				fmt.Fprint(connection, answer)
				_ = connection.Close()
			})
			cluster := startCluster(c, f)
			_, _, err := send(c, cluster, http.MethodGet, "/media/slides", nil)
			c.Assert(err, qt.Not(qt.IsNil))
		})
	}
}

func TestResponseForAnotherRequestIsNotForwarded(t *testing.T) {
	c := qt.New(t)
	f := startFakeUpstream(c, func(connection net.Conn, _ *http.Request) {
		fmt.Fprint(connection, "HTTP/1.1 200 OK\r\nCuminlift-Request: another\r\nContent-Length: 6\r\n\r\nsecret")
	})
	cluster := startCluster(c, f)
	response, body, err := send(c, cluster, http.MethodGet, "/calendar/talk", nil)
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusBadGateway)
	c.Assert(string(body), qt.Not(qt.Contains), "secret")
}

func TestTrailingBytesDoNotReachLaterRequests(t *testing.T) {
	c := qt.New(t)
	f := startFakeUpstream(c, func(connection net.Conn, request *http.Request) {
		id := request.Header.Get("Cuminlift-Request")
		fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nCuminlift-Request: %s\r\nContent-Length: 4\r\n\r\nmine", id)
		fmt.Fprint(connection, "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nothers")
	})
	cluster := startCluster(c, f)
	for range 20 {
		_, body, err := send(c, cluster, http.MethodGet, "/calendar/talk", nil)
		if err == nil && len(body) == 4 {
			c.Assert(string(body), qt.Equals, "mine")
		}
		c.Assert(string(body), qt.Not(qt.Contains), "others")
	}
}

func TestIdempotencyKeyIsNotForwarded(t *testing.T) {
	c := qt.New(t)
	var mutex sync.Mutex
	var seen []string
	f := startFakeUpstream(c, func(connection net.Conn, request *http.Request) {
		mutex.Lock()
		seen = append(seen, request.Header.Get("Idempotency-Key"), request.Header.Get("X-Idempotency-Key"))
		mutex.Unlock()
		fmt.Fprint(connection, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	})
	cluster := startCluster(c, f)
	_, _, err := send(c, cluster, http.MethodPost, "/registrations/talk", map[string]string{
		"Idempotency-Key":   "a",
		"X-Idempotency-Key": "b",
	})
	c.Assert(err, qt.IsNil)
	mutex.Lock()
	defer mutex.Unlock()
	c.Assert(seen, qt.DeepEquals, []string{"", ""})
}

func TestDeadlineExceededReportsUnknownOutcome(t *testing.T) {
	c := qt.New(t)
	block := make(chan struct{})
	f := startFakeUpstream(c, func(net.Conn, *http.Request) { <-block })
	defer close(block)
	cluster := startCluster(c, f)
	response, _, err := send(c, cluster, http.MethodPost, "/registrations/talk", map[string]string{
		"Cuminlift-Deadline-Ms": "200",
	})
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusGatewayTimeout)
	c.Assert(response.Header.Get("Cuminlift-Outcome"), qt.Equals, "unknown")
}

func TestMalformedRequestsAreRefusedAsNotRun(t *testing.T) {
	c := qt.New(t)
	f := startFakeUpstream(c, func(connection net.Conn, _ *http.Request) {
		fmt.Fprint(connection, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	})
	cluster := startCluster(c, f)
	response, _, err := send(c, cluster, http.MethodGet, "/nowhere/1", nil)
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusNotFound)
	response, _, err = send(c, cluster, http.MethodGet, "/calendar/1", map[string]string{
		"Cuminlift-Deadline-Ms": "soon",
	})
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusBadRequest)
	c.Assert(response.Header.Get("Cuminlift-Outcome"), qt.Equals, "not-run")
	request, err := http.NewRequest(http.MethodPost, "http://"+cluster.Instances[0].Daemon.Callers()+"/registrations/1",
		strings.NewReader(strings.Repeat("x", 2<<20)))
	c.Assert(err, qt.IsNil)
	response, err = http.DefaultClient.Do(request)
	if err == nil {
		c.Assert(response.StatusCode, qt.Equals, http.StatusRequestEntityTooLarge)
		_ = response.Body.Close()
	}
	c.Assert(f.runs.Load(), qt.Equals, int64(0))
}

func TestTruncatedRequestBodyIsNotForwarded(t *testing.T) {
	c := qt.New(t)
	f := startFakeUpstream(c, func(connection net.Conn, _ *http.Request) {
		fmt.Fprint(connection, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	})
	cluster := startCluster(c, f)
	connection, err := net.Dial("tcp", cluster.Instances[0].Daemon.Callers())
	c.Assert(err, qt.IsNil)
	fmt.Fprint(connection, "POST /registrations/talk HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nhalf")
	c.Assert(connection.(*net.TCPConn).CloseWrite(), qt.IsNil)
	_, _ = io.ReadAll(connection)
	_ = connection.Close()
	c.Assert(f.runs.Load(), qt.Equals, int64(0))
}

func TestGracefulShutdownFinishesDownload(t *testing.T) {
	c := qt.New(t)
	started := make(chan struct{})
	finish := make(chan struct{})
	f := startFakeUpstream(c, func(connection net.Conn, _ *http.Request) {
		fmt.Fprint(connection, "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nhalf")
		close(started)
		<-finish
		fmt.Fprint(connection, "rest")
	})
	cluster := startCluster(c, f)
	type result struct {
		body []byte
		err  error
	}
	done := make(chan result, 1)
	go func() {
		_, body, err := send(c, cluster, http.MethodGet, "/media/slides", nil)
		done <- result{
			body: body,
			err:  err,
		}
	}()
	<-started
	stopped := make(chan error, 1)
	go func() { stopped <- cluster.Instances[0].Stop() }()
	ok := tryout.WaitUntil(waitTimeout, func() bool {
		response, err := http.Get("http://" + cluster.Instances[0].Daemon.Callers() + "/cuminlift/ready")
		if err != nil {
			return true
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusServiceUnavailable
	})
	c.Assert(ok, qt.IsTrue)
	close(finish)
	r := <-done
	c.Assert(r.err, qt.IsNil)
	c.Assert(string(r.body), qt.Equals, "halfrest")
	c.Assert(<-stopped, qt.IsNil)
}

func TestConnectionsWithoutTrustedCertificateAreRejected(t *testing.T) {
	c := qt.New(t)
	f := startFakeUpstream(c, func(net.Conn, *http.Request) {})
	cluster := startCluster(c, f)
	self := cluster.Instances[0].Daemon.Self()
	other, err := identity.NewAuthority(c.TempDir())
	c.Assert(err, qt.IsNil)
	foreign, err := other.IssueForDevelopment("operator")
	c.Assert(err, qt.IsNil)
	source, err := identity.Load(foreign)
	c.Assert(err, qt.IsNil)
	for name, config := range map[string]*tls.Config{
		"no certificate": {
			InsecureSkipVerify: true,
		},
		"certificate of another authority": {
			InsecureSkipVerify:   true,
			GetClientCertificate: source.Client().GetClientCertificate,
		},
	} {
		for _, address := range []string{self.GetOperators(), self.GetForward()} {
			client := &http.Client{
				Transport: &http.Transport{
					TLSClientConfig: config,
				},
			}
			_, err := client.Get("https://" + address + "/status")
			c.Assert(err, qt.Not(qt.IsNil), qt.Commentf("%s at %s", name, address))
		}
	}
	link, err := instance.Listen(instance.Config{
		Address:     "127.0.0.1:0",
		Server:      source.Server(instance.Protocol),
		Client:      source.Client(instance.Protocol),
		OnHeartbeat: func(*schema.Heartbeat) {},
		OnMalformed: func(error) {},
	})
	c.Assert(err, qt.IsNil)
	defer link.Close()
	err = link.Send(context.Background(), self.GetPeers(), &schema.Heartbeat{
		From: &schema.Member{
			Id:    "stranger/1",
			Name:  "stranger",
			Peers: link.Address(),
		},
	})
	c.Assert(err, qt.IsNil)
	time.Sleep(300 * time.Millisecond)
	for _, m := range cluster.Instances[0].Daemon.Status().GetMembers() {
		c.Assert(m.GetMember().GetName(), qt.Not(qt.Equals), "stranger")
	}
}

func TestConcurrentOperatorChangesHaveOneWinner(t *testing.T) {
	c := qt.New(t)
	f := startFakeUpstream(c, func(net.Conn, *http.Request) {})
	cluster := startCluster(c, f)
	base := cluster.Instances[0].Daemon.Status().GetConfiguration().GetVersion()
	var group sync.WaitGroup
	replies := make([]*schema.ChangeReply, 6)
	for i := range replies {
		group.Go(func() {
			client, err := cluster.OperatorClient(fmt.Sprintf("operator-%d", i))
			if err != nil {
				return
			}
			replies[i], _ = client.Change(context.Background(), &schema.ChangeRequest{
				Base:   base,
				Text:   strings.ReplaceAll(examples.Seminars, `"queue": 512`, fmt.Sprintf(`"queue": %d`, 600+i)),
				Reason: "race",
			})
		})
	}
	group.Wait()
	winners := 0
	for _, r := range replies {
		c.Assert(r, qt.Not(qt.IsNil))
		if r.GetError() == "" {
			winners++
			continue
		}
		c.Assert(r.GetError(), qt.Matches, ".*by operator-.*race.*cuminlift get.*")
	}
	c.Assert(winners, qt.Equals, 1)
}

func TestChangeWithLostReplyIsResolved(t *testing.T) {
	c := qt.New(t)
	f := startFakeUpstream(c, func(net.Conn, *http.Request) {})
	cluster := startCluster(c, f)
	client, err := cluster.OperatorClient("operator")
	c.Assert(err, qt.IsNil)
	cluster.Platform.SetFaults(&schema.PlatformFaults{
		LoseAnswers: 1,
	})
	reply, err := client.Change(context.Background(), &schema.ChangeRequest{
		Out: &schema.Out{
			Kind: "instance",
			Name: "entry-zone-a-1",
		},
		Reason: "lost answer",
	})
	c.Assert(err, qt.IsNil)
	c.Assert(reply.GetError(), qt.Equals, "")
	ok := tryout.WaitUntil(waitTimeout, func() bool {
		return cluster.Instances[0].Daemon.Status().GetConfiguration().GetVersion() == reply.GetVersion()
	})
	c.Assert(ok, qt.IsTrue)
	audit, err := client.Audit(context.Background(), "configuration")
	c.Assert(err, qt.IsNil)
	c.Assert(audit.GetRecords(), qt.HasLen, int(reply.GetVersion()))
}

func TestInstanceWithoutPlatformFollowsPeers(t *testing.T) {
	c := qt.New(t)
	cluster, err := tryout.Start(tryout.Config{
		Folder:    c.TempDir(),
		Zones:     []string{"zone-a", "zone-b"},
		Instances: 1,
	})
	c.Assert(err, qt.IsNil)
	c.Cleanup(cluster.Close)
	_, err = cluster.ApplyEstate(context.Background(), examples.Seminars)
	c.Assert(err, qt.IsNil)
	hasVersion := func(version uint64) func() bool {
		return func() bool {
			return cluster.Instances[1].Daemon.Status().GetConfiguration().GetVersion() == version
		}
	}
	c.Assert(tryout.WaitUntil(waitTimeout, hasVersion(1)), qt.IsTrue)
	cluster.Platform.SetFaults(&schema.PlatformFaults{
		Blocked: []string{"entry-zone-b-1"},
	})
	_, err = cluster.ApplyEstate(context.Background(), examples.Turkeys)
	c.Assert(err, qt.IsNil)
	c.Assert(tryout.WaitUntil(waitTimeout, hasVersion(2)), qt.IsTrue)
}

// fastEstate is the seminars example without cold starts and with more slots per upstream.
var fastEstate = strings.NewReplacer(`"cold-start-ms": 3000`, `"cold-start-ms": 0`, `"slots": 2`, `"slots": 32`).Replace(examples.Seminars)

// An upstream that writes an earlier refusal once more, where the answer to the next attempt is expected, makes an order that ran count as
// not run.
func TestSecondCopyOfARefusalDoesNotHideAnOrderThatRan(t *testing.T) {
	c := qt.New(t)
	var mutex sync.Mutex
	copies := map[net.Conn]string{}
	f := startFakeUpstream(c, func(connection net.Conn, request *http.Request) {
		mutex.Lock()
		defer mutex.Unlock()
		fmt.Fprint(connection, copies[connection])
		id := request.Header.Get("Cuminlift-Request")
		if len(copies) == 0 {
			copies[connection] = fmt.Sprintf("HTTP/1.1 503 Busy\r\nCuminlift-Request: %s\r\nCuminlift-Outcome: not-run\r\nContent-Length: 0\r\n\r\n", id)
			fmt.Fprint(connection, copies[connection])
			return
		}
		fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nCuminlift-Request: %s\r\nContent-Length: 0\r\n\r\n", id)
	})
	cluster := startCluster(c, f)
	response, _, err := send(c, cluster, http.MethodPost, "/registrations/talk", nil)
	c.Assert(err, qt.IsNil)
	c.Check(f.runs.Load(), qt.Equals, int64(2))
	c.Check(response.StatusCode, qt.Equals, http.StatusOK)
	c.Check(response.Header.Get("Cuminlift-Outcome"), qt.Equals, "ran")
}
