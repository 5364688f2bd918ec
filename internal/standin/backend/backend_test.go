package backend_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminlift"
	"cuminlift/internal/standin/backend"
	"cuminlift/internal/standin/loopback"
	"cuminlift/internal/standin/rowserver"
	"cuminlift/platform"
)

// started is a running backend with the events that it wrote.
type started struct {
	c       *qt.C
	address string
	store   *platform.Store
	stop    context.CancelFunc
	done    chan error

	mutex  sync.Mutex
	events []backend.Event
}

func start(c *qt.C, keyed bool, serviceMS int) *started {
	server := httptest.NewServer(rowserver.New(c.Context()))
	c.Cleanup(server.Close)
	address, err := loopback.UnusedAddress()
	c.Assert(err, qt.IsNil)
	reader, writer := io.Pipe()
	b, err := backend.New(backend.Settings{
		ID:          "b",
		Service:     "calendar",
		Zone:        "z",
		Listen:      address,
		Store:       strings.TrimPrefix(server.URL, "http://"),
		Keyed:       keyed,
		Slots:       1,
		ServiceMS:   serviceMS,
		HeartbeatMS: 20,
		DrainMS:     50,
	}, writer)
	c.Assert(err, qt.IsNil)
	ctx, stop := context.WithCancel(context.Background())
	s := &started{
		c:       c,
		address: address,
		store:   platform.NewStore(strings.TrimPrefix(server.URL, "http://"), http.DefaultClient),
		stop:    stop,
		done:    make(chan error, 1),
	}
	go func() {
		s.done <- b.Run(ctx)
		writer.Close()
	}()
	go backend.ReadEvents(reader, func(e backend.Event) {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		s.events = append(s.events, e)
	})
	for len(s.entries()) == 0 {
		time.Sleep(time.Millisecond)
	}
	c.Cleanup(stop)
	return s
}

func (s *started) entries() []cuminlift.Row {
	page, err := s.store.Rows(context.Background(), "servers", "")
	s.c.Assert(err, qt.IsNil)
	return page.Rows
}

// order returns the kinds of the events so far.
func (s *started) order() string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var kinds []string
	for _, e := range s.events {
		kinds = append(kinds, string(e.Kind))
	}
	return strings.Join(kinds, " ")
}

func (s *started) eventually(order string) {
	for s.order() != order {
		time.Sleep(time.Millisecond)
	}
}

func (s *started) send(key, expected string) (*http.Response, string) {
	request, err := http.NewRequest(http.MethodGet, "http://"+s.address+"/read/x", nil)
	s.c.Assert(err, qt.IsNil)
	request.Header.Set("Request-Id", "r")
	request.Header.Set("Shard-Key", key)
	request.Header.Set("Expect-Instance", expected)
	response, err := http.DefaultClient.Do(request)
	s.c.Assert(err, qt.IsNil)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	s.c.Assert(err, qt.IsNil)
	return response, string(text)
}

// TestReleaseIsAnsweredWhenItsRequestsHaveEnded guards against a handover while the former holder is still at work.
func TestReleaseIsAnsweredWhenItsRequestsHaveEnded(t *testing.T) {
	c := qt.New(t)
	s := start(c, true, 100)
	keys := platform.NewKeyClient(http.DefaultClient)
	grant := cuminlift.KeyGrant{
		Upstream: "b",
		From:     0,
		To:       9,
		Fence:    5,
		Hold:     time.Minute,
	}
	response, _ := s.send("3", "b")
	c.Check(response.StatusCode, qt.Equals, http.StatusMisdirectedRequest)
	c.Check(response.Header.Get("Not-Executed"), qt.Equals, "1")
	c.Assert(keys.Grant(c.Context(), s.address, grant), qt.IsNil)
	stale := grant
	stale.Fence = 4
	c.Check(keys.Grant(c.Context(), s.address, stale), qt.ErrorMatches, ".*fence.*")
	answer := make(chan string)
	go func() {
		_, text := s.send("3", "b")
		answer <- text
	}()
	s.eventually("started granted begun")
	handover, err := keys.Release(c.Context(), s.address, grant)
	c.Assert(err, qt.IsNil)
	c.Check(handover, qt.Not(qt.Equals), "")
	s.eventually("started granted begun released ended")
	c.Check(<-answer, qt.Equals, backend.Answer("b", "r", 0))
	response, _ = s.send("3", "b")
	c.Check(response.StatusCode, qt.Equals, http.StatusMisdirectedRequest)
}

// TestRequestEndsWithItsGrant guards against work that outlasts the grant of its key.
func TestRequestEndsWithItsGrant(t *testing.T) {
	c := qt.New(t)
	s := start(c, true, 1e9)
	grant := cuminlift.KeyGrant{
		Upstream: "b",
		To:       9,
		Fence:    5,
		Hold:     50 * time.Millisecond,
	}
	c.Assert(platform.NewKeyClient(http.DefaultClient).Grant(c.Context(), s.address, grant), qt.IsNil)
	response, _ := s.send("3", "b")
	c.Check(response.StatusCode, qt.Equals, http.StatusInternalServerError)
}

// TestBackendDrainsBeforeItLeaves guards against a planned stop without notice.
func TestBackendDrainsBeforeItLeaves(t *testing.T) {
	c := qt.New(t)
	s := start(c, false, 1)
	response, _ := s.send("3", "other")
	c.Check(response.StatusCode, qt.Equals, http.StatusMisdirectedRequest)
	s.stop()
	s.eventually("started draining")
	c.Check(string(s.entries()[0].Value), qt.Contains, "draining")
	c.Assert(<-s.done, qt.IsNil)
	s.eventually("started draining left")
	c.Check(s.entries(), qt.HasLen, 0)
}

func TestUnusableSettingsAreRejected(t *testing.T) {
	c := qt.New(t)
	_, err := backend.New(backend.Settings{
		ID: "b",
	}, io.Discard)
	c.Check(err, qt.ErrorMatches, "settings of a backend: .* is missing or too small: correct them and start again")
}
