package gateway_test

import (
	"encoding/json"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
)

// classCosts returns what the instance with a metrics address publishes of the cost of a service's requests.
func classCosts(address, service string) map[string]map[string]int64 {
	response, err := http.Get("http://" + address)
	if err != nil {
		return nil
	}
	defer response.Body.Close()
	var got struct {
		Cost map[string]map[string]map[string]int64 `json:"cost"`
	}
	if json.NewDecoder(response.Body).Decode(&got) != nil {
		return nil
	}
	return got.Cost[service]
}

// TestNewCoordinatorLearnsCostsFromFollowers guards against a coordinator that begins with a part of the objective, 84 ms, for
// requests of some milliseconds that other instances have measured. A service with one kind of routes publishes nothing.
func TestNewCoordinatorLearnsCostsFromFollowers(t *testing.T) {
	c := qt.New(t)
	k := newCluster(c, 0)
	k.configure(1, "plain")
	k.upstream("p0", "plain", "z1")
	addresses := map[string]string{}
	for _, name := range []string{"n0", "n1", "n2"} {
		addresses[name] = freeAddress(c)
		k.startWithMetrics(name, addresses[name])
	}
	for name := range k.instances {
		k.waitServing(name)
	}
	for range 20 {
		for name := range k.instances {
			k.send(name, http.MethodGet, "/read/x", 0, "")
		}
	}
	var first string
	eventually(func() bool {
		for name := range k.instances {
			k.send(name, http.MethodGet, "/read/x", 0, "")
			if len(classCosts(addresses[name], "plain")) > 0 {
				first = name
			}
		}
		return first != ""
	})
	c.Check(classCosts(addresses[first], "keyed"), qt.HasLen, 0)
	k.stop(first)
	delete(k.instances, first)
	var learned map[string]int64
	eventually(func() bool {
		for name := range k.instances {
			if costs := classCosts(addresses[name], "plain"); len(costs) > 0 {
				learned = costs["2/idempotent/300ms/2s"]
				return true
			}
		}
		return false
	})
	c.Check(learned["requests"], qt.Equals, int64(0))
	c.Check(learned["work-ms"] < 60, qt.IsTrue, qt.Commentf("%v", learned))
}
