package upstream

import (
	"cmp"
	"fmt"
	"io"
	"net/http"
	"time"
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
	// maxCallHeadBytes bounds the heads of the answer to a grant, a release or a health check, and maxCallBodyBytes the body.
	// Proper ones have a few hundred bytes, and hundreds of calls may be under way at once.
	maxCallHeadBytes = 2 << 10
	maxCallBodyBytes = 64 << 10
)

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
			MaxResponseHeaderBytes: cmp.Or(config.HeadBytes, maxCallHeadBytes),
		},
	}
}

// AnswerTooLongError reports an answer to a call that is longer than any proper one. The call counts as not answered.
type AnswerTooLongError struct {
	Max int64
}

func (e *AnswerTooLongError) Error() string {
	return fmt.Sprintf("the body of the answer exceeds %d bytes: check the peer's version and health", e.Max)
}

// ReadAnswer returns the body of an answer to a call, read to its end. An answer that is cut or longer than most is an error.
func ReadAnswer(response *http.Response, most int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, most+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > most {
		return nil, &AnswerTooLongError{
			Max: most,
		}
	}
	return body, nil
}

// FinishAnswer reads the body of the answer to a grant, a release or a health check, which tells nothing, to its end. An answer that is cut
// or too long is an error.
func FinishAnswer(response *http.Response) error {
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxCallBodyBytes+1))
	if err != nil {
		return err
	}
	if n > maxCallBodyBytes {
		return &AnswerTooLongError{
			Max: maxCallBodyBytes,
		}
	}
	return nil
}

// CheckHealth sends a health check, and reports whether the upstream answers it with success. An answer that never ends is none.
func CheckHealth(client *http.Client, request *http.Request) (healthy bool, err error) {
	response, err := client.Do(request)
	if err != nil {
		return false, err
	}
	defer response.Body.Close()
	if err := FinishAnswer(response); err != nil {
		return false, err
	}
	return response.StatusCode == http.StatusOK, nil
}
