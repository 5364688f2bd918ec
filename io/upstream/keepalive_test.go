package upstream_test

import (
	"context"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sys/unix"

	"cuminlift/io/upstream"
)

// A connection at whose other end a request is at work is given up after one lost keep-alive probe: once a user timeout is set, it
// decides in place of the number of probes.
func TestOneLostProbeDoesNotEndAConnection(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	conn, err := upstream.DialWithReset(time.Second)(context.Background(), "tcp4", listener.Addr().String())
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	c.Assert(err, qt.IsNil)
	option := map[int]int{}
	err = raw.Control(func(fd uintptr) {
		for _, name := range []int{unix.TCP_KEEPIDLE, unix.TCP_KEEPINTVL, unix.TCP_USER_TIMEOUT} {
			value, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, name)
			c.Check(err, qt.IsNil)
			option[name] = value
		}
	})
	c.Assert(err, qt.IsNil)
	idle, interval := time.Duration(option[unix.TCP_KEEPIDLE])*time.Second, time.Duration(option[unix.TCP_KEEPINTVL])*time.Second
	timeout := time.Duration(option[unix.TCP_USER_TIMEOUT]) * time.Millisecond
	c.Check(timeout > idle+interval, qt.IsTrue, qt.Commentf("given up after %v, second probe after %v", timeout, idle+interval))
}
