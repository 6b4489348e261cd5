package fpdemo

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"

	"go.uber.org/zap"

	"github.com/foxtailpulley/foxtailpulley/api/upstream/fpfence"
	"github.com/foxtailpulley/foxtailpulley/internal/bench/fpstandin"
	"github.com/foxtailpulley/foxtailpulley/internal/bench/fpupstream"
	"github.com/foxtailpulley/foxtailpulley/internal/config/fpsettings"
	"github.com/foxtailpulley/foxtailpulley/internal/node/fpnode"
)

// vm describes a VM of the demo, as in the settings, and the address of its listener for callers.
type vm struct {
	Name            string   `json:"name"`
	DataCentre      string   `json:"dataCentre"`
	Region          string   `json:"region"`
	Roles           []string `json:"roles"`
	PeerAddress     string   `json:"peerAddress"`
	OperatorAddress string   `json:"operatorAddress"`
	callers         string
}

// group is a control group in the settings of the demo.
type group struct {
	Name   string   `json:"name"`
	Voters []string `json:"voters"`
	Scope  []string `json:"scope"`
}

// listener is a listener in the settings of the demo.
type listener struct {
	Address string `json:"address"`
}

// listeners are the listeners in the settings of one VM.
type listeners struct {
	Callers   listener `json:"callers"`
	Peers     listener `json:"peers"`
	Operators listener `json:"operators"`
}

// settings is the settings file of one VM of the demo.
type settings struct {
	VM                   string            `json:"vm"`
	DataCentre           string            `json:"dataCentre"`
	Region               string            `json:"region"`
	Roles                []string          `json:"roles"`
	DataFolder           string            `json:"dataFolder"`
	InitialConfiguration string            `json:"initialConfiguration"`
	Listeners            listeners         `json:"listeners"`
	VMs                  []vm              `json:"vms"`
	Groups               []group           `json:"groups"`
	PlainTextLoopback    bool              `json:"plainTextLoopback"`
	Timings              map[string]string `json:"timings"`
}

// cluster holds the VMs and upstreams of the demo, which all run in this process.
type cluster struct {
	folder    string
	vms       []vm
	cancel    context.CancelFunc
	done      []chan error
	upstreams map[string]*fpupstream.Upstream
}

// freeAddress returns a loopback address with a port that was free during the call.
func freeAddress() (string, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = lis.Close() }()
	return lis.Addr().String(), nil
}

// newVM returns a VM with both roles and with free addresses.
func newVM(name, dataCentre string) (vm, error) {
	vma := vm{
		Name:       name,
		DataCentre: dataCentre,
		Region:     "here",
		Roles:      []string{"entry", "control"},
	}
	for _, field := range []*string{&vma.PeerAddress, &vma.OperatorAddress, &vma.callers} {
		address, err := freeAddress()
		if err != nil {
			return vm{}, err
		}
		*field = address
	}
	return vma, nil
}

// startCluster starts three VMs in two data centres. The VMs are the voters of both groups: root and the one of the region.
func startCluster(ctx context.Context, folder string) (*cluster, error) {
	clu := &cluster{
		folder:    folder,
		upstreams: map[string]*fpupstream.Upstream{},
	}
	for _, names := range [][2]string{{"east-1", "east"}, {"east-2", "east"}, {"west-1", "west"}} {
		vma, err := newVM(names[0], names[1])
		if err != nil {
			return nil, err
		}
		clu.vms = append(clu.vms, vma)
	}
	configuration := filepath.Join(folder, "configuration.json")
	if err := writeJSON(configuration, demoConfiguration()); err != nil {
		return nil, err
	}
	ctx, clu.cancel = context.WithCancel(ctx)
	for _, vma := range clu.vms {
		if err := clu.startVM(ctx, vma, configuration); err != nil {
			return nil, err
		}
	}
	return clu, nil
}

// startVM starts a VM, which runs until ctx ends.
func (clu *cluster) startVM(ctx context.Context, vma vm, configuration string) error {
	names := make([]string, len(clu.vms))
	for num := range clu.vms {
		names[num] = clu.vms[num].Name
	}
	data, err := json.Marshal(settings{
		VM:                   vma.Name,
		DataCentre:           vma.DataCentre,
		Region:               vma.Region,
		Roles:                vma.Roles,
		DataFolder:           filepath.Join(clu.folder, vma.Name),
		InitialConfiguration: configuration,
		Listeners: listeners{
			Callers: listener{
				Address: vma.callers,
			},
			Peers: listener{
				Address: vma.PeerAddress,
			},
			Operators: listener{
				Address: vma.OperatorAddress,
			},
		},
		VMs: clu.vms,
		Groups: []group{
			{
				Name:   "root",
				Voters: names,
				Scope:  []string{},
			},
			{
				Name:   "here",
				Voters: names,
				Scope:  []string{"east", "west"},
			},
		},
		PlainTextLoopback: true,
		Timings: map[string]string{
			"drainDelay": "10ms",
		},
	})
	if err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Join(clu.folder, vma.Name), 0o755); err != nil {
		return err
	}
	set, err := fpsettings.Parse(data, clu.folder)
	if err != nil {
		return err
	}
	nod, err := fpnode.New(fpnode.Config{
		Settings: set,
		Log:      zap.NewNop(),
	})
	if err != nil {
		return err
	}
	done := make(chan error, 1)
	clu.done = append(clu.done, done)
	go func() { done <- nod.Run(ctx) }()
	return nil
}

// startUpstream starts a stand-in upstream that announces itself to all VMs.
func (clu *cluster) startUpstream(ctx context.Context, name, service, dataCentre string, keyed bool) error {
	routers := make([]string, len(clu.vms))
	for num, vma := range clu.vms {
		routers[num] = "http://" + vma.callers
	}
	ups := fpupstream.New(fpupstream.Config{
		Fence: fpfence.Config{
			Name:           name,
			Service:        service,
			Keyed:          keyed,
			DataCentre:     dataCentre,
			Concurrency:    4,
			MaxConnections: 110,
			Routers:        routers,
		},
		Standin: fpstandin.Config{
			Worker: fpstandin.WorkerConfig{
				Concurrency: 4,
				Queue:       16,
				ServiceTime: time.Millisecond,
			},
		},
	})
	if err := ups.Start(ctx); err != nil {
		return err
	}
	clu.upstreams[name] = ups
	return nil
}

// stop stops all upstreams and VMs and waits for the VMs. It returns the first error of a VM.
func (clu *cluster) stop() error {
	for _, ups := range clu.upstreams {
		ups.Stop()
	}
	clu.cancel()
	var first error
	for _, done := range clu.done {
		if err := <-done; err != nil && first == nil {
			first = err
		}
	}
	return first
}

// writeJSON writes a value as indented JSON to a file.
func writeJSON(path string, value any) error {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(path, data, 0o644); err != nil {
		return fmt.Errorf("write %s: %w", path, err)
	}
	return nil
}
