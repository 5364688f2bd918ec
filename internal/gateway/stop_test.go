package gateway_test

import (
	"net/http"
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
	eventually(func() bool {
		response, err := http.Get("http://" + k.instances["n0"].settings.ReadyAddress + "/cuminlift/readyz")
		if err != nil {
			return false
		}
		response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
	const requests = 12
	var mutex sync.Mutex
	statuses := map[int]int{}
	var group sync.WaitGroup
	for range requests {
		group.Add(1)
		go func() {
			defer group.Done()
			status, header := k.callPatiently(address)
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

// callPatiently sends a request that may last a minute. The status is 0 if there is no answer.
func (k *cluster) callPatiently(address string) (status int, header http.Header) {
	request, err := http.NewRequest(http.MethodGet, "http://"+address+"/read/x", nil)
	k.c.Check(err, qt.IsNil)
	request.Host = "a.example"
	request.Header.Set("Request-Id", address)
	request.Header.Set("Deadline-Ms", "60000")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, nil
	}
	response.Body.Close()
	return response.StatusCode, response.Header
}
