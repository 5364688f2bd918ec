// Command cuminlift-gateway runs a gateway instance. See docs/COMMANDS.md.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"cuminlift/internal/boot"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	os.Exit(boot.Main(ctx, os.Args[1:], os.Stdout, os.Stderr))
}
