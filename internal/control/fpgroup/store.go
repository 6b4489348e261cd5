package fpgroup

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/control/fplog"
)

// retryInterval is the time between attempts to write to a full disk.
const retryInterval = 100 * time.Millisecond

// store is the storage goroutine. It writes each batch with one fsync. While a disk is full it tries the same batch again,
// because the core has built on it; when the log cannot be written until it is opened again, it stops the group.
func (gro *Group) store(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case bat := <-gro.batches.Items():
			for {
				err := gro.write(bat)
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

func sleep(ctx context.Context, length time.Duration) bool {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func (gro *Group) write(bat *batch) error {
	sto := gro.cfg.Storage
	if bat.snapshot != nil {
		if err := sto.SaveSnapshot(*bat.snapshot); err != nil {
			return err
		}
	}
	if len(bat.entries) == 0 && bat.hard == sto.HardState() {
		return nil
	}
	return sto.Append(bat.entries, bat.hard)
}

// keepAfter returns the index after which the log keeps entries beside a snapshot: KeepEntries of them, within the size of
// SnapshotBytes.
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

// saveTask asks the saving goroutine to store a snapshot, or to load the newest one for a peer.
type saveTask struct {
	load     bool
	snapshot fplog.Snapshot
}

// save is the saving goroutine. It reads and writes snapshots beside the log, so that neither waits for the other.
func (gro *Group) save(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case tas := <-gro.saves.Items():
			err := gro.saveOne(ctx, tas)
			if err != nil && ctx.Err() == nil {
				// The log keeps its entries, and the next snapshot is another attempt.
				gro.cfg.Log.Error("snapshot failed", zap.String("group", gro.cfg.Name), zap.Error(err))
			}
		}
	}
}

func (gro *Group) saveOne(ctx context.Context, tas saveTask) error {
	sto := gro.cfg.Storage
	if tas.load {
		snp, err := sto.ReadSnapshot()
		return errors.CombineErrors(err, gro.control.Put(ctx, func(cor *core) { cor.handleLoaded(snp) }))
	}
	if err := sto.SaveSnapshot(tas.snapshot); err != nil {
		return err
	}
	keepAfter := gro.keepAfter(tas.snapshot.Index)
	if err := sto.Compact(keepAfter); err != nil {
		return fperror.Wrap(fperror.StorageFailed, err, "compact the log")
	}
	return gro.control.Put(ctx, func(cor *core) { cor.handleSaved(keepAfter) })
}
