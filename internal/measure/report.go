package measure

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

// chart is one plot: lines of y over x, one for each value of the series column.
type chart struct {
	file, title   string
	table         string
	x, y, series  string
	xLabel, yUnit string
	// keep selects rows by their values, nil for all.
	keep map[string]string
	// most leaves out values above it, 0 for none: a baseline far off would hide the rest.
	most float64
}

var charts = []chart{
	{
		file:   "tail-slowed-16",
		title:  "p99 of browsing with slowed upstreams, 16 upstreams at 50% load",
		table:  "policy",
		x:      "slowed",
		y:      "p99-ms",
		series: "policy",
		xLabel: "upstreams slowed tenfold",
		yUnit:  "ms",
		keep: map[string]string{
			"upstreams": "16",
			"load":      "0.5",
		},
	},
	{
		file:   "tail-slowed-6",
		title:  "p99 of browsing with slowed upstreams, 6 upstreams at 50% load",
		table:  "policy",
		x:      "slowed",
		y:      "p99-ms",
		series: "policy",
		xLabel: "upstreams slowed tenfold",
		yUnit:  "ms",
		keep: map[string]string{
			"upstreams": "6",
			"load":      "0.5",
		},
	},
	{
		file:   "goodput-load",
		title:  "Goodput over offered load, 16 upstreams",
		table:  "policy",
		x:      "load",
		y:      "goodput",
		series: "policy",
		xLabel: "offered load as a part of capacity",
		yUnit:  "requests/s in time",
		keep: map[string]string{
			"upstreams": "16",
			"slowed":    "0",
		},
	},
	{
		file:   "control-bytes",
		title:  "Heartbeat bytes of one instance over the number of instances",
		table:  "control",
		x:      "instances",
		y:      "bytes-s",
		xLabel: "instances",
		yUnit:  "bytes/s",
	},
	{
		file:   "plan-time",
		title:  "Time of one plan over slices",
		table:  "planning",
		x:      "slices",
		y:      "plan-loss-us",
		xLabel: "slices",
		yUnit:  "microseconds",
	},
	{
		file:   "forward-p99",
		title:  "p99 of one instance against a bare forwarder",
		table:  "forward",
		x:      "offered-s",
		y:      "p99-ms",
		series: "way",
		xLabel: "requests/s offered",
		yUnit:  "ms",
	},
}

// Plots makes the plots in folder from the tables in data. A table that was not measured is left out.
func Plots(data, folder string) ([]string, error) {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return nil, fmt.Errorf("make folder for plots: %w", err)
	}
	var made []string
	for _, c := range charts {
		table, err := ReadTable(data, c.table)
		if err != nil {
			continue
		}
		file := filepath.Join(folder, c.file+".svg")
		if err := c.draw(table, file); err != nil {
			return made, err
		}
		made = append(made, file)
	}
	return made, nil
}

func (c chart) draw(table *Table, file string) error {
	p := plot.New()
	p.Title.Text = c.title
	p.X.Label.Text = c.xLabel
	p.Y.Label.Text = c.yUnit
	p.Y.Min = 0
	p.Legend.Top = true
	p.Legend.Left = true
	var lines []any
	for _, name := range c.seriesOf(table) {
		points := c.points(table, name)
		if len(points) == 0 {
			continue
		}
		if name != "" {
			lines = append(lines, name)
		}
		lines = append(lines, points)
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return fmt.Errorf("plot %s: %w", c.file, err)
	}
	if err := p.Save(plotWidth, plotHeight, file); err != nil {
		return fmt.Errorf("write plot: %w", err)
	}
	return nil
}

// seriesOf returns the values of the series column in their order, or one empty name.
func (c chart) seriesOf(table *Table) []string {
	if c.series == "" {
		return []string{""}
	}
	var names []string
	seen := map[string]bool{}
	for i := range table.Rows {
		name := table.Cell(i, c.series)
		if !seen[name] {
			seen[name] = true
			names = append(names, name)
		}
	}
	return names
}

func (c chart) points(table *Table, series string) plotter.XYs {
	xs, ys := table.Column(c.x), table.Column(c.y)
	var points plotter.XYs
	for i := range table.Rows {
		if (series != "" && table.Cell(i, c.series) != series) || !c.keeps(table, i) {
			continue
		}
		if c.most > 0 && ys[i] > c.most {
			continue
		}
		points = append(points, plotter.XY{
			X: xs[i],
			Y: ys[i],
		})
	}
	return points
}

func (c chart) keeps(table *Table, row int) bool {
	for column, value := range c.keep {
		if table.Cell(row, column) != value {
			return false
		}
	}
	return true
}

// Cell returns a cell, or "" where there is none.
func (t *Table) Cell(row int, column string) string {
	for i, c := range t.Columns {
		if c == column {
			return t.Rows[row][i]
		}
	}
	return ""
}

// tableMark starts and endMark ends a table in a page that UpdatePage fills in.
const (
	tableMark = "<!-- table:"
	endMark   = "<!-- end -->"
)

// UpdatePage replaces the tables of a page by those in data. A table stands between "<!-- table: NAME -->" and "<!-- end -->".
func UpdatePage(page, data string) error {
	text, err := os.ReadFile(page)
	if err != nil {
		return fmt.Errorf("update page: %w", err)
	}
	var out strings.Builder
	rest := string(text)
	for {
		before, after, found := strings.Cut(rest, tableMark)
		out.WriteString(before)
		if !found {
			break
		}
		name, _, _ := strings.Cut(after, "-->")
		_, rest, found = strings.Cut(after, endMark)
		if !found {
			return fmt.Errorf("%s: table %q has no end: add %q", page, strings.TrimSpace(name), endMark)
		}
		body := "not measured yet\n"
		if table, err := ReadTable(data, strings.TrimSpace(name)); err == nil {
			body = table.Markdown()
		}
		fmt.Fprintf(&out, "%s%s-->\n%s%s", tableMark, name, body, endMark)
	}
	return os.WriteFile(page, []byte(out.String()), 0o644)
}
