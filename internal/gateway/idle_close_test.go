package gateway_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminlift/internal/gateway"
)

// slowListener accepts connections whose reads are held up.
type slowListener struct {
	net.Listener
	// marker is in the data of the reads that are held up, each of which sends to held and goes on once closed is closed.
	marker []byte
	held   chan struct{}
	closed chan struct{}
	once   sync.Once
}

// Accept implements net.Listener.
func (l *slowListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return &slowConn{
		Conn:     conn,
		listener: l,
	}, err
}

type slowConn struct {
	net.Conn
	listener *slowListener
}

// Read implements net.Conn. Its data is on the way to the server while the connection is closed.
func (c *slowConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if bytes.Contains(data[:n], c.listener.marker) {
		c.listener.held <- struct{}{}
		<-c.listener.closed
	}
	return n, err
}

// Close implements net.Conn.
func (c *slowConn) Close() error {
	c.listener.once.Do(func() { close(c.listener.closed) })
	return c.Conn.Close()
}

// A planned stop closes idle connections. The next request of one, if it has been read in that moment, was served although its response
// could not be written any more (LOST).
func TestRequestReadFromAConnectionThatClosesAsIdleIsNotServed(t *testing.T) {
	c := qt.New(t)
	var served atomic.Int32
	server := gateway.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		served.Add(1)
		_, err := io.WriteString(w, "answer")
		c.Check(err, qt.IsNil)
	}))
	tcp, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	listener := &slowListener{
		Listener: tcp,
		marker:   []byte("/second"),
		held:     make(chan struct{}),
		closed:   make(chan struct{}),
	}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()

	conn, err := net.Dial("tcp4", tcp.Addr().String())
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	reader := bufio.NewReader(conn)
	ask := func(path string) error {
		_, err := io.WriteString(conn, "GET "+path+" HTTP/1.1\r\nHost: a\r\n\r\n")
		return err
	}
	c.Assert(ask("/first"), qt.IsNil)
	response, err := http.ReadResponse(reader, nil)
	c.Assert(err, qt.IsNil)
	_, err = io.Copy(io.Discard, response.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(ask("/second"), qt.IsNil)
	<-listener.held

	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	c.Check(server.Shutdown(ctx), qt.IsNil)
	c.Check(errors.Is(<-ended, http.ErrServerClosed), qt.IsTrue)
	answered := int32(1)
	if response, err := http.ReadResponse(reader, nil); err == nil {
		response.Body.Close()
		answered++
	}
	c.Check(served.Load(), qt.Equals, answered)
}
