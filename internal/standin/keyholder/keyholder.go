// Package keyholder is a stand-in for an upstream of the operators' platform: it holds keys by grants whose time counts from
// their arrival, runs each request once, and tells what it saw.
package keyholder

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Config constructs an Upstream.
type Config struct {
	ID string
	// Keyed upstreams run a request only while they hold its key.
	Keyed bool
	// ServiceTime is how long a request takes.
	ServiceTime time.Duration
}

// Upstream is one running stand-in.
type Upstream struct {
	config Config
	server *httptest.Server
	mutex  sync.Mutex
	holds  map[uint32]hold
	// Runs counts how often each request was run, by its name.
	runs map[string]int
}

type hold struct {
	fence uint64
	until time.Time
}

// Start starts an upstream on the loopback.
func Start(config Config) *Upstream {
	u := &Upstream{
		config: config,
		holds:  map[uint32]hold{},
		runs:   map[string]int{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /cuminlift/grant", u.meant(u.grant))
	mux.HandleFunc("POST /cuminlift/release", u.meant(u.release))
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("/", u.run)
	u.server = httptest.NewServer(mux)
	return u
}

// Address returns where it listens.
func (u *Upstream) Address() string {
	return strings.TrimPrefix(u.server.URL, "http://")
}

// Stop ends it at once.
func (u *Upstream) Stop() {
	u.server.CloseClientConnections()
	u.server.Close()
}

// RunCounts returns how often each request was run.
func (u *Upstream) RunCounts() map[string]int {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	runs := map[string]int{}
	for name, n := range u.runs {
		runs[name] = n
	}
	return runs
}

// HoldsKey reports whether it holds key now.
func (u *Upstream) HoldsKey(key uint32) bool {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return time.Now().Before(u.holds[key].until)
}

type call struct {
	From  uint32 `json:"from"`
	To    uint32 `json:"to"`
	Fence uint64 `json:"fence"`
	Hold  string `json:"hold_time"`
}

// meant refuses what is meant for another upstream.
func (u *Upstream) meant(handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Expect-Instance") != u.config.ID {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		handle(w, r)
	}
}

func (u *Upstream) grant(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	var c call
	lasts := time.Duration(0)
	err := json.NewDecoder(r.Body).Decode(&c)
	if err == nil {
		lasts, err = time.ParseDuration(c.Hold)
	}
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	u.mutex.Lock()
	defer u.mutex.Unlock()
	for key := c.From; key <= c.To; key++ {
		if u.holds[key].fence > c.Fence {
			w.WriteHeader(http.StatusConflict)
			return
		}
	}
	for key := c.From; key <= c.To; key++ {
		u.holds[key] = hold{
			fence: c.Fence,
			until: arrived.Add(lasts),
		}
	}
}

func (u *Upstream) release(w http.ResponseWriter, r *http.Request) {
	var c call
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	u.mutex.Lock()
	defer u.mutex.Unlock()
	for key := c.From; key <= c.To; key++ {
		u.holds[key] = hold{
			fence: u.holds[key].fence,
		}
	}
	w.Header().Set("Handover", fmt.Sprintf("token-%d", c.Fence))
}

func (u *Upstream) run(w http.ResponseWriter, r *http.Request) {
	name := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", name)
	if r.Header.Get("Expect-Instance") != u.config.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if u.config.Keyed {
		key, err := strconv.ParseUint(r.Header.Get("Shard-Key"), 10, 32)
		if err != nil || !u.HoldsKey(uint32(key)) {
			w.Header().Set("Not-Executed", "1")
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
	}
	u.mutex.Lock()
	u.runs[name]++
	u.mutex.Unlock()
	time.Sleep(u.config.ServiceTime)
	w.Header().Set("Response-Signature", u.config.ID)
	fmt.Fprintf(w, "%s for %s", u.config.ID, name)
}

// addresses counts the addresses that UnusedAddress has given out.
var addresses atomic.Uint32

// UnusedAddress returns an address of the loopback that nobody listens on, nor will: each has an IP of its own, by process and by call. On a
// shared one the port can be taken before its user listens, by another process or by a connection that goes out.
func UnusedAddress() (string, error) {
	const hosts = 250
	process := os.Getpid()
	host := fmt.Sprintf("127.%d.%d.%d", 64+process>>8&63, process&255, 1+addresses.Add(1)%hosts)
	listener, err := net.Listen("tcp4", net.JoinHostPort(host, "0"))
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}
