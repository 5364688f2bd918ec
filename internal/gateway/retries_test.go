package gateway_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminlift/internal/gateway"
)

// fail sends n requests, which all fail, through each instance.
func (k *cluster) fail(round, n int) {
	var group sync.WaitGroup
	for name := range k.instances {
		for caller := range 4 {
			group.Add(1)
			go func() {
				defer group.Done()
				for i := range n / 4 {
					k.sendWithID(name, http.MethodGet, "/read/x", 0, "", fmt.Sprint("failing-", round, "-", name, "-", caller, "-", i))
				}
			}()
		}
	}
	group.Wait()
}

// Instances that are restarted while upstreams fail give out the retry budget again (BUDGET).
func TestRetryBudgetHoldsOverRestarts(t *testing.T) {
	const instances, rounds, slack = 4, 5, 170
	for _, test := range []struct {
		name string
		// requests is the number of requests through each instance in each round.
		requests int
		// restarted returns the instances to restart after a round.
		restarted func(k *cluster, round int) []string
	}{{
		name:     "all at once",
		requests: 40,
		restarted: func(*cluster, int) []string {
			return []string{"n0", "n1", "n2", "n3"}
		},
	}, {
		name:     "the coordinator and another one",
		requests: 40,
		restarted: func(k *cluster, round int) []string {
			restarted := []string{k.coordinator()}
			if other := fmt.Sprint("n", round%instances); other != restarted[0] {
				restarted = append(restarted, other)
			}
			return restarted
		},
	}} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			k := newCluster(c, 0)
			k.adjust = func(s *gateway.Settings) {
				s.RetrySlack = slack
				s.RetryWindow = time.Minute // All rounds are in one window.
				s.ShutdownTimeout = 300 * time.Millisecond
			}
			k.configure(1, "plain")
			for i := range 8 {
				k.upstream(fmt.Sprint("p", i), "plain", "z1")
			}
			for i := range instances {
				k.start(fmt.Sprint("n", i))
			}
			term := uint64(0)
			for round := range rounds {
				for name := range k.instances {
					eventually(func() bool {
						status, _, _ := k.send(name, http.MethodGet, "/read/x", 0, "")
						return status == http.StatusOK
					})
				}
				eventually(func() bool { return k.leaseTerm() > term })
				time.Sleep(500 * time.Millisecond) // All instances are connected to the coordinator by then.
				for _, u := range k.upstreams {
					u.SetErring(true)
				}
				k.fail(round, test.requests)
				for _, u := range k.upstreams {
					u.SetErring(false)
				}
				restarted := test.restarted(k, round)
				term = k.leaseTerm()
				for _, name := range restarted {
					k.stop(name)
				}
				for _, name := range restarted {
					k.start(name)
				}
			}
			arrivals := map[string]int{}
			for _, u := range k.upstreams {
				for id, runs := range u.RunCounts() {
					arrivals[id] += runs
				}
			}
			requests, retries := instances*rounds*test.requests+k.requestCount, 0
			for _, n := range arrivals {
				retries += n - 1
			}
			allowed := requests/5 + slack
			t.Logf("%d retries for %d requests, %d allowed", retries, requests, allowed)
			c.Check(retries <= allowed, qt.IsTrue, qt.Commentf("%d retries for %d requests, %d allowed", retries, requests, allowed))
		})
	}
}
