//go:build review

package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// server is a stand-in of a server ("backend" on the pages). It is sound but for the faults below.
type server struct {
	id, service, zone, address string
	slots, queue               int
	// work returns how long a request takes.
	work func(r *http.Request) time.Duration
	// body returns the body of the answer.
	body func(r *http.Request) []byte

	// extra is the share of the answers after which additional bytes are sent on the connection, late, where the next answer is expected.
	extra float64
	// sheds is the share of the requests that are refused though there is room, and copies is true if the additional bytes are only second
	// copies of the server's own answers.
	sheds  float64
	copies bool
	// keyed servers run a request only while they hold its key.
	keyed bool
	// breaks is the share of the answers that break off halfway.
	breaks float64

	record *recorder
	mutex  sync.Mutex
	// leases holds what was granted and not released. It is guarded by mutex.
	leases []lease
	// fences holds the highest generation number seen on each range.
	fences   []lease
	released int
	// busy counts the running requests by key.
	busy     map[uint32]int
	running  int
	waiting  int
	changed  chan struct{}
	listener net.Listener
}

func (b *server) start(s *store) error {
	b.changed = make(chan struct{})
	b.busy = map[uint32]int{}
	listener, err := net.Listen("tcp4", b.address)
	if err != nil {
		return err
	}
	b.listener = listener
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go b.serve(conn)
		}
	}()
	s.put("servers", b.id, b.entry("ready"))
	return nil
}

// entry is the server's entry in the store.
func (b *server) entry(state string) []byte {
	value, _ := json.Marshal(map[string]any{
		"service":     b.service,
		"addr":        b.address,
		"zone":        b.zone,
		"version":     "v1",
		"slots":       b.slots,
		"state":       state,
		"warmup_left": "0ms",
		"seq":         1,
		"born":        time.Now().UnixMilli(),
	})
	return value
}

// Refusals in the form in which "fleetbench wire" shows them ("a server sheds", "another server has the address").
const (
	shedSample        = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	misdirectedSample = "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: i-02d9e6b4\r\nContent-Length: 0\r\n\r\n"
)

func (b *server) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	var late []byte
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		arrived := time.Now()
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if len(late) > 0 && request.URL.Path != "/healthz" {
			b.record.write("extra", request.Header.Get("Request-Id"), "server=%s sends %d additional bytes after an earlier answer, before that to %s: %q", b.id, len(late), request.URL.Path, firstLine(late))
			if _, err := conn.Write(late); err != nil {
				return
			}
			late = nil
		}
		var answer []byte
		whole := true
		switch request.URL.Path {
		case "/cuminlift/grant", "/cuminlift/release":
			answer = b.answerKeys(request, body, arrived)
		default:
			answer, whole = b.answer(request, body)
		}
		if _, err := conn.Write(answer); err != nil || !whole {
			return
		}
		if b.extra > 0 && rand.Float64() < b.extra {
			late = b.additional(answer)
		}
	}
}

// additional returns the additional bytes after an answer: a second copy of it, or a refusal that belongs to no request.
func (b *server) additional(answer []byte) []byte {
	kind := rand.IntN(3)
	switch {
	case b.copies || kind == 0:
		return answer
	case kind == 1:
		return []byte(shedSample)
	}
	return []byte(misdirectedSample)
}

func firstLine(text []byte) string {
	line, _, _ := bytes.Cut(text, []byte("\r\n"))
	return string(line)
}

// answer runs a request. whole is false if the connection is to be closed after the answer.
func (b *server) answer(r *http.Request, body []byte) (answer []byte, whole bool) {
	id := r.Header.Get("Request-Id")
	expected := r.Header.Get("Expect-Instance")
	switch {
	case r.URL.Path == "/healthz":
		return b.encode(id, http.StatusOK, nil, "Instance-Id: "+b.id), true
	case expected != "" && expected != b.id:
		return b.encode(id, http.StatusMisdirectedRequest, nil, "Not-Executed: 1", "Instance-Id: "+b.id), true
	case id == "":
		return b.encode(id, http.StatusBadRequest, nil, "Not-Executed: 1"), true
	}
	if b.sheds > 0 && rand.Float64() < b.sheds {
		b.record.write("shed", id, "server=%s refuses with 503 and Not-Executed", b.id)
		return b.encode(id, http.StatusServiceUnavailable, nil, "Not-Executed: 1"), true
	}
	deadline := time.Now().Add(time.Minute)
	if ms, err := strconv.Atoi(r.Header.Get("Deadline-Ms")); err == nil {
		deadline = time.Now().Add(time.Duration(ms) * time.Millisecond)
	}
	if !b.take(deadline) {
		return b.encode(id, http.StatusServiceUnavailable, nil, "Not-Executed: 1"), true
	}
	key, keyErr := strconv.ParseUint(r.Header.Get("Shard-Key"), 10, 16)
	if b.keyed && (keyErr != nil || !b.holds(uint32(key))) {
		b.give()
		return b.encode(id, http.StatusMisdirectedRequest, nil, "Not-Executed: 1", "Instance-Id: "+b.id), true
	}
	if b.keyed {
		b.begin(uint32(key))
	}
	b.record.run(id, b.id, r.Method)
	takes := b.work(r)
	status := http.StatusOK
	if left := time.Until(deadline); takes > left {
		takes, status = left, http.StatusGatewayTimeout
	}
	time.Sleep(takes)
	if b.keyed {
		b.finish(uint32(key))
	}
	b.give()
	b.record.write("ended", id, "server=%s status=%d", b.id, status)
	var text []byte
	if status == http.StatusOK {
		text = b.body(r)
	}
	encoded := b.encode(id, status, text, "Response-Signature: "+b.id+"."+id)
	if b.breaks > 0 && rand.Float64() < b.breaks {
		b.record.write("breaks", id, "server=%s breaks its answer off", b.id)
		return encoded[:len(encoded)-len(text)/8], false
	}
	return encoded, true
}

func (b *server) encode(id string, status int, body []byte, headers ...string) []byte {
	var text strings.Builder
	fmt.Fprintf(&text, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if id != "" {
		fmt.Fprintf(&text, "Request-Id: %s\r\n", id)
	}
	for _, h := range headers {
		text.WriteString(h + "\r\n")
	}
	b.mutex.Lock()
	fmt.Fprintf(&text, "Server-Load: %d,%d,%d\r\n", b.running, b.waiting, b.slots)
	b.mutex.Unlock()
	fmt.Fprintf(&text, "Keep-Alive: timeout=10\r\nContent-Length: %d\r\n\r\n", len(body))
	return append([]byte(text.String()), body...)
}

// take waits for a slot.
func (b *server) take(deadline time.Time) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.running >= b.slots && b.waiting >= b.queue {
		return false
	}
	b.waiting++
	defer func() { b.waiting-- }()
	for b.running >= b.slots {
		changed := b.changed
		b.mutex.Unlock()
		timer := time.NewTimer(time.Until(deadline))
		expired := false
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		}
		timer.Stop()
		b.mutex.Lock()
		if expired {
			return false
		}
	}
	b.running++
	return true
}

// give frees a slot.
func (b *server) give() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.running--
	b.notify()
}

// notify wakes all that wait for a slot or for the end of work. The caller holds the mutex.
func (b *server) notify() {
	close(b.changed)
	b.changed = make(chan struct{})
}

var requestNumber atomic.Int64

// newRequestID returns the id of a consumer attempt.
func newRequestID() string {
	return fmt.Sprintf("%08x%08x", rand.Uint32(), requestNumber.Add(1))
}
