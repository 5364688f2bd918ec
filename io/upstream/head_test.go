package upstream_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminlift/io/upstream"
)

// headMemory counts what is reserved.
type headMemory struct {
	total    int64
	reserved atomic.Int64
	asked    atomic.Int64
}

// Reserve implements upstream.HeadMemory.
func (m *headMemory) Reserve(bytes int64) bool {
	m.asked.Add(bytes)
	if m.reserved.Add(bytes) > m.total {
		m.reserved.Add(-bytes)
		return false
	}
	return true
}

// Release implements upstream.HeadMemory.
func (m *headMemory) Release(bytes int64) { m.reserved.Add(-bytes) }

func newHeadClient(m *headMemory) *upstream.Client {
	return upstream.NewConfiguredClient(upstream.ClientConfig{
		Headers: headers(),
		Heads:   m,
	})
}

func lines(count int) string {
	var b strings.Builder
	for i := range count {
		fmt.Fprintf(&b, "X-%d: y\r\n", i)
	}
	return b.String()
}

// TestMemoryOfHeadsIsReturned guards against answers that are given up because the memory of heads that are gone still counts.
func TestMemoryOfHeadsIsReturned(t *testing.T) {
	large := lines(1000)
	whole := func(id string) string {
		return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nContent-Length: 4\r\n" + large + "\r\nbody"
	}
	for name, test := range map[string]struct {
		answer func(id string) string
		valid  bool
	}{
		"whole":                  {whole, true},
		"behind informational":   {func(id string) string { return "HTTP/1.1 103 Early Hints\r\n" + large + "\r\n" + whole(id) }, true},
		"behind another's":       {func(id string) string { return whole("other") + whole(id) }, true},
		"no HTTP":                {func(string) string { return strings.Repeat("x", 64<<10) }, false},
		"breaks off in the head": {func(string) string { return "HTTP/1.1 200 OK\r\n" + large }, false},
		"breaks off in the body": {func(id string) string { return strings.TrimSuffix(whole(id), "dy") }, false},
		"too many lines": {func(id string) string {
			return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nContent-Length: 0\r\n" + lines(4000) + "\r\n"
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			address, _ := serve(c, func(conn net.Conn, _ int, id string) {
				write(conn, test.answer(id))
				if !test.valid {
					conn.Close()
				}
			})
			memory := &headMemory{
				total: 1 << 30,
			}
			client := newHeadClient(memory)
			for _, id := range []string{"r1", "r2"} {
				body, err := do(client, address, id)
				if test.valid {
					c.Check(err, qt.IsNil)
					c.Check(body, qt.Equals, "body")
				} else {
					c.Check(err, qt.IsNotNil)
				}
			}
			c.Check(memory.asked.Load() > 0, qt.IsTrue)
			c.Check(memory.reserved.Load(), qt.Equals, int64(0))
		})
	}
}

// TestLargeHeadWithoutMemoryIsGivenUp covers answers that come while the heads of others take all memory.
func TestLargeHeadWithoutMemoryIsGivenUp(t *testing.T) {
	c := qt.New(t)
	proper := "Content-Type: text/plain\r\n" + lines(20)
	address, _ := serve(c, func(conn net.Conn, _ int, id string) {
		extra := proper
		if id == "large" {
			extra = lines(1000)
		}
		body := strings.Repeat("\n", 20_000) // It arrives with the head and is no part of it.
		write(conn, fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: %d\r\n%s\r\n%s", id, len(body), extra, body))
	})
	client := newHeadClient(&headMemory{})
	_, err := do(client, address, "large")
	var unknown *upstream.UnknownOutcomeError
	c.Check(errors.As(err, &unknown), qt.IsTrue, qt.Commentf("%v", err))
	for i := range 5 {
		body, err := do(client, address, fmt.Sprint("r", i))
		c.Check(err, qt.IsNil)
		c.Check(body, qt.HasLen, 20_000)
	}
}

// TestMemoryOfAHeadIsHeldUntilTheBodyIsClosed covers answers whose bodies take long.
func TestMemoryOfAHeadIsHeldUntilTheBodyIsClosed(t *testing.T) {
	c := qt.New(t)
	address, _ := serve(c, func(conn net.Conn, _ int, id string) {
		write(conn, "HTTP/1.1 200 OK\r\nRequest-Id: "+id+"\r\nContent-Length: 4\r\n"+lines(1000)+"\r\nbody")
	})
	memory := &headMemory{
		total: 1 << 30,
	}
	response, err := newHeadClient(memory).Do(t.Context(), upstream.Request{
		Address:   address,
		Upstream:  "u1",
		Method:    http.MethodGet,
		Target:    "/x",
		Host:      "a.example",
		Header:    http.Header{"Request-Id": {"r1"}},
		RequestID: "r1",
		Timeout:   time.Minute,
	})
	c.Assert(err, qt.IsNil)
	_, err = io.Copy(io.Discard, response.Body)
	c.Assert(err, qt.IsNil)
	c.Check(memory.reserved.Load() > 0, qt.IsTrue)
	response.Body.Close()
	c.Check(memory.reserved.Load(), qt.Equals, int64(0))
}
