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

func init() { cases["refused"] = playRefused }

// playRefused has consumers place orders for keys, each of which one server holds, while servers refuse some requests, and some of them
// send a second copy of some of their answers, late, where the next answer is expected.
func playRefused(w *world, trouble bool) ([]string, error) {
	const (
		service = "wuno96b"
		length  = 80 * time.Second
		// garble, how "extra late", share 0.6, x 0.03; srv_grey, how "shed all", x 0.45.
		servers, share, dose, sheds = 8, 0.6, 0.03, 0.45
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
			copies:  true,
			work: func(*http.Request) time.Duration {
				return time.Duration(40+rand.IntN(80)) * time.Millisecond
			},
			body: func(*http.Request) []byte { return bytes.Repeat([]byte("x"), 1500) },
		}
		if trouble {
			b.sheds = sheds
			if float64(i+1) <= share*servers {
				b.extra = dose
			}
		}
		if err := w.addServer(b); err != nil {
			return nil, err
		}
	}
	w.configure(7, []rule{{
		name:      "r-b9wu3fe",
		kind:      "non_idempotent",
		prefix:    "/xapu221/ny95/",
		service:   service,
		objective: 400 * time.Millisecond,
		timeout:   1200 * time.Millisecond,
		priority:  1,
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
	var mutex sync.Mutex
	var attempts []attempt
	until := time.Now().Add(length)
	var group sync.WaitGroup
	for i := range 30 {
		group.Go(func() {
			c := newConsumer(w)
			for time.Now().Before(until) {
				c.key = strconv.Itoa(rand.IntN(1 << 16))
				c.order(i, 2500*time.Millisecond, func(a attempt) {
					mutex.Lock()
					defer mutex.Unlock()
					attempts = append(attempts, a)
				})
				time.Sleep(time.Duration(rand.IntN(600)) * time.Millisecond)
			}
		})
	}
	group.Wait()
	time.Sleep(2 * time.Second)
	return checkOrders(w, attempts)
}
