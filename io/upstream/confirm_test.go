package upstream_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminlift/io/upstream"
)

// TestUnconfirmedRequestIsNotSent guards against a request that is written although its upstream was excluded while it waited for the
// connection, and against losing that connection.
func TestUnconfirmedRequestIsNotSent(t *testing.T) {
	c := qt.New(t)
	seen := make(chan string, 10)
	address, _ := serve(c, func(conn net.Conn, _ int, id string) {
		seen <- id
		write(conn, formatResponse(id, "for "+id))
	})
	client := upstream.NewClient(headers())
	for range 2 {
		_, err := client.Do(context.Background(), upstream.Request{
			Address:   address,
			Upstream:  "u1",
			Method:    http.MethodGet,
			Target:    "/x",
			Host:      "a.example",
			RequestID: "unconfirmed",
			Timeout:   time.Second,
			Confirm:   func() bool { return false },
		})
		var notSent *upstream.NotSentError
		c.Check(errors.As(err, &notSent), qt.IsTrue)
		c.Check(errors.Is(err, upstream.ErrNotConfirmed), qt.IsTrue)
	}
	body, err := do(client, address, "r1")
	c.Assert(err, qt.IsNil)
	c.Check(body, qt.Equals, "for r1")
	c.Check(<-seen, qt.Equals, "r1")
	c.Check(client.Dials(), qt.Equals, int64(1))
}
