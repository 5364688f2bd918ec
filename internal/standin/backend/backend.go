// Package backend implements an upstream of the operators' platform as a process: it registers itself in the store, takes grants and
// releases, runs requests in slots, and reports what it does as events.
package backend

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"cuminlift"
	"cuminlift/core/roster"
	"cuminlift/internal/standin/lease"
	"cuminlift/platform"
)

// Settings configure a Backend.
type Settings struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Zone    string `json:"zone"`
	// Listen is the address to listen on, and Address the one to register, Listen if it is empty.
	Listen  string `json:"listen"`
	Address string `json:"address,omitempty"`
	// Store is the address of the platform's store.
	Store string `json:"store"`
	// Keyed backends run requests only for keys that they hold.
	Keyed bool `json:"keyed,omitempty"`
	// Slots requests run at a time, and as many wait.
	Slots int `json:"slots"`
	// ServiceMS is the mean time that a request takes, and HeartbeatMS the time between registrations, in milliseconds.
	ServiceMS   int `json:"service-ms"`
	HeartbeatMS int `json:"heartbeat-ms"`
	// DrainMS is how long a backend that is stopped serves after it has reported so, in milliseconds.
	DrainMS int `json:"drain-ms"`
	// Faults are those from the start on.
	Faults Faults `json:"faults,omitzero"`
}

// Faults are the faults that a Backend injects. The zero value is none.
type Faults struct {
	// SlowBy multiplies the time that requests take, 0 for 1.
	SlowBy int `json:"slow-by,omitempty"`
	// Broken is the share of the answers that break off, from 0 to 1.
	Broken float64 `json:"broken,omitempty"`
	// Refused is the share of the requests that are refused though there is room, from 0 to 1.
	Refused float64 `json:"refused,omitempty"`
	// Repeated is the share of the answers, also to grants and releases, that are written a second time where the next answer is
	// expected, from 0 to 1.
	Repeated float64 `json:"repeated,omitempty"`
	// Additional is the share of the answers, also to grants and releases, behind which bytes that belong to no request are written
	// where the next answer is expected, from 0 to 1.
	Additional float64 `json:"additional,omitempty"`
	// Misstated is the share of the requests that are run and then answered with a status that promises callers the opposite, without the
	// header that states it, from 0 to 1.
	Misstated float64 `json:"misstated,omitempty"`
	// LateGrants is the share of the grants that are not answered and carried out up to maxLateness later, from 0 to 1.
	LateGrants float64 `json:"late-grants,omitempty"`
}

// FaultsPath is the path of the control call, which takes Faults as JSON.
const FaultsPath = "/control/faults"

// SettingsError reports unusable settings.
type SettingsError struct {
	Problem string
}

func (e *SettingsError) Error() string {
	return "settings of a backend: " + e.Problem + ": correct them and start again"
}

// Check returns a *SettingsError if the settings are unusable.
func (s Settings) Check() error {
	for name, missing := range map[string]bool{
		"id":           s.ID == "",
		"service":      s.Service == "",
		"zone":         s.Zone == "",
		"listen":       s.Listen == "",
		"store":        s.Store == "",
		"slots":        s.Slots < 1,
		"service-ms":   s.ServiceMS < 1,
		"heartbeat-ms": s.HeartbeatMS < 1,
	} {
		if missing {
			return &SettingsError{
				Problem: name + " is missing or too small",
			}
		}
	}
	return nil
}

// Backend is a running upstream.
type Backend struct {
	settings Settings
	store    *platform.Store
	born     int64

	mutex      sync.Mutex
	events     *json.Encoder
	eventError error
	faults     Faults
	draining   bool
	leases     lease.Leases
	// work holds the running requests. changed is closed and replaced when one of them or a lease changes.
	work    map[*work]bool
	changed chan struct{}
	waiting int
	// handoverCount makes each handover differ.
	handoverCount int
}

// New returns a backend that writes its events to out.
func New(settings Settings, out io.Writer) (*Backend, error) {
	if err := settings.Check(); err != nil {
		return nil, err
	}
	if settings.Address == "" {
		settings.Address = settings.Listen
	}
	return &Backend{
		settings: settings,
		faults:   settings.Faults,
		store:    platform.NewStore(settings.Store, http.DefaultClient),
		born:     time.Now().UnixMilli(),
		events:   json.NewEncoder(out),
		work:     map[*work]bool{},
		changed:  make(chan struct{}),
	}, nil
}

// notify wakes all waiting requests and releases. The caller holds the mutex.
func (b *Backend) notify() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// storeTimeout bounds a call to the store.
const storeTimeout = time.Second

// register writes the backend's entry, or removes it.
func (b *Backend) register(draining, remove bool) error {
	row, err := platform.EncodeUpstream(roster.Upstream{
		ID:          b.settings.ID,
		Service:     b.settings.Service,
		Address:     b.settings.Address,
		Zone:        b.settings.Zone,
		Slots:       b.settings.Slots,
		Draining:    draining,
		Incarnation: b.born,
	})
	if err != nil {
		return fmt.Errorf("encoding the entry: %w", err)
	}
	transaction := cuminlift.RowTransaction{
		Put: []cuminlift.Row{row},
	}
	if remove {
		transaction = cuminlift.RowTransaction{
			Remove: []cuminlift.Row{row},
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	_, err = b.store.Commit(ctx, transaction)
	return err
}

// Run serves until ctx ends, and then drains.
func (b *Backend) Run(ctx context.Context) error {
	accepting, err := net.Listen("tcp4", b.settings.Listen)
	if err != nil {
		return fmt.Errorf("listening: %w", err)
	}
	listener := &repeatingListener{
		Listener: accepting,
		late:     b.late,
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+platform.CallPrefix+platform.GrantCall, b.expected(b.grant))
	mux.HandleFunc("POST "+platform.CallPrefix+platform.ReleaseCall, b.expected(b.release))
	mux.HandleFunc("POST "+FaultsPath, b.setFaults)
	mux.HandleFunc("GET "+HealthPath, b.health)
	mux.HandleFunc("/", b.expected(b.run))
	server := &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: 5 * time.Second,
		IdleTimeout:       10 * time.Second,
	}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	b.mutex.Lock()
	b.record(Event{
		Kind: Started,
	})
	b.mutex.Unlock()
	heartbeat := time.NewTicker(time.Duration(b.settings.HeartbeatMS) * time.Millisecond)
	defer heartbeat.Stop()
	// A heartbeat that fails is repeated by the next one.
	_ = b.register(false, false)
	var drained <-chan time.Time
	done := ctx.Done()
	for {
		select {
		case err := <-served:
			return fmt.Errorf("serving: %w", err)
		case <-done:
			done = nil
			for b.register(true, false) != nil {
				time.Sleep(time.Duration(b.settings.HeartbeatMS) * time.Millisecond)
			}
			b.mutex.Lock()
			b.draining = true
			b.record(Event{
				Kind: Draining,
			})
			b.mutex.Unlock()
			drained = time.After(time.Duration(b.settings.DrainMS) * time.Millisecond)
		case <-heartbeat.C:
			_ = b.register(done == nil, false)
		case <-drained:
			return b.leave(server)
		}
	}
}

// leave removes the entry, waits for the running requests, and ends.
func (b *Backend) leave(server *http.Server) error {
	err := b.register(false, true)
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	// What is still running is cut off.
	closing := errors.Join(server.Shutdown(ctx), server.Close())
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.record(Event{
		Kind: Left,
	})
	return errors.Join(err, closing, b.eventError)
}

func (b *Backend) setFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, fmt.Sprintf("decoding faults: %v", err), http.StatusBadRequest)
		return
	}
	b.mutex.Lock()
	b.faults = faults
	b.mutex.Unlock()
}

// additional are bytes that belong to no request, each of another form: refusals, a success, and no answer at all.
var additional = []string{
	"HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 421 Misdirected Request\r\nInstance-Id: another\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 421 Misdirected Request\r\nRequest-Id: another\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother",
	"no answer at all\r\n\r\n",
}

// late returns what is written in place of the next answer behind an answer, usually nothing.
func (b *Backend) late(answer []byte) []byte {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	switch draw := rand.Float64(); {
	case draw < b.faults.Repeated:
		return answer
	case draw < b.faults.Repeated+b.faults.Additional:
		return []byte(additional[rand.IntN(len(additional))])
	}
	return nil
}

// misstatements are the statuses that promise callers that a request has not run.
var misstatements = []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// misstate returns the status of the answer to a request that has run. The caller holds the mutex.
func (b *Backend) misstate(status int) int {
	if status == http.StatusOK && rand.Float64() < b.faults.Misstated {
		return misstatements[rand.IntN(len(misstatements))]
	}
	return status
}

// serviceTime returns how long the next request takes, and whether its answer breaks off.
func (b *Backend) serviceTime() (takes time.Duration, broken bool) {
	mean := b.settings.ServiceMS * max(1, b.faults.SlowBy)
	return time.Duration(1+rand.IntN(2*mean)) * time.Millisecond, rand.Float64() < b.faults.Broken
}
