package command

import (
	"fmt"
	"strings"
	"time"

	"cuminlift/internal/measure"
	"cuminlift/internal/tryout"
)

// MeasureCommand runs the benchmark experiments and writes their result tables.
type MeasureCommand struct {
	Names    []string      `arg:"" name:"what" optional:"" help:"Experiments to run; all if empty."`
	Out      string        `help:"Output folder for the tables." default:"docs/data"`
	Length   time.Duration `help:"Duration of each case of the control and forward experiments." default:"5s"`
	Rounds   int           `help:"Repetitions of each failure and configuration change." default:"20"`
	Requests int           `help:"Requests per case of the policy experiment." default:"50000"`
}

// Run implements the command.
func (c *MeasureCommand) Run(e *Environment) error {
	folder, remove, err := tryout.TemporaryFolder()
	if err != nil {
		return err
	}
	defer remove()
	experiments := c.experiments(folder)
	for _, name := range c.selectedExperiments() {
		experiment := experiments[name]
		if experiment == nil {
			return fmt.Errorf("unknown experiment %q: use one of %s", name, strings.Join(measure.ExperimentNames, ", "))
		}
		table, err := experiment()
		if err != nil {
			return err
		}
		if err := table.Write(c.Out); err != nil {
			return err
		}
		fmt.Fprintf(e.Stdout, "%s:\n%s\n", table.Name, table.Markdown())
	}
	return nil
}

// experiments maps the name of each experiment to the function that runs it.
func (c *MeasureCommand) experiments(folder string) map[string]func() (*measure.Table, error) {
	infallible := func(f func() *measure.Table) func() (*measure.Table, error) {
		return func() (*measure.Table, error) { return f(), nil }
	}
	return map[string]func() (*measure.Table, error){
		"policy":   infallible(func() *measure.Table { return measure.DispatchPolicies(c.Requests) }),
		"planning": infallible(measure.PlanningCost),
		"balance":  infallible(measure.LoadImbalance),
		"churn":    infallible(measure.Churn),
		"hotkeys":  infallible(measure.HotKeyDetection),
		"control":  func() (*measure.Table, error) { return measure.ControlOverhead(folder, c.Length) },
		"inforce":  func() (*measure.Table, error) { return measure.ConfigurationDelay(folder, c.Rounds) },
		"failover": func() (*measure.Table, error) { return measure.Failover(folder, c.Rounds) },
		"stops":    func() (*measure.Table, error) { return measure.PlannedStops(folder, c.Rounds) },
		"forward":  func() (*measure.Table, error) { return measure.ForwardingLatency(folder, c.Length) },
	}
}

func (c *MeasureCommand) selectedExperiments() []string {
	if len(c.Names) == 0 {
		return measure.ExperimentNames
	}
	return c.Names
}
