package upstream_test

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminlift/io/upstream"
)

// checkHealth sends one health check.
func checkHealth(c *qt.C, address string) (bool, error) {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+address+"/healthz", nil)
	c.Assert(err, qt.IsNil)
	return upstream.CheckHealth(upstream.NewHTTPClient(upstream.HTTPConfig{
		Connections: 1,
		DialTimeout: time.Second,
	}), request)
}

// TestHealthCheckWhoseAnswerHasNoEndIsNotAnswered guards against an upstream that counts as healthy although it sends bytes that are no
// answer.
func TestHealthCheckWhoseAnswerHasNoEndIsNotAnswered(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, answer := range map[string]struct{ head, part string }{
		"header lines":    {"HTTP/1.1 200 OK\r\n", strings.Repeat("X-Filler: some bytes\r\n", 100)},
		"one line":        {"HTTP/1.1 200 OK\r\nX-Filler: ", strings.Repeat("x", 4096)},
		"a status line":   {"HTTP/1.1 200 ", strings.Repeat("x", 4096)},
		"informational":   {"", strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n", 100)},
		"no HTTP":         {"", strings.Repeat("\x00\x01\x02\x03", 1024)},
		"a length":        {"HTTP/1.1 200 OK\r\nContent-Length: 100000000000\r\n\r\n", strings.Repeat("x", 4096)},
		"no length":       {"HTTP/1.1 200 OK\r\n\r\n", strings.Repeat("x", 4096)},
		"chunks":          {chunked, "1000\r\n" + strings.Repeat("x", 4096) + "\r\n"},
		"one-byte chunks": {chunked, strings.Repeat("1\r\nx\r\n", 700)},
		"chunk extension": {chunked + "5;", strings.Repeat("x", 4096)},
		"trailers":        {chunked + "0\r\n", strings.Repeat("X-Filler: some bytes\r\n", 100)},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var sent atomic.Int64
			address, _ := serve(c, func(conn net.Conn, _ int, _ string) {
				writeForever(conn, answer.head, answer.part, &sent)
			})
			healthy, err := checkHealth(c, address)
			c.Check(err, qt.IsNotNil)
			c.Check(healthy, qt.IsFalse)
			c.Check(sent.Load() < maxHeadAccepted, qt.IsTrue, qt.Commentf("%d bytes were read", sent.Load()))
		})
	}
}

// TestHealthIsReadFromTheStatus covers complete answers, also with bytes behind them.
func TestHealthIsReadFromTheStatus(t *testing.T) {
	for answer, want := range map[string]bool{
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n":                                   true,
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok and more":                        true,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n":      true,
		"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n":                  false,
		"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok": true,
	} {
		c := qt.New(t)
		address, _ := serve(c, func(conn net.Conn, _ int, _ string) { write(conn, answer) })
		healthy, err := checkHealth(c, address)
		c.Check(err, qt.IsNil, qt.Commentf("%q", answer))
		c.Check(healthy, qt.Equals, want, qt.Commentf("%q", answer))
	}
}
