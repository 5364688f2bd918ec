package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// The log names each request that ends without an answer, and why: otherwise a caller that has left can't be told from a connection that
// the instance has closed.
func TestRequestThatEndsWithoutAnAnswerIsLogged(t *testing.T) {
	for _, ahead := range []bool{false, true} {
		t.Run(fmt.Sprint("read-ahead=", ahead), func(t *testing.T) {
			c := qt.New(t)
			if ahead {
				withReadAhead(c)
			}
			k := newCluster(c, 0)
			log := &lockedBuffer{}
			k.log = log
			k.start("n0")
			k.configure(1, "plain")
			u := k.answeringUpstreams("n0")
			asked := make(chan struct{}, 1)
			u.setAnswer(func(w http.ResponseWriter) bool {
				asked <- struct{}{}
				time.Sleep(500 * time.Millisecond)
				return answerOK(w)
			})
			conn := k.dial("n0")
			_, err := io.WriteString(conn, requestText(http.MethodGet, "/read/x", "left-early"))
			c.Assert(err, qt.IsNil)
			<-asked
			c.Assert(conn.Close(), qt.IsNil)
			line := ""
			eventually(func() bool {
				for _, text := range strings.Split(log.String(), "\n") {
					if strings.Contains(text, "request not answered") {
						line = text
					}
				}
				return line != ""
			})
			for _, field := range []string{"request=left-early", `cause="connection closed by the caller"`, "passed-on=true"} {
				c.Check(line, qt.Contains, field)
			}
		})
	}
}
