package fplog

import (
	"os"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

// Append writes entries and the hard state with one fsync and returns once both are durable. The entries replace those
// that the log holds from the index of the first one on; no entries change only the hard state. The caller must not change
// the entries afterwards.
//
// The error kind is StorageFailed, or Internal or TooLarge for entries that the log cannot hold. After an error,
// neither the entries nor the hard state are in the log; another attempt may succeed if Failure returns nil.
func (lg *Log) Append(entries []*fpwire.Entry, hs HardState) error {
	return lg.AppendCommitted(entries, hs, lg.Commit())
}

// AppendCommitted does what Append does, and records in the same write that the entries up to commit are committed. With the
// given entries, the log must hold all entries up to commit. A lower commit than before has no effect.
func (lg *Log) AppendCommitted(entries []*fpwire.Entry, hs HardState, commit uint64) error {
	if err := checkEntries(entries); err != nil {
		return err
	}
	lg.segmentMu.Lock()
	defer lg.segmentMu.Unlock()
	if err := lg.Failure(); err != nil {
		return err
	}
	if err := lg.alignIfBehind(); err != nil {
		return err
	}
	if err := lg.rotateIfNeeded(entries); err != nil {
		return fperror.Wrap(fperror.StorageFailed, err, "start a new segment of log %s", lg.dir)
	}
	commit = max(commit, lg.Commit())
	buf, err := appendFrame(nil, lg.seq+1, batchMessage(entries, hs, commit))
	if err != nil {
		return err
	}
	if err := lg.write(buf); err != nil {
		return err
	}
	lg.seq++
	lg.stateMu.Lock()
	defer lg.stateMu.Unlock()
	lg.hard = hs
	lg.commit = commit
	if len(entries) > 0 {
		keep := entries[0].GetIndex() - lg.baseIndex - 1
		lg.entries = append(lg.entries[:keep], entries...)
	}
	return nil
}

// batchMessage returns the payload of the frame of one Append: the entries, the hard state and the commit index. Earlier builds
// ignore the commit index.
func batchMessage(entries []*fpwire.Entry, hs HardState, commit uint64) *fpwire.GroupMessage {
	return &fpwire.GroupMessage{
		Term:            hs.Term,
		From:            hs.Vote,
		FromIncarnation: hs.VoteIncarnation,
		Body: &fpwire.GroupMessage_AppendRequest{
			AppendRequest: &fpwire.AppendRequest{
				Entries: entries,
				Commit:  commit,
			},
		},
	}
}

// rotateIfNeeded starts a new segment if the active one is full, or if the entries replace its base or an earlier entry.
// The new segment starts after the entry before the given ones, and later entries are removed.
func (lg *Log) rotateIfNeeded(entries []*fpwire.Entry) error {
	last := lg.LastIndex()
	base := lg.segments[len(lg.segments)-1].base
	before := last
	if len(entries) > 0 {
		before = entries[0].GetIndex() - 1
	}
	term, ok := lg.Term(before)
	if !ok {
		return fperror.New(fperror.Internal, "entry %d does not follow the log, which ends at %d", before+1, last)
	}
	if lg.size < lg.cfg.SegmentSize && before >= base {
		return nil
	}
	if err := lg.rotate(term, before, false); err != nil {
		return err
	}
	lg.stateMu.Lock()
	lg.entries = lg.entries[:before-lg.baseIndex]
	lg.stateMu.Unlock()
	return nil
}

// write appends a frame to the active segment and syncs it. A failed write is undone by truncation; if the truncation or
// the fsync fails, the log accepts no further writes.
func (lg *Log) write(buf []byte) error {
	if _, err := lg.cfg.Write(lg.active, buf); err != nil {
		if truncateErr := lg.active.Truncate(lg.size); truncateErr != nil {
			return lg.fail(truncateErr, "truncation after a failed write")
		}
		return fperror.Wrap(fperror.StorageFailed, err, "write to log %s", lg.dir)
	}
	if err := lg.cfg.Sync(lg.active); err != nil {
		// The frame was not acknowledged. Without it in the file, a restart cannot read it from the page cache.
		_ = lg.active.Truncate(lg.size)
		return lg.fail(err, "fsync")
	}
	lg.size += int64(len(buf))
	return nil
}

// Compact removes the entries up to and including index from memory, but none after the newest snapshot or after the last
// entry. On disk it removes only whole segments. The error kind is StorageFailed.
func (lg *Log) Compact(index uint64) error {
	lg.segmentMu.Lock()
	defer lg.segmentMu.Unlock()
	if err := lg.Failure(); err != nil {
		return err
	}
	if err := lg.alignIfBehind(); err != nil {
		return err
	}
	index = min(index, lg.Snapshot().Index, lg.LastIndex())
	lg.stateMu.Lock()
	if term, ok := lg.term(index); ok && index > lg.baseIndex {
		// A copy lets the garbage collector free the removed entries.
		lg.entries = append([]*fpwire.Entry(nil), lg.entries[index-lg.baseIndex:]...)
		lg.baseTerm, lg.baseIndex = term, index
	}
	lg.stateMu.Unlock()
	return lg.removeSegments(index)
}

// removeSegments deletes the files of all segments before the last one whose base is not after index.
func (lg *Log) removeSegments(index uint64) error {
	first := 0
	for i, seg := range lg.segments {
		if seg.base <= index {
			first = i
		}
	}
	// The oldest file is removed first, and for good before the next one, so that a power loss leaves no gap between segments.
	for first > 0 {
		if err := os.Remove(lg.path(segmentPrefix, lg.segments[0].number)); err != nil {
			return fperror.Wrap(fperror.StorageFailed, err, "remove a segment of log %s", lg.dir)
		}
		lg.segments = lg.segments[1:]
		first--
		if err := lg.syncDir(lg.dir); err != nil {
			return fperror.Wrap(fperror.StorageFailed, err, "remove a segment of log %s", lg.dir)
		}
	}
	return nil
}
