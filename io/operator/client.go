// Package operator is a client for the operators' API of an instance.
package operator

import (
	"bytes"
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"cuminlift/io/answer"
	"cuminlift/io/tcp"
	"cuminlift/schema"
)

// Config configures a Client.
type Config struct {
	// Address is the address of the operators' API of any instance.
	Address string
	TLS     *tls.Config
	// Timeout bounds one request. It defaults to 15 seconds.
	Timeout time.Duration
}

const (
	defaultTimeout  = 15 * time.Second
	maxResponseSize = 64 << 20
)

// Client sends requests to one instance.
type Client struct {
	config Config
	client *http.Client
}

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
				TLSClientConfig:        config.TLS,
				MaxResponseHeaderBytes: answer.MaxHeadBytes,
				DialContext:            tcp.DetectResets((&net.Dialer{}).DialContext),
			},
		},
	}
}

// ConnectionError reports an instance that can't be reached.
type ConnectionError struct {
	Address string
	Cause   error
}

func (e *ConnectionError) Error() string {
	return fmt.Sprintf("instance at %s can't be reached (%v): try another instance with --address, and check --identity", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *ConnectionError) Unwrap() error { return e.Cause }

// roundTrip sends a request and decodes the response into reply. A nil request sends no body.
func (c *Client) roundTrip(ctx context.Context, method, path string, request, reply proto.Message) error {
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
	response, err := answer.Do(c.client, outgoing)
	if err != nil {
		return &ConnectionError{
			Address: c.config.Address,
			Cause:   err,
		}
	}
	defer response.Body.Close()
	text, err := answer.Read(response, maxResponseSize)
	if err != nil {
		return &ConnectionError{
			Address: c.config.Address,
			Cause:   err,
		}
	}
	if err := protojson.Unmarshal(text, reply); err != nil {
		return fmt.Errorf("response with status %s can't be decoded (%w): use the client of the same version as the instance", response.Status, err)
	}
	return nil
}

// Change requests a change. If the change was not accepted, the reply's Error field tells why.
func (c *Client) Change(ctx context.Context, request *schema.ChangeRequest) (*schema.ChangeReply, error) {
	reply := &schema.ChangeReply{}
	return reply, c.roundTrip(ctx, http.MethodPost, "/change", request, reply)
}

// Status returns the instance's view of the system.
func (c *Client) Status(ctx context.Context) (*schema.StatusReply, error) {
	reply := &schema.StatusReply{}
	return reply, c.roundTrip(ctx, http.MethodGet, "/status", nil, reply)
}

// Estate returns the estate document in force.
func (c *Client) Estate(ctx context.Context) (*schema.EstateReply, error) {
	reply := &schema.EstateReply{}
	return reply, c.roundTrip(ctx, http.MethodGet, "/estate", nil, reply)
}

// Owner returns the owner of a key.
func (c *Client) Owner(ctx context.Context, service, key string) (*schema.OwnerReply, error) {
	reply := &schema.OwnerReply{}
	query := url.Values{
		"service": {service},
		"key":     {key},
	}
	return reply, c.roundTrip(ctx, http.MethodGet, "/owner?"+query.Encode(), nil, reply)
}

// Audit returns the audit records whose subject starts with subject.
func (c *Client) Audit(ctx context.Context, subject string) (*schema.AuditReply, error) {
	reply := &schema.AuditReply{}
	return reply, c.roundTrip(ctx, http.MethodGet, "/audit?subject="+url.QueryEscape(subject), nil, reply)
}

// Forget declares that a member has ended, on the operator's authority.
func (c *Client) Forget(ctx context.Context, member string) error {
	return c.roundTrip(ctx, http.MethodPost, "/forget?member="+url.QueryEscape(member), nil, &schema.ChangeReply{})
}
