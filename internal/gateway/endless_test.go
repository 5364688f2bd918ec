package gateway_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"runtime/pprof"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// endlessUpstream registers an upstream whose answers have bodies without length and end. sending counts the answers under way.
func (k *cluster) endlessUpstream(id string, slots int) (sending *atomic.Int64) {
	sending = &atomic.Int64{}
	part := bytes.Repeat([]byte("x"), 16<<10)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		sending.Add(1)
		defer sending.Add(-1)
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Response-Signature", id)
		for {
			if _, err := w.Write(part); err != nil {
				return
			}
		}
	}))
	k.c.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	k.registerPlain(id, server.Listener.Addr().String(), slots)
	return sending
}

// openSilently sends a request and does not read the answer.
func (k *cluster) openSilently(instance, id string) net.Conn {
	conn, err := net.Dial("tcp4", k.instances[instance].settings.FrontAddress)
	k.c.Assert(err, qt.IsNil)
	_, err = fmt.Fprintf(conn, "GET /read/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: %s\r\nDeadline-Ms: 2000\r\n\r\n", id)
	k.c.Assert(err, qt.IsNil)
	return conn
}

// waitSending waits until requests to instance reach an endless upstream.
func (k *cluster) waitSending(instance string, sending *atomic.Int64) {
	eventually(func() bool {
		status, _, _ := k.send(instance, http.MethodGet, "/nowhere/", 0, "")
		return status == http.StatusNotFound
	})
	for sending.Load() == 0 {
		conn := k.openSilently(instance, "first")
		time.Sleep(50 * time.Millisecond)
		conn.Close()
	}
}

// answering returns the number of requests whose answers are being written.
func answering() int {
	var stacks bytes.Buffer
	_ = pprof.Lookup("goroutine").WriteTo(&stacks, 2) // Writing to a buffer never fails.
	return strings.Count(stacks.String(), ").writeResponse(")
}

// TestEndlessBodiesDoNotGrowInMemory covers many answers without end at once, to callers that read nothing or have left.
func TestEndlessBodiesDoNotGrowInMemory(t *testing.T) {
	c := qt.New(t)
	k := newCluster(c, 1)
	k.configure(1, "plain")
	const callers = 900
	sending := k.endlessUpstream("e0", callers)
	k.waitSending("n0", sending)
	// Half of what the smallest instance has, without what the callers and the upstream need in this process.
	const most = 64 << 20
	var before, during runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var open []net.Conn
	highest, mostSending := uint64(0), int64(0)
	for i := range callers {
		conn := k.openSilently("n0", fmt.Sprint("e", i))
		mostSending = max(mostSending, sending.Load()) // Opening all may take longer than the first answers.
		if i%4 == 0 {
			conn.Close()
			continue
		}
		open = append(open, conn)
	}
	for start := time.Now(); time.Since(start) < 1500*time.Millisecond; time.Sleep(100 * time.Millisecond) {
		runtime.GC()
		runtime.ReadMemStats(&during)
		highest = max(highest, during.HeapAlloc)
		mostSending = max(mostSending, sending.Load())
	}
	c.Check(highest < before.HeapAlloc+most, qt.IsTrue, qt.Commentf("%d MB more", (highest-before.HeapAlloc)>>20))
	c.Check(mostSending > 0, qt.IsTrue)
	// The answers end with the route's time, although no caller reads or leaves.
	for start := time.Now(); answering() > 0 || sending.Load() > 0; time.Sleep(50 * time.Millisecond) {
		if time.Since(start) > 20*time.Second {
			c.Fatalf("%d answers are written and %d are sent after the route's time", answering(), sending.Load())
		}
	}
	for _, conn := range open {
		conn.Close()
	}
}

// TestEndlessBodyIsNeverASuccess covers a caller that reads all it gets: the answer must not look complete.
func TestEndlessBodyIsNeverASuccess(t *testing.T) {
	c := qt.New(t)
	k := newCluster(c, 1)
	k.configure(1, "plain")
	sending := k.endlessUpstream("e0", 4)
	k.waitSending("n0", sending)
	request, err := http.NewRequest(http.MethodGet, "http://"+k.instances["n0"].settings.FrontAddress+"/read/x", nil)
	c.Assert(err, qt.IsNil)
	request.Host = "a.example"
	request.Header.Set("Request-Id", "whole")
	request.Header.Set("Deadline-Ms", "1000")
	response, err := http.DefaultClient.Do(request)
	c.Assert(err, qt.IsNil)
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	c.Check(err, qt.IsNotNil)
}

// TestAnswerThatBreaksOffIsNeverASuccess covers answers of all framings that end early.
func TestAnswerThatBreaksOffIsNeverASuccess(t *testing.T) {
	long := strings.Repeat("x", 1<<20)
	for name, answer := range map[string]string{
		"length, short":  "Content-Length: 10\r\n\r\nhalf",
		"length, long":   "Content-Length: 2000000\r\n\r\n" + long,
		"chunked, short": "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"chunk, short":   "Transfer-Encoding: chunked\r\n\r\n10\r\nhalf",
		"chunked, long":  "Transfer-Encoding: chunked\r\n\r\n100000\r\n" + long + "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			k := newCluster(c, 1)
			k.configure(1, "plain")
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			c.Cleanup(func() { listener.Close() })
			go func() {
				for {
					conn, err := listener.Accept()
					if err != nil {
						return
					}
					go func() {
						defer conn.Close()
						request, err := http.ReadRequest(bufio.NewReader(conn))
						if err != nil {
							return
						}
						// The caller's side is what is checked.
						_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: s\r\n%s", request.Header.Get("Request-Id"), answer)
					}()
				}
			}()
			k.registerPlain("b0", listener.Addr().String(), 4)
			eventually(func() bool {
				status, _, _ := k.send("n0", http.MethodGet, "/nowhere/", 0, "")
				return status == http.StatusNotFound
			})
			succeeded := func() bool {
				k.requestCount++
				request, err := http.NewRequest(http.MethodGet, "http://"+k.instances["n0"].settings.FrontAddress+"/read/x", nil)
				c.Assert(err, qt.IsNil)
				request.Host = "a.example"
				request.Header.Set("Request-Id", fmt.Sprint("b", k.requestCount))
				request.Header.Set("Deadline-Ms", "2000")
				response, err := http.DefaultClient.Do(request)
				if err != nil {
					return false
				}
				defer response.Body.Close()
				_, err = io.Copy(io.Discard, response.Body)
				return response.StatusCode == http.StatusOK && err == nil
			}
			for range 5 {
				c.Assert(succeeded(), qt.IsFalse)
			}
		})
	}
}
