package gateway

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"cuminlift/io/caller"
)

// unreadListener accepts connections whose responses are given up if their callers read nothing of them for unreadTimeout, after twice that
// at the latest. The server of net/http only knows bounds for whole responses.
type unreadListener struct {
	net.Listener
}

// Accept implements net.Listener.
func (l *unreadListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	bounded := &unreadConn{
		Conn:   conn,
		cancel: func(error) {},
		idle: idleState{
			openedAt: time.Now(),
		},
	}
	if descriptor, ok := conn.(syscall.Conn); ok {
		if raw, err := descriptor.SyscallConn(); err == nil {
			bounded.raw = raw
		}
	}
	return bounded, nil
}

// unreadConn is a connection to a caller.
type unreadConn struct {
	net.Conn
	// raw is nil if the system's state of the connection is unknown.
	raw syscall.RawConn
	// cancel ends the context of the connection with the reason for which this instance closes it.
	cancel context.CancelCauseFunc
	idle   idleState
	mutex  sync.Mutex
	// until is when writing ends at the latest, if the server has set that.
	until time.Time
	// acknowledgedBefore is what isRead has found when it looked last. Only the goroutine that writes uses it.
	acknowledgedBefore uint64
	looked             bool
}

// SetWriteDeadline implements net.Conn.
func (c *unreadConn) SetWriteDeadline(at time.Time) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.until = at
	return c.Conn.SetWriteDeadline(at) // A write may wait already.
}

// SetDeadline implements net.Conn.
func (c *unreadConn) SetDeadline(at time.Time) error {
	return errors.Join(c.SetReadDeadline(at), c.SetWriteDeadline(at))
}

// Read implements net.Conn. What arrives while this instance closes the connection counts as not read.
func (c *unreadConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if n > 0 && !c.idle.read(time.Now()) {
		return 0, net.ErrClosed
	}
	return n, err
}

// Close implements net.Conn.
func (c *unreadConn) Close() error {
	c.idle.close()
	c.cancel(caller.ErrClosed)
	return c.Conn.Close()
}

// CloseWrite lets net/http end a connection without losing its last response.
func (c *unreadConn) CloseWrite() error {
	if closer, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return closer.CloseWrite()
	}
	return nil
}

// Write implements net.Conn. A caller that reads slowly takes longer than unreadTimeout to make room for more, as the system's buffer may
// hold megabytes; what its own system has acknowledged meanwhile tells it from one that reads nothing.
func (c *unreadConn) Write(data []byte) (written int, err error) {
	for {
		until := c.arm()
		n, err := c.Conn.Write(data[written:])
		written += n
		switch {
		case err == nil, !errors.Is(err, os.ErrDeadlineExceeded), !until.IsZero() && !time.Now().Before(until):
			return written, err
		case !c.isRead():
			c.cancel(caller.ErrUnread)
			return written, err
		}
	}
}

// isRead reports whether the caller's system has acknowledged anything since the last call, which was unreadTimeout ago or more.
func (c *unreadConn) isRead() bool {
	acknowledged := c.acknowledged()
	read := !c.looked || acknowledged != c.acknowledgedBefore
	c.looked, c.acknowledgedBefore = true, acknowledged
	return read
}

// arm bounds the next write, and returns when writing ends at the latest.
func (c *unreadConn) arm() (until time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	at := time.Now().Add(unreadTimeout)
	if !c.until.IsZero() && c.until.Before(at) {
		at = c.until
	}
	_ = c.Conn.SetWriteDeadline(at) // It fails only on a closed connection, which the write reports.
	return c.until
}

// acknowledged returns the number of bytes that the caller's system has acknowledged, 0 if it is unknown.
func (c *unreadConn) acknowledged() (bytes uint64) {
	if c.raw == nil {
		return 0
	}
	_ = c.raw.Control(func(fd uintptr) { // It fails only on a closed connection, which the write reports.
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			bytes = info.Bytes_acked
		}
	})
	return bytes
}
