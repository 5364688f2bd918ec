// Package boot is the command tree of cuminlift-gateway. It is apart from the other programs' trees, so that the gateway
// does not carry what only they need.
package boot

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"cuminlift/core/keyspace"
	"cuminlift/internal/gateway"
	"cuminlift/internal/logs"
	"cuminlift/internal/reference"
	"cuminlift/io/clock"
	"cuminlift/io/upstream"
	"cuminlift/platform"
)

// Tree is the command tree.
type Tree struct {
	Run   RunCmd    `cmd:"" default:"withargs" help:"Run an instance until SIGTERM."`
	Check CheckCmd  `cmd:"" help:"Check the settings file, and say what is wrong with it."`
	Docs  DocsCmd   `cmd:"" hidden:"" help:"Print the command reference."`
	Out   io.Writer `kong:"-"`
	// Context ends with the order to stop.
	Context context.Context `kong:"-"`
}

// RunCmd runs an instance.
type RunCmd struct {
	Settings string `help:"Settings file, JSON." env:"${settings_variable}" required:"" type:"path"`
}

// CheckCmd checks settings.
type CheckCmd struct {
	Settings string `help:"Settings file, JSON." env:"${settings_variable}" required:"" type:"path"`
}

// DocsCmd prints the command reference.
type DocsCmd struct{}

// Run implements the command.
func (*DocsCmd) Run(t *Tree, parser *kong.Kong) error {
	reference.Write(t.Out, parser)
	return nil
}

// Exit codes.
const (
	exitFine   = 0
	exitFailed = 1
	exitUsage  = 2
)

// Main runs the command in args and returns the exit code.
func Main(ctx context.Context, args []string, out, errOut io.Writer) int {
	tree := &Tree{
		Out:     out,
		Context: ctx,
	}
	parser, err := kong.New(tree, kong.Name("cuminlift-gateway"),
		kong.Description("Router for servers that own keys exclusively - an instance on the operators' platform."),
		kong.Writers(out, errOut),
		kong.Vars{
			"settings_variable": platform.SettingsVariable,
		})
	if err != nil {
		fmt.Fprintln(errOut, err)
		return exitFailed
	}
	parsed, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintln(errOut, "cuminlift-gateway:", err)
		return exitUsage
	}
	if err := parsed.Run(tree); err != nil {
		fmt.Fprintln(errOut, "cuminlift-gateway:", err)
		return exitFailed
	}
	return exitFine
}

// Run implements the command.
func (c *CheckCmd) Run(t *Tree) error {
	settings, err := platform.ReadSettings(c.Settings)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(t.Out, "%s: settings of instance %s in zone %s are sound\n", c.Settings, settings.Name, settings.Zone)
	return err
}

// logRing bounds the log lines that wait to be written.
const logRing = 2048

// Run implements the command. SIGHUP is taken and changes nothing: all that an instance reads from its settings holds for its life.
func (c *RunCmd) Run(t *Tree) error {
	settings, err := platform.ReadSettings(c.Settings)
	if err != nil {
		return err
	}
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	out := logs.NewRing(t.Out, logRing)
	g, err := gateway.New(gateway.Config{
		Settings:   settings,
		Store:      platform.NewStore(settings.StoreAddress, client(storeConnections)),
		Registry:   platform.Operator{},
		Keys:       platform.NewKeys(client(keyConnections)),
		Clock:      clock.NewMachine(),
		Headers:    platform.Headers(),
		KeySpace:   platform.KeySpace,
		ReadyPath:  platform.ReadyPath,
		RetryAfter: platform.RetryAfter,
		ParseLoad:  platform.ParseLoad,
		Probe:      client(1),
		Log:        out,
	})
	if err != nil {
		return err
	}
	err = g.Run(t.Context)
	out.Flush(flushLimit)
	return err
}

const (
	// storeConnections bounds the connections to the store: three long polls, and writes beside them.
	storeConnections = 8
	// keyConnections bounds the connections for grants and releases to one upstream; a release may take as long as the work on its keys.
	keyConnections = 4
	// dialLimit bounds a new connection, below the limit of a grant.
	dialLimit = keyspace.DefaultCallTimeout / 2
	// flushLimit bounds the writing of the last log lines.
	flushLimit = 200 * time.Millisecond
)

// client returns an HTTP client without proxy and compression. Time limits are those of each call.
func client(connections int) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         upstream.DialResetting(dialLimit),
			MaxConnsPerHost:     connections,
			MaxIdleConnsPerHost: connections,
			IdleConnTimeout:     8 * time.Second,
			DisableCompression:  true,
		},
	}
}
