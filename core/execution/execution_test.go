package execution_test

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"cuminlift/core/execution"
	"cuminlift/core/request"
)

// first is an answer on a new connection that carries the request's ID.
func first(status int) execution.Evidence {
	return execution.Evidence{
		Sent:       true,
		Status:     status,
		Identified: true,
	}
}

func TestProofNeedsMoreThanAStatus(t *testing.T) {
	marked := first(http.StatusServiceUnavailable)
	marked.Marked = true
	reused := marked
	reused.Reused = true
	unidentified := reused
	unidentified.Identified = false
	repeated := reused
	repeated.RefusedBefore = true
	fresh := unidentified
	fresh.Reused = false
	success := marked
	success.Status = http.StatusOK
	misaddressed := first(http.StatusMisdirectedRequest)
	misaddressed.OtherUpstream = true
	otherStatus := first(http.StatusServiceUnavailable)
	otherStatus.OtherUpstream = true
	for _, test := range []struct {
		name     string
		evidence execution.Evidence
		proof    execution.Proof
	}{
		{
			name:     "nothing sent",
			evidence: execution.Evidence{},
			proof:    execution.NothingSent,
		},
		{
			name: "no answer",
			evidence: execution.Evidence{
				Sent: true,
			},
			proof: execution.None,
		},
		{
			name:     "408",
			evidence: first(http.StatusRequestTimeout),
			proof:    execution.None,
		},
		{
			name:     "421",
			evidence: first(http.StatusMisdirectedRequest),
			proof:    execution.None,
		},
		{
			name:     "429",
			evidence: first(http.StatusTooManyRequests),
			proof:    execution.None,
		},
		{
			name:     "503",
			evidence: first(http.StatusServiceUnavailable),
			proof:    execution.None,
		},
		{
			name:     "marked",
			evidence: marked,
			proof:    execution.Stated,
		},
		{
			name:     "marked, reused",
			evidence: reused,
			proof:    execution.Stated,
		},
		{
			name:     "no ID, reused",
			evidence: unidentified,
			proof:    execution.None,
		},
		{
			name:     "no ID, new connection",
			evidence: fresh,
			proof:    execution.Stated,
		},
		{
			name:     "refused before",
			evidence: repeated,
			proof:    execution.None,
		},
		{
			name:     "marked success",
			evidence: success,
			proof:    execution.None,
		},
		{
			name:     "another upstream",
			evidence: misaddressed,
			proof:    execution.Misaddressed,
		},
		{
			name:     "another upstream's 503",
			evidence: otherStatus,
			proof:    execution.None,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			qt.New(t).Check(test.evidence.Proof(), qt.Equals, test.proof)
		})
	}
}

// A marked success contradicts itself. It goes to its caller, and the request is not sent again.
func TestMarkedSuccessIsNoRefusal(t *testing.T) {
	c := qt.New(t)
	success := first(http.StatusOK)
	success.Marked = true
	c.Check(success.Refusal(), qt.IsFalse)
	c.Check(success.MayPassOn(true), qt.IsTrue)
	refusal := first(http.StatusBadRequest)
	refusal.Marked = true
	c.Check(refusal.Refusal(), qt.IsTrue)
	c.Check(first(http.StatusMisdirectedRequest).Refusal(), qt.IsTrue)
	c.Check(first(http.StatusServiceUnavailable).Refusal(), qt.IsFalse)
}

// Whatever an upstream sends, a caller whose request must not be repeated is told that it has not run only if that is proved.
func TestNoStatusPromisesWithoutProof(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := execution.Evidence{
			Sent:          true,
			Status:        rapid.IntRange(200, 599).Draw(t, "status"),
			Marked:        rapid.Bool().Draw(t, "marked"),
			OtherUpstream: rapid.Bool().Draw(t, "other-upstream"),
			Identified:    rapid.Bool().Draw(t, "identified"),
			Reused:        rapid.Bool().Draw(t, "reused"),
			RefusedBefore: rapid.Bool().Draw(t, "refused-before"),
		}
		if e.MayPassOn(true) && execution.Promises(e.Status) && e.Proof() == execution.None {
			t.Fatalf("status %d may go on without proof", e.Status)
		}
		if !e.MayPassOn(false) {
			t.Fatalf("status %d of a request that may be repeated is not returned unchanged", e.Status)
		}
	})
	c := qt.New(t)
	for _, late := range []bool{false, true} {
		c.Check(execution.Promises(execution.StatusFor(request.NotRun, late)), qt.IsTrue)
		c.Check(execution.Promises(execution.StatusFor(request.Unknown, late)), qt.IsFalse)
		c.Check(execution.Promises(execution.StatusFor(request.Ran, late)), qt.IsFalse)
	}
}
