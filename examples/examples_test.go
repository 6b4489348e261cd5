// Package examples_test writes the repetitive example files and checks all of them with the command check.
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

var update = flag.Bool("update", false, "write the example files that are generated")

// deployment describes one deployment of section 2 of docs/design.md.
type deployment struct {
	name        string
	network     int
	dataCentres []dataCentre
	services    []service
	minGain     float64
	linkRate    int
}

type dataCentre struct {
	name, sibling, region string
	vms                   int
}

type service struct {
	Name        string
	MaxDeadline string
}

// controlVMs is the number of VMs with disks in each data centre.
const controlVMs = 2

// The link between regions carries 30 Mbit/s, which is 3.75 MB/s. 80% of it is shared by the VMs of the larger region; the
// rest is left to control traffic.
var deployments = []deployment{
	{
		name:    "haugland",
		network: 10,
		dataCentres: []dataCentre{
			at("bergen-a", "bergen-b", "vestland", 3),
			at("bergen-b", "bergen-a", "vestland", 3),
			at("oslo-a", "oslo-b", "ostland", 3),
			at("oslo-b", "oslo-a", "ostland", 2),
		},
		services: []service{
			serving("haugland.v1.TimeplanService", ""),
			serving("haugland.v1.BryterService", ""),
			serving("haugland.v1.TrykkeriService", "120s"),
		},
		minGain:  0.1,
		linkRate: 500_000,
	},
	{
		name:    "cwtsh",
		network: 20,
		dataCentres: []dataCentre{
			at("caerdydd", "abertawe", "de-cymru", 3),
			at("abertawe", "caerdydd", "de-cymru", 2),
			at("bangor", "wrecsam", "gogledd", 3),
			at("wrecsam", "bangor", "gogledd", 2),
		},
		services: []service{
			serving("cwtsh.v1.StocService", ""),
			serving("cwtsh.v1.BlaendalService", ""),
			serving("cwtsh.v1.LlawlyfrService", "120s"),
		},
		// Cwtsh gives most weight to churn, so a move has to pay more than in Haugland.
		minGain:  0.25,
		linkRate: 600_000,
	},
}

func at(name, sibling, region string, vms int) dataCentre {
	return dataCentre{
		name:    name,
		sibling: sibling,
		region:  region,
		vms:     vms,
	}
}

func serving(name, maxDeadline string) service {
	return service{
		Name:        name,
		MaxDeadline: maxDeadline,
	}
}

type vm struct {
	Name, DataCentre, Region, Address string
	Roles                             []string
}

// Control reports whether the VM has a disk.
func (vm vm) Control() bool { return len(vm.Roles) > 1 }

type group struct {
	Name          string
	Voters, Scope []string
}

type home struct {
	Group       string
	First, Last int
}

func (dep deployment) vms() []vm {
	var vms []vm
	for at, dat := range dep.dataCentres {
		for number := 1; number <= dat.vms; number++ {
			roles := []string{"entry"}
			if number <= controlVMs {
				roles = append(roles, "control")
			}
			vms = append(vms, vm{
				Name:       fmt.Sprintf("%s-%d", dat.name, number),
				DataCentre: dat.name,
				Region:     dat.region,
				Address:    fmt.Sprintf("10.%d.%d.%d", dep.network, at+1, number),
				Roles:      roles,
			})
		}
	}
	return vms
}

// root has 3 voters in the first region and 2 in the second, in all four data centres, so that it survives the loss of any
// one data centre. Its scope is empty.
func (dep deployment) root() group {
	dat := dep.dataCentres
	return group{
		Name:   "root",
		Voters: []string{dat[0].name + "-1", dat[1].name + "-1", dat[1].name + "-2", dat[2].name + "-1", dat[3].name + "-1"},
	}
}

// perRegion returns root and a group per region: 2 voters in each of its data centres, and a tie-breaker in the other
// region.
func (dep deployment) perRegion() []group {
	dat := dep.dataCentres
	groups := []group{dep.root()}
	for at := 0; at < len(dat); at += 2 {
		one, two := dat[at].name, dat[at+1].name
		tieBreaker := dat[(at+2)%len(dat)].name
		groups = append(groups, group{
			Name:   dat[at].region,
			Voters: []string{one + "-1", one + "-2", two + "-1", two + "-2", tieBreaker + "-1"},
			Scope:  []string{one, two},
		})
	}
	return groups
}

// perDataCentre returns root and a group per data centre: 2 voters there and 1 in its sibling.
func (dep deployment) perDataCentre() []group {
	groups := []group{dep.root()}
	for _, dat := range dep.dataCentres {
		groups = append(groups, group{
			Name:   dat.name,
			Voters: []string{dat.name + "-1", dat.name + "-2", dat.sibling + "-1"},
			Scope:  []string{dat.name},
		})
	}
	return groups
}

// homes divides the slots evenly between the groups that have a scope.
func homes(groups []group) []home {
	scoped := groups[1:]
	width := fpsettings.DefaultSlots / len(scoped)
	var list []home
	for at, gro := range scoped {
		list = append(list, home{
			Group: gro.Name,
			First: at * width,
			Last:  (at+1)*width - 1,
		})
	}
	return list
}

var functions = template.FuncMap{
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

var settingsTemplate = template.Must(template.New("settings").Funcs(functions).Parse(`{
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

var configurationTemplate = template.Must(template.New("configuration").Funcs(functions).Parse(`{
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

// generate returns the files of one layout, by path relative to this folder.
func (dep deployment) generate(t *testing.T, layout string, groups []group) map[string][]byte {
	t.Helper()
	folder := filepath.Join(dep.name, layout)
	files := map[string][]byte{
		filepath.Join(folder, "configuration.json"): execute(t, configurationTemplate, map[string]any{
			"Services": dep.services,
			"Homes":    homes(groups),
			"MinGain":  dep.minGain,
			"LinkRate": dep.linkRate,
		}),
	}
	for _, vm := range dep.vms() {
		files[filepath.Join(folder, "vms", vm.Name+".json")] = execute(t, settingsTemplate, map[string]any{
			"Deployment": dep.name,
			"VM":         vm,
			"VMs":        dep.vms(),
			"Groups":     groups,
		})
	}
	return files
}

func execute(t *testing.T, tpl *template.Template, data any) []byte {
	t.Helper()
	var buf bytes.Buffer
	if err := tpl.Execute(&buf, data); err != nil {
		t.Fatal(err)
	}
	return buf.Bytes()
}

// TestGeneratedFiles guards against example files that differ from each other in what they should share. With -update it
// writes them.
func TestGeneratedFiles(t *testing.T) {
	for _, dep := range deployments {
		for layout, groups := range map[string][]group{
			"per-region":      dep.perRegion(),
			"per-data-centre": dep.perDataCentre(),
		} {
			for path, want := range dep.generate(t, layout, groups) {
				compare(t, path, want)
			}
		}
	}
}

func compare(t *testing.T, path string, want []byte) {
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
		t.Errorf("%s is not as generated; run go test ./examples -update", path)
	}
}

// TestCheckAcceptsExamples guards against example files that the program refuses, or that disagree within one layout.
func TestCheckAcceptsExamples(t *testing.T) {
	accepts := func(pattern string, count int) {
		paths, err := filepath.Glob(pattern)
		if err != nil {
			t.Fatal(err)
		}
		if len(paths) != count {
			t.Errorf("%s: %d settings files, want %d", pattern, len(paths), count)
		}
		var stdout, stderr bytes.Buffer
		pro := &fpcommand.Program{
			Stdout: &stdout,
			Stderr: &stderr,
		}
		if code := pro.Main(t.Context(), append([]string{"check"}, paths...)); code != fpcommand.ExitOK {
			t.Errorf("check %s: exit code %d\n%s", pattern, code, stderr.String())
		}
	}
	accepts("haugland/per-region/vms/*.json", 11)
	accepts("haugland/per-data-centre/vms/*.json", 11)
	accepts("cwtsh/per-region/vms/*.json", 10)
	accepts("cwtsh/per-data-centre/vms/*.json", 10)
	accepts("local/[ot]*.json", 2)
}

// TestSchemasCompile guards against schema files that do not compile, and against services that a configuration names and
// its schema lacks.
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
		fil := compile(t, cfg.GetSchema())
		for _, svc := range cfg.GetServices() {
			name := protoreflect.FullName(svc.GetName())
			if name.Parent() != fil.Package() || fil.Services().ByName(name.Name()) == nil {
				t.Errorf("%s: the schema lacks %s", path, name)
			}
		}
	}
}

func compile(t *testing.T, text string) protoreflect.FileDescriptor {
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
