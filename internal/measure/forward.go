package measure

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"cuminlift/internal/traffic"
)

// bareForwarder is a minimal reverse proxy to one upstream without any policy: the baseline of ForwardingLatency.
type bareForwarder struct {
	server    *http.Server
	transport *http.Transport
	target    string
	address   string
}

func startBareForwarder(target string) (*bareForwarder, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("bare forwarder: %w", err)
	}
	b := &bareForwarder{
		transport: &http.Transport{
			MaxIdleConnsPerHost: 64,
			DisableCompression:  true,
		},
		target:  target,
		address: listener.Addr().String(),
	}
	b.server = &http.Server{
		Handler:           http.HandlerFunc(b.serve),
		ReadHeaderTimeout: time.Second,
	}
	go func() { _ = b.server.Serve(listener) }()
	return b, nil
}

func (b *bareForwarder) serve(w http.ResponseWriter, r *http.Request) {
	outgoing, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+b.target+r.URL.RequestURI(), r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	response, err := b.transport.RoundTrip(outgoing)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	defer response.Body.Close()
	for name, values := range response.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(response.StatusCode)
	_, _ = io.Copy(w, response.Body)
}

func (b *bareForwarder) close() {
	_ = b.server.Close()
	b.transport.CloseIdleConnections()
}

// ForwardingLatency compares the latency through one instance with that of direct calls and of a bare forwarder, all to
// the same upstream in one run.
func ForwardingLatency(folder string, length time.Duration) (*Table, error) {
	t := &Table{
		Name:    "forward",
		Columns: []string{"way", "offered-s", "answered-s", "p50-ms", "p99-ms", "p999-ms"},
	}
	cluster, err := startSingleInstance(folder)
	if err != nil {
		return nil, err
	}
	defer cluster.Close()
	upstream := cluster.Upstreams["media-1"].Address()
	bare, err := startBareForwarder(upstream)
	if err != nil {
		return nil, err
	}
	defer bare.close()
	ways := []struct{ name, target string }{
		{"direct", "http://" + upstream},
		{"bare forwarder", "http://" + bare.address},
		{"cuminlift", "http://" + cluster.Instances[0].Daemon.Callers()},
	}
	for _, rate := range []float64{1000, 3000, 6000, 12000} {
		for _, way := range ways {
			r := traffic.Run(context.Background(), traffic.Config{
				Targets:     []string{way.target},
				Duration:    length,
				Seed:        1,
				Timeout:     5 * time.Second,
				MaxInFlight: 256,
				Kinds: []traffic.RequestKind{{
					Name:   "request",
					Method: http.MethodGet,
					Path:   "/media/slides-%d",
					Keys:   1000,
					Rate:   rate,
				}},
			})[0]
			t.Add(way.name, rate, float64(r.SuccessCount())/length.Seconds(), milliseconds(r.Quantile(50)), milliseconds(r.Quantile(99)),
				milliseconds(r.Quantile(99.9)))
		}
	}
	return t, nil
}
