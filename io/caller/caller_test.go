package caller_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"cuminlift/io/caller"
)

// site is a running server. Requests with paths below /once/ are exclusive.
type site struct {
	c       *qt.C
	server  *caller.Server
	address string
	mutex   sync.Mutex
	events  map[string]int
}

func start(c testing.TB, handler http.HandlerFunc) *site {
	s := &site{
		c:      qt.New(c),
		events: map[string]int{},
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	s.server = caller.New(caller.Config{
		Handler: handler,
		Classify: func(r *http.Request) caller.Class {
			return caller.Class{
				Concurrent:   !strings.HasPrefix(r.URL.Path, "/once/"),
				MaxBodyBytes: 100,
			}
		},
		Limits: func() caller.Limits {
			return caller.Limits{
				HeaderBytes:   8 << 10,
				HeaderTimeout: 10 * time.Second,
				IdleTimeout:   time.Minute,
				WriteTimeout:  200 * time.Millisecond,
			}
		},
		Budget: caller.NewBudget(1 << 20),
		Count: func(event string) {
			s.mutex.Lock()
			defer s.mutex.Unlock()
			s.events[event]++
		},
		Log: logrus.NewEntry(log),
	})
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	s.c.Assert(err, qt.IsNil)
	s.address = listener.Addr().String()
	done := make(chan error)
	go func() { done <- s.server.Serve(listener) }()
	c.Cleanup(func() {
		s.server.Close()
		s.c.Check(<-done, qt.Equals, http.ErrServerClosed)
	})
	return s
}

func (s *site) dial() *net.TCPConn {
	conn, err := net.Dial("tcp4", s.address)
	s.c.Assert(err, qt.IsNil)
	s.c.Cleanup(func() { conn.Close() })
	return conn.(*net.TCPConn)
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n" }

// responses returns the bodies of n responses, with " closes" after one that announces it.
func responses(c *qt.C, reader *bufio.Reader, n int) []string {
	var bodies []string
	for len(bodies) < n {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return append(bodies, "ends")
		}
		if response.StatusCode < 200 {
			continue
		}
		body, err := io.ReadAll(response.Body)
		c.Assert(err, qt.IsNil)
		text := string(body)
		if response.Close {
			text += " closes"
		}
		bodies = append(bodies, text)
	}
	return bodies
}

func send(c *qt.C, conn net.Conn, text string) {
	_, err := io.WriteString(conn, text)
	c.Assert(err, qt.IsNil)
}

// TestRequestsRunConcurrentlyAndAreAnsweredInOrder guards against eight requests in flight that take eight times as long as one, and
// against responses in the order in which they were ready.
func TestRequestsRunConcurrentlyAndAreAnsweredInOrder(t *testing.T) {
	c := qt.New(t)
	const n = 8
	var finished [n + 1]chan struct{}
	for i := range finished {
		finished[i] = make(chan struct{})
	}
	close(finished[n])
	s := start(t, func(w http.ResponseWriter, r *http.Request) {
		i, _ := strconv.Atoi(r.URL.Path[1:])
		<-finished[i+1] // The last one finishes first.
		close(finished[i])
		fmt.Fprint(w, i, strings.Repeat("x", i*2000))
	})
	conn := s.dial()
	for i := range n {
		send(c, conn, get(fmt.Sprint("/", i)))
	}
	for i, body := range responses(c, bufio.NewReader(conn), n) {
		c.Check(body, qt.Equals, fmt.Sprint(i, strings.Repeat("x", i*2000)))
	}
}

// TestRequestThatMustNotRepeatRunsAlone guards against a request that runs although the caller may have to repeat it, or beside others.
func TestRequestThatMustNotRepeatRunsAlone(t *testing.T) {
	c := qt.New(t)
	var running, most, alone atomic.Int64
	s := start(t, func(w http.ResponseWriter, r *http.Request) {
		n := running.Add(1)
		defer running.Add(-1)
		time.Sleep(time.Millisecond)
		most.Store(max(most.Load(), n))
		if strings.HasPrefix(r.URL.Path, "/once/") && n == 1 && running.Load() == 1 {
			alone.Add(1)
		}
		io.WriteString(w, r.URL.Path)
	})
	conn := s.dial()
	var want []string
	for i := range 20 {
		path := fmt.Sprint("/many/", i)
		if i%5 == 2 {
			path = fmt.Sprint("/once/", i)
		}
		want = append(want, path)
		send(c, conn, get(path))
	}
	c.Check(responses(c, bufio.NewReader(conn), 20), qt.DeepEquals, want)
	c.Check(alone.Load(), qt.Equals, int64(4))
}

// fiveRequests are five requests of which the second and fourth have bodies.
var fiveRequests = []string{
	get("/0"),
	"POST /once/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc",
	get("/2"),
	"PUT /3 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n",
	get("/once/4"),
}

// TestInputEndsAtAnyByte ends the input of five requests at each byte. It guards against a request that runs although it was not read
// completely, and against one that was read and is not answered when the caller closes only its side.
func TestInputEndsAtAnyByte(t *testing.T) {
	c := qt.New(t)
	var ran sync.Map
	s := start(t, func(w http.ResponseWriter, r *http.Request) {
		ran.Store(r.URL.Path+r.Header.Get("X"), true)
		io.Copy(io.Discard, r.Body)
		io.WriteString(w, r.URL.Path)
	})
	all := strings.Join(fiveRequests, "")
	for cut := range len(all) + 1 {
		complete, end := []string{}, 0
		for _, text := range fiveRequests {
			if end += len(text); end <= cut {
				complete = append(complete, strings.Fields(text)[1])
			}
		}
		ran.Clear()
		conn := s.dial()
		send(c, conn, all[:cut])
		c.Assert(conn.CloseWrite(), qt.IsNil)
		reader := bufio.NewReader(conn)
		got := responses(c, reader, len(complete)+1)
		for i := range got {
			got[i] = strings.TrimSuffix(got[i], " closes")
		}
		c.Assert(got, qt.DeepEquals, append(complete, "ends"), qt.Commentf("cut %d", cut))
		// A reset may come before or after what was sent is read.
		conn = s.dial()
		send(c, conn, all[:cut])
		c.Assert(conn.SetLinger(0), qt.IsNil)
		conn.Close()
		ran.Range(func(path, _ any) bool {
			c.Assert(complete, qt.Contains, path.(string), qt.Commentf("cut %d", cut))
			return true
		})
	}
}

// TestBadHeadIsAnsweredLast guards against a rejected header section that takes the responses before it away, and against requests
// behind it that run.
func TestBadHeadIsAnsweredLast(t *testing.T) {
	c := qt.New(t)
	var ran atomic.Int64
	s := start(t, func(w http.ResponseWriter, r *http.Request) {
		ran.Add(1)
		time.Sleep(5 * time.Millisecond)
		io.WriteString(w, r.URL.Path)
	})
	for _, bad := range []string{
		"GET /x HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
		"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
		"GET /x HTTP/1.1\nHost: a\n\n",
		"POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
		"GET /x HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 20<<10) + "\r\n\r\n",
	} {
		ran.Store(0)
		conn := s.dial()
		send(c, conn, get("/0")+get("/once/1")+bad+get("/behind"))
		got := responses(c, bufio.NewReader(conn), 4)
		c.Assert(got, qt.HasLen, 4)
		c.Check(got[:2], qt.DeepEquals, []string{"/0", "/once/1"})
		c.Check(got[2], qt.Matches, "(?s).*\n closes", qt.Commentf("%q", bad))
		c.Check(got[3], qt.Equals, "ends")
		c.Check(ran.Load(), qt.Equals, int64(2))
	}
}

// TestPlannedStopAnswersWhatStarted guards against started requests that a stop leaves without a response, and against requests that
// start after it.
func TestPlannedStopAnswersWhatStarted(t *testing.T) {
	c := qt.New(t)
	started := make(chan string, 10)
	proceed := make(chan struct{})
	s := start(t, func(w http.ResponseWriter, r *http.Request) {
		started <- r.URL.Path
		<-proceed
		io.WriteString(w, r.URL.Path)
	})
	conn, idle := s.dial(), s.dial()
	send(c, idle, get("/idle"))
	<-started
	proceed <- struct{}{}
	idleReader := bufio.NewReader(idle)
	c.Check(responses(c, idleReader, 1), qt.DeepEquals, []string{"/idle"})
	send(c, conn, get("/0")+get("/1")+get("/2")+get("/once/3")+get("/4"))
	for range 3 {
		<-started
	}
	stopped := make(chan error)
	go func() { stopped <- s.server.Shutdown(context.Background()) }()
	// The idle connection is closed once the stop has begun.
	c.Check(responses(c, idleReader, 1), qt.DeepEquals, []string{"ends"})
	for s.count("caller-not-read") < 2 {
		time.Sleep(time.Millisecond)
	}
	close(proceed)
	c.Check(responses(c, bufio.NewReader(conn), 4), qt.DeepEquals, []string{"/0", "/1", "/2 closes", "ends"})
	c.Check(<-stopped, qt.IsNil)
	c.Check(started, qt.HasLen, 0)
}

func (s *site) count(event string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.events[event]
}

// TestHandlerThatClosesIsAnsweredAfterThoseStarted guards against a response that closes the connection before others that were
// forwarded.
func TestHandlerThatClosesIsAnsweredAfterThoseStarted(t *testing.T) {
	c := qt.New(t)
	var group sync.WaitGroup
	group.Add(3)
	s := start(t, func(w http.ResponseWriter, r *http.Request) {
		group.Done()
		group.Wait()
		if r.URL.Path == "/0" {
			w.Header().Set("Connection", "close")
		}
		io.WriteString(w, r.URL.Path)
	})
	conn := s.dial()
	send(c, conn, get("/0")+get("/1")+get("/2")+get("/once/3"))
	c.Check(responses(c, bufio.NewReader(conn), 4), qt.DeepEquals, []string{"/0", "/1", "/2 closes", "ends"})
}

// TestCallerThatLeavesEndsItsRequests guards against work for callers that have left, by a reset or by closing, with few requests or
// with more than are read.
func TestCallerThatLeavesEndsItsRequests(t *testing.T) {
	for _, requests := range []int{1, 5, 2000, 50000} {
		for _, reset := range []bool{true, false} {
			t.Run(fmt.Sprint(requests, " reset ", reset), func(t *testing.T) {
				c := qt.New(t)
				started := make(chan struct{}, 2000)
				var group sync.WaitGroup
				group.Add(min(requests, 16))
				s := start(t, func(_ http.ResponseWriter, r *http.Request) {
					defer group.Done()
					started <- struct{}{}
					<-r.Context().Done()
				})
				conn := s.dial()
				// More than fits into all buffers: closing interrupts the write then.
				go func() { _, _ = io.WriteString(conn, strings.Repeat(get("/x"), requests)) }()
				for range min(requests, 16) {
					<-started
				}
				if reset {
					c.Assert(conn.SetLinger(0), qt.IsNil)
				}
				conn.Close()
				group.Wait()
				c.Check(started, qt.HasLen, 0)
			})
		}
	}
}

// TestHalfClosedCallerIsAnswered guards against taking a caller that has closed only its side for one that has left, also when its
// response takes longer than the time after which that is examined.
func TestHalfClosedCallerIsAnswered(t *testing.T) {
	c := qt.New(t)
	s := start(t, func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-r.Context().Done():
		case <-time.After(700 * time.Millisecond):
			io.WriteString(w, r.URL.Path)
		}
	})
	conn := s.dial()
	send(c, conn, get("/0")+get("/1"))
	c.Assert(conn.CloseWrite(), qt.IsNil)
	c.Check(responses(c, bufio.NewReader(conn), 3), qt.DeepEquals, []string{"/0", "/1 closes", "ends"})
}

// TestNothingStartsBehindAnIncompleteResponse guards against a request that takes the place of one whose response was cut short, and
// whose own response can't be sent.
func TestNothingStartsBehindAnIncompleteResponse(t *testing.T) {
	c := qt.New(t)
	var started atomic.Int64
	s := start(t, func(w http.ResponseWriter, r *http.Request) {
		if started.Add(1); r.URL.Path != "/0" {
			<-r.Context().Done()
			return
		}
		for started.Load() < 16 {
			time.Sleep(time.Millisecond)
		}
		panic(http.ErrAbortHandler)
	})
	conn := s.dial()
	for i := range 20 {
		send(c, conn, get(fmt.Sprint("/", i)))
	}
	c.Check(responses(c, bufio.NewReader(conn), 1), qt.DeepEquals, []string{"ends"})
	c.Check(started.Load(), qt.Equals, int64(16))
}

// TestNothingStartsBehindAResponseThatBreaksOffInItsBody guards against a request that starts when the rest of a response whose head has
// been sent does not come, and whose own response can't be sent (LOST).
func TestNothingStartsBehindAResponseThatBreaksOffInItsBody(t *testing.T) {
	c := qt.New(t)
	var started atomic.Int64
	arrived := make(chan struct{})
	s := start(t, func(w http.ResponseWriter, r *http.Request) {
		if started.Add(1); r.URL.Path != "/0" {
			return
		}
		c.Check(w.(interface{ HoldFollowers() bool }).HoldFollowers(), qt.IsFalse)
		w.Header().Set("Content-Length", "20000")
		_, err := io.WriteString(w, strings.Repeat("x", 10000))
		c.Check(err, qt.IsNil)
		<-arrived
		panic(http.ErrAbortHandler)
	})
	conn := s.dial()
	send(c, conn, get("/0"))
	reader := bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, nil)
	c.Assert(err, qt.IsNil)
	send(c, conn, get("/1")+get("/2"))
	time.Sleep(50 * time.Millisecond) // The requests have no effect that can be waited for while they are held.
	close(arrived)
	_, err = io.ReadAll(response.Body)
	c.Check(err, qt.ErrorIs, io.ErrUnexpectedEOF)
	c.Check(started.Load(), qt.Equals, int64(1))
}

// TestInterimResponseWaitsForItsTurn guards against "100 Continue" within or before the response to an earlier request.
func TestInterimResponseWaitsForItsTurn(t *testing.T) {
	c := qt.New(t)
	s := start(t, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(20 * time.Millisecond)
		io.Copy(w, r.Body)
	})
	conn := s.dial()
	send(c, conn, get("/0")+"POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\n")
	reader := bufio.NewReader(conn)
	for i, status := range []int{200, 100, 200} {
		if i == 2 {
			send(c, conn, "abc")
		}
		response, err := http.ReadResponse(reader, nil)
		c.Assert(err, qt.IsNil)
		c.Check(response.StatusCode, qt.Equals, status)
	}
}

// TestBudgetIsRefusedInOrder guards against request bodies and read-ahead that take the memory of responses.
func TestBudgetIsRefusedInOrder(t *testing.T) {
	c := qt.New(t)
	var refused []caller.Use
	b := caller.NewBudget(100)
	for used := 0; used <= 100; used++ {
		for _, use := range []caller.Use{caller.Bodies, caller.ReadAhead, caller.Responses} {
			if slices.Contains(refused, use) {
				continue
			}
			if !b.Reserve(use, 1) {
				refused = append(refused, use)
				continue
			}
			b.Release(use, 1)
		}
		b.Take(caller.Responses, 1)
	}
	c.Check(refused, qt.DeepEquals, []caller.Use{caller.Bodies, caller.ReadAhead, caller.Responses})
	b.Release(caller.Responses, b.Used())
	c.Check(b.Reserve(caller.Bodies, 1000), qt.IsTrue) // It could never be read otherwise.
	c.Check(b.Reserve(caller.Bodies, 1), qt.IsFalse)
}

// TestIncompleteResponseIsRecognizable guards against a response that looks complete although its handler gave up or its caller did not
// read, and against a response behind it.
func TestIncompleteResponseIsRecognizable(t *testing.T) {
	c := qt.New(t)
	s := start(t, func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/length":
			w.Header().Set("Content-Length", "10000")
			w.Write(make([]byte, 9000))
			panic(http.ErrAbortHandler)
		case "/chunked":
			w.Write(make([]byte, 9000))
			panic(http.ErrAbortHandler)
		case "/short":
			w.Header().Set("Content-Length", "10")
			w.Write(make([]byte, 9))
		case "/endless":
			for {
				if _, err := w.Write(make([]byte, 64<<10)); err != nil {
					return
				}
			}
		default:
			io.WriteString(w, r.URL.Path)
		}
	})
	for _, path := range []string{"/length", "/chunked", "/short", "/endless"} {
		for _, version := range []string{"1.1", "1.0"} {
			conn := s.dial()
			send(c, conn, strings.Replace(get("/first")+get(path)+get("/behind"), "1.1", version, -1))
			reader := bufio.NewReader(conn)
			if version == "1.1" {
				c.Check(responses(c, reader, 1), qt.DeepEquals, []string{"/first"})
			}
			if path == "/endless" {
				for s.count("caller-stalled") == 0 && version == "1.1" {
					time.Sleep(time.Millisecond)
				}
			}
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				continue // The reset has removed what was sent.
			}
			_, err = io.Copy(io.Discard, response.Body)
			if version == "1.1" {
				c.Check(err, qt.IsNotNil, qt.Commentf("%s", path))
			}
		}
	}
}

var dateLine = regexp.MustCompile("Date: [^\r]*")

var headSection = regexp.MustCompile("HTTP/1[^\\x00]*?\r\n\r\n")

// sortHeads sorts the fields of each header section.
func sortHeads(text string) string {
	return headSection.ReplaceAllStringFunc(text, func(head string) string {
		lines := strings.Split(strings.TrimSpace(head), "\r\n")
		slices.Sort(lines[1:])
		return strings.Join(lines, "\r\n") + "\r\n\r\n"
	})
}

// TestResponsesAreThoseOfNetHTTP guards against differences from net/http that callers could notice.
func TestResponsesAreThoseOfNetHTTP(t *testing.T) {
	c := qt.New(t)
	handler := func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 100))
		switch {
		case err != nil:
			w.WriteHeader(http.StatusRequestEntityTooLarge)
			io.WriteString(w, "too large")
		case r.URL.Path == "/empty":
			w.WriteHeader(http.StatusNoContent)
		case r.URL.Path == "/unchanged":
			w.WriteHeader(http.StatusNotModified)
		case r.URL.Path == "/long":
			w.Write([]byte(strings.Repeat("x", 5000)))
		case r.URL.Path == "/sized":
			w.Header().Set("Content-Length", "5000")
			w.Header()["Content-Type"] = nil
			w.Header()["Date"] = nil
			io.WriteString(w, strings.Repeat("y", 5000))
		default:
			w.Header().Add("X", "1")
			w.Header().Add("X", "2")
			fmt.Fprintf(w, "%s %s %s", r.Method, r.Host, body)
		}
	}
	s := start(t, handler)
	reference := httptest.NewServer(http.HandlerFunc(handler))
	c.Cleanup(reference.Close)
	for _, text := range []string{
		get("/"),
		get("/") + get("/empty") + get("/unchanged") + get("/long") + get("/sized") + get("/"),
		"HEAD / HTTP/1.1\r\nHost: a\r\n\r\n" + get("/"),
		"HEAD /sized HTTP/1.1\r\nHost: a\r\n\r\n" + get("/"),
		"GET / HTTP/1.0\r\n\r\n",
		"GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\nGET /empty HTTP/1.0\r\nConnection: keep-alive\r\n\r\n",
		"GET /sized HTTP/1.0\r\nConnection: keep-alive\r\n\r\nGET /long HTTP/1.0\r\nConnection: keep-alive\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n" + get("/"),
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc\r\n" + get("/"),
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\nabc" + get("/"),
		"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n0\r\nX: y\r\n\r\n" + get("/"),
		"GET http://a/ HTTP/1.1\r\nHost: a\r\n\r\n",
	} {
		exchange := func(address string) string {
			conn, err := net.Dial("tcp4", address)
			c.Assert(err, qt.IsNil)
			defer conn.Close()
			// The last request closes, so that the connection ends.
			send(c, conn, text+"GET /last HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
			data, err := io.ReadAll(conn)
			c.Assert(err, qt.IsNil)
			shortened := strings.NewReplacer(strings.Repeat("x", 5000), "5000 x", strings.Repeat("y", 5000), "5000 y").Replace(string(data))
			return dateLine.ReplaceAllString(shortened, "Date: x")
		}
		got, want := exchange(s.address), exchange(reference.Listener.Addr().String())
		got, want = sortHeads(got), sortHeads(want)
		if got != want {
			c.Errorf("%.300q: got\n%.3500q\nwant\n%.3500q", text, got, want)
		}
	}
}
