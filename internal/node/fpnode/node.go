// Package fpnode assembles and runs one VM of the router from its settings: the listeners, the consensus groups and the
// forwarding path.
package fpnode

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/net/http2"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/foxtailpulley/foxtailpulley/api/operator/fpoperator"
	"github.com/foxtailpulley/foxtailpulley/api/upstream/fpcontract"
	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/config/fpconfig"
	"github.com/foxtailpulley/foxtailpulley/internal/config/fpschema"
	"github.com/foxtailpulley/foxtailpulley/internal/config/fpsettings"
	"github.com/foxtailpulley/foxtailpulley/internal/control/fpgrant"
	"github.com/foxtailpulley/foxtailpulley/internal/node/fpentry"
	"github.com/foxtailpulley/foxtailpulley/internal/node/fppeer"
	"github.com/foxtailpulley/foxtailpulley/internal/node/fptls"
	"github.com/foxtailpulley/foxtailpulley/internal/node/fpvoter"
	"github.com/foxtailpulley/foxtailpulley/internal/route/fpserve"
	"github.com/foxtailpulley/foxtailpulley/internal/upstream/fpconn"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

// Config configures a Node.
type Config struct {
	Settings *fpsettings.Settings
	Log      *zap.Logger
}

// Node is one VM of the router. Use New to create one.
type Node struct {
	cfg Config
	// incarnation is the start time of the process in nanoseconds since the Unix epoch.
	incarnation uint64
	store       *store
	// tls is nil if the settings allow plain text on loopback addresses.
	tls     *fptls.Store
	peers   *fppeer.Peers
	granter *granter
	// voters holds this VM's member of each group by name. It is empty without the role control.
	voters map[string]*fpvoter.Voter
	// submitters holds a submitter for each group by name.
	submitters map[string]*fppeer.Submitter
	entry      *fpentry.Entry
	counters   *expvar.Map
	draining   atomic.Bool
	// callers is nil without the role entry.
	callers *fpserve.CallerServer

	mutex sync.Mutex
	// done holds one channel for each component, which receives a value when the component has ended.
	done []<-chan error
}

// New opens the stored state and creates the components of the VM. Listeners are opened by Run. The error kinds are
// StorageFailed and InvalidSettings.
func New(cfg Config) (*Node, error) {
	set := cfg.Settings
	sto, err := openStore(set.DataFolder())
	if err != nil {
		return nil, err
	}
	tlsStore, err := fptls.FromSettings(set, cfg.Log)
	if err != nil {
		return nil, err
	}
	nod := &Node{
		cfg:         cfg,
		incarnation: uint64(time.Now().UnixNano()),
		store:       sto,
		tls:         tlsStore,
		voters:      map[string]*fpvoter.Voter{},
		submitters:  map[string]*fppeer.Submitter{},
		counters:    &expvar.Map{},
	}
	nod.connectPeers()
	nod.entry = fpentry.New(nod.entryConfig())
	if err := nod.openVoters(); err != nil {
		return nil, err
	}
	if _, current := nod.configuration(); current != nil {
		nod.entry.Reconfigure(current)
	}
	return nod, nil
}

func (nod *Node) vm() string { return nod.cfg.Settings.VM() }

// connectPeers creates the clients of the other VMs. It opens no connections.
func (nod *Node) connectPeers() {
	set := nod.cfg.Settings
	addresses := map[string]string{}
	for _, vm := range set.VMs() {
		addresses[vm.Name()] = vm.PeerAddress().String()
	}
	scheme := "https"
	if nod.tls == nil {
		scheme = "http"
	}
	nod.peers = fppeer.New(fppeer.Config{
		VM: set.VM(),
		Local: &peerService{
			nod: nod,
		},
		Addresses: addresses,
		Client:    fptls.NewClient(fptls.PeerClientConfig(set, nod.tls)),
		Scheme:    scheme,
		Voters:    nod.initialVoters,
	})
	nod.granter = newGranter(set, nod.peers)
	for _, gro := range set.Groups() {
		nod.submitters[gro.Name()] = fppeer.NewSubmitter(nod.peers, gro.Name())
	}
}

// newGranter returns a granter that detects unresponsive connections to upstreams as fast as the forwarding path does.
func newGranter(set *fpsettings.Settings, prs *fppeer.Peers) *granter {
	return &granter{
		client:     newUpstreamClient(set.Timings()),
		peers:      prs,
		relayVMs:   func(dataCentre string) []string { return otherVMs(set, dataCentre) },
		clients:    newUpstreamServiceClients(),
		relayUntil: map[string]time.Time{},
	}
}

// newUpstreamClient returns a client for HTTP/2 without TLS, with the timeouts in the settings. It bounds the header of an answer.
func newUpstreamClient(tim fpsettings.Timings) *http.Client {
	dialer := &net.Dialer{
		Timeout: tim.DialTimeout(),
	}
	return &http.Client{
		Transport: &http2.Transport{
			AllowHTTP:         true,
			DialTLSContext:    plainTextDialer(dialer),
			ReadIdleTimeout:   tim.ReadIdle(),
			PingTimeout:       tim.PingTimeout(),
			MaxHeaderListSize: fpconn.MaxAnswerHeader,
		},
	}
}

// otherVMs returns the names of the VMs of a data centre, without this VM.
func otherVMs(set *fpsettings.Settings, dataCentre string) []string {
	var names []string
	for _, vm := range set.VMs() {
		if vm.DataCentre() == dataCentre && vm.Name() != set.VM() {
			names = append(names, vm.Name())
		}
	}
	return names
}

// initialVoters returns the names of the voters with which a group was created, or nil if the group does not exist.
func (nod *Node) initialVoters(group string) []string {
	gro, ok := nod.cfg.Settings.FindGroup(group)
	if !ok {
		return nil
	}
	return gro.Voters()
}

// openVoters opens a member of every group if this VM has the role control. A member that is not a voter waits until an
// operator adds it.
func (nod *Node) openVoters() error {
	set := nod.cfg.Settings
	if !set.HasRole(fpsettings.RoleControl) {
		return nil
	}
	for _, gro := range set.Groups() {
		tim := set.Timings()
		vot, err := fpvoter.Open(fpvoter.Config{
			Group:  gro.Name(),
			VM:     set.VM(),
			Folder: set.DataFolder(),
			Voters: gro.Voters(),
			Timings: fpvoter.Timings{
				Lease:              tim.Lease(),
				TableValidity:      tim.TableValidity(),
				Heartbeat:          tim.Heartbeat(),
				MinElectionTimeout: tim.ElectionTimeoutMin(),
				MaxElectionTimeout: tim.ElectionTimeoutMax(),
			},
			Send:          nod.peers.SendSteps,
			Grant:         nod.granter.send,
			Configuration: nod.configuration,
			Keyed:         nod.keyed,
			Validate:      nod.validate,
			Log:           nod.cfg.Log,
		})
		if err != nil {
			return err
		}
		nod.voters[gro.Name()] = vot
	}
	return nil
}

// entryVMs returns the number of VMs that forward requests.
func (nod *Node) entryVMs() int {
	count := 0
	for _, vm := range nod.cfg.Settings.VMs() {
		if vm.HasRole(fpsettings.RoleEntry) {
			count++
		}
	}
	return count
}

// entryConfig returns the configuration of the forwarding path. A VM without the role entry polls only the root group, from
// which it receives the configuration.
func (nod *Node) entryConfig() fpentry.Config {
	set := nod.cfg.Settings
	tim := set.Timings()
	groups := []string{fpsettings.RootGroup}
	forwardsRequests := set.HasRole(fpsettings.RoleEntry)
	for _, gro := range set.Groups() {
		if forwardsRequests && gro.Name() != fpsettings.RootGroup {
			groups = append(groups, gro.Name())
		}
	}
	return fpentry.Config{
		VM:               set.VM(),
		Incarnation:      nod.incarnation,
		DataCentre:       set.DataCentre(),
		Region:           set.Region(),
		RegionOf:         nod.regionOf,
		EntryVMs:         nod.entryVMs(),
		Groups:           groups,
		PollHold:         tim.Poll(),
		ReadIdle:         tim.ReadIdle(),
		PingTimeout:      tim.PingTimeout(),
		ForwardsRequests: forwardsRequests,
		Poll:             nod.peers.Poll,
		Submit:           nod.submit,
		Configuration:    nod.configuration,
		Configure:        nod.configure,
		Schema:           func() *fpschema.Schema { return nod.store.current.Load().schema },
		Count:            nod.count,
		Log:              nod.cfg.Log,
	}
}

func (nod *Node) count(name string) { nod.counters.Add(name, 1) }

// regionOf returns the region of a data centre, or "" if no VM is in the data centre.
func (nod *Node) regionOf(dataCentre string) string {
	for _, vm := range nod.cfg.Settings.VMs() {
		if vm.DataCentre() == dataCentre {
			return vm.Region()
		}
	}
	return ""
}

// configuration returns the configuration in force on this VM and its version. The configuration is nil if there is none
// yet.
func (nod *Node) configuration() (fpgrant.Position, *fpoperator.Configuration) {
	current := nod.store.current.Load()
	return current.version, current.configuration
}

// keyed reports whether the schema in force declares a key for a service.
func (nod *Node) keyed(service string) bool { return nod.store.current.Load().keyed[service] }

// configure puts a configuration in force on this VM, unless the one in force is at least as new.
func (nod *Node) configure(version *fpoperator.Version, cfg *fpoperator.Configuration) {
	changed, err := nod.store.put(version, cfg)
	if err != nil {
		nod.cfg.Log.Error("failed to put a configuration in force", zap.Uint64("term", version.GetTerm()), zap.Uint64("index", version.GetIndex()), zap.Error(err))
		return
	}
	if !changed {
		return
	}
	nod.cfg.Log.Info("configuration in force", zap.Uint64("term", version.GetTerm()), zap.Uint64("index", version.GetIndex()))
	_, current := nod.configuration()
	nod.entry.Reconfigure(current)
	for _, vot := range nod.voters {
		vot.ConfigurationChanged()
	}
}

// validate returns the faults of a proposed configuration.
func (nod *Node) validate(old, next *fpoperator.Configuration) []fpconfig.Fault {
	validator := fpconfig.Validator{
		Schema: CheckSchema,
	}
	for _, gro := range nod.cfg.Settings.Groups() {
		validator.Groups = append(validator.Groups, gro.Name())
	}
	return validator.Faults(old, next)
}

// submit commits a command in a group. It refuses a claim or a configuration while this VM has no contact with the leader
// of the group. A command that is sent over an interrupted connection may still be applied later, so only a command that
// was not sent is known not to be applied.
func (nod *Node) submit(ctx context.Context, group string, cmd *fpwire.Command) (*fpwire.CommandResult, error) {
	sub := nod.submitters[group]
	if sub == nil {
		return nil, fperror.New(fperror.NoQuorum, "there is no group %s", group)
	}
	refusable := cmd.GetClaim() != nil || cmd.GetConfigure() != nil
	if refusable && nod.entry.PollsGroup(group) && nod.entry.Table().ValidFor(group) <= 0 {
		return nil, fperror.New(fperror.NoQuorum, "this VM has received nothing from a leader of group %s within the last %v; the command was not sent",
			group, nod.cfg.Settings.Timings().TableValidity())
	}
	return sub.Do(ctx, cmd)
}

// announceInterval returns the time between two announcements of an upstream.
func (nod *Node) announceInterval() *durationpb.Duration {
	return durationpb.New(nod.cfg.Settings.Timings().Announce())
}

// checkUpstream returns an error for an announcement without a name, a service, an incarnation or a valid address.
func checkUpstream(ups *fpcontract.Upstream) error {
	if ups.GetName() == "" || ups.GetService() == "" || ups.GetIncarnation() == 0 {
		return fperror.New(fperror.InvalidRequest, "an announcement needs a name, a service and an incarnation")
	}
	if _, err := netip.ParseAddrPort(ups.GetAddress()); err != nil {
		return fperror.New(fperror.InvalidRequest, "the address %q of the upstream is not an IP number and port", ups.GetAddress())
	}
	return nil
}
