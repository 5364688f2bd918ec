// Package boot implements the commands of cuminlift-gateway. It is separate from the commands of the other programs, so that
// the gateway does not link their dependencies.
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
	"cuminlift/io/answer"
	"cuminlift/io/clock"
	"cuminlift/io/upstream"
	"cuminlift/platform"
)

// CLI is the root command.
type CLI struct {
	Run   RunCmd    `cmd:"" default:"withargs" help:"Run an instance until SIGTERM."`
	Check CheckCmd  `cmd:"" help:"Check the settings file, and say what is wrong with it."`
	Docs  DocsCmd   `cmd:"" hidden:"" help:"Print the command reference."`
	Out   io.Writer `kong:"-"`
	// Context ends on the stop signal.
	Context context.Context `kong:"-"`
}

// RunCmd runs an instance.
type RunCmd struct {
	Settings string `help:"Settings file, JSON." env:"${settings_variable}" required:"" type:"path"`
}

// CheckCmd checks the settings file.
type CheckCmd struct {
	Settings string `help:"Settings file, JSON." env:"${settings_variable}" required:"" type:"path"`
}

// DocsCmd prints the command reference.
type DocsCmd struct{}

// Run implements the command.
func (*DocsCmd) Run(cli *CLI, parser *kong.Kong) error {
	reference.Write(cli.Out, parser)
	return nil
}

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// Main runs the command given by args and returns its exit code.
func Main(ctx context.Context, args []string, out, errOut io.Writer) int {
	cli := &CLI{
		Out:     out,
		Context: ctx,
	}
	parser, err := kong.New(cli, kong.Name("cuminlift-gateway"),
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
	if err := parsed.Run(cli); err != nil {
		fmt.Fprintln(errOut, "cuminlift-gateway:", err)
		return exitFailed
	}
	return exitOK
}

// Run implements the command.
func (c *CheckCmd) Run(cli *CLI) error {
	settings, err := platform.ReadSettings(c.Settings)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(cli.Out, "%s: settings of instance %s in zone %s are valid\n", c.Settings, settings.Name, settings.Zone)
	return err
}

// logBufferLines bounds the log lines that wait to be written.
const logBufferLines = 2048

// Run implements the command. It handles SIGHUP, which would otherwise end the process, but reloads nothing: settings are
// read once at start.
func (c *RunCmd) Run(cli *CLI) error {
	settings, err := platform.ReadSettings(c.Settings)
	if err != nil {
		return err
	}
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	out := logs.NewAsyncWriter(cli.Out, logBufferLines)
	g, err := gateway.New(gateway.Config{
		Settings:         settings,
		Store:            platform.NewStore(settings.StoreAddress, newStoreClient()),
		Registry:         platform.RowRegistry{},
		KeyClient:        platform.NewKeyClient(newHTTPClient(keyConnections)),
		Clock:            clock.NewBootClock(),
		Headers:          platform.Headers(),
		KeyCount:         platform.KeyCount,
		ReadyPath:        platform.ReadyPath,
		RetryAfterHeader: platform.RetryAfterHeader,
		ParseLoad:        platform.ParseLoad,
		ParseLimit:       platform.ParseLimit,
		ParsePause:       platform.ParsePause,
		ParseLeaving:     platform.ParseLeaving,
		ProbeClient:      newHTTPClient(1),
		Log:              out,
	})
	if err != nil {
		return err
	}
	err = g.Run(cli.Context)
	out.Flush(flushTimeout)
	return err
}

const (
	// storeConnections bounds connections to the store: three long polls, and writes beside them.
	storeConnections = 8
	// keyConnections bounds connections per upstream for grants and releases. A release may take as long as the requests on its
	// keys.
	keyConnections = 4
	// dialTimeout bounds connection attempts. It is shorter than the timeout of a grant.
	dialTimeout = keyspace.DefaultCallTimeout / 2
	// flushTimeout bounds writing the last log lines on exit.
	flushTimeout = 200 * time.Millisecond
)

// newStoreClient returns a client for the store.
func newStoreClient() *http.Client {
	return upstream.NewHTTPClient(upstream.HTTPConfig{
		Connections: storeConnections,
		DialTimeout: dialTimeout,
		HeadBytes:   answer.MaxHeadBytes,
	})
}

// newHTTPClient returns a client with a number of connections to each upstream.
func newHTTPClient(connections int) *http.Client {
	return upstream.NewHTTPClient(upstream.HTTPConfig{
		Connections: connections,
		DialTimeout: dialTimeout,
	})
}
