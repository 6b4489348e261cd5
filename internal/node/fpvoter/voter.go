// Package fpvoter runs this VM's member of one group: the log, the consensus, the replicated state machine, and, while the
// VM leads, the decisions about slots.
package fpvoter

import (
	"context"
	"path/filepath"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/foxtailpulley/foxtailpulley/api/operator/fpoperator"
	"github.com/foxtailpulley/foxtailpulley/api/upstream/fpcontract"
	"github.com/foxtailpulley/foxtailpulley/internal/config/fpconfig"
	"github.com/foxtailpulley/foxtailpulley/internal/control/fpgrant"
	"github.com/foxtailpulley/foxtailpulley/internal/control/fpgroup"
	"github.com/foxtailpulley/foxtailpulley/internal/control/fplog"
	"github.com/foxtailpulley/foxtailpulley/internal/control/fpmachine"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

// Timings are the durations of a voter. They are equal on all VMs.
type Timings struct {
	Lease         time.Duration
	TableValidity time.Duration
	Heartbeat     time.Duration
	MinElection   time.Duration
	MaxElection   time.Duration
}

// Config configures a Voter.
type Config struct {
	// Group and VM are the names of the group and of this VM.
	Group string
	VM    string
	// Folder is the data folder of the VM; the log of the group lives in a folder of its own below it.
	Folder string
	// Voters are the VMs that vote at first.
	Voters  []string
	Timings Timings
	// Send delivers consensus messages.
	Send func(ctx context.Context, vm string, msgs []*fpwire.GroupMessage)
	// Grant sends a grant to an upstream.
	Grant func(ctx context.Context, ups *fpcontract.Upstream, req *fpcontract.GrantRequest) (*fpcontract.GrantResponse, error)
	// Configuration returns the configuration in force on this VM.
	Configuration func() (fpgrant.Position, *fpoperator.Configuration)
	// Keyed reports whether the schema in force declares a key for a service.
	Keyed func(service string) bool
	// Validate returns the faults of a proposed configuration.
	Validate func(old, next *fpoperator.Configuration) []fpconfig.Fault
	Log      *zap.Logger
}

// Voter is this VM's member of a group. Use Open to create one.
type Voter struct {
	cfg     Config
	storage *fplog.Log
	machine *fpmachine.Machine
	group   *fpgroup.Group
	opened  time.Time

	mutex   sync.Mutex
	leading *leader
	// announced is kept by every voter, so that a new leader knows all addresses at once.
	announced fpgrant.Announcements
}

// replica adapts the machine to the positions of the group.
type replica struct {
	*fpmachine.Machine
}

// Apply runs a command.
func (rep replica) Apply(pos fpgroup.Position, command []byte) []byte {
	return rep.Machine.Apply(fpgrant.Position(pos), command)
}

// Open opens the log of the group and restores its state. The error kinds are StorageFailed and InvalidSettings.
func Open(cfg Config) (*Voter, error) {
	storage, err := fplog.Open(filepath.Join(cfg.Folder, "group-"+cfg.Group), fplog.Config{})
	if err != nil {
		return nil, err
	}
	vot := &Voter{
		cfg:     cfg,
		storage: storage,
		machine: fpmachine.New(fpmachine.Config{}),
		opened:  time.Now(),
	}
	members := make([]fpgroup.Member, len(cfg.Voters))
	for num, vm := range cfg.Voters {
		members[num].VM = vm
	}
	vot.group, err = fpgroup.New(fpgroup.Config{
		Name:    cfg.Group,
		VM:      cfg.VM,
		Voters:  members,
		Storage: storage,
		Machine: replica{
			Machine: vot.machine,
		},
		Send:        cfg.Send,
		Log:         cfg.Log,
		Heartbeat:   cfg.Timings.Heartbeat,
		MinElection: cfg.Timings.MinElection,
		MaxElection: cfg.Timings.MaxElection,
		Lease:       cfg.Timings.MinElection,
	})
	if err != nil {
		_ = storage.Close()
		return nil, err
	}
	return vot, nil
}

// Run drives the voter until ctx ends, and reports its end on done. Storage is closed before that.
func (vot *Voter) Run(ctx context.Context) (done <-chan error) {
	end := make(chan error, 1)
	running := vot.group.Run(ctx)
	go func() {
		vot.watch(ctx)
		err := <-running
		_ = vot.storage.Close()
		end <- err
	}()
	return end
}

// watch starts a leader when this VM begins to lead and ends it when the leadership ends.
func (vot *Voter) watch(ctx context.Context) {
	for {
		vot.follow(ctx)
		select {
		case <-ctx.Done():
			vot.replace(nil)
			return
		case <-vot.group.Changed():
		case <-time.After(watchInterval):
		}
	}
}

// watchInterval is how often the leadership is checked when nothing changes, because a lease ends by time alone.
const watchInterval = 50 * time.Millisecond

func (vot *Voter) follow(ctx context.Context) {
	lead, err := vot.group.Lead(ctx)
	old := vot.leader()
	switch {
	case err != nil && old != nil && !old.mayContinue():
		vot.replace(nil)
	case err == nil && (old == nil || old.term != lead.Term):
		vot.replace(nil)
		vot.replace(vot.lead(ctx, lead))
	case old != nil:
		old.changed()
	}
}

// replace ends the leader that runs and puts next in its place.
func (vot *Voter) replace(next *leader) {
	vot.mutex.Lock()
	old := vot.leading
	vot.leading = next
	vot.mutex.Unlock()
	if old != nil {
		old.stop()
	}
}

func (vot *Voter) leader() *leader {
	vot.mutex.Lock()
	defer vot.mutex.Unlock()
	return vot.leading
}

// Step takes a consensus message.
func (vot *Voter) Step(msg *fpwire.GroupMessage) { vot.group.Step(msg) }

// Announce takes an upstream's announcement.
func (vot *Voter) Announce(req *fpcontract.AnnounceRequest) {
	now := time.Now()
	vot.mutex.Lock()
	vot.announced.Add(now, req)
	lea := vot.leading
	vot.mutex.Unlock()
	if lea != nil {
		lea.announce(now, req)
	}
}

// replay tells a new leader's keeper what was announced before.
func (vot *Voter) replay(kee *fpgrant.Keeper) {
	vot.mutex.Lock()
	defer vot.mutex.Unlock()
	vot.announced.Replay(time.Now(), kee)
}

// Reconfigured tells the voter that another configuration is in force on this VM.
func (vot *Voter) Reconfigured() {
	if lea := vot.leader(); lea != nil {
		lea.reconfigure()
	}
}

// Machine returns the replicated state.
func (vot *Voter) Machine() *fpmachine.Machine { return vot.machine }

// Group returns the consensus of the group.
func (vot *Voter) Group() *fpgroup.Group { return vot.group }

// Resign hands the leadership to another voter, if this VM leads.
func (vot *Voter) Resign(ctx context.Context) error {
	if vot.leader() == nil || len(vot.group.Status().Members) < 2 {
		return nil
	}
	return vot.group.TransferLeadership(ctx, "")
}
