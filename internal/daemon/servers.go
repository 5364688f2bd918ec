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
	operate := d.newServer(d.operatorHandler())
	forward.TLSConfig = d.identity.Server("http/1.1")
	operate.TLSConfig = d.identity.Server("http/1.1")
	d.servers = []*http.Server{callers, forward, operate}
	group.Go(func() error {
		if d.settings.GetTls().GetCallersPlain() {
			return ended(callers.Serve(d.callers))
		}
		callers.TLSConfig = d.identity.CallerServer()
		return ended(callers.ServeTLS(d.callers, "", ""))
	})
	group.Go(func() error { return ended(serveTLS(forward, d.forward)) })
	group.Go(func() error { return ended(serveTLS(operate, d.operate)) })
}

func serveTLS(s *http.Server, l net.Listener) error {
	return s.ServeTLS(l, "", "")
}

func ended(err error) error {
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

func (d *Daemon) newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeader,
		ErrorLog:          log.New(io.Discard, "", 0),
	}
}

// callerHandler serves callers, and the balancer's question whether this instance takes new ones.
func (d *Daemon) callerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /cuminlift/ready", d.ready)
	mux.HandleFunc("/", d.serveCaller)
	return mux
}

// ready answers 200 while the balancer should send callers here.
func (d *Daemon) ready(w http.ResponseWriter, _ *http.Request) {
	c := d.current.Load()
	if c == nil || d.stopping.Load() || c.isOut("zone", d.settings.GetZone()) || c.isOut("instance", d.settings.GetInstance()) {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}
