// Package platform is an HTTP client for the platform's table, object store and instance list.
package platform

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"google.golang.org/protobuf/proto"

	"cuminlift/io/answer"
	"cuminlift/io/tcp"
	"cuminlift/schema"
)

// RefusedError reports a request that is known to have had no effect.
type RefusedError struct {
	Operation string
	Cause     error
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("platform refused %s (%v): check the platform's address and health, then try again", e.Operation, e.Cause)
}

// Unwrap returns the cause.
func (e *RefusedError) Unwrap() error { return e.Cause }

// UnknownOutcomeError reports a request that may have taken effect: its response was lost or reports a server error.
type UnknownOutcomeError struct {
	Operation string
	Cause     error
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("outcome of platform request %s is unknown (%v): read the row back before writing again", e.Operation, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// MalformedError reports a response that can't be decoded.
type MalformedError struct {
	Operation string
	Cause     error
}

func (e *MalformedError) Error() string {
	return fmt.Sprintf("platform's response to %s can't be decoded (%v): check that its version is compatible with this program's", e.Operation, e.Cause)
}

// Unwrap returns the cause.
func (e *MalformedError) Unwrap() error { return e.Cause }

// MaxResponseSize bounds a response of the platform, in bytes.
const MaxResponseSize = 64 << 20

// Config configures a Client.
type Config struct {
	// URL is the base URL of the platform, without a trailing slash.
	URL string
	// Instance is the name of this instance, which is sent with each request for the platform's log.
	Instance string
	// Timeout bounds one request. It defaults to two seconds.
	Timeout time.Duration
}

// Client implements cuminlift.Table, cuminlift.ObjectStore and cuminlift.InstanceList.
type Client struct {
	config Config
	client *http.Client
}

const defaultTimeout = 2 * time.Second

// NewClient returns a Client. It connects on first use.
func NewClient(config Config) *Client {
	if config.Timeout == 0 {
		config.Timeout = defaultTimeout
	}
	return &Client{
		config: config,
		client: &http.Client{
			Timeout: config.Timeout,
			Transport: &http.Transport{
				MaxIdleConnsPerHost:    8,
				IdleConnTimeout:        time.Minute,
				MaxResponseHeaderBytes: answer.MaxHeadBytes,
				DialContext: tcp.DetectResets((&net.Dialer{
					Timeout: time.Second,
				}).DialContext),
			},
		},
	}
}

// Read implements cuminlift.Table.
func (c *Client) Read(ctx context.Context, request *schema.ReadRequest) (*schema.ReadReply, error) {
	reply := &schema.ReadReply{}
	return reply, c.call(ctx, "/table/read", request, reply)
}

// Transact implements cuminlift.Table.
func (c *Client) Transact(ctx context.Context, transaction *schema.Transaction) (*schema.TransactionReply, error) {
	reply := &schema.TransactionReply{}
	return reply, c.call(ctx, "/table/transact", transaction, reply)
}

// List implements cuminlift.InstanceList.
func (c *Client) List(ctx context.Context) (*schema.InstanceList, error) {
	content, err := c.roundTrip(ctx, http.MethodGet, "/list", nil)
	if err != nil {
		return nil, err
	}
	list := &schema.InstanceList{}
	if err := proto.Unmarshal(content, list); err != nil {
		return nil, &MalformedError{
			Operation: "list",
			Cause:     err,
		}
	}
	return list, nil
}

// Put implements cuminlift.ObjectStore.
func (c *Client) Put(ctx context.Context, name string, content []byte) error {
	_, err := c.roundTrip(ctx, http.MethodPut, "/object/"+name, content)
	return err
}

// Get implements cuminlift.ObjectStore.
func (c *Client) Get(ctx context.Context, name string) ([]byte, error) {
	return c.roundTrip(ctx, http.MethodGet, "/object/"+name, nil)
}

// call posts request as a protobuf message and decodes the response into reply.
func (c *Client) call(ctx context.Context, path string, request, reply proto.Message) error {
	body, err := proto.Marshal(request)
	if err != nil {
		return &RefusedError{
			Operation: path,
			Cause:     err,
		}
	}
	content, err := c.roundTrip(ctx, http.MethodPost, path, body)
	if err != nil {
		return err
	}
	if err := proto.Unmarshal(content, reply); err != nil {
		return &MalformedError{
			Operation: path,
			Cause:     err,
		}
	}
	return nil
}

// roundTrip sends a request and returns the body of a response with status 200. Status 503 and any other status below 500
// count as refusals. After the remaining statuses the outcome is unknown.
func (c *Client) roundTrip(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.config.URL+path, bytes.NewReader(body))
	if err != nil {
		return nil, &RefusedError{
			Operation: path,
			Cause:     err,
		}
	}
	request.Header.Set("From-Instance", c.config.Instance)
	response, err := answer.Do(c.client, request)
	if err != nil {
		return nil, classifyError(path, err)
	}
	defer response.Body.Close()
	content, err := answer.Read(response, MaxResponseSize)
	if err != nil {
		return nil, classifyError(path, err)
	}
	if response.StatusCode >= http.StatusInternalServerError && response.StatusCode != http.StatusServiceUnavailable {
		return nil, &UnknownOutcomeError{
			Operation: path,
			Cause:     errors.New(response.Status),
		}
	}
	if response.StatusCode != http.StatusOK {
		return nil, &RefusedError{
			Operation: path,
			Cause:     errors.New(response.Status),
		}
	}
	return content, nil
}

// classifyError returns a *RefusedError if the connection could not be established, and an *UnknownOutcomeError otherwise.
func classifyError(operation string, err error) error {
	var opError *net.OpError
	if errors.As(err, &opError) && opError.Op == "dial" {
		return &RefusedError{
			Operation: operation,
			Cause:     err,
		}
	}
	return &UnknownOutcomeError{
		Operation: operation,
		Cause:     err,
	}
}
