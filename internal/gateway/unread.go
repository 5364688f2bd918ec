package gateway

import (
	"net/http"
	"time"
)

// maxUnreadPart is how much is written at a time, so that a caller that reads slowly is told from one that reads nothing.
const maxUnreadPart = 64 << 10

// unreadWriter gives up a response of which the caller reads nothing for unreadTimeout. The server of net/http only knows bounds for whole
// responses.
type unreadWriter struct {
	http.ResponseWriter
	controller *http.ResponseController
	// until is when the response ends at the latest, if the handler has set that.
	until time.Time
}

// boundUnread makes a handler's responses end if they are not read.
func boundUnread(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		bounded := &unreadWriter{
			ResponseWriter: w,
			controller:     http.NewResponseController(w),
		}
		// What the handler has written is still buffered in part, and is sent after it has returned.
		defer bounded.arm()
		handler.ServeHTTP(bounded, r)
	})
}

// Unwrap returns the server's writer. It is called by http.ResponseController.
func (w *unreadWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// SetWriteDeadline bounds the time of writing. It is called by http.ResponseController.
func (w *unreadWriter) SetWriteDeadline(at time.Time) error {
	w.until = at
	return nil
}

// arm bounds the next write.
func (w *unreadWriter) arm() {
	at := time.Now().Add(unreadTimeout)
	if !w.until.IsZero() && w.until.Before(at) {
		at = w.until
	}
	_ = w.controller.SetWriteDeadline(at) // It fails only on a closed connection, which the write reports.
}

// Write implements io.Writer.
func (w *unreadWriter) Write(data []byte) (written int, err error) {
	for first := true; first || len(data) > 0; first = false {
		part := data[:min(len(data), maxUnreadPart)]
		w.arm()
		n, err := w.ResponseWriter.Write(part)
		written += n
		if err != nil {
			return written, err
		}
		data = data[len(part):]
	}
	return written, nil
}
