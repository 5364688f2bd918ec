//go:build review

package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

func init() { cases["twice"] = playTwice }

// orderPath is the path of orders, which must not run twice.
const orderPath = "/xapu221/ny95/2f"

// consumer sends requests on a connection that it keeps, and comes back on a new one after a refusal.
type consumer struct {
	world  *world
	client *http.Client
	// key is the key of the next request, empty for none.
	key string
}

func newConsumer(w *world) *consumer {
	return &consumer{
		world: w,
		client: &http.Client{
			Transport: &http.Transport{
				DialContext:         dialer.DialContext,
				DisableCompression:  true,
				MaxIdleConnsPerHost: 1,
			},
		},
	}
}

// attempt is what a consumer saw of one attempt.
type attempt struct {
	id, gateway string
	status      int
	signature   string
	retryAfter  time.Duration
	err         error
}

func (c *consumer) send(g *gateway, method, path string, body []byte, budget time.Duration) attempt {
	a := attempt{
		id:      newRequestID(),
		gateway: g.name,
	}
	ctx, cancel := context.WithTimeout(context.Background(), budget)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+g.front()+path, bytes.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	request.Host = consumerHost
	request.Header.Set("Request-Id", a.id)
	if c.key != "" {
		request.Header.Set("Shard-Key", c.key)
	}
	request.Header.Set("Deadline-Ms", strconv.FormatInt(budget.Milliseconds(), 10))
	// A request that must not be repeated is never sent again by the client's library.
	request.GetBody = nil
	c.world.record.write("sent", a.id, "gateway=%s %s %s bytes=%d", g.name, method, path, len(body))
	response, err := c.client.Do(request)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
		response.Body.Close()
	}
	if a.err = err; err != nil {
		c.world.record.write("answered", a.id, "gateway=%s error=%v", g.name, err)
		return a
	}
	a.status, a.signature = response.StatusCode, response.Header.Get("Response-Signature")
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		a.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	c.world.record.write("answered", a.id, "gateway=%s status=%d signature=%q", g.name, a.status, a.signature)
	return a
}

// order sends an order until it is answered, as consumers do: again only after a promise that it has not run, on a new connection.
func (c *consumer) order(home int, budget time.Duration, handle func(attempt)) {
	until := time.Now().Add(budget)
	for try := range 3 {
		g := c.world.gateways[(home+try)%len(c.world.gateways)]
		a := c.send(g, http.MethodPost, orderPath, make([]byte, 1200), time.Until(until))
		handle(a)
		if a.err != nil || (a.status != http.StatusServiceUnavailable && a.status != http.StatusTooManyRequests) {
			return
		}
		c.client.CloseIdleConnections()
		left := time.Until(until)
		if left < 50*time.Millisecond {
			return
		}
		time.Sleep(min(a.retryAfter, left/3))
	}
}

// playTwice has consumers place orders, which must not run twice, while some servers send additional bytes after some of their answers.
func playTwice(w *world, trouble bool) ([]string, error) {
	const (
		service = "wuno96b"
		length  = 30 * time.Second
		// share and dose are those of the site file: garble, how "extra late", share 0.6, x 0.03.
		servers, share, dose = 10, 0.6, 0.03
	)
	zones := []string{"zone-a", "zone-b", "zone-c"}
	for i := range servers {
		b := &server{
			id:      fmt.Sprintf("i-%08x", rand.Uint32()),
			service: service,
			zone:    zones[i%3],
			slots:   2,
			queue:   8,
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
				c.order(i, 2500*time.Millisecond, func(a attempt) {
					mutex.Lock()
					defer mutex.Unlock()
					attempts = append(attempts, a)
				})
				time.Sleep(time.Duration(rand.IntN(800)) * time.Millisecond)
			}
		})
	}
	group.Wait()
	time.Sleep(2 * time.Second)
	return checkOrders(w, attempts)
}

// checkOrders returns how the rules TWICE and REFUSED were broken.
func checkOrders(w *world, attempts []attempt) ([]string, error) {
	var broken []string
	answered := 0
	for _, a := range attempts {
		ran := w.record.ran(a.id)
		if a.status == http.StatusOK {
			answered++
		}
		if len(ran) > 1 {
			broken = append(broken, fmt.Sprintf("TWICE: order %s (one consumer attempt, non_idempotent) ran %d times, on %v; answer to the consumer: %d", a.id, len(ran), ran, a.status))
		}
		if len(ran) > 0 && (a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests) {
			broken = append(broken, fmt.Sprintf("REFUSED: order %s was answered %d and has run on %v", a.id, a.status, ran))
		}
	}
	w.record.write("sum", "", "%d attempts, %d answered with 200", len(attempts), answered)
	if answered < len(attempts)/4 {
		return broken, fmt.Errorf("only %d of %d attempts were answered", answered, len(attempts))
	}
	return broken, nil
}
