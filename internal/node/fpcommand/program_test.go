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

// run returns the exit code and both outputs of a command line.
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

// TestCheckOutput guards the text on which operators rely, and the exit codes.
func TestCheckOutput(t *testing.T) {
	const local = "../../../examples/local/"
	prints := func(name string, args ...string) {
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
	prints("valid", "--settings", local+"one.json", local+"two.json")
	prints("faults", "testdata/faults.json")
	prints("initial", "testdata/initial.json")
	prints("disagree", local+"one.json", "testdata/disagree.json", local+"one.json")
	prints("files", "--files", "testdata/files.json")
	prints("syntax", "testdata/syntax.json")
	prints("absent", "testdata/absent.json")
	prints("usage")
}

// TestCheckAsksForSchema guards against a schema fault that check does not report.
func TestCheckAsksForSchema(t *testing.T) {
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

type command struct {
	Rate int `default:"7"`
}

func (com *command) Run(_ context.Context, out io.Writer) error {
	_, err := fmt.Fprintf(out, "rate %d\n", com.Rate)
	return err
}

// TestParts guards the points at which main fills in commands: run gets checked settings, demo and load their own flags,
// and a part that is not filled in fails.
func TestParts(t *testing.T) {
	pro := &fpcommand.Program{
		RunVM: func(_ context.Context, set *fpsettings.Settings, log *zap.Logger) error {
			log.Info("started")
			return fperror.New(fperror.StorageFailed, "disk of %s", set.VM())
		},
		Load: &command{},
	}
	ends := func(code int, want string, args ...string) {
		got, output := run(t, pro, args...)
		if got != code || !strings.Contains(output, want) {
			t.Errorf("%v: %s", args, output)
		}
	}
	const one = "../../../examples/local/one.json"
	ends(fpcommand.ExitFailure, "foxtailpulley: disk of one\n", "run", "--settings", one)
	ends(fpcommand.ExitFailure, `"msg":"started","vm":"one"}`, "run", "--settings", one)
	ends(fpcommand.ExitInvalid, "faults: 3\n", "run", "--settings", "testdata/faults.json")
	ends(fpcommand.ExitOK, "rate 9\n", "load", "--rate", "9")
	ends(fpcommand.ExitFailure, "the command demo is not part of this build", "demo")
	ends(fpcommand.ExitOK, "foxtailpulley ", "version")
	ends(fpcommand.ExitOK, "Usage: foxtailpulley", "--help")
	ends(fpcommand.ExitUsage, "foxtailpulley: ", "ruin")
}
