// Command cuminliftd is described in docs/COMMANDS.md.
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
	code := command.Main("cuminliftd", "Router for servers that own keys exclusively - the entry instance.", &command.Server{}, os.Args[1:], command.NewEnvironment(ctx))
	os.Exit(code)
}
