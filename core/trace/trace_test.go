package trace_test

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminlift/core/assign"
	"cuminlift/core/ownership"
	"cuminlift/core/trace"
	"cuminlift/schema"
)

// record runs a guardian against an empty table and returns its trace.
func record(c *qt.C) []byte {
	self := &schema.Member{
		Id:   "entry-1/1",
		Name: "entry-1",
		Zone: "zone-a",
	}
	timing := ownership.DefaultTiming()
	g := ownership.NewGuardian(ownership.Config{
		Self:    self,
		Service: "calendar",
		Timing:  timing,
		Keyed:   true,
		Planner: assign.NewPlanner(assign.Config{
			Keyed: true,
		}),
	})
	events := []*schema.OwnershipEvent{
		{
			Kind: schema.EventKind_listed,
			Facts: &schema.Facts{
				Members: []*schema.Member{self},
				Upstreams: []*schema.ListedUpstream{{
					Name:    "calendar-1",
					Zone:    "zone-a",
					Address: "127.0.0.1:1",
				}},
			},
		},
		{
			Kind:    schema.EventKind_read,
			Outcome: schema.WriteOutcome_committed,
		},
		{
			Kind:    schema.EventKind_wrote,
			Outcome: schema.WriteOutcome_committed,
		},
		{
			Kind: schema.EventKind_tick,
		},
	}
	var out bytes.Buffer
	for i, event := range events {
		at := time.Duration(i+1) * 10 * time.Millisecond
		line := &schema.TraceLine{
			Format:   trace.Format,
			AtUs:     at.Microseconds(),
			Instance: self.GetId(),
			Service:  "calendar",
			Input:    event,
			Sequence: uint64(i + 1),
			Digest:   trace.Digest(g.Step(at, event)),
		}
		if i == 0 {
			line.Self = self
			line.Timing = trace.EncodeTiming(timing, 0, true, 0)
		}
		c.Assert(trace.Write(&out, line), qt.IsNil)
	}
	c.Assert(g.Version(), qt.Equals, uint64(1))
	return out.Bytes()
}

func TestReplayReproducesRecordedDecisions(t *testing.T) {
	c := qt.New(t)
	lines, err := trace.Read(bytes.NewReader(record(c)))
	c.Assert(err, qt.IsNil)
	replay := trace.Run(lines)
	c.Assert(replay.Steps, qt.Equals, 4)
	c.Assert(replay.Differences, qt.HasLen, 0)
	c.Assert(replay.Grants, qt.HasLen, 1)
}

func TestReplayReportsDifference(t *testing.T) {
	c := qt.New(t)
	lines, err := trace.Read(bytes.NewReader(record(c)))
	c.Assert(err, qt.IsNil)
	lines[2].Input.Outcome = schema.WriteOutcome_unknown
	replay := trace.Run(lines)
	c.Assert(len(replay.Differences) > 0, qt.IsTrue)
	c.Assert(replay.Differences[0].Line, qt.Equals, uint64(3))
}

func TestReadReturnsLinesBeforeInvalidLine(t *testing.T) {
	c := qt.New(t)
	valid := string(record(c))
	lines := strings.SplitAfter(valid, "\n")
	for name, test := range map[string]struct {
		text string
		line int
		kept int
	}{
		"truncated":     {valid[:len(valid)-20], 4, 3},
		"reordered":     {lines[0] + lines[2] + lines[1], 3, 2},
		"unknown field": {lines[0] + "{\"hello\":1}\n", 2, 1},
		"newer":         {lines[0] + strings.Replace(lines[1], `"format":1`, `"format":2`, 1), 2, 1},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			kept, err := trace.Read(strings.NewReader(test.text))
			var line *trace.LineError
			c.Assert(errors.As(err, &line), qt.IsTrue)
			c.Assert(line.Line, qt.Equals, test.line)
			c.Assert(line.Remedy, qt.Not(qt.Equals), "")
			c.Assert(kept, qt.HasLen, test.kept)
		})
	}
}

func FuzzRead(f *testing.F) {
	f.Add([]byte(`{"format":1,"sequence":"1"}`))
	f.Add([]byte("{\n}\n"))
	f.Add([]byte(`{"format":1,"sequence":"2","input":{"kind":"heard","view":{"service":"calendar"}}}`))
	f.Fuzz(func(_ *testing.T, text []byte) {
		lines, _ := trace.Read(bytes.NewReader(text))
		_ = trace.Run(lines)
	})
}
