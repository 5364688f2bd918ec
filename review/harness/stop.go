//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"
)

func init() { cases["stop"] = playStop }

// rotation is what the platform knows of the nodes: it asks each once a second whether it is ready, and takes it out after two misses.
type rotation struct {
	mutex sync.Mutex
	in    map[*gateway]bool
}

func (r *rotation) watch(g *gateway, stop <-chan struct{}) {
	misses := 0
	for {
		if g.ready() {
			misses = 0
		} else {
			misses++
		}
		r.mutex.Lock()
		r.in[g] = misses < 2
		r.mutex.Unlock()
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
		}
	}
}

// pick returns the node of a consumer: its own while that is in rotation, otherwise another.
func (r *rotation) pick(w *world, home int) *gateway {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for i := range w.gateways {
		if g := w.gateways[(home+i)%len(w.gateways)]; r.in[g] {
			return g
		}
	}
	return w.gateways[home%len(w.gateways)]
}

// lookup is what a consumer saw of one attempt.
type lookup struct {
	id          string
	gateway     *gateway
	sent, ended time.Time
	whole       bool
	status      int
	problem     error
	retryAfter  time.Duration
	closes      bool
}

// get sends a request on a connection and waits for its end.
func get(w *world, g *gateway, conn net.Conn, reader *bufio.Reader, path string, budget time.Duration) lookup {
	l := lookup{
		id:      newRequestID(),
		gateway: g,
		sent:    time.Now(),
	}
	w.record.write("sent", l.id, "gateway=%s GET %s", g.name, path)
	_, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n\r\n", path, consumerHost, l.id, budget.Milliseconds())
	if err == nil {
		conn.SetReadDeadline(l.sent.Add(budget))
		var response *http.Response
		if response, err = http.ReadResponse(reader, nil); err == nil {
			_, err = io.Copy(io.Discard, response.Body)
			response.Body.Close()
			l.status, l.closes = response.StatusCode, response.Close
			if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
				l.retryAfter = time.Duration(seconds * float64(time.Second))
			}
		}
	}
	l.ended, l.problem, l.whole = time.Now(), err, err == nil
	w.record.write("answered", l.id, "gateway=%s status=%d after=%dms error=%v", g.name, l.status, l.ended.Sub(l.sent).Milliseconds(), err)
	return l
}

// playStop stops one process as the platform does, while requests wait for servers that are busy.
func playStop(w *world, trouble bool) ([]string, error) {
	const (
		service   = "huvo11a"
		consumers = 120
		budget    = 15 * time.Second
		grace     = 6 * time.Second
		lossSlack = 200 * time.Millisecond
		// Each process is stopped rounds times, pause after the one before has been started again.
		rounds = 2
		pause  = 4 * time.Second
	)
	zones := []string{"zone-a", "zone-b", "zone-c"}
	for i := range 6 {
		b := &server{
			id:      fmt.Sprintf("i-%08x", rand.Uint32()),
			service: service,
			zone:    zones[i%3],
			slots:   2,
			queue:   8,
			work: func(*http.Request) time.Duration {
				return time.Duration(600+rand.IntN(800)) * time.Millisecond
			},
			body: func(*http.Request) []byte { return make([]byte, 1500) },
		}
		if err := w.addServer(b); err != nil {
			return nil, err
		}
	}
	w.configure(7, []rule{{
		name:      "r-9n73hh2",
		kind:      "idempotent",
		prefix:    "/lepu270/",
		service:   service,
		objective: 2500 * time.Millisecond,
		timeout:   budget,
		priority:  2,
		attempts:  2,
	}}, service)
	for _, zone := range zones {
		if _, err := w.addGateway(zone); err != nil {
			return nil, err
		}
	}
	if err := w.awaitReady(); err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	defer close(stop)
	r := &rotation{
		in: map[*gateway]bool{},
	}
	for _, g := range w.gateways {
		go r.watch(g, stop)
	}
	time.Sleep(4 * time.Second)
	until := time.Now().Add(rounds*3*(grace+pause) + 10*time.Second)
	var mutex sync.Mutex
	var lookups []lookup
	var group sync.WaitGroup
	for i := range consumers {
		group.Go(func() {
			for time.Now().Before(until) {
				g := r.pick(w, i)
				conn, err := dialer.Dial("tcp4", g.front())
				if err != nil {
					time.Sleep(50 * time.Millisecond)
					continue
				}
				reader := bufio.NewReader(conn)
				for time.Now().Before(until) {
					l := get(w, g, conn, reader, "/lepu270/2f", budget)
					mutex.Lock()
					lookups = append(lookups, l)
					mutex.Unlock()
					if l.status == http.StatusServiceUnavailable {
						time.Sleep(min(l.retryAfter, budget/3))
					}
					if !l.whole || l.closes || l.status != http.StatusOK {
						break
					}
					time.Sleep(time.Duration(rand.IntN(300)) * time.Millisecond)
				}
				conn.Close()
			}
		})
	}
	time.Sleep(8 * time.Second)
	// stopped holds when each process got SIGTERM, in the order of time.
	stopped := map[*gateway][]time.Time{}
	for i := range rounds * len(w.gateways) {
		if !trouble {
			break
		}
		g := w.gateways[i%len(w.gateways)]
		at := time.Now()
		stopped[g] = append(stopped[g], at)
		w.record.write("process", g.name, "SIGTERM")
		g.signal(syscall.SIGTERM)
		g.mutex.Lock()
		ended := g.ended
		g.mutex.Unlock()
		select {
		case <-ended:
			w.record.write("process", g.name, "ended by itself %.3f s after SIGTERM", time.Since(at).Seconds())
		case <-time.After(time.Until(at.Add(grace))):
			w.record.write("process", g.name, "SIGKILL after grace")
			g.kill()
		}
		if err := g.start(); err != nil {
			return nil, err
		}
		time.Sleep(pause)
	}
	group.Wait()
	var broken []string
	answered := 0
	for _, l := range lookups {
		if l.status == http.StatusOK {
			answered++
		}
		ended := l.ended.Sub(l.sent)
		if l.whole || ended <= lossSlack || ended >= budget {
			continue
		}
		// The stop that the request was sent before or during.
		var since time.Duration
		planned := false
		for _, at := range stopped[l.gateway] {
			if l.ended.After(at) && l.sent.Before(at.Add(grace+time.Second)) {
				since, planned = l.sent.Sub(at), true
			}
		}
		line := fmt.Sprintf("request %s to %s, sent %.3f s after SIGTERM, got no answer: its connection ended after %.3f s (%v); it ran on %v",
			l.id, l.gateway.name, since.Seconds(), ended.Seconds(), l.problem, w.record.ran(l.id))
		w.record.write("cut", l.id, "%s", line)
		// A request at which a server is still at work at the end of the grace may be excused; one that no server has begun is not.
		if planned && len(w.record.ran(l.id)) == 0 {
			broken = append(broken, "LOST: "+line)
		}
	}
	w.record.write("sum", "", "%d attempts, %d answered with 200", len(lookups), answered)
	return broken, nil
}
