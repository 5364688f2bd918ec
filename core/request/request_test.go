package request_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"cuminlift/core/request"
)

func advance(c *qt.C, r *request.Request, states ...request.State) {
	for _, s := range states {
		c.Assert(r.Advance(s), qt.IsNil)
	}
}

func TestExecutionStatusInEachState(t *testing.T) {
	c := qt.New(t)
	r := &request.Request{}
	c.Assert(r.ExecutionStatus(), qt.Equals, request.NotRun)
	advance(c, r, request.Claimed, request.Queued)
	c.Assert(r.ExecutionStatus(), qt.Equals, request.NotRun)
	advance(c, r, request.Sent)
	c.Assert(r.ExecutionStatus(), qt.Equals, request.Unknown)
	advance(c, r, request.Refused)
	c.Assert(r.ExecutionStatus(), qt.Equals, request.NotRun)
	advance(c, r, request.Queued, request.Sent, request.Answered)
	c.Assert(r.ExecutionStatus(), qt.Equals, request.Ran)
}

func TestNonIdempotentRequestInDoubtIsNotRetried(t *testing.T) {
	c := qt.New(t)
	r := &request.Request{}
	advance(c, r, request.Queued, request.Sent, request.Lost)
	c.Assert(r.CanAttempt(), qt.IsFalse)
	c.Assert(r.Advance(request.Queued), qt.ErrorMatches, "invalid request state transition .* report this .*")
	c.Assert(r.ExecutionStatus(), qt.Equals, request.Unknown)
}

func TestLostAttemptStaysUnknownAfterARefusal(t *testing.T) {
	c := qt.New(t)
	r := &request.Request{
		Idempotent: true,
	}
	advance(c, r, request.Queued, request.Sent, request.Lost, request.Queued, request.Sent, request.Refused)
	c.Assert(r.ExecutionStatus(), qt.Equals, request.Unknown)
	c.Assert(r.Attempts(), qt.Equals, 2)
}

// TestNonIdempotentRequestIsSentAgainOnlyAfterRefusal checks every sequence of states up to a maximum length.
func TestNonIdempotentRequestIsSentAgainOnlyAfterRefusal(t *testing.T) {
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
