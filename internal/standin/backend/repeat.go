package backend

import (
	"net"
	"slices"
	"sync"
)

// repeatingListener accepts connections on which bytes that belong to no request are written behind some answers.
type repeatingListener struct {
	net.Listener
	// late returns what is written behind an answer, nil for nothing.
	late func(answer []byte) []byte
}

// Accept implements net.Listener.
func (l *repeatingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &repeatingConn{
		Conn:   conn,
		behind: l.late,
	}, nil
}

// repeatingConn writes bytes where the next answer is expected: after the next request has been read.
type repeatingConn struct {
	net.Conn
	behind func(answer []byte) []byte
	mutex  sync.Mutex
	// answer is what was written since a request was last read.
	answer []byte
	// late is what comes before the next answer.
	late []byte
}

// Read implements net.Conn.
func (c *repeatingConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if n > 0 && len(c.answer) > 0 {
		c.late = c.behind(c.answer)
		c.answer = nil
	}
	return n, err
}

// Write implements net.Conn.
func (c *repeatingConn) Write(data []byte) (int, error) {
	c.mutex.Lock()
	late := c.late
	c.late = nil
	c.answer = slices.Concat(c.answer, data)
	c.mutex.Unlock()
	if len(late) > 0 {
		if _, err := c.Conn.Write(late); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(data)
}
