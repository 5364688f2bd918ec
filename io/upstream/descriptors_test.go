package upstream_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"testing"

	qt "github.com/frankban/quicktest"

	"cuminlift/io/upstream"
)

// replacedUpstreams is the number of upstreams that come and go, each at an address of its own.
const replacedUpstreams = 2000

// openDescriptors returns the number of open file descriptors of this process.
func openDescriptors(c *qt.C) int {
	entries, err := os.ReadDir("/proc/self/fd")
	c.Assert(err, qt.IsNil)
	return len(entries)
}

// serveOnce answers the first request that arrives, and closes its connection.
func serveOnce(c *qt.C, listener net.Listener) {
	conn, err := listener.Accept()
	c.Check(err, qt.IsNil)
	defer conn.Close()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	c.Check(err, qt.IsNil)
	write(conn, fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nKeep-Alive: timeout=1\r\nContent-Length: 0\r\n\r\n", request.Header.Get("Request-Id")))
}

// Connections to upstreams that have ended are never closed, until the process has no descriptor left.
func TestDescriptorsOfReplacedUpstreamsAreNotClosed(t *testing.T) {
	c := qt.New(t)
	client := upstream.NewClient(headers())
	atStart := 0
	most := 0
	for i := range replacedUpstreams {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			serveOnce(c, listener)
		}()
		_, err = do(client, listener.Addr().String(), fmt.Sprint("r", i))
		c.Assert(err, qt.IsNil)
		listener.Close()
		<-ended
		descriptors := openDescriptors(c)
		most = max(most, descriptors)
		if i < 200 {
			atStart = most
		}
	}
	c.Check(most < 2*atStart, qt.IsTrue, qt.Commentf("up to %d descriptors with the first 200 upstreams, up to %d with %d", atStart, most, replacedUpstreams))
}
