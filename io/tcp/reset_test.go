package tcp_test

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"

	"cuminlift/io/tcp"
)

const part = "a part of an answer"

// dial connects to a peer that sends part and then calls end.
func dial(c *qt.C, end func(peer *net.TCPConn)) net.Conn {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	dialer := &net.Dialer{}
	conn, err := tcp.DetectResets(dialer.DialContext)(c.Context(), "tcp4", listener.Addr().String())
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { conn.Close() })
	peer, err := listener.Accept()
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { peer.Close() })
	_, err = io.WriteString(peer, part)
	c.Assert(err, qt.IsNil)
	end(peer.(*net.TCPConn))
	return conn
}

func reset(peer *net.TCPConn) {
	_ = peer.SetLinger(0) // The test checks that the connection is reset.
	peer.Close()
}

// TestResetThatAWriteHasReportedIsNotTheEnd makes the write of a request take the connection's only error.
func TestResetThatAWriteHasReportedIsNotTheEnd(t *testing.T) {
	c := qt.New(t)
	conn := dial(c, reset)
	for {
		if _, err := io.WriteString(conn, "a part of a request"); err != nil {
			c.Assert(errors.Is(err, syscall.ECONNRESET), qt.IsTrue, qt.Commentf("%v", err))
			break
		}
	}
	data, err := io.ReadAll(conn)
	c.Check(string(data), qt.Equals, part)
	c.Check(errors.Is(err, syscall.ECONNRESET), qt.IsTrue, qt.Commentf("%v", err))
}

func TestResetThatAReadReportsIsNotTheEnd(t *testing.T) {
	c := qt.New(t)
	conn := dial(c, reset)
	_, err := io.ReadAll(conn)
	c.Check(errors.Is(err, syscall.ECONNRESET), qt.IsTrue, qt.Commentf("%v", err))
}

// TestClosedConnectionEnds covers a peer that closes its connection in either way while this side still sends.
func TestClosedConnectionEnds(t *testing.T) {
	for name, end := range map[string]func(peer *net.TCPConn){
		"closed":             func(peer *net.TCPConn) { peer.Close() },
		"closed for sending": func(peer *net.TCPConn) { _ = peer.CloseWrite() },
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			conn := dial(c, end)
			data, err := io.ReadAll(conn)
			c.Check(err, qt.IsNil)
			c.Check(string(data), qt.Equals, part)
		})
	}
}
