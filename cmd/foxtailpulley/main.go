// Command foxtailpulley is the daemon of the router; its roles are entry and control.
package main

import (
	"context"
	"os"

	"github.com/foxtailpulley/foxtailpulley/api/operator/fpoperator"
	"github.com/foxtailpulley/foxtailpulley/internal/bench/fpdemo"
	"github.com/foxtailpulley/foxtailpulley/internal/bench/fpload"
	"github.com/foxtailpulley/foxtailpulley/internal/bench/fpsoak"
	"github.com/foxtailpulley/foxtailpulley/internal/bench/fpupstream"
	"github.com/foxtailpulley/foxtailpulley/internal/config/fpconfig"
	"github.com/foxtailpulley/foxtailpulley/internal/node/fpcommand"
	"github.com/foxtailpulley/foxtailpulley/internal/node/fpgate"
	"github.com/foxtailpulley/foxtailpulley/internal/node/fpnode"
)

func main() {
	pro := &fpcommand.Program{
		RunVM:       fpnode.RunVM,
		RunGateway:  fpgate.Run,
		CheckSchema: checkSchema,
		Demo:        &fpdemo.Command{},
		Load:        &fpload.Command{},
		Standin:     &fpupstream.Command{},
		Soak:        &fpsoak.Command{},
		Stdout:      os.Stdout,
		Stderr:      os.Stderr,
	}
	os.Exit(pro.Main(context.Background(), os.Args[1:]))
}

// checkSchema checks the schema of a configuration and that it declares the services of the configuration.
func checkSchema(cfg *fpoperator.Configuration) error {
	names := make([]string, len(cfg.GetServices()))
	for num, ser := range cfg.GetServices() {
		names[num] = ser.GetName()
	}
	return fpconfig.AsError(fpnode.CheckSchema(cfg.GetSchema(), names))
}
