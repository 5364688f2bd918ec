package gateway

import (
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// shutdownPoll is the interval at which a server that is shut down looks for connections that have become idle.
const shutdownPoll = 20 * time.Millisecond

// httpServer is net/http's server, but for its shutdown: that of net/http closes a connection without an answer if its first request
// comes after the shutdown has begun, or if its next one is being read.
type httpServer struct {
	server  *http.Server
	handler http.Handler

	mutex    sync.Mutex
	listener net.Listener
	open     map[*unreadConn]bool
	stopping bool
}

// newHTTPServer returns a server for handler.
func newHTTPServer(handler http.Handler) *httpServer {
	s := &httpServer{
		handler: handler,
		open:    map[*unreadConn]bool{},
	}
	s.server = &http.Server{
		Handler:           http.HandlerFunc(s.handle),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			c, ok := conn.(*unreadConn)
			if !ok {
				return ctx
			}
			ctx, c.cancel = context.WithCancelCause(ctx)
			return context.WithValue(ctx, connKey{}, c)
		},
		ConnState: s.track,
	}
	return s
}

// track keeps the connections that are open, and notes which of them have no request.
func (s *httpServer) track(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*unreadConn)
	if !ok {
		return
	}
	if state == http.StateIdle {
		c.idle.end()
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch state {
	case http.StateNew:
		s.open[c] = true
	case http.StateClosed, http.StateHijacked:
		delete(s.open, c)
	case http.StateActive, http.StateIdle:
	}
}

// Serve accepts connections until the server is shut down, and then returns http.ErrServerClosed.
func (s *httpServer) Serve(listener net.Listener) error {
	s.mutex.Lock()
	s.listener = listener
	stopping := s.stopping
	s.mutex.Unlock()
	if stopping {
		listener.Close()
		return http.ErrServerClosed
	}
	err := s.server.Serve(&unreadListener{
		Listener: listener,
	})
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.stopping {
		return http.ErrServerClosed
	}
	return err
}

// Shutdown closes the listener, and each connection once it is idle. It returns the error of ctx if that ends before all are closed.
func (s *httpServer) Shutdown(ctx context.Context) error {
	s.closeListener()
	for s.closeIdle() > 0 && ctx.Err() == nil {
		sleep(ctx, shutdownPoll)
	}
	return s.server.Shutdown(ctx)
}

// RefuseIncomplete implements callerServer: handlers read the bodies of their requests.
func (s *httpServer) RefuseIncomplete() {}

// Close closes the listener and all connections.
func (s *httpServer) Close() error {
	s.closeListener()
	return s.server.Close()
}

// closeIdle closes the connections without a request, and returns how many are open. All others close with their next response.
func (s *httpServer) closeIdle() (open int) {
	s.mutex.Lock()
	conns := slices.Collect(maps.Keys(s.open))
	s.mutex.Unlock()
	now := time.Now()
	for _, conn := range conns {
		if conn.idle.closeIdle(now) {
			conn.Close()
		}
	}
	return len(conns)
}

func (s *httpServer) isStopping() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.stopping
}

func (s *httpServer) closeListener() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.stopping = true
	if s.listener != nil {
		s.listener.Close() // The server closes it once more, and reports the error.
	}
}
