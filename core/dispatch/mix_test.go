package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminlift/core/dispatch"
	"cuminlift/core/route"
)

// TestFewRequestsOfAnotherKindDoNotMixAService guards against other decisions for a service because of the few requests with which
// operators check a configuration, or because two routes of one kind have different timeouts.
func TestFewRequestsOfAnotherKindDoNotMixAService(t *testing.T) {
	for _, test := range []struct {
		name, other string
		every       int
		mixed       bool
	}{
		{"one in 50 of another kind", "0/idempotent/1s/1s", 50, false},
		{"one in 10 of another kind", "0/idempotent/1s/1s", 10, true},
		{"half with another timeout", "2/idempotent/500ms/1s", 2, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			p := newPool(dispatch.Share{})
			p.SetService(route.Service{
				Mixed: true,
			})
			p.SetUpstreams(0, states(4))
			now := time.Duration(0)
			for id := range uint64(1000) {
				now += 5 * time.Millisecond
				request := ticket(id, now)
				request.Class = "2/idempotent/500ms/2s"
				if int(id)%test.every == 0 {
					request.Class = test.other
				}
				p.Submit(now, request)
				for _, d := range p.Decide(now) {
					p.End(now, d.Ticket.ID, dispatch.Answered, time.Millisecond, nil)
				}
			}
			c.Check(p.Stats(now).Mixed, qt.Equals, test.mixed, qt.Commentf(fmt.Sprint(p.Stats(now))))
		})
	}
}
