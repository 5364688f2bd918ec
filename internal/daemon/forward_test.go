package daemon_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
)

// BenchmarkForward sends requests through one instance. Allocations include those of the client and the fake upstream.
func BenchmarkForward(b *testing.B) {
	c := qt.New(b)
	f := startFakeUpstream(c, func(connection net.Conn, _ *http.Request) {
		fmt.Fprint(connection, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	})
	cluster := startCluster(c, f)
	benchmarkGet(b, "http://"+cluster.Instances[0].Daemon.Callers()+"/media/slides")
}

// BenchmarkDirect sends the same requests directly to the fake upstream, as a baseline.
func BenchmarkDirect(b *testing.B) {
	c := qt.New(b)
	f := startFakeUpstream(c, func(connection net.Conn, _ *http.Request) {
		fmt.Fprint(connection, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	})
	benchmarkGet(b, "http://"+f.listener.Addr().String()+"/media/slides")
}

func benchmarkGet(b *testing.B, target string) {
	client := &http.Client{
		Transport: &http.Transport{
			MaxIdleConnsPerHost: 64,
		},
	}
	b.ReportAllocs()
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			response, err := client.Get(target)
			if err != nil {
				b.Error(err)
				return
			}
			_ = response.Body.Close()
		}
	})
}
