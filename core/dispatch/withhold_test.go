package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminlift/core/dispatch"
	"cuminlift/core/route"
)

// TestUpstreamOfAReturnedTicketIsNotGrantedAgain guards against a coordinator with outdated tables that grants an upstream in an evacuated
// zone again and again to an instance that returns the tickets.
func TestUpstreamOfAReturnedTicketIsNotGrantedAgain(t *testing.T) {
	for _, mixed := range []bool{false, true} {
		t.Run(fmt.Sprint("mixed ", mixed), func(t *testing.T) { checkReturnedTicket(qt.New(t), mixed) })
	}
}

func checkReturnedTicket(c *qt.C, mixed bool) {
	p := newPool(dispatch.Share{})
	p.SetService(route.Service{
		Mixed: mixed,
	})
	p.SetUpstreams(0, states(2))
	grant := func(id uint64, now time.Duration, instance string) string {
		request := ticket(id, now)
		request.Instance = instance
		p.Submit(now, request)
		decisions := p.Decide(now)
		p.Cancel(now, id)
		c.Assert(decisions, qt.HasLen, 1)
		return decisions[0].Upstream
	}
	first := grant(1, 0, "a")
	p.Withhold(0, "a", first, time.Second)
	c.Check(grant(2, 1, "a"), qt.Not(qt.Equals), first)
	c.Check(grant(3, 2, "b"), qt.Equals, first)
	p.Readmit("a", first)
	c.Check(grant(4, 3, "a"), qt.Equals, first)
	p.Withhold(4, "a", first, time.Second)
	c.Check(grant(5, 2*time.Second, "a"), qt.Equals, first)
}

// TestReturnedTicketTakesNothingOfTheRetryBudget guards against retries that are refused because outdated tickets were counted as retries.
func TestReturnedTicketTakesNothingOfTheRetryBudget(t *testing.T) {
	c := qt.New(t)
	p := dispatch.NewPool(dispatch.Config{
		RetrySlack:  2.3,
		RetryWindow: 10 * time.Second,
	})
	p.SetUpstreams(0, states(2))
	retry := func(id uint64, returned bool) dispatch.Reason {
		request := ticket(id, 0)
		request.Attempt, request.Returned = 1, returned
		p.Submit(0, request)
		decisions := p.Decide(0)
		p.Cancel(0, id)
		c.Assert(decisions, qt.HasLen, 1)
		return decisions[0].Reason
	}
	c.Check(retry(1, false), qt.Equals, dispatch.Reason(""))
	for id := range uint64(10) {
		c.Check(retry(10+id, true), qt.Equals, dispatch.Reason(""))
	}
	c.Check(retry(2, false), qt.Equals, dispatch.NoBudget)
}
