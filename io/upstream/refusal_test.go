package upstream_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminlift/core/execution"
	"cuminlift/io/upstream"
)

// post sends a request without a body.
func post(client *upstream.Client, address, id string, atMostOnce bool) (*upstream.Response, error) {
	return client.Do(context.Background(), upstream.Request{
		Address:  address,
		Upstream: "u1",
		Method:   http.MethodPost,
		Target:   "/x",
		Host:     "a.example",
		Header: http.Header{
			"Request-Id": {id},
		},
		RequestID:  id,
		Timeout:    5 * time.Second,
		AtMostOnce: atMostOnce,
	})
}

// An upstream that writes an earlier refusal once more, where the answer to the next request is expected, makes a request that runs count
// as not run (REFUSED), or run at a second upstream (TWICE).
func TestSecondCopyOfARefusalIsNotTakenForAnAnswer(t *testing.T) {
	const refused, answered = "r0", "r1"
	for name, test := range map[string]struct {
		refusalID string
		// next is the ID of the request after the refusal.
		next       string
		atMostOnce bool
	}{
		"the same request again": {
			refusalID:  "Request-Id: r0\r\n",
			next:       refused,
			atMostOnce: true,
		},
		"the same idempotent request again": {
			refusalID: "Request-Id: r0\r\n",
			next:      refused,
		},
		"a refusal without an ID": {
			next:       answered,
			atMostOnce: true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			refusal := "HTTP/1.1 503 Service Unavailable\r\n" + test.refusalID + "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
			var mutex sync.Mutex
			refusedOn := map[net.Conn]bool{}
			address, requests := serve(c, func(conn net.Conn, number int, id string) {
				mutex.Lock()
				defer mutex.Unlock()
				if refusedOn[conn] {
					write(conn, refusal)
				}
				if number == 1 {
					refusedOn[conn] = true
					write(conn, refusal)
					return
				}
				write(conn, formatResponse(id, "for "+id))
			})
			client := upstream.NewClient(headers())
			send := func(id string) *upstream.Response {
				response, err := post(client, address, id, test.atMostOnce)
				c.Assert(err, qt.IsNil)
				c.Assert(response.Body.Close(), qt.IsNil)
				return response
			}
			c.Check(send(refused).Evidence.Proof(), qt.Equals, execution.Stated)
			c.Check(send(test.next).Evidence.Proof(), qt.Equals, execution.None)
			c.Check(requests.Load(), qt.Equals, int64(2))
			// The connections without a refusal are kept.
			for i := range 5 {
				c.Check(send(fmt.Sprint("r", i+2)).Evidence.Proof(), qt.Equals, execution.None)
			}
			c.Check(client.Dials() <= 2, qt.IsTrue)
		})
	}
}

// Bytes behind an earlier answer that have the form of a refusal, without an ID, make a request that must not run twice run at a second
// upstream (TWICE).
func TestRefusalWithoutIDOnAKeptConnectionProvesNothing(t *testing.T) {
	c := qt.New(t)
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	address, _ := serve(c, func(conn net.Conn, number int, id string) {
		if number != 1 {
			write(conn, refusal)
		}
		write(conn, formatResponse(id, "for "+id))
	})
	client := upstream.NewClient(headers())
	response, err := post(client, address, "r0", true)
	c.Assert(err, qt.IsNil)
	response.Body.Close()
	var unknown *upstream.UnknownOutcomeError
	_, err = post(client, address, "r1", true)
	c.Check(err, qt.ErrorAs, &unknown)
	// On a new connection there is nothing that it could stand behind.
	response, err = post(client, address, "r2", true)
	c.Assert(err, qt.IsNil)
	c.Check(response.Evidence.Proof(), qt.Equals, execution.Stated)
	response.Body.Close()
}
