package measure

import (
	"fmt"

	"gonum.org/v1/gonum/mat"
)

// linearFit is a least-squares fit to a table's columns: value = base + slope1*regressor1 + slope2*regressor2.
type linearFit struct {
	table, value           string
	regressor1, regressor2 string
}

var linearFits = []linearFit{
	{
		table:      "planning",
		value:      "plan-idle-us",
		regressor1: "slices",
		regressor2: "upstreams",
	},
	{
		table:      "planning",
		value:      "plan-loss-us",
		regressor1: "slices",
		regressor2: "upstreams",
	},
	{
		table:      "planning",
		value:      "document-bytes",
		regressor1: "slices",
		regressor2: "upstreams",
	},
	{
		table:      "planning",
		value:      "heap-kb",
		regressor1: "slices",
		regressor2: "upstreams",
	},
	{
		table:      "control",
		value:      "cpu-percent",
		regressor1: "grants-s",
		regressor2: "heartbeats-s",
	},
}

// FitTables fits the tables in the folder data. Tables that can't be read there are skipped.
func FitTables(data string) (*Table, error) {
	t := &Table{
		Name:    "fits",
		Columns: []string{"table", "value", "base", "regressor-1", "slope-1", "regressor-2", "slope-2", "error"},
	}
	for _, f := range linearFits {
		table, err := ReadTable(data, f.table)
		if err != nil {
			continue
		}
		if err := f.appendTo(t, table); err != nil {
			return nil, err
		}
	}
	return t, nil
}

// appendTo appends the fit of table to t as one row. Its error is the largest residual relative to the largest value.
func (f linearFit) appendTo(t, table *Table) error {
	x1, x2, y := table.Column(f.regressor1), table.Column(f.regressor2), table.Column(f.value)
	design := mat.NewDense(len(y), 3, nil)
	for i := range y {
		design.SetRow(i, []float64{1, x1[i], x2[i]})
	}
	var coefficients mat.VecDense
	if err := coefficients.SolveVec(design, mat.NewVecDense(len(y), y)); err != nil {
		return fmt.Errorf("fit %s of %s: %w: measure it at more sizes", f.value, f.table, err)
	}
	base, slope1, slope2 := coefficients.AtVec(0), coefficients.AtVec(1), coefficients.AtVec(2)
	maxObserved, maxResidual := 0.0, 0.0
	for i := range y {
		d := y[i] - base - slope1*x1[i] - slope2*x2[i]
		maxResidual = max(maxResidual, d, -d)
		maxObserved = max(maxObserved, y[i])
	}
	t.Add(f.table, f.value, base, f.regressor1, slope1, f.regressor2, slope2, maxResidual/maxObserved)
	return nil
}
