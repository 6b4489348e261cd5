package fplog

import (
	"os"
	"path/filepath"

	"google.golang.org/protobuf/proto"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

// Snapshot is the state of a group after the entry (Term, Index). The zero value is the state of a new group.
type Snapshot struct {
	Term  uint64
	Index uint64
	// Members is the membership in force at Index.
	Members *fpwire.Membership
	// Data is the encoded state machine. Log.Snapshot leaves it nil.
	Data []byte
}

// SaveSnapshot stores a snapshot and returns once it is durable. It ignores a snapshot that is not newer than the stored
// one. If the log does not hold the snapshot's last entry, all entries are removed and the log continues after the
// snapshot. The error kind is StorageFailed, or TooLarge for a snapshot beyond the largest frame.
func (lg *Log) SaveSnapshot(snp Snapshot) error {
	buf, err := appendFrame(nil, 1, &fpwire.GroupMessage{
		Body: &fpwire.GroupMessage_SnapshotRequest{
			SnapshotRequest: &fpwire.SnapshotRequest{
				LastTerm:  snp.Term,
				LastIndex: snp.Index,
				Members:   snp.Members,
				Data:      snp.Data,
				Done:      true,
			},
		},
	})
	if err != nil {
		return err
	}
	lg.snapshotMu.Lock()
	defer lg.snapshotMu.Unlock()
	if err := lg.Failure(); err != nil {
		return err
	}
	old := lg.Snapshot().Index
	if snp.Index <= old {
		lg.segmentMu.Lock()
		defer lg.segmentMu.Unlock()
		return lg.alignIfBehind()
	}
	if err := lg.writeFile(filepath.Base(lg.path(snapshotPrefix, snp.Index)), buf); err != nil {
		return fperror.Wrap(fperror.StorageFailed, err, "save a snapshot of log %s", lg.dir)
	}
	lg.segmentMu.Lock()
	defer lg.segmentMu.Unlock()
	lg.behindSnapshot = true
	lg.stateMu.Lock()
	lg.snapshotMeta = Snapshot{
		Term:    snp.Term,
		Index:   snp.Index,
		Members: proto.CloneOf(snp.Members),
	}
	lg.stateMu.Unlock()
	if old > 0 {
		_ = os.Remove(lg.path(snapshotPrefix, old))
	}
	return lg.alignIfBehind()
}

// alignIfBehind calls alignToSnapshot if it has not succeeded since the newest snapshot was stored, for instance because
// the disk was full.
func (lg *Log) alignIfBehind() error {
	if !lg.behindSnapshot {
		return nil
	}
	return lg.alignToSnapshot()
}

// alignToSnapshot makes the log continue after the newest snapshot: unless the log holds the snapshot's last entry, it
// removes all entries. Entries that conflict with a snapshot were never committed, and entries before its end are part of
// it.
func (lg *Log) alignToSnapshot() error {
	snp := lg.Snapshot()
	lg.stateMu.Lock()
	if snp.Index < lg.baseIndex {
		lg.stateMu.Unlock()
		return fperror.New(fperror.StorageFailed, "entries between snapshot %d and entry %d of log %s are missing",
			snp.Index, lg.baseIndex+1, lg.dir)
	}
	term, ok := lg.term(snp.Index)
	if ok && term == snp.Term {
		lg.stateMu.Unlock()
		lg.behindSnapshot = false
		return nil
	}
	lg.stateMu.Unlock()
	if err := lg.rotate(snp.Term, snp.Index, true); err != nil {
		return fperror.Wrap(fperror.StorageFailed, err, "continue log %s after its newest snapshot", lg.dir)
	}
	lg.behindSnapshot = false
	lg.stateMu.Lock()
	lg.baseTerm, lg.baseIndex, lg.entries = snp.Term, snp.Index, nil
	lg.stateMu.Unlock()
	return lg.removeSegments(snp.Index)
}

// Snapshot returns the newest snapshot without its data, or the zero value if there is none.
func (lg *Log) Snapshot() Snapshot {
	lg.stateMu.RLock()
	defer lg.stateMu.RUnlock()
	return lg.snapshotMeta
}

// ReadSnapshot reads the newest snapshot with its data from disk. It returns the zero value if there is none. The error
// kind is StorageFailed.
func (lg *Log) ReadSnapshot() (Snapshot, error) {
	lg.snapshotMu.Lock()
	defer lg.snapshotMu.Unlock()
	return lg.loadSnapshot(lg.Snapshot().Index)
}

// loadSnapshot reads the snapshot file with the given index; index 0 means that there is none.
func (lg *Log) loadSnapshot(index uint64) (Snapshot, error) {
	if index == 0 {
		return Snapshot{}, nil
	}
	buf, err := os.ReadFile(lg.path(snapshotPrefix, index))
	if err != nil {
		return Snapshot{}, fperror.Wrap(fperror.StorageFailed, err, "read snapshot %d of log %s", index, lg.dir)
	}
	snp, err := decodeSnapshot(buf)
	if err == nil && snp.Index != index {
		err = fperror.New(fperror.StorageFailed, "the file holds the snapshot of index %d", snp.Index)
	}
	if err != nil {
		return Snapshot{}, fperror.Wrap(fperror.StorageFailed, err, "snapshot %d of log %s", index, lg.dir)
	}
	return snp, nil
}

// decodeSnapshot decodes the content of a snapshot file.
func decodeSnapshot(buf []byte) (Snapshot, error) {
	msg, _, size := decodeFrame(buf)
	req := msg.GetSnapshotRequest()
	if req == nil || size != len(buf) {
		return Snapshot{}, fperror.New(fperror.StorageFailed, "the file is damaged")
	}
	return Snapshot{
		Term:    req.GetLastTerm(),
		Index:   req.GetLastIndex(),
		Members: req.GetMembers(),
		Data:    req.GetData(),
	}, nil
}

// readSnapshot reads the newest snapshot while the log is opened, keeps it without its data, and removes older files.
func (lg *Log) readSnapshot() error {
	numbers, err := lg.listNumbers(snapshotPrefix)
	if err != nil || len(numbers) == 0 {
		return err
	}
	newest := numbers[len(numbers)-1]
	snp, err := lg.loadSnapshot(newest)
	if err != nil {
		return err
	}
	snp.Data = nil
	lg.snapshotMeta = snp
	for _, num := range numbers[:len(numbers)-1] {
		_ = os.Remove(lg.path(snapshotPrefix, num))
	}
	return nil
}
