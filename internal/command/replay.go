package command

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/cespare/xxhash/v2"

	"cuminlift/core/promise"
	"cuminlift/core/trace"
	"cuminlift/schema"
)

// readTraces reads and merges trace files. It returns the first problem beside what is valid.
func readTraces(files []string) ([]*schema.TraceLine, error) {
	var traces [][]*schema.TraceLine
	var problem error
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return nil, fmt.Errorf("%w: give the path of a trace", err)
		}
		lines, err := trace.Read(file)
		_ = file.Close()
		if err != nil && problem == nil {
			problem = fmt.Errorf("%s: %w", name, err)
		}
		traces = append(traces, lines)
	}
	if len(traces) == 1 {
		return traces[0], problem
	}
	return trace.Merge(traces...), problem
}

// ReplayCommand runs traces again.
type ReplayCommand struct {
	Files  []string `arg:"" help:"Trace files; several are merged by time and must come from one machine."`
	Format string   `help:"Output for people (text) or programs (json)." enum:"text,json" default:"text"`
	Most   int      `help:"Differences shown at the most." default:"10"`
}

// Help returns examples.
func (c *ReplayCommand) Help() string {
	return "Exit code 1 tells of a broken promise, of a decision that differs, or of a trace that is cut; what was valid up to there is still reported.\n\nExample:\n  cuminlift replay testdata/traces/upstream-killed.trace"
}

// replayReport is the report for programs.
type replayReport struct {
	Steps       int             `json:"steps"`
	Skipped     int             `json:"skipped"`
	Differences int             `json:"differences"`
	Promises    []reportFinding `json:"promises"`
	Problem     string          `json:"problem"`
}

type reportFinding struct {
	Promise string `json:"promise"`
	Verdict string `json:"verdict"`
	Checked int    `json:"checked"`
	Line    uint64 `json:"line"`
	What    string `json:"what"`
}

// Run implements the command.
func (c *ReplayCommand) Run(e *Environment) error {
	lines, problem := readTraces(c.Files)
	if lines == nil && problem != nil {
		return problem
	}
	replay := trace.Run(lines)
	findings := promise.Check(lines)
	if err := c.report(e, replay, findings, problem); err != nil {
		return err
	}
	if problem != nil {
		return problem
	}
	for _, f := range findings {
		if f.Verdict == promise.Broken {
			return fmt.Errorf("promise broken: %s", f.Promise)
		}
	}
	if len(replay.Differences) > 0 {
		return fmt.Errorf("%d decisions differ from those recorded: compare the versions that wrote and replayed the trace", len(replay.Differences))
	}
	return nil
}

func (c *ReplayCommand) report(e *Environment, replay *trace.ReplayResult, findings []promise.Finding, problem error) error {
	if c.Format == "json" {
		return c.reportJSON(e, replay, findings, problem)
	}
	fmt.Fprintf(e.Out, "%d inputs run again, %d decisions differ, %d skipped\n", replay.Steps, len(replay.Differences), replay.Skipped)
	for i, d := range replay.Differences {
		if i >= c.Most {
			break
		}
		fmt.Fprintln(e.Out, d)
	}
	for _, f := range findings {
		fmt.Fprintln(e.Out, f)
	}
	return nil
}

func (c *ReplayCommand) reportJSON(e *Environment, replay *trace.ReplayResult, findings []promise.Finding, problem error) error {
	r := replayReport{
		Steps:       replay.Steps,
		Skipped:     replay.Skipped,
		Differences: len(replay.Differences),
	}
	for _, f := range findings {
		r.Promises = append(r.Promises, reportFinding{
			Promise: f.Promise,
			Verdict: f.Verdict.String(),
			Checked: f.Checked,
			Line:    f.Line,
			What:    f.What,
		})
	}
	if problem != nil {
		r.Problem = problem.Error()
	}
	encoder := json.NewEncoder(e.Out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// ExplainCommand tells what a trace holds of a request, a key or a time.
type ExplainCommand struct {
	Files   []string      `arg:"" help:"Trace files; several are merged by time and must come from one machine."`
	Request string        `help:"Name of a request, as in the header Cuminlift-Request."`
	Service string        `help:"Only this service's ownership."`
	OfKey   string        `name:"key" help:"Only what concerns this key."`
	From    time.Duration `help:"Start, on the trace's clock."`
	To      time.Duration `help:"End, on the trace's clock; 0 for no bound."`
}

// Help returns examples.
func (c *ExplainCommand) Help() string {
	return "Example:\n  cuminlift explain --key seminar-7 --service calendar testdata/traces/upstream-killed.trace"
}

// Run implements the command.
func (c *ExplainCommand) Run(e *Environment) error {
	lines, problem := readTraces(c.Files)
	story := trace.Explain(lines, trace.Query{
		Request: c.Request,
		Service: c.Service,
		Hash:    xxhash.Sum64String(c.OfKey),
		HasHash: c.OfKey != "",
		From:    c.From,
		To:      c.To,
	})
	for _, line := range story {
		fmt.Fprintln(e.Out, line)
	}
	for _, f := range promise.Check(lines) {
		if f.Verdict == promise.Broken {
			fmt.Fprintln(e.Out, f)
		}
	}
	return problem
}
