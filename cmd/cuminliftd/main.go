// Command cuminliftd runs a router instance. See docs/COMMANDS.md.
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
	code := command.Main("cuminliftd", "Router instance of cuminlift, a request router for servers with exclusive key ownership.", &command.Server{}, os.Args[1:], command.NewEnvironment(ctx))
	os.Exit(code)
}
