package caller

import (
	"errors"
	"net"
	"os"
	"time"
)

// giveUp ends a connection that can't be written to.
func (c *connection) giveUp(err error) {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.server.config.Log.WithField("caller", c.remote).Info("answer is not read")
		c.leave(eventStalled)
		return
	}
	c.leave(eventLeft)
}

// write writes all parts. It fails at the deadline, if there is one, or when the caller has read nothing for the write timeout.
func (c *connection) write(deadline time.Time, parts ...[]byte) error {
	buffers := net.Buffers(parts)
	for {
		c.armWrite(deadline)
		var n int64
		var err error
		if len(buffers) == 1 {
			var written int
			written, err = c.conn.Write(buffers[0])
			n = int64(written)
			buffers[0] = buffers[0][written:]
		} else {
			n, err = buffers.WriteTo(c.conn)
		}
		if err == nil || n == 0 || !errors.Is(err, os.ErrDeadlineExceeded) || (!deadline.IsZero() && time.Now().After(deadline)) {
			return err
		}
	}
}

// armWrite sets the write deadline. It is set for longer than needed, so that it is not set for each response.
func (c *connection) armWrite(deadline time.Time) {
	writeTimeout := c.server.config.Limits().WriteTimeout
	now := time.Now()
	until := now.Add(2 * writeTimeout)
	switch left := c.writeArmed.Sub(now); {
	case !deadline.IsZero():
		if until = now.Add(writeTimeout); deadline.Before(until) {
			until = deadline
		}
	case left >= writeTimeout && left <= 2*writeTimeout:
		return
	}
	c.writeArmed = until
	_ = c.conn.SetWriteDeadline(until) // It fails only on a closed connection, which the write reports.
}

// writeFinished writes the responses from the first in line on whose requests have finished, and then passes the turn on. The
// connection's lock is held, and released while writing.
func (c *connection) writeFinished() {
	pooled := outBuffers.Get().(*[]byte)
	out := *pooled
	defer func() { putOutBuffer(pooled, out) }()
	for !c.over && len(c.queue) > 0 && c.queue[0].finished {
		out = out[:0]
		n := 0
		var last *response
		var deadline time.Time
		for n < len(c.queue) && c.queue[n].finished && len(out) < maxBatchBytes && (last == nil || !last.aborted) {
			last = c.queue[n]
			out = last.appendRest(out)
			if last.headSent {
				deadline = last.deadline
			}
			n++
		}
		if len(out) > 0 {
			c.mutex.Unlock()
			err := c.write(deadline, out)
			if err != nil {
				c.giveUp(err)
			}
			c.mutex.Lock()
			if c.over {
				return
			}
		}
		for range n {
			c.line.Answered()
			copy(c.queue, c.queue[1:])
			c.queue[len(c.queue)-1] = nil
			c.queue = c.queue[:len(c.queue)-1]
		}
		switch {
		case last.aborted && last.endsWithConnection:
			c.leaveLocked("") // Only a reset tells the caller that the response is incomplete.
		case last.aborted || c.line.Closed():
			c.closeLocked()
		case len(c.queue) == 0:
			c.idleSince = time.Now()
		default:
			c.startLocked()
		}
	}
	if !c.over && len(c.queue) > 0 {
		next := c.queue[0]
		next.turn = true
		if next.turnChannel != nil {
			close(next.turnChannel)
		}
	}
	c.wakeLocked()
}
