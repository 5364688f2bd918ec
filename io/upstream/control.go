// Package upstream is a client for upstreams. It sends grants to their control endpoint and forwards callers' requests.
package upstream

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"google.golang.org/protobuf/proto"

	"cuminlift/io/answer"
	"cuminlift/io/tcp"
	"cuminlift/schema"
)

// ControlPath is the path of an upstream's endpoint for grants.
const ControlPath = "/control/grant"

// GrantError reports a grant without a valid reply. It is unknown whether the upstream accepted it.
type GrantError struct {
	Upstream string
	Cause    error
}

func (e *GrantError) Error() string {
	return fmt.Sprintf("no valid reply from upstream %s to a grant (%v): check that it is running; its keys are reassigned automatically", e.Upstream, e.Cause)
}

// Unwrap returns the cause.
func (e *GrantError) Unwrap() error { return e.Cause }

// maxReplySize bounds the size of a reply, in bytes.
const maxReplySize = 1 << 20

// ControlClient implements cuminlift.UpstreamControl.
type ControlClient struct {
	client *http.Client
}

// NewControlClient returns a ControlClient whose requests time out after timeout.
func NewControlClient(timeout time.Duration) *ControlClient {
	return &ControlClient{
		client: &http.Client{
			Timeout: timeout,
			Transport: &http.Transport{
				MaxIdleConnsPerHost:    1,
				IdleConnTimeout:        time.Minute,
				MaxResponseHeaderBytes: answer.MaxHeadBytes,
				DialContext: tcp.DetectResets((&net.Dialer{
					Timeout: timeout,
				}).DialContext),
			},
		},
	}
}

// Grant implements cuminlift.UpstreamControl.
func (c *ControlClient) Grant(ctx context.Context, address string, grant *schema.Grant) (*schema.GrantReply, error) {
	reply, err := c.roundTrip(ctx, address, grant)
	if err != nil {
		return nil, &GrantError{
			Upstream: grant.GetUpstream(),
			Cause:    err,
		}
	}
	return reply, nil
}

func (c *ControlClient) roundTrip(ctx context.Context, address string, grant *schema.Grant) (*schema.GrantReply, error) {
	body, err := proto.Marshal(grant)
	if err != nil {
		return nil, fmt.Errorf("encode grant: %w", err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+ControlPath, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("address %q: %w", address, err)
	}
	response, err := answer.Do(c.client, request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	content, err := answer.Read(response, maxReplySize)
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
		return nil, fmt.Errorf("reply comes from upstream %q", reply.GetUpstream())
	}
	return reply, nil
}
