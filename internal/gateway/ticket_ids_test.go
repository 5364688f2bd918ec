package gateway_test

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"cuminlift/schema"
)

// The coordinator keeps the slots of an instance's running requests when that is killed. Its next start must not use their IDs, with
// which the coordinator would take the slots for its own.
func TestRestartedInstanceUsesOtherTicketIDs(t *testing.T) {
	c := qt.New(t)
	k := newCluster(c, 0)
	k.configure(1, "plain")
	u := k.upstream("p0", "plain", "z1")
	seen := map[uint64]bool{}
	const starts, requests = 3, 5
	for range starts {
		k.start("n0")
		k.waitReady("n0")
		coordinator := k.attachCoordinator("n0", &schema.TicketReply{
			Upstream: "p0",
			Address:  u.Address(),
			Born:     1,
		})
		for range requests {
			status, _, _ := k.send("n0", http.MethodPost, "/order/x", 0, "")
			c.Check(status, qt.Equals, http.StatusOK)
		}
		coordinator.mutex.Lock()
		for _, request := range coordinator.requests {
			c.Check(seen[request.GetId()], qt.IsFalse, qt.Commentf("ID %d of an earlier start", request.GetId()))
		}
		for _, request := range coordinator.requests {
			seen[request.GetId()] = true
		}
		coordinator.mutex.Unlock()
		k.stop("n0")
	}
	c.Check(len(seen) >= starts*requests, qt.IsTrue, qt.Commentf("%d", len(seen)))
}
