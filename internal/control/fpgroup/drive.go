package fpgroup

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fpring"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

// ticksPerHeartbeat sets the resolution of the core's timeouts.
const ticksPerHeartbeat = 5

// Limits on what one turn of the core goroutine handles, so that no input holds up the others for long.
const (
	messagesPerTurn  = 256
	proposalsPerTurn = 2048
)

// drive is the core goroutine. It is the only one that uses the core.
func (gro *Group) drive(ctx context.Context) {
	ticker := time.NewTicker(gro.cfg.Heartbeat / ticksPerHeartbeat)
	defer ticker.Stop()
	gro.core.now = gro.clock()
	gro.core.start()
	var messages []*fpwire.GroupMessage
	var proposals []*proposal
	for {
		var control func(cor *core)
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
		case control = <-gro.control.Items():
		case writeErr = <-gro.written.Items():
			wrote = true
		case applied = <-gro.applied.Items():
		}
		messages = gro.inbox.Drain(messages, messagesPerTurn)
		proposals = gro.proposals.Drain(proposals, proposalsPerTurn)
		// The clock is read after the messages were received: a promise to a leader counts from here.
		gro.core.now = gro.clock()
		if wrote {
			gro.takeWritten(writeErr)
		}
		if applied > 0 {
			gro.core.handleApplied(applied)
		}
		for _, msg := range messages {
			gro.core.step(msg)
		}
		gro.dropWaiters()
		if len(proposals) > 0 {
			gro.takeProposals(proposals)
		}
		if control != nil {
			control(gro.core)
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

// takeWritten passes the end of a batch, or the refusal of the disk, to the core.
func (gro *Group) takeWritten(err error) {
	if err == nil {
		gro.core.handleWritten()
		return
	}
	if !gro.core.stalled {
		gro.cfg.Log.Error("disk refuses writes", zap.String("group", gro.cfg.Name), zap.Error(err))
	}
	gro.core.handleStalled()
}

// dropWaiters fails the proposals of a leadership that has ended.
func (gro *Group) dropWaiters() {
	cor := gro.core
	if len(gro.waiters) > 0 && (cor.role != Leader || cor.hard.Term != gro.waiterTerm) {
		gro.failWaiting()
	}
}

// flush passes on what the core has decided, and reports whether the group may go on.
func (gro *Group) flush(ctx context.Context) bool {
	cor := gro.core
	if cor.failure != nil {
		gro.cfg.Log.Error("group stops", zap.String("group", gro.cfg.Name), zap.Error(cor.failure))
		gro.stop(cor.failure)
		return false
	}
	gro.dropWaiters()
	// The rings to the other duties hold one item, and the core hands over the next one only after the answer.
	if bat := cor.takeBatch(); bat != nil {
		gro.batches.Offer(bat)
	}
	if tas := cor.takeTask(); tas != nil {
		gro.tasks.Offer(gro.withWaiters(tas))
	}
	if cor.lead != nil && cor.lead.wantSnapshot && !cor.lead.loading {
		cor.lead.loading = gro.saves.Offer(saveTask{
			load: true,
		})
	}
	for _, msg := range cor.messages {
		gro.post(ctx, msg)
	}
	clear(cor.messages)
	cor.messages = cor.messages[:0]
	gro.publish()
	return true
}

// withWaiters adds the proposals that wait for the entries of a task.
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

// post puts a message into the outbox of its receiver, and drops it when there is no room.
func (gro *Group) post(ctx context.Context, msg *fpwire.GroupMessage) {
	vm := msg.GetTo()
	out := gro.outboxes[vm]
	if out == nil {
		out = fpring.New[*fpwire.GroupMessage](outboxSize)
		gro.outboxes[vm] = out
		gro.begin(func() { gro.send(ctx, vm, out) })
	}
	if !out.Offer(msg) {
		gro.droppedSent.Add(1)
	}
}

// send is the sending goroutine of one receiver.
func (gro *Group) send(ctx context.Context, vm string, out *fpring.Ring[*fpwire.GroupMessage]) {
	for {
		select {
		case <-ctx.Done():
			return
		case msg := <-out.Items():
			const perCall = 64
			gro.cfg.Send(ctx, vm, out.Drain([]*fpwire.GroupMessage{msg}, perCall-1))
		}
	}
}

// status returns the state of the core without what only the Group knows.
func (cor *core) status() Status {
	sta := Status{
		Term:      cor.hard.Term,
		Role:      cor.role,
		Leader:    cor.leader.vm,
		Commit:    cor.commit,
		LastIndex: cor.log.last().Index,
		Stalled:   cor.stalled,
		Counters:  cor.counters,
	}
	for _, one := range cor.members().GetMembers() {
		sta.Members = append(sta.Members, cor.memberStatus(one))
	}
	return sta
}

func (cor *core) memberStatus(one *fpwire.Member) MemberStatus {
	mst := MemberStatus{
		Member: Member{
			VM:          one.GetVm(),
			Incarnation: one.GetIncarnation(),
			Learner:     one.GetLearner(),
		},
	}
	if one.GetVm() == cor.cfg.VM {
		mst.Match = cor.stable
		mst.Heard = cor.incarnation
	} else if cor.lead != nil && cor.lead.peers[one.GetVm()] != nil {
		mst.Match = cor.lead.peers[one.GetVm()].match
		mst.Heard = cor.lead.peers[one.GetVm()].heard
	}
	return mst
}

// logState writes one line for a change of role, term or leader.
func (gro *Group) logState(sta *publicState) {
	gro.cfg.Log.Info("group state changed",
		zap.String("group", gro.cfg.Name),
		zap.Uint64("term", sta.status.Term),
		zap.Stringer("role", sta.status.Role),
		zap.String("leader", sta.status.Leader),
		zap.Bool("leads", sta.leads))
}
