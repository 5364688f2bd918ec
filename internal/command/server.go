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
	Run     RunServerCommand   `cmd:"" default:"withargs" help:"Run an entry instance until SIGTERM."`
	Check   CheckServerCommand `cmd:"" help:"Check a settings file."`
	Version VersionCommand     `cmd:"" help:"Print the version."`
	Docs    DocsCommand        `cmd:"" hidden:"" help:"Print the command reference."`
}

// RunServerCommand runs a daemon.
type RunServerCommand struct {
	Settings string `arg:"" help:"Settings file, JSON."`
}

// Help returns examples.
func (c *RunServerCommand) Help() string {
	return "The first SIGTERM or SIGINT stops gracefully within the settings' stop-ms, a second one at once."
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

// CheckServerCommand checks settings.
type CheckServerCommand struct {
	Settings string `arg:"" help:"Settings file, JSON."`
}

// Run implements the command.
func (c *CheckServerCommand) Run(e *Environment) error {
	settings, err := daemon.ReadSettings(c.Settings)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(e.Stdout, "%s: settings of instance %s in zone %s are sound\n", c.Settings, settings.GetInstance(), settings.GetZone())
	return err
}
