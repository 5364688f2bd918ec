// Package caller serves HTTP/1.1 to callers that may send further requests on a connection before the first has been answered.
package caller

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"cuminlift/core/pipeline"
)

// Class tells how a request may run. It is known before the request starts.
type Class struct {
	// Concurrent is true if the request may run beside others of its connection.
	Concurrent bool
	// MaxBodyBytes is the size of the largest body that is read, negative if no body is needed.
	MaxBodyBytes int64
}

// Limits restricts what callers may send.
type Limits struct {
	HeaderBytes int64
	// HeaderTimeout bounds the time for a header section, and the time without progress of a body.
	HeaderTimeout time.Duration
	// IdleTimeout bounds the time between requests.
	IdleTimeout time.Duration
	// WriteTimeout is how long a caller may take without reading anything before its response is given up.
	WriteTimeout time.Duration
}

// Config configures a Server.
type Config struct {
	// Handler is called once for each request. The body is complete then; its bytes are available from BodyBytes, and the time at
	// which the header section had arrived from Arrived. The request's context ends when its caller has left.
	Handler http.Handler
	// Refuse answers the requests that RefuseIncomplete refuses.
	Refuse http.Handler
	// Classify is called with the header section of each request, without its body.
	Classify func(*http.Request) Class
	// Limits returns the limits in force.
	Limits func() Limits
	Budget *Budget
	// Count counts events. They are listed in docs/METRICS.md.
	Count func(event string)
	Log   *logrus.Entry
}

const (
	// maxRequests and maxRunning bound the requests of a connection that are in line and that run; maxAheadBytes is the size of
	// waiting requests from which no more are read.
	maxRequests   = 32
	maxRunning    = 16
	maxAheadBytes = 256 << 10
	// lingerTimeout is how long a connection stays readable after its last response. Closing it with unread input would reset it, and
	// the caller could lose the response.
	lingerTimeout = 500 * time.Millisecond
	// newConnectionGrace is how long Shutdown waits for the first request of a connection, as net/http does.
	newConnectionGrace = 5 * time.Second
	// shutdownPoll is the interval at which Shutdown looks for connections that have become idle.
	shutdownPoll = 20 * time.Millisecond
)

// Server serves callers' connections.
type Server struct {
	config Config
	ctx    context.Context
	cancel context.CancelFunc

	mutex       sync.Mutex
	listeners   map[net.Listener]bool
	connections map[*connection]bool
	stopping    bool
}

// New returns a Server.
func New(config Config) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	return &Server{
		config:      config,
		ctx:         ctx,
		cancel:      cancel,
		listeners:   map[net.Listener]bool{},
		connections: map[*connection]bool{},
	}
}

// Serve accepts connections until the server is shut down, and then returns http.ErrServerClosed.
func (s *Server) Serve(listener net.Listener) error {
	s.mutex.Lock()
	stopping := s.stopping
	s.listeners[listener] = true
	s.mutex.Unlock()
	if stopping {
		listener.Close()
		return http.ErrServerClosed
	}
	pause := time.Duration(0)
	for {
		conn, err := listener.Accept()
		if err == nil {
			pause = 0
			s.open(conn)
			continue
		}
		if s.isStopping() {
			return http.ErrServerClosed
		}
		// The process may be short of descriptors for a while.
		var errno syscall.Errno
		if !errors.As(err, &errno) || !errno.Temporary() {
			return err
		}
		pause = min(max(2*pause, 5*time.Millisecond), time.Second)
		s.config.Log.WithError(err).Warn("accepting a connection failed")
		time.Sleep(pause)
	}
}

func (s *Server) isStopping() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.stopping
}

func (s *Server) open(conn net.Conn) {
	c := &connection{
		server:   s,
		conn:     conn,
		openedAt: time.Now(),
		remote:   conn.RemoteAddr().String(),
		wake:     make(chan struct{}, 1),
		line: pipeline.NewLine(pipeline.Limits{
			Requests: maxRequests,
			Running:  maxRunning,
			Bytes:    maxAheadBytes,
		}),
	}
	if descriptor, ok := conn.(syscall.Conn); ok {
		if raw, err := descriptor.SyscallConn(); err == nil {
			c.raw = raw
			c.limitUnsent()
		}
	}
	c.idleSince = c.openedAt
	c.input = bufio.NewReader(c)
	c.ctx, c.cancel = context.WithCancelCause(s.ctx)
	s.mutex.Lock()
	s.connections[c] = true
	s.mutex.Unlock()
	go c.serve()
}

func (s *Server) remove(c *connection) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.connections, c)
}

func (s *Server) openConnections() []*connection {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	open := make([]*connection, 0, len(s.connections))
	for c := range s.connections {
		open = append(open, c)
	}
	return open
}

// closeListeners makes Serve return.
func (s *Server) closeListeners() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.stopping = true
	for listener := range s.listeners {
		listener.Close()
	}
}

// Shutdown closes the listeners and each connection once what was started on it has been answered. It returns the error of ctx if that
// ends before.
func (s *Server) Shutdown(ctx context.Context) error {
	s.closeListeners()
	ticker := time.NewTicker(shutdownPoll)
	defer ticker.Stop()
	for {
		open := s.openConnections()
		if len(open) == 0 {
			return nil
		}
		for _, c := range open {
			c.stop()
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// RefuseIncomplete refuses the requests that have begun to arrive and are not complete.
func (s *Server) RefuseIncomplete() {
	for _, c := range s.openConnections() {
		c.refuseIncomplete()
	}
}

// Close closes the listeners and all connections.
func (s *Server) Close() error {
	s.closeListeners()
	for _, c := range s.openConnections() {
		c.leave("")
	}
	s.cancel()
	return nil
}

// requestContext ends with the connection and carries what the server knows of the request.
type requestContext struct {
	context.Context
	arrivedAt  time.Time
	concurrent bool
}

type requestKey struct{}

// Value implements context.Context.
func (c *requestContext) Value(key any) any {
	if key == (requestKey{}) {
		return c
	}
	return c.Context.Value(key)
}

// Arrived returns the time at which the header section of a Server's request arrived, and whether the request was classified as
// concurrent. It returns false for a request of another server.
func Arrived(ctx context.Context) (at time.Time, concurrent, ok bool) {
	c, ok := ctx.Value(requestKey{}).(*requestContext)
	if !ok {
		return time.Time{}, false, false
	}
	return c.arrivedAt, c.concurrent, true
}
