package gateway

import (
	"context"
	"net"
	"net/http"
)

// Server serves callers as an instance does that does not read ahead.
type Server interface {
	Serve(listener net.Listener) error
	Shutdown(ctx context.Context) error
}

// NewServer returns a Server for handler.
func NewServer(handler http.Handler) Server { return newHTTPServer(handler) }
