package upstream

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"cuminlift/internal/mutant"
	"cuminlift/io/tcp"
)

const (
	// connectTimeout bounds the time to connect. It is far above a round trip, and short enough to try another upstream
	// before the request's deadline.
	connectTimeout = 300 * time.Millisecond
	// unackedTimeout is how long sent data or keep-alive probes may stay unacknowledged before the connection fails. Once it is set, the
	// system ignores the number of probes, so that it must be longer than the time until the second one.
	unackedTimeout = 2500 * time.Millisecond
	// defaultIdleTimeout is the idle timeout of connections whose upstream announces none. idleMargin is subtracted from an
	// announced timeout, to allow for the transit time of the next request.
	defaultIdleTimeout = 8 * time.Second
	idleMargin         = 1500 * time.Millisecond
	// maxAtMostOnceIdle is the idle time up to which a connection is reused for a request that must not run twice.
	maxAtMostOnceIdle = 4 * time.Second
	// maxIdlePerUpstream bounds the idle connections from this instance to one upstream.
	maxIdlePerUpstream = 2
	// addedBeforeExpiry is the number of connections that become idle before the expired ones of all upstreams are closed.
	addedBeforeExpiry = 64
	// maxInlineBody is the largest body that is written before the response is read. It fits into any socket's send buffer.
	maxInlineBody = 8 << 10
	// readBufferSize is the size of a connection's read buffer.
	readBufferSize = 4 << 10
)

// connection is a persistent connection to an upstream.
type connection struct {
	conn           net.Conn
	raw            syscall.RawConn
	reader         *bufio.Reader
	head           *headReader
	idleSince      time.Time
	idleUntil      time.Time
	desynchronized bool
	// used is true once an answer has come on the connection.
	used bool
	// refused is true once a request that came on the connection was refused, and lastRefused is the ID of the last such request. The
	// upstream may write the refusal once more in place of the next answer.
	refused     bool
	lastRefused string
}

// abort resets the connection and discards its unsent data.
func (c *connection) abort() {
	c.conn.Close() // SO_LINGER is 0, so closing resets the connection.
}

// write sends head and body, and sends the result to written once all is written. A body above maxInlineBody is written in
// the background, because an upstream may respond before it has read the body. write returns a lower bound of the number of
// bytes sent.
func (c *connection) write(head, body []byte, written chan<- error) (int, error) {
	if len(body) <= maxInlineBody {
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

// healthy reports whether an idle connection is open and has received no data.
func (c *connection) healthy() bool {
	healthy := false
	err := c.raw.Read(func(fd uintptr) bool {
		var buffer [1]byte
		_, _, err := unix.Recvfrom(int(fd), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		healthy = err == unix.EAGAIN
		return true
	})
	return err == nil && healthy
}

// connectionPool holds idle connections by address.
type connectionPool struct {
	dial  DialFunc
	heads HeadMemory
	mutex sync.Mutex
	idle  map[string][]*connection
	// added counts the connections added since the expired ones were last closed.
	added int
	dials atomic.Int64
}

func newConnectionPool(dial DialFunc, heads HeadMemory) *connectionPool {
	return &connectionPool{
		dial:  dial,
		heads: heads,
		idle:  map[string][]*connection{},
	}
}

// confirms reports whether an answer on the connection that says that request did not run can be trusted.
func (c *connection) confirms(request Request) bool {
	if mutant.Is(mutant.CopiesTrusted) {
		return true
	}
	if request.AtMostOnce {
		return !c.refused
	}
	return c.lastRefused == "" || c.lastRefused != request.RequestID
}

// take returns a healthy idle connection, or dials a new one.
func (p *connectionPool) take(ctx context.Context, request Request) (*connection, error) {
	now := time.Now()
	for {
		c := p.pop(request)
		if c == nil {
			break
		}
		fresh := now.Before(c.idleUntil) && (!request.AtMostOnce || now.Sub(c.idleSince) < maxAtMostOnceIdle)
		if fresh && c.healthy() {
			return c, nil
		}
		c.abort()
	}
	return p.connect(ctx, request.Address)
}

// pop removes and returns the most recently used idle connection on which request may be sent, or nil.
func (p *connectionPool) pop(request Request) *connection {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	list := p.idle[request.Address]
	for i := len(list) - 1; i >= 0; i-- {
		if c := list[i]; c.confirms(request) {
			p.idle[request.Address] = slices.Delete(list, i, i+1)
			return c
		}
	}
	return nil
}

// put adds an idle connection, or closes it if the pool has enough for address. idle is the timeout that the upstream
// announced, 0 if none.
func (p *connectionPool) put(address string, c *connection, idle time.Duration) {
	c.idleSince = time.Now()
	c.idleUntil = c.idleSince.Add(defaultIdleTimeout)
	if idle > 0 {
		c.idleUntil = c.idleSince.Add(idle - idleMargin)
	}
	p.add(address, c)
}

// putBack returns a connection on which nothing was sent since it was taken.
func (p *connectionPool) putBack(address string, c *connection) {
	if c.idleSince.IsZero() {
		p.put(address, c, 0)
		return
	}
	p.add(address, c)
}

func (p *connectionPool) add(address string, c *connection) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.added++; p.added >= addedBeforeExpiry {
		p.added = 0
		p.expire(time.Now())
	}
	list := p.idle[address]
	if len(list) >= maxIdlePerUpstream {
		// One that carried a refusal can't be used for all requests.
		replaced := slices.IndexFunc(list, func(other *connection) bool { return other.refused && !c.refused })
		if replaced < 0 {
			c.abort()
			return
		}
		list[replaced].abort()
		list = slices.Delete(list, replaced, replaced+1)
	}
	p.idle[address] = append(list, c)
}

// expire closes the connections whose idle timeout has passed. Those of upstreams that have ended are never taken again.
func (p *connectionPool) expire(now time.Time) {
	for address, list := range p.idle {
		kept := slices.DeleteFunc(list, func(c *connection) bool {
			expired := !now.Before(c.idleUntil)
			if expired {
				c.abort()
			}
			return expired
		})
		if p.idle[address] = kept; len(kept) == 0 {
			delete(p.idle, address)
		}
	}
}

// Dialer returns a dialer whose connections fail within unackedTimeout if the peer becomes unreachable.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     time.Second,
			Interval: time.Second,
			Count:    2,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var sockoptErr error
			err := raw.Control(func(fd uintptr) {
				sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return sockoptErr
		},
	}
}

// DialFunc opens a connection, which must have a file descriptor. Closing it must reset it.
type DialFunc = tcp.DialFunc

// DialWithReset returns a dial function whose connections are reset when they are closed, so that unsent data is
// discarded.
func DialWithReset(timeout time.Duration) DialFunc {
	dialer := Dialer(timeout)
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, "tcp4", address)
		if err != nil {
			return nil, err
		}
		tcpConn, ok := conn.(*net.TCPConn)
		if !ok {
			conn.Close()
			return nil, fmt.Errorf("connection to %s is not a TCP connection", address)
		}
		if err := tcpConn.SetLinger(0); err != nil {
			conn.Close()
			return nil, err
		}
		return tcpConn, nil
	}
}

// connect opens a connection to address.
func (p *connectionPool) connect(ctx context.Context, address string) (*connection, error) {
	p.dials.Add(1)
	conn, err := p.dial(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	detecting, err := tcp.New(conn)
	if err != nil {
		conn.Close()
		return nil, err
	}
	head := &headReader{
		reader: detecting,
		memory: p.heads,
	}
	return &connection{
		conn:   detecting,
		raw:    detecting.Raw,
		reader: bufio.NewReaderSize(head, readBufferSize),
		head:   head,
	}, nil
}
