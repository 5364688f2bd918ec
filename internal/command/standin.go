package command

import (
	"fmt"
	"os"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"cuminlift/internal/standin/platform"
	"cuminlift/internal/standin/upstream"
	"cuminlift/schema"
)

// Standin is the command tree of cuminlift-standin.
type Standin struct {
	Platform PlatformCommand `cmd:"" help:"Run a platform: table, object store and instance list."`
	Upstream UpstreamCommand `cmd:"" help:"Run an upstream."`
	Docs     DocsCommand     `cmd:"" hidden:"" help:"Print the command reference."`
}

// PlatformCommand runs a platform stand-in.
type PlatformCommand struct {
	Listen string `help:"Address to listen on." default:"127.0.0.1:7900"`
	List   string `help:"File with the instance list, JSON with an \"upstreams\" field."`
}

// Help returns examples.
func (c *PlatformCommand) Help() string {
	return "POST {\"down\":true}, {\"delay-ms\":800} or {\"lose-answers\":1} to /control/faults to make it fail."
}

// Run implements the command.
func (c *PlatformCommand) Run(e *Environment) error {
	p := platform.New()
	if c.List != "" {
		text, err := os.ReadFile(c.List)
		if err != nil {
			return err
		}
		list := &schema.InstanceList{}
		if err := protojson.Unmarshal(text, list); err != nil {
			return fmt.Errorf("%s: %w: write {\"upstreams\":[{\"name\":…}]}", c.List, err)
		}
		p.SetInstanceList(list)
	}
	if err := p.Listen(c.Listen); err != nil {
		return err
	}
	fmt.Fprintln(e.Out, "platform listens on", p.Address())
	<-e.Context.Done()
	p.Close()
	return nil
}

// UpstreamCommand runs an upstream stand-in.
type UpstreamCommand struct {
	Name    string        `help:"Name, as in the platform's list." required:""`
	Listen  string        `help:"Address to listen on." default:"127.0.0.1:0"`
	Keyed   bool          `help:"Refuse keys that it does not own."`
	Slots   int           `help:"Requests at a time." default:"2"`
	Work    time.Duration `help:"Time for a request." default:"3ms"`
	Connect time.Duration `help:"Time for a new connection." default:"1ms"`
	Cold    time.Duration `help:"Length of a cold start." default:"3s"`
}

// Run implements the command.
func (c *UpstreamCommand) Run(e *Environment) error {
	u := upstream.New(upstream.Config{
		Name:            c.Name,
		Keyed:           c.Keyed,
		Slots:           c.Slots,
		Work:            c.Work,
		Connect:         c.Connect,
		Cold:            c.Cold,
		ColdStartFactor: 5,
	})
	if err := u.Listen(c.Listen); err != nil {
		return err
	}
	fmt.Fprintln(e.Out, c.Name, "listens on", u.Address())
	<-e.Context.Done()
	u.Close()
	return nil
}
