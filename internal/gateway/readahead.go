package gateway

import (
	"context"
	"net"
	"net/http"
	"time"

	"cuminlift/core/route"
	"cuminlift/io/caller"
)

const (
	// maxHeaderBytes bounds a header section if the configuration sets no limit.
	maxHeaderBytes = http.DefaultMaxHeaderBytes
	// unreadTimeout is how long a caller may read nothing before its response is given up. Upstreams cut off a response that stays
	// unread for some seconds, too.
	unreadTimeout = 5 * time.Second
)

// callerServer serves callers' connections.
type callerServer interface {
	Serve(listener net.Listener) error
	Shutdown(ctx context.Context) error
	// RefuseIncomplete refuses the requests that have begun to arrive, unless their handlers read them.
	RefuseIncomplete()
	Close() error
}

// newCallerServer returns a server for callers that send requests ahead if the settings enable it, else that of net/http.
func (g *Gateway) newCallerServer() callerServer {
	if !g.config.Settings.ReadAhead {
		return newHTTPServer(g.requestHandler)
	}
	return caller.New(caller.Config{
		Handler:  g.requestHandler,
		Refuse:   http.HandlerFunc(g.requestHandler.refuseStopping),
		Classify: g.requestHandler.classify,
		Limits:   g.requestHandler.callerLimits,
		Budget:   g.requestHandler.buffers.budget,
		Count:    g.counters.count,
		Log:      g.requestHandler.log,
	})
}

// classify tells from the route how a request may run.
func (h *requestHandler) classify(r *http.Request) caller.Class {
	v := h.view()
	if v.table == nil || !v.configured {
		return caller.Class{
			MaxBodyBytes: -1,
		}
	}
	matched := v.table.Find(stripPort(r.Host), r.URL.EscapedPath())
	if matched == nil {
		return caller.Class{
			MaxBodyBytes: -1,
		}
	}
	return caller.Class{
		Concurrent:   matched.Kind != route.AtMostOnce,
		MaxBodyBytes: maxBodyBytes(v),
	}
}

// callerLimits returns the limits in force. Timeouts of the configuration only lengthen the instance's own, because callers may use
// a connection until the end of the configured time.
func (h *requestHandler) callerLimits() caller.Limits {
	limits := caller.Limits{
		HeaderBytes:   maxHeaderBytes,
		HeaderTimeout: headerTimeout,
		IdleTimeout:   idleTimeout,
		WriteTimeout:  unreadTimeout,
	}
	v := h.view()
	if v.table == nil {
		return limits
	}
	configured := v.table.Limits
	if configured.HeaderBytes > 0 {
		limits.HeaderBytes = configured.HeaderBytes
	}
	limits.HeaderTimeout = max(limits.HeaderTimeout, configured.HeaderTimeout)
	limits.IdleTimeout = max(limits.IdleTimeout, configured.IdleTimeout)
	return limits
}

// maxBodyBytes returns the size of the largest body that callers may send.
func maxBodyBytes(v *view) int64 {
	if v.table.Limits.BodyBytes > 0 {
		return v.table.Limits.BodyBytes
	}
	return defaultMaxBodyBytes
}
