// Package measure runs the experiments behind docs/CAPACITY.md and docs/MEASURES.md. Each experiment yields a table that
// is stored as CSV; plots and fits are generated from the stored tables alone.
package measure

import (
	"encoding/csv"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// Table holds the results of an experiment. Every row has one value per column.
type Table struct {
	// Name is the file name without its extension.
	Name    string
	Columns []string
	Rows    [][]string
}

// Add appends a row. Floating-point values are written with five significant digits.
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

// Write stores the table as a CSV file in folder, which is created if missing.
func (t *Table) Write(folder string) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return fmt.Errorf("create data folder: %w", err)
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

// ReadTable reads the table with this name from folder.
func ReadTable(folder, name string) (*Table, error) {
	file, err := os.Open(filepath.Join(folder, name+".csv"))
	if err != nil {
		return nil, fmt.Errorf("%w: run \"cuminlift measure\" first", err)
	}
	defer file.Close()
	rows, err := csv.NewReader(file).ReadAll()
	if err != nil || len(rows) == 0 {
		return nil, fmt.Errorf("%s.csv is invalid (%w): run \"cuminlift measure\" again", name, err)
	}
	return &Table{
		Name:    name,
		Columns: rows[0],
		Rows:    rows[1:],
	}, nil
}

// Markdown returns the table in Markdown syntax.
func (t *Table) Markdown() string {
	var b strings.Builder
	fmt.Fprintf(&b, "| %s |\n|%s\n", strings.Join(t.Columns, " | "), strings.Repeat(" --- |", len(t.Columns)))
	for _, row := range t.Rows {
		fmt.Fprintf(&b, "| %s |\n", strings.Join(row, " | "))
	}
	return b.String()
}

// Column returns the values of a column as numbers, with 0 for values that are not numeric, or nil if there is no such
// column.
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

// ExperimentNames lists all experiments in the order in which they run.
var ExperimentNames = []string{"policy", "planning", "balance", "churn", "hotkeys", "control", "inforce", "failover", "forward", "stops"}
