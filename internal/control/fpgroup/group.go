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

// Capacities of the rings, in items.
const (
	inboxSize    = 1024
	proposalSize = 8192
	coreCallSize = 64
	viewSize     = 256
	outboxSize   = 1024
)

// Group is this VM's member of a consensus group. Use New to create one, then call Run. Its methods are safe for concurrent
// use.
type Group struct {
	cfg   Config
	core  *core
	clock func() instant

	// These rings lead to the core goroutine. coreCalls holds functions to call there, written the results of attempts to
	// write a batch, applied the indexes up to which tasks were applied.
	inbox     *fpring.Ring[*fpwire.GroupMessage]
	proposals *fpring.Ring[*proposal]
	coreCalls *fpring.Ring[func(cor *core)]
	written   *fpring.Ring[error]
	applied   *fpring.Ring[uint64]
	// batches leads to the storage goroutine, tasks and views to the apply goroutine, snapshotTasks to the snapshot goroutine.
	batches       *fpring.Ring[*batch]
	tasks         *fpring.Ring[*applyTask]
	views         *fpring.Ring[*view]
	snapshotTasks *fpring.Ring[snapshotTask]

	// outboxes lead to the sending goroutines, by VM. Only the core goroutine uses the map.
	outboxes map[string]*fpring.Ring[*fpwire.GroupMessage]
	// waiters holds the proposals in the log that were not handed to the apply goroutine yet, by index. All of them were
	// made in waiterTerm. Only the core goroutine uses the map while it runs.
	waiters    map[uint64]*proposal
	waiterTerm uint64

	goroutines sync.WaitGroup
	started    atomic.Bool
	ended      chan struct{}
	changed    chan struct{}
	state      atomic.Pointer[publicState]
	// position is the position of the last applied entry.
	position        atomic.Pointer[Position]
	droppedReceived atomic.Uint64
	droppedSent     atomic.Uint64

	failureMu sync.Mutex
	failure   error
	// runCtx ends when the context of Run ends or the group fails.
	runCtx context.Context
	cancel context.CancelFunc
}

// publicState is the state that the core goroutine publishes for Leadership and Status. It is replaced as a whole and never
// changed.
type publicState struct {
	status Status
	// leads states that this VM leads, has applied the first entry of its term, and does not transfer the leadership.
	leads bool
	// since is when this VM won its election.
	since time.Time
	// leaseStart is the start of the leader lease; leased is false before a quorum has acknowledged a round.
	leaseStart instant
	leased     bool
}

// New creates a group and restores the machine from the newest snapshot. The error kinds are InvalidSettings and
// StorageFailed.
func New(cfg Config) (*Group, error) {
	cfg.setDefaults()
	if err := cfg.check(); err != nil {
		return nil, err
	}
	gro := &Group{
		cfg:           cfg,
		clock:         cfg.clock,
		inbox:         fpring.New[*fpwire.GroupMessage](inboxSize),
		proposals:     fpring.New[*proposal](proposalSize),
		coreCalls:     fpring.New[func(cor *core)](coreCallSize),
		written:       fpring.New[error](1),
		applied:       fpring.New[uint64](1),
		batches:       fpring.New[*batch](1),
		tasks:         fpring.New[*applyTask](1),
		views:         fpring.New[*view](viewSize),
		snapshotTasks: fpring.New[snapshotTask](1),
		outboxes:      map[string]*fpring.Ring[*fpwire.GroupMessage]{},
		waiters:       map[uint64]*proposal{},
		ended:         make(chan struct{}),
		changed:       make(chan struct{}, 1),
	}
	gro.runCtx, gro.cancel = context.WithCancel(context.Background())
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

// realClock returns a function that reads both clocks of the system. The times are relative to the call of realClock.
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

// randomDuration returns a random duration from 0 up to, but not including, limit.
func randomDuration(limit time.Duration) time.Duration {
	return time.Duration(rand.Int64N(int64(limit)))
}

// Run starts the goroutines of the group and returns. They run until ctx ends or the group fails. After all of them have
// ended, the channel receives the error with which the group failed, or nil if ctx ended. Run may be called only once; a
// second call gives an error. A process whose group has failed must be restarted.
func (gro *Group) Run(ctx context.Context) (done <-chan error) {
	result := make(chan error, 1)
	if !gro.started.CompareAndSwap(false, true) {
		result <- fperror.New(fperror.Internal, "group %s runs already", gro.cfg.Name)
		return result
	}
	stop := context.AfterFunc(ctx, gro.cancel)
	ctx = gro.runCtx
	gro.spawn(func() { gro.runCore(ctx) })
	gro.spawn(func() { gro.runStorage(ctx) })
	gro.spawn(func() { gro.runApply(ctx) })
	gro.spawn(func() { gro.runSnapshots(ctx) })
	go func() {
		gro.goroutines.Wait()
		stop()
		gro.cancel()
		gro.failWaiters()
		close(gro.ended)
		gro.failureMu.Lock()
		result <- gro.failure
		gro.failureMu.Unlock()
		close(result)
	}()
	return result
}

// spawn runs fn in a goroutine. The group has ended only when fn has returned.
func (gro *Group) spawn(fn func()) {
	gro.goroutines.Add(1)
	go func() {
		defer gro.goroutines.Done()
		fn()
	}()
}

// stop makes the group end with an error. The first error is kept.
func (gro *Group) stop(err error) {
	gro.failureMu.Lock()
	defer gro.failureMu.Unlock()
	if gro.failure == nil {
		gro.failure = err
	}
	gro.cancel()
}

// Step passes a message received from another VM to the group. It never blocks: if the inbox is full, the message is dropped,
// as if the network had lost it. The group keeps the message, which must not be changed afterwards.
func (gro *Group) Step(msg *fpwire.GroupMessage) {
	if msg.GetFrom() == gro.cfg.VM || !gro.inbox.Offer(msg) {
		gro.droppedReceived.Add(1)
	}
}

// Leadership returns this VM's leadership. The error kind is NotLeader if this VM does not lead, and NoQuorum if its lease
// has ended. It does not block.
func (gro *Group) Leadership(_ context.Context) (Leadership, error) {
	// The state is read before the clock, so that a pause in between makes the lease seem older, never younger.
	sta := gro.state.Load()
	now := gro.clock()
	if !sta.leads {
		return Leadership{}, fperror.New(fperror.NotLeader, "VM %s does not lead group %s; the leader is %q",
			gro.cfg.VM, gro.cfg.Name, sta.status.Leader)
	}
	length := gro.cfg.leaseLength()
	if !sta.leased || max(now.mono-sta.leaseStart.mono, now.wall-sta.leaseStart.wall) >= length {
		return Leadership{}, fperror.New(fperror.NoQuorum, "the lease of VM %s for group %s has ended", gro.cfg.VM, gro.cfg.Name)
	}
	return Leadership{
		Term:       sta.status.Term,
		Since:      sta.since,
		ValidUntil: sta.leaseStart.at.Add(length),
	}, nil
}

// Changed returns a channel that receives a value after the leadership, the membership or the applied position has changed.
// Several changes before the value is read are reported once. There is only one channel, for one reader.
func (gro *Group) Changed() <-chan struct{} { return gro.changed }

// signalChange sends a value to the channel of Changed, unless one is already in it.
func (gro *Group) signalChange() {
	select {
	case gro.changed <- struct{}{}:
	default:
	}
}

// Status returns the state of the group as this VM knows it, at most a few milliseconds old.
func (gro *Group) Status() Status {
	sta := gro.state.Load().status
	sta.Applied = *gro.position.Load()
	sta.Counters.DroppedReceived = gro.droppedReceived.Load()
	sta.Counters.DroppedSent = gro.droppedSent.Load()
	return sta
}

// AddVoter adds a VM to the group as a voter, or makes a learner a voter. It returns nil once the VM has synced every entry
// acknowledged so far and its membership as a voter is committed; the VM must therefore be running. A repeated call continues
// the first one.
//
// The error kinds of all membership changes are NotLeader, VersionConflict if another change is running, NoQuorum,
// InvalidRequest, and CommitUnknown if the change may still take effect.
func (gro *Group) AddVoter(ctx context.Context, vm string) error {
	return gro.changeMembership(ctx, addVoter, vm)
}

// AddLearner adds a VM that receives the log but has no vote, unless it is already a member. It returns nil once the
// membership is committed. AddVoter gives a learner a vote.
func (gro *Group) AddLearner(ctx context.Context, vm string) error {
	return gro.changeMembership(ctx, addLearner, vm)
}

// Demote makes a voter a learner. It returns nil once the membership is committed, also if the VM is not a voter. The leader
// cannot demote itself.
func (gro *Group) Demote(ctx context.Context, vm string) error {
	return gro.changeMembership(ctx, demoteVoter, vm)
}

// RemoveVoter removes a voter or learner from the group. It returns nil once the membership is committed, also if the VM is
// not a member. A leader that is removed steps down.
func (gro *Group) RemoveVoter(ctx context.Context, vm string) error {
	return gro.changeMembership(ctx, removeVoter, vm)
}

// Repair makes a VM that has lost its disk a voter again, with its new incarnation. It returns nil once the VM has synced
// every entry acknowledged so far and its membership as a voter is committed. A repeated call continues the first one.
func (gro *Group) Repair(ctx context.Context, vm string) error {
	return gro.changeMembership(ctx, repairVoter, vm)
}

// changeMembership runs a membership change. If ctx ends before it is finished, the change is abandoned.
func (gro *Group) changeMembership(ctx context.Context, kind changeKind, vm string) error {
	if vm == "" {
		return fperror.New(fperror.InvalidRequest, "the name of the VM is empty")
	}
	result := make(chan error, 1)
	cha := &change{
		kind: kind,
		vm:   vm,
		done: func(err error) { result <- err },
	}
	defer cha.abandoned.Store(true)
	return gro.callCore(ctx, result, func(cor *core) { cor.startChange(cha) })
}

// TransferLeadership transfers the leadership to another voter, or to the most advanced one if vm is empty. It takes about
// one lease, during which the group refuses proposals. After an error the target may still become the leader later.
func (gro *Group) TransferLeadership(ctx context.Context, vm string) error {
	result := make(chan error, 1)
	tra := &transfer{
		target: vm,
		done:   func(err error) { result <- err },
	}
	return gro.callCore(ctx, result, func(cor *core) { cor.startTransfer(tra) })
}

// callCore calls start on the core goroutine and waits for the result, which may be sent after start has returned.
func (gro *Group) callCore(ctx context.Context, result <-chan error, start func(cor *core)) error {
	if err := gro.coreCalls.Put(ctx, start); err != nil {
		return fperror.Wrap(fperror.NoQuorum, err, "group %s has not started the membership change or transfer of leadership", gro.cfg.Name)
	}
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return fperror.Wrap(fperror.CommitUnknown, ctx.Err(), "the membership change or transfer of leadership of group %s is not finished", gro.cfg.Name)
	case <-gro.ended:
		return fperror.New(fperror.CommitUnknown, "group %s has ended", gro.cfg.Name)
	}
}

// publish makes the state of the core visible to other goroutines. It logs and signals a change of the role, the term, the
// leader or the lease.
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
		sta.leaseStart = cor.lead.leaseStart
		sta.leased = cor.lead.leased
	}
	gro.state.Store(sta)
	if old == nil {
		return
	}
	changed := old.status.Term != sta.status.Term || old.status.Role != sta.status.Role ||
		old.status.Leader != sta.status.Leader || old.leads != sta.leads || old.leased != sta.leased
	if changed {
		gro.logState(sta)
		gro.signalChange()
	}
}
