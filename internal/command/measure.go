package command

// MeasureCommand measures slopes and policies.
type MeasureCommand struct{}

// Run implements the command.
func (c *MeasureCommand) Run(e *Environment) error { return nil }
