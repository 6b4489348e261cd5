// Package fplog stores the replicated log of one group on disk: entries and hard state in segments, snapshots, and the
// incarnation of the data folder.
//
// A folder holds these files:
//
//   - incarnation: the random id of the folder, written last when the folder is created;
//   - segment-N: frames in the order in which they were written; N numbers the segments. The first frame holds the position
//     after which the segment starts, and repeats the hard state, so that older segments can be deleted. Each further frame
//     is one batch, with the commit index;
//   - snapshot-N: one frame with the newest snapshot; N is its index;
//   - lock: locked while the log is open, so that no second process opens the folder.
//
// One batch is one frame and one fsync. The next frame is written only after the fsync of the previous one. An invalid
// frame without a valid frame after it is therefore the torn end of an interrupted write, which Open truncates. For an
// invalid frame anywhere else Open returns an error, because synced data is damaged.
//
// A failed write (for instance on a full disk) is undone by truncation and may be attempted again. After a failed fsync the
// log accepts no writes until it is opened again, because the kernel may have dropped the pages that were not written.
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
	// SegmentSize is the size in bytes at which a new segment starts; 0 or less means DefaultSegmentSize.
	SegmentSize int64
	// Write writes to a file. Tests replace it; nil means (*os.File).Write.
	Write func(fil *os.File, buf []byte) (int, error)
	// Sync syncs a file or folder to disk. Tests replace it; nil means (*os.File).Sync.
	Sync func(fil *os.File) error
}

// HardState is the state of a voter that must survive a restart. The zero value is that of a new voter.
type HardState struct {
	// Term is the highest term seen.
	Term uint64
	// Vote is the VM for which this voter voted in Term, or empty if it has not voted.
	Vote string
	// VoteIncarnation is the incarnation of that VM, or 0.
	VoteIncarnation uint64
}

// Log is the log of one group on disk. Its methods are safe for concurrent use.
type Log struct {
	cfg      Config
	dir      string
	lockFile *os.File

	// snapshotMu serialises the writing and reading of snapshot files, so that neither delays Append. It is locked before
	// segmentMu.
	snapshotMu ioMutex

	// segmentMu guards the segments and the fields up to behindSnapshot. It is locked before stateMu.
	segmentMu ioMutex
	segments  []segment // oldest first
	active    *os.File  // the last segment; nil when the log is closed
	size      int64     // bytes in the last segment
	seq       uint64    // sequence number of the last frame
	// behindSnapshot states that the log may lack the last entry of the newest snapshot. Until alignToSnapshot has
	// succeeded, no entries may be appended.
	behindSnapshot bool

	// stateMu guards the fields below. incarnation does not change after Open.
	stateMu     sync.RWMutex
	incarnation uint64
	hard        HardState
	// commit is the highest index that was recorded as committed.
	commit uint64
	// baseTerm and baseIndex are the position of the last entry before entries.
	baseTerm  uint64
	baseIndex uint64
	entries   []*fpwire.Entry
	// snapshotMeta is the newest snapshot without its data.
	snapshotMeta Snapshot
	// failure is the error that forbids further writes, or nil.
	failure error
}

// ioMutex is a mutual exclusion lock that is held during input and output. It is a channel, because testing/synctest
// advances its clock while goroutines wait for a channel, but not while they wait for a sync.Mutex.
type ioMutex chan struct{}

// Lock locks the mutex; it blocks until the mutex is available.
func (iom ioMutex) Lock() { iom <- struct{}{} }

// Unlock unlocks the mutex.
func (iom ioMutex) Unlock() { <-iom }

// Open opens the log in dir, and creates it if dir is empty or missing. The error kind is StorageFailed.
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
		cfg:        cfg,
		dir:        dir,
		snapshotMu: make(ioMutex, 1),
		segmentMu:  make(ioMutex, 1),
	}
	if err := lg.open(); err != nil {
		_ = lg.Close()
		return nil, fperror.Wrap(fperror.StorageFailed, err, "open log %s", dir)
	}
	return lg, nil
}

func (lg *Log) open() error {
	if err := lg.makeDir(lg.dir); err != nil {
		return err
	}
	if err := lg.lockDir(); err != nil {
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

// lockDir locks the folder. It returns an error if another process, or another Log of this process, has it open.
func (lg *Log) lockDir() error {
	fil, err := os.OpenFile(filepath.Join(lg.dir, "lock"), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return err
	}
	lg.lockFile = fil
	return syscall.Flock(int(fil.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
}

// Close closes the files and unlocks the folder. It does not sync, because Append has already synced everything that it
// accepted. Writes to a closed log fail.
func (lg *Log) Close() error {
	lg.segmentMu.Lock()
	defer lg.segmentMu.Unlock()
	if lg.active != nil {
		_ = lg.active.Close()
		lg.active = nil
	}
	lg.stateMu.Lock()
	if lg.failure == nil {
		lg.failure = fperror.New(fperror.StorageFailed, "log %s is closed", lg.dir)
	}
	lg.stateMu.Unlock()
	if lg.lockFile == nil {
		return nil
	}
	err := lg.lockFile.Close()
	lg.lockFile = nil
	return err
}

// Incarnation returns the random id of the data folder. It is never 0.
func (lg *Log) Incarnation() uint64 { return lg.incarnation }

// HardState returns the hard state of the last successful Append, or the zero value in a new log.
func (lg *Log) HardState() HardState {
	lg.stateMu.RLock()
	defer lg.stateMu.RUnlock()
	return lg.hard
}

// Commit returns the highest index up to which entries are recorded as committed, or 0. The log or its newest snapshot holds them.
func (lg *Log) Commit() uint64 {
	lg.stateMu.RLock()
	defer lg.stateMu.RUnlock()
	return lg.commit
}

// Failure returns the error that makes every further write fail until the log is opened again, or nil if there is none.
func (lg *Log) Failure() error {
	lg.stateMu.RLock()
	defer lg.stateMu.RUnlock()
	return lg.failure
}

// FirstIndex returns the index of the first entry that the log still holds, or LastIndex plus 1 when it holds none.
func (lg *Log) FirstIndex() uint64 {
	lg.stateMu.RLock()
	defer lg.stateMu.RUnlock()
	return lg.baseIndex + 1
}

// LastIndex returns the index of the last entry, also if that entry is only in a snapshot; 0 in a new log.
func (lg *Log) LastIndex() uint64 {
	lg.stateMu.RLock()
	defer lg.stateMu.RUnlock()
	return lg.lastIndex()
}

func (lg *Log) lastIndex() uint64 { return lg.baseIndex + uint64(len(lg.entries)) }

// Term returns the term of the entry with the given index, from the entry just before FirstIndex to LastIndex. It returns
// false for any other index.
func (lg *Log) Term(index uint64) (uint64, bool) {
	lg.stateMu.RLock()
	defer lg.stateMu.RUnlock()
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

// Entries returns the entries from index lo up to, but not including, hi. The slice is a copy; the entries are shared and
// must not be changed. The error kind is Internal, for indexes that the log does not hold.
func (lg *Log) Entries(lo, hi uint64) ([]*fpwire.Entry, error) {
	lg.stateMu.RLock()
	defer lg.stateMu.RUnlock()
	if lo <= lg.baseIndex || hi > lg.lastIndex()+1 || lo > hi {
		return nil, fperror.New(fperror.Internal, "entries [%d, %d) are not in the log, which holds [%d, %d)",
			lo, hi, lg.baseIndex+1, lg.lastIndex()+1)
	}
	entries := lg.entries[lo-lg.baseIndex-1 : hi-lg.baseIndex-1]
	return append([]*fpwire.Entry(nil), entries...), nil
}

// fail makes every further write fail. The error says that the operation failed with the given cause.
func (lg *Log) fail(cause error, operation string) error {
	err := fperror.Wrap(fperror.StorageFailed, cause, "%s of log %s", operation, lg.dir)
	lg.stateMu.Lock()
	lg.failure = err
	lg.stateMu.Unlock()
	return err
}

// makeDir creates a folder and its missing parents unless it exists, and returns once the entry of each of them in its parent is
// durable.
func (lg *Log) makeDir(dir string) error {
	parent := filepath.Dir(dir)
	err := os.Mkdir(dir, 0o700)
	if os.IsNotExist(err) {
		if err := lg.makeDir(parent); err != nil {
			return err
		}
		err = os.Mkdir(dir, 0o700)
	}
	if err != nil && !os.IsExist(err) {
		return err
	}
	return lg.syncDir(parent)
}

// syncDir syncs a folder, which makes the creation, renaming and removal of files in it durable.
func (lg *Log) syncDir(dir string) error {
	fil, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer func() { _ = fil.Close() }()
	return lg.cfg.Sync(fil)
}

// writeFile replaces the content of a file atomically: after a crash it has either the old or the new content.
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
	if closeErr := fil.Close(); err == nil {
		err = closeErr
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
