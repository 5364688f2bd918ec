package gateway_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// mostArrivals returns the largest number of arrivals after from in a span of the given length.
func mostArrivals(arrivals []time.Time, from time.Time, span time.Duration) int {
	most := 0
	for i, first := range arrivals {
		if first.Before(from) {
			continue
		}
		n := 0
		for _, at := range arrivals[i:] {
			if at.Sub(first) < span {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// TestUpstreamIsSentMoreThanItsLimit guards against an upstream that names a limit in its answers and gets as much as before.
func TestUpstreamIsSentMoreThanItsLimit(t *testing.T) {
	c := qt.New(t)
	k := newCluster(c, 3)
	k.configure(1, "keyed")
	u := k.upstream("k0", "keyed", "z1")
	for name := range k.instances {
		k.waitServing(name)
	}
	const limit, window, contact = 2.5, 4 * time.Second, 3 * time.Second
	u.SetLimit(fmt.Sprint(limit))
	start := time.Now()
	for time.Since(start) < contact+window+time.Second {
		for name := range k.instances {
			k.send(name, http.MethodGet, "/read/x", 5, "")
		}
		time.Sleep(10 * time.Millisecond)
	}
	most := mostArrivals(u.Arrivals(), start.Add(contact), window)
	c.Check(float64(most) <= 1.5*limit*window.Seconds()+5, qt.IsTrue, qt.Commentf("%d requests in %v", most, window))
	c.Check(most > 0, qt.IsTrue)
	u.SetLimit("")
	for name := range k.instances {
		k.waitServing(name)
	}
}

// lastArrival returns the time of the last request.
func lastArrival(arrivals []time.Time) time.Time {
	if len(arrivals) == 0 {
		return time.Time{}
	}
	return arrivals[len(arrivals)-1]
}

// TestUpstreamIsUsedAfterItSaidThatItLeaves guards against requests to an upstream that says in its answers that it leaves, while
// its entry in the registry still says that it is ready, with a coordinator and while there is none.
func TestUpstreamIsUsedAfterItSaidThatItLeaves(t *testing.T) {
	for _, keyed := range []bool{true, false} {
		for _, lease := range []bool{true, false} {
			c := qt.New(t)
			k := newCluster(c, 0)
			if !lease {
				k.rows = &noLeaseStore{
					Store: k.store,
				}
			}
			service := "plain"
			if keyed {
				service = "keyed"
			}
			if keyed && !lease {
				continue // Keys have no owners.
			}
			k.configure(1, service)
			for _, id := range []string{"u0", "u1"} {
				k.upstream(id, service, "z1")
			}
			for _, name := range []string{"n0", "n1", "n2"} {
				k.start(name)
			}
			for name := range k.instances {
				k.waitServing(name)
			}
			leaving := k.upstreams["u0"]
			leaving.Leave()
			const drain = 2 * time.Second
			// The coordinator tells all instances. Without one, each learns of it from its own answers.
			told, needed := map[string]bool{}, 1
			if !lease {
				needed = len(k.instances)
			}
			for key := 0; len(told) < needed; key = (key + 997) % (1 << 16) {
				for name := range k.instances {
					// Any answer says so, also a rejection or one that is late for the caller.
					before := len(leaving.Arrivals())
					if k.send(name, http.MethodGet, "/read/x", key, ""); len(leaving.Arrivals()) > before {
						told[name] = true
					}
				}
			}
			said := time.Now()
			for time.Since(said) < drain+500*time.Millisecond {
				for name := range k.instances {
					k.send(name, http.MethodGet, "/read/x", int(time.Now().UnixNano()%(1<<16)), "")
				}
				// The registry does not know yet, and writes the entry again.
				k.register("u0", service, "z1", "ready")
			}
			late := lastArrival(leaving.Arrivals()).Sub(said)
			c.Check(late < drain, qt.IsTrue, qt.Commentf("keyed %v, coordinator %v: %v after", keyed, lease, late))
			for name := range k.instances {
				k.waitServing(name)
			}
			// A new start under the same ID is used again.
			k.put("servers", "u0", fmt.Sprintf(`{"service":%q,"addr":%q,"zone":"z1","slots":2,"state":"ready","warmup_left":"0ms","born":2}`, service, leaving.Address()))
			returned := time.Now()
			eventually(func() bool {
				for name := range k.instances {
					k.send(name, http.MethodGet, "/read/x", int(time.Now().UnixNano()%(1<<16)), "")
				}
				return lastArrival(leaving.Arrivals()).After(returned)
			})
		}
	}
}

// TestUpstreamIsSentRequestsDuringItsRetryAfter guards against requests from an instance that an upstream has told when to come back.
func TestUpstreamIsSentRequestsDuringItsRetryAfter(t *testing.T) {
	c := qt.New(t)
	k := newCluster(c, 1)
	k.configure(1, "plain")
	u := k.upstream("p0", "plain", "z1")
	k.waitServing("n0")
	const pause = 3 * time.Second
	u.SetPause("3")
	before := len(u.Arrivals())
	start := time.Now()
	for time.Since(start) < pause-500*time.Millisecond {
		status, _, retryAfter := k.send("n0", http.MethodGet, "/read/x", 0, "")
		c.Assert(status, qt.Equals, http.StatusServiceUnavailable)
		c.Assert(retryAfter, qt.Not(qt.Equals), "")
		time.Sleep(5 * time.Millisecond)
	}
	late := 0
	for _, at := range u.Arrivals()[before:] {
		if at.Sub(start) > 500*time.Millisecond {
			late++
		}
	}
	c.Check(late <= 2, qt.IsTrue, qt.Commentf("%d requests while it wanted none", late))
	u.SetPause("")
	k.waitServing("n0")
}
