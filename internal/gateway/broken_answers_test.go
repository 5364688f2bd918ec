package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminlift/internal/standin/rawhttp"
)

// brokenField is a field of the answers of broken upstreams, which callers must not get.
const brokenField = "X-Broken: by the upstream\r\n"

// answerFields returns the fields of an answer to r.
func answerFields(r *http.Request) string {
	return "Request-Id: " + r.Header.Get("Request-Id") + "\r\nResponse-Signature: s\r\n" + brokenField
}

// configureUploads configures a service "plain" for long requests that must not run twice.
func (k *cluster) configureUploads() {
	k.put("op", "config", `{"version":1,"limits":{"max_body_bytes":67108864},
 "listeners":[{"host":"a.example","rules":[
  {"name":"order","kind":"non_idempotent","target_latency":"10s","priority":1,"match":{"prefix":"/order/"},
   "action":{"service":"plain","timeout":"20s","max_attempts":3}}]}],
 "clusters":[{"name":"plain","health_path":"/healthz","warmup":"0ms","warmup_per_s":100}]}`)
}

// brokenAnswer is an answer that no caller must get.
type brokenAnswer struct {
	handler http.Handler
	// bytes is the length of the requests' bodies, and tries their number. relayed is the number of those that are sent through another
	// instance, which gets no request for seconds after an answer that is not valid.
	bytes, tries, relayed int
	// cause is part of the problem in the log.
	cause string
}

// askRaw sends a request whose fields end with more, and returns all bytes of the answer.
func (k *cluster) askRaw(address, id, more string, bytes int) string {
	var conn net.Conn
	eventually(func() (connected bool) {
		var err error
		conn, err = net.Dial("tcp4", address)
		return err == nil
	})
	defer conn.Close()
	go func() {
		// The answer may come before all is written.
		_, _ = fmt.Fprintf(conn, "POST /order/x HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\nRequest-Id: %s\r\nDeadline-Ms: 20000\r\nContent-Length: %d\r\n%s\r\n", id, bytes, more)
		_, _ = conn.Write(make([]byte, bytes))
	}()
	text, err := io.ReadAll(conn)
	k.c.Check(err, qt.IsNil)
	return string(text)
}

// notSent reports whether an answer says that the request was not passed on: the upstream is not known yet, or the instance has lost its
// authority after a stall. The upstream's own answers have other words.
func notSent(text string) bool {
	refused := strings.HasPrefix(text, "HTTP/1.1 503 ") || strings.HasPrefix(text, "HTTP/1.1 404 ") ||
		strings.Contains(text, "\r\nCuminlift-Relay-Outcome: abandoned\r\n")
	return refused && !strings.Contains(text, brokenField)
}

// checkNotPassedOn checks that callers of an instance, and instances that send requests through it, get nothing of the upstream's answer,
// that their requests count as ones that may have run, and that slots and connections are not kept. An upstream has two slots.
func checkNotPassedOn(t *testing.T, answer brokenAnswer) {
	for _, test := range []struct {
		name string
		// ahead reads requests ahead, relays asks the instance as another one does, and cut lets it send its requests through one that answers
		// in place of the upstream.
		ahead, relays, cut bool
	}{
		{
			name: "callers",
		},
		{
			name:  "callers, read ahead",
			ahead: true,
		},
		{
			name:   "relay",
			relays: true,
		},
		{
			name: "through a relay",
			cut:  true,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			if test.ahead {
				withReadAhead(c)
			}
			k := newCluster(c, 0)
			log := &lockedBuffer{}
			k.log = log
			server := httptest.NewServer(answer.handler)
			c.Cleanup(server.Close)
			if test.cut {
				k.testRelay("relay", server.Listener.Addr().String())
				k.registerPlain("b0", freeAddress(c), 2)
			} else {
				k.registerPlain("b0", server.Listener.Addr().String(), 2)
			}
			k.configureUploads()
			k.start("n0")
			tries := answer.tries
			if test.cut {
				k.paths["n0"].set(reset)
				tries = answer.relayed
			}
			address, more := k.instances["n0"].settings.FrontAddress, ""
			if test.relays {
				address = k.instances["n0"].settings.RelayAddress
				more = "Cuminlift-Relay-Upstream: b0\r\nCuminlift-Relay-Born: 1\r\nCuminlift-Relay-At-Most-Once: true\r\n"
			}
			eventually(func() bool { return !notSent(k.askRaw(address, "first", more, 0)) })
			for i := range tries {
				var text string
				eventually(func() bool {
					text = k.askRaw(address, fmt.Sprintf("%s-%d", test.name, i), more, answer.bytes)
					return !notSent(text)
				})
				checkBadGateway(c, text)
				if test.relays {
					c.Check(text, qt.Contains, "\r\nCuminlift-Relay-Outcome: lost\r\n")
				}
			}
			c.Check(strings.Contains(log.String(), answer.cause), qt.IsTrue, qt.Commentf("%q is not in the log", answer.cause))
		})
	}
}

// checkBadGateway checks that text is one answer with status 502 and nothing of a broken upstream.
func checkBadGateway(c *qt.C, text string) {
	comment := qt.Commentf("%.400q", text)
	c.Check(strings.HasPrefix(text, "HTTP/1.1 502 "), qt.IsTrue, comment)
	c.Check(strings.Count(text, "HTTP/1.1 "), qt.Equals, 1, comment)
	c.Check(strings.Contains(text, "X-Broken"), qt.IsFalse, comment)
	c.Check(strings.Contains(text, rawhttp.Body), qt.IsFalse, comment)
}

// TestAnswerThatIsResetDuringAnUploadIsNotPassedOn guards against a part of an answer that callers take for all of it (MIXED).
func TestAnswerThatIsResetDuringAnUploadIsNotPassedOn(t *testing.T) {
	checkNotPassedOn(t, brokenAnswer{
		handler: rawhttp.Early(func(r *http.Request) string {
			return rawhttp.Sound["ends with its connection"].With(answerFields(r))
		}, rawhttp.ResetAfter(20*time.Millisecond)),
		bytes:   16 << 20,
		tries:   12,
		relayed: 12,
		cause:   "connection reset by peer",
	})
}

// inTurn answers the requests of checkNotPassedOn with one of the answers each.
func inTurn(answers map[string]rawhttp.Answer) http.Handler {
	return rawhttp.Handler(func(r *http.Request) string {
		id := r.Header.Get("Request-Id")
		number, err := strconv.Atoi(id[strings.LastIndex(id, "-")+1:])
		if err != nil {
			number = 0 // The first request is not counted.
		}
		return rawhttp.Texts(answers, answerFields(r))[number]
	})
}

// TestAnswerWithAnInvalidStatusIsNotPassedOn guards against an answer with status 000 whose body reaches callers as the answer.
func TestAnswerWithAnInvalidStatusIsNotPassedOn(t *testing.T) {
	checkNotPassedOn(t, brokenAnswer{
		handler: inTurn(rawhttp.InvalidStatuses),
		tries:   len(rawhttp.InvalidStatuses),
		relayed: 3,
		cause:   "status 000",
	})
}

// TestAnswerWithAnInvalidFieldNameIsNotPassedOn guards against an answer that reaches callers with a line that is no field, or with another body
// than the upstream's.
func TestAnswerWithAnInvalidFieldNameIsNotPassedOn(t *testing.T) {
	checkNotPassedOn(t, brokenAnswer{
		handler: inTurn(rawhttp.InvalidNames),
		tries:   len(rawhttp.InvalidNames),
		relayed: 3,
		cause:   "the answer is not valid HTTP (field name",
	})
}

// TestSoundAnswersArePassedOn covers what instances must not take for broken, during an upload as well.
func TestSoundAnswersArePassedOn(t *testing.T) {
	c := qt.New(t)
	k := newCluster(c, 1)
	k.configureUploads()
	var answer atomic.Value
	answer.Store(rawhttp.Sound["length"])
	server := httptest.NewServer(rawhttp.Early(func(r *http.Request) string {
		return answer.Load().(rawhttp.Answer).With(answerFields(r))
	}, rawhttp.Linger))
	c.Cleanup(server.Close)
	k.registerPlain("s0", server.Listener.Addr().String(), 2)
	address := k.instances["n0"].settings.FrontAddress
	eventually(func() bool { return !notSent(k.askRaw(address, "first", "", 0)) })
	for name, sound := range rawhttp.Sound {
		answer.Store(sound)
		for _, bytes := range []int{0, 16 << 20} {
			t.Run(fmt.Sprintf("%s, %d bytes", name, bytes), func(t *testing.T) {
				c := qt.New(t)
				for i := range 3 {
					var text string
					eventually(func() bool {
						text = k.askRaw(address, fmt.Sprint("sound-", i), "", bytes)
						return !notSent(text)
					})
					c.Check(strings.HasPrefix(text, "HTTP/1.1 200 "), qt.IsTrue, qt.Commentf("%.400q", text))
					c.Check(strings.HasSuffix(text, "\r\n\r\n"+rawhttp.Body), qt.IsTrue, qt.Commentf("%.400q", text))
				}
			})
		}
	}
}

// TestRequestsWithInvalidFieldNamesAreRejected covers the heads that callers send.
func TestRequestsWithInvalidFieldNamesAreRejected(t *testing.T) {
	for _, ahead := range []bool{false, true} {
		t.Run(fmt.Sprint("read-ahead=", ahead), func(t *testing.T) {
			c := qt.New(t)
			if ahead {
				withReadAhead(c)
			}
			k := newCluster(c, 1)
			k.configureUploads()
			u := k.upstream("p0", "plain", "z1")
			address := k.instances["n0"].settings.FrontAddress
			eventually(func() bool { return strings.HasPrefix(k.askRaw(address, "first", "", 0), "HTTP/1.1 200 ") })
			arrived := len(u.Arrivals())
			for _, line := range []string{"X Filler: a", "X-Filler : a", "Transfer-Encoding : chunked", "X-\x00Filler: a", "X-\x01Filler: a", "X-\x7fFiller: a", ": a", "X-Filler"} {
				text := k.askRaw(address, "invalid", line+"\r\n", 0)
				c.Check(strings.HasPrefix(text, "HTTP/1.1 400 "), qt.IsTrue, qt.Commentf("%q: %.400q", line, text))
			}
			c.Check(u.Arrivals(), qt.HasLen, arrived)
		})
	}
}
