package upstream

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// connectLimit bounds the time for a new connection: far above a round trip, and short enough to try another upstream in time.
	connectLimit = 300 * time.Millisecond
	// silenceLimit is how long a connection may leave sent bytes or probes without acknowledgement before it counts as broken.
	silenceLimit = 1500 * time.Millisecond
	// defaultIdle is how long a connection is kept whose upstream states no time of its own, and idleMargin is left of a time that one
	// states, for the request's way.
	defaultIdle = 8 * time.Second
	idleMargin  = 1500 * time.Millisecond
	// onceIdle is the longest idle time after which a connection still serves a request that may not run twice.
	onceIdle = 4 * time.Second
	// maxIdle bounds the idle connections to one upstream from this instance.
	maxIdle = 2
	// inlineBody is the body size up to which a request is written before the answer is read; it fits into any socket's buffer.
	inlineBody = 8 << 10
	// readBuffer is the size of a connection's buffer.
	readBuffer = 4 << 10
)

// connection is one connection to an upstream.
type connection struct {
	conn    net.Conn
	raw     syscall.RawConn
	reader  *bufio.Reader
	since   time.Time
	until   time.Time
	strayed bool
}

// abort closes the connection so that nothing that waits in it arrives any more.
func (c *connection) abort() {
	c.conn.Close() // The connection was dialed without lingering: closing resets it.
}

// write sends head and body. A long body is sent aside, because an upstream may answer before it has read it. It returns the bytes that
// were sent at the least, and reports the end of writing on written.
func (c *connection) write(head, body []byte, written chan<- error) (int, error) {
	if len(body) <= inlineBody {
		n, err := c.conn.Write(append(head, body...))
		written <- err
		return n, err
	}
	go func() {
		_, err := c.conn.Write(append(head, body...))
		written <- err
	}()
	return 1, nil
}

// quiet reports whether nothing came on an idle connection, neither bytes nor its end.
func (c *connection) quiet() bool {
	quiet := false
	err := c.raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}

// connections keeps idle connections by address.
type connections struct {
	mutex sync.Mutex
	idle  map[string][]*connection
	dials atomic.Int64
}

func newConnections() *connections {
	return &connections{
		idle: map[string][]*connection{},
	}
}

// take returns an idle connection that is still sound, or a new one.
func (p *connections) take(ctx context.Context, address string, once bool) (*connection, error) {
	now := time.Now()
	for {
		c := p.pop(address)
		if c == nil {
			break
		}
		fresh := now.Before(c.until) && (!once || now.Sub(c.since) < onceIdle)
		if fresh && c.quiet() {
			return c, nil
		}
		c.abort()
	}
	p.dials.Add(1)
	return dial(ctx, address)
}

func (p *connections) pop(address string) *connection {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

func (p *connections) put(address string, c *connection, idle time.Duration) {
	c.since = time.Now()
	c.until = c.since.Add(defaultIdle)
	if idle > 0 {
		c.until = c.since.Add(idle - idleMargin)
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if len(p.idle[address]) >= maxIdle {
		c.abort()
		return
	}
	p.idle[address] = append(p.idle[address], c)
}

// Dialer returns a dialer whose connections find out in silenceLimit that the other side is gone.
func Dialer(limit time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: limit,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     time.Second,
			Interval: time.Second,
			Count:    2,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var failure error
			err := raw.Control(func(fd uintptr) {
				failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silenceLimit.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return failure
		},
	}
}

// DialWithReset returns a dial function whose connections are reset when they are closed, so that nothing that waits
// in them arrives any more.
func DialWithReset(limit time.Duration) func(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := Dialer(limit)
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, "tcp4", address)
		if err != nil {
			return nil, err
		}
		tcp, ok := conn.(*net.TCPConn)
		if !ok {
			conn.Close()
			return nil, fmt.Errorf("connection to %s is no TCP connection", address)
		}
		if err := tcp.SetLinger(0); err != nil {
			conn.Close()
			return nil, err
		}
		return tcp, nil
	}
}

var dialUpstream = DialWithReset(connectLimit)

func dial(ctx context.Context, address string) (*connection, error) {
	conn, err := dialUpstream(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		conn.Close()
		return nil, err
	}
	return &connection{
		conn:   conn,
		raw:    raw,
		reader: bufio.NewReaderSize(conn, readBuffer),
	}, nil
}
