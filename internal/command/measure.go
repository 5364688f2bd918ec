package command

import (
	"fmt"
	"strings"
	"time"

	"cuminlift/internal/measure"
	"cuminlift/internal/tryout"
)

// MeasureCommand measures slopes and policies.
type MeasureCommand struct {
	What     []string      `arg:"" optional:"" help:"Experiments; all if empty."`
	Out      string        `help:"Folder for the tables." default:"docs/data"`
	Length   time.Duration `help:"Length of each case with processes' parts." default:"5s"`
	Rounds   int           `help:"Runs of each loss and change." default:"20"`
	Requests int           `help:"Requests in each case of the policy experiment." default:"50000"`
}

// Run implements the command.
func (c *MeasureCommand) Run(e *Environment) error {
	folder, remove, err := tryout.TemporaryFolder()
	if err != nil {
		return err
	}
	defer remove()
	experiments := c.experiments(folder)
	for _, name := range c.names() {
		experiment := experiments[name]
		if experiment == nil {
			return fmt.Errorf("%q is no experiment: use %s", name, strings.Join(measure.ExperimentNames, ", "))
		}
		table, err := experiment()
		if err != nil {
			return err
		}
		if err := table.Write(c.Out); err != nil {
			return err
		}
		fmt.Fprintf(e.Out, "%s:\n%s\n", table.Name, table.Markdown())
	}
	return nil
}

// experiments returns what measures each table.
func (c *MeasureCommand) experiments(folder string) map[string]func() (*measure.Table, error) {
	pure := func(f func() *measure.Table) func() (*measure.Table, error) {
		return func() (*measure.Table, error) { return f(), nil }
	}
	return map[string]func() (*measure.Table, error){
		"policy":   pure(func() *measure.Table { return measure.DispatchPolicies(c.Requests) }),
		"planning": pure(measure.PlanningCost),
		"balance":  pure(measure.LoadImbalance),
		"churn":    pure(measure.Churn),
		"hotkeys":  pure(measure.HotKeyDetection),
		"control":  func() (*measure.Table, error) { return measure.ControlOverhead(folder, c.Length) },
		"inforce":  func() (*measure.Table, error) { return measure.ConfigurationDelay(folder, c.Rounds) },
		"failover": func() (*measure.Table, error) { return measure.Failover(folder, c.Rounds) },
		"stops":    func() (*measure.Table, error) { return measure.PlannedStops(folder, c.Rounds) },
		"forward":  func() (*measure.Table, error) { return measure.ForwardingLatency(folder, c.Length) },
	}
}

func (c *MeasureCommand) names() []string {
	if len(c.What) == 0 {
		return measure.ExperimentNames
	}
	return c.What
}
