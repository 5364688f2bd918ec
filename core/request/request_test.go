package request_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"cuminlift/core/request"
)

func states(c *qt.C, r *request.Request, states ...request.State) {
	for _, s := range states {
		c.Assert(r.Advance(s), qt.IsNil)
	}
}

func TestWhatIsKnownInEachState(t *testing.T) {
	c := qt.New(t)
	r := &request.Request{}
	c.Assert(r.ExecutionStatus(), qt.Equals, request.NotRun)
	states(c, r, request.Claimed, request.Queued)
	c.Assert(r.ExecutionStatus(), qt.Equals, request.NotRun)
	states(c, r, request.Sent)
	c.Assert(r.ExecutionStatus(), qt.Equals, request.Unknown)
	states(c, r, request.Refused)
	c.Assert(r.ExecutionStatus(), qt.Equals, request.NotRun)
	states(c, r, request.Queued, request.Sent, request.Answered)
	c.Assert(r.ExecutionStatus(), qt.Equals, request.Ran)
}

func TestOrderInDoubtIsNeverSentAgain(t *testing.T) {
	c := qt.New(t)
	r := &request.Request{}
	states(c, r, request.Queued, request.Sent, request.Lost)
	c.Assert(r.CanAttempt(), qt.IsFalse)
	c.Assert(r.Advance(request.Queued), qt.ErrorMatches, "request can't go .* report this .*")
	c.Assert(r.ExecutionStatus(), qt.Equals, request.Unknown)
}

func TestDoubtOutlivesALaterRefusal(t *testing.T) {
	c := qt.New(t)
	r := &request.Request{
		Idempotent: true,
	}
	states(c, r, request.Queued, request.Sent, request.Lost, request.Queued, request.Sent, request.Refused)
	c.Assert(r.ExecutionStatus(), qt.Equals, request.Unknown)
	c.Assert(r.Attempts(), qt.Equals, 2)
}

// TestNoPathSendsAnOrderTwiceInDoubt walks every sequence of events up to a length.
func TestNoPathSendsAnOrderTwiceInDoubt(t *testing.T) {
	c := qt.New(t)
	all := []request.State{
		request.Received, request.Claimed, request.Queued, request.Sent, request.Refused, request.Answered, request.Lost,
	}
	paths := 0
	var walk func(path []request.State)
	walk = func(path []request.State) {
		r := &request.Request{}
		sent, refused := 0, 0
		for _, s := range path {
			if r.Advance(s) != nil {
				return
			}
			switch s {
			case request.Sent:
				sent++
			case request.Refused:
				refused++
			}
		}
		paths++
		c.Assert(sent <= refused+1, qt.IsTrue, qt.Commentf("%v", path))
		if r.ExecutionStatus() == request.NotRun {
			c.Assert(sent, qt.Equals, refused, qt.Commentf("%v", path))
		}
		if len(path) == 9 {
			return
		}
		for _, s := range all {
			walk(append(path[:len(path):len(path)], s))
		}
	}
	walk(nil)
	c.Assert(paths > 20, qt.IsTrue)
}
