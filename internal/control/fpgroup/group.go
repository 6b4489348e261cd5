package fpgroup

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/base/fpring"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

// Sizes of the rings, in items.
const (
	inboxSize    = 1024
	proposalSize = 8192
	controlSize  = 64
	viewSize     = 256
	outboxSize   = 1024
)

// Group is this VM's member of a consensus group.
type Group struct {
	cfg   Config
	core  *core
	clock func() instant

	// The rings lead to the core goroutine, unless stated otherwise.
	inbox     *fpring.Ring[*fpwire.GroupMessage]
	proposals *fpring.Ring[*proposal]
	control   *fpring.Ring[func(cor *core)]
	written   *fpring.Ring[error]
	applied   *fpring.Ring[uint64]
	// batches leads to the storage goroutine, tasks and views to the apply goroutine, saves to the saving goroutine.
	batches *fpring.Ring[*batch]
	tasks   *fpring.Ring[*applyTask]
	views   *fpring.Ring[*view]
	saves   *fpring.Ring[saveTask]

	// outboxes lead to the sending goroutines; only the core goroutine uses the map.
	outboxes map[string]*fpring.Ring[*fpwire.GroupMessage]
	// waiters are the proposals in the log that are not applied yet, by index; only the core goroutine uses the map.
	waiters    map[uint64]*proposal
	waiterTerm uint64

	duties  sync.WaitGroup
	started atomic.Bool
	ended   chan struct{}
	changed chan struct{}
	state   atomic.Pointer[publicState]
	// position is the place of the last applied entry.
	position        atomic.Pointer[Position]
	droppedReceived atomic.Uint64
	droppedSent     atomic.Uint64

	failureLock sync.Mutex
	failure     error
	// life ends when Run's context ends or the group fails.
	life   context.Context
	cancel context.CancelFunc
}

// publicState is what the core goroutine shows to the callers of Lead and Status.
type publicState struct {
	status Status
	// leads states that this VM leads, has applied the first entry of its term, and is not handing over.
	leads   bool
	since   time.Time
	leaseAt instant
	leased  bool
}

// New creates a group and restores the machine from the newest snapshot. The error kinds are InvalidSettings,
// StorageFailed and those of Machine.Restore.
func New(cfg Config) (*Group, error) {
	cfg.setDefaults()
	if err := cfg.check(); err != nil {
		return nil, err
	}
	gro := &Group{
		cfg:       cfg,
		clock:     cfg.clock,
		inbox:     fpring.New[*fpwire.GroupMessage](inboxSize),
		proposals: fpring.New[*proposal](proposalSize),
		control:   fpring.New[func(cor *core)](controlSize),
		written:   fpring.New[error](1),
		applied:   fpring.New[uint64](1),
		batches:   fpring.New[*batch](1),
		tasks:     fpring.New[*applyTask](1),
		views:     fpring.New[*view](viewSize),
		saves:     fpring.New[saveTask](1),
		outboxes:  map[string]*fpring.Ring[*fpwire.GroupMessage]{},
		waiters:   map[uint64]*proposal{},
		ended:     make(chan struct{}),
		changed:   make(chan struct{}, 1),
	}
	gro.life, gro.cancel = context.WithCancel(context.Background())
	if gro.clock == nil {
		gro.clock = realClock()
	}
	snp, err := cfg.Storage.ReadSnapshot()
	if err != nil {
		return nil, err
	}
	if snp.Index > 0 {
		if err := cfg.Machine.Restore(snp.Data); err != nil {
			return nil, fperror.Wrap(fperror.StorageFailed, err, "restore snapshot %d of group %s", snp.Index, cfg.Name)
		}
	}
	gro.position.Store(&Position{
		Term:  snp.Term,
		Index: snp.Index,
	})
	cor, err := newCore(&gro.cfg, randomDuration)
	if err != nil {
		return nil, err
	}
	gro.core = cor
	gro.publish()
	return gro, nil
}

// realClock reads both clocks, relative to the moment of the call.
func realClock() func() instant {
	base := time.Now()
	return func() instant {
		now := time.Now()
		return instant{
			mono: now.Sub(base),
			wall: now.Round(0).Sub(base.Round(0)),
			at:   now,
		}
	}
}

func randomDuration(limit time.Duration) time.Duration {
	return time.Duration(rand.Int64N(int64(limit)))
}

// Run drives the group until ctx ends or the group fails. It is called once. The channel gets the error with which the
// group ended, nil if ctx ended, after all goroutines have ended. A process whose group has failed must be restarted.
func (gro *Group) Run(ctx context.Context) (done <-chan error) {
	result := make(chan error, 1)
	if !gro.started.CompareAndSwap(false, true) {
		result <- fperror.New(fperror.Internal, "group %s runs already", gro.cfg.Name)
		return result
	}
	stop := context.AfterFunc(ctx, gro.cancel)
	ctx = gro.life
	gro.begin(func() { gro.drive(ctx) })
	gro.begin(func() { gro.store(ctx) })
	gro.begin(func() { gro.apply(ctx) })
	gro.begin(func() { gro.save(ctx) })
	go func() {
		gro.duties.Wait()
		stop()
		gro.cancel()
		gro.failWaiting()
		close(gro.ended)
		gro.failureLock.Lock()
		result <- gro.failure
		gro.failureLock.Unlock()
		close(result)
	}()
	return result
}

// begin runs one duty; the goroutine that Run starts waits for all of them.
func (gro *Group) begin(duty func()) {
	gro.duties.Add(1)
	go func() {
		defer gro.duties.Done()
		duty()
	}()
}

// stop ends the group with an error.
func (gro *Group) stop(err error) {
	gro.failureLock.Lock()
	defer gro.failureLock.Unlock()
	if gro.failure == nil {
		gro.failure = err
	}
	gro.cancel()
}

// Step hands the group a message received from another VM. It never blocks; messages that find no room are dropped, as
// if the network had lost them. The group keeps the message.
func (gro *Group) Step(msg *fpwire.GroupMessage) {
	if msg.GetFrom() == gro.cfg.VM || !gro.inbox.Offer(msg) {
		gro.droppedReceived.Add(1)
	}
}

// Lead returns this VM's leadership, or an error of kind NotLeader or NoQuorum. It does not wait.
func (gro *Group) Lead(_ context.Context) (Leadership, error) {
	// The state is read before the clock, so that a pause in between makes the lease look older, not younger.
	sta := gro.state.Load()
	now := gro.clock()
	if !sta.leads {
		return Leadership{}, fperror.New(fperror.NotLeader, "VM %s does not lead group %s; the leader is %q",
			gro.cfg.VM, gro.cfg.Name, sta.status.Leader)
	}
	length := gro.cfg.leaseLength()
	if !sta.leased || max(now.mono-sta.leaseAt.mono, now.wall-sta.leaseAt.wall) >= length {
		return Leadership{}, fperror.New(fperror.NoQuorum, "the lease of VM %s for group %s has ended", gro.cfg.VM, gro.cfg.Name)
	}
	return Leadership{
		Term:       sta.status.Term,
		Since:      sta.since,
		ValidUntil: sta.leaseAt.at.Add(length),
	}, nil
}

// Changed returns a channel that gets a value after the leadership, the membership or the applied position has changed.
// Changes that come before the value is received are reported once. There is one channel, for one reader.
func (gro *Group) Changed() <-chan struct{} { return gro.changed }

func (gro *Group) signal() {
	select {
	case gro.changed <- struct{}{}:
	default:
	}
}

// Status reports the state of the group as seen by this VM, at most a few milliseconds old.
func (gro *Group) Status() Status {
	sta := gro.state.Load().status
	sta.Applied = *gro.position.Load()
	sta.Counters.DroppedReceived = gro.droppedReceived.Load()
	sta.Counters.DroppedSent = gro.droppedSent.Load()
	return sta
}

// AddVoter adds a VM to the group. It returns nil once the VM holds on disk every entry acknowledged so far and its
// membership as a voter is committed; the VM must therefore be running. A resent request continues the first one.
func (gro *Group) AddVoter(ctx context.Context, vm string) error {
	return gro.change(ctx, addVoter, vm)
}

// AddLearner adds a VM that follows the log without a vote, unless it is a member already. It returns nil once that is
// committed. AddVoter gives a learner a vote.
func (gro *Group) AddLearner(ctx context.Context, vm string) error {
	return gro.change(ctx, addLearner, vm)
}

// Demote makes a voter a learner. The leader cannot demote itself.
func (gro *Group) Demote(ctx context.Context, vm string) error {
	return gro.change(ctx, demoteVoter, vm)
}

// RemoveVoter removes a VM from the group. A leader that is removed steps down.
func (gro *Group) RemoveVoter(ctx context.Context, vm string) error {
	return gro.change(ctx, removeVoter, vm)
}

// Repair makes a VM that has lost its disk a voter again, with its new incarnation. It returns nil once the VM holds on
// disk every entry acknowledged so far and its membership as a voter is committed. A resent request continues the first.
func (gro *Group) Repair(ctx context.Context, vm string) error {
	return gro.change(ctx, repairVoter, vm)
}

func (gro *Group) change(ctx context.Context, kind changeKind, vm string) error {
	if vm == "" {
		return fperror.New(fperror.InvalidRequest, "the VM is missing")
	}
	result := make(chan error, 1)
	cha := &change{
		kind: kind,
		vm:   vm,
		done: func(err error) { result <- err },
	}
	defer cha.abandoned.Store(true)
	return gro.call(ctx, result, func(cor *core) { cor.startChange(cha) })
}

// TransferLeadership hands the leadership to another voter, or to the most advanced one if vm is empty. It takes about
// one lease, during which the group refuses proposals. The error leaves open whether the target takes over later.
func (gro *Group) TransferLeadership(ctx context.Context, vm string) error {
	result := make(chan error, 1)
	tra := &transfer{
		target: vm,
		done:   func(err error) { result <- err },
	}
	return gro.call(ctx, result, func(cor *core) { cor.startTransfer(tra) })
}

// call runs a function on the core goroutine and waits for its result.
func (gro *Group) call(ctx context.Context, result <-chan error, start func(cor *core)) error {
	if err := gro.control.Put(ctx, start); err != nil {
		return fperror.Wrap(fperror.NoQuorum, err, "group %s is busy", gro.cfg.Name)
	}
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return fperror.Wrap(fperror.CommitUnknown, ctx.Err(), "change of group %s", gro.cfg.Name)
	case <-gro.ended:
		return fperror.New(fperror.CommitUnknown, "group %s has ended", gro.cfg.Name)
	}
}

// publish shows the state of the core to other goroutines.
func (gro *Group) publish() {
	cor := gro.core
	old := gro.state.Load()
	sta := &publicState{
		status: cor.status(),
	}
	if cor.role == Leader {
		frozen := cor.transfer != nil && cor.transfer.frozen
		sta.leads = cor.applied >= cor.lead.firstIndex && !frozen
		sta.since = cor.lead.since.at
		sta.leaseAt = cor.lead.leaseAt
		sta.leased = cor.lead.leased
	}
	gro.state.Store(sta)
	if old == nil {
		return
	}
	moved := old.status.Term != sta.status.Term || old.status.Role != sta.status.Role ||
		old.status.Leader != sta.status.Leader || old.leads != sta.leads || old.leased != sta.leased
	if moved {
		gro.logState(sta)
		gro.signal()
	}
}
