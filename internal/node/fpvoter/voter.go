// Package fpvoter runs this VM's member of one consensus group: its log, the consensus protocol, the replicated state
// machine and, while the VM leads, the assignment of slots to upstreams.
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

// Timings are the timings of a group. They must be equal on all VMs.
type Timings struct {
	// Lease is the lease of upstreams.
	Lease time.Duration
	// TableValidity is how long an entry VM may use its slot table after it sent the poll that confirmed it.
	TableValidity time.Duration
	// Heartbeat is the time between broadcasts of the group's leader.
	Heartbeat time.Duration
	// MinElectionTimeout and MaxElectionTimeout bound the random election timeout: the time without a message from a leader
	// after which a voter starts an election. MinElectionTimeout is also how long a voter that received a message from a
	// leader votes for no other VM.
	MinElectionTimeout time.Duration
	MaxElectionTimeout time.Duration
}

// Config configures a Voter.
type Config struct {
	// Group and VM are the names of the group and of this VM.
	Group string
	VM    string
	// Folder is the data folder of the VM. The log of the group is in the subfolder group-NAME.
	Folder string
	// Voters are the names of the initial voters.
	Voters  []string
	Timings Timings
	// Send delivers consensus messages to a VM; it may lose them.
	Send func(ctx context.Context, vm string, msgs []*fpwire.GroupMessage)
	// Grant sends a grant to an upstream and returns its answer.
	Grant func(ctx context.Context, ups *fpcontract.Upstream, req *fpcontract.GrantRequest) (*fpcontract.GrantResponse, error)
	// Configuration returns the version of the configuration in force on this VM, and the configuration itself, which is nil
	// if there is none.
	Configuration func() (fpgrant.Position, *fpoperator.Configuration)
	// Keyed reports whether the schema in force declares a key for a service.
	Keyed func(service string) bool
	// Validate returns the faults of a proposed configuration. old is the configuration against which it is validated.
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

	// mutex guards the fields below. leading is the running leader, or nil.
	mutex   sync.Mutex
	leading *leader
	// announced holds the announcements of upstreams. Every voter keeps them, so that a new leader knows the addresses of all
	// upstreams at once.
	announced fpgrant.Announcements
}

// replica adapts the state machine to the position type of fpgroup.
type replica struct {
	*fpmachine.Machine
}

// Apply converts the position and applies the command.
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
		Send:               cfg.Send,
		Log:                cfg.Log,
		Heartbeat:          cfg.Timings.Heartbeat,
		MinElectionTimeout: cfg.Timings.MinElectionTimeout,
		MaxElectionTimeout: cfg.Timings.MaxElectionTimeout,
		Lease:              cfg.Timings.MinElectionTimeout,
	})
	if err != nil {
		_ = storage.Close()
		return nil, err
	}
	return vot, nil
}

// Run runs the voter until ctx ends or the group fails. done receives the error of the group, or nil, after the log is
// closed.
func (vot *Voter) Run(ctx context.Context) (done <-chan error) {
	end := make(chan error, 1)
	running := vot.group.Run(ctx)
	go func() {
		vot.watchLeadership(ctx)
		err := <-running
		_ = vot.storage.Close()
		end <- err
	}()
	return end
}

// watchLeadership starts a leader when this VM becomes the leader of the group and ends it when the leadership ends, until
// ctx ends.
func (vot *Voter) watchLeadership(ctx context.Context) {
	for {
		vot.followLeadership(ctx)
		select {
		case <-ctx.Done():
			vot.setLeader(nil)
			return
		case <-vot.group.Changed():
		case <-time.After(watchInterval):
		}
	}
}

// watchInterval is the time between checks of the leadership while nothing changes, because a lease may end without any
// event. It is also the pause before a change of home ranges is proposed again.
const watchInterval = 50 * time.Millisecond

// followLeadership starts, ends or notifies the leader according to the state of the group.
func (vot *Voter) followLeadership(ctx context.Context) {
	lead, err := vot.group.Leadership(ctx)
	old := vot.leader()
	switch {
	case err != nil && old != nil && !old.stillLeads():
		vot.setLeader(nil)
	case err == nil && (old == nil || old.term != lead.Term):
		vot.setLeader(nil)
		vot.setLeader(vot.startLeader(ctx, lead))
	case old != nil:
		old.stateChanged()
	}
}

// setLeader sets the running leader, which may be nil, and ends the previous one.
func (vot *Voter) setLeader(next *leader) {
	vot.mutex.Lock()
	old := vot.leading
	vot.leading = next
	vot.mutex.Unlock()
	if old != nil {
		old.stop()
	}
}

// leader returns the running leader, or nil.
func (vot *Voter) leader() *leader {
	vot.mutex.Lock()
	defer vot.mutex.Unlock()
	return vot.leading
}

// Step passes a consensus message from another VM to the group.
func (vot *Voter) Step(msg *fpwire.GroupMessage) { vot.group.Step(msg) }

// Announce handles an upstream's announcement.
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

// replayAnnouncements passes the announcements from before the election to a new leader's keeper.
func (vot *Voter) replayAnnouncements(kee *fpgrant.Keeper) {
	vot.mutex.Lock()
	defer vot.mutex.Unlock()
	vot.announced.Replay(time.Now(), kee)
}

// ConfigurationChanged is called when another configuration is in force on this VM.
func (vot *Voter) ConfigurationChanged() {
	if lea := vot.leader(); lea != nil {
		lea.reconfigure()
	}
}

// Machine returns the replicated state machine.
func (vot *Voter) Machine() *fpmachine.Machine { return vot.machine }

// Group returns the consensus group.
func (vot *Voter) Group() *fpgroup.Group { return vot.group }

// Resign transfers the leadership to another voter. It does nothing if this VM does not lead or is the only member.
func (vot *Voter) Resign(ctx context.Context) error {
	if vot.leader() == nil || len(vot.group.Status().Members) < 2 {
		return nil
	}
	return vot.group.TransferLeadership(ctx, "")
}
