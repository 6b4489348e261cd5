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

var update = flag.Bool("update", false, "write the golden files of the sessions")

// oneVM is a layout of one VM, so that the leader of each group and the VM that answers are always the same.
func oneVM() layout {
	voters := []string{"a1"}
	return layout{
		vms: []place{
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

// session is the text of a session, which is compared with a golden file.
type session struct {
	sys  *system
	text strings.Builder
	ids  []string
}

func (ses *session) step(title string) { fmt.Fprintf(&ses.text, "## %s\n", title) }

// newID returns an idempotency key. It holds the time, so it is masked by its number in the session.
func (ses *session) newID() string {
	id := newID(ses.sys.t)
	ses.ids = append(ses.ids, id)
	return id
}

// masks replace times, ports and versions. Columns of a table are as wide as the values in them, so their padding is
// reduced as well.
var masks = []struct {
	pattern *regexp.Regexp
	with    string
}{
	{
		pattern: regexp.MustCompile(`(?m)^(Date: ).*$`),
		with:    "${1}TIME",
	},
	{
		pattern: regexp.MustCompile(`127\.0\.0\.1:\d+`),
		with:    "127.0.0.1:PORT",
	},
	{
		// term, commit index, applied index and version of the table of a group in the status
		pattern: regexp.MustCompile(`(?m)^((?:root|r) +a1 +)\d+ +\d+ +\d+( +a1 +)\d+/\d+`),
		with:    "${1}TERM  INDEX  INDEX${2}TERM/INDEX",
	},
	{
		// the root group homes no slots and has no table
		pattern: regexp.MustCompile(`(?m)^(root +a1 +)\d+ +\d+ +\d+`),
		with:    "${1}TERM  INDEX  INDEX",
	},
	{
		pattern: regexp.MustCompile(`-?\b\d+(?:\.\d+)?(?:µs|ms|s)\b`),
		with:    "TIME",
	},
	{
		pattern: regexp.MustCompile(`(?m) +$`),
		with:    "",
	},
	{
		pattern: regexp.MustCompile(` {2,}`),
		with:    "  ",
	},
}

// versions finds the versions of the configuration, in output and in messages.
var versions = regexp.MustCompile(`\b(\d+)/(\d+)\b|\((\d+), (\d+)\)`)

// maskVersions replaces each version by its number in the session, so that equal versions stay equal.
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

// check compares the session with its golden file, or writes the file.
func (ses *session) check(name string) {
	ses.sys.t.Helper()
	text := strings.ReplaceAll(ses.text.String(), "\r\n", "\n")
	for num, id := range ses.ids {
		text = strings.ReplaceAll(text, id, fmt.Sprintf("ID-%d", num+1))
	}
	for _, mas := range masks {
		text = mas.pattern.ReplaceAllString(text, mas.with)
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
		one, two := "(end)", "(end)"
		if num < len(got) {
			one = got[num]
		}
		if num < len(expected) {
			two = expected[num]
		}
		if one != two {
			ses.sys.t.Fatalf("%s, line %d: got %q, want %q; the whole session:\n%s", path, num+1, one, two, text)
		}
	}
}

// call sends a request and records it with its answer as they are on the wire.
func (ses *session) call(title, path, body string, headers map[string]string) {
	ses.sys.t.Helper()
	ses.step(title)
	req, err := http.NewRequestWithContext(ses.sys.t.Context(), http.MethodPost, "http://"+ses.sys.machines["a1"].callers+path, strings.NewReader(body))
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

// TestCallerSession guards against unintended changes of what a caller sees: headers, codes, kinds, outcomes and messages.
func TestCallerSession(t *testing.T) {
	t.Parallel()
	const harbour = `{"key":"harbour"}`
	sys := newSystem(t, oneVM())
	sys.addPlans(1)
	sys.addSwitches(1)
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
		"Idempotency-Key": ses.newID(),
	}
	ses.call("non-idempotent keyed call", planSet, harbour, set)
	ses.call("the same call again", planSet, harbour, set)
	ses.call("the same idempotency key with another body", planSet, `{"key":"quay"}`, set)
	ses.call("the same idempotency key with another method", switchOn, harbour, set)
	ses.call("non-idempotent unkeyed call", switchOn, `{}`, map[string]string{
		"Idempotency-Key": ses.newID(),
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
	ses.check("caller.golden")
}

// runClient runs the operators' client against a1 and records what it prints.
func (ses *session) runClient(client, title string, args ...string) string {
	ses.sys.t.Helper()
	ses.step(title)
	cmd := exec.CommandContext(ses.sys.t.Context(), client, append([]string{"--address", ses.sys.machines["a1"].operator, "--plain-text"}, args...)...)
	cmd.Dir = ses.sys.folder
	var out, fails bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &fails
	_ = cmd.Run() // the exit code is part of the session
	fmt.Fprintf(&ses.text, "$ foxtailctl %s\n%s%sexit code %d\n\n", strings.Join(args, " "), out.String(), fails.String(), cmd.ProcessState.ExitCode())
	return out.String()
}

// TestOperatorSession guards against unintended changes of what an operator sees: output, messages and exit codes.
func TestOperatorSession(t *testing.T) {
	t.Parallel()
	client := filepath.Join(t.TempDir(), "foxtailctl")
	if out, err := exec.Command("go", "build", "-o", client, "../../../cmd/foxtailctl").CombinedOutput(); err != nil {
		t.Fatalf("build the client: %v\n%s", err, out)
	}
	sys := newSystem(t, oneVM())
	sys.addPlans(1)
	sys.addUpstream(place{
		name:       "plan-2",
		dataCentre: "a",
	}, planService)
	ses := &session{
		sys: sys,
	}
	first := ses.runClient(client, "configuration in force", "get")
	version := regexp.MustCompile(`\d+/\d+`).FindString(first)
	sys.writeChanged("changed.json", 0.2)
	sys.writeChanged("late.json", 0.3)
	id, late := ses.newID(), ses.newID()
	ses.runClient(client, "change", "apply", "changed.json", "--expected", version, "--request-id", id)
	ses.runClient(client, "change of a version that is no longer in force", "apply", "late.json", "--expected", version, "--request-id", late)
	ses.runClient(client, "the accepted change, sent again", "apply", "changed.json", "--expected", version, "--request-id", id)
	ses.runClient(client, "the refused change, sent again", "apply", "late.json", "--expected", version, "--request-id", late)
	drain := ses.newID()
	ses.runClient(client, "drain of an upstream", "drain", "upstream", "plan-1", "--request-id", drain)
	ses.runClient(client, "the same drain, sent again", "drain", "upstream", "plan-1", "--request-id", drain)
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
	ses.runClient(client, "undrain", "undrain", "upstream", "plan-1", "--request-id", ses.newID())
	sys.eventually("the configuration without the drain is in force", func() bool {
		return len(sys.configuration("a1").GetConfiguration().GetDrainedUpstreams()) == 0
	})
	ses.runClient(client, "configuration without the drain", "get")
	ses.check("operator.golden")
}

// writeChanged writes the first configuration with another budget for retries.
func (sys *system) writeChanged(name string, budget float64) {
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
