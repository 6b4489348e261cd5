// Package fpcommand implements the command line of the daemon foxtailpulley.
package fpcommand

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"

	"github.com/alecthomas/kong"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/foxtailpulley/foxtailpulley/api/operator/fpoperator"
	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/base/fpline"
	"github.com/foxtailpulley/foxtailpulley/internal/config/fpgateway"
	"github.com/foxtailpulley/foxtailpulley/internal/config/fpsettings"
)

// The exit codes of the daemon, as listed in docs/operators.md.
const (
	ExitOK      = 0
	ExitFailure = 1
	ExitUsage   = 2
	ExitInvalid = 3
)

// Command is a subcommand with its own kong flags. Run returns early if ctx ends, which happens at SIGINT or SIGTERM.
type Command interface {
	Run(ctx context.Context, out io.Writer) error
}

// Program runs the daemon. Its function fields and commands are set by main. A command whose field is nil returns an error.
type Program struct {
	// RunVM runs one VM until it has stopped. It handles signals itself, because it drains the VM before it returns.
	RunVM func(ctx context.Context, set *fpsettings.Settings, log *zap.Logger) error
	// RunGateway runs one VM of a deployment with HTTP routes, whose settings are in the file at path. lines is the writer
	// to which log writes.
	RunGateway func(ctx context.Context, path string, log *zap.Logger, lines *fpline.Writer) error
	// CheckSchema checks the schema of a configuration and that it declares the services; nil skips this check.
	CheckSchema func(cfg *fpoperator.Configuration) error
	// Demo, Load, Standin and Soak are the subcommands of these names. They must be pointers to structs with kong tags.
	Demo    Command
	Load    Command
	Standin Command
	Soak    Command
	Stdout  io.Writer
	Stderr  io.Writer
}

type commandLine struct {
	Run     runCommand     `cmd:"" help:"Run one VM until it is told to stop."`
	Gateway gatewayCommand `cmd:"" help:"Run one VM of a deployment with HTTP routes until it is told to stop."`
	Check   checkCommand   `cmd:"" help:"Check settings files and their initial configurations."`
	Version versionCommand `cmd:"" help:"Print the version."`
}

// Main runs the command line args, without the name of the program, and returns the exit code.
func (pro *Program) Main(ctx context.Context, args []string) int {
	exit := -1
	par, err := kong.New(
		&commandLine{},
		kong.Name("foxtailpulley"),
		kong.Description("A router for servers that own keys exclusively."),
		kong.Writers(pro.Stdout, pro.Stderr),
		kong.Exit(func(code int) { exit = code }),
		kong.DynamicCommand("demo", "Run a small deployment with stand-in upstreams in one process.", "", orMissing(pro.Demo, "demo")),
		kong.DynamicCommand("load", "Send load to a deployment and report latencies.", "", orMissing(pro.Load, "load")),
		kong.DynamicCommand("standin", "Run a stand-in upstream on loopback.", "", orMissing(pro.Standin, "standin")),
		kong.DynamicCommand("soak", "Run processes of this program under random faults and check their promises.", "", orMissing(pro.Soak, "soak")),
		kong.Bind(pro),
	)
	if err != nil {
		return pro.fail(ExitFailure, err)
	}
	kct, err := par.Parse(args)
	if exit >= 0 {
		return exit
	}
	if err != nil {
		return pro.fail(ExitUsage, err)
	}
	if !strings.HasPrefix(kct.Command(), "run") && !strings.HasPrefix(kct.Command(), "gateway") {
		var stop context.CancelFunc
		ctx, stop = signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
		defer stop()
	}
	kct.BindTo(ctx, (*context.Context)(nil))
	kct.BindTo(pro.Stdout, (*io.Writer)(nil))
	if err := kct.Run(); err != nil {
		return pro.fail(exitCode(err), err)
	}
	return ExitOK
}

// fail prints an error and returns the exit code.
func (pro *Program) fail(code int, err error) int {
	fmt.Fprintf(pro.Stderr, "foxtailpulley: %v\n", err)
	return code
}

// exitCode returns the exit code for an error of a command.
func exitCode(err error) int {
	switch fperror.KindOf(err) {
	case fperror.InvalidSettings, fperror.InvalidConfiguration:
		return ExitInvalid
	default:
		return ExitFailure
	}
}

// missingCommand replaces a command that main has not set. It returns an error.
type missingCommand struct {
	name string
}

func (com *missingCommand) Run(context.Context, io.Writer) error {
	return fperror.New(fperror.Internal, "the command %s is not part of this build", com.name)
}

// orMissing returns com, or a missingCommand with the given name if com is nil.
func orMissing(com Command, name string) Command {
	if com != nil {
		return com
	}
	return &missingCommand{
		name: name,
	}
}

type runCommand struct {
	Settings string `required:"" help:"Path of the settings file."`
}

// Run runs the VM that the settings file describes until it has stopped.
func (com *runCommand) Run(ctx context.Context, pro *Program) error {
	set, err := fpsettings.Load(com.Settings)
	if err != nil {
		return err
	}
	if pro.RunVM == nil {
		return fperror.New(fperror.Internal, "the command run is not part of this build")
	}
	log := newVMLogger(set, pro.Stderr)
	defer func() { _ = log.Sync() }()
	return pro.RunVM(ctx, set, log)
}

// newVMLogger returns a logger that writes JSON lines with the name of the VM, at the level in the settings.
func newVMLogger(set *fpsettings.Settings, out io.Writer) *zap.Logger {
	level, err := zapcore.ParseLevel(set.LogLevel())
	if err != nil {
		level = zapcore.InfoLevel
	}
	return newJSONLogger(zapcore.Lock(zapcore.AddSync(out)), level).With(zap.String("vm", set.VM()))
}

// newJSONLogger returns a logger that writes JSON lines.
func newJSONLogger(out zapcore.WriteSyncer, level zapcore.Level) *zap.Logger {
	enc := zap.NewProductionEncoderConfig()
	enc.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	enc.TimeKey = "time"
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(enc), out, level))
}

type gatewayCommand struct {
	Settings string `required:"" help:"Path of the settings file."`
}

// Run runs the VM with HTTP routes that the settings file describes until it has stopped.
func (com *gatewayCommand) Run(ctx context.Context, pro *Program) error {
	set, err := fpgateway.Load(com.Settings)
	if err != nil {
		return err
	}
	if pro.RunGateway == nil {
		return fperror.New(fperror.Internal, "the command gateway is not part of this build")
	}
	level := zapcore.InfoLevel
	if set.LogLevel() != "" {
		level, err = zapcore.ParseLevel(set.LogLevel())
		if err != nil {
			return fperror.Wrap(fperror.InvalidSettings, err, "logLevel")
		}
	}
	writerCtx, cancel := context.WithCancel(context.Background())
	lines := fpline.New(pro.Stdout)
	written := lines.Run(writerCtx)
	defer func() {
		cancel()
		<-written
	}()
	return pro.RunGateway(ctx, com.Settings, newJSONLogger(lines, level), lines)
}

type versionCommand struct{}

// Run prints the version of the module, the revision and the Go version of the build, or "unknown" for what the build
// does not record.
func (com *versionCommand) Run(out io.Writer) error {
	version, revision, goVersion := "unknown", "unknown", "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version, goVersion = info.Main.Version, info.GoVersion
		for _, entry := range info.Settings {
			if entry.Key == "vcs.revision" {
				revision = entry.Value
			}
		}
	}
	_, err := fmt.Fprintf(out, "foxtailpulley %s revision %s %s\n", version, revision, goVersion)
	return err
}
