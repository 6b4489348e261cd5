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
	Term    uint64
	Index   uint64
	Members *fpwire.Membership
	// Data is the state machine's snapshot. Log.Snapshot leaves it nil.
	Data []byte
}

// SaveSnapshot stores a snapshot and returns once it is durable. A snapshot that is not newer than the stored one is
// ignored. If the log does not hold the snapshot's last entry, the log restarts empty after the snapshot.
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
	lg.saving.Lock()
	defer lg.saving.Unlock()
	if err := lg.Failure(); err != nil {
		return err
	}
	old := lg.Snapshot().Index
	if snp.Index <= old {
		lg.files.Lock()
		defer lg.files.Unlock()
		return lg.finishJoin()
	}
	if err := lg.writeFile(filepath.Base(lg.path(snapshotPrefix, snp.Index)), buf); err != nil {
		return fperror.Wrap(fperror.StorageFailed, err, "save snapshot of log %s", lg.dir)
	}
	lg.files.Lock()
	defer lg.files.Unlock()
	lg.unjoined = true
	lg.memory.Lock()
	lg.snapshotMeta = Snapshot{
		Term:    snp.Term,
		Index:   snp.Index,
		Members: proto.CloneOf(snp.Members),
	}
	lg.memory.Unlock()
	if old > 0 {
		_ = os.Remove(lg.path(snapshotPrefix, old))
	}
	return lg.finishJoin()
}

// finishJoin joins the log to a snapshot that was stored while the disk had no room for the new segment.
func (lg *Log) finishJoin() error {
	if !lg.unjoined {
		return nil
	}
	return lg.joinSnapshot()
}

// joinSnapshot restarts the log after the newest snapshot unless it holds the snapshot's last entry. Entries that
// conflict with a snapshot, or end before it, were never acknowledged or are covered by it.
func (lg *Log) joinSnapshot() error {
	snp := lg.Snapshot()
	lg.memory.Lock()
	if snp.Index < lg.baseIndex {
		lg.memory.Unlock()
		return fperror.New(fperror.StorageFailed, "entries between snapshot %d and entry %d of log %s are missing",
			snp.Index, lg.baseIndex+1, lg.dir)
	}
	term, ok := lg.term(snp.Index)
	if ok && term == snp.Term {
		lg.memory.Unlock()
		lg.unjoined = false
		return nil
	}
	lg.memory.Unlock()
	if err := lg.rotate(snp.Term, snp.Index, true); err != nil {
		return fperror.Wrap(fperror.StorageFailed, err, "restart log %s after a snapshot", lg.dir)
	}
	lg.unjoined = false
	lg.memory.Lock()
	lg.baseTerm, lg.baseIndex, lg.entries = snp.Term, snp.Index, nil
	lg.memory.Unlock()
	return lg.removeSegments(snp.Index)
}

// Snapshot returns the newest snapshot without its data, or the zero value.
func (lg *Log) Snapshot() Snapshot {
	lg.memory.RLock()
	defer lg.memory.RUnlock()
	return lg.snapshotMeta
}

// ReadSnapshot reads the newest snapshot with its data from disk, or returns the zero value when there is none.
func (lg *Log) ReadSnapshot() (Snapshot, error) {
	lg.saving.Lock()
	defer lg.saving.Unlock()
	return lg.loadSnapshot(lg.Snapshot().Index)
}

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
		err = fperror.New(fperror.StorageFailed, "its index is %d", snp.Index)
	}
	if err != nil {
		return Snapshot{}, fperror.Wrap(fperror.StorageFailed, err, "snapshot %d of log %s", index, lg.dir)
	}
	return snp, nil
}

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

// readSnapshot finds the newest snapshot when the log is opened and removes older ones.
func (lg *Log) readSnapshot() error {
	numbers, err := lg.list(snapshotPrefix)
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
