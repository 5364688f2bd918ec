package caller

import (
	"errors"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// watchInterval is the interval at which the state of a connection is looked at while its reader does not read. What runs for a
	// caller that has left must end within half a second.
	watchInterval = 150 * time.Millisecond
	// tcpClose and tcpCloseWait are states of a connection: reset, and closed by the other side for sending.
	tcpClose     = 7
	tcpCloseWait = 8
	// manyUnreadBytes is the number of bytes in a receive buffer from which on it may be full.
	manyUnreadBytes = 32 << 10
	// maxUnsentBytes is the size of the unsent data in a connection's send buffer.
	maxUnsentBytes = 128 << 10
	continueHead   = "HTTP/1.1 100 Continue\r\n\r\n"
)

// Events of connections that end.
const (
	eventLeft    = "caller-left"
	eventStalled = "caller-stalled"
)

// What a request's context ends with, as context.Cause tells.
var (
	// ErrClosed is the cause if this instance has closed the connection.
	ErrClosed = errors.New("connection closed by this instance")
	// ErrUnread is the cause if the caller has read nothing of a response for too long.
	ErrUnread = errors.New("response not read by the caller")
	// ErrLeft is the cause if the caller has closed or reset the connection.
	ErrLeft = errors.New("connection closed by the caller")
)

// cause returns the error for an event of leave.
func cause(event string) error {
	switch event {
	case eventLeft:
		return ErrLeft
	case eventStalled:
		return ErrUnread
	}
	return ErrClosed
}

// waitUntil waits until condition, which is called under the connection's lock, holds. It reports false if the connection is over
// before, or after limit unless that is zero.
func (c *connection) waitUntil(condition func() bool, limit time.Duration) bool {
	var timer *time.Timer
	var until time.Time
	for {
		c.mutex.Lock()
		holds, over := false, c.over
		if !over {
			holds = condition()
		}
		c.waiting = !over && !holds
		c.mutex.Unlock()
		if over || holds {
			return holds
		}
		if timer == nil {
			timer = time.NewTimer(watchInterval)
			defer timer.Stop()
			if limit > 0 {
				until = time.Now().Add(limit)
			}
		}
		select {
		case <-c.wake:
		case <-timer.C:
			if limit > 0 && time.Now().After(until) {
				return false
			}
			c.watch()
			timer.Reset(watchInterval)
		}
	}
}

// watch ends the connection if the caller has left. A reset shows in the state of the connection, also while input waits in it. A
// caller that has closed its side is either still reading, or has left: an interim response, which the protocol allows at any time,
// makes the system of one that has left reset the connection. That it has closed its side does not show while the receive buffer is
// full.
func (c *connection) watch() {
	state, unread := c.state()
	switch {
	case state == tcpClose:
		c.leave(eventLeft)
	case state == tcpCloseWait || unread >= manyUnreadBytes:
		c.closedTicks++
		if c.closedTicks&(c.closedTicks-1) == 0 { // Less and less often.
			c.probe()
		}
	}
}

// limitUnsent bounds what the system buffers for a caller that reads slowly. It would grow to megabytes, which no budget counts.
func (c *connection) limitUnsent() {
	_ = c.raw.Control(func(fd uintptr) { // Without it, only more is buffered.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, maxUnsentBytes)
	})
}

// state returns the system's state of the connection and the number of bytes in its receive buffer, 0 if they are unknown.
func (c *connection) state() (state uint8, unread int) {
	if c.raw == nil {
		return 0, 0
	}
	err := c.raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			state = info.State
		}
		if n, err := unix.IoctlGetInt(int(fd), unix.SIOCINQ); err == nil {
			unread = n
		}
	})
	if err != nil {
		return 0, 0
	}
	return state, unread
}

// probe sends an interim response if the first response has not begun.
func (c *connection) probe() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.over || c.raw == nil || len(c.queue) == 0 {
		return
	}
	first := c.queue[0]
	if !first.turn || first.finished || first.headSent || !first.request.ProtoAtLeast(1, 1) {
		return
	}
	written := len(continueHead)
	err := c.raw.Write(func(fd uintptr) bool {
		n, err := unix.Write(int(fd), []byte(continueHead))
		if err == nil {
			written = n
		}
		return true // A full send buffer means that the caller has yet to read.
	})
	if err == nil && written != len(continueHead) {
		c.leaveLocked(eventLeft) // Part of it was sent, which would spoil the response.
	}
}
