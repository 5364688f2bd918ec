package upstream_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
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

// TestAnswerWithAnInvalidFieldNameIsNone guards against an answer that is passed on with a line that is no field, or with another body than the
// upstream's because that line frames it.
func TestAnswerWithAnInvalidFieldNameIsNone(t *testing.T) {
	checkInvalid(t, rawhttp.InvalidNames)
}

// TestInformationalHeadWithAnInvalidFieldNameIsNone covers the heads that are skipped.
func TestInformationalHeadWithAnInvalidFieldNameIsNone(t *testing.T) {
	c := qt.New(t)
	address := startEarly(c, "HTTP/1.1 103 Early Hints\r\nContent-Length : 80\r\n\r\nHTTP/1.1 200 OK\r\n%sContent-Length: 4\r\n\r\nbody", rawhttp.Linger)
	_, err := do(upstream.NewClient(headers()), address, "r0")
	var invalid *answer.HeadError
	c.Check(err, qt.ErrorAs, &invalid)
}

// TestRefusalWithAnInvalidFieldNameProvesNothing guards against a request that is sent again although it may have run.
func TestRefusalWithAnInvalidFieldNameProvesNothing(t *testing.T) {
	c := qt.New(t)
	address := startEarly(c, "HTTP/1.1 503 Service Unavailable\r\n%sNot-Executed: 1\r\nContent-Length : 4\r\nContent-Length: 0\r\n\r\n", rawhttp.Linger)
	_, err := do(upstream.NewClient(headers()), address, "r0")
	var unknown *upstream.UnknownOutcomeError
	c.Check(err, qt.ErrorAs, &unknown)
}

// TestInvalidHeadIsNamed covers what an operator finds in the log.
func TestInvalidHeadIsNamed(t *testing.T) {
	c := qt.New(t)
	for text, problem := range map[rawhttp.Answer]string{
		rawhttp.InvalidStatuses["000"]:                                                           "status 000",
		rawhttp.InvalidNames["blank within"]:                                                     `field name "X Filler"`,
		rawhttp.InvalidNames["blank before the colon of an encoding"]:                            `field name "Transfer-Encoding "`,
		"HTTP/1.1 200 OK\r\n%s" + rawhttp.Answer(strings.Repeat("x ", 1000)) + ": a\r\n\r\nbody": `field name "` + strings.Repeat("x ", 32) + `..."`,
	} {
		address := startEarly(c, text, rawhttp.Linger)
		_, err := do(upstream.NewClient(headers()), address, "r0")
		var invalid *answer.HeadError
		c.Assert(err, qt.ErrorAs, &invalid)
		c.Check(invalid.Problem, qt.Equals, problem)
	}
}
