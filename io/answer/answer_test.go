package answer_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"cuminlift/io/answer"
	"cuminlift/io/operator"
	"cuminlift/io/platform"
	"cuminlift/io/upstream"
	"cuminlift/schema"
)

// most ends an endless answer, so that a client that reads it all fails instead of running forever.
const most = 192 << 20

// endless answers with head and then part, again and again, until the client closes the connection.
func endless(head []byte, part string, sent *atomic.Int64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		n, err := w.Write(head)
		for total := n; err == nil && total < most; total += n {
			n, err = io.WriteString(w, part)
			sent.Add(int64(n))
		}
	})
}

func encode(c *qt.C, m proto.Message) []byte {
	text, err := proto.Marshal(m)
	c.Assert(err, qt.IsNil)
	return text
}

// TestAnswersThatHaveNoEndAreNotDecoded guards against answers of which a part counts as the whole.
func TestAnswersThatHaveNoEndAreNotDecoded(t *testing.T) {
	// One field of two bytes, so that messages of even length can be cut at any even size.
	part := strings.Repeat("\x78\x01", 2048)
	for name, call := range map[string]struct {
		head func(c *qt.C) []byte
		part string
		do   func(ctx context.Context, address string) error
	}{
		"grant": {
			head: func(c *qt.C) []byte {
				return encode(c, &schema.GrantReply{
					Upstream: "u1",
				})
			},
			part: part,
			do: func(ctx context.Context, address string) error {
				_, err := upstream.NewControlClient(time.Minute).Grant(ctx, address, &schema.Grant{
					Upstream: "u1",
				})
				return err
			},
		},
		"read of the table": {
			head: func(c *qt.C) []byte { return encode(c, &schema.ReadReply{}) },
			part: part,
			do: func(ctx context.Context, address string) error {
				_, err := newPlatformClient(address).Read(ctx, &schema.ReadRequest{})
				return err
			},
		},
		"object": {
			head: func(*qt.C) []byte { return nil },
			part: part,
			do: func(ctx context.Context, address string) error {
				_, err := newPlatformClient(address).Get(ctx, "name")
				return err
			},
		},
		"status": {
			head: func(c *qt.C) []byte {
				text, err := protojson.Marshal(&schema.StatusReply{})
				c.Assert(err, qt.IsNil)
				return text
			},
			part: strings.Repeat(" ", 4096),
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var sent atomic.Int64
			handler := endless(call.head(c), call.part, &sent)
			var err error
			if call.do != nil {
				server := httptest.NewServer(handler)
				defer server.Close()
				err = call.do(t.Context(), strings.TrimPrefix(server.URL, "http://"))
			} else {
				server := httptest.NewTLSServer(handler)
				defer server.Close()
				_, err = operator.NewClient(operator.Config{
					Address: strings.TrimPrefix(server.URL, "https://"),
					TLS:     server.Client().Transport.(*http.Transport).TLSClientConfig,
					Timeout: time.Minute,
				}).Status(t.Context())
			}
			var tooLong *answer.TooLongError
			c.Check(err, qt.ErrorAs, &tooLong)
			c.Check(sent.Load() < most, qt.IsTrue)
		})
	}
}

func newPlatformClient(address string) *platform.Client {
	return platform.NewClient(platform.Config{
		URL:     "http://" + address,
		Timeout: time.Minute,
	})
}

// TestAnswersUpToTheBoundAreRead covers the largest proper answer.
func TestAnswersUpToTheBoundAreRead(t *testing.T) {
	for length, ok := range map[int]bool{0: true, 9: true, 10: true, 11: false, 100: false} {
		c := qt.New(t)
		body, err := answer.Read(&http.Response{
			Body: io.NopCloser(strings.NewReader(strings.Repeat("x", length))),
		}, 10)
		c.Check(err == nil, qt.Equals, ok)
		if ok {
			c.Check(body, qt.HasLen, length)
		}
	}
}
