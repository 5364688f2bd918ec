// Package platform speaks to the platform's table, object store and instance list over HTTP.
package platform

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"google.golang.org/protobuf/proto"

	"cuminlift/schema"
)

// RefusedError reports a request that surely had no effect.
type RefusedError struct {
	Operation string
	Cause     error
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("platform did not take %s (%v): check the platform's address and health, then try again", e.Operation, e.Cause)
}

// Unwrap returns the cause.
func (e *RefusedError) Unwrap() error { return e.Cause }

// UnknownOutcomeError reports a request that may have taken effect.
type UnknownOutcomeError struct {
	Operation string
	Cause     error
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("platform's answer to %s is lost (%v): read the row back before writing again", e.Operation, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// MalformedError reports an answer that can't be read.
type MalformedError struct {
	Operation string
	Cause     error
}

func (e *MalformedError) Error() string {
	return fmt.Sprintf("platform's answer to %s can't be read (%v): check that its version fits this program's", e.Operation, e.Cause)
}

// Unwrap returns the cause.
func (e *MalformedError) Unwrap() error { return e.Cause }

// MaxResponseSize bounds an answer of the platform, in bytes.
const MaxResponseSize = 64 << 20

// Config constructs a Client.
type Config struct {
	// URL is the platform's base address, without a slash at its end.
	URL string
	// Instance is this instance's name, sent along for the platform's log.
	Instance string
	// Timeout bounds one request, 0 for two seconds.
	Timeout time.Duration
}

// Client implements cuminlift.Table, cuminlift.ObjectStore and cuminlift.InstanceList.
type Client struct {
	config Config
	client *http.Client
}

const defaultTimeout = 2 * time.Second

// NewClient returns a client. It connects on first use.
func NewClient(config Config) *Client {
	if config.Timeout == 0 {
		config.Timeout = defaultTimeout
	}
	return &Client{
		config: config,
		client: &http.Client{
			Timeout: config.Timeout,
			Transport: &http.Transport{
				MaxIdleConnsPerHost: 8,
				IdleConnTimeout:     time.Minute,
				DialContext: (&net.Dialer{
					Timeout: time.Second,
				}).DialContext,
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
	content, err := c.exchange(ctx, http.MethodGet, "/list", nil)
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
	_, err := c.exchange(ctx, http.MethodPut, "/object/"+name, content)
	return err
}

// Get implements cuminlift.ObjectStore.
func (c *Client) Get(ctx context.Context, name string) ([]byte, error) {
	return c.exchange(ctx, http.MethodGet, "/object/"+name, nil)
}

func (c *Client) call(ctx context.Context, path string, request, reply proto.Message) error {
	body, err := proto.Marshal(request)
	if err != nil {
		return &RefusedError{
			Operation: path,
			Cause:     err,
		}
	}
	content, err := c.exchange(ctx, http.MethodPost, path, body)
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

func (c *Client) exchange(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.config.URL+path, bytes.NewReader(body))
	if err != nil {
		return nil, &RefusedError{
			Operation: path,
			Cause:     err,
		}
	}
	request.Header.Set("From-Instance", c.config.Instance)
	response, err := c.client.Do(request)
	if err != nil {
		return nil, failure(path, err)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, MaxResponseSize))
	if err != nil {
		return nil, failure(path, err)
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

// failure tells a connection that was never made from an answer that was lost.
func failure(operation string, err error) error {
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
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
