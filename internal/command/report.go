package command

import (
	"fmt"

	"cuminlift/internal/measure"
)

// ReportCommand generates plots and updates the tables in documentation pages.
type ReportCommand struct {
	Data  string   `help:"Folder with the measured tables." default:"docs/data"`
	Plots string   `help:"Output folder for the plots." default:"docs/plots"`
	Pages []string `help:"Documentation pages whose tables are updated." default:"docs/MEASURES.md,docs/CAPACITY.md"`
}

// Run implements the command.
func (c *ReportCommand) Run(e *Environment) error {
	plots, err := measure.Plots(c.Data, c.Plots)
	if err != nil {
		return err
	}
	fits, err := measure.FitTables(c.Data)
	if err != nil {
		return err
	}
	if err := fits.Write(c.Data); err != nil {
		return err
	}
	for _, file := range plots {
		fmt.Fprintln(e.Stdout, file)
	}
	for _, page := range c.Pages {
		if err := measure.UpdatePage(page, c.Data); err != nil {
			return err
		}
		fmt.Fprintln(e.Stdout, page)
	}
	return nil
}
