package fplog

import (
	"os"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

// Append writes entries and hard state with one fsync and returns once both are durable. Entries replace those that the
// log holds from the index of the first one on. The caller must not change the entries afterwards.
//
// The error kind is StorageFailed. The entries and the hard state are then not part of the log, and Failure tells whether
// another try can succeed.
func (lg *Log) Append(entries []*fpwire.Entry, hs HardState) error {
	if err := checkEntries(entries); err != nil {
		return err
	}
	lg.files.Lock()
	defer lg.files.Unlock()
	if err := lg.Failure(); err != nil {
		return err
	}
	if err := lg.finishJoin(); err != nil {
		return err
	}
	if err := lg.makeRoom(entries); err != nil {
		return fperror.Wrap(fperror.StorageFailed, err, "new segment of log %s", lg.dir)
	}
	buf, err := appendFrame(nil, lg.seq+1, batchMessage(entries, hs))
	if err != nil {
		return err
	}
	if err := lg.write(buf); err != nil {
		return err
	}
	lg.seq++
	lg.memory.Lock()
	defer lg.memory.Unlock()
	lg.hard = hs
	if len(entries) > 0 {
		keep := entries[0].GetIndex() - lg.baseIndex - 1
		lg.entries = append(lg.entries[:keep], entries...)
	}
	return nil
}

func batchMessage(entries []*fpwire.Entry, hs HardState) *fpwire.GroupMessage {
	return &fpwire.GroupMessage{
		Term:            hs.Term,
		From:            hs.Vote,
		FromIncarnation: hs.VoteIncarnation,
		Body: &fpwire.GroupMessage_AppendRequest{
			AppendRequest: &fpwire.AppendRequest{
				Entries: entries,
			},
		},
	}
}

// makeRoom starts a new segment when the active one is full, or when the entries reach back to or before its base.
func (lg *Log) makeRoom(entries []*fpwire.Entry) error {
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
	lg.memory.Lock()
	lg.entries = lg.entries[:before-lg.baseIndex]
	lg.memory.Unlock()
	return nil
}

// write appends buf to the active segment and syncs it.
func (lg *Log) write(buf []byte) error {
	if _, err := lg.cfg.Write(lg.active, buf); err != nil {
		if undo := lg.active.Truncate(lg.size); undo != nil {
			return lg.fail(undo, "truncation after a failed write")
		}
		return fperror.Wrap(fperror.StorageFailed, err, "write to log %s", lg.dir)
	}
	if err := lg.cfg.Sync(lg.active); err != nil {
		// The frame was not acknowledged. Truncation keeps a restart from reading it out of the page cache.
		_ = lg.active.Truncate(lg.size)
		return lg.fail(err, "fsync")
	}
	lg.size += int64(len(buf))
	return nil
}

// Compact removes entries up to index, which must not lie beyond the newest snapshot. On disk it removes whole segments
// only.
func (lg *Log) Compact(index uint64) error {
	lg.files.Lock()
	defer lg.files.Unlock()
	if err := lg.Failure(); err != nil {
		return err
	}
	if err := lg.finishJoin(); err != nil {
		return err
	}
	index = min(index, lg.Snapshot().Index, lg.LastIndex())
	lg.memory.Lock()
	if term, ok := lg.term(index); ok && index > lg.baseIndex {
		// A copy lets the garbage collector free the removed entries.
		lg.entries = append([]*fpwire.Entry(nil), lg.entries[index-lg.baseIndex:]...)
		lg.baseTerm, lg.baseIndex = term, index
	}
	lg.memory.Unlock()
	return lg.removeSegments(index)
}

// removeSegments deletes the segments before the last one that starts at or before index.
func (lg *Log) removeSegments(index uint64) error {
	start := 0
	for pos, seg := range lg.segments {
		if seg.base <= index {
			start = pos
		}
	}
	// The oldest file goes first, so that a crash leaves no gap between segments.
	for start > 0 {
		if err := os.Remove(lg.path(segmentPrefix, lg.segments[0].number)); err != nil {
			return fperror.Wrap(fperror.StorageFailed, err, "remove segment of log %s", lg.dir)
		}
		lg.segments = lg.segments[1:]
		start--
	}
	return nil
}
