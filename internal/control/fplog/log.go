// Package fplog stores the replicated log of one group on disk: entries and hard state in segments, snapshots, and the
// incarnation of the data folder.
//
// A folder holds these files:
//
//   - incarnation: the random id of the folder, written last when the folder is created;
//   - segment-N: frames in the order in which they were written. The first frame names the position after which the
//     segment starts and repeats the hard state, so that older segments can be deleted. Each further frame is one batch;
//   - snapshot-N: one frame with the newest snapshot;
//   - lock: keeps a second process out.
//
// One batch is one frame and one fsync. The next frame is written only after the fsync of the one before, hence a bad
// frame without a valid frame after it is a torn tail, which Open truncates. A bad frame anywhere else is damage, for
// which Open returns an error.
//
// A failed write (for instance on a full disk) is undone by truncation and may be tried again. After a failed fsync the
// log refuses all further writes until it is opened again, because the kernel may have dropped the unwritten pages.
package fplog

import (
	"os"
	"path/filepath"
	"sync"
	"syscall"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

// DefaultSegmentSize is the size in bytes at which a new segment starts.
const DefaultSegmentSize = 4 << 20

// Config holds the settings of a Log. The zero value is useful.
type Config struct {
	// SegmentSize is the size in bytes at which a new segment starts; 0 means DefaultSegmentSize.
	SegmentSize int64
	// Write replaces the writing of a file in tests; nil means (*os.File).Write.
	Write func(fil *os.File, buf []byte) (int, error)
	// Sync replaces the syncing of a file or folder in tests; nil means (*os.File).Sync.
	Sync func(fil *os.File) error
}

// HardState is the state that a voter must not forget.
type HardState struct {
	// Term is the highest term seen.
	Term uint64
	// Vote is the VM that got this voter's vote in Term, or empty.
	Vote string
	// VoteIncarnation is the incarnation of that VM.
	VoteIncarnation uint64
}

// Log is the log of one group on disk. Its methods may be called from several goroutines.
type Log struct {
	cfg  Config
	dir  string
	lock *os.File

	// saving serialises the writing and reading of snapshots, which must not hold up Append. It is taken before files.
	saving fileLock

	// files serialises changes of the segments. It is taken before memory.
	files    fileLock
	segments []segment
	active   *os.File
	size     int64
	seq      uint64
	// unjoined states that the log may lack the last entry of the newest snapshot, and must not be extended.
	unjoined bool

	// memory guards the fields below.
	memory       sync.RWMutex
	incarnation  uint64
	hard         HardState
	baseTerm     uint64
	baseIndex    uint64
	entries      []*fpwire.Entry
	snapshotMeta Snapshot
	failure      error
}

// fileLock is a lock that is held during input and output. It is a channel, because testing/synctest advances its clock
// while goroutines wait for a channel, but not while they wait for a sync.Mutex.
type fileLock chan struct{}

// Lock waits for the lock.
func (flo fileLock) Lock() { flo <- struct{}{} }

// Unlock frees the lock.
func (flo fileLock) Unlock() { <-flo }

// Open opens the log in dir, and creates it when dir is empty or missing. The error kind is StorageFailed.
func Open(dir string, cfg Config) (*Log, error) {
	if cfg.SegmentSize <= 0 {
		cfg.SegmentSize = DefaultSegmentSize
	}
	if cfg.Write == nil {
		cfg.Write = (*os.File).Write
	}
	if cfg.Sync == nil {
		cfg.Sync = (*os.File).Sync
	}
	lg := &Log{
		cfg:    cfg,
		dir:    dir,
		saving: make(fileLock, 1),
		files:  make(fileLock, 1),
	}
	if err := lg.open(); err != nil {
		_ = lg.Close()
		return nil, fperror.Wrap(fperror.StorageFailed, err, "open log %s", dir)
	}
	return lg, nil
}

func (lg *Log) open() error {
	if err := os.MkdirAll(lg.dir, 0o700); err != nil {
		return err
	}
	if err := lg.syncDir(filepath.Dir(lg.dir)); err != nil {
		return err
	}
	if err := lg.takeLock(); err != nil {
		return err
	}
	if err := lg.readIncarnation(); err != nil {
		return err
	}
	if lg.incarnation == 0 {
		return lg.create()
	}
	return lg.recover()
}

// takeLock fails when another process, or another Log of this process, has the folder open.
func (lg *Log) takeLock() error {
	fil, err := os.OpenFile(filepath.Join(lg.dir, "lock"), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return err
	}
	lg.lock = fil
	return syscall.Flock(int(fil.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
}

// Close releases the files. It does not sync, because Append has synced all that it accepted.
func (lg *Log) Close() error {
	lg.files.Lock()
	defer lg.files.Unlock()
	if lg.active != nil {
		_ = lg.active.Close()
		lg.active = nil
	}
	lg.memory.Lock()
	if lg.failure == nil {
		lg.failure = fperror.New(fperror.StorageFailed, "log %s is closed", lg.dir)
	}
	lg.memory.Unlock()
	if lg.lock == nil {
		return nil
	}
	err := lg.lock.Close()
	lg.lock = nil
	return err
}

// Incarnation returns the random id of the data folder. It is never 0.
func (lg *Log) Incarnation() uint64 { return lg.incarnation }

// HardState returns the hard state of the last successful Append.
func (lg *Log) HardState() HardState {
	lg.memory.RLock()
	defer lg.memory.RUnlock()
	return lg.hard
}

// Failure returns the error that makes every further write fail until the log is opened again, or nil.
func (lg *Log) Failure() error {
	lg.memory.RLock()
	defer lg.memory.RUnlock()
	return lg.failure
}

// FirstIndex returns the index of the first entry that the log still holds, or LastIndex plus 1 when it holds none.
func (lg *Log) FirstIndex() uint64 {
	lg.memory.RLock()
	defer lg.memory.RUnlock()
	return lg.baseIndex + 1
}

// LastIndex returns the index of the last entry.
func (lg *Log) LastIndex() uint64 {
	lg.memory.RLock()
	defer lg.memory.RUnlock()
	return lg.lastIndex()
}

func (lg *Log) lastIndex() uint64 { return lg.baseIndex + uint64(len(lg.entries)) }

// Term returns the term of the entry with the given index, which may be that just before FirstIndex.
func (lg *Log) Term(index uint64) (uint64, bool) {
	lg.memory.RLock()
	defer lg.memory.RUnlock()
	return lg.term(index)
}

func (lg *Log) term(index uint64) (uint64, bool) {
	switch {
	case index == lg.baseIndex:
		return lg.baseTerm, true
	case index < lg.baseIndex || index > lg.lastIndex():
		return 0, false
	default:
		return lg.entries[index-lg.baseIndex-1].GetTerm(), true
	}
}

// Entries returns the entries from lo up to, but without, hi. The entries are shared and must not be changed.
func (lg *Log) Entries(lo, hi uint64) ([]*fpwire.Entry, error) {
	lg.memory.RLock()
	defer lg.memory.RUnlock()
	if lo <= lg.baseIndex || hi > lg.lastIndex()+1 || lo > hi {
		return nil, fperror.New(fperror.Internal, "entries %d to %d are outside the log's %d to %d",
			lo, hi, lg.baseIndex+1, lg.lastIndex()+1)
	}
	part := lg.entries[lo-lg.baseIndex-1 : hi-lg.baseIndex-1]
	return append([]*fpwire.Entry(nil), part...), nil
}

// fail makes every further write fail with the given cause.
func (lg *Log) fail(cause error, what string) error {
	err := fperror.Wrap(fperror.StorageFailed, cause, "%s of log %s", what, lg.dir)
	lg.memory.Lock()
	lg.failure = err
	lg.memory.Unlock()
	return err
}

func (lg *Log) syncDir(dir string) error {
	fil, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer func() { _ = fil.Close() }()
	return lg.cfg.Sync(fil)
}

// writeFile replaces the file with the given name in one step: after a crash it has either the old or the new content.
func (lg *Log) writeFile(name string, content []byte) error {
	path := filepath.Join(lg.dir, name)
	fil, err := os.OpenFile(path+".tmp", os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	_, err = lg.cfg.Write(fil, content)
	if err == nil {
		err = lg.cfg.Sync(fil)
	}
	if closed := fil.Close(); err == nil {
		err = closed
	}
	if err == nil {
		err = os.Rename(path+".tmp", path)
	}
	if err != nil {
		_ = os.Remove(path + ".tmp")
		return err
	}
	return lg.syncDir(lg.dir)
}
