package measure

import (
	"fmt"

	"gonum.org/v1/gonum/mat"
)

// fit is a plane through a table's points: value = base + slope1*regressor1 + slope2*regressor2.
type fit struct {
	table, value           string
	regressor1, regressor2 string
}

var fits = []fit{
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

// FitTables returns the fits of the tables in data. A table that was not measured is left out.
func FitTables(data string) (*Table, error) {
	t := &Table{
		Name:    "fits",
		Columns: []string{"table", "value", "base", "regressor-1", "slope-1", "regressor-2", "slope-2", "error"},
	}
	for _, f := range fits {
		table, err := ReadTable(data, f.table)
		if err != nil {
			continue
		}
		if err := f.add(t, table); err != nil {
			return nil, err
		}
	}
	return t, nil
}

func (f fit) add(t, table *Table) error {
	x1, x2, y := table.Column(f.regressor1), table.Column(f.regressor2), table.Column(f.value)
	points := mat.NewDense(len(y), 3, nil)
	for i := range y {
		points.SetRow(i, []float64{1, x1[i], x2[i]})
	}
	var plane mat.VecDense
	if err := plane.SolveVec(points, mat.NewVecDense(len(y), y)); err != nil {
		return fmt.Errorf("fit %s of %s: %w: measure it at more sizes", f.value, f.table, err)
	}
	base, slope1, slope2 := plane.AtVec(0), plane.AtVec(1), plane.AtVec(2)
	top, miss := 0.0, 0.0
	for i := range y {
		d := y[i] - base - slope1*x1[i] - slope2*x2[i]
		miss = max(miss, d, -d)
		top = max(top, y[i])
	}
	t.Add(f.table, f.value, base, f.regressor1, slope1, f.regressor2, slope2, miss/top)
	return nil
}
