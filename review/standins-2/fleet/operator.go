package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Service is a service of a configuration.
type Service struct {
	Name    string
	Sharded bool
}

// Route is a route of a configuration. Its hostname is that of the deployment.
type Route struct {
	Name, Prefix, Kind, Service string
}

// Hostname is that of all routes.
const Hostname = "review.example"

// Configuration returns the JSON form of a configuration as PROTOCOL.md describes it.
func Configuration(version uint64, services []Service, routes []Route) []byte {
	return ConfigurationWithHeaders(version, 16384, services, routes)
}

// ConfigurationWithHeaders is Configuration with the largest header that clients may send, in bytes.
func ConfigurationWithHeaders(version uint64, maxHeaderBytes int, services []Service, routes []Route) []byte {
	var sers, rous []map[string]any
	for _, ser := range services {
		one := map[string]any{
			"name":        ser.Name,
			"health_path": "/health",
			"max_conns":   110,
			"protocol":    "h1",
			"tls":         false,
		}
		if ser.Sharded {
			one["sharded"], one["warmup"], one["grants"] = true, "5s", "invoke"
		}
		sers = append(sers, one)
	}
	for _, rou := range routes {
		rous = append(rous, map[string]any{
			"name":         rou.Name,
			"hostname":     Hostname,
			"path_prefix":  rou.Prefix,
			"kind":         rou.Kind,
			"timeout":      "1000ms",
			"slo":          "400ms",
			"priority":     1,
			"service":      rou.Service,
			"max_attempts": 2,
		})
	}
	buf, err := json.Marshal(map[string]any{
		"version":  version,
		"routes":   rous,
		"services": sers,
		"limits": map[string]any{
			"max_header_bytes": maxHeaderBytes,
			"max_body_bytes":   67108864,
			"header_timeout":   "3000ms",
			"idle_timeout":     "15000ms",
		},
	})
	if err != nil {
		panic(err) // only maps of texts and numbers
	}
	return buf
}

// Operator calls the control API. It gives a call a second, and goes on to the next VM after a failure.
type Operator struct {
	Record *Record
	Client http.Client
}

// NewOperator returns an operator.
func NewOperator(rec *Record) *Operator {
	return &Operator{
		Record: rec,
		Client: http.Client{
			Transport: &http.Transport{
				DisableKeepAlives: true,
			},
		},
	}
}

// Call sends one call to one VM and returns the status, or 0 without an answer within a second.
func (ope *Operator) Call(vm *VM, call string, body []byte) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+vm.Control+"/rpc?call="+call, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := ope.Client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = res.Body.Close() }()
	answer, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, nil
	}
	return res.StatusCode, answer
}

// Put sends a configuration to one VM after the other until one acknowledges it, and returns that VM, or nil if none has within a time.
func (ope *Operator) Put(vms []*VM, version uint64, body []byte, within time.Duration) *VM {
	ope.Record.Write("configuration %d sent", version)
	for end, num := time.Now().Add(within), 0; time.Now().Before(end); num++ {
		vm := vms[num%len(vms)]
		status, _ := ope.Call(vm, "config.put", body)
		ope.Record.Write("configuration %d at %s: status %d", version, vm.Name, status)
		if status == http.StatusOK {
			return vm
		}
		time.Sleep(200 * time.Millisecond)
	}
	return nil
}

// Read reads the configuration from one VM and returns its version, or an error.
func (ope *Operator) Read(vm *VM) (uint64, error) {
	status, body := ope.Call(vm, "config.get", []byte("{}"))
	if status != http.StatusOK {
		return 0, fmt.Errorf("status %d", status)
	}
	var cfg struct {
		Version uint64 `json:"version"`
	}
	if err := json.Unmarshal(body, &cfg); err != nil {
		return 0, err
	}
	return cfg.Version, nil
}
