package command

import (
	"time"

	"cuminlift/internal/traffic"
)

// LoadCommand sends requests to instances.
type LoadCommand struct {
	Targets []string      `arg:"" help:"Base URLs of instances, as in http://127.0.0.1:7000."`
	Method  string        `help:"Method." default:"GET"`
	Path    string        `help:"Path with %d in the place of the key's number." default:"/calendar/seminar-%d"`
	Keys    uint64        `help:"Number of keys." default:"10000"`
	Skew    float64       `help:"Exponent of Zipf's law above 1 for hot keys; 0 for none." default:"0"`
	Rate    float64       `help:"Requests a second." default:"100"`
	Length  time.Duration `help:"How long." default:"10s"`
	Seed    uint64        `help:"Seed of the random times and keys." default:"1"`
	Repeat  bool          `help:"Send an idempotency key with each request."`
}

// Run implements the command.
func (c *LoadCommand) Run(e *Environment) error {
	traffic.PrintResults(e.Out, traffic.Run(e.Context, traffic.Config{
		Targets:  c.Targets,
		Duration: c.Length,
		Seed:     c.Seed,
		Timeout:  time.Minute,
		Kinds: []traffic.RequestKind{{
			Name:           "request",
			Method:         c.Method,
			Path:           c.Path,
			Keys:           max(1, c.Keys),
			Skew:           c.Skew,
			Rate:           c.Rate,
			IdempotencyKey: c.Repeat,
		}},
	}))
	return nil
}
