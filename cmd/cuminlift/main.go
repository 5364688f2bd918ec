// Command cuminlift is the operator client. See docs/COMMANDS.md.
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
	code := command.Main("cuminlift", "Operator client for cuminlift, a request router for servers with exclusive key ownership.", &command.Client{}, os.Args[1:], command.NewEnvironment(ctx))
	os.Exit(code)
}
