package caller

import (
	"bytes"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// maxHeldBytes is the size up to which the body of a response is held back: until it is its turn, or until more of it follows.
	maxHeldBytes = 4 << 10
	// maxBatchBytes is the size from which no further responses are added to one write.
	maxBatchBytes = 64 << 10
	// maxCopiedBytes is the size up to which a part of a body is copied to be written together with its head.
	maxCopiedBytes = 2 << 10
	outBufferBytes = 4 << 10
	// sniffBytes is how much of a body determines its type.
	sniffBytes = 512
)

var outBuffers = sync.Pool{
	New: func() any {
		buffer := make([]byte, 0, outBufferBytes)
		return &buffer
	},
}

func putOutBuffer(pooled *[]byte, used []byte) {
	if cap(used) <= 2*outBufferBytes {
		*pooled = used[:0]
	}
	outBuffers.Put(pooled)
}

// response implements http.ResponseWriter for one request. Its handler's goroutine writes to it; turn, turnChannel, finished, headSent
// and started are guarded by the connection's lock, and the rest belongs to the connection once finished is set.
type response struct {
	connection *connection
	request    *http.Request
	// handler is nil for the server's.
	handler http.Handler
	number  uint64
	header  http.Header
	status  int
	// length is the length of the body that the header announces, -1 if none, and written what the handler has written of it.
	length, written int64
	// held is the part of the body that is not written yet; heldReserved of its bytes are reserved.
	held         []byte
	heldReserved int64
	// bodyBytes are reserved for the request's body.
	bodyBytes int64
	chunked   bool
	// endsWithConnection is true if only the end of the connection ends the body.
	endsWithConnection bool
	// aborted is true if the response is not complete; closes, if the handler closes the connection.
	aborted, closes bool
	// deadline bounds the time of writing, if the handler sets it.
	deadline time.Time

	started, turn, finished, headSent bool
	// turnChannel is closed when it is this response's turn.
	turnChannel chan struct{}
}

// Header implements http.ResponseWriter.
func (r *response) Header() http.Header {
	if r.header == nil {
		r.header = http.Header{}
	}
	return r.header
}

// SetWriteDeadline bounds the time of writing. It is called by http.ResponseController.
func (r *response) SetWriteDeadline(at time.Time) error {
	r.deadline = at
	return nil
}

// WriteHeader implements http.ResponseWriter. Interim responses are not supported.
func (r *response) WriteHeader(status int) {
	if r.status != 0 || status < 200 {
		return
	}
	r.status = status
	if text := r.Header().Get("Content-Length"); text != "" {
		length, err := strconv.ParseInt(text, 10, 64)
		if err != nil || length < 0 {
			r.header.Del("Content-Length")
		} else {
			r.length = length
		}
	}
	for _, line := range r.header["Connection"] {
		r.closes = r.closes || strings.EqualFold(line, "close")
	}
	if r.closes {
		// Nothing that has not started yet may start.
		c := r.connection
		c.mutex.Lock()
		defer c.mutex.Unlock()
		if !c.over {
			c.line.Stop()
			c.removeNotRead()
		}
	}
}

// HoldFollowers makes no request start behind this one on its connection until its handler has returned, and reports whether any has
// started. These are lost if the response breaks off after a part of it has been written.
func (r *response) HoldFollowers() (followed bool) {
	c := r.connection
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return !c.over && c.line.Hold(r.number)
}

func (r *response) bodyAllowed() bool {
	return r.status != http.StatusNoContent && r.status != http.StatusNotModified
}

// Write implements http.ResponseWriter. It waits until it is the response's turn unless the response is short.
func (r *response) Write(data []byte) (int, error) {
	if r.status == 0 {
		r.WriteHeader(http.StatusOK)
	}
	switch {
	case len(data) == 0:
		return 0, nil
	case !r.bodyAllowed():
		return 0, http.ErrBodyNotAllowed
	case r.length >= 0 && r.written+int64(len(data)) > r.length && r.request.Method != http.MethodHead:
		return 0, http.ErrContentLength
	case r.request.Method == http.MethodHead:
		if len(r.held) == 0 {
			r.held = append(r.held, data[:min(len(data), sniffBytes)]...)
		}
		r.written += int64(len(data))
		return len(data), nil
	}
	r.written += int64(len(data))
	r.connection.mutex.Lock()
	turn, over := r.turn, r.connection.over
	r.connection.mutex.Unlock()
	if over {
		return 0, errLeft
	}
	complete := r.written == r.length
	if !(turn && complete) && len(r.held)+len(data) <= maxHeldBytes && (turn || r.reserveHeld(len(data))) {
		r.held = append(r.held, data...)
		return len(data), nil
	}
	if !turn {
		if err := r.waitTurn(); err != nil {
			return 0, err
		}
	}
	if err := r.send(data); err != nil {
		return 0, err
	}
	return len(data), nil
}

// WriteString implements io.StringWriter.
func (r *response) WriteString(text string) (int, error) { return r.Write([]byte(text)) }

// reserveHeld reserves memory for a part that is held back.
func (r *response) reserveHeld(n int) bool {
	if !r.connection.server.config.Budget.Reserve(ReadAhead, int64(n)) {
		return false
	}
	r.heldReserved += int64(n)
	return true
}

func (r *response) releaseHeld() {
	if r.heldReserved > 0 {
		r.connection.server.config.Budget.Release(ReadAhead, r.heldReserved)
		r.heldReserved = 0
	}
}

// releaseBody releases the memory of the request's body.
func (r *response) releaseBody() {
	if r.bodyBytes > 0 {
		r.connection.server.config.Budget.Release(Bodies, r.bodyBytes)
		r.bodyBytes = 0
	}
}

// waitTurn waits until all responses before this one have been written.
func (r *response) waitTurn() error {
	c := r.connection
	c.mutex.Lock()
	if r.turn {
		c.mutex.Unlock()
		return nil
	}
	r.turnChannel = make(chan struct{})
	c.mutex.Unlock()
	var expired <-chan time.Time
	if !r.deadline.IsZero() {
		timer := time.NewTimer(time.Until(r.deadline))
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case <-r.turnChannel:
		return nil
	case <-c.ctx.Done():
		return errLeft
	case <-expired:
		return os.ErrDeadlineExceeded
	}
}

// send writes what is held and data. It must be the response's turn.
func (r *response) send(data []byte) error {
	pooled := outBuffers.Get().(*[]byte)
	out := (*pooled)[:0]
	defer func() { putOutBuffer(pooled, out) }()
	c := r.connection
	c.mutex.Lock()
	if c.over {
		c.mutex.Unlock()
		return errLeft
	}
	start := r.held
	if len(start) == 0 {
		start = data
	}
	out = r.appendHead(out, start, false)
	c.mutex.Unlock()
	if r.chunked {
		out = strconv.AppendInt(out, int64(len(r.held)+len(data)), 16)
		out = append(out, "\r\n"...)
	}
	out = append(out, r.held...)
	r.held = r.held[:0]
	r.releaseHeld()
	tail := []byte(nil)
	if r.chunked {
		tail = []byte("\r\n")
	}
	var err error
	if len(data) <= maxCopiedBytes {
		out = append(append(out, data...), tail...)
		err = c.write(r.deadline, out)
	} else {
		err = c.write(r.deadline, out, data, tail)
	}
	if err != nil {
		r.aborted = true
		c.giveUp(err)
	}
	return err
}

// appendHead appends the head unless it was sent. start is the start of the body, and complete true if that is all of it. The
// connection's lock is held.
func (r *response) appendHead(out, start []byte, complete bool) []byte {
	if r.headSent {
		return out
	}
	r.headSent = true
	c := r.connection
	http11 := r.request.ProtoAtLeast(1, 1)
	bodyless := r.request.Method == http.MethodHead
	switch {
	case r.status == http.StatusNoContent:
		r.header.Del("Content-Length")
	case r.length >= 0 || !r.bodyAllowed() || (bodyless && r.written == 0):
	case complete:
		r.Header().Set("Content-Length", strconv.FormatInt(r.written, 10))
	case http11:
		r.chunked = true
	default:
		r.endsWithConnection = true
		c.line.Stop()
		c.removeNotRead()
	}
	closes := c.line.Head(r.number)
	if http11 {
		out = append(out, "HTTP/1.1 "...)
	} else {
		out = append(out, "HTTP/1.0 "...)
	}
	out = strconv.AppendInt(out, int64(r.status), 10)
	out = append(out, ' ')
	out = append(out, http.StatusText(r.status)...)
	out = append(out, "\r\n"...)
	if _, set := r.header["Date"]; !set {
		out = append(out, "Date: "...)
		out = time.Now().UTC().AppendFormat(out, http.TimeFormat)
		out = append(out, "\r\n"...)
	}
	if _, set := r.header["Content-Type"]; !set && len(start) > 0 {
		out = append(out, "Content-Type: "...)
		out = append(out, http.DetectContentType(start)...)
		out = append(out, "\r\n"...)
	}
	buffer := bytes.NewBuffer(out)
	_ = r.header.WriteSubset(buffer, ownFields) // Writing to a buffer can't fail.
	out = buffer.Bytes()
	switch {
	case closes && http11:
		out = append(out, "Connection: close\r\n"...)
	case !closes && !http11:
		out = append(out, "Connection: keep-alive\r\n"...)
	}
	if r.chunked {
		out = append(out, "Transfer-Encoding: chunked\r\n"...)
	}
	return append(out, "\r\n"...)
}

// ownFields are the header fields that the server sets itself.
var ownFields = map[string]bool{
	"Connection":        true,
	"Transfer-Encoding": true,
}

// endBody completes the response once its handler has returned.
func (r *response) endBody() {
	if r.status == 0 && !r.aborted {
		r.WriteHeader(http.StatusOK)
	}
	if r.status == 0 {
		return
	}
	if r.length >= 0 && r.written < r.length && r.request.Method != http.MethodHead && r.bodyAllowed() {
		r.aborted = true
	}
}

// appendRest appends what has not been sent of a finished response, nothing of one that broke off before any of it was sent. The
// connection's lock is held.
func (r *response) appendRest(out []byte) []byte {
	if r.status == 0 || (r.aborted && !r.headSent) {
		r.releaseHeld()
		return out
	}
	out = r.appendHead(out, r.held, !r.aborted)
	if len(r.held) > 0 && r.request.Method != http.MethodHead {
		if r.chunked {
			out = strconv.AppendInt(out, int64(len(r.held)), 16)
			out = append(out, "\r\n"...)
		}
		out = append(out, r.held...)
		if r.chunked {
			out = append(out, "\r\n"...)
		}
	}
	if r.chunked && !r.aborted {
		out = append(out, "0\r\n\r\n"...)
	}
	r.releaseHeld()
	return out
}
