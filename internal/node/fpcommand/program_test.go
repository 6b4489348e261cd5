package fpcommand_test

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"go.uber.org/zap"

	"github.com/foxtailpulley/foxtailpulley/api/operator/fpoperator"
	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/config/fpsettings"
	"github.com/foxtailpulley/foxtailpulley/internal/node/fpcommand"
)

var update = flag.Bool("update", false, "write the golden files")

// run runs a command line and returns the exit code and the output, in which paths are relative to the working folder.
func run(t *testing.T, pro *fpcommand.Program, args ...string) (code int, output string) {
	t.Helper()
	var stdout, stderr bytes.Buffer
	pro.Stdout, pro.Stderr = &stdout, &stderr
	code = pro.Main(t.Context(), args)
	folder, err := os.Getwd()
	if err != nil {
		t.Fatal(err)
	}
	output = fmt.Sprintf("exit code %d\n-- stdout\n%s-- stderr\n%s", code, &stdout, &stderr)
	return code, strings.ReplaceAll(output, folder+"/", "")
}

// TestCheckOutput compares the output and the exit code of check with golden files, because operators rely on them.
func TestCheckOutput(t *testing.T) {
	const local = "../../../examples/local/"
	checkGolden := func(name string, args ...string) {
		t.Run(name, func(t *testing.T) {
			_, got := run(t, &fpcommand.Program{}, append([]string{"check"}, args...)...)
			path := filepath.Join("testdata", name+".golden")
			if *update {
				if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
					t.Fatal(err)
				}
			}
			want, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			if got != string(want) {
				t.Errorf("got\n%s\nwant\n%s", got, want)
			}
		})
	}
	checkGolden("valid", "--settings", local+"one.json", local+"two.json")
	checkGolden("faults", "testdata/faults.json")
	checkGolden("initial", "testdata/initial.json")
	checkGolden("disagree", local+"one.json", "testdata/disagree.json", local+"one.json")
	checkGolden("files", "--files", "testdata/files.json")
	checkGolden("syntax", "testdata/syntax.json")
	checkGolden("absent", "testdata/absent.json")
	checkGolden("usage")
}

// TestCheckReportsSchemaFaults guards against a check that does not report a fault of the schema.
func TestCheckReportsSchemaFaults(t *testing.T) {
	pro := &fpcommand.Program{
		CheckSchema: func(cfg *fpoperator.Configuration) error {
			return fperror.New(fperror.InvalidConfiguration, "%d services", len(cfg.GetServices()))
		},
	}
	code, output := run(t, pro, "check", "../../../examples/local/one.json")
	if code != fpcommand.ExitInvalid || !strings.Contains(output, "configuration.json: schema: 1 services") {
		t.Error(output)
	}
}

// fakeCommand prints the value of its flag.
type fakeCommand struct {
	Rate int `default:"7"`
}

func (com *fakeCommand) Run(_ context.Context, out io.Writer) error {
	_, err := fmt.Fprintf(out, "rate %d\n", com.Rate)
	return err
}

// TestSubcommands checks the commands that main sets: run receives valid settings, a subcommand receives its own flags,
// and a command that is not set returns an error.
func TestSubcommands(t *testing.T) {
	pro := &fpcommand.Program{
		RunVM: func(_ context.Context, set *fpsettings.Settings, log *zap.Logger) error {
			log.Info("started")
			return fperror.New(fperror.StorageFailed, "disk of %s", set.VM())
		},
		Load: &fakeCommand{},
	}
	checkExit := func(code int, want string, args ...string) {
		got, output := run(t, pro, args...)
		if got != code || !strings.Contains(output, want) {
			t.Errorf("%v: %s", args, output)
		}
	}
	const one = "../../../examples/local/one.json"
	checkExit(fpcommand.ExitFailure, "foxtailpulley: disk of one\n", "run", "--settings", one)
	checkExit(fpcommand.ExitFailure, `"msg":"started","vm":"one"}`, "run", "--settings", one)
	checkExit(fpcommand.ExitInvalid, "faults: 3\n", "run", "--settings", "testdata/faults.json")
	checkExit(fpcommand.ExitOK, "rate 9\n", "load", "--rate", "9")
	checkExit(fpcommand.ExitFailure, "the command demo is not part of this build", "demo")
	checkExit(fpcommand.ExitOK, "foxtailpulley ", "version")
	checkExit(fpcommand.ExitOK, "Usage: foxtailpulley", "--help")
	checkExit(fpcommand.ExitUsage, "foxtailpulley: ", "ruin")
}
