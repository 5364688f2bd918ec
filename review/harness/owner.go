//go:build review

package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

func init() { cases["owner"] = playOwner }

// playOwner has consumers read keys while some servers send additional bytes after some of their answers, also of those to grants.
func playOwner(w *world, trouble bool) ([]string, error) {
	const (
		service = "huvo11a"
		length  = 75 * time.Second
		// share and dose are those of the site file: garble, how "extra late", share 0.6, x 0.03.
		servers, share, dose = 12, 0.6, 0.03
	)
	w.keyed[service] = true
	zones := []string{"zone-a", "zone-b", "zone-c"}
	for i := range servers {
		b := &server{
			id:      fmt.Sprintf("i-%08x", rand.Uint32()),
			service: service,
			zone:    zones[i%3],
			slots:   2,
			queue:   8,
			keyed:   true,
			work: func(*http.Request) time.Duration {
				return time.Duration(40+rand.IntN(80)) * time.Millisecond
			},
			body: func(*http.Request) []byte { return bytes.Repeat([]byte("x"), 1500) },
		}
		if trouble && float64(i+1) <= share*servers {
			b.extra = dose
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
		objective: 300 * time.Millisecond,
		timeout:   time.Second,
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
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	done := make(chan []string)
	go func() { done <- watchOwners(w, stop) }()
	until := time.Now().Add(length)
	var mutex sync.Mutex
	sent, answered := 0, 0
	var group sync.WaitGroup
	for i := range 20 {
		group.Go(func() {
			c := newConsumer(w)
			for time.Now().Before(until) {
				c.key = strconv.Itoa(rand.IntN(1 << 16))
				a := c.send(w.gateways[i%3], http.MethodGet, "/lepu270/2f", nil, 2*time.Second)
				mutex.Lock()
				sent++
				if a.status == http.StatusOK {
					answered++
				}
				mutex.Unlock()
				time.Sleep(time.Duration(rand.IntN(400)) * time.Millisecond)
			}
		})
	}
	group.Wait()
	close(stop)
	broken := <-done
	w.record.write("sum", "", "%d attempts, %d answered with 200", sent, answered)
	if answered < sent/2 {
		return broken, fmt.Errorf("only %d of %d attempts were answered", answered, sent)
	}
	return broken, nil
}
