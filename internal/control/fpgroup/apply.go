package fpgroup

import (
	"context"

	"go.uber.org/zap"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/control/fplog"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

// applyTask is a task with the proposals that wait for its entries; waiters is empty or as long as the entries.
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
	pos     Position
	members *fpwire.Membership
	// bytes and count measure what was applied since the last snapshot, whose size was lastSize.
	bytes    int
	count    int
	lastSize int
}

// View runs fn on the apply goroutine, with the position of the last applied entry, and reports whether it ran, which it
// does unless the group has ended. To read the newest state, call Lead inside fn. Fn must not call Propose or View.
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
	if gro.views.Put(gro.life, vie) != nil {
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

// apply is the apply goroutine. It is the only one that uses the machine.
func (gro *Group) apply(ctx context.Context) {
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
			if err := app.run(tas); err != nil {
				gro.stop(err)
				return
			}
			if gro.applied.Put(ctx, app.pos.Index) != nil {
				return
			}
		}
	}
}

// run restores the task's snapshot and applies its entries.
func (app *applier) run(tas *applyTask) error {
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
		app.bytes, app.count, app.lastSize = 0, 0, len(snp.Data)
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
	at := app.pos
	gro.position.Store(&at)
	gro.signal()
	app.snapshotIfDue()
	return nil
}

func (app *applier) applyEntry(ent *fpwire.Entry) ([]byte, error) {
	if ent.GetIndex() != app.pos.Index+1 {
		return nil, fperror.New(fperror.Internal, "entry %d of group %s follows entry %d", ent.GetIndex(), app.gro.cfg.Name, app.pos.Index)
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

// snapshotIfDue takes a snapshot when enough was applied since the last one, unless the saving goroutine is busy. Waiting
// for half the size of the last snapshot bounds the bytes written for snapshots to twice the bytes of entries.
func (app *applier) snapshotIfDue() {
	gro := app.gro
	due := (app.bytes >= gro.cfg.SnapshotBytes || app.count >= gro.cfg.SnapshotCount) && app.bytes >= app.lastSize/2
	if !due || gro.saves.Len() > 0 {
		return
	}
	data, err := gro.cfg.Machine.Snapshot()
	if err != nil {
		gro.cfg.Log.Error("snapshot of the machine failed", zap.String("group", gro.cfg.Name), zap.Error(err))
		return
	}
	taken := gro.saves.Offer(saveTask{
		snapshot: fplog.Snapshot{
			Term:    app.pos.Term,
			Index:   app.pos.Index,
			Members: app.members,
			Data:    data,
		},
	})
	if taken {
		app.bytes, app.count, app.lastSize = 0, 0, len(data)
	}
}
