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
func (d *Daemon) pass(w http.ResponseWriter, c *call, a *answer) {
	result := admission.Failed
	defer func() { a.done(result) }()
	copyHeader(w.Header(), a.response.Header)
	w.Header().Set(headerRequest, c.id)
	w.Header().Set(headerOutcome, request.Ran.String())
	if a.response.ContentLength >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(a.response.ContentLength, 10))
	}
	w.WriteHeader(a.response.StatusCode)
	copied, caller, err := copyBody(w, a.response.Body)
	if err == nil {
		result = admission.Answered
		d.traceAnswer(c, a.response, copied)
		return
	}
	d.trace.outcome(&schema.Outcome{
		Kind:    "cut",
		Subject: d.self.GetId(),
		Request: c.id,
	})
	if caller {
		result = admission.Abandoned
	} else {
		d.metrics.Add(metrics.TruncatedResponses, 1)
		d.logs.For("caller").WithError(err).WithField("request", c.id).Warn("answer is cut")
	}
	panic(http.ErrAbortHandler)
}

// traceAnswer records an answer that was passed on to its end.
func (d *Daemon) traceAnswer(c *call, response *http.Response, copied int64) {
	whole := response.ContentLength
	if whole < 0 || c.method == http.MethodHead {
		// The length of a body in chunks is what came before its last one.
		whole = copied
	}
	d.trace.outcome(&schema.Outcome{
		Kind:    "answered",
		Subject: d.self.GetId(),
		Request: c.id,
		From:    uint64(copied),
		To:      uint64(whole),
		Detail:  response.Header.Get(headerRequest),
	})
}

// copyBody copies in pieces. caller is true where the failure is the caller's.
func copyBody(w http.ResponseWriter, body io.Reader) (copied int64, caller bool, err error) {
	controller := http.NewResponseController(w)
	pooled := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(pooled)
	buffer := *pooled
	for {
		n, readErr := body.Read(buffer)
		if n > 0 {
			if n == len(buffer) {
				_ = controller.SetWriteDeadline(time.Now().Add(writeStall))
			}
			copied += int64(n)
			if _, err := w.Write(buffer[:n]); err != nil {
				return copied, true, err
			}
		}
		if errors.Is(readErr, io.EOF) {
			return copied, false, nil
		}
		if readErr != nil {
			return copied, false, readErr
		}
	}
}

const copyBuffer = 16 << 10

// copyBuffers keeps the buffers of answers that have been passed on.
var copyBuffers = sync.Pool{
	New: func() any {
		buffer := make([]byte, copyBuffer)
		return &buffer
	},
}

// hopByHop are the headers that belong to one connection, and those that only cuminlift sets.
var hopByHop = map[string]bool{
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
	headerRepeatKey:  true,
	headerRepeatKeyX: true,
}

// copyHeader copies what is meant for the other end.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		if hopByHop[name] || strings.HasPrefix(name, "Cuminlift-") || namedByConnection(from, name) {
			continue
		}
		to[name] = values
	}
}

func namedByConnection(h http.Header, name string) bool {
	for _, v := range h["Connection"] {
		if strings.Contains(strings.ToLower(v), strings.ToLower(name)) {
			return true
		}
	}
	return false
}
