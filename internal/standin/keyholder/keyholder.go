// Package keyholder implements a test upstream that speaks the gateway's HTTP protocol for grants. It holds ranges of
// keys by leases that run from the arrival of a grant, refuses requests for keys that it does not hold, and counts how
// often it ran each request.
package keyholder

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"cuminlift/internal/standin/lease"
	"cuminlift/platform"
)

// Config configures an Upstream.
type Config struct {
	ID string
	// Keyed makes the upstream refuse requests for keys that it does not hold.
	Keyed bool
	// ServiceTime is the time that a request runs.
	ServiceTime time.Duration
	// CrashPath is the path of requests that end the upstream once they have run for ServiceTime, empty for none.
	CrashPath string
}

// Upstream is a running test upstream.
type Upstream struct {
	config Config
	server *httptest.Server
	// crashed is true once the upstream has crashed.
	crashed atomic.Bool
	mutex   sync.Mutex
	leases  lease.Leases
	// runs counts the executions of each request by its Request-Id header.
	runs map[string]int
	// rejections counts the requests for keys that the upstream does not hold.
	rejections int
	// leaving makes all answers say that the upstream leaves.
	leaving bool
	// pause is the text of the Retry-After header with which all requests are rejected; empty for none.
	pause string
	// erring makes all requests fail once they have run.
	erring bool
	// limit is the text of the Server-Limit header, empty for none.
	limit string
	// arrivals holds the times of all requests.
	arrivals []time.Time
}

// Start starts an upstream on a loopback address. Stop must be called.
func Start(config Config) *Upstream {
	u := &Upstream{
		config: config,
		runs:   map[string]int{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /cuminlift/grant", u.requireInstance(u.grant))
	mux.HandleFunc("POST /cuminlift/release", u.requireInstance(u.release))
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("/", u.run)
	u.server = httptest.NewServer(mux)
	return u
}

// Address returns the host and port that the upstream listens on.
func (u *Upstream) Address() string {
	return strings.TrimPrefix(u.server.URL, "http://")
}

// Stop closes all connections and the server.
func (u *Upstream) Stop() {
	u.server.CloseClientConnections()
	u.server.Close()
}

// Crash closes the listener and all connections at once.
func (u *Upstream) Crash() {
	u.crashed.Store(true)
	u.server.Config.Close()
}

// Crashed reports whether the upstream has crashed.
func (u *Upstream) Crashed() bool {
	return u.crashed.Load()
}

// RunCounts returns how often each request was run, by its Request-Id header.
func (u *Upstream) RunCounts() map[string]int {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	runs := map[string]int{}
	for name, n := range u.runs {
		runs[name] = n
	}
	return runs
}

// Rejections returns how many requests came for keys that the upstream does not hold.
func (u *Upstream) Rejections() int {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return u.rejections
}

// Leave makes all answers say from now on that the upstream leaves.
func (u *Upstream) Leave() {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.leaving = true
}

// SetErring makes all requests fail with status 500 from now on, or ends that.
func (u *Upstream) SetErring(erring bool) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.erring = erring
}

// SetPause makes the upstream reject all requests from now on, as not run, with this text in Retry-After; an empty text ends that.
func (u *Upstream) SetPause(pause string) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.pause = pause
}

// SetLimit sets the limit, in requests per second, that all answers name from now on; an empty text removes it.
func (u *Upstream) SetLimit(limit string) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.limit = limit
}

// Arrivals returns the times at which requests arrived, rejected ones included.
func (u *Upstream) Arrivals() []time.Time {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return slices.Clone(u.arrivals)
}

// HoldsKey reports whether the upstream has an unexpired lease on key.
func (u *Upstream) HoldsKey(key uint32) bool {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return time.Now().Before(u.leases.Until(key))
}

// misdirected answers a request for another instance.
func (u *Upstream) misdirected(w http.ResponseWriter) {
	w.Header().Set("Instance-Id", u.config.ID)
	w.WriteHeader(http.StatusMisdirectedRequest)
}

// requireInstance answers requests addressed to another instance with status 421.
func (u *Upstream) requireInstance(handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Expect-Instance") != u.config.ID {
			u.misdirected(w)
			return
		}
		handle(w, r)
	}
}

// grant takes a lease on all keys of a range, or on none if one of them was granted under a higher fence.
func (u *Upstream) grant(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	grant, err := platform.DecodeGrant(r.Body)
	if err != nil || grant.Hold == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if !u.leases.Grant(grant, arrived.Add(grant.Hold)) {
		w.WriteHeader(http.StatusConflict)
	}
}

// release ends the leases on a range and returns a handover token.
func (u *Upstream) release(w http.ResponseWriter, r *http.Request) {
	grant, err := platform.DecodeGrant(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.leases.Release(grant)
	w.Header().Set(platform.HandoverHeader, fmt.Sprintf("token-%d-%d", grant.Fence, handoverCount.Add(1)))
}

func (u *Upstream) run(w http.ResponseWriter, r *http.Request) {
	name := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", name)
	u.mutex.Lock()
	u.arrivals = append(u.arrivals, time.Now())
	if u.leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	if u.limit != "" {
		w.Header().Set("Server-Limit", u.limit)
	}
	pause := u.pause
	u.mutex.Unlock()
	if pause != "" {
		w.Header().Set("Retry-After", pause)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if r.Header.Get("Expect-Instance") != u.config.ID {
		u.misdirected(w)
		return
	}
	if u.config.Keyed {
		key, err := strconv.ParseUint(r.Header.Get("Shard-Key"), 10, 32)
		if err != nil || !u.HoldsKey(uint32(key)) {
			u.mutex.Lock()
			u.rejections++
			u.mutex.Unlock()
			w.Header().Set("Not-Executed", "1")
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
	}
	u.mutex.Lock()
	u.runs[name]++
	erring := u.erring
	u.mutex.Unlock()
	time.Sleep(u.config.ServiceTime)
	if u.config.CrashPath != "" && r.URL.Path == u.config.CrashPath {
		u.Crash()
		return
	}
	w.Header().Set("Response-Signature", u.config.ID)
	if erring {
		w.WriteHeader(http.StatusInternalServerError)
	}
	fmt.Fprintf(w, "%s for %s", u.config.ID, name)
}

// handoverCount makes each handover differ.
var handoverCount atomic.Uint64
