//go:build review

package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { cases["loop"] = playLoop }

// leader returns the gateway that holds the lease in the store, which names its holder.
func (w *world) leader() *gateway {
	w.store.mutex.Lock()
	defer w.store.mutex.Unlock()
	for key, r := range w.store.rows {
		if key.table != "gateway-lease" || r.Removed {
			continue
		}
		for _, g := range w.gateways {
			if bytes.Contains(r.Value, []byte(g.name)) {
				return g
			}
		}
	}
	return nil
}

// playLoop kills one process some times, each time soon after it has started, and looks at what is served once all are back.
func playLoop(w *world, trouble bool) ([]string, error) {
	const (
		service   = "wuno96b"
		servers   = 6
		consumers = 24
		budget    = 4 * time.Second
		kills     = 24
		// uptime is how long the process runs each time, and restart the delay after which it is started again.
		uptime  = 1200 * time.Millisecond
		restart = 300 * time.Millisecond
		// recovery is that of the bounds.
		recovery = 15 * time.Second
		calm     = 10 * time.Second
		length   = 20 * time.Second
	)
	zones := []string{"zone-a", "zone-b", "zone-c"}
	for i := range servers {
		err := w.addServer(&server{
			id:      fmt.Sprintf("i-%08x", rand.Uint32()),
			service: service,
			zone:    zones[i%3],
			slots:   2,
			queue:   8,
			work: func(*http.Request) time.Duration {
				return time.Duration(80+rand.IntN(120)) * time.Millisecond
			},
			body: func(*http.Request) []byte { return bytes.Repeat([]byte("x"), 400) },
		})
		if err != nil {
			return nil, err
		}
	}
	w.configure(7, []rule{{
		name:      "r-b9wu3fe",
		kind:      "non_idempotent",
		prefix:    "/xapu221/ny95/",
		service:   service,
		objective: 600 * time.Millisecond,
		timeout:   2 * time.Second,
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
	leader := w.leader()
	if leader == nil {
		return nil, fmt.Errorf("no process holds the lease")
	}
	var mutex sync.Mutex
	type result struct {
		attempt
		sent time.Time
	}
	var results []result
	began := time.Now()
	back := began.Add(calm + kills*(uptime+restart))
	end := back.Add(recovery + length)
	var group sync.WaitGroup
	for i := range consumers {
		group.Go(func() {
			c := newConsumer(w)
			for time.Now().Before(end) {
				sent := time.Now()
				c.order(i, budget, func(a attempt) {
					mutex.Lock()
					defer mutex.Unlock()
					results = append(results, result{
						attempt: a,
						sent:    sent,
					})
					if a.err != nil {
						c.client.CloseIdleConnections()
					}
				})
				time.Sleep(time.Duration(100+rand.IntN(200)) * time.Millisecond)
			}
		})
	}
	time.Sleep(calm)
	victim := w.gateways[0]
	if victim == leader {
		victim = w.gateways[1]
	}
	for n := range kills {
		if !trouble {
			break
		}
		time.Sleep(uptime)
		w.record.write("process", victim.name, "SIGKILL %d of %d", n+1, kills)
		victim.kill()
		time.Sleep(restart)
		if err := victim.start(); err != nil {
			return nil, err
		}
	}
	back = time.Now()
	if err := w.awaitReady(); err != nil {
		return nil, err
	}
	w.record.write("process", "", "all processes are back and ready; the leader was %s and is %s", leader.name, w.leader().name)
	group.Wait()
	share := func(from, to time.Time) (served, all int) {
		for _, r := range results {
			if r.sent.Before(from) || r.sent.After(to) {
				continue
			}
			all++
			if r.status == http.StatusOK {
				served++
			}
		}
		return served, all
	}
	servedBefore, before := share(began, began.Add(calm))
	servedAfter, after := share(back.Add(recovery), end)
	line := fmt.Sprintf("RECOVER: of %d attempts before the first kill, %d were served; of %d attempts sent later than %s after all processes were back, %d",
		before, servedBefore, after, recovery, servedAfter)
	w.record.write("sum", "", "%s", line)
	if after == 0 || before == 0 || 4*servedBefore < before {
		return nil, fmt.Errorf("too little was sent or served before: %s", line)
	}
	if 4*servedAfter < after {
		return []string{line}, nil
	}
	return nil, nil
}
