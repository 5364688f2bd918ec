//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of the store, as the page "The platform's metadata store" describes it.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

type rowKey struct{ table, part, key string }

// store is a stand-in of the platform's store. It is sound: it answers each call at once, and loses nothing.
type store struct {
	began time.Time

	mutex   sync.Mutex
	rows    map[rowKey]row
	version uint64
	changed chan struct{}
	servers []*http.Server
}

func newStore() *store {
	return &store{
		began:   time.Now(),
		rows:    map[rowKey]row{},
		changed: make(chan struct{}),
	}
}

// put writes a row as the operator or a server does. A nil value removes the row.
func (s *store) put(table, key string, value []byte) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.version++
	s.set(row{
		Table:   table,
		Key:     key,
		Value:   value,
		Removed: value == nil,
	})
}

// set stores a row with the present version. The caller holds the mutex.
func (s *store) set(r row) {
	r.Ver = s.version
	s.rows[rowKey{r.Table, r.Part, r.Key}] = r
	close(s.changed)
	s.changed = make(chan struct{})
}

// listen serves the store at an address.
func (s *store) listen(address string) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /cuminlift/rows-tx", s.transact)
	mux.HandleFunc("GET /cuminlift/rows-get", s.get)
	mux.HandleFunc("GET /cuminlift/rows-feed", s.feed)
	server := &http.Server{
		Handler: mux,
	}
	s.servers = append(s.servers, server)
	go server.Serve(listener)
	return nil
}

func (s *store) answer(w http.ResponseWriter, status int, rows []row, version uint64) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	w.WriteHeader(status)
	if rows == nil {
		rows = []row{}
	}
	json.NewEncoder(w).Encode(map[string]any{
		"rows":      rows,
		"truncated": false,
		"ver":       version,
		"now":       fmt.Sprintf("%dms", time.Since(s.began).Milliseconds()),
	})
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Precondition, Puts, Remove []row
	}
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(4 * time.Millisecond)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var conflicts []row
	for _, p := range call.Precondition {
		current := s.rows[rowKey{p.Table, p.Part, p.Key}]
		version := current.Ver
		if current.Removed {
			version = 0
		}
		if version != p.Ver {
			conflicts = append(conflicts, current)
		}
	}
	if len(conflicts) > 0 {
		s.answer(w, http.StatusPreconditionFailed, conflicts, s.version)
		return
	}
	s.version++
	for _, p := range call.Puts {
		p.Removed = false
		s.set(p)
	}
	for _, p := range call.Remove {
		p.Removed, p.Value = true, nil
		s.set(p)
	}
	s.answer(w, http.StatusOK, nil, s.version)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var rows []row
	for key, r := range s.rows {
		if key.table == q.Get("table") && key.part == q.Get("part") && !r.Removed && r.Key >= q.Get("from") {
			rows = append(rows, r)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	s.answer(w, http.StatusOK, rows, s.version)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	until := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer until.Stop()
	for {
		s.mutex.Lock()
		var rows []row
		for key, r := range s.rows {
			if key.table == q.Get("table") && r.Ver > after {
				rows = append(rows, r)
			}
		}
		version, changed := s.version, s.changed
		s.mutex.Unlock()
		if len(rows) > 0 {
			sort.Slice(rows, func(i, j int) bool { return rows[i].Ver < rows[j].Ver })
			s.answer(w, http.StatusOK, rows, version)
			return
		}
		select {
		case <-changed:
		case <-until.C:
			s.answer(w, http.StatusOK, nil, version)
			return
		case <-r.Context().Done():
			return
		}
	}
}
