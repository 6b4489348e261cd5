package fpcommand

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/config/fpgateway"
	"github.com/foxtailpulley/foxtailpulley/internal/config/fpsettings"
	"github.com/foxtailpulley/foxtailpulley/internal/node/fptls"
)

type checkCommand struct {
	Settings []string `sep:"none" help:"Path of a settings file; may be given several times."`
	More     []string `arg:"" optional:"" help:"Paths of more settings files."`
	Files    bool     `help:"Also read the TLS files, on the VM that holds them."`
}

// Validate returns an error if no settings file is given.
func (com *checkCommand) Validate() error {
	if len(com.paths()) == 0 {
		return fperror.New(fperror.InvalidSettings, "missing flags: --settings=SETTINGS")
	}
	return nil
}

// paths returns the paths of all settings files.
func (com *checkCommand) paths() []string {
	return slices.Concat(com.Settings, com.More)
}

// Run checks every file, prints a summary of each, and returns the faults of all files in one error. The files must
// belong to one deployment: each valid one is also checked against the first valid one.
func (com *checkCommand) Run(pro *Program) error {
	var failed []string
	var first *fpsettings.Settings
	for _, path := range com.paths() {
		if isGateway(path) {
			if err := pro.checkGateway(path); err != nil {
				failed = append(failed, err.Error())
			}
			continue
		}
		set, err := pro.checkFile(path)
		if err == nil && com.Files {
			err = checkTLSFiles(path, set)
		}
		if err == nil && first != nil {
			err = fpsettings.AsError(fperror.InvalidSettings, path, set.CheckAgainst(first))
		}
		if err != nil {
			failed = append(failed, err.Error())
		} else if first == nil {
			first = set
		}
	}
	if len(failed) > 0 {
		return fperror.New(fperror.InvalidSettings, "%s", strings.Join(failed, "\n"))
	}
	return nil
}

// checkFile checks the settings of a VM and their initial configuration, and prints a summary.
func (pro *Program) checkFile(path string) (*fpsettings.Settings, error) {
	set, err := fpsettings.Load(path)
	if err != nil {
		return nil, err
	}
	fmt.Fprintf(pro.Stdout, "%s\n", path)
	tab := tabwriter.NewWriter(pro.Stdout, 0, 0, 2, ' ', 0)
	printSettings(tab, set)
	err = pro.checkInitialConfiguration(tab, set)
	if flushErr := tab.Flush(); flushErr != nil && err == nil {
		err = flushErr
	}
	return set, err
}

// isGateway reports whether a file holds the settings of a VM with HTTP routes. It returns false for a file that cannot be
// read, which checkFile then reports as a fault.
func isGateway(path string) bool {
	buf, err := os.ReadFile(path)
	return err == nil && fpgateway.IsGateway(buf)
}

// checkGateway checks the settings of a VM with HTTP routes and prints a summary.
func (pro *Program) checkGateway(path string) error {
	set, err := fpgateway.Load(path)
	if err != nil {
		return fperror.Wrap(fperror.InvalidSettings, err, "%s", path)
	}
	fmt.Fprintf(pro.Stdout, "%s\n", path)
	tab := tabwriter.NewWriter(pro.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintf(tab, "  VM\t%s, data centre %s, region %s\n", set.VM(), set.DataCentre(), set.Region(set.DataCentre()))
	if set.Callers() != "" {
		fmt.Fprintf(tab, "  callers\t%s, ready %s\n", set.Callers(), set.Ready())
	}
	if set.Control() != "" {
		fmt.Fprintf(tab, "  control\t%s, data in %s, first start: %t\n", set.Control(), set.DataFolder(), set.FirstStart())
	}
	fmt.Fprintf(tab, "  seeds\t%s\n", strings.Join(set.Seeds(), ", "))
	return tab.Flush()
}

// checkTLSFiles checks that the TLS files named in the settings can be read.
func checkTLSFiles(path string, set *fpsettings.Settings) error {
	if _, err := fptls.FromSettings(set, nil); err != nil {
		return fpsettings.AsError(fperror.InvalidSettings, path, []fpsettings.Fault{
			fpsettings.NewFault("tls", err.Error(), "readable PEM files with a certificate, its key and the authority"),
		})
	}
	return nil
}

// printSettings prints a summary of the settings of a VM, one property a line.
func printSettings(out io.Writer, set *fpsettings.Settings) {
	fmt.Fprintf(out, "  VM\t%s, data centre %s, region %s\n", set.VM(), set.DataCentre(), set.Region())
	var roles []string
	for _, rol := range set.Roles() {
		roles = append(roles, string(rol))
	}
	fmt.Fprintf(out, "  roles\t%s\n", strings.Join(roles, ", "))
	if set.HasRole(fpsettings.RoleEntry) {
		fmt.Fprintf(out, "  callers\t%s\n", set.Callers().Address())
	}
	security := "mutual TLS"
	if set.PlainTextLoopback() {
		security = "plain text on loopback"
	}
	fmt.Fprintf(out, "  peers\t%s, %s\n", set.Peers().Address(), security)
	fmt.Fprintf(out, "  operators\t%s, %s\n", set.Operators().Address(), security)
	fmt.Fprintf(out, "  VMs\t%d\n", len(set.VMs()))
	for _, gro := range set.Groups() {
		fmt.Fprintf(out, "  group\t%s\n", gro)
	}
}

// checkInitialConfiguration checks the initial configuration that the settings name, if any, and prints a summary.
func (pro *Program) checkInitialConfiguration(out io.Writer, set *fpsettings.Settings) error {
	path := set.InitialConfiguration()
	if path == "" {
		fmt.Fprintf(out, "  initial configuration\tnone\n")
		return nil
	}
	cfg, err := fpsettings.LoadConfiguration(path)
	if err != nil {
		return err
	}
	name := filepath.Base(path)
	if err := fpsettings.AsError(fperror.InvalidConfiguration, name, set.CheckConfiguration(cfg)); err != nil {
		return err
	}
	if pro.CheckSchema == nil {
		fmt.Fprintf(out, "  initial configuration\t%s, services: %d, schema not checked in this build\n", name, len(cfg.GetServices()))
		return nil
	}
	if err := pro.CheckSchema(cfg); err != nil {
		return fperror.Wrap(fperror.InvalidConfiguration, err, "%s: schema", name)
	}
	fmt.Fprintf(out, "  initial configuration\t%s, services: %d, schema ok\n", name, len(cfg.GetServices()))
	return nil
}
