// Package rowserver serves a rowstore.Store over the platform's HTTP interface, with faults that are set while it runs.
package rowserver

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"time"

	"cuminlift"
	"cuminlift/internal/standin/rowstore"
	"cuminlift/platform"
)

// Faults are the faults that a Server injects. The zero value is none.
type Faults struct {
	// Down refuses all calls as not done, and Silent leaves them without an answer.
	Down   bool `json:"down,omitempty"`
	Silent bool `json:"silent,omitempty"`
	// DelayMS is the time until a call is answered, in milliseconds.
	DelayMS int `json:"delay-ms,omitempty"`
	// LostAnswers is the share of the transactions that are carried out and not answered, from 0 to 1.
	LostAnswers float64 `json:"lost-answers,omitempty"`
	// NoHistory refuses all reads of changes.
	NoHistory bool `json:"no-history,omitempty"`
}

// Drill is the body of a call that brings the store back from an older copy.
type Drill struct {
	// AgeMS is the age of the copy in milliseconds, at most that of the oldest one kept.
	AgeMS int `json:"age-ms"`
}

// Paths of the control calls, which take Faults and Drill as JSON.
const (
	FaultsPath = "/control/faults"
	DrillPath  = "/control/drill"
)

const (
	// pageRows is the number of rows of a page.
	pageRows = 500
	// copyInterval is the time between copies for drills, and copyCount how many are kept.
	copyInterval = 200 * time.Millisecond
	copyCount    = 30
	// maxWait bounds the wait of a read of changes.
	maxWait = 30 * time.Second
)

// Server implements http.Handler.
type Server struct {
	store *rowstore.Store
	mux   *http.ServeMux

	mutex  sync.Mutex
	faults Faults
	// copies are ordered by time, oldest first.
	copies []rowstore.Copy
}

// New returns a server of an empty store, which keeps copies for drills until ctx ends.
func New(ctx context.Context) *Server {
	s := &Server{
		store: rowstore.New(),
		mux:   http.NewServeMux(),
	}
	s.mux.HandleFunc("GET "+platform.CallPrefix+platform.RowsCall, s.call(s.rows))
	s.mux.HandleFunc("GET "+platform.CallPrefix+platform.FeedCall, s.call(s.changes))
	s.mux.HandleFunc("POST "+platform.CallPrefix+platform.TransactionCall, s.call(s.commit))
	s.mux.HandleFunc("POST "+FaultsPath, s.setFaults)
	s.mux.HandleFunc("POST "+DrillPath, s.drill)
	go s.keepCopies(ctx)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

func (s *Server) keepCopies(ctx context.Context) {
	ticker := time.NewTicker(copyInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-ticker.C:
			s.mutex.Lock()
			s.copies = append(s.copies[max(0, len(s.copies)+1-copyCount):], s.store.Copy())
			s.mutex.Unlock()
		}
	}
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, fmt.Sprintf("decoding faults: %v", err), http.StatusBadRequest)
		return
	}
	s.mutex.Lock()
	s.faults = faults
	s.mutex.Unlock()
}

func (s *Server) drill(w http.ResponseWriter, r *http.Request) {
	var drill Drill
	if err := json.NewDecoder(r.Body).Decode(&drill); err != nil {
		http.Error(w, fmt.Sprintf("decoding a drill: %v", err), http.StatusBadRequest)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.copies) == 0 {
		http.Error(w, "no copy yet: try again later", http.StatusConflict)
		return
	}
	back := drill.AgeMS / int(copyInterval.Milliseconds())
	kept := s.copies[:max(1, len(s.copies)-back)]
	s.copies = kept
	s.store.Restore(kept[len(kept)-1])
}

// call applies the faults to calls of the store.
func (s *Server) call(handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mutex.Lock()
		faults := s.faults
		s.mutex.Unlock()
		if faults.DelayMS > 0 {
			select {
			case <-time.After(time.Duration(faults.DelayMS) * time.Millisecond):
			case <-r.Context().Done():
			}
		}
		switch {
		case faults.Silent:
			<-r.Context().Done()
		case faults.Down:
			w.WriteHeader(http.StatusServiceUnavailable)
		case faults.NoHistory && r.URL.Path == platform.CallPrefix+platform.FeedCall:
			w.WriteHeader(http.StatusGone)
		case r.Method == http.MethodPost && rand.Float64() < faults.LostAnswers:
			handle(httptest.NewRecorder(), r)
			<-r.Context().Done()
		default:
			handle(w, r)
		}
	}
}

// answer writes a page, or the status of an error.
func (s *Server) answer(w http.ResponseWriter, page cuminlift.RowPage, truncated bool, err error) {
	var conflict *cuminlift.ConflictError
	var compacted *cuminlift.CompactedError
	w.Header().Set(platform.EraHeader, strconv.FormatUint(page.Era, 10))
	switch {
	case errors.As(err, &conflict):
		w.WriteHeader(http.StatusPreconditionFailed)
		page.Rows = conflict.Rows
	case errors.As(err, &compacted):
		w.WriteHeader(http.StatusGone)
		return
	case err != nil:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if err := platform.EncodePage(w, page, truncated); err != nil {
		panic(http.ErrAbortHandler) // The caller has left.
	}
}

func (s *Server) rows(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	page, err := s.store.Rows(r.Context(), query.Get("table"), query.Get("part"))
	first := 0
	for first < len(page.Rows) && page.Rows[first].Key < query.Get("from") {
		first++
	}
	page.Rows = page.Rows[first:]
	truncated := len(page.Rows) > pageRows
	if truncated {
		page.Rows = page.Rows[:pageRows]
	}
	s.answer(w, page, truncated, err)
}

func (s *Server) changes(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(query.Get("wait_ms"))
	if err := errors.Join(err, waitErr); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	page, err := s.store.Changes(r.Context(), query.Get("table"), after, min(maxWait, time.Duration(wait)*time.Millisecond))
	s.answer(w, page, false, err)
}

func (s *Server) commit(w http.ResponseWriter, r *http.Request) {
	transaction, err := platform.DecodeTransaction(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	page := cuminlift.RowPage{}
	page.Version, page.Era, err = s.store.CommitEra(transaction)
	s.answer(w, page, false, err)
}
