package command

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"cuminlift/internal/daemon"
)

// Server is the command tree of cuminliftd.
type Server struct {
	Run     RunServerCommand   `cmd:"" default:"withargs" help:"Run an instance until SIGTERM."`
	Check   CheckServerCommand `cmd:"" help:"Validate a settings file."`
	Version VersionCommand     `cmd:"" help:"Print the version."`
	Docs    DocsCommand        `cmd:"" hidden:"" help:"Print the command reference."`
}

// RunServerCommand runs an instance.
type RunServerCommand struct {
	Settings string `arg:"" help:"Settings file in JSON format."`
}

// Help returns the detailed help text.
func (c *RunServerCommand) Help() string {
	return "The first SIGTERM or SIGINT starts a graceful shutdown, limited by the stop-ms setting. The second one terminates immediately."
}

// Run implements the command.
func (c *RunServerCommand) Run(e *Environment) error {
	settings, err := daemon.ReadSettings(c.Settings)
	if err != nil {
		return err
	}
	d, err := daemon.New(daemon.Config{
		Settings: settings,
	})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(e.Context)
	defer cancel()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-signals
		cancel()
		<-signals
		d.Kill()
		os.Exit(ExitFailure)
	}()
	return d.Run(ctx)
}

// CheckServerCommand validates a settings file.
type CheckServerCommand struct {
	Settings string `arg:"" help:"Settings file in JSON format."`
}

// Run implements the command.
func (c *CheckServerCommand) Run(e *Environment) error {
	settings, err := daemon.ReadSettings(c.Settings)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(e.Stdout, "%s: settings of instance %s in zone %s are valid\n", c.Settings, settings.GetInstance(), settings.GetZone())
	return err
}
