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

// pass copies an upstream's answer to the caller. An answer that ends early is cut off, so that it never looks whole.
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
		d.metrics.Add(metrics.CutAnswers, 1)
		d.logs.For("caller").WithError(err).WithField("request", c.id).Warn("answer is cut")
	}
	panic(http.ErrAbortHandler)
}

// traceAnswer records an answer that was passed on to its end.
func (d *Daemon) traceResponse(c *call, response *http.Response, written int64) {
	expected := response.ContentLength
	if expected < 0 || c.method == http.MethodHead {
		// The length of a body in chunks is what came before its last one.
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

// copyBody copies in pieces. caller is true where the failure is the caller's.
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

// copyBuffers keeps the buffers of answers that have been passed on.
var copyBufferPool = sync.Pool{
	New: func() any {
		buffer := make([]byte, copyBufferSize)
		return &buffer
	},
}

// hopByHop are the headers that belong to one connection, and those that only cuminlift sets.
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
	// With one of these net/http would send a request again on its own.
	headerIdempotencyKey:  true,
	headerXIdempotencyKey: true,
}

// copyHeader copies what is meant for the other end.
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
