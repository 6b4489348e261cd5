package fpgroup

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fpring"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

// ticksPerHeartbeat is how often per heartbeat the core checks its timeouts.
const ticksPerHeartbeat = 5

// Limits on the inputs that the core goroutine handles in one turn, so that no kind of input delays the others for long.
const (
	messagesPerTurn  = 256
	proposalsPerTurn = 2048
)

// runCore is the core goroutine. It is the only one that uses the core after New.
func (gro *Group) runCore(ctx context.Context) {
	ticker := time.NewTicker(gro.cfg.Heartbeat / ticksPerHeartbeat)
	defer ticker.Stop()
	gro.core.now = gro.clock()
	gro.core.start()
	// The entries that were committed before the start are applied before a leader is known.
	if !gro.flush(ctx) {
		return
	}
	var messages []*fpwire.GroupMessage
	var proposals []*proposal
	for {
		var coreCall func(cor *core)
		wrote := false
		var writeErr error
		var applied uint64
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case msg := <-gro.inbox.Items():
			messages = append(messages, msg)
		case pro := <-gro.proposals.Items():
			proposals = append(proposals, pro)
		case coreCall = <-gro.coreCalls.Items():
		case writeErr = <-gro.written.Items():
			wrote = true
		case applied = <-gro.applied.Items():
		}
		messages = gro.inbox.Drain(messages, messagesPerTurn)
		proposals = gro.proposals.Drain(proposals, proposalsPerTurn)
		// The clock is read after the messages were received, because a promise to a leader counts from this time.
		gro.core.now = gro.clock()
		if wrote {
			gro.handleWriteResult(writeErr)
		}
		if applied > 0 {
			gro.core.handleApplied(applied)
		}
		for _, msg := range messages {
			gro.core.step(msg)
		}
		gro.failStaleWaiters()
		if len(proposals) > 0 {
			gro.submitProposals(proposals)
		}
		if coreCall != nil {
			coreCall(gro.core)
		}
		gro.core.tick()
		clear(messages)
		clear(proposals)
		messages, proposals = messages[:0], proposals[:0]
		if !gro.flush(ctx) {
			return
		}
	}
}

// handleWriteResult passes the result of an attempt to write a batch to the core. It logs only the first of several failed
// attempts.
func (gro *Group) handleWriteResult(err error) {
	if err == nil {
		gro.core.handleWritten()
		return
	}
	if !gro.core.stalled {
		gro.cfg.Log.Error("writing to the log failed", zap.String("group", gro.cfg.Name), zap.Error(err))
	}
	gro.core.handleStalled()
}

// failStaleWaiters fails the waiting proposals of a leadership that has ended.
func (gro *Group) failStaleWaiters() {
	cor := gro.core
	if len(gro.waiters) > 0 && (cor.role != Leader || cor.hard.Term != gro.waiterTerm) {
		gro.failWaiters()
	}
}

// flush passes the outputs of the core to the other goroutines. It returns false if the group must stop.
func (gro *Group) flush(ctx context.Context) bool {
	cor := gro.core
	if cor.failure != nil {
		gro.cfg.Log.Error("group stopped: its state violates the protocol", zap.String("group", gro.cfg.Name), zap.Error(cor.failure))
		gro.stop(cor.failure)
		return false
	}
	gro.failStaleWaiters()
	// The rings batches and tasks hold one item each. They have room, because the core returns the next batch or task only
	// after the result of the previous one.
	if bat := cor.takeBatch(); bat != nil {
		gro.batches.Offer(bat)
	}
	if tas := cor.takeTask(); tas != nil {
		gro.tasks.Offer(gro.withWaiters(tas))
	}
	if cor.lead != nil && cor.lead.needsSnapshot && !cor.lead.loadingSnapshot {
		cor.lead.loadingSnapshot = gro.snapshotTasks.Offer(snapshotTask{
			load: true,
		})
	}
	for _, msg := range cor.messages {
		gro.enqueue(ctx, msg)
	}
	clear(cor.messages)
	cor.messages = cor.messages[:0]
	gro.publish()
	return true
}

// withWaiters adds to a task the proposals that wait for its entries, and removes them from waiters.
func (gro *Group) withWaiters(tas *task) *applyTask {
	app := &applyTask{
		task: tas,
	}
	if len(gro.waiters) == 0 || len(tas.entries) == 0 {
		return app
	}
	app.waiters = make([]*proposal, len(tas.entries))
	for pos, ent := range tas.entries {
		if pro := gro.waiters[ent.GetIndex()]; pro != nil && ent.GetTerm() == gro.waiterTerm {
			app.waiters[pos] = pro
			delete(gro.waiters, ent.GetIndex())
		}
	}
	return app
}

// enqueue puts a message into the outbox of its receiver, or drops it if the outbox is full. The first message to a VM
// starts its sending goroutine.
func (gro *Group) enqueue(ctx context.Context, msg *fpwire.GroupMessage) {
	vm := msg.GetTo()
	out := gro.outboxes[vm]
	if out == nil {
		out = fpring.New[*fpwire.GroupMessage](outboxSize)
		gro.outboxes[vm] = out
		gro.spawn(func() { gro.runSender(ctx, vm, out) })
	}
	if !out.Offer(msg) {
		gro.droppedSent.Add(1)
	}
}

// runSender is the sending goroutine of one receiver.
func (gro *Group) runSender(ctx context.Context, vm string, out *fpring.Ring[*fpwire.GroupMessage]) {
	for {
		select {
		case <-ctx.Done():
			return
		case msg := <-out.Items():
			const maxPerCall = 64
			gro.cfg.Send(ctx, vm, out.Drain([]*fpwire.GroupMessage{msg}, maxPerCall-1))
		}
	}
}

// status returns the status of the group without the fields that only Group.Status knows.
func (cor *core) status() Status {
	sta := Status{
		Term:      cor.hard.Term,
		Role:      cor.role,
		Leader:    cor.leader.vm,
		Commit:    cor.commit,
		Known:     max(cor.known, cor.commit),
		LastIndex: cor.log.last().Index,
		Stalled:   cor.stalled,
		Counters:  cor.counters,
	}
	for _, member := range cor.members().GetMembers() {
		sta.Members = append(sta.Members, cor.memberStatus(member))
	}
	return sta
}

// memberStatus returns the status of one member, as far as this VM knows it.
func (cor *core) memberStatus(member *fpwire.Member) MemberStatus {
	mst := MemberStatus{
		Member: Member{
			VM:          member.GetVm(),
			Incarnation: member.GetIncarnation(),
			Learner:     member.GetLearner(),
		},
	}
	if member.GetVm() == cor.cfg.VM {
		mst.Match = cor.stable
		mst.Heard = cor.incarnation
	} else if cor.lead != nil && cor.lead.peers[member.GetVm()] != nil {
		mst.Match = cor.lead.peers[member.GetVm()].match
		mst.Heard = cor.lead.peers[member.GetVm()].seenIncarnation
	}
	return mst
}

// logState logs a change of the role, the term, the leader, the lease, or of whether this VM leads.
func (gro *Group) logState(sta *publicState) {
	gro.cfg.Log.Info("group state changed",
		zap.String("group", gro.cfg.Name),
		zap.Uint64("term", sta.status.Term),
		zap.Stringer("role", sta.status.Role),
		zap.String("leader", sta.status.Leader),
		zap.Bool("leads", sta.leads))
}
