package command

import (
	"encoding/json"
	"fmt"
	"os"

	"cuminlift/core/promise"
	"cuminlift/core/trace"
)

// ReplayCommand runs a trace again.
type ReplayCommand struct {
	File   string `arg:"" help:"Trace file."`
	Format string `help:"Output for people (text) or programs (json)." enum:"text,json" default:"text"`
	Most   int    `help:"Differences shown at the most." default:"10"`
}

// Help returns examples.
func (c *ReplayCommand) Help() string {
	return "Exit code 1 tells of a broken promise, of a decision that differs, or of a trace that is cut; what was valid up to there is still reported.\n\nExample:\n  cuminlift replay testdata/traces/upstream-killed.trace"
}

// replayReport is the report for programs.
type replayReport struct {
	Steps       int               `json:"steps"`
	Skipped     int               `json:"skipped"`
	Differences int               `json:"differences"`
	Promises    []promise.Finding `json:"promises"`
	Problem     string            `json:"problem"`
}

// Run implements the command.
func (c *ReplayCommand) Run(e *Environment) error {
	file, err := os.Open(c.File)
	if err != nil {
		return fmt.Errorf("%w: give the path of a trace", err)
	}
	defer file.Close()
	lines, problem := trace.Read(file)
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

func (c *ReplayCommand) report(e *Environment, replay *trace.Replay, findings []promise.Finding, problem error) error {
	if c.Format == "json" {
		r := replayReport{
			Steps:       replay.Steps,
			Skipped:     replay.Skipped,
			Differences: len(replay.Differences),
			Promises:    findings,
		}
		if problem != nil {
			r.Problem = problem.Error()
		}
		encoder := json.NewEncoder(e.Out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(r)
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
