// Command cuminlift-standin runs stand-ins for the platform and for upstreams in tests and demos. See docs/COMMANDS.md.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"cuminlift/internal/command"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	code := command.Main("cuminlift-standin", "Stand-ins for the platform and for upstreams.", &command.Standin{}, os.Args[1:], command.NewEnvironment(ctx))
	os.Exit(code)
}
