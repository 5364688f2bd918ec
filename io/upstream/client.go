package upstream

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"cuminlift/core/execution"
	"cuminlift/internal/mutant"
	"cuminlift/io/answer"
)

// Headers holds the names of the HTTP headers used between instances and upstreams.
type Headers struct {
	// Request carries the ID of a request. The upstream's response repeats it.
	Request string
	// Deadline carries the remaining time in milliseconds.
	Deadline string
	// Signature proves that a response comes from an upstream.
	Signature string
	// ExpectedUpstream carries the ID of the upstream that the request is for.
	ExpectedUpstream string
	// Load carries the upstream's load report.
	Load string
	// Limit carries the number of requests per second that the upstream takes from all instances.
	Limit string
	// Leaving marks the answers of an upstream that leaves.
	Leaving string
	// Pause carries, in an answer with status 503, the time for which the upstream wants no requests from this instance.
	Pause string
	// NotRun marks the response to a request that was not run.
	NotRun string
	// Upstream carries the ID of the upstream that answers.
	Upstream string
	// Key carries the number of the request's key.
	Key string
	// APIKey carries a caller's API key, which is not sent on.
	APIKey string
	// Workspace carries the name of the workspace that a request belongs to. It is never taken from a caller.
	Workspace string
}

// Request is one attempt at one upstream.
type Request struct {
	Address string
	// Upstream is the ID of the only upstream that may run the request.
	Upstream string
	Method   string
	// Target is the path and query as sent by the caller.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Workspace is the workspace that the request belongs to, empty for none.
	Workspace string
	// RequestID is the ID that the response must repeat. It is empty if the caller gave none.
	RequestID string
	// Timeout is the time that the upstream has to respond.
	Timeout time.Duration
	// AtMostOnce is true for a request that must not run twice. It is not sent on a connection that was idle for long: if
	// such a connection is reset, it is unknown whether the upstream had read the request.
	AtMostOnce bool
	// Confirm is called once there is a connection, just before the request is written. If it returns false, nothing is sent. It may
	// be nil.
	Confirm func() bool
}

// Response is the response to an attempt. The caller must read its body to the end, and close it once the header is not used any more.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body that follows, -1 if it is not known.
	Length int64
	// Bodyless is true if no body follows whatever length the head names, as in the response to HEAD.
	Bodyless bool
	// BodyBuffered is true if the complete body was received together with the head.
	BodyBuffered bool
	// Evidence is what the attempt has shown about whether the request ran.
	Evidence execution.Evidence
	Body     io.ReadCloser
}

// NotSentError reports an attempt of which nothing was sent, so the request did not run.
type NotSentError struct {
	Upstream string
	Cause    error
}

func (e *NotSentError) Error() string {
	return fmt.Sprintf("can't connect to upstream %s (%v): nothing was sent, another upstream may be tried", e.Upstream, e.Cause)
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// ErrNotConfirmed is the cause of a NotSentError if Confirm returned false.
var ErrNotConfirmed = errors.New("the upstream may no longer be used")

// UnknownOutcomeError reports an attempt that was sent and got no valid response. The request may have run.
type UnknownOutcomeError struct {
	Upstream string
	Cause    error
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("no valid response from upstream %s (%v): the request may have run, and is retried only if it is idempotent", e.Upstream, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// Client sends requests to upstreams over persistent connections. It never retries a request.
type Client struct {
	headers Headers
	pool    *connectionPool
}

// ClientConfig configures a Client.
type ClientConfig struct {
	Headers Headers
	// Dial opens connections, nil for the default.
	Dial DialFunc
	// Heads is the memory for heads that are larger than usual, nil if they are bounded only one by one.
	Heads HeadMemory
}

// NewClient returns a Client with the defaults.
func NewClient(headers Headers) *Client {
	return NewConfiguredClient(ClientConfig{
		Headers: headers,
	})
}

// NewConfiguredClient returns a Client. It connects on first use.
func NewConfiguredClient(config ClientConfig) *Client {
	if config.Dial == nil {
		config.Dial = DialWithReset(connectTimeout)
	}
	if config.Heads == nil {
		config.Heads = unboundedHeadMemory{}
	}
	return &Client{
		headers: config.Headers,
		pool:    newConnectionPool(config.Dial, config.Heads),
	}
}

// Dials returns the number of connections dialed so far.
func (cl *Client) Dials() int64 {
	return cl.pool.dials.Load()
}

// Listening is what an attempt to connect tells of an upstream.
type Listening int

const (
	// Unknown: nothing answered in time.
	Unknown Listening = iota
	// Refused: the connection was refused, as if no process listened.
	Refused
	// Listens: the connection was accepted.
	Listens
)

// Check connects to address within timeout. An open connection is kept for later requests.
func (cl *Client) Check(ctx context.Context, address string, timeout time.Duration) Listening {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	c, err := cl.pool.connect(ctx, address)
	switch {
	case err == nil:
		cl.pool.put(address, c, 0)
		return Listens
	case errors.Is(err, syscall.ECONNREFUSED):
		return Refused
	}
	return Unknown
}

// Do sends request and returns once the head of the response is received. An error is a *NotSentError or an
// *UnknownOutcomeError. The end of ctx closes the connection, upon which most upstreams abandon the request.
func (cl *Client) Do(ctx context.Context, request Request) (*Response, error) {
	c, err := cl.pool.take(ctx, request)
	if err != nil {
		return nil, &NotSentError{
			Upstream: request.Upstream,
			Cause:    err,
		}
	}
	if request.Confirm != nil && !request.Confirm() {
		cl.pool.putBack(request.Address, c)
		return nil, &NotSentError{
			Upstream: request.Upstream,
			Cause:    ErrNotConfirmed,
		}
	}
	stop := context.AfterFunc(ctx, c.abort)
	written := make(chan error, 1)
	head := cl.encodeHead(request)
	n, err := c.write(head, request.Body, written)
	if err != nil && n == 0 {
		stop()
		c.abort()
		return nil, &NotSentError{
			Upstream: request.Upstream,
			Cause:    err,
		}
	}
	response, evidence, err := cl.readResponse(c, request)
	if err != nil {
		stop()
		c.abort()
		c.head.release()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, &UnknownOutcomeError{
			Upstream: request.Upstream,
			Cause:    err,
		}
	}
	result := cl.newResponse(c, request, response, stop, written)
	result.Evidence = evidence
	return result, nil
}

// encodeHead encodes the request line and the headers.
func (cl *Client) encodeHead(request Request) []byte {
	var b bytes.Buffer
	b.Grow(512)
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", request.Method, request.Target, request.Host)
	header := request.Header.Clone()
	RemoveHopByHopHeaders(header)
	header.Del("Host")
	header.Del("Content-Length")
	header.Del("Expect")
	header.Set(cl.headers.Deadline, strconv.FormatInt(max(1, request.Timeout.Milliseconds()), 10))
	header.Set(cl.headers.ExpectedUpstream, request.Upstream)
	// After the removal of the headers that a caller lists as those of its connection, which may name this one.
	header.Del(cl.headers.Workspace)
	if request.Workspace != "" {
		header.Set(cl.headers.Workspace, request.Workspace)
	}
	if len(request.Body) > 0 || (request.Method != http.MethodGet && request.Method != http.MethodHead) {
		header.Set("Content-Length", strconv.Itoa(len(request.Body)))
	}
	// Writing to a buffer can't fail.
	_ = header.Write(&b)
	b.WriteString("\r\n")
	return b.Bytes()
}

const (
	// maxMismatches bounds the responses to earlier requests that are discarded on one connection, and maxMismatchBytes the size of
	// the body of each.
	maxMismatches    = 4
	maxMismatchBytes = 1 << 20
)

// readResponse returns the response that carries the request's ID, and discards responses that carry another one.
func (cl *Client) readResponse(c *connection, request Request) (*http.Response, execution.Evidence, error) {
	unanswered := execution.Evidence{
		Sent: true,
	}
	for range maxMismatches {
		response, err := c.readFinalResponse(request.Method)
		if err != nil {
			return nil, unanswered, err
		}
		id := response.Header.Get(cl.headers.Request)
		evidence := cl.evidence(c, request, response)
		if evidence.Refusal() {
			c.refused, c.lastRefused = true, cmp.Or(id, request.RequestID)
		}
		if id == request.RequestID || (id == "" && evidence.Refusal() && (!request.AtMostOnce || !c.used)) {
			c.used = true
			return response, evidence, nil
		}
		c.desynchronized = true
		if id == "" || response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
			return nil, unanswered, errors.New("response carries no request ID")
		}
		n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxMismatchBytes))
		if err != nil {
			return nil, unanswered, err
		}
		if n == maxMismatchBytes {
			return nil, unanswered, errors.New("response to another request is too long")
		}
	}
	return nil, unanswered, errors.New("too many responses to other requests")
}

// evidence returns what a response on a connection shows about a request.
func (cl *Client) evidence(c *connection, request Request, response *http.Response) execution.Evidence {
	id, upstream := response.Header.Get(cl.headers.Request), response.Header.Get(cl.headers.Upstream)
	return execution.Evidence{
		Sent:          true,
		Status:        response.StatusCode,
		Marked:        response.Header.Get(cl.headers.NotRun) != "" || (response.StatusCode == http.StatusMisdirectedRequest && mutant.Is(mutant.StatusTrusted)),
		OtherUpstream: upstream != "" && upstream != request.Upstream,
		Identified:    id != "" && id == request.RequestID,
		Reused:        c.used,
		RefusedBefore: c.lastRefused != "" && c.lastRefused == request.RequestID && !mutant.Is(mutant.CopiesTrusted),
	}
}

// readFinalResponse skips informational (1xx) responses.
func (c *connection) readFinalResponse(method string) (*http.Response, error) {
	c.head.await()
	defer func() { c.head.awaiting = false }()
	for range maxInformational {
		response, err := http.ReadResponse(c.reader, &http.Request{
			Method: method,
		})
		if err != nil {
			return nil, err
		}
		if err := answer.CheckHead(response); err != nil {
			return nil, err
		}
		if response.StatusCode >= 200 {
			return response, nil
		}
	}
	return nil, errors.New("too many informational responses")
}

func (cl *Client) newResponse(c *connection, request Request, response *http.Response, stop func() bool, written <-chan error) *Response {
	bodyless := request.Method == http.MethodHead
	length := response.ContentLength
	if bodyless {
		length = 0
	}
	body := &responseBody{
		body:        response.Body,
		connection:  c,
		stop:        stop,
		written:     written,
		pool:        cl.pool,
		address:     request.Address,
		length:      length,
		reusable:    !response.Close && !c.desynchronized,
		idleTimeout: parseKeepAlive(response.Header.Get("Keep-Alive")),
	}
	header := response.Header
	RemoveHopByHopHeaders(header)
	return &Response{
		Status:       response.StatusCode,
		Header:       header,
		Length:       length,
		Bodyless:     bodyless,
		BodyBuffered: length >= 0 && int64(c.reader.Buffered()) >= length,
		Body:         body,
	}
}

// parseKeepAlive returns the idle timeout from a Keep-Alive header, or 0 if it has none.
func parseKeepAlive(header string) time.Duration {
	for _, part := range strings.Split(header, ",") {
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
