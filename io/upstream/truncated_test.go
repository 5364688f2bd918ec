package upstream_test

import (
	"fmt"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"

	"cuminlift/io/upstream"
)

// An upstream that ends within the head of its answer, or before the end of a body of known length, must not yield a complete answer.
func TestAnswerThatEndsEarlyIsNeverComplete(t *testing.T) {
	c := qt.New(t)
	for name, answer := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nRequest-Id: r0\r\nResponse-Signature: s\r\nContent-Length: 12\r\n\r\ntwelve bytes",
		"chunks":  "HTTP/1.1 200 OK\r\nRequest-Id: r0\r\nResponse-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\nc\r\ntwelve bytes\r\n0\r\n\r\n",
		"empty":   "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nRequest-Id: r0\r\nResponse-Signature: s\r\n\r\n",
		"hint":    "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: r0\r\nContent-Length: 2\r\n\r\nok",
		"refusal": "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: r0\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
	} {
		address, _ := serve(c, func(conn net.Conn, number int, _ string) {
			write(conn, answer[:number])
			conn.Close()
		})
		for end := 1; end < len(answer); end++ {
			body, err := do(upstream.NewClient(headers()), address, "r0")
			c.Check(err, qt.IsNotNil, qt.Commentf("%s: body %q after %d bytes: %q", name, body, end, answer[:end]))
		}
		_, err := do(upstream.NewClient(headers()), address, "r0")
		c.Check(err, qt.IsNil, qt.Commentf("%s", name))
	}
	// A body without a length ends with its connection, but its head does not.
	head := "HTTP/1.1 200 OK\r\nRequest-Id: r0\r\nResponse-Signature: s\r\n\r\n"
	address, _ := serve(c, func(conn net.Conn, number int, _ string) {
		write(conn, head[:number])
		conn.Close()
	})
	for end := 1; end < len(head); end++ {
		_, err := do(upstream.NewClient(headers()), address, "r0")
		c.Check(err, qt.IsNotNil, qt.Commentf("%s", fmt.Sprintf("after %q", head[:end])))
	}
}
