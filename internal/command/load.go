package command

import (
	"time"

	"cuminlift/internal/traffic"
)

// LoadCommand generates load on instances.
type LoadCommand struct {
	Targets         []string      `arg:"" help:"Base URLs of instances, for example http://127.0.0.1:7000."`
	Method          string        `help:"HTTP method." default:"GET"`
	Path            string        `help:"Request path; %d is replaced by the key number." default:"/calendar/seminar-%d"`
	Keys            uint64        `help:"Number of distinct keys." default:"10000"`
	Skew            float64       `help:"Zipf exponent of the key distribution, above 1; 0 for uniform keys." default:"0"`
	Rate            float64       `help:"Requests per second." default:"100"`
	Length          time.Duration `help:"Duration of the run." default:"10s"`
	Seed            uint64        `help:"Random seed for arrival times and keys." default:"1"`
	IdempotencyKeys bool          `name:"repeat" help:"Send an idempotency key with each request."`
}

// Run implements the command.
func (c *LoadCommand) Run(e *Environment) error {
	traffic.PrintResults(e.Stdout, traffic.Run(e.Context, traffic.Config{
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
			IdempotencyKey: c.IdempotencyKeys,
		}},
	}))
	return nil
}
