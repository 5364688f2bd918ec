// Package measure runs the experiments behind docs/CAPACITY.md and docs/MEASURES.md. Each writes a table as CSV, and
// plots are made from the tables alone.
package measure

import (
	"encoding/csv"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// Table is a measured table. All rows have as many values as there are columns.
type Table struct {
	// Name is the file's name without its ending.
	Name    string
	Columns []string
	Rows    [][]string
}

// Add appends a row of values.
func (t *Table) Add(values ...any) {
	row := make([]string, 0, len(values))
	for _, v := range values {
		row = append(row, format(v))
	}
	t.Rows = append(t.Rows, row)
}

func format(v any) string {
	if f, ok := v.(float64); ok {
		return strconv.FormatFloat(f, 'g', 5, 64)
	}
	return fmt.Sprint(v)
}

// Write stores the table in folder.
func (t *Table) Write(folder string) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return fmt.Errorf("make folder for data: %w", err)
	}
	file, err := os.Create(filepath.Join(folder, t.Name+".csv"))
	if err != nil {
		return fmt.Errorf("write data: %w", err)
	}
	defer file.Close()
	w := csv.NewWriter(file)
	if err := w.Write(t.Columns); err != nil {
		return fmt.Errorf("write data: %w", err)
	}
	if err := w.WriteAll(t.Rows); err != nil {
		return fmt.Errorf("write data: %w", err)
	}
	return nil
}

// ReadTable loads the table called name from folder.
func ReadTable(folder, name string) (*Table, error) {
	file, err := os.Open(filepath.Join(folder, name+".csv"))
	if err != nil {
		return nil, fmt.Errorf("%w: run \"cuminlift measure\" first", err)
	}
	defer file.Close()
	rows, err := csv.NewReader(file).ReadAll()
	if err != nil || len(rows) == 0 {
		return nil, fmt.Errorf("%s.csv can't be read (%w): measure it again", name, err)
	}
	return &Table{
		Name:    name,
		Columns: rows[0],
		Rows:    rows[1:],
	}, nil
}

// Markdown returns the table for a page.
func (t *Table) Markdown() string {
	var b strings.Builder
	fmt.Fprintf(&b, "| %s |\n|%s\n", strings.Join(t.Columns, " | "), strings.Repeat(" --- |", len(t.Columns)))
	for _, row := range t.Rows {
		fmt.Fprintf(&b, "| %s |\n", strings.Join(row, " | "))
	}
	return b.String()
}

// Column returns a column's values as numbers; a value that is none counts as 0.
func (t *Table) Column(name string) []float64 {
	for i, c := range t.Columns {
		if c != name {
			continue
		}
		values := make([]float64, 0, len(t.Rows))
		for _, row := range t.Rows {
			v, err := strconv.ParseFloat(row[i], 64)
			if err != nil {
				v = 0
			}
			values = append(values, v)
		}
		return values
	}
	return nil
}

// ExperimentNames are the names of all experiments, in the order in which they run.
var ExperimentNames = []string{"policy", "planning", "balance", "churn", "hotkeys", "control", "inforce", "failover", "forward", "stops"}
