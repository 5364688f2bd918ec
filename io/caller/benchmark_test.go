package caller_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"
)

// serveBenchmark answers with 200 bytes, as an upstream's response is passed on, for /wait after a millisecond.
func serveBenchmark(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/wait" {
		time.Sleep(time.Millisecond)
	}
	w.Header()["Content-Type"] = nil
	w.Header().Set("Content-Length", "200")
	w.Write(make([]byte, 200))
}

// drive sends b.N requests over connections with ahead requests in flight on each.
func drive(b *testing.B, address, path string, connections, ahead int) {
	var group sync.WaitGroup
	b.ReportAllocs()
	b.ResetTimer()
	for i := range connections {
		conn, err := net.Dial("tcp4", address)
		if err != nil {
			b.Fatal(err)
		}
		defer conn.Close()
		group.Go(func() {
			n := b.N / connections
			if i < b.N%connections {
				n++
			}
			reader := bufio.NewReader(conn)
			request := get(path)
			sent, received := 0, 0
			for received < n {
				for sent < n && sent-received < ahead {
					if _, err := io.WriteString(conn, request); err != nil {
						b.Error(err)
						return
					}
					sent++
				}
				response, err := http.ReadResponse(reader, nil)
				if err != nil {
					b.Error(err)
					return
				}
				if _, err := io.Copy(io.Discard, response.Body); err != nil {
					b.Error(err)
					return
				}
				received++
			}
		})
	}
	group.Wait()
}

// BenchmarkInFlight compares 16 requests in flight on one connection with one on each of 16 connections, and with net/http.
func BenchmarkInFlight(b *testing.B) {
	s := start(b, serveBenchmark)
	reference := httptest.NewServer(http.HandlerFunc(serveBenchmark))
	defer reference.Close()
	address := reference.Listener.Addr().String()
	for _, path := range []string{"/", "/wait"} {
		b.Run("1x16"+path, func(b *testing.B) { drive(b, s.address, path, 1, 16) })
		b.Run("16x1"+path, func(b *testing.B) { drive(b, s.address, path, 16, 1) })
		b.Run("1x1"+path, func(b *testing.B) { drive(b, s.address, path, 1, 1) })
		b.Run("net-http-16x1"+path, func(b *testing.B) { drive(b, address, path, 16, 1) })
		b.Run("net-http-1x1"+path, func(b *testing.B) { drive(b, address, path, 1, 1) })
	}
}
