package fpsettings_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/foxtailpulley/foxtailpulley/api/operator/fpoperator"
	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/config/fpsettings"
)

// valid is a settings file without faults. Tests replace parts of it.
const valid = `{
  "vm": "bergen-a-1", "dataCentre": "bergen-a", "region": "vestland",
  "roles": ["entry", "control"],
  "dataFolder": "data",
  "listeners": {
    "callers": {"address": "127.0.0.1:7001"},
    "peers": {"address": "127.0.0.1:7101"},
    "operators": {"address": "127.0.0.1:7201"}
  },
  "vms": [
    {"name": "bergen-a-1", "dataCentre": "bergen-a", "region": "vestland", "roles": ["entry", "control"],
      "peerAddress": "127.0.0.1:7101", "operatorAddress": "127.0.0.1:7201"},
    {"name": "oslo-a-1", "dataCentre": "oslo-a", "region": "ostland", "roles": ["entry"],
      "peerAddress": "127.0.0.1:7102", "operatorAddress": "127.0.0.1:7202"}
  ],
  "groups": [
    {"name": "root", "voters": ["bergen-a-1"]},
    {"name": "vestland", "voters": ["bergen-a-1"], "scope": ["bergen-a", "oslo-a"]}
  ],
  "plainTextLoopback": true,
  "timings": {"drainDelay": "250ms"}
}`

// TestParseReportsAllFaults guards against reporting only the first fault.
func TestParseReportsAllFaults(t *testing.T) {
	text := strings.NewReplacer(
		`"drainDelay": "250ms"`, `"drainDelay": "-1s", "drainDelai": "1s"`,
		`"voters": ["bergen-a-1"], "scope"`, `"voters": ["oslo-a-1"], "scope"`,
	).Replace(valid)
	_, err := fpsettings.Parse([]byte(text), "/etc/foxtailpulley")
	if !fperror.Is(err, fperror.InvalidSettings) {
		t.Fatalf("kind of %v is not invalidSettings", err)
	}
	want := []string{
		`timings.drainDelay: "-1s"; accepted: a duration from "0s" to "10m0s"`,
		`timings.drainDelai: "1s"; accepted: no such field; the fields are announce, configurationWait, dialTimeout, ` +
			`drainDelay, electionTimeoutMax, electionTimeoutMin, heartbeat, lease, pingTimeout, poll, readIdle, tableValidity`,
		`groups[1].voters[0]: "oslo-a-1"; accepted: a VM with the role control`,
	}
	var got []string
	for _, fau := range fpsettings.FaultsOf(err) {
		got = append(got, fau.String())
		if !strings.Contains(err.Error(), fau.String()) {
			t.Errorf("the error text lacks %q", fau)
		}
	}
	if strings.Join(got, "\n") != strings.Join(want, "\n") {
		t.Errorf("got\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
}

// TestParseRejectsInvalidFields guards against a rule that is not checked or is reported for another field.
func TestParseRejectsInvalidFields(t *testing.T) {
	refuses := func(name, old, text, field string) {
		t.Run(name, func(t *testing.T) {
			if strings.Count(valid, old) != 1 {
				t.Fatalf("%q occurs %d times in the valid file, want 1", old, strings.Count(valid, old))
			}
			_, err := fpsettings.Parse([]byte(strings.Replace(valid, old, text, 1)), "/")
			for _, fau := range fpsettings.FaultsOf(err) {
				if fau.Field() == field {
					return
				}
			}
			t.Errorf("no fault of %s in: %v", field, err)
		})
	}
	refuses("field twice", `"dataFolder": "data",`, `"dataFolder": "data", "dataFolder": "other",`, "dataFolder")
	refuses("missing name", `"vm": "bergen-a-1", `, ``, "vm")
	refuses("null", `"dataFolder": "data"`, `"dataFolder": null`, "dataFolder")
	refuses("name in upper case", `"name": "root"`, `"name": "Root"`, "groups[0].name")
	refuses("no folder", `"dataFolder": "data",`, ``, "dataFolder")
	refuses("no role", `"roles": ["entry", "control"],
  "dataF`, `"roles": [], "dataF`, "roles")
	refuses("entry without callers", `"callers": {"address": "127.0.0.1:7001"},`, ``, "listeners.callers")
	refuses("host name", `"127.0.0.1:7001"`, `"localhost:7001"`, "listeners.callers.address")
	refuses("address of another listener", `"127.0.0.1:7001"`, `"127.0.0.1:7101"`, "listeners.callers.address")
	refuses("port 0", `"127.0.0.1:7001"`, `"127.0.0.1:0"`, "listeners.callers.address")
	refuses("limit as text", `7001"}`, `7001", "maxConnections": "9"}`, "listeners.callers.maxConnections")
	refuses("limit with a fraction", `7001"}`, `7001", "maxBodyBytes": 65536.5}`, "listeners.callers.maxBodyBytes")
	refuses("VM not listed", `"vm": "bergen-a-1"`, `"vm": "bergen-a-9"`, "vm")
	refuses("other data centre than listed", `"dataCentre": "bergen-a", "region": "vestland",
  `, `"dataCentre": "oslo-a", "region": "vestland",
  `, "dataCentre")
	refuses("other address than listed", `"peers": {"address": "127.0.0.1:7101"}`, `"peers": {"address": "127.0.0.1:7109"}`, "listeners.peers.address")
	refuses("VM twice", `"name": "oslo-a-1"`, `"name": "bergen-a-1"`, "vms[1].name")
	refuses("data centre in two regions", `"dataCentre": "oslo-a"`, `"dataCentre": "bergen-a"`, "vms[1].region")
	refuses("address twice", `"operatorAddress": "127.0.0.1:7202"`, `"operatorAddress": "127.0.0.1:7101"`, "vms[1].operatorAddress")
	refuses("voter not listed", `"voters": ["bergen-a-1"]}`, `"voters": ["bergen-b-1"]}`, "groups[0].voters[0]")
	refuses("voter twice", `"voters": ["bergen-a-1"]}`, `"voters": ["bergen-a-1", "bergen-a-1"]}`, "groups[0].voters[1]")
	refuses("no voter", `"voters": ["bergen-a-1"]}`, `"voters": []}`, "groups[0].voters")
	refuses("overlapping scopes", `"voters": ["bergen-a-1"]}`, `"voters": ["bergen-a-1"], "scope": ["oslo-a"]}`, "groups[1].scope[1]")
	refuses("unknown data centre", `"scope": ["bergen-a",`, `"scope": ["bergen-c",`, "groups[1].scope[0]")
	refuses("no scope", `"scope": ["bergen-a", "oslo-a"]`, `"scope": []`, "groups[1].scope")
	refuses("no root", `"name": "root"`, `"name": "roots"`, "groups[0].scope")
	refuses("plain text beyond loopback", `"peerAddress": "127.0.0.1:7102"`, `"peerAddress": "10.0.0.2:7102"`, "vms[1].peerAddress")
	refuses("neither TLS nor plain text", `"plainTextLoopback": true`, `"plainTextLoopback": false`, "tls")
	refuses("both TLS and plain text", `"plainTextLoopback": true`, `"plainTextLoopback": true, "tls": {"certificate": "a",
		"key": "c", "authority": "b", "vmIdentities": ["x"], "operatorIdentities": ["y"]}`, "plainTextLoopback")
	refuses("TLS without a key", `"plainTextLoopback": true`, `"tls": {"certificate": "a", "authority": "b",
		"vmIdentities": ["x"], "operatorIdentities": ["y"]}`, "tls.key")
	refuses("one identity in two roles", `"plainTextLoopback": true`, `"tls": {"certificate": "a", "key": "c", "authority": "b",
		"vmIdentities": ["x"], "operatorIdentities": ["x"]}`, "tls.operatorIdentities[0]")
	refuses("duration as number", `"250ms"`, `250`, "timings.drainDelay")
	refuses("election before the third heartbeat", `"250ms"`, `"1s", "heartbeat": "101ms"`, "timings.electionTimeoutMin")
	refuses("table expires before an election", `"250ms"`, `"1s", "tableValidity": "850ms"`, "timings.tableValidity")
	refuses("dead connection detected too late", `"250ms"`, `"1s", "readIdle": "1551ms"`, "timings.readIdle")
	refuses("log level", `"timings"`, `"logLevel": "loud", "timings"`, "logLevel")
	refuses("text after the end", `"timings": {"drainDelay": "250ms"}
}`, `"timings": {}} {}`, "(file)")
	refuses("not an object", valid, `[]`, "(file)")
	refuses("too deep", `"data",`, strings.Repeat("[", 100)+strings.Repeat("]", 100)+",", "(file)")
}

// TestValidSettings guards against other defaults of the timings than documented, and against wrong results for relative paths and
// for the group of a data centre.
func TestValidSettings(t *testing.T) {
	set, err := fpsettings.Parse([]byte(valid), "/etc/foxtailpulley")
	if err != nil {
		t.Fatal(err)
	}
	tim := set.Timings()
	got := fmt.Sprint(tim.Lease(), tim.TableValidity(), tim.Heartbeat(), tim.ElectionTimeoutMin(), tim.ElectionTimeoutMax(),
		tim.Poll(), tim.Announce(), tim.ConfigurationWait(), tim.DrainDelay())
	if want := "1s 1s 75ms 300ms 600ms 250ms 1s 6s 250ms"; got != want {
		t.Errorf("timings %s, want %s", got, want)
	}
	if tim.ReadIdle()+tim.PingTimeout() > 2*time.Second {
		t.Errorf("a silent connection is noticed after %v", tim.ReadIdle()+tim.PingTimeout())
	}
	if set.DataFolder() != "/etc/foxtailpulley/data" {
		t.Errorf("data folder %s", set.DataFolder())
	}
	if gro, ok := set.GroupOf("oslo-a"); !ok || gro.Name() != "vestland" {
		t.Errorf("group of oslo-a is %q", gro.Name())
	}
	if _, ok := set.GroupOf("oslo-b"); ok {
		t.Error("oslo-b has a group")
	}
}

// TestSettingsPageNamesEveryField guards against a field that docs/settings.md does not describe.
func TestSettingsPageNamesEveryField(t *testing.T) {
	page, err := os.ReadFile("../../../docs/settings.md")
	if err != nil {
		t.Fatal(err)
	}
	_, err = fpsettings.Parse([]byte(`{"x": 1, "listeners": {"x": 1, "callers": {"x": 1}}, "vms": [{"x": 1}], "groups": [{"x": 1}],
		"tls": {"x": 1}, "timings": {"x": 1}}`), "/")
	lists := 0
	for _, fau := range fpsettings.FaultsOf(err) {
		_, fields, found := strings.Cut(fau.Accepted(), "the fields are ")
		if !found {
			continue
		}
		lists++
		for _, field := range strings.Split(fields, ", ") {
			if !strings.Contains(string(page), "`"+field+"`") {
				t.Errorf("docs/settings.md does not name %s", field)
			}
		}
	}
	if lists != 7 {
		t.Errorf("%d kinds of objects have fields, want 7", lists)
	}
}

// TestConfigurationFile guards against errors in reading a configuration with its schema file and in checking it against the
// settings.
func TestConfigurationFile(t *testing.T) {
	folder := t.TempDir()
	schema := filepath.Join(folder, "schema.proto")
	if err := os.WriteFile(schema, []byte("syntax = \"proto3\";\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	read := func(text string) (*fpoperator.Configuration, error) {
		path := filepath.Join(folder, "configuration.json")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return fpsettings.LoadConfiguration(path)
	}
	cfg, err := read(`{"schemaFile": "schema.proto", "services": [{"name": "a.B", "slots": 8, "homes": [
		{"group": "vestland", "firstSlot": 4, "lastSlot": 7}, {"group": "vestland", "lastSlot": 3}]}]}`)
	if err != nil {
		t.Fatal(err)
	}
	if cfg.GetSchema() != "syntax = \"proto3\";\n" {
		t.Errorf("schema %q", cfg.GetSchema())
	}
	set, err := fpsettings.Parse([]byte(valid), "/")
	if err != nil {
		t.Fatal(err)
	}
	if faults := set.CheckConfiguration(cfg); len(faults) > 0 {
		t.Errorf("faults of a valid configuration: %v", faults)
	}
	cfg.Services[0].Homes[1].LastSlot = 2
	cfg.Services[0].Homes[0].Group = "root"
	cfg.DrainedVms = []string{"oslo-a-7"}
	got := fmt.Sprint(set.CheckConfiguration(cfg))
	for _, field := range []string{"services[0].homes[0].group", `services[0].homes: "slot 3"`, "drainedVms[0]"} {
		if !strings.Contains(got, field) {
			t.Errorf("no fault %s in %s", field, got)
		}
	}
	for _, text := range []string{
		`{"schemaFile": "schema.proto", "schema": "x"}`,
		`{"schemaFile": "absent.proto"}`,
		`{"schemaFile": 7}`,
		`{"servicez": []}`,
		`[]`,
	} {
		if _, err := read(text); !fperror.Is(err, fperror.InvalidConfiguration) {
			t.Errorf("%s: %v", text, err)
		}
	}
}

// FuzzParse guards against a panic, against an error without a fault, and against accepting settings that break rules on which
// other packages rely.
func FuzzParse(f *testing.F) {
	f.Add(valid)
	f.Add(`{"vms": [null, 1, {}], "groups": {}, "listeners": [], "timings": {"lease": "1h"}}`)
	f.Add(`{"vm": "\u0000", "roles": ["entry", "entry", 1], "tls": {"key": ""}}`)
	f.Fuzz(func(t *testing.T, text string) {
		set, err := fpsettings.Parse([]byte(text), "/")
		if err != nil {
			if len(fpsettings.FaultsOf(err)) == 0 {
				t.Fatalf("no fault in %v", err)
			}
			return
		}
		if _, ok := set.FindVM(set.VM()); !ok {
			t.Errorf("VM %q is not listed", set.VM())
		}
		if _, ok := set.FindGroup(fpsettings.RootGroup); !ok {
			t.Error("no root group")
		}
		if set.PlainTextLoopback() && !set.Peers().Address().Addr().IsLoopback() {
			t.Errorf("plain text on %v", set.Peers().Address())
		}
		for _, gro := range set.Groups() {
			for _, name := range gro.Voters() {
				if vm, _ := set.FindVM(name); !vm.HasRole(fpsettings.RoleControl) {
					t.Errorf("voter %q lacks the role control", name)
				}
			}
		}
	})
}
