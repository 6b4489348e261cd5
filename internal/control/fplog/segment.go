package fplog

import (
	"cmp"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

// Prefixes of file names; a number follows.
const (
	segmentPrefix  = "segment-"
	snapshotPrefix = "snapshot-"
)

// segment is one file of the log. All its entries have an index above base.
type segment struct {
	number uint64
	base   uint64
}

// path returns the path of a segment or snapshot file. The number is padded, so that names sort like numbers.
func (lg *Log) path(prefix string, number uint64) string {
	return filepath.Join(lg.dir, fmt.Sprintf("%s%020d", prefix, number))
}

// listNumbers returns the numbers of the files with the given prefix in ascending order.
func (lg *Log) listNumbers(prefix string) ([]uint64, error) {
	files, err := os.ReadDir(lg.dir)
	if err != nil {
		return nil, err
	}
	var numbers []uint64
	for _, fil := range files {
		rest, ok := strings.CutPrefix(fil.Name(), prefix)
		if !ok {
			continue
		}
		if num, err := strconv.ParseUint(rest, 10, 64); err == nil {
			numbers = append(numbers, num)
		}
	}
	slices.SortFunc(numbers, cmp.Compare[uint64])
	return numbers, nil
}

// rotate starts a new segment after the entry (term, index). With reset, the segment follows a snapshot, and the entries
// of earlier segments no longer count. After an error the log continues in the old segment.
func (lg *Log) rotate(term, index uint64, reset bool) error {
	number := uint64(1)
	if len(lg.segments) > 0 {
		number = lg.segments[len(lg.segments)-1].number + 1
	}
	buf, err := appendFrame(nil, lg.seq+1, headerMessage(lg.hard, term, index, reset))
	if err != nil {
		return err
	}
	path := lg.path(segmentPrefix, number)
	fil, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	_, err = lg.cfg.Write(fil, buf)
	if err == nil {
		err = lg.cfg.Sync(fil)
	}
	if err == nil {
		err = lg.syncDir(lg.dir)
	}
	if err != nil {
		_ = fil.Close()
		if removeErr := os.Remove(path); removeErr != nil {
			return lg.fail(err, "removal of an unfinished segment")
		}
		return err
	}
	if lg.active != nil {
		_ = lg.active.Close()
	}
	lg.active = fil
	lg.size = int64(len(buf))
	lg.seq++
	lg.segments = append(lg.segments, segment{
		number: number,
		base:   index,
	})
	return nil
}

// headerMessage returns the payload of the first frame of a segment.
func headerMessage(hs HardState, term, index uint64, reset bool) *fpwire.GroupMessage {
	return &fpwire.GroupMessage{
		Term:            hs.Term,
		From:            hs.Vote,
		FromIncarnation: hs.VoteIncarnation,
		Body: &fpwire.GroupMessage_SnapshotRequest{
			SnapshotRequest: &fpwire.SnapshotRequest{
				LastTerm:  term,
				LastIndex: index,
				Done:      reset,
			},
		},
	}
}

// recover reads the newest snapshot and all segments, opens the last segment for writing and makes it durable.
func (lg *Log) recover() error {
	if err := lg.readSnapshot(); err != nil {
		return err
	}
	numbers, err := lg.listNumbers(segmentPrefix)
	if err != nil {
		return err
	}
	for pos, num := range numbers {
		if err := lg.readSegment(num, pos == len(numbers)-1); err != nil {
			return fperror.Wrap(fperror.StorageFailed, err, "segment %d", num)
		}
	}
	if len(lg.segments) == 0 {
		return fperror.New(fperror.StorageFailed, "the folder has no valid segment")
	}
	if err := lg.reopen(); err != nil {
		return err
	}
	return lg.alignToSnapshot()
}

// readSegment reads one segment into memory. In the last segment, it ignores the torn end of an interrupted write, and
// removes the file if nothing else is in it.
func (lg *Log) readSegment(number uint64, last bool) error {
	buf, err := os.ReadFile(lg.path(segmentPrefix, number))
	if err != nil {
		return err
	}
	off := 0
	for off < len(buf) {
		msg, seq, size := decodeFrame(buf[off:])
		if msg == nil {
			if !last || hasLaterFrame(buf[off:], lg.seq) {
				return fperror.New(fperror.StorageFailed, "invalid frame at offset %d", off)
			}
			break
		}
		if lg.seq != 0 && seq != lg.seq+1 {
			return fperror.New(fperror.StorageFailed, "frame %d follows frame %d", seq, lg.seq)
		}
		if err := lg.replay(msg, number, off == 0); err != nil {
			return err
		}
		lg.seq = seq
		off += size
	}
	if off == 0 {
		if !last {
			return fperror.New(fperror.StorageFailed, "the segment is empty")
		}
		// The process ended before the first sync of this segment, so nothing in it was acknowledged.
		return os.Remove(lg.path(segmentPrefix, number))
	}
	lg.size = int64(off)
	return nil
}

// replay applies one frame to the state in memory; first states that it is the header of the segment.
func (lg *Log) replay(msg *fpwire.GroupMessage, number uint64, first bool) error {
	lg.hard = HardState{
		Term:            msg.GetTerm(),
		Vote:            msg.GetFrom(),
		VoteIncarnation: msg.GetFromIncarnation(),
	}
	head := msg.GetSnapshotRequest()
	if first != (head != nil) {
		return fperror.New(fperror.StorageFailed, "segment header missing or misplaced")
	}
	if first {
		return lg.replayHeader(head, number)
	}
	lg.commit = max(lg.commit, msg.GetAppendRequest().GetCommit())
	entries := msg.GetAppendRequest().GetEntries()
	if err := checkEntries(entries); err != nil {
		return err
	}
	if len(entries) == 0 {
		return nil
	}
	lo := entries[0].GetIndex()
	if lo <= lg.segments[len(lg.segments)-1].base || lo > lg.lastIndex()+1 {
		return fperror.New(fperror.StorageFailed, "entry %d follows entry %d", lo, lg.lastIndex())
	}
	lg.entries = append(lg.entries[:lo-lg.baseIndex-1], entries...)
	return nil
}

// replayHeader applies the header of a segment: it removes the entries after the segment's base, or all entries if the
// segment follows a snapshot.
func (lg *Log) replayHeader(head *fpwire.SnapshotRequest, number uint64) error {
	term, index := head.GetLastTerm(), head.GetLastIndex()
	known, ok := lg.term(index)
	switch {
	case head.GetDone(), len(lg.segments) == 0, index < lg.baseIndex:
		lg.baseTerm, lg.baseIndex, lg.entries = term, index, nil
	case ok && known == term:
		lg.entries = lg.entries[:index-lg.baseIndex]
	default:
		return fperror.New(fperror.StorageFailed, "the segment starts after (%d, %d), which is not in the log", term, index)
	}
	lg.segments = append(lg.segments, segment{
		number: number,
		base:   index,
	})
	return nil
}

// checkEntries returns an error unless the indexes are consecutive and the terms never decrease.
func checkEntries(entries []*fpwire.Entry) error {
	for pos := 1; pos < len(entries); pos++ {
		prev, ent := entries[pos-1], entries[pos]
		if ent.GetIndex() != prev.GetIndex()+1 || ent.GetTerm() < prev.GetTerm() {
			return fperror.New(fperror.Internal, "entry (%d, %d) follows entry (%d, %d)",
				ent.GetTerm(), ent.GetIndex(), prev.GetTerm(), prev.GetIndex())
		}
	}
	return nil
}

// reopen opens the last segment for writing. It first writes the valid frames to a new file and syncs it: if the fsync of
// the last frame failed before the process ended, that frame may exist only in the page cache.
func (lg *Log) reopen() error {
	path := lg.path(segmentPrefix, lg.segments[len(lg.segments)-1].number)
	buf, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	// If readSegment removed the last file, this is the one before it, whose frames are all valid.
	valid := 0
	for valid < len(buf) {
		_, _, size := decodeFrame(buf[valid:])
		if size == 0 {
			break
		}
		valid += size
	}
	if err := lg.writeFile(filepath.Base(path), buf[:valid]); err != nil {
		return err
	}
	lg.size = int64(valid)
	lg.active, err = os.OpenFile(path, os.O_WRONLY|os.O_APPEND, 0o600)
	return err
}
