package caller

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"os"
	"strings"
	"sync"
	"time"

	"cuminlift/core/pipeline"
)

const (
	// headSlack is added to the limit of a header section, because callers count its bytes differently.
	headSlack = 4 << 10
	// keptHeadBytes is the size up to which the buffer of a header section is kept for the next one.
	keptHeadBytes = 4 << 10
	// maxDiscardedBody is the size up to which a body that is not needed is read to keep the connection, as net/http does.
	maxDiscardedBody = 256 << 10
	// firstBodyBytes is the initial size of a body's buffer, which grows as the body arrives.
	firstBodyBytes = 16 << 10
	// freeBodyBytes is the size of a body that is read also near the memory budget, since waiting would take as much.
	freeBodyBytes = 4 << 10
	// maxTrailerBytes bounds the trailer section of a chunked body, which is discarded.
	maxTrailerBytes = 4 << 10
)

// parser parses one header section at a time.
type parser struct {
	bytes  bytes.Reader
	reader *bufio.Reader
}

var parsers = sync.Pool{
	New: func() any {
		p := &parser{}
		p.reader = bufio.NewReader(&p.bytes)
		return p
	},
}

// body is a request body that has been read completely.
type body struct {
	bytes.Reader
	data []byte
}

// Close implements io.Closer.
func (b *body) Close() error { return nil }

// BodyBytes returns the body of a Server's request without copying it. It returns false for a request of another server, and for a
// body that is not read because it is too large.
func BodyBytes(r *http.Request) ([]byte, bool) {
	if b, ok := r.Body.(*body); ok {
		return b.data, true
	}
	return nil, r.Body == http.NoBody
}

// unreadBody is a body that is not read because it is too large or not needed.
type unreadBody struct {
	limit int64
}

// Read implements io.Reader.
func (b *unreadBody) Read([]byte) (int, error) {
	return 0, &http.MaxBytesError{
		Limit: b.limit,
	}
}

// Close implements io.Closer.
func (b *unreadBody) Close() error { return nil }

// readRequest reads one request and puts it in line. It reports false if nothing may be read after it.
func (c *connection) readRequest() bool {
	c.setPhase(phaseIdle)
	if _, err := c.input.Peek(1); err != nil {
		return c.endInput(err)
	}
	c.headStart = time.Now()
	if c.armedPhase == phaseHead {
		c.armedUntil = time.Time{} // It is that of an earlier header section.
	}
	c.setPhase(phaseHead)
	limits := c.server.config.Limits()
	if err := c.readHead(limits.HeaderBytes + headSlack); err != nil {
		if errors.Is(err, errHeadTooLong) {
			return c.refuse(http.StatusRequestHeaderFieldsTooLarge, "header section is too long")
		}
		return c.endInput(err)
	}
	request, err := c.parse()
	if err != nil {
		c.server.config.Count("caller-bad-head")
		var rejected *pipeline.HeadError
		if errors.As(err, &rejected) {
			return c.refuse(rejected.Status, rejected.Problem)
		}
		return c.refuse(http.StatusBadRequest, "malformed request")
	}
	size := int64(len(c.head))
	if cap(c.head) > keptHeadBytes {
		c.head = nil
	}
	class := c.server.config.Classify(request)
	r := &response{
		connection: c,
		length:     -1,
	}
	closes, ok := c.readBody(r, request, class)
	if !ok {
		r.releaseBody()
		return false
	}
	request.RemoteAddr = c.remote
	r.request = request.WithContext(&requestContext{
		Context:    c.ctx,
		arrivedAt:  c.headStart,
		concurrent: class.Concurrent,
	})
	c.lastPost = request.Method == http.MethodPost
	kind := pipeline.Exclusive
	if class.Concurrent && request.ProtoAtLeast(1, 1) {
		kind = pipeline.Concurrent
	}
	added := c.add(r, pipeline.Request{
		Kind:   kind,
		Closes: closes || request.Close,
		Bytes:  size + r.bodyBytes,
	})
	if !added {
		r.releaseBody()
		c.server.config.Count("caller-not-read")
	}
	return added && !closes && !request.Close
}

var errHeadTooLong = errors.New("header section is too long")

// readHead reads up to the first empty line, including lines that end in a bare line feed, which the check rejects.
func (c *connection) readHead(limit int64) error {
	c.head = c.head[:0]
	lineStart := 0
	for {
		part, err := c.input.ReadSlice('\n')
		c.head = append(c.head, part...)
		if int64(len(c.head)) > limit {
			return errHeadTooLong
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return err
		}
		line := c.head[lineStart:]
		lineStart = len(c.head)
		if string(line) != "\r\n" && string(line) != "\n" {
			continue
		}
		if len(c.head) == len("\r\n") && c.lastPost {
			// Some callers send a line end after the body of a POST request.
			c.lastPost = false
			c.head, lineStart = c.head[:0], 0
			continue
		}
		return nil
	}
}

func (c *connection) parse() (*http.Request, error) {
	if err := pipeline.CheckHead(c.head); err != nil {
		return nil, err
	}
	p := parsers.Get().(*parser)
	defer parsers.Put(p)
	p.bytes.Reset(c.head)
	p.reader.Reset(&p.bytes)
	request, err := http.ReadRequest(p.reader)
	if err != nil {
		return nil, err
	}
	request.Body = http.NoBody // The parser's own body ends with the header section.
	return request, nil
}

// endInput records why no further request can be read. It returns false.
func (c *connection) endInput(err error) bool {
	var network net.Error
	c.mutex.Lock()
	refusing := c.refusing
	c.mutex.Unlock()
	switch {
	case refusing && errors.Is(err, os.ErrDeadlineExceeded):
		return c.refuseWith(c.server.config.Refuse)
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed), errors.Is(err, os.ErrDeadlineExceeded):
	case errors.As(err, &network):
		c.leave(eventLeft) // The connection was reset.
	}
	return false
}

// refuse puts a response of the server itself in line, after which the connection closes. It returns false.
func (c *connection) refuse(status int, problem string) bool {
	return c.refuseWith(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		w.WriteHeader(status)
		_, _ = io.WriteString(w, problem+"\n") // A caller that has left needs no response.
	}))
}

// refuseWith puts a response in line to a request that was not read completely, after which the connection closes. It returns false.
func (c *connection) refuseWith(handler http.Handler) bool {
	r := &response{
		connection: c,
		length:     -1,
		request: &http.Request{
			Method:     http.MethodGet,
			ProtoMajor: 1,
			ProtoMinor: 1,
		},
		handler: handler,
	}
	c.add(r, pipeline.Request{
		Closes: true,
	})
	return false
}

// readBody reads the body of a request. It reports closes if nothing can be read after it, and ok if the request may run.
func (c *connection) readBody(r *response, request *http.Request, class Class) (closes, ok bool) {
	if request.ContentLength == 0 {
		return false, true
	}
	expects := request.ProtoAtLeast(1, 1) && strings.EqualFold(request.Header.Get("Expect"), "100-continue")
	c.setPhase(phaseBody)
	if class.MaxBodyBytes < 0 {
		request.Body = &unreadBody{}
		if expects || request.ContentLength < 0 || request.ContentLength > maxDiscardedBody {
			return true, true
		}
		if _, err := c.input.Discard(int(request.ContentLength)); err != nil {
			return true, c.endInput(err)
		}
		return false, true
	}
	if request.ContentLength > class.MaxBodyBytes {
		request.Body = &unreadBody{
			limit: class.MaxBodyBytes,
		}
		return true, true
	}
	if (expects || request.ContentLength > maxAheadBytes) && !c.waitFirst() {
		return true, false
	}
	if expects {
		if err := c.write(time.Time{}, []byte(continueHead)); err != nil {
			c.leave(eventLeft)
			return true, false
		}
	}
	data, err := c.readBodyBytes(r, request.ContentLength, class.MaxBodyBytes)
	switch {
	case err == nil:
	case errors.Is(err, errNoMemory):
		return true, c.refuse(http.StatusServiceUnavailable, "too much memory in use")
	case errors.Is(err, errBodyTooLong):
		r.releaseBody()
		request.Body = &unreadBody{
			limit: class.MaxBodyBytes,
		}
		return true, true
	case c.readError != nil:
		return true, c.endInput(err)
	default:
		c.server.config.Count("caller-bad-head")
		return true, c.refuse(http.StatusBadRequest, "malformed body")
	}
	b := &body{
		data: data,
	}
	b.Reset(data)
	request.Body = b
	return false, true
}

// waitFirst waits until all requests before the next one have been answered, and reports whether that one may be read.
func (c *connection) waitFirst() bool {
	c.waitUntil(func() bool { return len(c.queue) == 0 || c.line.Ended() }, 0)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return !c.over && !c.line.Ended()
}

var (
	errNoMemory    = errors.New("no memory for the body")
	errBodyTooLong = errors.New("body is too long")
)

// readBodyBytes reads a body of the given length, -1 if it is chunked, with at most limit bytes. Its buffer grows with what arrives.
func (c *connection) readBodyBytes(r *response, length, limit int64) ([]byte, error) {
	var source io.Reader = c.input
	most := length
	if length < 0 {
		source = httputil.NewChunkedReader(c.input)
		most = limit + 1
	}
	var data []byte
	for {
		if len(data) == cap(data) {
			grown := min(most, max(2*int64(cap(data)), firstBodyBytes))
			if !c.reserveBody(r, grown-int64(cap(data))) {
				return nil, errNoMemory
			}
			data = append(make([]byte, 0, grown), data...)
		}
		n, err := source.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case int64(len(data)) == length:
			return data, nil
		case int64(len(data)) > limit:
			return nil, errBodyTooLong
		case errors.Is(err, io.EOF) && length < 0:
			return data, c.readTrailer()
		case err != nil:
			return nil, err
		}
	}
}

// reserveBody reserves memory for a body. Near the budget it waits, and gives up after the time that a caller has for a header section.
func (c *connection) reserveBody(r *response, n int64) bool {
	budget := c.server.config.Budget
	if r.bodyBytes+n <= freeBodyBytes {
		budget.Take(Bodies, n)
		r.bodyBytes += n
		return true
	}
	reserve := func() bool { return budget.Reserve(Bodies, n) }
	if !reserve() && !c.waitUntil(reserve, c.server.config.Limits().HeaderTimeout) {
		return false
	}
	r.bodyBytes += n
	return true
}

func (c *connection) readTrailer() error {
	for read := 0; ; {
		line, err := c.input.ReadSlice('\n')
		if err != nil {
			return err
		}
		last, err := pipeline.CheckTrailer(line)
		if last || err != nil {
			return err
		}
		if read += len(line); read > maxTrailerBytes {
			return errBodyTooLong
		}
	}
}
