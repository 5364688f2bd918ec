package gateway

import (
	"net/http"
	"sync"
	"time"
)

// firstRequestGrace is how long a server that is shut down waits for a request that has begun to arrive, and for the first one of a
// connection.
const firstRequestGrace = 5 * time.Second

// idleState tells whether a connection may be closed without an answer that is owed.
type idleState struct {
	mutex    sync.Mutex
	openedAt time.Time
	// readAt is when the first byte of the next request was read, zero if none was.
	readAt time.Time
	// served is true once a request was handled, and handling while one is.
	served, handling bool
	// closed is true once this instance has closed the connection. Nothing that is read is handled any more.
	closed bool
}

// read records that bytes were read. It reports false if the connection was closed before.
func (s *idleState) read(now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.handling && s.readAt.IsZero() {
		s.readAt = now
	}
	return !s.closed
}

// begin records that a request is handled from now on. It reports false if the connection was closed before.
func (s *idleState) begin() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.handling, s.served = true, true
	return !s.closed
}

// end records that the response to a request was written.
func (s *idleState) end() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.handling = false
	s.readAt = time.Time{}
}

// closeIdle records that the connection is closed, and reports true, if no request is handled or arrives.
func (s *idleState) closeIdle(now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch {
	case s.handling, s.closed:
		return false
	case !s.readAt.IsZero() && now.Sub(s.readAt) <= firstRequestGrace:
		return false
	case !s.served && now.Sub(s.openedAt) <= firstRequestGrace:
		return false
	}
	s.closed = true
	return true
}

// close records that the connection is closed.
func (s *idleState) close() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.closed = true
}

type connKey struct{}

// handle calls the handler for a request unless its connection was closed before: its response could not be written.
func (s *httpServer) handle(w http.ResponseWriter, r *http.Request) {
	if conn, ok := r.Context().Value(connKey{}).(*unreadConn); ok && !conn.idle.begin() {
		panic(http.ErrAbortHandler)
	}
	if s.isStopping() {
		w.Header().Set("Connection", "close")
	}
	s.handler.ServeHTTP(w, r)
}
