package upstream

import (
	"net/http"
	"time"
)

// HTTPConfig configures an HTTP client for calls other than requests, such as grants and health checks.
type HTTPConfig struct {
	// Connections bounds the connections to one address.
	Connections int
	// DialTimeout bounds the time to connect.
	DialTimeout time.Duration
}

// httpIdleTimeout is how long an idle connection is kept.
const httpIdleTimeout = 8 * time.Second

// NewHTTPClient returns an HTTP client without proxy and compression, whose connections are reset when they are closed. Heads of answers
// are bounded, because net/http keeps all of them in memory. Callers bound each call with its context.
func NewHTTPClient(config HTTPConfig) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:            DialWithReset(config.DialTimeout),
			MaxConnsPerHost:        config.Connections,
			MaxIdleConnsPerHost:    config.Connections,
			IdleConnTimeout:        httpIdleTimeout,
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxHeadBytes,
		},
	}
}
