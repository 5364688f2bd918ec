package trace_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"cuminlift/core/promise"
	"cuminlift/core/trace"
)

// expectedOutcome is the expected result of replaying a recorded trace, from the JSON file beside it.
type expectedOutcome struct {
	// Scenario describes how the trace was recorded.
	Scenario string `json:"story"`
	// MinInputs is the least number of inputs that the trace must contain.
	MinInputs int `json:"least-inputs"`
	// Held lists the promises that the trace exercises and keeps.
	Held []string `json:"held"`
}

const traceFolder = "../../testdata/traces"

func TestRecordedTracesHaveExpectedOutcomes(t *testing.T) {
	files, err := filepath.Glob(filepath.Join(traceFolder, "*.trace"))
	if err != nil || len(files) == 0 {
		t.Fatalf("no recorded traces: %v", err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".trace"), func(t *testing.T) {
			c := qt.New(t)
			text, err := os.ReadFile(strings.TrimSuffix(file, ".trace") + ".json")
			c.Assert(err, qt.IsNil)
			expected := expectedOutcome{}
			c.Assert(json.Unmarshal(text, &expected), qt.IsNil)
			recorded, err := os.Open(file)
			c.Assert(err, qt.IsNil)
			defer recorded.Close()
			lines, err := trace.Read(recorded)
			c.Assert(err, qt.IsNil)
			replay := trace.Run(lines)
			c.Assert(replay.Steps >= expected.MinInputs, qt.IsTrue, qt.Commentf("%d inputs", replay.Steps))
			c.Assert(len(replay.Differences), qt.Equals, 0)
			var held []string
			for _, f := range promise.Check(lines) {
				c.Assert(f.Verdict, qt.Not(qt.Equals), promise.Broken, qt.Commentf("%v", f))
				if f.Verdict == promise.Held {
					held = append(held, f.Promise)
				}
			}
			c.Assert(held, qt.DeepEquals, expected.Held)
		})
	}
}
