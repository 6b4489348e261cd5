package fpgroup

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/control/fplog"
)

// retryInterval is the time between two attempts to write a batch, for instance to a full disk.
const retryInterval = 100 * time.Millisecond

// runStorage is the storage goroutine. It writes each batch and reports the result to the core. It retries a failed batch,
// for instance while the disk is full, because the entries of the batch are already in the core's log in memory. If the log
// on disk accepts no writes until it is opened again, it stops the group.
func (gro *Group) runStorage(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case bat := <-gro.batches.Items():
			for {
				err := gro.writeBatch(bat)
				if gro.written.Put(ctx, err) != nil {
					return
				}
				if err == nil {
					break
				}
				if gro.cfg.Storage.Failure() != nil {
					gro.stop(err)
					return
				}
				if !sleep(ctx, retryInterval) {
					return
				}
			}
		}
	}
}

// sleep waits for the given duration and reports whether it passed before ctx ended.
func sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// writeBatch makes a batch durable: its snapshot, its entries, its hard state and its commit index, as far as they are new.
func (gro *Group) writeBatch(bat *batch) error {
	sto := gro.cfg.Storage
	if bat.snapshot != nil {
		if err := sto.SaveSnapshot(*bat.snapshot); err != nil {
			return err
		}
	}
	if len(bat.entries) == 0 && bat.hard == sto.HardState() && bat.commit <= sto.Commit() {
		return nil
	}
	return sto.AppendCommitted(bat.entries, bat.hard, bat.commit)
}

// keepAfter returns the index after which the log keeps entries once the snapshot at index is stored. It keeps up to
// KeepEntries entries before the snapshot, as far as they are not larger than SnapshotBytes.
func (gro *Group) keepAfter(index uint64) uint64 {
	sto := gro.cfg.Storage
	first := max(sto.FirstIndex(), index-min(index, uint64(gro.cfg.KeepEntries))+1)
	entries, err := sto.Entries(first, index+1)
	if err != nil {
		return index
	}
	size := 0
	for len(entries) > 0 {
		size += entrySize(entries[len(entries)-1])
		if size > gro.cfg.SnapshotBytes {
			break
		}
		entries = entries[:len(entries)-1]
		index--
	}
	return index
}

// snapshotTask asks the snapshot goroutine to store a snapshot or, with load, to read the newest one for a peer.
type snapshotTask struct {
	load     bool
	snapshot fplog.Snapshot
}

// runSnapshots is the snapshot goroutine. It reads and writes snapshots concurrently with the storage goroutine, so that
// appending entries does not wait for them.
func (gro *Group) runSnapshots(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case tas := <-gro.snapshotTasks.Items():
			err := gro.runSnapshotTask(ctx, tas)
			if err != nil && ctx.Err() == nil {
				// The log keeps its entries until a later snapshot is stored.
				gro.cfg.Log.Error("reading or writing a snapshot failed", zap.String("group", gro.cfg.Name), zap.Error(err))
			}
		}
	}
}

// runSnapshotTask stores a snapshot and compacts the log, or reads a snapshot, and passes the result to the core.
func (gro *Group) runSnapshotTask(ctx context.Context, tas snapshotTask) error {
	sto := gro.cfg.Storage
	if tas.load {
		snp, err := sto.ReadSnapshot()
		return errors.CombineErrors(err, gro.coreCalls.Put(ctx, func(cor *core) { cor.handleSnapshotLoaded(snp) }))
	}
	if err := sto.SaveSnapshot(tas.snapshot); err != nil {
		return err
	}
	keepAfter := gro.keepAfter(tas.snapshot.Index)
	if err := sto.Compact(keepAfter); err != nil {
		return fperror.Wrap(fperror.StorageFailed, err, "compact the log after a snapshot")
	}
	return gro.coreCalls.Put(ctx, func(cor *core) { cor.handleSnapshotSaved(keepAfter) })
}
