// Command foxtailpulley is the daemon of the router; its roles are entry and control.
package main

import (
	"context"
	"os"

	"github.com/foxtailpulley/foxtailpulley/internal/node/fpcommand"
)

func main() {
	pro := &fpcommand.Program{
		Stdout: os.Stdout,
		Stderr: os.Stderr,
	}
	os.Exit(pro.Main(context.Background(), os.Args[1:]))
}
