package upstream

import (
	"cmp"
	"net/http"
	"time"

	"cuminlift/io/answer"
	"cuminlift/io/tcp"
)

// HTTPConfig configures an HTTP client for calls other than requests, such as grants and health checks.
type HTTPConfig struct {
	// Connections bounds the connections to one address.
	Connections int
	// DialTimeout bounds the time to connect.
	DialTimeout time.Duration
	// HeadBytes bounds the head of an answer, 0 for the bound of answers to calls to upstreams.
	HeadBytes int64
}

const (
	// httpIdleTimeout is how long an idle connection is kept.
	httpIdleTimeout = 8 * time.Second
	// maxCallHeadBytes bounds the heads of the answer to a grant, a release or a health check. Proper ones have a few hundred bytes, and
	// hundreds of calls may be under way at once.
	maxCallHeadBytes = 2 << 10
)

// NewHTTPClient returns an HTTP client without proxy and compression, whose connections are reset when they are closed. Heads of answers
// are bounded, because net/http keeps all of them in memory. Callers bound each call with its context.
func NewHTTPClient(config HTTPConfig) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:            tcp.DetectResets(DialWithReset(config.DialTimeout)),
			MaxConnsPerHost:        config.Connections,
			MaxIdleConnsPerHost:    config.Connections,
			IdleConnTimeout:        httpIdleTimeout,
			DisableCompression:     true,
			MaxResponseHeaderBytes: cmp.Or(config.HeadBytes, maxCallHeadBytes),
		},
	}
}

// CheckHealth sends a health check, and reports whether the upstream answers it with success. An answer that never ends is none.
func CheckHealth(client *http.Client, request *http.Request) (healthy bool, err error) {
	response, err := answer.Do(client, request)
	if err != nil {
		return false, err
	}
	defer response.Body.Close()
	if err := answer.Finish(response); err != nil {
		return false, err
	}
	return response.StatusCode == http.StatusOK, nil
}
