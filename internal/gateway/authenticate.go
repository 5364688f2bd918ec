package gateway

import (
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"cuminlift/core/route"
	"cuminlift/core/workspace"
)

// authenticate returns the workspace that a request's API key belongs to, nil for none, and whether the request may be served. It
// removes the key from the headers of one that may.
func (h *requestHandler) authenticate(r *http.Request, v *view, matched *route.Route) (caller *workspace.Workspace, authorized bool) {
	directory := v.table.Workspaces
	if directory == nil {
		return nil, true
	}
	// With several keys, caller and instance could disagree on which one counts.
	if keys := r.Header.Values(h.config.Headers.APIKey); len(keys) == 1 {
		caller = directory.Find(keys[0])
	}
	if caller == nil && !matched.AllowAnonymous {
		return nil, false
	}
	r.Header.Del(h.config.Headers.APIKey)
	return caller, true
}

// rejectKey responds to a request without a valid API key.
func (h *requestHandler) rejectKey(w http.ResponseWriter, r *http.Request, matched *route.Route) {
	if skipped, logs := h.refusals.take(time.Now(), matched.Name, http.StatusUnauthorized); logs {
		h.log.WithFields(logrus.Fields{
			"request": r.Header.Get(h.config.Headers.Request),
			"route":   matched.Name,
			"given":   r.Header.Values(h.config.Headers.APIKey) != nil,
			"skipped": skipped,
		}).Info("request without a valid API key")
	}
	if r.ContentLength != 0 {
		// To keep the connection open, the server would read the body before it sends the response, and a caller may take its time.
		w.Header().Set("Connection", "close")
	}
	// A response with this status must name a scheme.
	w.Header().Set("WWW-Authenticate", h.config.Headers.APIKey)
	h.respondError(w, http.StatusUnauthorized, "no valid API key", 0)
}

// assign assigns the call to its caller's workspace, which may be nil.
func (c *call) assign(caller *workspace.Workspace) {
	if caller == nil {
		return
	}
	c.workspace = caller.Name
	if caller.Prioritized {
		c.priority = caller.Priority
	}
}
