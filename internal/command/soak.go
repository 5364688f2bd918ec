package command

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"cuminlift/internal/mutant"
	"cuminlift/internal/soak"
)

// SoakCommand runs the programs against stand-ins of the operators' platform with random faults.
type SoakCommand struct {
	Seed      uint64        `help:"Seed of the schedule." default:"1"`
	Seeds     int           `help:"Number of seeds to run, one after another, from --seed on." default:"1"`
	Duration  time.Duration `help:"Duration of each run." default:"60s"`
	Instances int           `help:"Number of instances." default:"5"`
	Backends  int           `help:"Number of backends." default:"8"`
	Schedule  string        `help:"File with a schedule to play instead of one drawn from the seed." placeholder:"FILE"`
	Shorten   bool          `help:"Drop faults from a schedule that breaks a promise as long as it still does, and write the rest."`
	Programs  string        `help:"Folder with the programs; built from the sources in the current folder if empty." placeholder:"DIR"`
	Mutant    string        `help:"Fault to plant in the instances, to see that the checks find it." placeholder:"NAME"`
	Logs      string        `help:"Folder for logs, settings and schedules; a temporary one if empty." placeholder:"DIR"`
}

// Help returns the detailed help text.
func (c *SoakCommand) Help() string {
	return "Starts a store, instances and backends as processes on loopback, sends requests, injects the faults of the schedule, and checks the promises from what callers and backends saw. If a promise breaks, it prints the story, names the schedule's file and exits with 1."
}

// Run implements the command.
func (c *SoakCommand) Run(e *Environment) error {
	// The command ends its processes before it ends.
	ctx, stop := signal.NotifyContext(e.Context, syscall.SIGHUP)
	defer stop()
	logs := c.Logs
	if logs == "" {
		folder, err := os.MkdirTemp("", "cuminlift-soak-")
		if err != nil {
			return err
		}
		logs = folder
	}
	config := soak.Config{
		Programs: c.Programs,
		Mutant:   mutant.Name(c.Mutant),
	}
	if config.Programs == "" {
		config.Programs = filepath.Join(logs, "programs")
		if err := c.build(ctx, e, config.Programs); err != nil {
			return err
		}
	}
	broken := 0
	for i := range c.Seeds {
		found, err := c.play(ctx, e, config, logs, c.Seed+uint64(i))
		if err != nil {
			return err
		}
		if found {
			broken++
		}
	}
	if broken > 0 {
		return &ExitError{
			Code:  ExitFailure,
			Cause: fmt.Errorf("%d of %d runs broke a promise", broken, c.Seeds),
		}
	}
	return nil
}

// build builds the programs into a folder.
func (c *SoakCommand) build(ctx context.Context, e *Environment, folder string) error {
	args := []string{"build", "-o", folder + string(filepath.Separator)}
	if c.Mutant != "" {
		args = append(args, "-tags", "mutant")
	}
	command := exec.CommandContext(ctx, "go", append(args, "./cmd/cuminlift-gateway", "./cmd/cuminlift-standin")...)
	command.Stdout, command.Stderr = e.Stdout, e.Stderr
	if err := errors.Join(os.MkdirAll(folder, 0o755), command.Run()); err != nil {
		return fmt.Errorf("building the programs failed: run in the folder of the sources, or set --programs: %w", err)
	}
	return nil
}

// play runs one seed and reports whether a promise broke.
func (c *SoakCommand) play(ctx context.Context, e *Environment, config soak.Config, logs string, seed uint64) (broken bool, err error) {
	schedule := soak.Draw(seed, c.Duration, c.Instances, c.Backends)
	if c.Schedule != "" {
		if schedule, err = soak.ReadSchedule(c.Schedule); err != nil {
			return false, err
		}
	}
	if config.Folder, err = soak.NewFolder(logs, schedule.Seed); err != nil {
		return false, err
	}
	file := filepath.Join(config.Folder, "schedule.json")
	if err := schedule.Write(file); err != nil {
		return false, err
	}
	began := time.Now()
	summary, err := soak.Run(ctx, config, schedule)
	if err != nil {
		return false, err
	}
	fmt.Fprintf(e.Stdout, "seed %d: %d faults, %d requests (%d answered, %d refused, %d dropped, %d left), %d runs, %d violations, %.0f s\n",
		schedule.Seed, len(schedule.Faults), summary.Requests, summary.Answered, summary.Refused, summary.Dropped, summary.Left, summary.Runs,
		len(summary.Violations), time.Since(began).Seconds())
	const maxStories = 5
	for i, v := range summary.Violations {
		if i == maxStories {
			break
		}
		fmt.Fprintf(e.Stdout, "broken: %s\n", v.Promise)
		for _, line := range v.Story {
			fmt.Fprintf(e.Stdout, "  %s\n", line)
		}
	}
	if len(summary.Violations) == 0 {
		return false, nil
	}
	fmt.Fprintf(e.Stdout, "schedule: %s\n", file)
	if c.Shorten {
		shorter, err := soak.Shorten(ctx, config, schedule)
		if err != nil {
			return true, err
		}
		short := filepath.Join(config.Folder, "shortened.json")
		fmt.Fprintf(e.Stdout, "shortened to %d faults: %s\n", len(shorter.Faults), short)
		return true, shorter.Write(short)
	}
	return true, nil
}
