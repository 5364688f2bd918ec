package daemon_test

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
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
