package fpsystem_test

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"net/http/httputil"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/foxtailpulley/foxtailpulley/api/operator/fpoperator"
	"github.com/foxtailpulley/foxtailpulley/internal/bench/fpupstream"
)

var update = flag.Bool("update", false, "write the golden files")

// oneVM returns a layout of one VM, so that the leader of each group and the VM that answers are the same in each run.
func oneVM() layout {
	voters := []string{"a1"}
	return layout{
		vms: []location{
			{
				name:       "a1",
				dataCentre: "a",
				region:     "r",
			},
		},
		groups: []groupSetting{
			{
				Name:   "root",
				Voters: voters,
				Scope:  []string{},
			},
			{
				Name:   "r",
				Voters: voters,
				Scope:  []string{"a"},
			},
		},
	}
}

// session records requests and their answers, or commands and their output, for comparison with a golden file.
type session struct {
	sys  *system
	text strings.Builder
	ids  []string // ids of requests, in the order of their creation
}

// heading begins a section of the session.
func (ses *session) heading(title string) { fmt.Fprintf(&ses.text, "## %s\n", title) }

// newRequestID returns an idempotency key, or an id of an operator's request. It differs in each run, so the golden file has
// ID- and its number instead.
func (ses *session) newRequestID() string {
	id := newRequestID(ses.sys.t)
	ses.ids = append(ses.ids, id)
	return id
}

// masks replace what differs from run to run: times, ports, and the terms and indexes of groups. The width of the columns
// of a table depends on the values, so runs of spaces are shortened, too.
var masks = []struct {
	pattern     *regexp.Regexp
	replacement string
}{
	{
		pattern:     regexp.MustCompile(`(?m)^(Date: ).*$`),
		replacement: "${1}TIME",
	},
	{
		pattern:     regexp.MustCompile(`127\.0\.0\.1:\d+`),
		replacement: "127.0.0.1:PORT",
	},
	{
		// term, commit index, applied index and version of the table of a group in the status
		pattern:     regexp.MustCompile(`(?m)^((?:root|r) +a1 +)\d+ +\d+ +\d+( +a1 +)\d+/\d+`),
		replacement: "${1}TERM  INDEX  INDEX${2}TERM/INDEX",
	},
	{
		// the same without a table for the root group, which is home to no slots
		pattern:     regexp.MustCompile(`(?m)^(root +a1 +)\d+ +\d+ +\d+`),
		replacement: "${1}TERM  INDEX  INDEX",
	},
	{
		pattern:     regexp.MustCompile(`-?\b\d+(?:\.\d+)?(?:µs|ms|s)\b`),
		replacement: "TIME",
	},
	{
		pattern:     regexp.MustCompile(`(?m) +$`),
		replacement: "",
	},
	{
		pattern:     regexp.MustCompile(` {2,}`),
		replacement: "  ",
	},
}

// versions matches versions of the configuration, as TERM/INDEX in output and as (TERM, INDEX) in messages.
var versions = regexp.MustCompile(`\b(\d+)/(\d+)\b|\((\d+), (\d+)\)`)

// maskVersions replaces each version by VERSION- and a number, in the order of first occurrence. Equal versions get the same
// number.
func maskVersions(text string) string {
	var known []string
	return versions.ReplaceAllStringFunc(text, func(found string) string {
		parts := versions.FindStringSubmatch(found)
		version := parts[1] + parts[3] + "/" + parts[2] + parts[4]
		if !slices.Contains(known, version) {
			known = append(known, version)
		}
		return fmt.Sprintf("VERSION-%d", slices.Index(known, version)+1)
	})
}

// compareGolden compares the masked session with a golden file in testdata and fails the test at the first line that
// differs. With the flag -update it writes the file.
func (ses *session) compareGolden(name string) {
	ses.sys.t.Helper()
	text := strings.ReplaceAll(ses.text.String(), "\r\n", "\n")
	for num, id := range ses.ids {
		text = strings.ReplaceAll(text, id, fmt.Sprintf("ID-%d", num+1))
	}
	for _, mas := range masks {
		text = mas.pattern.ReplaceAllString(text, mas.replacement)
	}
	text = maskVersions(text)
	path := filepath.Join("testdata", name)
	if *update {
		if err := os.MkdirAll("testdata", 0o755); err != nil {
			ses.sys.t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			ses.sys.t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(path)
	if err != nil {
		ses.sys.t.Fatal(err)
	}
	if text == string(want) {
		return
	}
	got, expected := strings.Split(text, "\n"), strings.Split(string(want), "\n")
	for num := range max(len(got), len(expected)) {
		gotLine, wantLine := "(end)", "(end)"
		if num < len(got) {
			gotLine = got[num]
		}
		if num < len(expected) {
			wantLine = expected[num]
		}
		if gotLine != wantLine {
			ses.sys.t.Fatalf("%s, line %d: got %q, want %q; complete session:\n%s", path, num+1, gotLine, wantLine, text)
		}
	}
}

// call sends a request to a1 and records the request and its answer as sent on the wire.
func (ses *session) call(title, path, body string, headers map[string]string) {
	ses.sys.t.Helper()
	ses.heading(title)
	req, err := http.NewRequestWithContext(ses.sys.t.Context(), http.MethodPost, "http://"+ses.sys.machines["a1"].callerAddress+path, strings.NewReader(body))
	if err != nil {
		ses.sys.t.Fatal(err)
	}
	req.Header.Set("Content-Type", "application/json")
	for name, value := range headers {
		req.Header.Set(name, value)
	}
	sent, err := httputil.DumpRequestOut(req, true)
	if err != nil {
		ses.sys.t.Fatal(err)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		ses.sys.t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	got, err := httputil.DumpResponse(res, true)
	if err != nil {
		ses.sys.t.Fatal(err)
	}
	fmt.Fprintf(&ses.text, "%s\n\n%s\n\n", bytes.TrimSpace(sent), bytes.TrimSpace(got))
}

// TestCallerSession guards against unintended changes of answers to callers: status codes, headers, error kinds, outcomes and
// messages.
func TestCallerSession(t *testing.T) {
	t.Parallel()
	const harbour = `{"key":"harbour"}`
	sys := newSystem(t, oneVM())
	sys.addKeyedUpstreams(1)
	sys.addUnkeyedUpstreams(1)
	for _, path := range []string{planGet, switchRead} {
		sys.awaitServed(request{
			vm:   "a1",
			path: path,
			key:  "harbour",
		})
	}
	ses := &session{
		sys: sys,
	}
	ses.call("idempotent keyed call", planGet, harbour, nil)
	ses.call("idempotent unkeyed call", switchRead, `{}`, nil)
	set := map[string]string{
		"Idempotency-Key": ses.newRequestID(),
	}
	ses.call("non-idempotent keyed call", planSet, harbour, set)
	ses.call("the same call again", planSet, harbour, set)
	ses.call("the same idempotency key with another body", planSet, `{"key":"quay"}`, set)
	ses.call("the same idempotency key with another method", switchOn, harbour, set)
	ses.call("non-idempotent unkeyed call", switchOn, `{}`, map[string]string{
		"Idempotency-Key": ses.newRequestID(),
	})
	ses.call("non-idempotent call without an idempotency key", planSet, harbour, nil)
	ses.call("non-idempotent call with a malformed idempotency key", planSet, harbour, map[string]string{
		"Idempotency-Key": "harbour",
	})
	ses.call("keyed call without a key", planGet, `{}`, nil)
	ses.call("keyed call with a malformed body", planGet, `{"key":`, nil)
	ses.call("unknown method", "/test.v1.Plan/None", harbour, nil)
	ses.call("call beyond its deadline", switchRead, `{}`, map[string]string{
		"Connect-Timeout-Ms":   "100",
		fpupstream.SleepHeader: "1s",
	})
	ses.compareGolden("caller.golden")
}

// runClient runs foxtailctl, of which client is the path, against a1. It records and returns what it prints; the exit code
// is recorded, too.
func (ses *session) runClient(client, title string, args ...string) string {
	ses.sys.t.Helper()
	ses.heading(title)
	cmd := exec.CommandContext(ses.sys.t.Context(), client, append([]string{"--address", ses.sys.machines["a1"].operatorAddress, "--plain-text"}, args...)...)
	cmd.Dir = ses.sys.folder
	var stdout, stderr bytes.Buffer
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	_ = cmd.Run() // the exit code is recorded below
	fmt.Fprintf(&ses.text, "$ foxtailctl %s\n%s%sexit code %d\n\n", strings.Join(args, " "), stdout.String(), stderr.String(), cmd.ProcessState.ExitCode())
	return stdout.String()
}

// TestOperatorSession guards against unintended changes of foxtailctl: its output, messages and exit codes.
func TestOperatorSession(t *testing.T) {
	t.Parallel()
	client := filepath.Join(t.TempDir(), "foxtailctl")
	if out, err := exec.Command("go", "build", "-o", client, "../../../cmd/foxtailctl").CombinedOutput(); err != nil {
		t.Fatalf("cannot build foxtailctl: %v\n%s", err, out)
	}
	sys := newSystem(t, oneVM())
	sys.addKeyedUpstreams(1)
	sys.addUpstream(location{
		name:       "plan-2",
		dataCentre: "a",
	}, planService)
	ses := &session{
		sys: sys,
	}
	output := ses.runClient(client, "configuration in force", "get")
	version := regexp.MustCompile(`\d+/\d+`).FindString(output)
	sys.writeChangedConfiguration("changed.json", 0.2)
	sys.writeChangedConfiguration("late.json", 0.3)
	acceptedID, conflictingID := ses.newRequestID(), ses.newRequestID()
	ses.runClient(client, "change", "apply", "changed.json", "--expected", version, "--request-id", acceptedID)
	ses.runClient(client, "change of a version that is no longer in force", "apply", "late.json", "--expected", version, "--request-id", conflictingID)
	ses.runClient(client, "the accepted change, sent again", "apply", "changed.json", "--expected", version, "--request-id", acceptedID)
	ses.runClient(client, "the refused change, sent again", "apply", "late.json", "--expected", version, "--request-id", conflictingID)
	drainID := ses.newRequestID()
	ses.runClient(client, "drain of an upstream", "drain", "upstream", "plan-1", "--request-id", drainID)
	ses.runClient(client, "the same drain, sent again", "drain", "upstream", "plan-1", "--request-id", drainID)
	sys.eventually("the drain is confirmed and plan-2 owns all slots", func() bool {
		sta := sys.status("a1")
		for _, vms := range sta.GetVms() {
			if !proto.Equal(vms.GetConfiguration(), sta.GetConfiguration()) {
				return false
			}
		}
		return slices.ContainsFunc(sta.GetUpstreams(), func(ups *fpoperator.UpstreamStatus) bool {
			return ups.GetName() == "plan-2" && ups.GetSlots() == slots
		})
	})
	ses.runClient(client, "status", "status")
	ses.runClient(client, "configuration with the drain", "get")
	ses.runClient(client, "undrain", "undrain", "upstream", "plan-1", "--request-id", ses.newRequestID())
	sys.eventually("the configuration without the drain is in force", func() bool {
		return len(sys.configuration("a1").GetConfiguration().GetDrainedUpstreams()) == 0
	})
	ses.runClient(client, "configuration without the drain", "get")
	ses.compareGolden("operator.golden")
}

// writeChangedConfiguration writes the initial configuration with another retry budget to a file in the folder of the system.
func (sys *system) writeChangedConfiguration(name string, budget float64) {
	sys.t.Helper()
	data, err := os.ReadFile(filepath.Join(sys.folder, "configuration.json"))
	if err != nil {
		sys.t.Fatal(err)
	}
	cfg := map[string]any{}
	if err := json.Unmarshal(data, &cfg); err != nil {
		sys.t.Fatal(err)
	}
	cfg["retryBudget"] = budget
	sys.writeJSON(name, cfg)
}
