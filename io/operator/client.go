// Package operator speaks to an instance on an operator's behalf.
package operator

import (
	"bytes"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"cuminlift/schema"
)

// Config constructs a Client.
type Config struct {
	// Address is the operators' address of any instance.
	Address string
	TLS     *tls.Config
	// Timeout bounds one request, 0 for 15 seconds.
	Timeout time.Duration
}

const (
	defaultTimeout = 15 * time.Second
	maxAnswer      = 64 << 20
)

// Client asks one instance.
type Client struct {
	config Config
	client *http.Client
}

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
				TLSClientConfig: config.TLS,
			},
		},
	}
}

// ConnectionError reports an instance that can't be asked.
type ConnectionError struct {
	Address string
	Cause   error
}

func (e *ConnectionError) Error() string {
	return fmt.Sprintf("instance at %s can't be asked (%v): try another instance with --address, and check --identity", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *ConnectionError) Unwrap() error { return e.Cause }

func (c *Client) exchange(ctx context.Context, method, path string, request, reply proto.Message) error {
	var body []byte
	if request != nil {
		text, err := protojson.Marshal(request)
		if err != nil {
			return fmt.Errorf("encode request: %w", err)
		}
		body = text
	}
	outgoing, err := http.NewRequestWithContext(ctx, method, "https://"+c.config.Address+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("address %q: %w", c.config.Address, err)
	}
	response, err := c.client.Do(outgoing)
	if err != nil {
		return &ConnectionError{
			Address: c.config.Address,
			Cause:   err,
		}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		return &ConnectionError{
			Address: c.config.Address,
			Cause:   err,
		}
	}
	if err := protojson.Unmarshal(text, reply); err != nil {
		return fmt.Errorf("answer %s can't be read (%w): use the client of the instance's version", response.Status, err)
	}
	return nil
}

// Change asks for a change. The reply's error tells of a change that was not accepted.
func (c *Client) Change(ctx context.Context, request *schema.ChangeRequest) (*schema.ChangeReply, error) {
	reply := &schema.ChangeReply{}
	return reply, c.exchange(ctx, http.MethodPost, "/change", request, reply)
}

// Status returns what the instance sees.
func (c *Client) Status(ctx context.Context) (*schema.StatusReply, error) {
	reply := &schema.StatusReply{}
	return reply, c.exchange(ctx, http.MethodGet, "/status", nil, reply)
}

// Estate returns the text in force.
func (c *Client) Estate(ctx context.Context) (*schema.EstateReply, error) {
	reply := &schema.EstateReply{}
	return reply, c.exchange(ctx, http.MethodGet, "/estate", nil, reply)
}

// Owner tells who owns a key.
func (c *Client) Owner(ctx context.Context, service, key string) (*schema.OwnerReply, error) {
	reply := &schema.OwnerReply{}
	query := url.Values{
		"service": {service},
		"key":     {key},
	}
	return reply, c.exchange(ctx, http.MethodGet, "/owner?"+query.Encode(), nil, reply)
}

// Audit returns records of accepted changes whose subject starts with subject.
func (c *Client) Audit(ctx context.Context, subject string) (*schema.AuditReply, error) {
	reply := &schema.AuditReply{}
	return reply, c.exchange(ctx, http.MethodGet, "/audit?subject="+url.QueryEscape(subject), nil, reply)
}

// Forget declares a member ended, on the operator's word.
func (c *Client) Forget(ctx context.Context, member string) error {
	return c.exchange(ctx, http.MethodPost, "/forget?member="+url.QueryEscape(member), nil, &schema.ChangeReply{})
}
