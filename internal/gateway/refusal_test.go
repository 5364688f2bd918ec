package gateway_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
)

// answeringUpstream runs requests and answers them as it is told.
type answeringUpstream struct {
	mutex sync.Mutex
	// runs counts the requests that ran, by ID.
	runs map[string]int
	// answer writes the answer to a request, and reports whether the request runs.
	answer func(w http.ResponseWriter) (runs bool)
}

func (u *answeringUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if r.URL.Path == "/healthz" {
		return
	}
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if u.answer(w) {
		u.runs[id]++
	}
}

// setAnswer replaces how requests are answered from now on.
func (u *answeringUpstream) setAnswer(answer func(w http.ResponseWriter) (runs bool)) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.answer = answer
}

func (u *answeringUpstream) ran(id string) int {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return u.runs[id]
}

func answerOK(w http.ResponseWriter) (runs bool) {
	w.Header().Set("Response-Signature", "s")
	return true
}

// answeringUpstreams registers three upstreams of the service "plain" with the same answers, and waits until an instance sends to them.
func (k *cluster) answeringUpstreams(instance string) *answeringUpstream {
	u := &answeringUpstream{
		runs:   map[string]int{},
		answer: answerOK,
	}
	for i := range 3 {
		server := httptest.NewServer(u)
		k.c.Cleanup(func() {
			server.CloseClientConnections()
			server.Close()
		})
		k.registerPlain(fmt.Sprint("p", i), server.Listener.Addr().String(), 2)
	}
	eventually(func() bool {
		status, _, _ := k.send(instance, http.MethodPost, "/order/x", 0, "one")
		return status == http.StatusOK
	})
	return u
}

// order sends an order and returns the status and the headers of the answer.
func (k *cluster) order(instance, id string) (int, http.Header) {
	r, err := http.NewRequest(http.MethodPost, "http://"+k.instances[instance].settings.FrontAddress+"/order/x", nil)
	k.c.Assert(err, qt.IsNil)
	r.Host = "a.example"
	r.Header.Set("Request-Id", id)
	r.Header.Set("Deadline-Ms", "2000")
	response, err := http.DefaultClient.Do(r)
	k.c.Assert(err, qt.IsNil)
	k.c.Assert(response.Body.Close(), qt.IsNil)
	return response.StatusCode, response.Header
}

// statusesOfRefusals are the statuses that tell a caller that its request has not run.
var statusesOfRefusals = []int{
	http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable,
}

// An upstream runs an order and answers with a status that promises callers the opposite: the caller is told so (REFUSED), or the order
// runs at another upstream too (TWICE).
func TestOrderThatRanIsSaidNotToHaveRun(t *testing.T) {
	for _, status := range statusesOfRefusals {
		for _, relayed := range []bool{false, true} {
			t.Run(fmt.Sprint(status, " relayed=", relayed), func(t *testing.T) {
				c := qt.New(t)
				k := newCluster(c, 2)
				k.configure(1, "plain")
				if relayed {
					k.paths["n0"].set(reset)
				}
				u := k.answeringUpstreams("n0")
				u.setAnswer(func(w http.ResponseWriter) bool {
					w.Header().Set("Retry-After", "0.01")
					w.Header().Set("Response-Signature", "s")
					w.WriteHeader(status)
					return true
				})
				answer, header := k.order("n0", "order-1")
				c.Check(u.ran("order-1"), qt.Equals, 1)
				c.Check(answer, qt.Equals, http.StatusBadGateway)
				// It belongs to the upstream's own status.
				c.Check(header.Get("Response-Signature"), qt.Equals, "")
			})
		}
	}
}
