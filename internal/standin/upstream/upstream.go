// Package upstream implements a test upstream. It owns the hash ranges that it is granted, has few slots, refuses
// requests beyond them, is slow after a start and stops work on cancelled requests. It keeps the counters that the
// system's guarantees are checked against.
package upstream

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"cuminlift/io/clock"
	"cuminlift/schema"
)

// Config configures an Upstream.
type Config struct {
	Name string
	// Keyed makes the upstream refuse requests for keys that it does not own.
	Keyed bool
	// Slots is the number of requests that run concurrently.
	Slots int
	// Work is the service time of a request.
	Work time.Duration
	// Connect is the delay of a new connection.
	Connect time.Duration
	// Cold is the length of the cold start, during which only one request runs at a time and takes ColdStartFactor times
	// as long.
	Cold            time.Duration
	ColdStartFactor int
	// OnOutcome is called for each outcome, unless it is nil.
	OnOutcome func(*schema.Outcome)
}

// Upstream is a test upstream. The zero value is not usable; see New.
type Upstream struct {
	config        Config
	mutex         sync.Mutex
	incarnation   string
	startedAt     time.Time
	fence         uint64
	rangeSet      uint64
	ranges        []*schema.Range
	expiresAt     time.Time
	running       int
	runningByHash map[uint64]int
	faults        *schema.UpstreamFaults
	unfrozen      chan struct{}
	counters      *schema.UpstreamLoad
	runCounts     map[string]int
	server        *http.Server
	address       string
	clock         *clock.BootClock
}

// New returns an upstream that has just started.
func New(config Config) *Upstream {
	u := &Upstream{
		config:    config,
		faults:    &schema.UpstreamFaults{},
		counters:  &schema.UpstreamLoad{},
		runCounts: map[string]int{},
		clock:     clock.NewBootClock(),
	}
	u.restart()
	return u
}

// Listen serves on address until Close.
func (u *Upstream) Listen(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("upstream stand-in %s: %w", u.config.Name, err)
	}
	u.address = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /control/grant", u.postGrant)
	mux.HandleFunc("POST /control/faults", u.postFaults)
	mux.HandleFunc("GET /control/load", u.getLoad)
	mux.HandleFunc("/", u.serve)
	u.server = &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: time.Second,
		ConnState:         u.trackConnection,
	}
	go func() { _ = u.server.Serve(listener) }()
	return nil
}

// Address returns the host and port that the upstream listens on.
func (u *Upstream) Address() string { return u.address }

// Close closes the server and all connections, like a crash.
func (u *Upstream) Close() { _ = u.server.Close() }

func (u *Upstream) trackConnection(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		time.Sleep(u.config.Connect)
		u.mutex.Lock()
		u.counters.Connections++
		u.mutex.Unlock()
	case http.StateClosed, http.StateHijacked:
		u.mutex.Lock()
		u.counters.Connections--
		u.mutex.Unlock()
	case http.StateActive, http.StateIdle:
	}
}

// restart takes a new incarnation ID and clears the state that a new process would not have.
func (u *Upstream) restart() {
	var id [8]byte
	_, _ = rand.Read(id[:])
	u.incarnation = hex.EncodeToString(id[:])
	u.startedAt = time.Now()
	u.fence = 0
	u.rangeSet = 0
	u.ranges = nil
	u.expiresAt = time.Time{}
	u.runningByHash = map[uint64]int{}
}

// SetFaults replaces the injected faults. Restart and cold apply once, at the time of the call.
func (u *Upstream) SetFaults(faults *schema.UpstreamFaults) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if faults.GetFrozen() && u.unfrozen == nil {
		u.unfrozen = make(chan struct{})
	}
	if !faults.GetFrozen() && u.unfrozen != nil {
		close(u.unfrozen)
		u.unfrozen = nil
	}
	if faults.GetRestart() {
		u.restart()
	}
	if faults.GetCold() {
		u.startedAt = time.Now()
	}
	u.faults = faults
}

// Counters returns a copy of the current counters.
func (u *Upstream) Counters() *schema.UpstreamLoad {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return proto.Clone(u.counters).(*schema.UpstreamLoad)
}

// waitWhileFrozen blocks while the upstream is frozen.
func (u *Upstream) waitWhileFrozen() {
	u.mutex.Lock()
	unfrozen := u.unfrozen
	u.mutex.Unlock()
	if unfrozen != nil {
		<-unfrozen
	}
}

func (u *Upstream) postGrant(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	grant := &schema.Grant{}
	if err == nil {
		err = proto.Unmarshal(body, grant)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	u.waitWhileFrozen()
	content, err := proto.Marshal(u.applyGrant(grant))
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(content)
}

// applyGrant accepts a grant, or refuses it if it is for another incarnation, has a lower fence or renews a set of
// ranges that is not the current one. A grant with a TTL of 0 only queries the upstream's state.
func (u *Upstream) applyGrant(grant *schema.Grant) *schema.GrantReply {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	accepted := grant.GetIncarnation() == u.incarnation && grant.GetFence() >= u.fence
	if u.faults.GetIgnoreFence() {
		accepted = true
	}
	if grant.GetRenews() != 0 && grant.GetRenews() != u.rangeSet {
		accepted = false
	}
	if accepted && grant.GetTtlMs() > 0 {
		u.fence = grant.GetFence()
		if grant.GetRenews() == 0 {
			u.ranges = grant.GetRanges()
			u.rangeSet++
		}
		u.expiresAt = time.UnixMilli(grant.GetStamp() + grant.GetTtlMs())
		u.emitOwnedRanges(time.Until(u.expiresAt))
	}
	return &schema.GrantReply{
		Upstream:    u.config.Name,
		Incarnation: u.incarnation,
		Fence:       u.fence,
		Stamp:       time.Now().UnixMilli(),
		Busy:        u.countUnownedRunning(),
		Accepted:    accepted,
		Sequence:    grant.GetSequence(),
		Cold:        u.isCold(),
		Set:         u.rangeSet,
	}
}

// emitOwnedRanges reports the ranges that the upstream owns from now on, and until when.
func (u *Upstream) emitOwnedRanges(ttl time.Duration) {
	if u.config.OnOutcome == nil || !u.config.Keyed {
		return
	}
	u.emit(&schema.Outcome{
		Kind:    "disowns",
		Subject: u.config.Name,
	})
	until := u.clock.Now() + ttl
	for _, r := range u.ranges {
		u.emit(&schema.Outcome{
			Kind:    "owns",
			Subject: u.config.Name,
			From:    r.GetStart(),
			To:      r.GetEnd(),
			Fence:   r.GetFence(),
			Value:   until.Microseconds(),
		})
	}
}

// countUnownedRunning counts requests in progress for keys that are no longer owned.
func (u *Upstream) countUnownedRunning() uint32 {
	running := 0
	for hash, n := range u.runningByHash {
		if !u.owns(hash) {
			running += n
		}
	}
	return uint32(running)
}

// owns reports whether hash is in a granted range that has not expired. Upstreams that are not keyed own every hash.
func (u *Upstream) owns(hash uint64) bool {
	if !u.config.Keyed {
		return true
	}
	if !time.Now().Before(u.expiresAt) {
		return false
	}
	for _, r := range u.ranges {
		if r.GetStart() <= hash && hash <= r.GetEnd() {
			return true
		}
	}
	return false
}

func (u *Upstream) isCold() bool {
	return time.Since(u.startedAt) < u.config.Cold
}

func (u *Upstream) emit(o *schema.Outcome) {
	if u.config.OnOutcome != nil {
		u.config.OnOutcome(o)
	}
}

func (u *Upstream) serve(w http.ResponseWriter, r *http.Request) {
	u.waitWhileFrozen()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	hash, _ := strconv.ParseUint(r.Header.Get("Cuminlift-Hash"), 16, 64)
	serviceTime, refusal := u.acquireSlot(r, hash)
	w.Header().Set("Cuminlift-Request", r.Header.Get("Cuminlift-Request"))
	if refusal != "" {
		w.Header().Set("Cuminlift-Outcome", "not-run")
		w.Header().Set("Retry-After", "1")
		w.Header().Set("Cuminlift-Reason", refusal)
		http.Error(w, refusal, http.StatusServiceUnavailable)
		return
	}
	defer u.releaseSlot(hash)
	timer := time.NewTimer(serviceTime)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
		return
	}
	u.waitWhileFrozen()
	u.writeResponse(w, r, body)
}

// acquireSlot reserves a slot and returns the request's service time, or the reason why the request is refused.
func (u *Upstream) acquireSlot(r *http.Request, hash uint64) (serviceTime time.Duration, refusal string) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	slots := u.config.Slots
	serviceTime = u.config.Work + time.Duration(u.faults.GetExtraMs())*time.Millisecond
	if u.isCold() {
		slots = 1
		serviceTime *= time.Duration(max(1, u.config.ColdStartFactor))
	}
	if !u.owns(hash) {
		u.counters.Unowned++
		return 0, "not-owner"
	}
	if u.running >= slots {
		u.counters.Refused++
		return 0, "slots-taken"
	}
	u.running++
	u.runningByHash[hash]++
	u.counters.Running = uint32(u.running)
	u.counters.MostRunning = max(u.counters.MostRunning, uint32(u.running))
	id := r.Header.Get("Cuminlift-Request")
	if r.Method != http.MethodGet && id != "" {
		u.runCounts[id]++
		if u.runCounts[id] > 1 {
			u.counters.RepeatedRuns++
		}
		u.emit(&schema.Outcome{
			Kind:    "ran",
			Subject: u.config.Name,
			Request: id,
			Detail:  "order",
		})
	}
	return serviceTime, ""
}

func (u *Upstream) releaseSlot(hash uint64) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.running--
	u.counters.Running = uint32(u.running)
	u.counters.Served++
	u.runningByHash[hash]--
	if u.runningByHash[hash] <= 0 {
		delete(u.runningByHash, hash)
	}
}

// writeResponse writes the number of bytes in the query parameter size, or else a line that describes the request.
func (u *Upstream) writeResponse(w http.ResponseWriter, r *http.Request, body []byte) {
	w.Header().Set("Upstream", u.config.Name)
	size, err := strconv.Atoi(r.URL.Query().Get("size"))
	if err == nil && size > 0 {
		w.Header().Set("Content-Length", strconv.Itoa(size))
		chunk := make([]byte, 16<<10)
		for size > 0 {
			n := min(size, len(chunk))
			if _, err := w.Write(chunk[:n]); err != nil {
				return
			}
			size -= n
		}
		return
	}
	fmt.Fprintf(w, "%s answers %s %s with %d bytes of body\n", u.config.Name, r.Method, r.URL.Path, len(body))
}

func (u *Upstream) postFaults(_ http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	faults := &schema.UpstreamFaults{}
	if err == nil {
		err = protojson.Unmarshal(body, faults)
	}
	if err == nil {
		u.SetFaults(faults)
	}
}

func (u *Upstream) getLoad(w http.ResponseWriter, _ *http.Request) {
	content, err := protojson.Marshal(u.Counters())
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(content)
}
