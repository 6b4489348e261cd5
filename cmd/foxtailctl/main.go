// Command foxtailctl is the client for operators of the router.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/foxtailpulley/foxtailpulley/internal/node/fpctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	pro := &fpctl.Program{
		Stdout: os.Stdout,
		Stderr: os.Stderr,
	}
	code := pro.Main(ctx, os.Args[1:])
	stop()
	os.Exit(code)
}
