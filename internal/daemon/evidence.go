package daemon

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"

	"cuminlift/core/execution"
	"cuminlift/core/request"
	"cuminlift/io/tcp"
)

// recentRefusals is the number of refused requests that a connection remembers.
const recentRefusals = 64

// upstreamConn is a connection to an upstream that remembers what came on it. One request at a time is sent on it.
type upstreamConn struct {
	net.Conn
	mutex    sync.Mutex
	answered bool
	// refused holds the IDs of the last requests that were refused.
	refused []string
}

// evidence records an answer to a call, and returns what it shows about whether the call ran.
func (u *upstreamConn) evidence(c *call, response *http.Response) execution.Evidence {
	id := response.Header.Get(headerRequestID)
	marked := response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(headerOutcome) == request.NotRun.String()
	u.mutex.Lock()
	defer u.mutex.Unlock()
	e := execution.Evidence{
		Sent:          true,
		Status:        response.StatusCode,
		Marked:        marked,
		Identified:    id != "" && id == c.id,
		Reused:        u.answered,
		RefusedBefore: slices.Contains(u.refused, c.id),
	}
	u.answered = true
	if marked {
		u.refused = append(u.refused, c.id)
		u.refused = u.refused[max(0, len(u.refused)-recentRefusals):]
	}
	return e
}

// UnprovenRefusalError reports a refusal that may answer an earlier attempt.
type UnprovenRefusalError struct {
	Upstream string
}

func (e *UnprovenRefusalError) Error() string {
	return fmt.Sprintf("the refusal of upstream %s may answer an earlier attempt: the order may have run; ask the upstream before it is placed again", e.Upstream)
}

// dialTracked returns a dial function for connections that remember what came on them.
func dialTracked(dialer *net.Dialer) tcp.DialFunc {
	dial := tcp.DetectResets(dialer.DialContext)
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &upstreamConn{
			Conn: conn,
		}, nil
	}
}
