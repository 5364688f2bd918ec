// Package upstream stands in for an upstream: it owns what it is granted, has few slots, starts cold, sheds, drains,
// and honours cancellation and deadlines. It counts what the promises are checked against.
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

// Config constructs an Upstream.
type Config struct {
	Name string
	// Keyed upstreams refuse requests for keys that they do not own.
	Keyed bool
	// Slots is the number of requests that run at a time.
	Slots int
	// Work is how long a request takes.
	Work time.Duration
	// Connect is how long a new connection takes.
	Connect time.Duration
	// Cold is how long a start lasts, in which only one request runs and takes ColdStartFactor times as long.
	Cold            time.Duration
	ColdStartFactor int
	// OnOutcome is called for each outcome, or is nil.
	OnOutcome func(*schema.Outcome)
}

// Upstream is the stand-in's state.
type Upstream struct {
	config      Config
	mutex       sync.Mutex
	incarnation string
	started     time.Time
	fence       uint64
	set         uint64
	ranges      []*schema.Range
	expires     time.Time
	running     int
	hashes      map[uint64]int
	faults      *schema.UpstreamFaults
	thaw        chan struct{}
	load        *schema.UpstreamLoad
	ran         map[string]int
	server      *http.Server
	address     string
	clock       *clock.Machine
}

// New returns an upstream that has just started.
func New(config Config) *Upstream {
	u := &Upstream{
		config: config,
		faults: &schema.UpstreamFaults{},
		load:   &schema.UpstreamLoad{},
		ran:    map[string]int{},
		clock:  clock.NewMachine(),
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
		ConnState:         u.connection,
	}
	go func() { _ = u.server.Serve(listener) }()
	return nil
}

// Address returns where the upstream listens.
func (u *Upstream) Address() string { return u.address }

// Close ends the server at once, as a crash would.
func (u *Upstream) Close() { _ = u.server.Close() }

func (u *Upstream) connection(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		time.Sleep(u.config.Connect)
		u.mutex.Lock()
		u.load.Connections++
		u.mutex.Unlock()
	case http.StateClosed, http.StateHijacked:
		u.mutex.Lock()
		u.load.Connections--
		u.mutex.Unlock()
	case http.StateActive, http.StateIdle:
	}
}

// restart forgets all that a new process would not know.
func (u *Upstream) restart() {
	var id [8]byte
	_, _ = rand.Read(id[:])
	u.incarnation = hex.EncodeToString(id[:])
	u.started = time.Now()
	u.fence = 0
	u.set = 0
	u.ranges = nil
	u.expires = time.Time{}
	u.hashes = map[uint64]int{}
}

// SetFaults replaces what goes wrong.
func (u *Upstream) SetFaults(faults *schema.UpstreamFaults) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if faults.GetFrozen() && u.thaw == nil {
		u.thaw = make(chan struct{})
	}
	if !faults.GetFrozen() && u.thaw != nil {
		close(u.thaw)
		u.thaw = nil
	}
	if faults.GetRestart() {
		u.restart()
	}
	if faults.GetCold() {
		u.started = time.Now()
	}
	u.faults = faults
}

// Counters returns the counts so far, without the lag of a report.
func (u *Upstream) Counters() *schema.UpstreamLoad {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return proto.Clone(u.load).(*schema.UpstreamLoad)
}

// wait blocks while the upstream is frozen.
func (u *Upstream) wait() {
	u.mutex.Lock()
	thaw := u.thaw
	u.mutex.Unlock()
	if thaw != nil {
		<-thaw
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
	u.wait()
	content, err := proto.Marshal(u.take(grant))
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(content)
}

// take accepts or refuses a grant.
func (u *Upstream) take(grant *schema.Grant) *schema.GrantReply {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	accepted := grant.GetIncarnation() == u.incarnation && grant.GetFence() >= u.fence
	if u.faults.GetIgnoreFence() {
		accepted = true
	}
	if grant.GetRenews() != 0 && grant.GetRenews() != u.set {
		accepted = false
	}
	if accepted && grant.GetTtlMs() > 0 {
		u.fence = grant.GetFence()
		if grant.GetRenews() == 0 {
			u.ranges = grant.GetRanges()
			u.set++
		}
		u.expires = time.UnixMilli(grant.GetStamp() + grant.GetTtlMs())
		u.observeOwned(time.Until(u.expires))
	}
	return &schema.GrantReply{
		Upstream:    u.config.Name,
		Incarnation: u.incarnation,
		Fence:       u.fence,
		Stamp:       time.Now().UnixMilli(),
		Busy:        u.lostBusy(),
		Accepted:    accepted,
		Sequence:    grant.GetSequence(),
		Cold:        u.cold(),
		Set:         u.set,
	}
}

// observeOwned tells what the upstream owns from now on, and for how long.
func (u *Upstream) observeOwned(length time.Duration) {
	if u.config.OnOutcome == nil || !u.config.Keyed {
		return
	}
	u.observe(&schema.Outcome{
		Kind:    "disowns",
		Subject: u.config.Name,
	})
	until := u.clock.Now() + length
	for _, r := range u.ranges {
		u.observe(&schema.Outcome{
			Kind:    "owns",
			Subject: u.config.Name,
			From:    r.GetStart(),
			To:      r.GetEnd(),
			Fence:   r.GetFence(),
			Value:   until.Microseconds(),
		})
	}
}

// lostBusy counts requests in progress for keys that are no longer owned.
func (u *Upstream) lostBusy() uint32 {
	busy := 0
	for hash, n := range u.hashes {
		if !u.owns(hash) {
			busy += n
		}
	}
	return uint32(busy)
}

func (u *Upstream) owns(hash uint64) bool {
	if !u.config.Keyed {
		return true
	}
	if !time.Now().Before(u.expires) {
		return false
	}
	for _, r := range u.ranges {
		if r.GetStart() <= hash && hash <= r.GetEnd() {
			return true
		}
	}
	return false
}

func (u *Upstream) cold() bool {
	return time.Since(u.started) < u.config.Cold
}

func (u *Upstream) observe(o *schema.Outcome) {
	if u.config.OnOutcome != nil {
		u.config.OnOutcome(o)
	}
}

func (u *Upstream) serve(w http.ResponseWriter, r *http.Request) {
	u.wait()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	hash, _ := strconv.ParseUint(r.Header.Get("Cuminlift-Hash"), 16, 64)
	work, refusal := u.begin(r, hash)
	w.Header().Set("Cuminlift-Request", r.Header.Get("Cuminlift-Request"))
	if refusal != "" {
		w.Header().Set("Cuminlift-Outcome", "not-run")
		w.Header().Set("Retry-After", "1")
		w.Header().Set("Cuminlift-Reason", refusal)
		http.Error(w, refusal, http.StatusServiceUnavailable)
		return
	}
	defer u.end(hash)
	timer := time.NewTimer(work)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
		return
	}
	u.wait()
	u.answer(w, r, body)
}

// begin takes a slot. It returns why the request is refused, or how long it runs.
func (u *Upstream) begin(r *http.Request, hash uint64) (work time.Duration, refusal string) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	slots := u.config.Slots
	work = u.config.Work + time.Duration(u.faults.GetExtraMs())*time.Millisecond
	if u.cold() {
		slots = 1
		work *= time.Duration(max(1, u.config.ColdStartFactor))
	}
	if !u.owns(hash) {
		u.load.Unowned++
		return 0, "not-owner"
	}
	if u.running >= slots {
		u.load.Refused++
		return 0, "slots-taken"
	}
	u.running++
	u.hashes[hash]++
	u.load.Running = uint32(u.running)
	u.load.MostRunning = max(u.load.MostRunning, uint32(u.running))
	id := r.Header.Get("Cuminlift-Request")
	if r.Method != http.MethodGet && id != "" {
		u.ran[id]++
		if u.ran[id] > 1 {
			u.load.RepeatedRuns++
		}
		u.observe(&schema.Outcome{
			Kind:    "ran",
			Subject: u.config.Name,
			Request: id,
			Detail:  "order",
		})
	}
	return work, ""
}

func (u *Upstream) end(hash uint64) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.running--
	u.load.Running = uint32(u.running)
	u.load.Served++
	u.hashes[hash]--
	if u.hashes[hash] <= 0 {
		delete(u.hashes, hash)
	}
}

// answer writes as many bytes as the query's size asks for, or a line that names the upstream and the request.
func (u *Upstream) answer(w http.ResponseWriter, r *http.Request, body []byte) {
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
