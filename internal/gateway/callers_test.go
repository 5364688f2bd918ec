package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A caller that closes its sending half gets an empty success in place of a failure (MIXED).
func TestHalfClosedCallerGetsAnEmptySuccess(t *testing.T) {
	for _, ahead := range []bool{false, true} {
		t.Run(fmt.Sprint("read ahead=", ahead), func(t *testing.T) {
			c := qt.New(t)
			if ahead {
				withReadAhead(c)
			}
			k := newCluster(c, 1)
			k.configure(1, "plain")
			u := k.answeringUpstreams("n0")
			u.setAnswer(func(w http.ResponseWriter) bool {
				time.Sleep(300 * time.Millisecond)
				return answerOK(w)
			})
			conn := k.dial("n0")
			_, err := io.WriteString(conn, requestText(http.MethodGet, "/read/x", "half-closed"))
			c.Assert(err, qt.IsNil)
			time.Sleep(50 * time.Millisecond)
			c.Assert(conn.(*net.TCPConn).CloseWrite(), qt.IsNil)
			reader := bufio.NewReader(conn)
			response, err := http.ReadResponse(reader, nil)
			for err == nil && response.StatusCode == http.StatusContinue {
				response, err = http.ReadResponse(reader, nil)
			}
			if err != nil {
				return // A closed connection promises nothing.
			}
			signed := response.Header.Get("Response-Signature") != ""
			c.Check(signed || response.StatusCode >= http.StatusBadRequest, qt.IsTrue, qt.Commentf("status %d, signed: %v", response.StatusCode, signed))
		})
	}
}

// An answer to HEAD, which names the length of a body that does not follow, counts as one that broke off.
func TestAnswerToHeadCountsAsBrokenOff(t *testing.T) {
	c := qt.New(t)
	k := newCluster(c, 1)
	k.configure(1, "plain")
	u := k.answeringUpstreams("n0")
	u.setAnswer(func(w http.ResponseWriter) bool {
		w.Header().Set("Content-Length", "1234")
		return answerOK(w)
	})
	conn := k.dial("n0")
	reader := bufio.NewReader(conn)
	for i := range 3 {
		_, err := io.WriteString(conn, requestText(http.MethodHead, "/read/x", fmt.Sprint("head-", i)))
		c.Assert(err, qt.IsNil)
		response, err := http.ReadResponse(reader, &http.Request{
			Method: http.MethodHead,
		})
		c.Assert(err, qt.IsNil)
		c.Check(response.StatusCode, qt.Equals, http.StatusOK)
		c.Check(response.ContentLength, qt.Equals, int64(1234))
		c.Check(u.ran(fmt.Sprint("head-", i)), qt.Equals, 1)
	}
}
