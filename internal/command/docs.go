package command

import (
	"github.com/alecthomas/kong"

	"cuminlift/internal/reference"
)

// DocsCommand prints the command reference in Markdown, generated from the command tree.
type DocsCommand struct{}

// Run implements the command.
func (c *DocsCommand) Run(e *Environment, parser *kong.Kong) error {
	reference.Write(e.Stdout, parser)
	return nil
}
