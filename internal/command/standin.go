package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"cuminlift/internal/standin/backend"
	"cuminlift/internal/standin/platform"
	"cuminlift/internal/standin/rowserver"
	"cuminlift/internal/standin/upstream"
	"cuminlift/schema"
)

// Standin is the command tree of cuminlift-standin.
type Standin struct {
	Platform PlatformCommand `cmd:"" help:"Run a platform with table, object store and instance list."`
	Upstream UpstreamCommand `cmd:"" help:"Run an upstream."`
	Store    StoreCommand    `cmd:"" help:"Run the store of the operators' platform."`
	Backend  BackendCommand  `cmd:"" help:"Run a backend of the operators' platform."`
	Docs     DocsCommand     `cmd:"" hidden:"" help:"Print the command reference."`
}

// PlatformCommand runs a platform stand-in.
type PlatformCommand struct {
	Listen string `help:"Address to listen on." default:"127.0.0.1:7900"`
	List   string `help:"JSON file with the instance list in the \"upstreams\" field."`
}

// Help returns the detailed help text.
func (c *PlatformCommand) Help() string {
	return "POST {\"down\":true}, {\"delay-ms\":800} or {\"lose-answers\":1} to /control/faults to inject faults."
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
			return fmt.Errorf("%s: %w: expected {\"upstreams\":[{\"name\":…}]}", c.List, err)
		}
		p.SetInstanceList(list)
	}
	if err := p.Listen(c.Listen); err != nil {
		return err
	}
	fmt.Fprintln(e.Stdout, "platform listens on", p.Address())
	<-e.Context.Done()
	p.Close()
	return nil
}

// UpstreamCommand runs an upstream stand-in.
type UpstreamCommand struct {
	Name    string        `help:"Name of the upstream in the instance list of the platform." required:""`
	Listen  string        `help:"Address to listen on." default:"127.0.0.1:0"`
	Keyed   bool          `help:"Refuse requests for keys that the upstream does not own."`
	Slots   int           `help:"Maximum number of concurrent requests." default:"2"`
	Work    time.Duration `help:"Processing time per request." default:"3ms"`
	Connect time.Duration `help:"Time to establish a connection." default:"1ms"`
	Cold    time.Duration `help:"Duration of a cold start." default:"3s"`
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
	fmt.Fprintln(e.Stdout, c.Name, "listens on", u.Address())
	<-e.Context.Done()
	u.Close()
	return nil
}

// StoreCommand runs a store with the interface of the operators' platform.
type StoreCommand struct {
	Listen string `help:"Address to listen on." default:"127.0.0.1:7900"`
}

// Help returns the detailed help text.
func (c *StoreCommand) Help() string {
	return "POST {\"down\":true}, {\"silent\":true}, {\"delay-ms\":800}, {\"lost-answers\":0.5} or {\"no-history\":true} to " + rowserver.FaultsPath +
		" to inject faults, {} to end them, and {\"age-ms\":2000} to " + rowserver.DrillPath + " to bring it back from an older copy."
}

// Run implements the command.
func (c *StoreCommand) Run(e *Environment) error {
	listener, err := net.Listen("tcp4", c.Listen)
	if err != nil {
		return err
	}
	server := &http.Server{
		Handler:           rowserver.New(e.Context),
		ReadHeaderTimeout: 5 * time.Second,
	}
	stop := context.AfterFunc(e.Context, func() { server.Close() })
	defer stop()
	fmt.Fprintln(e.Stdout, "store listens on", c.Listen)
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// BackendCommand runs a backend of the operators' platform.
type BackendCommand struct {
	Settings string `arg:"" help:"Settings file in JSON format." type:"existingfile"`
}

// Help returns the detailed help text.
func (c *BackendCommand) Help() string {
	return "The backend registers itself in the store and prints what it does as JSON lines. SIGTERM makes it report that it is draining, serve for a while, and leave."
}

// Run implements the command.
func (c *BackendCommand) Run(e *Environment) error {
	text, err := os.ReadFile(c.Settings)
	if err != nil {
		return err
	}
	var settings backend.Settings
	if err := json.Unmarshal(text, &settings); err != nil {
		return &backend.SettingsError{
			Problem: fmt.Sprintf("%s: %v", c.Settings, err),
		}
	}
	b, err := backend.New(settings, e.Stdout)
	if err != nil {
		return err
	}
	return b.Run(e.Context)
}
