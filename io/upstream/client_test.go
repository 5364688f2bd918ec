package upstream_test

import (
	"bufio"
	"context"
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

// handler writes the raw response to one request on its connection. number counts the requests of all connections from 1.
type handler func(conn net.Conn, number int, id string)

// serve starts an upstream that responds with handle, and returns its address and its request counter.
func serve(c *qt.C, handle handler) (address string, requests *atomic.Int64) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { listener.Close() })
	requests = &atomic.Int64{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					if _, err := io.Copy(io.Discard, request.Body); err != nil {
						return
					}
					handle(conn, int(requests.Add(1)), request.Header.Get("Request-Id"))
				}
			}()
		}
	}()
	return listener.Addr().String(), requests
}

func headers() upstream.Headers {
	return upstream.Headers{
		Request:          "Request-Id",
		Deadline:         "Deadline-Ms",
		Signature:        "Response-Signature",
		ExpectedUpstream: "Expect-Instance",
		Load:             "Server-Load",
		NotRun:           "Not-Executed",
		Key:              "Shard-Key",
	}
}

func do(client *upstream.Client, address, id string) (string, error) {
	response, err := client.Do(context.Background(), upstream.Request{
		Address:  address,
		Upstream: "u1",
		Method:   http.MethodGet,
		Target:   "/x",
		Host:     "a.example",
		Header: http.Header{
			"Request-Id": {id},
		},
		RequestID: id,
		Timeout:   5 * time.Second,
	})
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

func formatResponse(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func write(conn net.Conn, text string) {
	_, _ = io.WriteString(conn, text) // The client may have disconnected. The test checks what it received.
}

func TestEachRequestGetsItsOwnResponse(t *testing.T) {
	c := qt.New(t)
	address, _ := serve(c, func(conn net.Conn, _ int, id string) {
		write(conn, formatResponse(id, "for "+id))
	})
	client := upstream.NewClient(headers())
	for i := range 20 {
		id := fmt.Sprint("r", i)
		body, err := do(client, address, id)
		c.Assert(err, qt.IsNil)
		c.Assert(body, qt.Equals, "for "+id)
	}
	c.Check(client.Dials(), qt.Equals, int64(1))
}

func TestDuplicateResponseIsDiscarded(t *testing.T) {
	c := qt.New(t)
	address, _ := serve(c, func(conn net.Conn, number int, id string) {
		if number == 2 {
			// The duplicate is received in place of the next response.
			write(conn, formatResponse("r0", "extra"))
		}
		write(conn, formatResponse(id, "for "+id))
	})
	client := upstream.NewClient(headers())
	for i := range 3 {
		id := fmt.Sprint("r", i)
		body, err := do(client, address, id)
		c.Assert(err, qt.IsNil)
		c.Assert(body, qt.Equals, "for "+id)
	}
	c.Check(client.Dials(), qt.Equals, int64(2), qt.Commentf("a desynchronized connection must not be reused"))
}

func TestBytesAfterResponseAreDiscarded(t *testing.T) {
	c := qt.New(t)
	address, _ := serve(c, func(conn net.Conn, number int, id string) {
		text := formatResponse(id, "for "+id)
		if number == 1 {
			text += formatResponse("r1", "forged")
		}
		write(conn, text)
	})
	client := upstream.NewClient(headers())
	for i := range 3 {
		id := fmt.Sprint("r", i)
		body, err := do(client, address, id)
		c.Assert(err, qt.IsNil)
		c.Assert(body, qt.Equals, "for "+id)
	}
}

func TestTruncatedResponseIsAnError(t *testing.T) {
	c := qt.New(t)
	address, _ := serve(c, func(conn net.Conn, _ int, id string) {
		text := formatResponse(id, "a long body")
		write(conn, text[:len(text)-3])
		conn.Close()
	})
	client := upstream.NewClient(headers())
	_, err := do(client, address, "r0")
	c.Check(err, qt.Not(qt.IsNil))
}

func TestResetOfResponseWithoutLengthIsAnError(t *testing.T) {
	c := qt.New(t)
	address, _ := serve(c, func(conn net.Conn, _ int, id string) {
		write(conn, "HTTP/1.1 200 OK\r\nRequest-Id: "+id+"\r\n\r\npart")
		time.Sleep(20 * time.Millisecond)
		conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	})
	client := upstream.NewClient(headers())
	_, err := do(client, address, "r0")
	c.Check(err, qt.Not(qt.IsNil))
}

func TestRequestsAreNeverRetried(t *testing.T) {
	c := qt.New(t)
	address, requests := serve(c, func(conn net.Conn, number int, id string) {
		if number == 1 {
			write(conn, formatResponse(id, "fine"))
			return
		}
		conn.Close() // Simulates an upstream that closes a persistent connection upon the next request.
	})
	client := upstream.NewClient(headers())
	_, err := do(client, address, "r0")
	c.Assert(err, qt.IsNil)
	_, err = do(client, address, "r1")
	var unknown *upstream.UnknownOutcomeError
	c.Assert(errors.As(err, &unknown), qt.IsTrue, qt.Commentf("%v", err))
	c.Check(requests.Load(), qt.Equals, int64(2))
}

func TestFailedDialReturnsNotSentError(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	address := listener.Addr().String()
	listener.Close()
	_, err = do(upstream.NewClient(headers()), address, "r0")
	var unsent *upstream.NotSentError
	c.Check(errors.As(err, &unsent), qt.IsTrue, qt.Commentf("%v", err))
}

func TestMalformedResponseReturnsUnknownOutcomeError(t *testing.T) {
	c := qt.New(t)
	address, _ := serve(c, func(conn net.Conn, _ int, _ string) {
		write(conn, "no answer at all\r\n\r\n")
	})
	_, err := do(upstream.NewClient(headers()), address, "r0")
	var unknown *upstream.UnknownOutcomeError
	c.Check(errors.As(err, &unknown), qt.IsTrue, qt.Commentf("%v", err))
}

func TestCanceledContextClosesConnection(t *testing.T) {
	c := qt.New(t)
	closed := make(chan struct{})
	address, _ := serve(c, func(conn net.Conn, _ int, _ string) {
		var buffer [1]byte
		_, _ = conn.Read(buffer[:]) // Returns when the client closes the connection.
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err := upstream.NewClient(headers()).Do(ctx, upstream.Request{
		Address:  address,
		Upstream: "u1",
		Method:   http.MethodGet,
		Target:   "/x",
		Host:     "a.example",
		Header:   http.Header{},
		Timeout:  5 * time.Second,
	})
	c.Check(errors.Is(err, context.Canceled), qt.IsTrue, qt.Commentf("%v", err))
	<-closed
}

func TestEarlyResponseToLongBodyKeepsConnectionUsable(t *testing.T) {
	c := qt.New(t)
	long := strings.Repeat("b", 4<<20)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					// Respond before reading the body, and read it afterwards.
					write(conn, formatResponse(request.Header.Get("Request-Id"), "early"))
					time.Sleep(10 * time.Millisecond)
					if n, err := io.Copy(io.Discard, request.Body); err != nil || n != request.ContentLength {
						return
					}
				}
			}()
		}
	}()
	client := upstream.NewClient(headers())
	for i := range 3 {
		response, err := client.Do(context.Background(), upstream.Request{
			Address:  listener.Addr().String(),
			Upstream: "u1",
			Method:   http.MethodPost,
			Target:   "/x",
			Host:     "a.example",
			Header: http.Header{
				"Request-Id": {fmt.Sprint(i)},
			},
			Body:      []byte(long),
			RequestID: fmt.Sprint(i),
			Timeout:   5 * time.Second,
		})
		c.Assert(err, qt.IsNil)
		body, err := io.ReadAll(response.Body)
		c.Assert(err, qt.IsNil)
		c.Check(string(body), qt.Equals, "early")
		response.Body.Close()
	}
}
