package dispatch_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminlift/core/dispatch"
)

// An instance that has been killed and started again uses the IDs of tickets that still run: their slots must not be lost for good.
func TestSlotsAreFreeAfterTheIDsOfRunningTicketsWereUsedAgain(t *testing.T) {
	c := qt.New(t)
	p := newPool(dispatch.Share{})
	p.SetUpstreams(0, states(2))
	const starts, requests = 10, 3
	now := time.Duration(0)
	for range starts {
		for id := range uint64(requests) {
			now += 100 * time.Millisecond
			p.Submit(now, ticket(id+1, now))
			p.Decide(now)
		}
	}
	for id := range uint64(requests) {
		p.Cancel(now, id+1)
	}
	sent := map[string]int{}
	for id := range uint64(4) {
		p.Submit(now, ticket(100+id, now))
	}
	for _, decision := range p.Decide(now) {
		sent[decision.Upstream]++
	}
	c.Check(sent, qt.DeepEquals, map[string]int{"u00": 2, "u01": 2})
}
