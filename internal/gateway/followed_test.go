package gateway_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// largeBody does not fit into the buffer of an ordinary answer.
const largeBody = 1_000_000

// largeUpstream registers an upstream that answers /read/large with largeBody bytes, and breaks it off halfway if breaks is set, and all
// else with a short body.
func (k *cluster) largeUpstream(id string, breaks bool) (small *atomic.Int64) {
	small = &atomic.Int64{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Response-Signature", id)
		if !strings.HasPrefix(r.URL.Path, "/read/large") {
			small.Add(1)
			_, _ = io.WriteString(w, "small") // The test checks what its caller gets.
			return
		}
		w.Header().Set("Content-Length", fmt.Sprint(largeBody))
		_, _ = w.Write(bytes.Repeat([]byte("x"), largeBody/2))
		w.(http.Flusher).Flush()
		time.Sleep(100 * time.Millisecond)
		if breaks {
			panic(http.ErrAbortHandler)
		}
		_, _ = w.Write(bytes.Repeat([]byte("y"), largeBody-largeBody/2))
	}))
	k.c.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	k.registerPlain(id, server.Listener.Addr().String(), 10)
	return small
}

// An answer that breaks off takes along requests behind it on the caller's connection that run at sound upstreams (LOST).
func TestRequestsBehindAnAnswerThatBreaksOffAreLost(t *testing.T) {
	for _, breaks := range []bool{true, false} {
		t.Run(fmt.Sprint("breaks=", breaks), func(t *testing.T) {
			c := qt.New(t)
			withReadAhead(c)
			k := newCluster(c, 1)
			k.configure(1, "plain")
			small := k.largeUpstream("p0", breaks)
			k.waitPlain("n0")
			eventually(func() bool { return k.leaseTerm() > 0 })
			const followers = 5
			for round := range 5 {
				before := small.Load()
				conn := k.dial("n0")
				reader := bufio.NewReader(conn)
				_, err := io.WriteString(conn, requestText(http.MethodGet, "/read/large", fmt.Sprint("large-", round)))
				c.Assert(err, qt.IsNil)
				time.Sleep(20 * time.Millisecond)
				for i := range followers {
					_, err := io.WriteString(conn, requestText(http.MethodGet, "/read/x", fmt.Sprint("small-", round, "-", i)))
					c.Assert(err, qt.IsNil)
				}
				response, err := http.ReadResponse(reader, nil)
				c.Assert(err, qt.IsNil)
				body, err := io.ReadAll(response.Body)
				if !breaks {
					c.Check(err, qt.IsNil)
					c.Check(body, qt.HasLen, largeBody)
				}
				answered := int64(0)
				for range followers {
					response, err = http.ReadResponse(reader, nil)
					if err != nil {
						break
					}
					if body, err = io.ReadAll(response.Body); err != nil {
						break
					}
					answered++
					c.Check(response.StatusCode == http.StatusOK && string(body) == "small", qt.IsTrue, qt.Commentf("%d %q", response.StatusCode, body))
				}
				c.Check(answered, qt.Equals, small.Load()-before, qt.Commentf("answered, of those that ran"))
			}
		})
	}
}
