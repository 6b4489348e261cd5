// Package fpgateway reads and checks the settings file of a VM in a deployment with HTTP routes.
package fpgateway

import (
	"bytes"
	"encoding/json"
	"maps"
	"net"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
)

// file is the JSON form of the settings file. See docs/settings.md for its fields.
type file struct {
	VM         string            `json:"vm"`
	DataCentre string            `json:"dataCentre"`
	Region     string            `json:"region"`
	Regions    map[string]string `json:"regions"`
	Seeds      []string          `json:"seeds"`
	// FirstStart must be true only if all VMs of the deployment start with empty disks.
	FirstStart bool     `json:"firstStart"`
	DataFolder string   `json:"dataFolder"`
	Listen     listen   `json:"listen"`
	Promises   promises `json:"promises"`
	Losses     losses   `json:"losses"`
	Memory     int64    `json:"memoryMiB"`
	LinkMbps   float64  `json:"linkMbps"`
	LogLevel   string   `json:"logLevel"`
	// SharedPlaces must be equal on all entry VMs.
	SharedPlaces bool `json:"sharedPlaces"`
}

type listen struct {
	Callers string `json:"callers"`
	Ready   string `json:"ready"`
	Control string `json:"control"`
	Relay   string `json:"relay"`
	Metrics string `json:"metrics"`
}

type promises struct {
	Stop        string  `json:"stop"`
	RetryWindow string  `json:"retryWindow"`
	RetryExtra  float64 `json:"retryExtra"`
	RetryShare  float64 `json:"retryShare"`
	MaxHold     string  `json:"maxHold"`
	Drain       string  `json:"drain"`
	Evacuate    string  `json:"evacuate"`
	CatchUp     string  `json:"catchUp"`
}

type losses struct {
	VMs         int `json:"vms"`
	DataCentres int `json:"dataCentres"`
	Regions     int `json:"regions"`
}

// Settings are the checked settings of a VM.
type Settings struct {
	file     file
	promises Promises
}

// IsGateway reports whether the text of a settings file is meant for this package and not for package fpsettings, whose
// deployments have a schema. Only files for this package have the field seeds. Invalid JSON is not meant for it.
func IsGateway(buf []byte) bool {
	var head struct {
		Seeds json.RawMessage `json:"seeds"`
	}
	return json.Unmarshal(buf, &head) == nil && head.Seeds != nil
}

// Load reads and checks a settings file. Its error is of kind InvalidSettings and lists all faults of the fields.
func Load(path string) (*Settings, error) {
	buf, err := os.ReadFile(path)
	if err != nil {
		return nil, fperror.Wrap(fperror.InvalidSettings, err, "read the settings")
	}
	return Parse(buf)
}

// Parse reads and checks the text of a settings file. Its error is of kind InvalidSettings and lists all faults of the fields.
func Parse(buf []byte) (*Settings, error) {
	set := &Settings{}
	dec := json.NewDecoder(bytes.NewReader(buf))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&set.file); err != nil {
		return nil, fperror.Wrap(fperror.InvalidSettings, err, "read the settings")
	}
	if faults := append(set.faults(), set.readPromises()...); len(faults) > 0 {
		return nil, fperror.New(fperror.InvalidSettings, "%s", strings.Join(faults, "; "))
	}
	return set, nil
}

// faults returns the faults of all fields but promises.
func (set *Settings) faults() []string {
	var all []string
	fault := func(field, text string) { all = append(all, field+": "+text) }
	fil := &set.file
	if fil.VM == "" {
		fault("vm", "is missing")
	}
	if fil.DataCentre == "" {
		fault("dataCentre", "is missing")
	}
	if len(fil.Seeds) == 0 {
		fault("seeds", "is empty; at least one control VM must be known")
	}
	for _, seed := range fil.Seeds {
		if _, err := netip.ParseAddrPort(seed); err != nil {
			fault("seeds", strconv.Quote(seed)+" is not an IP number and port")
		}
	}
	for _, lis := range []struct{ field, address string }{
		{field: "listen.callers", address: fil.Listen.Callers},
		{field: "listen.ready", address: fil.Listen.Ready},
		{field: "listen.control", address: fil.Listen.Control},
		{field: "listen.metrics", address: fil.Listen.Metrics},
		{field: "listen.relay", address: fil.Listen.Relay},
	} {
		if _, err := netip.ParseAddrPort(lis.address); lis.address != "" && err != nil {
			fault(lis.field, strconv.Quote(lis.address)+" is not an IP number and port")
		}
	}
	if fil.Listen.Callers == "" && fil.Listen.Control == "" {
		fault("listen", "needs callers or control")
	}
	if fil.Listen.Callers != "" && fil.Listen.Ready == "" {
		fault("listen.ready", "is missing beside listen.callers")
	}
	if fil.Listen.Control != "" && fil.DataFolder == "" {
		fault("dataFolder", "is missing beside listen.control")
	}
	if min(fil.Losses.VMs, fil.Losses.DataCentres, fil.Losses.Regions) < 0 {
		fault("losses", "vms, dataCentres or regions is below 0")
	}
	return all
}

// VM returns the name of the VM.
func (set *Settings) VM() string { return set.file.VM }

// DataCentre returns the data centre of the VM.
func (set *Settings) DataCentre() string { return set.file.DataCentre }

// Region returns the region of a data centre, or "" if the settings do not name it.
func (set *Settings) Region(dataCentre string) string { return set.file.Regions[dataCentre] }

// DataCentres returns the data centres whose region the settings name, in ascending order.
func (set *Settings) DataCentres() []string { return slices.Sorted(maps.Keys(set.file.Regions)) }

// Seeds returns the addresses of at least one control VM.
func (set *Settings) Seeds() []string { return set.file.Seeds }

// FirstStart reports whether all VMs of the deployment start with empty disks.
func (set *Settings) FirstStart() bool { return set.file.FirstStart }

// DataFolder returns the folder of the durable state. It is set if Control is.
func (set *Settings) DataFolder() string { return set.file.DataFolder }

// Callers returns the address of the listener for callers, or "" if there is none.
func (set *Settings) Callers() string { return set.file.Listen.Callers }

// Ready returns the address of the readiness check, which reports whether the VM accepts callers. It is set if Callers is.
func (set *Settings) Ready() string { return set.file.Listen.Ready }

// Relay returns the address of the listener for requests that this VM relays for other entry VMs. Without one in the file it
// is any free port of the address for callers.
func (set *Settings) Relay() string {
	if set.file.Listen.Relay != "" {
		return set.file.Listen.Relay
	}
	host, _, err := net.SplitHostPort(set.file.Listen.Callers)
	if err != nil {
		return ""
	}
	return net.JoinHostPort(host, "0")
}

// Control returns the address of the listener for upstreams, operators and other VMs, or "" if there is none.
func (set *Settings) Control() string { return set.file.Listen.Control }

// Metrics returns the address at which the metrics are served, or "" if they are not.
func (set *Settings) Metrics() string { return set.file.Listen.Metrics }

// ToleratedLosses returns how many control VMs the deployment must be able to lose at once. A data centre or a region
// counts as one control VM.
func (set *Settings) ToleratedLosses() int {
	return max(set.file.Losses.VMs, set.file.Losses.DataCentres, set.file.Losses.Regions)
}

// MemoryLimit returns the memory limit of the process in bytes, or 0 if there is none.
func (set *Settings) MemoryLimit() int64 { return set.file.Memory << 20 }

// LinkRate returns the rate of the VM's own network link in bytes per second, or 0 if it is not known.
func (set *Settings) LinkRate() float64 {
	const bitsPerByte, mega = 8, 1e6
	return set.file.LinkMbps * mega / bitsPerByte
}

// SharedPlaces reports whether the entry VMs account the places of upstreams together.
func (set *Settings) SharedPlaces() bool { return set.file.SharedPlaces }

// LogLevel returns the lowest level that is logged, as in the file. It is not checked and may be "".
func (set *Settings) LogLevel() string { return set.file.LogLevel }

// Promises are limits that the deployment as a whole promises to keep.
type Promises struct {
	// Stop is the time between the stop signal and the kill of the process.
	Stop time.Duration
	// RetryShare and RetryExtra bound the retries to a service by all VMs together. In every RetryWindow there may be at most
	// RetryShare (a fraction) of its requests plus RetryExtra retries.
	RetryShare  float64
	RetryExtra  float64
	RetryWindow time.Duration
	// MaxHold is the maximum hold time of a grant.
	MaxHold time.Duration
	// Drain is the time after an upstream has said that it leaves in which it may still get requests.
	Drain time.Duration
	// Evacuate is the time after the acknowledgement of an evacuation in which upstreams of the data centre may still get requests.
	Evacuate time.Duration
	// CatchUp is the time after the start of the successor of a lost control VM from which the loss of another one is tolerated.
	CatchUp time.Duration
}

// Defaults of the promises that the settings file omits. That of RetryExtra is 0.
const (
	defaultStop        = 6 * time.Second
	defaultRetryWindow = 10 * time.Second
	defaultRetryShare  = 0.1
	defaultMaxHold     = 10 * time.Second
	defaultDrain       = 2500 * time.Millisecond
	defaultEvacuate    = 5 * time.Second
	defaultCatchUp     = 4 * time.Second
)

// Promises returns the promised limits, with defaults for those that the settings file omits.
func (set *Settings) Promises() Promises { return set.promises }

// readPromises sets the promises from the file and returns their faults.
func (set *Settings) readPromises() []string {
	var all []string
	fil := &set.file.Promises
	duration := func(field, text string, fallback time.Duration) time.Duration {
		if text == "" {
			return fallback
		}
		dur, err := time.ParseDuration(text)
		if err != nil || dur <= 0 {
			all = append(all, "promises."+field+": "+strconv.Quote(text)+" is not a time above 0")
		}
		return dur
	}
	set.promises = Promises{
		Stop:        duration("stop", fil.Stop, defaultStop),
		RetryWindow: duration("retryWindow", fil.RetryWindow, defaultRetryWindow),
		RetryExtra:  fil.RetryExtra,
		RetryShare:  fil.RetryShare,
		MaxHold:     duration("maxHold", fil.MaxHold, defaultMaxHold),
		Drain:       duration("drain", fil.Drain, defaultDrain),
		Evacuate:    duration("evacuate", fil.Evacuate, defaultEvacuate),
		CatchUp:     duration("catchUp", fil.CatchUp, defaultCatchUp),
	}
	if fil.RetryShare == 0 {
		set.promises.RetryShare = defaultRetryShare
	}
	if fil.RetryShare < 0 || fil.RetryExtra < 0 {
		all = append(all, "promises: retryShare or retryExtra is below 0")
	}
	return all
}
