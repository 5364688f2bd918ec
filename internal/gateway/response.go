package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"cuminlift/core/dispatch"
	"cuminlift/core/execution"
	"cuminlift/core/request"
	"cuminlift/internal/mutant"
	"cuminlift/io/caller"
	"cuminlift/io/upstream"
)

// streamBufferBytes is the size of the buffer of an answer that is passed on as it arrives.
const streamBufferBytes = 8 << 10

// writeResponse writes the response to the caller. If the response breaks off, it aborts the connection, so that the caller
// does not take the response for complete.
func (h *requestHandler) writeResponse(w http.ResponseWriter, c *call, response *upstream.Response, buffered []byte, complete bool) {
	header := w.Header()
	for name, values := range response.Header {
		header[name] = values
	}
	for _, name := range []string{"Date", "Content-Type"} {
		if _, present := header[name]; !present {
			header[name] = nil
		}
	}
	if complete && bodyAllowed(response.Status) && !response.Bodyless {
		header.Set("Content-Length", strconv.Itoa(len(buffered)))
	}
	if h.stopping.Load() {
		header.Set("Connection", "close")
	}
	controller := http.NewResponseController(w)
	if !complete {
		// A caller that reads too slowly must not keep a response, which may have no end, beyond the request's time.
		if err := controller.SetWriteDeadline(c.deadline); err != nil {
			h.log.WithField("request", c.requestID).WithError(err).Warn("limiting the time of an answer failed")
		}
	}
	w.WriteHeader(response.Status)
	_, err := w.Write(buffered)
	switch {
	case complete:
		// The caller has received everything, or its connection has ended.
		c.delivered = controller.Flush() == nil
		return
	case err != nil:
		panic(http.ErrAbortHandler)
	}
	// The server's own way of copying would take four times as much for each.
	if _, err := io.CopyBuffer(struct{ io.Writer }{w}, response.Body, make([]byte, streamBufferBytes)); err != nil {
		h.log.WithField("request", c.requestID).WithError(err).Warn("answer broke off")
		panic(http.ErrAbortHandler)
	}
	c.delivered = controller.Flush() == nil
	// The connection stays open for further requests.
	if err := controller.SetWriteDeadline(time.Time{}); err != nil {
		h.log.WithField("request", c.requestID).WithError(err).Warn("lifting the limit on the time of an answer failed")
	}
}

// logUnanswered logs a request that ends with its connection before it has been answered completely. broken is true if its handler has
// ended the connection.
func (h *requestHandler) logUnanswered(r *http.Request, c *call, broken bool) {
	cause := context.Cause(r.Context())
	if c.delivered || (cause == nil && !broken) {
		return
	}
	reason := "answer broke off"
	switch {
	case errors.Is(cause, caller.ErrClosed), errors.Is(cause, caller.ErrUnread):
		reason = cause.Error()
	case cause != nil:
		reason = caller.ErrLeft.Error()
	}
	h.log.WithFields(logrus.Fields{
		"request":      c.requestID,
		"service":      c.service,
		"cause":        reason,
		"passed-on":    c.arrivals > 0,
		"at-most-once": !c.state.Idempotent,
		"stopping":     h.stopping.Load(),
		"held":         time.Since(c.receivedAt),
	}).Info("request not answered")
}

func bodyAllowed(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// failCall responds at once to a call that no upstream answered. The status says whether the request may have run.
func (h *requestHandler) failCall(ctx context.Context, w http.ResponseWriter, r *http.Request, c *call, reason string, retryDelay time.Duration) {
	if r.Context().Err() != nil {
		h.counters.count("left")
		// One that has closed only its sending half must not get an empty success.
		panic(http.ErrAbortHandler)
	}
	known := c.state.ExecutionStatus()
	if mutant.Is(mutant.FalsePromise) {
		known = request.NotRun
	}
	status := execution.StatusFor(known, ctx.Err() != nil)
	if status == http.StatusServiceUnavailable && reason == string(dispatch.OverQuota) {
		status = http.StatusTooManyRequests
	}
	h.counters.recordUnanswered(c.workspace, status)
	skipped, logs := h.refusals.take(time.Now(), c.workspace, status)
	if !logs {
		h.respondError(w, status, reason, retryDelay)
		return
	}
	fields := logrus.Fields{
		"request":  c.requestID,
		"content":  formatFingerprint(c.identity.Content),
		"route":    c.route.Name,
		"service":  c.service,
		"key":      int64(c.key) - 1,
		"reason":   reason,
		"known":    c.state.ExecutionStatus().String(),
		"attempts": c.state.Attempts(),
		"refusals": c.refusals,
		"unsent":   c.unsent,
		"status":   status,
		"after":    retryDelay,
		"held":     time.Since(c.receivedAt),
	}
	if c.workspace != "" {
		fields["workspace"], fields["skipped"] = c.workspace, skipped
	}
	h.log.WithFields(fields).Warn("request given up")
	h.respondError(w, status, reason, retryDelay)
}

// respondError responds with an error of the instance itself.
func (h *requestHandler) respondError(w http.ResponseWriter, status int, reason string, retryDelay time.Duration) {
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		name, text := h.config.RetryAfterHeader(max(retryDelay, time.Millisecond))
		w.Header().Set(name, text)
	}
	if h.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	h.counters.count("refused-" + strconv.Itoa(status))
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, reason+"\n") // A caller that has disconnected needs no response.
}
