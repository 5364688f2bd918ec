package upstream_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminlift/internal/standin/rawhttp"
	"cuminlift/io/upstream"
)

const (
	// uploadBytes is more than the system's buffers take, so that a request is still being written when its answer comes.
	uploadBytes = 24 << 20
	// resets is the number of tries. Whether a read or a write is told of a reset is a race.
	resets = 24
)

// upload sends a long request, waits for pause once the head of its answer has come, and returns the body.
func upload(c *qt.C, client *upstream.Client, address, id string, pause time.Duration) (string, error) {
	response, err := client.Do(c.Context(), upstream.Request{
		Address:  address,
		Upstream: "u1",
		Method:   http.MethodPost,
		Target:   "/x",
		Host:     "a.example",
		Header: http.Header{
			"Request-Id": {id},
		},
		Body:      make([]byte, uploadBytes),
		RequestID: id,
		Timeout:   time.Minute,
	})
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	time.Sleep(pause)
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// startEarly starts an upstream that answers with early before it reads the body of a request, and then ends the connection.
func startEarly(c *qt.C, early rawhttp.Answer, end func(conn net.Conn)) (address string) {
	server := httptest.NewServer(rawhttp.Early(func(r *http.Request) string {
		return early.With("Request-Id: " + r.Header.Get("Request-Id") + "\r\n")
	}, end))
	c.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// TestResetDuringAnUploadDoesNotEndTheAnswer guards against a part of an answer that is taken for all of it: the write of the request took
// the error of the reset, and the read that followed found a plain end.
func TestResetDuringAnUploadDoesNotEndTheAnswer(t *testing.T) {
	for name, answer := range map[string]rawhttp.Answer{
		"no length": rawhttp.Sound["ends with its connection"],
		"length":    "HTTP/1.1 200 OK\r\n%sContent-Length: 5\r\n\r\nbody",
		"chunks":    "HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			address := startEarly(c, answer, rawhttp.ResetAfter(10*time.Millisecond))
			client := upstream.NewClient(headers())
			for i := range resets {
				body, err := upload(c, client, address, fmt.Sprint("r", i), time.Duration(i%2)*50*time.Millisecond)
				c.Check(err, qt.IsNotNil, qt.Commentf("try %d: complete with body %q", i, body))
			}
			c.Check(client.Dials(), qt.Equals, int64(resets), qt.Commentf("a connection that was reset is used again"))
		})
	}
}

// TestAnswerThatEndsDuringAnUploadIsComplete covers an upstream that closes its side of the connection before it has read the request.
func TestAnswerThatEndsDuringAnUploadIsComplete(t *testing.T) {
	c := qt.New(t)
	address := startEarly(c, rawhttp.Sound["ends with its connection"], rawhttp.Linger)
	client := upstream.NewClient(headers())
	for i := range resets {
		body, err := upload(c, client, address, fmt.Sprint("r", i), 0)
		c.Check(err, qt.IsNil)
		c.Check(body, qt.Equals, rawhttp.Body)
	}
}

// TestResetDuringALongCallDoesNotEndItsAnswer covers the client for other calls.
func TestResetDuringALongCallDoesNotEndItsAnswer(t *testing.T) {
	c := qt.New(t)
	address := startEarly(c, rawhttp.Sound["ends with its connection"], rawhttp.ResetAfter(10*time.Millisecond))
	client := upstream.NewHTTPClient(upstream.HTTPConfig{
		Connections: 1,
		DialTimeout: time.Minute,
	})
	for i := range resets {
		response, err := client.Post("http://"+address, "text/plain", bytes.NewReader(make([]byte, uploadBytes)))
		if err != nil {
			continue
		}
		body, err := io.ReadAll(response.Body)
		response.Body.Close()
		c.Check(err, qt.IsNotNil, qt.Commentf("try %d: complete with body %q", i, body))
	}
}

// TestSoundAnswersArePassedOn covers what the checks of answers must let pass.
func TestSoundAnswersArePassedOn(t *testing.T) {
	for name, answer := range rawhttp.Sound {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			server := httptest.NewServer(rawhttp.Handler(func(r *http.Request) string {
				return answer.With("Request-Id: " + r.Header.Get("Request-Id") + "\r\n")
			}))
			defer server.Close()
			body, err := do(upstream.NewClient(headers()), server.Listener.Addr().String(), "r0")
			c.Assert(err, qt.IsNil)
			c.Check(body, qt.Equals, rawhttp.Body)
		})
	}
}

// TestSoundStatusesArePassedOn covers statuses with and without a body, and answers to HEAD.
func TestSoundStatusesArePassedOn(t *testing.T) {
	for status, bodyless := range map[int]bool{200: false, 204: true, 299: false, 304: true, 404: false, 500: false, 599: false} {
		for _, method := range []string{http.MethodGet, http.MethodHead} {
			t.Run(fmt.Sprint(method, " ", status), func(t *testing.T) {
				c := qt.New(t)
				text, want := rawhttp.Body, rawhttp.Body
				if bodyless || method == http.MethodHead {
					text, want = "", ""
				}
				server := httptest.NewServer(rawhttp.Handler(func(r *http.Request) string {
					length := "Content-Length: 4\r\n"
					if status == http.StatusNoContent {
						length = ""
					}
					return strings.Join([]string{fmt.Sprintf("HTTP/1.1 %d Text", status), "Request-Id: " + r.Header.Get("Request-Id"), length, text}, "\r\n")
				}))
				defer server.Close()
				response, err := upstream.NewClient(headers()).Do(c.Context(), upstream.Request{
					Address: server.Listener.Addr().String(),
					Method:  method,
					Target:  "/",
					Host:    "a.example",
					Header: http.Header{
						"Request-Id": {"r0"},
					},
					RequestID: "r0",
					Timeout:   time.Minute,
				})
				c.Assert(err, qt.IsNil)
				defer response.Body.Close()
				body, err := io.ReadAll(response.Body)
				c.Assert(err, qt.IsNil)
				c.Check(response.Status, qt.Equals, status)
				c.Check(string(body), qt.Equals, want)
			})
		}
	}
}
