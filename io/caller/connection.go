package caller

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"cuminlift/core/pipeline"
)

// phase is what the reader of a connection waits for.
type phase int

const (
	phaseIdle phase = iota
	phaseHead
	phaseBody
)

// connection is one caller's connection. Its reader runs in serve; each request runs in a goroutine of its own. Responses are written
// by the goroutine of the request that is first in line, which goes on with those behind it that have finished.
type connection struct {
	server   *Server
	conn     net.Conn
	raw      syscall.RawConn
	openedAt time.Time
	remote   string
	ctx      context.Context
	cancel   context.CancelCauseFunc
	// wake tells the reader that the line or over has changed while it waits in waitUntil.
	wake chan struct{}

	// Only the reader uses these.
	input    *bufio.Reader
	head     []byte
	lastPost bool
	// readError is the last error of the connection itself.
	readError error
	// headStart is when the first byte of the header section arrived.
	headStart time.Time
	// armedPhase is the phase for which the read deadline armedUntil is set, which is zero for none.
	armedPhase  phase
	armedUntil  time.Time
	closedTicks int

	// writeArmed is the write deadline. Only the goroutine that writes uses it.
	writeArmed time.Time

	mutex   sync.Mutex
	phase   phase
	read    int
	waiting bool
	line    *pipeline.Line
	// queue holds the response of each request in line.
	queue []*response
	// running counts the requests whose handlers have not returned.
	running    int
	idleSince  time.Time
	readerDone bool
	// refusing is true once the request that is arriving is no longer waited for.
	refusing bool
	// over is true once nothing is written any more: after the last response, or when the caller has left.
	over bool
	// left is true if the caller has left or its connection was given up.
	left bool
}

// serve reads requests until none may be read any more, and closes the connection once all have been answered.
func (c *connection) serve() {
	defer c.endReader()
	for c.waitUntil(c.mayRead, 0) && !c.ended() && c.readRequest() {
	}
	c.mutex.Lock()
	c.line.EndInput()
	if len(c.queue) == 0 {
		c.closeLocked()
	}
	c.mutex.Unlock()
	c.waitUntil(func() bool { return false }, 0)
	c.linger()
}

// mayRead reports whether the reader has not to wait: a request may be read, or none will be.
func (c *connection) mayRead() bool {
	if c.line.Ended() || c.line.Len() == 0 {
		return true
	}
	// The size of the next request is not known yet. Its least is reserved when it has been read.
	return c.line.MayRead() && c.server.config.Budget.mayReadAhead()
}

func (c *connection) ended() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.line.Ended()
}

// endReader closes the connection. Handlers of requests that must not be repeated may still run.
func (c *connection) endReader() {
	c.conn.Close()
	c.mutex.Lock()
	c.readerDone = true
	last := c.running == 0
	c.mutex.Unlock()
	if last {
		c.server.remove(c)
	}
}

// linger discards input until the caller closes its side, at most for lingerTimeout.
func (c *connection) linger() {
	c.mutex.Lock()
	left, refusing := c.left, c.refusing
	c.mutex.Unlock()
	if left || (c.readError != nil && !refusing) {
		return
	}
	var discarded [1 << 10]byte
	for {
		if _, err := c.conn.Read(discarded[:]); err != nil {
			return
		}
	}
}

// Read implements io.Reader for the buffered input. It extends the read deadline only where needed, so that a request that arrives in
// one piece needs no timer.
func (c *connection) Read(data []byte) (int, error) {
	for {
		c.arm(false)
		n, err := c.conn.Read(data)
		if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.extend() {
			continue
		}
		if err != nil {
			c.readError = err
		}
		return n, err
	}
}

// arm sets the read deadline of the present phase unless it is set already.
func (c *connection) arm(again bool) {
	now := time.Time{}
	if c.armedPhase == c.phase && !c.armedUntil.IsZero() && !again {
		if c.phase != phaseBody {
			return
		}
		if now = time.Now(); c.armedUntil.Sub(now) > c.server.config.Limits().HeaderTimeout/2 {
			return
		}
	}
	if now.IsZero() {
		now = time.Now()
	}
	limits := c.server.config.Limits()
	until := now.Add(limits.IdleTimeout)
	switch c.phase {
	case phaseHead:
		until = c.headStart.Add(limits.HeaderTimeout)
	case phaseBody:
		until = now.Add(limits.HeaderTimeout)
	}
	c.armedPhase, c.armedUntil = c.phase, until
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.over && !c.refusing {
		c.setReadDeadline(until)
	}
}

func (c *connection) setReadDeadline(at time.Time) {
	_ = c.conn.SetReadDeadline(at) // It fails only on a closed connection, which the next read reports.
}

// extend reports whether the connection has not been idle for too long when its read deadline has passed.
func (c *connection) extend() bool {
	if c.phase != phaseIdle {
		return false
	}
	c.mutex.Lock()
	idle := time.Since(c.idleSince)
	busy := len(c.queue) > 0
	over := c.over
	c.mutex.Unlock()
	if over || (!busy && idle >= c.server.config.Limits().IdleTimeout) {
		return false
	}
	c.arm(true)
	return true
}

func (c *connection) setPhase(p phase) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.phase = p
}

// add puts a request in line and starts what may start. It reports false if the request counts as not read.
func (c *connection) add(r *response, request pipeline.Request) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.phase = phaseIdle
	if c.over {
		return false
	}
	number, ok := c.line.Add(request)
	if !ok {
		return false
	}
	c.read++
	r.number = number
	c.queue = append(c.queue, r)
	r.turn = len(c.queue) == 1
	c.startLocked()
	return true
}

func (c *connection) startLocked() {
	for {
		number, ok := c.line.Start()
		if !ok {
			return
		}
		if number != c.line.First() {
			c.server.config.Count("caller-read-ahead")
		}
		r := c.queue[number-c.line.First()]
		r.started = true
		c.running++
		go c.run(r)
	}
}

// run calls the handler.
func (c *connection) run(r *response) {
	defer func() {
		if problem := recover(); problem != nil {
			r.aborted = true
			if problem != http.ErrAbortHandler {
				c.server.config.Log.WithField("problem", problem).WithField("stack", string(debug.Stack())).Error("serving a request failed")
			}
		}
		c.finish(r)
	}()
	handler := c.server.config.Handler
	if r.handler != nil {
		handler = r.handler
	}
	handler.ServeHTTP(r, r.request)
}

// finish ends a request whose handler has returned, and writes its response if it is its turn.
func (c *connection) finish(r *response) {
	r.endBody()
	r.releaseBody()
	c.mutex.Lock()
	c.running--
	if c.over {
		last := c.running == 0 && c.readerDone
		c.mutex.Unlock()
		r.releaseHeld()
		if last {
			c.server.remove(c)
		}
		return
	}
	r.finished = true
	c.line.Finish(r.number, pipeline.Outcome{
		Refused:   r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests,
		Closes:    r.closes,
		BreaksOff: r.aborted,
	})
	c.removeNotRead()
	c.startLocked()
	if r.turn {
		c.writeFinished()
	}
	c.mutex.Unlock()
}

// removeNotRead removes the requests that have left the line.
func (c *connection) removeNotRead() {
	for len(c.queue) > c.line.Len() {
		last := len(c.queue) - 1
		c.queue[last].releaseBody()
		c.queue[last] = nil
		c.queue = c.queue[:last]
		c.server.config.Count("caller-not-read")
	}
}

// stop closes the connection with the last response that must be sent, at once if it is idle.
func (c *connection) stop() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.over {
		return
	}
	c.line.Stop()
	c.removeNotRead()
	if len(c.queue) == 0 && c.phase == phaseIdle && (c.read > 0 || time.Since(c.openedAt) > newConnectionGrace) {
		c.closeLocked()
	}
	c.wakeLocked()
}

// refuseIncomplete makes the reader refuse the request that is arriving.
func (c *connection) refuseIncomplete() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.over || c.phase == phaseIdle {
		return
	}
	c.refusing = true
	c.setReadDeadline(time.Now())
}

// closeLocked ends the connection after its last response. The reader closes it.
func (c *connection) closeLocked() {
	if c.over {
		return
	}
	c.over = true
	c.cancel(ErrClosed)
	if half, ok := c.conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite() // It fails if the caller has closed the connection already.
	}
	c.setReadDeadline(time.Now().Add(lingerTimeout))
	c.wakeLocked()
}

// leave ends everything that runs for the connection, and resets it. event is counted if something runs.
func (c *connection) leave(event string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.leaveLocked(event)
}

func (c *connection) leaveLocked(event string) {
	if c.left {
		return
	}
	if !c.over && event != "" && len(c.queue) > 0 {
		c.server.config.Count(event)
	}
	c.over, c.left = true, true
	c.cancel(cause(event))
	for _, r := range c.queue {
		if !r.started {
			r.releaseBody()
		}
	}
	if tcp, ok := c.conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // Without it, closing would still send what is buffered, which nobody reads.
	}
	c.conn.Close()
	c.wakeLocked()
}

func (c *connection) wakeLocked() {
	if !c.waiting {
		return
	}
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

var errLeft = errors.New("the caller has left, or its connection closes with an earlier response")
