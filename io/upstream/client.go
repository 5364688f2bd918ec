package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Headers names the headers between instances and upstreams.
type Headers struct {
	// Request names a request, and an upstream's answer repeats it.
	Request string
	// Deadline holds the milliseconds that are left.
	Deadline string
	// Signature proves that an answer is an upstream's.
	Signature string
	// ExpectedUpstream names the upstream that the request is for.
	ExpectedUpstream string
	// Load is the upstream's report of its load.
	Load string
	// NotRun stands in an answer to a request that was not run.
	NotRun string
	// Key is the number of the request's key.
	Key string
}

// Request is one attempt at one upstream.
type Request struct {
	Address string
	// Upstream is the id of the upstream that alone may run it.
	Upstream string
	Method   string
	// Target is the path and query as the caller sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// RequestID is what the answer must repeat, empty where the caller gave none.
	RequestID string
	// Timeout is the time that the upstream is given.
	Timeout time.Duration
	// AtMostOnce is true for a request that may not run twice: it takes no connection that was idle for long, because it is not
	// known whether one that is reset had been read.
	AtMostOnce bool
}

// Response is the answer to an attempt. Its body must be read to the end and closed.
type Response struct {
	Status int
	Header http.Header
	// Length is that of the body, -1 where it is not known.
	Length int64
	// BodyBuffered is true where the whole body came with the head.
	BodyBuffered bool
	// NotRun is true where the upstream says that it did not run the request.
	NotRun bool
	Body   io.ReadCloser
}

// NotSentError reports an attempt of which nothing was sent. It has not run.
type NotSentError struct {
	Upstream string
	Cause    error
}

func (e *NotSentError) Error() string {
	return fmt.Sprintf("upstream %s can't be connected to (%v): nothing was sent, another one may be tried", e.Upstream, e.Cause)
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// UnknownOutcomeError reports an attempt that was sent and has no readable answer. It may have run.
type UnknownOutcomeError struct {
	Upstream string
	Cause    error
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("upstream %s gave no readable answer (%v): the request may have run, and is repeated only if it is idempotent", e.Upstream, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// Client sends requests to upstreams over connections that it keeps. It never repeats a request.
type Client struct {
	headers Headers
	pool    *connections
}

// NewClient returns a Client without connections.
func NewClient(headers Headers) *Client {
	return &Client{
		headers: headers,
		pool:    newConnections(),
	}
}

// Dials returns the number of connections made.
func (e *Client) Dials() int64 {
	return e.pool.dials.Load()
}

// Do sends request and returns the head of its answer, or a *NotSentError or *UnknownOutcomeError. Ending ctx closes the connection, whereupon most
// upstreams drop the work.
func (e *Client) Do(ctx context.Context, request Request) (*Response, error) {
	c, err := e.pool.take(ctx, request.Address, request.AtMostOnce)
	if err != nil {
		return nil, &NotSentError{
			Upstream: request.Upstream,
			Cause:    err,
		}
	}
	stop := context.AfterFunc(ctx, c.abort)
	written := make(chan error, 1)
	head := e.encode(request)
	n, err := c.write(head, request.Body, written)
	if err != nil && n == 0 {
		stop()
		c.abort()
		return nil, &NotSentError{
			Upstream: request.Upstream,
			Cause:    err,
		}
	}
	response, err := e.read(c, request)
	if err != nil {
		stop()
		c.abort()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, &UnknownOutcomeError{
			Upstream: request.Upstream,
			Cause:    err,
		}
	}
	return e.finish(c, request, response, stop, written), nil
}

// encode returns the head of the request as bytes.
func (e *Client) encode(request Request) []byte {
	var b bytes.Buffer
	b.Grow(512)
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", request.Method, request.Target, request.Host)
	header := request.Header.Clone()
	RemoveHopByHopHeaders(header)
	header.Del("Host")
	header.Del("Content-Length")
	header.Del("Expect")
	header.Set(e.headers.Deadline, strconv.FormatInt(max(1, request.Timeout.Milliseconds()), 10))
	header.Set(e.headers.ExpectedUpstream, request.Upstream)
	if len(request.Body) > 0 || (request.Method != http.MethodGet && request.Method != http.MethodHead) {
		header.Set("Content-Length", strconv.Itoa(len(request.Body)))
	}
	// Writing to a buffer can't fail.
	_ = header.Write(&b)
	b.WriteString("\r\n")
	return b.Bytes()
}

// maxStrays bounds the answers to earlier requests that are passed over on one connection.
const maxStrays = 4

// read returns the answer that names the request, and passes over those that name another.
func (e *Client) read(c *connection, request Request) (*http.Response, error) {
	for range maxStrays {
		response, err := readFinal(c.reader, request.Method)
		if err != nil {
			return nil, err
		}
		name := response.Header.Get(e.headers.Request)
		if name == request.RequestID || (name == "" && e.notRun(response)) {
			return response, nil
		}
		c.strayed = true
		if name == "" || response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
			return nil, errors.New("the answer names no request")
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return nil, err
		}
	}
	return nil, errors.New("too many answers to other requests")
}

// readFinal skips answers of the 1xx kind.
func readFinal(reader *bufio.Reader, method string) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(reader, &http.Request{
			Method: method,
		})
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= 200 {
			return response, nil
		}
	}
}

func (e *Client) notRun(response *http.Response) bool {
	return response.Header.Get(e.headers.NotRun) != "" || response.StatusCode == http.StatusMisdirectedRequest
}

func (e *Client) finish(c *connection, request Request, response *http.Response, stop func() bool, written <-chan error) *Response {
	body := &answerBody{
		body:       response.Body,
		connection: c,
		stop:       stop,
		written:    written,
		pool:       e.pool,
		address:    request.Address,
		keep:       !response.Close && !c.strayed,
		idle:       keepAlive(response.Header.Get("Keep-Alive")),
	}
	header := response.Header
	RemoveHopByHopHeaders(header)
	return &Response{
		Status:       response.StatusCode,
		Header:       header,
		Length:       response.ContentLength,
		BodyBuffered: response.ContentLength >= 0 && int64(c.reader.Buffered()) >= response.ContentLength,
		NotRun:       e.notRun(response),
		Body:         body,
	}
}

// keepAlive returns the time for which an upstream says that it keeps an idle connection, 0 where it says nothing.
func keepAlive(text string) time.Duration {
	for _, part := range strings.Split(text, ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !found {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err == nil && seconds >= 0 {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}

// answerBody is the body of an answer. The connection goes back to the pool when the whole answer was read and nothing more came.
type answerBody struct {
	body       io.ReadCloser
	connection *connection
	stop       func() bool
	written    <-chan error
	pool       *connections
	address    string
	keep       bool
	idle       time.Duration
	whole      bool
	done       bool
}

// Read implements io.Reader. An error other than io.EOF tells that the answer is not whole.
func (b *answerBody) Read(data []byte) (int, error) {
	n, err := b.body.Read(data)
	if errors.Is(err, io.EOF) {
		b.whole = true
	}
	return n, err
}

// Close gives the connection back, or closes it.
func (b *answerBody) Close() error {
	if b.done {
		return nil
	}
	b.done = true
	intact := b.stop()
	if !b.whole {
		// An empty body may not have been read at all.
		n, err := b.body.Read(make([]byte, 1))
		b.whole = n == 0 && errors.Is(err, io.EOF)
	}
	if intact && b.keep && b.whole && b.connection.reader.Buffered() == 0 && b.fullyWritten() {
		b.pool.put(b.address, b.connection, b.idle)
		return nil
	}
	b.connection.abort()
	return nil
}

// fullyWritten reports whether the request was sent to its end: an upstream may answer before it has read a long body.
func (b *answerBody) fullyWritten() bool {
	select {
	case err := <-b.written:
		return err == nil
	default:
		return false
	}
}

// RemoveHopByHopHeaders takes out what concerns only one connection.
func RemoveHopByHopHeaders(header http.Header) {
	for _, line := range header.Values("Connection") {
		for _, name := range strings.Split(line, ",") {
			if name = strings.TrimSpace(name); name != "" {
				header.Del(name)
			}
		}
	}
	for _, name := range []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade"} {
		header.Del(name)
	}
}
