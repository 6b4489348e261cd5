package fpgroup

import (
	"context"

	"go.uber.org/zap"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/control/fplog"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

// applyTask is a task with the proposals that wait for its entries: waiters is nil, or holds for each entry its proposal or
// nil.
type applyTask struct {
	*task
	waiters []*proposal
}

// view is one call of View.
type view struct {
	fn   func(pos Position)
	done chan struct{}
}

// applier is the state of the apply goroutine.
type applier struct {
	gro     *Group
	pos     Position           // of the last applied entry
	members *fpwire.Membership // in force at pos
	// bytes and count are the size and number of the entries applied since the last snapshot, lastSnapshotSize is the size
	// of that snapshot in bytes.
	bytes            int
	count            int
	lastSnapshotSize int
}

// View runs fn on the apply goroutine, with the position of the last applied entry, so that fn can read the machine. It
// waits until fn has returned, and reports whether fn ran; it does not run if the group has ended. The state is up to date
// if Leadership, called inside fn, returns no error. fn must not call Propose or View, which wait for the same goroutine.
func (gro *Group) View(fn func(pos Position)) bool {
	vie := &view{
		fn:   fn,
		done: make(chan struct{}),
	}
	select {
	case <-gro.ended:
		return false
	default:
	}
	if gro.views.Put(gro.runCtx, vie) != nil {
		return false
	}
	select {
	case <-vie.done:
		return true
	case <-gro.ended:
		select {
		case <-vie.done:
			return true
		default:
			return false
		}
	}
}

// runApply is the apply goroutine. It is the only one that uses the machine after New.
func (gro *Group) runApply(ctx context.Context) {
	snp := gro.cfg.Storage.Snapshot()
	app := &applier{
		gro:     gro,
		pos:     *gro.position.Load(),
		members: snp.Members,
	}
	if snp.Index == 0 {
		app.members = initialMembership(gro.cfg.Voters)
	}
	for {
		select {
		case <-ctx.Done():
			return
		case vie := <-gro.views.Items():
			vie.fn(app.pos)
			close(vie.done)
		case tas := <-gro.tasks.Items():
			if err := app.runTask(tas); err != nil {
				gro.stop(err)
				return
			}
			if gro.applied.Put(ctx, app.pos.Index) != nil {
				return
			}
		}
	}
}

// runTask restores the snapshot of the task, if there is one, applies its entries and finishes their proposals.
func (app *applier) runTask(tas *applyTask) error {
	gro := app.gro
	if snp := tas.snapshot; snp != nil {
		if err := gro.cfg.Machine.Restore(snp.Data); err != nil {
			return fperror.Wrap(fperror.Internal, err, "restore snapshot %d of group %s", snp.Index, gro.cfg.Name)
		}
		app.pos = Position{
			Term:  snp.Term,
			Index: snp.Index,
		}
		app.members = snp.Members
		app.bytes, app.count, app.lastSnapshotSize = 0, 0, len(snp.Data)
	}
	for pos, ent := range tas.entries {
		res, err := app.applyEntry(ent)
		if err != nil {
			return err
		}
		if tas.waiters != nil && tas.waiters[pos] != nil {
			tas.waiters[pos].finish(proposalResult{
				pos:    app.pos,
				result: res,
			})
		}
	}
	position := app.pos
	gro.position.Store(&position)
	gro.signalChange()
	app.snapshotIfDue()
	return nil
}

// applyEntry applies one entry. The result is nil for an entry without a command.
func (app *applier) applyEntry(ent *fpwire.Entry) ([]byte, error) {
	if ent.GetIndex() != app.pos.Index+1 {
		return nil, fperror.New(fperror.Internal, "cannot apply entry %d of group %s after entry %d", ent.GetIndex(), app.gro.cfg.Name, app.pos.Index)
	}
	app.pos = Position{
		Term:  ent.GetTerm(),
		Index: ent.GetIndex(),
	}
	app.bytes += entrySize(ent)
	app.count++
	if ent.GetMembers() != nil {
		app.members = ent.GetMembers()
		return nil, nil
	}
	if len(ent.GetCommand()) == 0 {
		// The first entry of a term has no command.
		return nil, nil
	}
	return app.gro.cfg.Machine.Apply(app.pos, ent.GetCommand()), nil
}

// snapshotIfDue takes a snapshot if enough was applied since the last one, unless the snapshot goroutine is busy. At least
// half the size of the last snapshot must have been applied, so that snapshots write at most twice the bytes of the entries.
func (app *applier) snapshotIfDue() {
	gro := app.gro
	due := (app.bytes >= gro.cfg.SnapshotBytes || app.count >= gro.cfg.SnapshotCount) && app.bytes >= app.lastSnapshotSize/2
	if !due || gro.snapshotTasks.Len() > 0 {
		return
	}
	data, err := gro.cfg.Machine.Snapshot()
	if err != nil {
		gro.cfg.Log.Error("snapshot of the machine failed", zap.String("group", gro.cfg.Name), zap.Error(err))
		return
	}
	accepted := gro.snapshotTasks.Offer(snapshotTask{
		snapshot: fplog.Snapshot{
			Term:    app.pos.Term,
			Index:   app.pos.Index,
			Members: app.members,
			Data:    data,
		},
	})
	if accepted {
		app.bytes, app.count, app.lastSnapshotSize = 0, 0, len(data)
	}
}
