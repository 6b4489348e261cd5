package fpgateway

import (
	"strings"
	"testing"
	"time"
)

const valid = `{
  "vm": "entry-1", "dataCentre": "east-1", "region": "east", "regions": {"east-1": "east", "west-1": "west"},
  "seeds": ["127.0.0.1:7001"], "firstStart": true,
  "listen": {"callers": "127.0.0.1:7101", "ready": "127.0.0.1:7102"},
  "promises": {"stop": "6s", "retryWindow": "10s", "retryExtra": 56, "retryShare": 0.2, "evacuate": "4s", "catchUp": "6s"},
  "losses": {"vms": 1}, "memoryMiB": 64, "logLevel": "info"
}`

// TestParse guards against a field of the settings that is ignored or read into another one.
func TestParse(t *testing.T) {
	set, err := Parse([]byte(valid))
	if err != nil {
		t.Fatal(err)
	}
	if set.VM() != "entry-1" || set.Region("west-1") != "west" || set.Callers() != "127.0.0.1:7101" || !set.FirstStart() {
		t.Errorf("got VM %q, region %q, callers %q, first start %t", set.VM(), set.Region("west-1"), set.Callers(), set.FirstStart())
	}
	want := Promises{
		Stop:        6 * time.Second,
		RetryWindow: 10 * time.Second,
		RetryExtra:  56,
		RetryShare:  0.2,
		MaxHold:     defaultMaxHold,
		Drain:       defaultDrain,
		Evacuate:    4 * time.Second,
		CatchUp:     6 * time.Second,
	}
	if set.Promises() != want {
		t.Errorf("got promises %+v, want %+v", set.Promises(), want)
	}
	if !IsGateway([]byte(valid)) || IsGateway([]byte(`{"vm":"one"}`)) {
		t.Error("IsGateway does not distinguish the two kinds of settings files")
	}
}

// TestParseReportsAllFaults guards against an error that names only the first fault of a settings file.
func TestParseReportsAllFaults(t *testing.T) {
	_, err := Parse([]byte(`{"seeds": ["nowhere"], "listen": {"callers": "x", "control": "127.0.0.1:1"}, "losses": {"vms": -1},
		"promises": {"stop": "soon", "retryShare": -1}}`))
	if err == nil {
		t.Fatal("invalid settings were accepted")
	}
	for _, field := range []string{"vm:", "dataCentre:", "seeds:", "listen.callers:", "listen.ready:", "dataFolder:", "losses:", "promises.stop:", "promises:"} {
		if !strings.Contains(err.Error(), field) {
			t.Errorf("the error does not name the fault of %s: %v", field, err)
		}
	}
	if _, err := Parse([]byte(`{"vm": "one", "sedes": []}`)); err == nil || !strings.Contains(err.Error(), "sedes") {
		t.Errorf("the error does not name the unknown field: %v", err)
	}
}
