package command

import (
	"fmt"
	"strings"

	"cuminlift/internal/measure"
)

// MeasureCommand measures slopes and policies.
type MeasureCommand struct {
	What     []string `arg:"" optional:"" help:"Experiments: policy. All if empty."`
	Out      string   `help:"Folder for the tables." default:"docs/data"`
	Requests int      `help:"Requests in each case of the policy experiment." default:"50000"`
}

// Run implements the command.
func (c *MeasureCommand) Run(e *Environment) error {
	experiments := map[string]func() (*measure.Table, error){
		"policy": func() (*measure.Table, error) { return measure.Policies(c.Requests), nil },
	}
	for _, name := range c.names() {
		experiment := experiments[name]
		if experiment == nil {
			return fmt.Errorf("%q is no experiment: use %s", name, strings.Join(measure.Experiments, ", "))
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

func (c *MeasureCommand) names() []string {
	if len(c.What) == 0 {
		return measure.Experiments
	}
	return c.What
}
