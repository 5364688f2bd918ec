package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// An answer whose caller reads nothing is written for ever, and keeps its memory and its slot.
func TestUnreadAnswersAreGivenUp(t *testing.T) {
	c := qt.New(t)
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
	k.put("servers", "p0", fmt.Sprintf(`{"service":"plain","addr":%q,"zone":"z1","slots":20,"state":"ready","warmup_left":"0ms","born":1}`,
		server.Listener.Addr().String()))
	k.waitPlain("n0")
	conn := k.dial("n0")
	defer conn.Close()
	// The system's buffers take the first answers.
	for i := range 100 {
		_, err := io.WriteString(conn, requestText(http.MethodGet, "/read/x", fmt.Sprint("unread-", i)))
		c.Assert(err, qt.IsNil)
	}
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
