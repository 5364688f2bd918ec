package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminlift/internal/gateway"
	"cuminlift/internal/standin/keyholder"
)

// A planned stop must not cut off requests that still wait for an upstream (LOST).
func TestRequestsThatWaitAreAnsweredBeforeAPlannedStopEnds(t *testing.T) {
	c := qt.New(t)
	k := newCluster(c, 0)
	k.adjust = func(s *gateway.Settings) { s.ShutdownTimeout = 3 * time.Second }
	k.put("op", "config", `{"version":1,"listeners":[{"host":"a.example","rules":[
 {"name":"read","kind":"idempotent","target_latency":"20s","priority":2,"match":{"prefix":"/read/"},
  "action":{"service":"plain","timeout":"60s","max_attempts":1}}]}],
"clusters":[{"name":"plain","health_path":"/healthz","warmup":"0ms","warmup_per_s":100}]}`)
	k.upstreams["p0"] = keyholder.Start(keyholder.Config{
		ID:          "p0",
		ServiceTime: 6 * time.Second,
	})
	k.register("p0", "plain", "z1", "ready")
	k.start("n0")
	address := k.front("n0")
	k.waitReady("n0")
	const requests = 12
	var mutex sync.Mutex
	statuses := map[int]int{}
	var group sync.WaitGroup
	for range requests {
		group.Add(1)
		go func() {
			defer group.Done()
			status, header := k.callFront(http.MethodGet, address, "/read/x", address)
			mutex.Lock()
			defer mutex.Unlock()
			statuses[status]++
			if status == http.StatusServiceUnavailable {
				c.Check(header.Get("Retry-After"), qt.Not(qt.Equals), "")
			}
		}()
	}
	eventually(func() bool { return len(k.upstreams["p0"].Arrivals()) > 0 })
	time.Sleep(300 * time.Millisecond) // All have arrived and wait.
	k.stop("n0")
	// A process would end here, and its connections with it.
	mutex.Lock()
	refused := statuses[http.StatusServiceUnavailable]
	mutex.Unlock()
	running := len(k.upstreams["p0"].Arrivals())
	c.Check(refused, qt.Equals, requests-running, qt.Commentf("%d at the upstream", running))
	group.Wait()
}

// waitReady waits until an instance says that it is ready.
func (k *cluster) waitReady(instance string) {
	eventually(func() bool {
		response, err := http.Get("http://" + k.instances[instance].settings.ReadyAddress + "/cuminlift/readyz")
		if err != nil {
			return false
		}
		response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}

const (
	// stopTimeout is the time that an instance has to stop, and longWork how long requests take then: more than half of it.
	stopTimeout = 6 * time.Second
	longWork    = 3300 * time.Millisecond
	// arrivalGap is the time between requests from the start of a stop on. The instance accepts connections for longer than acceptingTime.
	arrivalGap    = 100 * time.Millisecond
	acceptingTime = 2300 * time.Millisecond
)

// newStoppingCluster starts an instance with upstreams whose requests take work. Requests below /order/ must not be repeated.
func newStoppingCluster(c *qt.C, work time.Duration) *cluster {
	k := newCluster(c, 0)
	k.adjust = func(s *gateway.Settings) { s.ShutdownTimeout = stopTimeout }
	k.put("op", "config", `{"version":1,"listeners":[{"host":"a.example","rules":[
 {"name":"order","kind":"non_idempotent","target_latency":"300ms","priority":1,"match":{"prefix":"/order/"},
  "action":{"service":"plain","timeout":"15s","max_attempts":2}}]}],
"clusters":[{"name":"plain","health_path":"/healthz","warmup":"0ms","warmup_per_s":100}]}`)
	for i := range 4 {
		id := fmt.Sprint("p", i)
		k.upstreams[id] = keyholder.Start(keyholder.Config{
			ID:          id,
			ServiceTime: work,
		})
		k.register(id, "plain", "z1", "ready")
	}
	k.start("n0")
	k.waitReady("n0")
	return k
}

func (k *cluster) arrivals() int {
	total := 0
	for _, u := range k.upstreams {
		total += len(u.Arrivals())
	}
	return total
}

// stopUnderLoad calls send each arrivalGap from the start of a stop of n0 on, and returns what the calls that had ended when the instance
// ended returned, and how many were made.
func (k *cluster) stopUnderLoad(arrivalTime time.Duration, send func(number int) string) (results map[string]int, calls int) {
	var mutex sync.Mutex
	var group sync.WaitGroup
	counts := map[string]int{}
	group.Add(1)
	go func() {
		defer group.Done()
		for start := time.Now(); time.Since(start) < arrivalTime; time.Sleep(arrivalGap) {
			calls++
			group.Add(1)
			go func(number int) {
				defer group.Done()
				result := send(number)
				mutex.Lock()
				defer mutex.Unlock()
				counts[result]++
			}(calls)
		}
	}()
	k.stop("n0")
	// A process would end here, and its connections with it.
	mutex.Lock()
	results = maps.Clone(counts)
	mutex.Unlock()
	group.Wait()
	return results, calls
}

// In a planned stop, a request that can't be answered before the instance ends must not be passed on and then cut off (LOST).
func TestPlannedStopPassesOnOnlyWhatCanBeAnswered(t *testing.T) {
	for _, readsAhead := range []bool{false, true} {
		t.Run(fmt.Sprint("read-ahead=", readsAhead), func(t *testing.T) {
			c := qt.New(t)
			if readsAhead {
				withReadAhead(c)
			}
			k := newStoppingCluster(c, longWork)
			address := k.front("n0")
			results, calls := k.stopUnderLoad(acceptingTime, func(number int) string {
				status, header := k.callFront(http.MethodPost, address, "/order/x", fmt.Sprint("order-", number))
				if status == http.StatusServiceUnavailable {
					c.Check(header.Get("Retry-After"), qt.Not(qt.Equals), "")
				}
				return fmt.Sprint(status)
			})
			passedOn := k.arrivals()
			c.Check(results["200"], qt.Equals, passedOn, qt.Commentf("%d of %d requests were passed on: %v", passedOn, calls, results))
			c.Check(results["200"]+results["503"], qt.Equals, calls, qt.Commentf("%v", results))
			c.Check(passedOn >= len(k.upstreams), qt.IsTrue, qt.Commentf("%d of %d requests were passed on: %v", passedOn, calls, results))
		})
	}
}

// A request that has waited for a connection for so long that it can't be answered before the instance ends must not be sent (LOST).
func TestRequestThatWaitedForAConnectionIsNotSentAtTheEndOfAStop(t *testing.T) {
	c := qt.New(t)
	k := newStoppingCluster(c, longWork)
	address := k.front("n0")
	dialing, release := k.paths["n0"].holdDials()
	status := make(chan int, 1)
	go func() {
		code, _ := k.callFront(http.MethodPost, address, "/order/x", "waits")
		status <- code
	}()
	<-dialing
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		k.stop("n0")
	}()
	time.Sleep(stopTimeout * 5 / 6)
	release()
	<-stopped
	c.Check(k.arrivals(), qt.Equals, 0)
	select {
	case code := <-status:
		c.Check(code, qt.Equals, http.StatusServiceUnavailable)
	default:
		c.Error("the request is not answered")
	}
}

// A stopping instance must not pass on a request of another instance that it will cut off (LOST). A caller's request keeps it up.
func TestPlannedStopRelaysOnlyWhatCanBeAnswered(t *testing.T) {
	c := qt.New(t)
	k := newStoppingCluster(c, longWork)
	address, relayAddress := k.front("n0"), k.instances["n0"].settings.RelayAddress
	results, calls := k.stopUnderLoad(stopTimeout-time.Second, func(number int) string {
		if number == 15 {
			status, _ := k.callFront(http.MethodPost, address, "/order/x", "order")
			return fmt.Sprint(status)
		}
		status, outcome, _, err := k.relayAt(relayAddress, fmt.Sprint("relayed-", number), fmt.Sprint("p", number%4), "1", "15000")
		if err != nil {
			return "no answer"
		}
		return fmt.Sprint(status, outcome)
	})
	passedOn := k.arrivals()
	c.Check(results["200"], qt.Equals, passedOn, qt.Commentf("%d of %d requests were passed on: %v", passedOn, calls, results))
	c.Check(results["200"] >= 8, qt.IsTrue, qt.Commentf("%v", results))
}

// A caller that has connected before an instance closes its listener sends its first request after that: it must get an answer.
func TestFirstRequestOfAnOpenConnectionIsAnsweredDuringAStop(t *testing.T) {
	for _, readsAhead := range []bool{false, true} {
		t.Run(fmt.Sprint("read-ahead=", readsAhead), func(t *testing.T) {
			c := qt.New(t)
			if readsAhead {
				withReadAhead(c)
			}
			k := newStoppingCluster(c, time.Millisecond)
			address := k.front("n0")
			statuses := make(chan int, 10)
			go func() {
				time.Sleep(acceptingTime)
				var unused []net.Conn
				for range cap(statuses) {
					conn, err := net.Dial("tcp4", address)
					c.Check(err, qt.IsNil)
					unused = append(unused, conn)
				}
				time.Sleep(time.Second)
				for i, conn := range unused {
					statuses <- k.requestOn(conn, fmt.Sprint("order-", i))
				}
			}()
			k.stop("n0")
			for range cap(statuses) {
				c.Check(<-statuses, qt.Equals, http.StatusOK)
			}
		})
	}
}

// requestOn sends a request that must not be repeated on a connection, and closes it. The status is 0 if there is no answer.
func (k *cluster) requestOn(conn net.Conn, id string) int {
	defer conn.Close()
	_, err := fmt.Fprintf(conn, "POST /order/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: %s\r\nDeadline-Ms: 15000\r\nContent-Length: 3\r\n\r\none", id)
	if err != nil {
		return 0
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

// A request whose body does not arrive before a stop ends is refused in time, and its caller told that it has not run.
func TestRequestWithoutItsBodyIsRefusedBeforeAStopEnds(t *testing.T) {
	for _, readsAhead := range []bool{false, true} {
		t.Run(fmt.Sprint("read-ahead=", readsAhead), func(t *testing.T) {
			c := qt.New(t)
			if readsAhead {
				withReadAhead(c)
			}
			k := newStoppingCluster(c, time.Millisecond)
			conn, err := net.Dial("tcp4", k.front("n0"))
			c.Assert(err, qt.IsNil)
			defer conn.Close()
			_, err = fmt.Fprint(conn, "POST /order/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: order\r\nDeadline-Ms: 15000\r\nContent-Length: 3\r\n\r\non")
			c.Assert(err, qt.IsNil)
			k.stop("n0")
			c.Assert(conn.SetReadDeadline(time.Now().Add(time.Second)), qt.IsNil)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			c.Assert(err, qt.IsNil)
			defer response.Body.Close()
			c.Check(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
			c.Check(response.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
			c.Check(k.arrivals(), qt.Equals, 0)
		})
	}
}

// callFront sends a request to an instance, and waits for a minute. The status is 0 if there is no answer.
func (k *cluster) callFront(method, address, path, id string) (status int, header http.Header) {
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader("one")
	}
	request, err := http.NewRequest(method, "http://"+address+path, body)
	k.c.Check(err, qt.IsNil)
	request.Host = "a.example"
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", "60000")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, nil
	}
	response.Body.Close()
	return response.StatusCode, response.Header
}
