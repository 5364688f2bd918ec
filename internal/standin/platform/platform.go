// Package platform is an in-memory test implementation of the platform: a transactional table, an object store and the
// instance list. It can inject outages, delays, lost replies and unreachable instances.
package platform

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"cuminlift/schema"
)

// Platform holds the rows, objects, instance list and injected faults. The zero value is not usable; see New.
type Platform struct {
	mutex   sync.Mutex
	rows    map[string]*schema.Row
	objects map[string][]byte
	list    *schema.InstanceList
	faults  *schema.PlatformFaults
	reads   uint64
	writes  uint64
	server  *http.Server
	address string
}

// New returns an empty platform.
func New() *Platform {
	return &Platform{
		rows:    map[string]*schema.Row{},
		objects: map[string][]byte{},
		list:    &schema.InstanceList{},
		faults:  &schema.PlatformFaults{},
	}
}

// Listen serves on address until Close.
func (p *Platform) Listen(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("platform stand-in: %w", err)
	}
	p.address = listener.Addr().String()
	p.server = &http.Server{
		Handler:           p.handler(),
		ReadHeaderTimeout: time.Second,
	}
	go func() { _ = p.server.Serve(listener) }()
	return nil
}

// Address returns the host and port that the platform listens on.
func (p *Platform) Address() string { return p.address }

// Close closes the server and all connections.
func (p *Platform) Close() { _ = p.server.Close() }

// SetFaults replaces the injected faults.
func (p *Platform) SetFaults(faults *schema.PlatformFaults) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.faults = faults
}

// SetInstanceList replaces the instance list.
func (p *Platform) SetInstanceList(list *schema.InstanceList) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.list = list
}

// OperationCounts returns the numbers of reads and writes so far.
func (p *Platform) OperationCounts() (reads, writes uint64) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.reads, p.writes
}

func (p *Platform) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /table/read", p.withFaults(p.read))
	mux.HandleFunc("POST /table/transact", p.withFaults(p.transact))
	mux.HandleFunc("GET /list", p.withFaults(p.getList))
	mux.HandleFunc("PUT /object/{name...}", p.withFaults(p.putObject))
	mux.HandleFunc("GET /object/{name...}", p.withFaults(p.getObject))
	mux.HandleFunc("POST /control/faults", p.postFaults)
	mux.HandleFunc("POST /control/list", p.postList)
	return mux
}

// withFaults wraps a handler with the faults that apply to every request: delay, outage and blocked instances.
func (p *Platform) withFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p.mutex.Lock()
		faults := p.faults
		p.mutex.Unlock()
		time.Sleep(time.Duration(faults.GetDelayMs()) * time.Millisecond)
		if faults.GetDown() || isBlocked(faults, r.Header.Get("From-Instance")) {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		next(w, r)
	}
}

func isBlocked(faults *schema.PlatformFaults, name string) bool {
	for _, b := range faults.GetBlocked() {
		if b == name {
			return true
		}
	}
	return false
}

func decodeProto(w http.ResponseWriter, r *http.Request, message proto.Message) bool {
	body, err := io.ReadAll(r.Body)
	if err == nil {
		err = proto.Unmarshal(body, message)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func encodeProto(w http.ResponseWriter, message proto.Message) {
	content, err := proto.Marshal(message)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(content)
}

func (p *Platform) read(w http.ResponseWriter, r *http.Request) {
	request := &schema.ReadRequest{}
	if !decodeProto(w, r, request) {
		return
	}
	encodeProto(w, p.Read(request))
}

// Read returns a consistent snapshot of the requested rows. Rows whose version the caller knows come without their
// value.
func (p *Platform) Read(request *schema.ReadRequest) *schema.ReadReply {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.reads++
	known := map[string]uint64{}
	for _, k := range request.GetKnown() {
		known[k.GetKey()] = k.GetVersion()
	}
	reply := &schema.ReadReply{}
	for _, key := range request.GetKeys() {
		reply.Rows = append(reply.Rows, p.row(key, known))
	}
	var found []string
	for key := range p.rows {
		for _, prefix := range request.GetPrefixes() {
			if strings.HasPrefix(key, prefix) {
				found = append(found, key)
			}
		}
	}
	sort.Strings(found)
	for _, key := range found {
		reply.Rows = append(reply.Rows, p.row(key, known))
	}
	return reply
}

// row returns a copy of a row, without its value if known has its current version. A missing row has version 0. The
// caller holds the mutex.
func (p *Platform) row(key string, known map[string]uint64) *schema.Row {
	row := p.rows[key]
	if row == nil {
		return &schema.Row{
			Key: key,
		}
	}
	copied := &schema.Row{
		Key:     key,
		Version: row.GetVersion(),
	}
	if known[key] != row.GetVersion() {
		copied.Value = row.GetValue()
	}
	return copied
}

func (p *Platform) transact(w http.ResponseWriter, r *http.Request) {
	transaction := &schema.Transaction{}
	if !decodeProto(w, r, transaction) {
		return
	}
	reply := p.Transact(transaction)
	if p.consumeLostReply() {
		panic(http.ErrAbortHandler)
	}
	encodeProto(w, reply)
}

// Transact writes all rows of the transaction if every check matches the current version. Otherwise it writes none and
// returns the rows that differ.
func (p *Platform) Transact(transaction *schema.Transaction) *schema.TransactionReply {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.writes++
	reply := &schema.TransactionReply{}
	for _, check := range transaction.GetChecks() {
		if p.rows[check.GetKey()].GetVersion() != check.GetVersion() {
			reply.Rows = append(reply.Rows, p.row(check.GetKey(), nil))
		}
	}
	if len(reply.GetRows()) > 0 {
		return reply
	}
	for _, put := range transaction.GetPuts() {
		p.rows[put.GetKey()] = &schema.Row{
			Key:     put.GetKey(),
			Version: p.rows[put.GetKey()].GetVersion() + 1,
			Value:   put.GetValue(),
		}
	}
	reply.Committed = true
	return reply
}

// consumeLostReply reports whether the current reply is to be lost, and counts it against the LoseAnswers fault.
func (p *Platform) consumeLostReply() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.faults.GetLoseAnswers() == 0 {
		return false
	}
	next := proto.Clone(p.faults).(*schema.PlatformFaults)
	next.LoseAnswers--
	p.faults = next
	return true
}

func (p *Platform) getList(w http.ResponseWriter, _ *http.Request) {
	p.mutex.Lock()
	list := p.list
	p.mutex.Unlock()
	encodeProto(w, list)
}

func (p *Platform) putObject(w http.ResponseWriter, r *http.Request) {
	content, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mutex.Lock()
	p.objects[r.PathValue("name")] = content
	p.mutex.Unlock()
	if p.consumeLostReply() {
		panic(http.ErrAbortHandler)
	}
}

func (p *Platform) getObject(w http.ResponseWriter, r *http.Request) {
	p.mutex.Lock()
	content, exists := p.objects[r.PathValue("name")]
	p.mutex.Unlock()
	if !exists {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	_, _ = w.Write(content)
}

func (p *Platform) postFaults(w http.ResponseWriter, r *http.Request) {
	faults := &schema.PlatformFaults{}
	if decodeJSON(w, r, faults) {
		p.SetFaults(faults)
	}
}

func (p *Platform) postList(w http.ResponseWriter, r *http.Request) {
	list := &schema.InstanceList{}
	if decodeJSON(w, r, list) {
		p.SetInstanceList(list)
	}
}

func decodeJSON(w http.ResponseWriter, r *http.Request, message proto.Message) bool {
	body, err := io.ReadAll(r.Body)
	if err == nil {
		err = protojson.Unmarshal(body, message)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
