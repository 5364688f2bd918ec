package caller_test

import (
	"bufio"
	"io"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestResponseIsNotLostWithOneBehindItWhoseTimeIsOver guards against a response that is complete and not sent, because it is written
// together with one whose deadline has passed while it waited for its turn (LOST).
func TestResponseIsNotLostWithOneBehindItWhoseTimeIsOver(t *testing.T) {
	c := qt.New(t)
	over := make(chan struct{})
	s := start(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/first" {
			<-over
			time.Sleep(50 * time.Millisecond) // The other handler returns meanwhile.
			io.WriteString(w, r.URL.Path)
			return
		}
		defer close(over)
		err := http.NewResponseController(w).SetWriteDeadline(time.Now().Add(50 * time.Millisecond))
		c.Check(err, qt.IsNil)
		for range 10 {
			if _, err := w.Write(make([]byte, 3<<10)); err != nil {
				panic(http.ErrAbortHandler)
			}
		}
	})
	conn := s.dial()
	send(c, conn, get("/first")+get("/second"))
	c.Check(responses(c, bufio.NewReader(conn), 1), qt.DeepEquals, []string{"/first"})
}
