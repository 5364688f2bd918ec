package upstream_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminlift/io/upstream"
)

// maxTestBytes ends an endless answer, so that a client that reads it all fails instead of running forever.
const maxTestBytes = 64 << 20

// writeForever writes head, and then part again and again until the client closes the connection. It adds the bytes written to sent.
func writeForever(conn net.Conn, head, part string, sent *atomic.Int64) {
	n, err := io.WriteString(conn, head)
	sent.Add(int64(n))
	for total := n; err == nil && total < maxTestBytes; total += n {
		n, err = io.WriteString(conn, part)
		sent.Add(int64(n))
	}
	conn.Close()
}

// maxHeadAccepted is far above any proper head, and includes what the sockets' buffers take.
const maxHeadAccepted = 16 << 20

// TestEndlessHeadIsGivenUp guards against an upstream whose answer has no end before its body. It used to be read into memory until the
// request's deadline.
func TestEndlessHeadIsGivenUp(t *testing.T) {
	for name, answer := range map[string]struct{ head, part string }{
		"header lines":  {"HTTP/1.1 200 OK\r\n", strings.Repeat("X-Filler: some bytes\r\n", 100)},
		"one line":      {"HTTP/1.1 200 OK\r\nX-Filler: ", strings.Repeat("x", 4096)},
		"a status line": {"HTTP/1.1 200 ", strings.Repeat("x", 4096)},
		"informational": {"", strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n", 100)},
		"other answers": {"", strings.Repeat("HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 4\r\n\r\nbody", 100)},
		"one of them":   {"HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 100000000000\r\n\r\n", strings.Repeat("x", 4096)},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var sent atomic.Int64
			address, _ := serve(c, func(conn net.Conn, _ int, _ string) {
				writeForever(conn, answer.head, answer.part, &sent)
			})
			client := upstream.NewClient(headers())
			_, err := do(client, address, "r1")
			var unknown *upstream.UnknownOutcomeError
			c.Check(errors.As(err, &unknown), qt.IsTrue, qt.Commentf("%v", err))
			c.Check(sent.Load() < maxHeadAccepted, qt.IsTrue, qt.Commentf("%d bytes were read", sent.Load()))
		})
	}
}

// TestEndlessFramingOfABodyIsAnError covers chunks whose framing never ends.
func TestEndlessFramingOfABodyIsAnError(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, answer := range map[string]struct{ head, part string }{
		"chunk extension":    {head + "5;", strings.Repeat("x", 4096)},
		"one-byte chunks":    {head, strings.Repeat("1;"+strings.Repeat("y", 200)+"\r\nz\r\n", 100)},
		"trailers":           {head + "5\r\nhello\r\n0\r\n", strings.Repeat("X-Filler: some bytes\r\n", 100)},
		"a chunk size":       {head, strings.Repeat("0", 4096)},
		"one line, trailing": {head + "0\r\nX-Filler: ", strings.Repeat("x", 4096)},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var sent atomic.Int64
			address, _ := serve(c, func(conn net.Conn, _ int, _ string) {
				writeForever(conn, answer.head, answer.part, &sent)
			})
			client := upstream.NewClient(headers())
			_, err := do(client, address, "r1")
			c.Check(err, qt.IsNotNil)
			c.Check(sent.Load() < maxHeadAccepted, qt.IsTrue, qt.Commentf("%d bytes were read", sent.Load()))
		})
	}
}

// TestBodyPastItsLengthIsNotRead covers an upstream that goes on sending after a complete answer. The first bytes too many come with the
// answer; had they come later than the check of an idle connection, the next request on it would get no valid answer.
func TestBodyPastItsLengthIsNotRead(t *testing.T) {
	c := qt.New(t)
	var sent atomic.Int64
	address, _ := serve(c, func(conn net.Conn, number int, id string) {
		if number == 1 {
			writeForever(conn, formatResponse(id, "for "+id)+"too many", strings.Repeat("x", 4096), &sent)
			return
		}
		write(conn, formatResponse(id, "for "+id))
	})
	client := upstream.NewClient(headers())
	for _, id := range []string{"r1", "r2"} {
		body, err := do(client, address, id)
		c.Assert(err, qt.IsNil)
		c.Check(body, qt.Equals, "for "+id)
	}
	c.Check(sent.Load() < maxHeadAccepted, qt.IsTrue, qt.Commentf("%d bytes were read", sent.Load()))
}

// TestClosingAnUnreadAnswerDoesNotWaitForIt guards against a request that hangs in a silent upstream after it has been given up: the
// rest of an answer was waited for without any bound.
func TestClosingAnUnreadAnswerDoesNotWaitForIt(t *testing.T) {
	c := qt.New(t)
	release := make(chan struct{})
	address, _ := serve(c, func(conn net.Conn, _ int, id string) {
		write(conn, "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nRequest-Id: "+id+"\r\nContent-Length: 10\r\n\r\n")
		<-release
		conn.Close()
	})
	client := upstream.NewClient(headers())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	response, err := client.Do(ctx, upstream.Request{
		Address:   address,
		Upstream:  "u1",
		Method:    http.MethodGet,
		Target:    "/x",
		Host:      "a.example",
		Header:    http.Header{"Request-Id": {"r1"}},
		RequestID: "r1",
		Timeout:   time.Second,
	})
	c.Assert(err, qt.IsNil)
	closed := make(chan struct{})
	go func() {
		response.Body.Close()
		close(closed)
	}()
	var once sync.Once
	watchdog := time.AfterFunc(5*time.Second, func() {
		c.Error("closing waits for the upstream")
		once.Do(func() { close(release) })
	})
	<-closed
	watchdog.Stop()
	once.Do(func() { close(release) })
}

// The head of an answer to a grant or a health check takes 10 MB of memory for each call.
func TestEndlessHeadOfAnAnswerToACallIsGivenUp(t *testing.T) {
	c := qt.New(t)
	const libraryLimit = 10 << 20
	var sent atomic.Int64
	address, _ := serve(c, func(conn net.Conn, _ int, _ string) {
		writeForever(conn, "HTTP/1.1 200 OK\r\n", strings.Repeat("X-Filler: some bytes\r\n", 100), &sent)
	})
	client := upstream.NewHTTPClient(upstream.HTTPConfig{
		Connections: 1,
		DialTimeout: time.Second,
	})
	_, err := client.Get("http://" + address + "/healthz")
	c.Check(err, qt.IsNotNil)
	c.Check(sent.Load() < libraryLimit, qt.IsTrue, qt.Commentf("%d bytes were read", sent.Load()))
}
