// Package examples_test generates the settings and configurations of the example deployments, and checks all example files
// with the command check.
package examples_test

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"text/template"

	"github.com/bufbuild/protocompile"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/foxtailpulley/foxtailpulley/api/schema/fpoption"
	"github.com/foxtailpulley/foxtailpulley/internal/config/fpsettings"
	"github.com/foxtailpulley/foxtailpulley/internal/node/fpcommand"
)

var update = flag.Bool("update", false, "write the generated example files")

// deployment describes one deployment of section 2 of docs/design.md.
type deployment struct {
	name string
	// network is the second byte of the VMs' IPv4 addresses, which are 10.NETWORK.DATA-CENTRE.VM.
	network int
	// dataCentres are those of each region in turn, two per region.
	dataCentres []dataCentre
	services    []service
	// minGain is the smallest relative drop of the busiest upstream's load for which a slot moves, for all services.
	minGain float64
	// linkRate is the configuration's linkRate, in bytes per second.
	linkRate int
}

// dataCentre describes a data centre. Its sibling is the other data centre of the region.
type dataCentre struct {
	name, sibling, region string
	vms                   int // number of VMs
}

// service describes a service in a configuration. With an empty MaxDeadline the configuration sets none.
type service struct {
	Name        string
	MaxDeadline string
}

// controlVMsPerDataCentre is the number of VMs with a disk and the role control in each data centre.
const controlVMsPerDataCentre = 2

// deployments are the example deployments with generated files. Their link between regions carries 30 Mbit/s, which is
// 3.75 MB/s. The link rate of a VM is an equal share of 80% of that among the VMs of the larger region; the rest is left to
// control traffic.
var deployments = []deployment{
	{
		name:    "haugland",
		network: 10,
		dataCentres: []dataCentre{
			newDataCentre("bergen-a", "bergen-b", "vestland", 3),
			newDataCentre("bergen-b", "bergen-a", "vestland", 3),
			newDataCentre("oslo-a", "oslo-b", "ostland", 3),
			newDataCentre("oslo-b", "oslo-a", "ostland", 2),
		},
		services: []service{
			newService("haugland.v1.TimeplanService", ""),
			newService("haugland.v1.BryterService", ""),
			newService("haugland.v1.TrykkeriService", "120s"),
		},
		minGain:  0.1,
		linkRate: 500_000,
	},
	{
		name:    "cwtsh",
		network: 20,
		dataCentres: []dataCentre{
			newDataCentre("caerdydd", "abertawe", "de-cymru", 3),
			newDataCentre("abertawe", "caerdydd", "de-cymru", 2),
			newDataCentre("bangor", "wrecsam", "gogledd", 3),
			newDataCentre("wrecsam", "bangor", "gogledd", 2),
		},
		services: []service{
			newService("cwtsh.v1.StocService", ""),
			newService("cwtsh.v1.BlaendalService", ""),
			newService("cwtsh.v1.LlawlyfrService", "120s"),
		},
		// Avoiding moves matters most in Cwtsh, so a move must gain more than in Haugland.
		minGain:  0.25,
		linkRate: 600_000,
	},
}

func newDataCentre(name, sibling, region string, vms int) dataCentre {
	return dataCentre{
		name:    name,
		sibling: sibling,
		region:  region,
		vms:     vms,
	}
}

func newService(name, maxDeadline string) service {
	return service{
		Name:        name,
		MaxDeadline: maxDeadline,
	}
}

// vm is a VM of a deployment, as used by settingsTemplate.
type vm struct {
	Name, DataCentre, Region, Address string
	Roles                             []string
}

// Control reports whether the VM has a disk and the role control.
func (vm vm) Control() bool { return len(vm.Roles) > 1 }

// group is a group of a layout, as used by settingsTemplate.
type group struct {
	Name          string
	Voters, Scope []string
}

// home gives the slots First to Last of a service to a group.
type home struct {
	Group       string
	First, Last int
}

// vms returns the VMs of all data centres. The first ones of each data centre are control VMs.
func (dep deployment) vms() []vm {
	var vms []vm
	for num, dat := range dep.dataCentres {
		for host := 1; host <= dat.vms; host++ {
			roles := []string{"entry"}
			if host <= controlVMsPerDataCentre {
				roles = append(roles, "control")
			}
			vms = append(vms, vm{
				Name:       fmt.Sprintf("%s-%d", dat.name, host),
				DataCentre: dat.name,
				Region:     dat.region,
				Address:    fmt.Sprintf("10.%d.%d.%d", dep.network, num+1, host),
				Roles:      roles,
			})
		}
	}
	return vms
}

// rootGroup returns the group root. It has 3 voters in the first region and 2 in the second, in all four data centres, and
// survives the loss of any one data centre. Its scope is empty.
func (dep deployment) rootGroup() group {
	dat := dep.dataCentres
	return group{
		Name:   "root",
		Voters: []string{dat[0].name + "-1", dat[1].name + "-1", dat[1].name + "-2", dat[2].name + "-1", dat[3].name + "-1"},
	}
}

// perRegion returns root and a group per region with 2 voters in each of its data centres and a tie-breaker in the other
// region.
func (dep deployment) perRegion() []group {
	dat := dep.dataCentres
	groups := []group{dep.rootGroup()}
	for num := 0; num < len(dat); num += 2 {
		first, second := dat[num].name, dat[num+1].name
		tieBreaker := dat[(num+2)%len(dat)].name
		groups = append(groups, group{
			Name:   dat[num].region,
			Voters: []string{first + "-1", first + "-2", second + "-1", second + "-2", tieBreaker + "-1"},
			Scope:  []string{first, second},
		})
	}
	return groups
}

// perDataCentre returns root and a group per data centre with 2 voters there and 1 in its sibling.
func (dep deployment) perDataCentre() []group {
	groups := []group{dep.rootGroup()}
	for _, dat := range dep.dataCentres {
		groups = append(groups, group{
			Name:   dat.name,
			Voters: []string{dat.name + "-1", dat.name + "-2", dat.sibling + "-1"},
			Scope:  []string{dat.name},
		})
	}
	return groups
}

// homes divides the slots of a service evenly among the groups that have a scope, which are all but the first.
func homes(groups []group) []home {
	scoped := groups[1:]
	width := fpsettings.DefaultSlots / len(scoped)
	var all []home
	for num, gro := range scoped {
		all = append(all, home{
			Group: gro.Name,
			First: num * width,
			Last:  (num+1)*width - 1,
		})
	}
	return all
}

var templateFunctions = template.FuncMap{
	"list": func(texts []string) string {
		if len(texts) == 0 {
			return "[]"
		}
		return `["` + strings.Join(texts, `", "`) + `"]`
	},
	"comma": func(at, length int) string {
		if at+1 < length {
			return ","
		}
		return ""
	},
}

var settingsTemplate = template.Must(template.New("settings").Funcs(templateFunctions).Parse(`{
  "vm": "{{.VM.Name}}",
  "dataCentre": "{{.VM.DataCentre}}",
  "region": "{{.VM.Region}}",
  "roles": {{list .VM.Roles}},
{{- if .VM.Control}}
  "dataFolder": "/var/lib/foxtailpulley",
  "initialConfiguration": "../configuration.json",
{{- end}}
  "listeners": {
    "callers": {"address": "{{.VM.Address}}:7000"},
    "peers": {"address": "{{.VM.Address}}:7100"},
    "operators": {"address": "{{.VM.Address}}:7200"}
  },
  "vms": [
{{- range $at, $vm := .VMs}}
    {
      "name": "{{.Name}}", "dataCentre": "{{.DataCentre}}", "region": "{{.Region}}", "roles": {{list .Roles}},
      "peerAddress": "{{.Address}}:7100", "operatorAddress": "{{.Address}}:7200"
    }{{comma $at (len $.VMs)}}
{{- end}}
  ],
  "groups": [
{{- range $at, $group := .Groups}}
    {
      "name": "{{.Name}}",
      "voters": {{list .Voters}},
      "scope": {{list .Scope}}
    }{{comma $at (len $.Groups)}}
{{- end}}
  ],
  "tls": {
    "certificate": "/etc/foxtailpulley/certificate.pem",
    "key": "/etc/foxtailpulley/key.pem",
    "authority": "/etc/foxtailpulley/authority.pem",
    "vmIdentities": [
{{- range $at, $vm := .VMs}}
      "{{.Name}}.{{$.Deployment}}.example"{{comma $at (len $.VMs)}}
{{- end}}
    ],
    "operatorIdentities": ["operator.{{.Deployment}}.example"]
  }
}
`))

var configurationTemplate = template.Must(template.New("configuration").Funcs(templateFunctions).Parse(`{
  "schemaFile": "../schema.proto",
  "services": [
{{- range $at, $service := .Services}}
    {
      "name": "{{.Name}}",
      "homes": [
{{- range $at, $home := $.Homes}}
        {"group": "{{.Group}}", "firstSlot": {{.First}}, "lastSlot": {{.Last}}}{{comma $at (len $.Homes)}}
{{- end}}
      ],
{{- if .MaxDeadline}}
      "maxDeadline": "{{.MaxDeadline}}",
{{- end}}
      "minGain": {{$.MinGain}}
    }{{comma $at (len $.Services)}}
{{- end}}
  ],
  "linkRate": {{.LinkRate}}
}
`))

// generate returns the configuration and the settings files of a layout of groups, by their paths relative to this folder.
func (dep deployment) generate(t *testing.T, layout string, groups []group) map[string][]byte {
	t.Helper()
	folder := filepath.Join(dep.name, layout)
	files := map[string][]byte{
		filepath.Join(folder, "configuration.json"): render(t, configurationTemplate, map[string]any{
			"Services": dep.services,
			"Homes":    homes(groups),
			"MinGain":  dep.minGain,
			"LinkRate": dep.linkRate,
		}),
	}
	for _, vm := range dep.vms() {
		files[filepath.Join(folder, "vms", vm.Name+".json")] = render(t, settingsTemplate, map[string]any{
			"Deployment": dep.name,
			"VM":         vm,
			"VMs":        dep.vms(),
			"Groups":     groups,
		})
	}
	return files
}

// render executes a template.
func render(t *testing.T, tpl *template.Template, data any) []byte {
	t.Helper()
	var buf bytes.Buffer
	if err := tpl.Execute(&buf, data); err != nil {
		t.Fatal(err)
	}
	return buf.Bytes()
}

// TestGeneratedFiles guards against generated example files that differ from each other where they must agree, for example
// because one of them was edited by hand. With the flag -update it writes them.
func TestGeneratedFiles(t *testing.T) {
	for _, dep := range deployments {
		for layout, groups := range map[string][]group{
			"per-region":      dep.perRegion(),
			"per-data-centre": dep.perDataCentre(),
		} {
			for path, want := range dep.generate(t, layout, groups) {
				compareOrUpdate(t, path, want)
			}
		}
	}
}

// compareOrUpdate fails the test if a file differs from want. With the flag -update it writes want to the file.
func compareOrUpdate(t *testing.T, path string, want []byte) {
	t.Helper()
	if *update {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, want, 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	got, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s differs from the generated file; run go test ./examples -update", path)
	}
}

// TestCheckAcceptsExamples guards against settings files that the command check refuses, alone or together with the others of
// their layout.
func TestCheckAcceptsExamples(t *testing.T) {
	check := func(pattern string, count int) {
		paths, err := filepath.Glob(pattern)
		if err != nil {
			t.Fatal(err)
		}
		if len(paths) != count {
			t.Errorf("%s matches %d settings files, want %d", pattern, len(paths), count)
		}
		var stdout, stderr bytes.Buffer
		pro := &fpcommand.Program{
			Stdout: &stdout,
			Stderr: &stderr,
		}
		if code := pro.Main(t.Context(), append([]string{"check"}, paths...)); code != fpcommand.ExitOK {
			t.Errorf("check %s exited with code %d\n%s", pattern, code, stderr.String())
		}
	}
	check("haugland/per-region/vms/*.json", 11)
	check("haugland/per-data-centre/vms/*.json", 11)
	check("cwtsh/per-region/vms/*.json", 10)
	check("cwtsh/per-data-centre/vms/*.json", 10)
	check("local/[ot]*.json", 2)
}

// TestSchemasCompile guards against schema files that do not compile, and against configurations with services that are not
// in their schema.
func TestSchemasCompile(t *testing.T) {
	paths, err := filepath.Glob("*/*/configuration.json")
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range append(paths, "local/configuration.json") {
		cfg, err := fpsettings.LoadConfiguration(path)
		if err != nil {
			t.Fatal(err)
		}
		fil := compileSchema(t, cfg.GetSchema())
		for _, svc := range cfg.GetServices() {
			name := protoreflect.FullName(svc.GetName())
			if name.Parent() != fil.Package() || fil.Services().ByName(name.Name()) == nil {
				t.Errorf("%s: service %s is not in the schema", path, name)
			}
		}
	}
}

// compileSchema compiles the text of a schema, with the options of foxtailpulley/schema/v1/options.proto for import.
func compileSchema(t *testing.T, text string) protoreflect.FileDescriptor {
	t.Helper()
	source := &protocompile.SourceResolver{
		Accessor: protocompile.SourceAccessorFromMap(map[string]string{
			"schema.proto": text,
		}),
	}
	options := protocompile.ResolverFunc(func(path string) (protocompile.SearchResult, error) {
		if path != "foxtailpulley/schema/v1/options.proto" {
			return protocompile.SearchResult{}, os.ErrNotExist
		}
		return protocompile.SearchResult{
			Desc: fpoption.File_foxtailpulley_schema_v1_options_proto,
		}, nil
	})
	com := protocompile.Compiler{
		Resolver: protocompile.WithStandardImports(protocompile.CompositeResolver{source, options}),
	}
	files, err := com.Compile(t.Context(), "schema.proto")
	if err != nil {
		t.Fatal(err)
	}
	return files[0]
}
