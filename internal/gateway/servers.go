package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// shutdownPoll is the interval at which a server that is shut down looks for connections that have become idle.
const shutdownPoll = 20 * time.Millisecond

// httpServer is net/http's server, but for its shutdown: that of net/http closes a connection without an answer if its first request
// comes after the shutdown has begun.
type httpServer struct {
	server   *http.Server
	open     atomic.Int64
	mutex    sync.Mutex
	listener net.Listener
	stopping bool
}

// newHTTPServer returns a server for handler.
func newHTTPServer(handler http.Handler) *httpServer {
	s := &httpServer{}
	s.server = &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			if c, ok := conn.(*unreadConn); ok {
				ctx, c.cancel = context.WithCancelCause(ctx)
			}
			return ctx
		},
		ConnState: func(_ net.Conn, state http.ConnState) {
			switch state {
			case http.StateNew:
				s.open.Add(1)
			case http.StateClosed, http.StateHijacked:
				s.open.Add(-1)
			case http.StateActive, http.StateIdle:
			}
		},
	}
	return s
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
	for s.open.Load() > 0 && ctx.Err() == nil {
		// Closes the connections that are idle, those without a request after 5 s, and all others with their next response.
		s.server.SetKeepAlivesEnabled(false)
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

func (s *httpServer) closeListener() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.stopping = true
	if s.listener != nil {
		s.listener.Close() // The server closes it once more, and reports the error.
	}
}
