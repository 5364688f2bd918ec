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
