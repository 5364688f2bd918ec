package gateway_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminlift/io/frames"
	"cuminlift/schema"
)

// flood sends requests with a key to all instances in turn for a while, and returns the number of answers by status and the different
// times after which refused callers were told to come back.
func (k *cluster) flood(key string, pause, length time.Duration) (statuses map[int]int, retryAfter map[string]bool) {
	statuses, retryAfter = map[int]int{}, map[string]bool{}
	var mutex sync.Mutex
	var group sync.WaitGroup
	for start := time.Now(); time.Since(start) < length; time.Sleep(pause) {
		for name := range k.instances {
			front := k.front(name)
			k.requestCount++
			group.Go(func() {
				request, err := http.NewRequest(http.MethodGet, "http://"+front+"/read/x", nil)
				k.c.Check(err, qt.IsNil)
				request.Host = "a.example"
				request.Header.Set("Request-Id", fmt.Sprint("flood-", start.UnixNano(), time.Now().UnixNano()))
				request.Header.Set("Deadline-Ms", "2000")
				request.Header.Set("Api-Key", key)
				response, err := http.DefaultClient.Do(request)
				if err != nil {
					return
				}
				response.Body.Close()
				mutex.Lock()
				defer mutex.Unlock()
				statuses[response.StatusCode]++
				if response.StatusCode == http.StatusTooManyRequests {
					retryAfter[response.Header.Get("Retry-After")] = true
				}
			})
		}
	}
	group.Wait()
	return statuses, retryAfter
}

const limitedWorkspaces = `[{"name":"limited","api_keys":["key-1"],"rate_per_s":4,"burst":2},{"name":"free","api_keys":["key-2"]}]`

// A workspace is sent more than its quota over all instances, with a coordinator or without, or another one pays for it.
func TestQuotaIsSharedByInstances(t *testing.T) {
	for _, lease := range []bool{true, false} {
		c := qt.New(t)
		k := newCluster(c, 0)
		if !lease {
			k.rows = &noLeaseStore{
				Store: k.store,
			}
		}
		r := k.record()
		k.configureWorkspaces(1, limitedWorkspaces)
		for i := range 3 {
			k.start(fmt.Sprint("n", i))
		}
		for name := range k.instances {
			eventually(func() bool {
				status, _ := k.call(k.front(name), "/read/x", "Api-Key", "key-2")
				return status == http.StatusOK
			})
		}
		before := r.count()
		statuses, retryAfter := k.flood("key-1", 20*time.Millisecond, 5*time.Second)
		// In 5 s and the second that the flood may last longer, (4 x 6 + 2) x 1.1 + 20.
		sent := r.count() - before
		c.Check(sent <= 48, qt.IsTrue, qt.Commentf("coordinator %v: %d sent, %v", lease, sent, statuses))
		c.Check(sent >= 8, qt.IsTrue, qt.Commentf("coordinator %v: %d sent, %v", lease, sent, statuses))
		c.Check(statuses[http.StatusOK], qt.Equals, sent)
		c.Check(statuses[http.StatusTooManyRequests] > 100, qt.IsTrue, qt.Commentf("%v", statuses))
		c.Check(statuses[http.StatusServiceUnavailable], qt.Equals, 0)
		c.Check(len(retryAfter) > 20, qt.IsTrue, qt.Commentf("%v", retryAfter))
		c.Check(retryAfter[""], qt.IsFalse)
		status, _ := k.call(k.front("n0"), "/read/x", "Api-Key", "key-2")
		c.Check(status, qt.Equals, http.StatusOK)
	}
}

// A workspace gets its quota again from each coordinator, or less for ever, while instances are replaced one after the other.
func TestQuotaHoldsWhenInstancesAreReplaced(t *testing.T) {
	c := qt.New(t)
	k := newCluster(c, 0)
	r := k.record()
	k.configureWorkspaces(1, `[{"name":"limited","api_keys":["key-1"],"rate_per_s":4,"burst":40},{"name":"free","api_keys":["key-2"]}]`)
	names := []string{"n0", "n1", "n2", "n3"}
	for _, name := range names {
		k.start(name)
	}
	for _, name := range names {
		eventually(func() bool {
			status, _ := k.call(k.front(name), "/read/x", "Api-Key", "key-2")
			return status == http.StatusOK
		})
	}
	before := r.count()
	for _, name := range names {
		k.flood("key-1", 20*time.Millisecond, 2*time.Second)
		k.stop(name)
		k.start(name)
	}
	k.flood("key-1", 20*time.Millisecond, 8*time.Second)
	times := r.times[before:]
	most := mostArrivals(times, time.Time{}, 5*time.Second)
	c.Check(most <= 86, qt.IsTrue, qt.Commentf("%d in 5 s", most)) // (4 x 5 + 40) x 1.1 + 20.
	last := 0
	for _, at := range times {
		if time.Since(at) < 4*time.Second {
			last++
		}
	}
	c.Check(last >= 12, qt.IsTrue, qt.Commentf("%d in the last 4 s", last))
	t.Logf("%d in 5 s, %d in the last 4 s, %d in all", most, last, len(times))
}

// lockedBuffer is a buffer for several writers.
type lockedBuffer struct {
	mutex sync.Mutex
	data  strings.Builder
}

func (b *lockedBuffer) Write(data []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.data.Write(data)
}

func (b *lockedBuffer) String() string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.data.String()
}

// A workspace beyond its quota fills the log, or neither log nor metrics tell why it was refused, or they disclose its key.
func TestRefusalsAreToldByLogAndMetrics(t *testing.T) {
	c := qt.New(t)
	k := newCluster(c, 0)
	log := &lockedBuffer{}
	k.log = log
	k.record()
	k.configureWorkspaces(1, strings.ReplaceAll(limitedWorkspaces, "key-1", "secret-key"))
	metrics := freeAddress(c)
	k.startWithMetrics("n0", metrics)
	eventually(func() bool {
		status, _ := k.call(k.front("n0"), "/read/x", "Api-Key", "key-2")
		return status == http.StatusOK
	})
	const length = 3 * time.Second
	statuses, _ := k.flood("secret-key", 5*time.Millisecond, length)
	unknown, _ := k.flood("unknown-key", 5*time.Millisecond, length)
	eventually(func() bool { return strings.Contains(log.String(), "requests beyond the quota refused") })
	lines := log.String()
	for _, message := range []string{"requests beyond the quota refused", "request given up", "request without a valid API key"} {
		n := strings.Count(lines, message)
		c.Check(n > 0 && n <= 10, qt.IsTrue, qt.Commentf("%d lines %q", n, message))
	}
	for _, detail := range []string{"workspace=limited", "rate=4", "burst=2", "status=429", "given=true"} {
		c.Check(strings.Contains(lines, detail), qt.IsTrue, qt.Commentf("%s", detail))
	}
	response, err := http.Get("http://" + metrics)
	c.Assert(err, qt.IsNil)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	c.Assert(err, qt.IsNil)
	c.Check(strings.Contains(lines+string(text), "secret-key"), qt.IsFalse)
	c.Check(strings.Contains(lines+string(text), "unknown-key"), qt.IsFalse)
	var decoded struct {
		Events     map[string]int
		Workspaces struct {
			Largest map[string]map[string]int
		}
	}
	c.Assert(json.Unmarshal(text, &decoded), qt.IsNil)
	c.Check(decoded.Events["refused-401"], qt.Equals, unknown[http.StatusUnauthorized])
	c.Check(decoded.Events["refused-429"], qt.Equals, statuses[http.StatusTooManyRequests])
	c.Check(decoded.Workspaces.Largest["limited"]["over-quota"], qt.Equals, statuses[http.StatusTooManyRequests])
	c.Check(decoded.Workspaces.Largest["limited"]["answered"], qt.Equals, statuses[http.StatusOK])
}

// A coordinator of the previous build, which counts nothing, leaves a workspace without its quota.
func TestInstanceCountsWhatTheCoordinatorDoesNot(t *testing.T) {
	for _, counted := range []bool{false, true} {
		c := qt.New(t)
		k := newCluster(c, 1)
		r := k.record()
		k.configureWorkspaces(1, limitedWorkspaces)
		eventually(func() bool {
			status, _ := k.call(k.front("n0"), "/read/x", "Api-Key", "key-2")
			return status == http.StatusOK
		})
		f, received := k.coordinateAndReceive("n0")
		reported := make(chan bool, 1)
		go func() {
			seen := false
			for frame := range received {
				seen = seen || frame.GetQuotaUsage() != nil
				if request := frame.GetRequest(); request != nil {
					select {
					case reported <- seen:
					default:
					}
					grant(f, request, r, counted)
				}
			}
		}()
		status, _ := k.call(k.front("n0"), "/read/x", "Api-Key", "key-2")
		c.Check(status, qt.Equals, http.StatusOK)
		c.Check(<-reported, qt.IsTrue)
		statuses, _ := k.flood("key-1", 10*time.Millisecond, time.Second)
		c.Check(statuses[http.StatusTooManyRequests] == 0, qt.Equals, counted, qt.Commentf("%v", statuses))
		c.Check(statuses[http.StatusOK] <= 20, qt.Equals, !counted, qt.Commentf("%v", statuses))
	}
}

// grant grants the recorder to a request, as a coordinator does.
func grant(f *frames.Connection, request *schema.TicketRequest, r *recorder, counted bool) {
	f.Send(&schema.Frame{
		Body: &schema.Frame_Reply{
			Reply: &schema.TicketReply{
				Id:       request.GetId(),
				Upstream: "recorder",
				Address:  r.address,
				Born:     1,
				Counted:  counted,
			},
		},
	})
}
