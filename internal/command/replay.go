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

// readTraces reads and merges trace files. If a file is truncated or corrupt, it returns the valid lines together with
// the first error.
func readTraces(files []string) ([]*schema.TraceLine, error) {
	var traces [][]*schema.TraceLine
	var problem error
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return nil, fmt.Errorf("%w: pass the path of a trace file", err)
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

// ReplayCommand replays recorded traces and compares the decisions with the recorded ones.
type ReplayCommand struct {
	Files          []string `arg:"" help:"Trace files. Multiple files are merged by timestamp and must have been recorded on the same machine."`
	Format         string   `help:"Output format, plain text or JSON." enum:"text,json" default:"text"`
	MaxDifferences int      `name:"most" help:"Maximum number of differences to print." default:"10"`
}

// Help returns the detailed help text.
func (c *ReplayCommand) Help() string {
	return "The exit code is 1 if a guarantee was violated, a decision differs from the recorded one, or a trace is truncated. The valid part of a truncated trace is still reported.\n\nExample:\n  cuminlift replay testdata/traces/upstream-killed.trace"
}

// replayReport is the JSON output of the replay command.
type replayReport struct {
	Steps       int             `json:"steps"`
	Skipped     int             `json:"skipped"`
	Differences int             `json:"differences"`
	Promises    []findingReport `json:"promises"`
	Problem     string          `json:"problem"`
}

// findingReport is the JSON form of a promise.Finding.
type findingReport struct {
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
	if err := c.printReport(e, replay, findings, problem); err != nil {
		return err
	}
	if problem != nil {
		return problem
	}
	for _, f := range findings {
		if f.Verdict == promise.Broken {
			return fmt.Errorf("guarantee violated: %s", f.Promise)
		}
	}
	if len(replay.Differences) > 0 {
		return fmt.Errorf("%d decisions differ from the recorded ones: check whether the trace was recorded by a different version", len(replay.Differences))
	}
	return nil
}

func (c *ReplayCommand) printReport(e *Environment, replay *trace.ReplayResult, findings []promise.Finding, problem error) error {
	if c.Format == "json" {
		return c.printReportJSON(e, replay, findings, problem)
	}
	fmt.Fprintf(e.Stdout, "%d inputs replayed, %d decisions differ, %d skipped\n", replay.Steps, len(replay.Differences), replay.Skipped)
	for i, d := range replay.Differences {
		if i >= c.MaxDifferences {
			break
		}
		fmt.Fprintln(e.Stdout, d)
	}
	for _, f := range findings {
		fmt.Fprintln(e.Stdout, f)
	}
	return nil
}

func (c *ReplayCommand) printReportJSON(e *Environment, replay *trace.ReplayResult, findings []promise.Finding, problem error) error {
	r := replayReport{
		Steps:       replay.Steps,
		Skipped:     replay.Skipped,
		Differences: len(replay.Differences),
	}
	for _, f := range findings {
		r.Promises = append(r.Promises, findingReport{
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
	encoder := json.NewEncoder(e.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// ExplainCommand prints the trace events for a request, a key or a time range.
type ExplainCommand struct {
	Files   []string      `arg:"" help:"Trace files. Multiple files are merged by timestamp and must have been recorded on the same machine."`
	Request string        `help:"Request ID, as in the Cuminlift-Request header."`
	Service string        `help:"Show only ownership events of this service."`
	Key     string        `name:"key" help:"Show only events that concern this key."`
	From    time.Duration `help:"Start time, on the clock of the trace."`
	To      time.Duration `help:"End time, on the clock of the trace; 0 for no limit."`
}

// Help returns the detailed help text.
func (c *ExplainCommand) Help() string {
	return "Example:\n  cuminlift explain --key seminar-7 --service calendar testdata/traces/upstream-killed.trace"
}

// Run implements the command.
func (c *ExplainCommand) Run(e *Environment) error {
	lines, problem := readTraces(c.Files)
	events := trace.Explain(lines, trace.Query{
		Request: c.Request,
		Service: c.Service,
		Hash:    xxhash.Sum64String(c.Key),
		HasHash: c.Key != "",
		From:    c.From,
		To:      c.To,
	})
	for _, line := range events {
		fmt.Fprintln(e.Stdout, line)
	}
	for _, f := range promise.Check(lines) {
		if f.Verdict == promise.Broken {
			fmt.Fprintln(e.Stdout, f)
		}
	}
	return problem
}
