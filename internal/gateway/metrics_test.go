package gateway_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestMetricsAreDocumented extracts the metric names from the code and checks that docs/METRICS.md has a row for each.
func TestMetricsAreDocumented(t *testing.T) {
	c := qt.New(t)
	page, err := os.ReadFile("../../docs/METRICS.md")
	c.Assert(err, qt.IsNil)
	_, section, found := strings.Cut(string(page), "## The gateway")
	c.Assert(found, qt.IsTrue)
	names := metricNames(c)
	c.Check(len(names) >= 7, qt.IsTrue, qt.Commentf("%v", names))
	for _, name := range names {
		c.Check(strings.Contains(section, "| "+name) || strings.Contains(section, "| events."+name), qt.IsTrue,
			qt.Commentf("%s has no row in docs/METRICS.md: describe what it counts, and its unit", name))
	}
}

// metricNames returns the string literals that the package's files pass as first argument to count, Add and Set. For a
// concatenated name it returns the first operand.
func metricNames(c *qt.C) []string {
	files, err := filepath.Glob("*.go")
	c.Assert(err, qt.IsNil)
	var names []string
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		tree, err := parser.ParseFile(token.NewFileSet(), file, nil, 0)
		c.Assert(err, qt.IsNil)
		ast.Inspect(tree, func(n ast.Node) bool {
			call, ok := n.(*ast.CallExpr)
			if !ok || len(call.Args) == 0 {
				return true
			}
			selector, ok := call.Fun.(*ast.SelectorExpr)
			if !ok || (selector.Sel.Name != "count" && selector.Sel.Name != "Add" && selector.Sel.Name != "Set") {
				return true
			}
			first := call.Args[0]
			if sum, ok := first.(*ast.BinaryExpr); ok {
				first = sum.X
			}
			if literal, ok := first.(*ast.BasicLit); ok && literal.Kind == token.STRING {
				name, err := strconv.Unquote(literal.Value)
				c.Assert(err, qt.IsNil)
				// Header names, which begin with a capital, are also passed to Set.
				if name == strings.ToLower(name) {
					names = append(names, name)
				}
			}
			return true
		})
	}
	return names
}
