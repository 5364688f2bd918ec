package upstream

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"time"
)

// responseBody is the body of a response. Closing it returns the connection to the pool if the complete response, and
// nothing after it, was received.
type responseBody struct {
	body       io.ReadCloser
	connection *connection
	stop       func() bool
	written    <-chan error
	pool       *connectionPool
	address    string
	reusable   bool
	// length is the length of the body, -1 if it is not known, and read is the number of bytes read.
	length, read int64
	idleTimeout  time.Duration
	complete     bool
	closed       bool
}

// Read implements io.Reader. An error other than io.EOF means that the response is incomplete.
func (b *responseBody) Read(data []byte) (int, error) {
	n, err := b.body.Read(data)
	b.read += int64(n)
	if errors.Is(err, io.EOF) {
		b.complete = true
	}
	return n, err
}

// Close returns the connection to the pool if it can be reused, and otherwise resets it.
func (b *responseBody) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	b.connection.head.release()
	intact := b.stop()
	if !b.complete && b.length >= 0 && int64(b.connection.reader.Buffered()) >= b.length-b.read {
		// The caller may not have read all of it. An upstream that is still sending is not waited for.
		_, err := io.Copy(io.Discard, b.body)
		b.complete = err == nil
	}
	if intact && b.reusable && b.complete && b.connection.reader.Buffered() == 0 && b.fullyWritten() {
		b.pool.put(b.address, b.connection, b.idleTimeout)
		return nil
	}
	b.connection.abort()
	return nil
}

// fullyWritten reports whether the complete request was sent. An upstream may respond before it has read a long body.
func (b *responseBody) fullyWritten() bool {
	select {
	case err := <-b.written:
		return err == nil
	default:
		return false
	}
}

// RemoveHopByHopHeaders removes the headers that apply only to a single connection.
func RemoveHopByHopHeaders(header http.Header) {
	for _, line := range header.Values("Connection") {
		for _, name := range strings.Split(line, ",") {
			if name = strings.TrimSpace(name); name != "" {
				header.Del(name)
			}
		}
	}
	for _, name := range []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade"} {
		header.Del(name)
	}
}
