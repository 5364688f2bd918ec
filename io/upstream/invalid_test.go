package upstream_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"

	"cuminlift/internal/standin/rawhttp"
	"cuminlift/io/answer"
	"cuminlift/io/upstream"
)

// checkInvalid checks that none of the answers is taken for one to a request or a health check, and that their connections are closed.
func checkInvalid(t *testing.T, answers map[string]rawhttp.Answer) {
	for name, text := range answers {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			server := httptest.NewServer(rawhttp.Handler(func(r *http.Request) string {
				return text.With("Request-Id: " + r.Header.Get("Request-Id") + "\r\n")
			}))
			defer server.Close()
			client := upstream.NewClient(headers())
			for i := range 2 {
				body, err := do(client, server.Listener.Addr().String(), "r0")
				c.Check(err, qt.IsNotNil, qt.Commentf("body %q", body))
				var unknown *upstream.UnknownOutcomeError
				c.Check(err, qt.ErrorAs, &unknown)
				c.Check(client.Dials(), qt.Equals, int64(i+1), qt.Commentf("the connection is used again"))
			}
			healthy, err := checkHealth(c, server.Listener.Addr().String())
			c.Check(healthy, qt.IsFalse)
			c.Check(err, qt.IsNotNil)
		})
	}
}

// TestAnswerWithAnInvalidStatusIsNone guards against an answer with status 000 that is skipped like an informational one, so that what follows
// it is read as the answer.
func TestAnswerWithAnInvalidStatusIsNone(t *testing.T) {
	checkInvalid(t, rawhttp.InvalidStatuses)
}

// TestInvalidHeadIsNamed covers what an operator finds in the log.
func TestInvalidHeadIsNamed(t *testing.T) {
	c := qt.New(t)
	address := startEarly(c, rawhttp.InvalidStatuses["000"], rawhttp.Linger)
	_, err := do(upstream.NewClient(headers()), address, "r0")
	var invalid *answer.HeadError
	c.Assert(err, qt.ErrorAs, &invalid)
	c.Check(invalid.Problem, qt.Equals, "status 000")
}
