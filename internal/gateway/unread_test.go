package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// unreadTimeout is how long a caller may read nothing.
const unreadTimeout = 5 * time.Second

// largeAnswers is a service whose answers are passed on whole.
func largeAnswers(c *qt.C) *cluster {
	k := newCluster(c, 1)
	k.configure(1, "plain")
	body := strings.Repeat("x", 240<<10)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Response-Signature", "s")
		_, err := io.WriteString(w, body)
		c.Check(err, qt.IsNil)
	}))
	c.Cleanup(server.Close)
	k.registerPlain("p0", server.Listener.Addr().String(), 20)
	k.waitPlain("n0")
	return k
}

// dialForMany sends so many requests on a connection that the system's buffers can't take all answers.
func (k *cluster) dialForMany(instance string) net.Conn {
	conn := k.dial(instance)
	for i := range 100 {
		_, err := io.WriteString(conn, requestText(http.MethodGet, "/read/x", fmt.Sprint(conn.LocalAddr(), "-", i)))
		k.c.Assert(err, qt.IsNil)
	}
	return conn
}

// An answer whose caller reads nothing is written for ever, and keeps its memory and its slot.
func TestUnreadAnswersAreGivenUp(t *testing.T) {
	c := qt.New(t)
	k := largeAnswers(c)
	k.dialForMany("n0")
	writing := func(since time.Time, wanted bool) bool {
		for (answering() > 0) != wanted {
			if time.Since(since) > 12*time.Second {
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
		return true
	}
	// An answer is written for longer than two looks.
	c.Assert(writing(time.Now(), true), qt.IsTrue)
	time.Sleep(500 * time.Millisecond)
	c.Assert(writing(time.Now(), true), qt.IsTrue)
	c.Check(writing(time.Now(), false), qt.IsTrue, qt.Commentf("%d answers are written although nothing is read", answering()))
}

// A caller that reads slowly is cut off as if it read nothing.
func TestSlowReadersGetTheirAnswers(t *testing.T) {
	const interval = 100 * time.Millisecond
	c := qt.New(t)
	k := largeAnswers(c)
	var group sync.WaitGroup
	for _, rate := range []int{30 << 10, 60 << 10, 150 << 10} {
		conn := k.dialForMany("n0")
		group.Go(func() {
			part := make([]byte, int64(rate)*int64(interval)/int64(time.Second))
			for start := time.Now(); time.Since(start) < 4*unreadTimeout; time.Sleep(interval) {
				if _, err := io.ReadFull(conn, part); err != nil {
					c.Errorf("at %d bytes/s, cut off after %v: %v", rate, time.Since(start), err)
					return
				}
			}
		})
	}
	group.Wait()
}
