// Package rawhttp answers HTTP requests with bytes that no HTTP library sends.
package rawhttp

import (
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Answer is the text of an answer with a place, "%s", for header fields that its reader expects, each with its line end.
type Answer string

// With returns the answer with these fields.
func (a Answer) With(fields string) string { return fmt.Sprintf(string(a), fields) }

// Carry returns the answer with these fields and body in place of Body.
func (a Answer) Carry(fields, body string) string {
	return strings.NewReplacer(
		"Content-Length: 4\r\n", fmt.Sprintf("Content-Length: %d\r\n", len(body)),
		"4\r\n"+Body+"\r\n", fmt.Sprintf("%x\r\n%s\r\n", len(body), body),
		Body, body,
	).Replace(a.With(fields))
}

// Handler answers each request with the bytes that answer returns, once its body has been read, and then closes the connection.
func Handler(answer func(r *http.Request) string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // The test checks what the client makes of the answer.
		conn := hijack(w)
		defer conn.Close()
		_, _ = io.WriteString(conn, answer(r))
	})
}

// Early answers each request with the bytes that answer returns before it reads the body, and ends as end says, which also closes the
// connection.
func Early(answer func(r *http.Request) string, end func(conn net.Conn)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn := hijack(w)
		_, _ = io.WriteString(conn, answer(r))
		end(conn)
	})
}

// ResetAfter resets a connection after pause.
func ResetAfter(pause time.Duration) func(conn net.Conn) {
	return func(conn net.Conn) {
		time.Sleep(pause)
		if secure, ok := conn.(*tls.Conn); ok {
			conn = secure.NetConn()
		}
		if c, ok := conn.(*net.TCPConn); ok {
			_ = c.SetLinger(0) // Closing a connection that fails resets nothing.
		}
		conn.Close()
	}
}

// Linger ends the answer, and closes the connection once the request has been read.
func Linger(conn net.Conn) {
	if c, ok := conn.(*net.TCPConn); ok {
		_ = c.CloseWrite()
	}
	_, _ = io.Copy(io.Discard, conn)
	conn.Close()
}

func hijack(w http.ResponseWriter) net.Conn {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	return conn
}
