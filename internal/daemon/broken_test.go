package daemon_test

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sys/unix"

	"cuminlift/internal/standin/rawhttp"
)

// listenWithSmallBuffers returns a listener to which the system buffers less than a request of 1 MB. The size of segments bounds the buffer of
// the side that sends.
func listenWithSmallBuffers(c *qt.C) net.Listener {
	config := net.ListenConfig{
		Control: func(_, _ string, raw syscall.RawConn) error {
			var err error
			controlErr := raw.Control(func(fd uintptr) {
				err = errors.Join(unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_MAXSEG, 536), unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 4<<10))
			})
			return errors.Join(controlErr, err)
		},
	}
	listener, err := config.Listen(c.Context(), "tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	return listener
}

// checkInvalid checks that callers get nothing of one of the answers.
func checkInvalid(t *testing.T, answers map[string]rawhttp.Answer) {
	c := qt.New(t)
	var current atomic.Value
	f := startFakeUpstream(c, func(connection net.Conn, request *http.Request) {
		answer := current.Load().(rawhttp.Answer)
		fmt.Fprint(connection, answer.With("X-Broken: by the upstream\r\nCuminlift-Request: "+request.Header.Get("Cuminlift-Request")+"\r\n"))
		_ = connection.Close()
	})
	cluster := startCluster(c, f)
	for name, answer := range answers {
		current.Store(answer)
		response, body, err := send(c, cluster, http.MethodPost, "/registrations/talk", nil)
		c.Check(err, qt.IsNil, qt.Commentf("%s", name))
		if err != nil {
			continue
		}
		c.Check(response.StatusCode, qt.Equals, http.StatusBadGateway, qt.Commentf("%s", name))
		c.Check(response.Header.Get("Cuminlift-Outcome"), qt.Equals, "unknown", qt.Commentf("%s", name))
		c.Check(response.Header.Get("X-Broken"), qt.Equals, "", qt.Commentf("%s", name))
		c.Check(string(body), qt.Not(qt.Contains), rawhttp.Body, qt.Commentf("%s", name))
	}
}

// TestAnswerWithAnInvalidStatusIsNotForwarded guards against an answer that is not HTTP and reaches callers.
func TestAnswerWithAnInvalidStatusIsNotForwarded(t *testing.T) {
	checkInvalid(t, rawhttp.InvalidStatuses)
}

// TestAnswerWithAnInvalidFieldNameIsNotForwarded guards against an answer that reaches callers with a line that is no field, or with another
// body than the upstream's.
func TestAnswerWithAnInvalidFieldNameIsNotForwarded(t *testing.T) {
	checkInvalid(t, rawhttp.InvalidNames)
}

// TestResetDuringAnUploadDoesNotEndTheAnswer guards against a part of an answer that callers take for all of it. Whether a read or a write is
// told of the reset is a race.
func TestResetDuringAnUploadDoesNotEndTheAnswer(t *testing.T) {
	c := qt.New(t)
	f := serveFakeUpstream(c, &fakeUpstream{
		listener: listenWithSmallBuffers(c),
		early: func(connection net.Conn, request *http.Request) {
			fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nCuminlift-Request: %s\r\n\r\n%s", request.Header.Get("Cuminlift-Request"), rawhttp.Body)
			rawhttp.ResetAfter(20 * time.Millisecond)(connection)
		},
	})
	cluster := startCluster(c, f)
	for i := range 24 {
		response, err := http.Post("http://"+cluster.Instances[0].Daemon.Callers()+"/registrations/talk", "text/plain", bytes.NewReader(make([]byte, 1<<20)))
		if err != nil {
			continue
		}
		body, err := io.ReadAll(response.Body)
		response.Body.Close()
		c.Check(err != nil || response.StatusCode >= http.StatusInternalServerError, qt.IsTrue, qt.Commentf("try %d: status %d, complete with body %q", i, response.StatusCode, body))
	}
	c.Check(f.runs.Load() >= 24, qt.IsTrue, qt.Commentf("%d requests reached the upstream", f.runs.Load()))
}
