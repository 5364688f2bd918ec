package answer_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminlift/internal/standin/rawhttp"
	"cuminlift/io/answer"
	"cuminlift/io/operator"
	"cuminlift/io/platform"
	"cuminlift/io/upstream"
	"cuminlift/schema"
)

// calls are calls to a server with a long request, of bytes, and the body of an answer that counts as success.
var calls = map[string]struct {
	secure bool
	answer func(c *qt.C) string
	do     func(ctx context.Context, server *httptest.Server, bytes int) error
}{
	"object": {
		answer: func(*qt.C) string { return "" },
		do: func(ctx context.Context, server *httptest.Server, bytes int) error {
			return newPlatformClient(server.Listener.Addr().String()).Put(ctx, "name", make([]byte, bytes))
		},
	},
	"change": {
		secure: true,
		answer: func(*qt.C) string { return "{}" },
		do: func(ctx context.Context, server *httptest.Server, bytes int) error {
			_, err := newOperatorClient(server).Change(ctx, &schema.ChangeRequest{
				Text: strings.Repeat("x", bytes),
			})
			return err
		},
	},
	"grant": {
		answer: func(c *qt.C) string {
			return string(encode(c, &schema.GrantReply{
				Upstream: "u1",
			}))
		},
		do: func(ctx context.Context, server *httptest.Server, bytes int) error {
			_, err := upstream.NewControlClient(time.Minute).Grant(ctx, server.Listener.Addr().String(), &schema.Grant{
				Upstream: "u1",
				Service:  strings.Repeat("x", bytes),
			})
			return err
		},
	},
}

func serve(handler http.Handler, secure bool) *httptest.Server {
	if secure {
		return httptest.NewTLSServer(handler)
	}
	return httptest.NewServer(handler)
}

func newOperatorClient(server *httptest.Server) *operator.Client {
	return operator.NewClient(operator.Config{
		Address: server.Listener.Addr().String(),
		TLS:     server.Client().Transport.(*http.Transport).TLSClientConfig,
		Timeout: time.Minute,
	})
}

// checkInvalid checks that calls with one of the answers count as calls whose outcome is not known.
func checkInvalid(t *testing.T, answers map[string]rawhttp.Answer) {
	for name, call := range calls {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			content := call.answer(c)
			for name, broken := range answers {
				server := serve(rawhttp.Handler(func(*http.Request) string { return broken.Carry("", content) }), call.secure)
				err := call.do(c.Context(), server, 1)
				server.Close()
				c.Check(err, qt.IsNotNil, qt.Commentf("%s", name))
				var refused *platform.RefusedError
				c.Check(errors.As(err, &refused), qt.IsFalse, qt.Commentf("%s: %v", name, err))
			}
		})
	}
}

// TestAnswerWithAnInvalidStatusIsNone guards against calls that count as carried out, or as refused, because of an answer that is not HTTP.
func TestAnswerWithAnInvalidStatusIsNone(t *testing.T) {
	checkInvalid(t, rawhttp.InvalidStatuses)
}

// TestAnswerWithAnInvalidFieldNameIsNone guards against calls that count as carried out because of an answer that is not HTTP.
func TestAnswerWithAnInvalidFieldNameIsNone(t *testing.T) {
	checkInvalid(t, rawhttp.InvalidNames)
}

// TestConnectionOfAnInvalidAnswerIsNotUsedAgain guards against bytes behind an answer without a body that are read as the next one. The server
// answers the second request on a connection properly.
func TestConnectionOfAnInvalidAnswerIsNotUsedAgain(t *testing.T) {
	c := qt.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, reader, err := w.(http.Hijacker).Hijack()
		c.Check(err, qt.IsNil)
		defer conn.Close()
		_, _ = io.WriteString(conn, rawhttp.InvalidNames["blank within"].Carry("", ""))
		if _, err := http.ReadRequest(reader.Reader); err == nil {
			_, _ = io.WriteString(conn, rawhttp.Sound["length"].With(""))
		}
	}))
	defer server.Close()
	for range 3 {
		request, err := http.NewRequestWithContext(c.Context(), http.MethodGet, server.URL, nil)
		c.Assert(err, qt.IsNil)
		_, err = answer.Do(server.Client(), request)
		var invalid *answer.HeadError
		c.Check(err, qt.ErrorAs, &invalid)
	}
}

// TestResetDuringALongCallDoesNotEndItsAnswer guards against a part of an answer that counts as the whole. Whether a read or a write is told
// of the reset is a race.
func TestResetDuringALongCallDoesNotEndItsAnswer(t *testing.T) {
	for name, call := range calls {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			content := call.answer(c)
			handler := rawhttp.Early(func(*http.Request) string { return "HTTP/1.1 200 OK\r\n\r\n" + content }, rawhttp.ResetAfter(10*time.Millisecond))
			server := serve(handler, call.secure)
			defer server.Close()
			for i := range 24 {
				c.Check(call.do(c.Context(), server, 24<<20), qt.IsNotNil, qt.Commentf("try %d", i))
			}
		})
	}
}
