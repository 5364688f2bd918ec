package command

import (
	"fmt"

	"cuminlift/internal/measure"
)

// ReportCommand makes plots and fills in the tables of pages.
type ReportCommand struct {
	Data  string   `help:"Folder of the tables." default:"docs/data"`
	Plots string   `help:"Folder for the plots." default:"docs/plots"`
	Pages []string `help:"Pages whose tables are filled in." default:"docs/MEASURES.md,docs/CAPACITY.md"`
}

// Run implements the command.
func (c *ReportCommand) Run(e *Environment) error {
	made, err := measure.Plots(c.Data, c.Plots)
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
	for _, file := range made {
		fmt.Fprintln(e.Out, file)
	}
	for _, page := range c.Pages {
		if err := measure.UpdatePage(page, c.Data); err != nil {
			return err
		}
		fmt.Fprintln(e.Out, page)
	}
	return nil
}
