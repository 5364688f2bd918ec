package promise_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminlift/core/promise"
	"cuminlift/schema"
)

// at returns a trace line with an outcome at the given time.
func at(seconds float64, o *schema.Outcome) *schema.TraceLine {
	return &schema.TraceLine{
		Format:  1,
		AtUs:    int64(seconds * 1e6),
		Outcome: o,
	}
}

func setSequence(lines []*schema.TraceLine) []*schema.TraceLine {
	for i, line := range lines {
		line.Sequence = uint64(i + 1)
	}
	return lines
}

func microseconds(seconds float64) int64 {
	return int64(seconds * float64(time.Second/time.Microsecond))
}

// cases holds for each promise a trace that keeps it and one that violates it.
var cases = []struct {
	promise string
	kept    []*schema.TraceLine
	broken  []*schema.TraceLine
	// line is the sequence number of the line at which the violation must be reported.
	line uint64
}{
	{
		promise: "a key has at most one owner at any time",
		kept: []*schema.TraceLine{
			at(1, &schema.Outcome{Kind: "owns", Subject: "a", From: 0, To: 9, Value: microseconds(2)}),
			at(2.1, &schema.Outcome{Kind: "owns", Subject: "b", From: 5, To: 6, Value: microseconds(3)}),
			at(2.2, &schema.Outcome{Kind: "owns", Subject: "a", From: 0, To: 9, Value: microseconds(2.1)}),
		},
		broken: []*schema.TraceLine{
			at(1, &schema.Outcome{Kind: "owns", Subject: "a", From: 0, To: 9, Value: microseconds(2)}),
			at(1.9, &schema.Outcome{Kind: "owns", Subject: "b", From: 5, To: 6, Value: microseconds(3)}),
		},
		line: 2,
	},
	{
		promise: "an acknowledged assignment survives any tolerated loss",
		kept: []*schema.TraceLine{
			at(1, &schema.Outcome{Kind: "assigned", Subject: "a", From: 0, To: 9, Fence: 4}),
			at(2, &schema.Outcome{Kind: "owns", Subject: "b", From: 0, To: 9, Fence: 5, Value: microseconds(3)}),
		},
		broken: []*schema.TraceLine{
			at(1, &schema.Outcome{Kind: "assigned", Subject: "a", From: 0, To: 9, Fence: 4}),
			at(2, &schema.Outcome{Kind: "owns", Subject: "b", From: 9, To: 12, Fence: 4, Value: microseconds(3)}),
		},
		line: 2,
	},
	{
		promise: "a started upstream gets no more than it can bear",
		kept: []*schema.TraceLine{
			at(1, &schema.Outcome{Kind: "admitted", Subject: "a", Value: 1, To: 1}),
		},
		broken: []*schema.TraceLine{
			at(1, &schema.Outcome{Kind: "admitted", Subject: "a", Value: 2, To: 1}),
		},
		line: 1,
	},
	{
		promise: "a zone that is out gets no new work after a few seconds",
		kept: []*schema.TraceLine{
			at(1, &schema.Outcome{Kind: "zone-out", Subject: "z"}),
			at(5, &schema.Outcome{Kind: "dispatched", Subject: "a", Detail: "z"}),
			at(7, &schema.Outcome{Kind: "zone-in", Subject: "z"}),
			at(9, &schema.Outcome{Kind: "dispatched", Subject: "a", Detail: "z"}),
		},
		broken: []*schema.TraceLine{
			at(1, &schema.Outcome{Kind: "zone-out", Subject: "z"}),
			at(6.1, &schema.Outcome{Kind: "dispatched", Subject: "a", Detail: "z"}),
		},
		line: 2,
	},
	{
		promise: "a caller gets the whole answer to its own request",
		kept: []*schema.TraceLine{
			at(1, &schema.Outcome{Kind: "answered", Request: "1", Detail: "1", From: 8, To: 8}),
		},
		broken: []*schema.TraceLine{
			at(1, &schema.Outcome{Kind: "answered", Request: "1", Detail: "1", From: 8, To: 8}),
			at(2, &schema.Outcome{Kind: "answered", Request: "2", Detail: "3", From: 8, To: 8}),
			at(3, &schema.Outcome{Kind: "answered", Request: "4", Detail: "4", From: 7, To: 8}),
		},
		line: 2,
	},
	{
		promise: "a refusal that says not-run is true",
		kept: []*schema.TraceLine{
			at(1, &schema.Outcome{Kind: "refused-not-run", Request: "1"}),
			at(2, &schema.Outcome{Kind: "ran", Request: "2"}),
		},
		broken: []*schema.TraceLine{
			at(1, &schema.Outcome{Kind: "refused-not-run", Request: "1"}),
			at(2, &schema.Outcome{Kind: "ran", Request: "1"}),
		},
		line: 2,
	},
	{
		promise: "a request that is not idempotent runs at most once",
		kept: []*schema.TraceLine{
			at(1, &schema.Outcome{Kind: "ran", Request: "1", Detail: "order"}),
			at(2, &schema.Outcome{Kind: "ran", Request: "2", Detail: "check"}),
			at(3, &schema.Outcome{Kind: "ran", Request: "2", Detail: "check"}),
		},
		broken: []*schema.TraceLine{
			at(1, &schema.Outcome{Kind: "ran", Request: "1", Detail: "order"}),
			at(2, &schema.Outcome{Kind: "ran", Request: "1", Detail: "order"}),
		},
		line: 2,
	},
	{
		promise: "a leaving upstream gets no new work after a few seconds",
		kept: []*schema.TraceLine{
			at(1, &schema.Outcome{Kind: "leaving", Subject: "a"}),
			at(9, &schema.Outcome{Kind: "dispatched", Subject: "b"}),
		},
		broken: []*schema.TraceLine{
			at(1, &schema.Outcome{Kind: "leaving", Subject: "a"}),
			at(9, &schema.Outcome{Kind: "dispatched", Subject: "a"}),
		},
		line: 2,
	},
	{
		promise: "a planned stop cuts no request in progress",
		kept: []*schema.TraceLine{
			at(1, &schema.Outcome{Kind: "stop-begins", Subject: "i"}),
			at(2, &schema.Outcome{Kind: "cut", Subject: "j", Request: "1"}),
		},
		broken: []*schema.TraceLine{
			at(1, &schema.Outcome{Kind: "stop-begins", Subject: "i"}),
			at(2, &schema.Outcome{Kind: "cut", Subject: "i", Request: "1"}),
		},
		line: 2,
	},
	{
		promise: "an accepted configuration is in force everywhere within seconds and never reverts",
		kept: []*schema.TraceLine{
			at(1, &schema.Outcome{Kind: "in-force", Subject: "i", Fence: 1}),
			at(1, &schema.Outcome{Kind: "in-force", Subject: "j", Fence: 1}),
			at(2, &schema.Outcome{Kind: "accepted", Fence: 2}),
			at(3, &schema.Outcome{Kind: "in-force", Subject: "i", Fence: 2}),
			at(4, &schema.Outcome{Kind: "gone", Subject: "j"}),
			at(30, &schema.Outcome{Kind: "in-force", Subject: "i", Fence: 2}),
		},
		broken: []*schema.TraceLine{
			at(1, &schema.Outcome{Kind: "in-force", Subject: "i", Fence: 2}),
			at(2, &schema.Outcome{Kind: "in-force", Subject: "i", Fence: 1}),
		},
		line: 2,
	},
}

func findingFor(findings []promise.Finding, name string) promise.Finding {
	for _, f := range findings {
		if f.Promise == name {
			return f
		}
	}
	return promise.Finding{}
}

func TestEachCheckerDetectsAViolation(t *testing.T) {
	for _, test := range cases {
		t.Run(test.promise, func(t *testing.T) {
			c := qt.New(t)
			kept := findingFor(promise.Check(setSequence(test.kept)), test.promise)
			c.Assert(kept.Verdict, qt.Equals, promise.Held, qt.Commentf("%v", kept))
			broken := findingFor(promise.Check(setSequence(test.broken)), test.promise)
			c.Assert(broken.Verdict, qt.Equals, promise.Broken)
			c.Assert(broken.Line, qt.Equals, test.line)
			none := findingFor(promise.Check(nil), test.promise)
			c.Assert(none.Verdict, qt.Equals, promise.NotExercised)
		})
	}
}

func TestConfigurationMustPropagateWithinTheBound(t *testing.T) {
	c := qt.New(t)
	findings := promise.Check(setSequence([]*schema.TraceLine{
		at(1, &schema.Outcome{Kind: "in-force", Subject: "i", Fence: 1}),
		at(2, &schema.Outcome{Kind: "accepted", Fence: 2}),
		at(13.1, &schema.Outcome{Kind: "ran", Request: "1"}),
	}))
	c.Assert(findings[9].Verdict, qt.Equals, promise.Broken)
}
