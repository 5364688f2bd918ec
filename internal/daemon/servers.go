package daemon

import (
	"errors"
	"io"
	"log"
	"net"
	"net/http"

	"golang.org/x/sync/errgroup"
)

// startServers serves callers, other instances and operators until each server is shut down.
func (d *Daemon) startServers(group *errgroup.Group) {
	callers := d.newServer(d.callerHandler())
	forward := d.newServer(http.HandlerFunc(d.serveForward))
	operators := d.newServer(d.operatorHandler())
	forward.TLSConfig = d.identity.Server("http/1.1")
	operators.TLSConfig = d.identity.Server("http/1.1")
	d.servers = []*http.Server{callers, forward, operators}
	group.Go(func() error {
		if d.settings.GetTls().GetCallersPlain() {
			return ignoreServerClosed(callers.Serve(d.callers))
		}
		callers.TLSConfig = d.identity.CallerServer()
		return ignoreServerClosed(callers.ServeTLS(d.callers, "", ""))
	})
	group.Go(func() error { return ignoreServerClosed(serveTLS(forward, d.forward)) })
	group.Go(func() error { return ignoreServerClosed(serveTLS(operators, d.operators)) })
}

func serveTLS(s *http.Server, l net.Listener) error {
	return s.ServeTLS(l, "", "")
}

func ignoreServerClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

func (d *Daemon) newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          log.New(io.Discard, "", 0),
	}
}

// callerHandler serves callers and the readiness check of the load balancer.
func (d *Daemon) callerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /cuminlift/ready", d.serveReady)
	mux.HandleFunc("/", d.serveCaller)
	return mux
}

// serveReady returns 200 while the load balancer should send callers to this instance.
func (d *Daemon) serveReady(w http.ResponseWriter, _ *http.Request) {
	c := d.current.Load()
	if c == nil || d.stopping.Load() || c.isOut("zone", d.settings.GetZone()) || c.isOut("instance", d.settings.GetInstance()) {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}
