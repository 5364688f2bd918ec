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

// chart describes a line plot of y over x, with one line for each value of the series column.
type chart struct {
	file, title   string
	table         string
	x, y, series  string
	xLabel, yUnit string
	// filter selects rows by column value, nil for all rows.
	filter map[string]string
	// maxY drops points above it, 0 for none, so that a distant baseline does not flatten the other lines.
	maxY float64
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
		filter: map[string]string{
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
		filter: map[string]string{
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
		filter: map[string]string{
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

// Plots draws the charts of the tables in data as SVG files in folder, and returns the files. Tables that can't be read
// are skipped.
func Plots(data, folder string) ([]string, error) {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return nil, fmt.Errorf("create plot folder: %w", err)
	}
	var files []string
	for _, c := range charts {
		table, err := ReadTable(data, c.table)
		if err != nil {
			continue
		}
		file := filepath.Join(folder, c.file+".svg")
		if err := c.draw(table, file); err != nil {
			return files, err
		}
		files = append(files, file)
	}
	return files, nil
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
	for _, name := range c.seriesNames(table) {
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

// seriesNames returns the distinct values of the series column in order of appearance, or one empty name if the chart
// has no series column.
func (c chart) seriesNames(table *Table) []string {
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
		if (series != "" && table.Cell(i, c.series) != series) || !c.matchesFilter(table, i) {
			continue
		}
		if c.maxY > 0 && ys[i] > c.maxY {
			continue
		}
		points = append(points, plotter.XY{
			X: xs[i],
			Y: ys[i],
		})
	}
	return points
}

func (c chart) matchesFilter(table *Table, row int) bool {
	for column, value := range c.filter {
		if table.Cell(row, column) != value {
			return false
		}
	}
	return true
}

// Cell returns the value in a row and column, or "" if there is no such column.
func (t *Table) Cell(row int, column string) string {
	for i, c := range t.Columns {
		if c == column {
			return t.Rows[row][i]
		}
	}
	return ""
}

// tableStart and tableEnd delimit a generated table in a page. The table's name and "-->" follow tableStart.
const (
	tableStart = "<!-- table:"
	tableEnd   = "<!-- end -->"
)

// UpdatePage replaces the generated tables of a page by those in data. A table is delimited by "<!-- table: NAME -->"
// and "<!-- end -->".
func UpdatePage(page, data string) error {
	text, err := os.ReadFile(page)
	if err != nil {
		return fmt.Errorf("update page: %w", err)
	}
	var out strings.Builder
	rest := string(text)
	for {
		before, after, found := strings.Cut(rest, tableStart)
		out.WriteString(before)
		if !found {
			break
		}
		name, _, _ := strings.Cut(after, "-->")
		_, rest, found = strings.Cut(after, tableEnd)
		if !found {
			return fmt.Errorf("%s: table %q has no end: add %q", page, strings.TrimSpace(name), tableEnd)
		}
		body := "not measured yet\n"
		if table, err := ReadTable(data, strings.TrimSpace(name)); err == nil {
			body = table.Markdown()
		}
		fmt.Fprintf(&out, "%s%s-->\n%s%s", tableStart, name, body, tableEnd)
	}
	return os.WriteFile(page, []byte(out.String()), 0o644)
}
