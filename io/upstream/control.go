// Package upstream speaks to upstreams: grants on their control path, and callers' requests.
package upstream

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"google.golang.org/protobuf/proto"

	"cuminlift/schema"
)

// ControlPath is where an upstream takes grants.
const ControlPath = "/control/grant"

// GrantError reports a grant without a readable reply. It is unknown whether it was accepted.
type GrantError struct {
	Upstream string
	Cause    error
}

func (e *GrantError) Error() string {
	return fmt.Sprintf("upstream %s did not answer a grant (%v): check that it runs; its keys move to others by themselves", e.Upstream, e.Cause)
}

// Unwrap returns the cause.
func (e *GrantError) Unwrap() error { return e.Cause }

// maxReply bounds a reply, in bytes.
const maxReply = 1 << 20

// ControlClient implements cuminlift.UpstreamControl.
type ControlClient struct {
	client *http.Client
}

// NewControlClient returns a control client whose requests end after timeout.
func NewControlClient(timeout time.Duration) *ControlClient {
	return &ControlClient{
		client: &http.Client{
			Timeout: timeout,
			Transport: &http.Transport{
				MaxIdleConnsPerHost: 1,
				IdleConnTimeout:     time.Minute,
				DialContext: (&net.Dialer{
					Timeout: timeout,
				}).DialContext,
			},
		},
	}
}

// Grant implements cuminlift.UpstreamControl.
func (c *ControlClient) Grant(ctx context.Context, address string, grant *schema.Grant) (*schema.GrantReply, error) {
	reply, err := c.exchange(ctx, address, grant)
	if err != nil {
		return nil, &GrantError{
			Upstream: grant.GetUpstream(),
			Cause:    err,
		}
	}
	return reply, nil
}

func (c *ControlClient) exchange(ctx context.Context, address string, grant *schema.Grant) (*schema.GrantReply, error) {
	body, err := proto.Marshal(grant)
	if err != nil {
		return nil, fmt.Errorf("encode grant: %w", err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+ControlPath, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("address %q: %w", address, err)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxReply))
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %s", response.Status)
	}
	reply := &schema.GrantReply{}
	if err := proto.Unmarshal(content, reply); err != nil {
		return nil, fmt.Errorf("decode reply: %w", err)
	}
	if reply.GetUpstream() != grant.GetUpstream() {
		return nil, fmt.Errorf("reply comes from %q", reply.GetUpstream())
	}
	return reply, nil
}
