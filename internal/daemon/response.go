package daemon

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"cuminlift/core/admission"
	"cuminlift/core/request"
	"cuminlift/internal/metrics"
	"cuminlift/schema"
)

// forwardResponse copies an upstream's response to the caller. If the response ends early, it aborts the connection, so
// that a truncated response never appears complete.
func (d *Daemon) forwardResponse(w http.ResponseWriter, c *call, a *upstreamResponse) {
	result := admission.Failed
	defer func() { a.release(result) }()
	copyHeader(w.Header(), a.response.Header)
	w.Header().Set(headerRequestID, c.id)
	w.Header().Set(headerOutcome, request.Ran.String())
	if a.response.ContentLength >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(a.response.ContentLength, 10))
	}
	w.WriteHeader(a.response.StatusCode)
	written, callerFailed, err := copyBody(w, a.response.Body)
	if err == nil {
		result = admission.Answered
		d.traceResponse(c, a.response, written)
		return
	}
	d.trace.recordOutcome(&schema.Outcome{
		Kind:    "cut",
		Subject: d.self.GetId(),
		Request: c.id,
	})
	if callerFailed {
		result = admission.Abandoned
	} else {
		d.metrics.Add(metrics.TruncatedResponses, 1)
		d.logs.For("caller").WithError(err).WithField("request", c.id).Warn("upstream response ended early")
	}
	panic(http.ErrAbortHandler)
}

// traceResponse records a response that was forwarded completely.
func (d *Daemon) traceResponse(c *call, response *http.Response, written int64) {
	expected := response.ContentLength
	if expected < 0 || c.method == http.MethodHead {
		// A chunked body has no declared length and a response to HEAD has no body: what was copied counts as complete.
		expected = written
	}
	d.trace.recordOutcome(&schema.Outcome{
		Kind:    "answered",
		Subject: d.self.GetId(),
		Request: c.id,
		From:    uint64(written),
		To:      uint64(expected),
		Detail:  response.Header.Get(headerRequestID),
	})
}

// copyBody copies the body in pieces. callerFailed is true if writing to the caller failed.
func copyBody(w http.ResponseWriter, body io.Reader) (written int64, callerFailed bool, err error) {
	controller := http.NewResponseController(w)
	bufferPointer := copyBufferPool.Get().(*[]byte)
	defer copyBufferPool.Put(bufferPointer)
	buffer := *bufferPointer
	for {
		n, readErr := body.Read(buffer)
		if n > 0 {
			if n == len(buffer) {
				_ = controller.SetWriteDeadline(time.Now().Add(writeStallTimeout))
			}
			written += int64(n)
			if _, err := w.Write(buffer[:n]); err != nil {
				return written, true, err
			}
		}
		if errors.Is(readErr, io.EOF) {
			return written, false, nil
		}
		if readErr != nil {
			return written, false, readErr
		}
	}
}

const copyBufferSize = 16 << 10

// copyBufferPool holds buffers for copying bodies.
var copyBufferPool = sync.Pool{
	New: func() any {
		buffer := make([]byte, copyBufferSize)
		return &buffer
	},
}

// unforwardedHeaders are the headers that apply to a single connection, and those that must not reach an upstream.
var unforwardedHeaders = map[string]bool{
	"Connection":          true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	"Content-Length":      true,
	// net/http treats a request with one of these headers as idempotent and retries it by itself.
	headerIdempotencyKey:  true,
	headerXIdempotencyKey: true,
}

// copyHeader copies the headers that are meant for the other end.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		if unforwardedHeaders[name] || strings.HasPrefix(name, "Cuminlift-") || listedInConnection(from, name) {
			continue
		}
		to[name] = values
	}
}

func listedInConnection(h http.Header, name string) bool {
	for _, v := range h["Connection"] {
		if strings.Contains(strings.ToLower(v), strings.ToLower(name)) {
			return true
		}
	}
	return false
}
