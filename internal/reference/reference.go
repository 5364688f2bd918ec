// Package reference generates the command reference of a program from its kong command tree.
package reference

import (
	"fmt"
	"io"
	"strings"

	"github.com/alecthomas/kong"
)

// Write writes the command reference of a program in Markdown.
func Write(w io.Writer, parser *kong.Kong) {
	fmt.Fprintf(w, "## %s\n\n%s\n\n", parser.Model.Name, parser.Model.Help)
	writeNode(w, parser.Model.Name, parser.Model.Node)
}

func writeNode(w io.Writer, path string, node *kong.Node) {
	for _, child := range node.Children {
		if child.Hidden {
			continue
		}
		full := path + " " + child.Name
		if len(child.Children) > 0 {
			writeNode(w, full, child)
			continue
		}
		writeLeaf(w, full, child)
	}
}

func writeLeaf(w io.Writer, path string, node *kong.Node) {
	arguments := ""
	for _, a := range node.Positional {
		arguments += " " + a.Summary()
	}
	fmt.Fprintf(w, "### `%s%s`\n\n%s\n\n", path, arguments, node.Help)
	if node.Detail != "" {
		fmt.Fprintf(w, "```\n%s\n```\n\n", strings.TrimSpace(node.Detail))
	}
	if len(node.Positional)+len(node.Flags) == 0 {
		return
	}
	fmt.Fprint(w, "| flag or argument | meaning | default |\n| --- | --- | --- |\n")
	for _, a := range node.Positional {
		fmt.Fprintf(w, "| `%s` | %s | %s |\n", a.Name, a.Help, a.Default)
	}
	for _, f := range node.Flags {
		if f.Hidden {
			continue
		}
		fmt.Fprintf(w, "| `--%s` | %s | %s |\n", f.Name, f.Help, f.Default)
	}
	fmt.Fprintln(w)
}
