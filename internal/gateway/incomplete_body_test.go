package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
)

// A request whose body is malformed, or ends early, gets an empty success (MIXED).
func TestIncompleteBodyGetsAnEmptySuccess(t *testing.T) {
	for _, ahead := range []bool{false, true} {
		t.Run(fmt.Sprint("read-ahead=", ahead), func(t *testing.T) {
			c := qt.New(t)
			if ahead {
				withReadAhead(c)
			}
			k := newCluster(c, 1)
			k.configure(1, "plain")
			k.answeringUpstreams("n0")
			const head = "POST /order/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: incomplete\r\nDeadline-Ms: 2000\r\n"
			conn := k.dial("n0")
			_, err := io.WriteString(conn, head+"Transfer-Encoding: chunked\r\n\r\n3\r\none\r\nzz\r\n\r\n")
			c.Assert(err, qt.IsNil)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			c.Assert(err, qt.IsNil)
			defer response.Body.Close()
			c.Check(response.StatusCode, qt.Equals, http.StatusBadRequest)

			for _, text := range []string{"Content-Length: 3\r\n\r\non", "Transfer-Encoding: chunked\r\n\r\n3\r\non"} {
				conn := k.dial("n0")
				_, err := io.WriteString(conn, head+text)
				c.Assert(err, qt.IsNil)
				c.Assert(conn.(*net.TCPConn).CloseWrite(), qt.IsNil)
				response, err := http.ReadResponse(bufio.NewReader(conn), nil)
				if err != nil {
					continue // A closed connection promises nothing.
				}
				response.Body.Close()
				c.Check(response.StatusCode >= http.StatusBadRequest, qt.IsTrue, qt.Commentf("status %d", response.StatusCode))
			}
		})
	}
}
