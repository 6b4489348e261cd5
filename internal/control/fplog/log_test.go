package fplog

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

// entry returns an entry whose command names its position; the length of the command varies with the index.
func entry(term, index uint64) *fpwire.Entry {
	return &fpwire.Entry{
		Term:    term,
		Index:   index,
		Command: []byte(strings.Repeat("x", int(index%7)) + fmt.Sprintf("command %d.%d", term, index)),
	}
}

func mustOpen(t testing.TB, dir string, cfg Config) *Log {
	t.Helper()
	lg, err := Open(dir, cfg)
	if err != nil {
		t.Fatalf("open: %+v", err)
	}
	t.Cleanup(func() { _ = lg.Close() })
	return lg
}

// state is the content of a log that must survive a crash.
type state struct {
	Hard     HardState
	Snapshot Snapshot
	Last     uint64
	Entries  []string
	Err      error
}

// readState returns the content of a log.
func readState(lg *Log) state {
	sta := state{
		Hard: lg.HardState(),
		Last: lg.LastIndex(),
	}
	sta.Snapshot, sta.Err = lg.ReadSnapshot()
	// Entries up to the snapshot are left out, because the log holds them or not depending on compaction.
	entries, err := lg.Entries(max(lg.FirstIndex(), sta.Snapshot.Index+1), sta.Last+1)
	sta.Err = errors.Join(sta.Err, err)
	for _, ent := range entries {
		sta.Entries = append(sta.Entries, fmt.Sprintf("%d.%d %s", ent.GetTerm(), ent.GetIndex(), ent.GetCommand()))
	}
	return sta
}

// preserves reports whether the content after a crash has the hard state, the snapshot and the entries up to index until
// of the content before, or a later hard state or snapshot.
func (sta state) preserves(before state, until uint64) bool {
	if sta.Err != nil || sta.Hard.Term < before.Hard.Term || sta.Snapshot.Index < before.Snapshot.Index {
		return false
	}
	for index := sta.Snapshot.Index + 1; index <= until; index++ {
		old, current := index-before.Snapshot.Index-1, index-sta.Snapshot.Index-1
		if current >= uint64(len(sta.Entries)) || sta.Entries[current] != before.Entries[old] {
			return false
		}
	}
	return true
}

// step is one random change of a log.
type step struct {
	Kind  string
	Back  int // how many entries before the last one the step starts
	Count int // how many entries it adds
}

func drawSteps(rt *rapid.T) []step {
	return rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) step {
		return step{
			Kind:  rapid.SampledFrom([]string{"append", "append", "vote", "snapshot", "install", "compact"}).Draw(rt, "kind"),
			Back:  rapid.IntRange(0, 8).Draw(rt, "back"),
			Count: rapid.IntRange(1, 9).Draw(rt, "count"),
		}
	}), 1, 30).Draw(rt, "steps")
}

// apply runs one step in the given term, which no other step uses.
func (stp step) apply(lg *Log, term uint64) error {
	snp := lg.Snapshot()
	last := lg.LastIndex()
	hs := HardState{
		Term:            term,
		Vote:            "vm",
		VoteIncarnation: term,
	}
	switch stp.Kind {
	case "append":
		from := max(last-min(last, uint64(stp.Back)), snp.Index) + 1
		var entries []*fpwire.Entry
		for num := range uint64(stp.Count) {
			entries = append(entries, entry(term, from+num))
		}
		return lg.Append(entries, hs)
	case "vote":
		return lg.Append(nil, hs)
	case "snapshot":
		index := max(last-min(last, uint64(stp.Back)), snp.Index)
		at, _ := lg.Term(index)
		return lg.SaveSnapshot(Snapshot{
			Term:  at,
			Index: index,
			Data:  fmt.Appendf(nil, "state %d", index),
		})
	case "install":
		return lg.SaveSnapshot(Snapshot{
			Term:  term,
			Index: max(last, snp.Index) + uint64(stp.Count),
			Data:  fmt.Appendf(nil, "installed %d", term),
		})
	default:
		return lg.Compact(snp.Index - min(snp.Index, uint64(stp.Back)))
	}
}

// TestCrashRecovery guards against a log that loses synced data, or cannot be opened, after a crash at any write or fsync.
// Of the unsynced bytes, any number may be on the disk.
func TestCrashRecovery(t *testing.T) {
	count := 0
	rapid.Check(t, func(rt *rapid.T) {
		steps := drawSteps(rt)
		crashAt := rapid.IntRange(1, 60).Draw(rt, "crashAt")
		torn := rapid.IntRange(0, 400).Draw(rt, "torn")
		count++
		dir := filepath.Join(t.TempDir(), fmt.Sprint(count))
		calls, crashed := 0, false
		var path string
		var unsynced []byte
		lg, err := Open(dir, Config{
			SegmentSize: 300,
			Write: func(fil *os.File, buf []byte) (int, error) {
				calls++
				if calls >= crashAt {
					crashed = true
					return 0, os.ErrClosed
				}
				path, unsynced = fil.Name(), buf
				return fil.Write(buf)
			},
			Sync: func(*os.File) error {
				calls++
				if calls >= crashAt {
					crashed = true
					return os.ErrClosed
				}
				unsynced = nil
				return nil
			},
		})
		var before, after state
		durable := uint64(0)
		created := err == nil
		if created {
			before = readState(lg)
			for pos, stp := range steps {
				durable = before.Last
				if stp.Kind == "append" {
					durable = max(durable-min(durable, uint64(stp.Back)), before.Snapshot.Index)
				}
				err := stp.apply(lg, uint64(pos+1))
				if crashed {
					break
				}
				if err != nil {
					rt.Fatalf("step %d %+v: %+v", pos, stp, err)
				}
				before = readState(lg)
				durable = before.Last
			}
			_ = lg.Close()
			if crashed && strings.HasPrefix(filepath.Base(path), segmentPrefix) && unsynced != nil {
				fil, _ := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_APPEND, 0o600)
				_, _ = fil.Write(unsynced[:min(torn, len(unsynced))])
				_ = fil.Close()
			}
		}
		lg, err = Open(dir, Config{
			SegmentSize: 300,
		})
		if err != nil {
			rt.Fatalf("open after the crash: %+v", err)
		}
		defer func() { _ = lg.Close() }()
		after = readState(lg)
		if created && (!after.preserves(before, durable) || !crashed && after.Last != before.Last) {
			rt.Fatalf("before the crash:\n%+v\nafter:\n%+v", before, after)
		}
		if err := (step{Kind: "append", Count: 3}).apply(lg, 100); err != nil {
			rt.Fatalf("append after the crash: %+v", err)
		}
	})
}

// TestDamagedByte guards against a log that is read past a damaged byte. Damage in the last frame cannot be told from an
// interrupted write, so the frame is removed; with damage anywhere else, Open must fail.
func TestDamagedByte(t *testing.T) {
	dir := t.TempDir()
	lg := mustOpen(t, filepath.Join(dir, "log"), Config{
		SegmentSize: 200,
	})
	var lastFrame int64
	for index := range uint64(12) {
		lastFrame = lg.size
		if err := lg.Append([]*fpwire.Entry{entry(1, index+1)}, HardState{Term: 1}); err != nil {
			t.Fatal(err)
		}
	}
	_ = lg.Close()
	segments, _ := filepath.Glob(filepath.Join(dir, "log", segmentPrefix+"*"))
	truncated, refused := 0, 0
	for pos, path := range segments {
		buf, _ := os.ReadFile(path)
		for off := range buf {
			bad := append([]byte(nil), buf...)
			bad[off] ^= 0x20
			_ = os.WriteFile(path, bad, 0o600)
			inLastFrame := pos == len(segments)-1 && int64(off) >= lastFrame
			got, err := Open(filepath.Join(dir, "log"), Config{})
			switch {
			case inLastFrame && (err != nil || got.LastIndex() != 11):
				t.Fatalf("offset %d of the last frame: %v", off, err)
			case !inLastFrame && err == nil:
				t.Fatalf("%s with a bad byte at %d opens", path, off)
			case err == nil:
				truncated++
				_ = got.Close()
			default:
				refused++
			}
			_ = os.WriteFile(path, buf, 0o600)
		}
	}
	for pos := range segments[:len(segments)-1] {
		if pos == 0 {
			continue // Compaction removes the oldest segments, so that only a snapshot shows that the first one is missing.
		}
		_ = os.Rename(segments[pos], filepath.Join(dir, "aside"))
		if _, err := Open(filepath.Join(dir, "log"), Config{}); err == nil {
			t.Fatalf("the log opens without %s", segments[pos])
		}
		_ = os.Rename(filepath.Join(dir, "aside"), segments[pos])
	}
	if truncated == 0 || refused == 0 {
		t.Fatalf("%d logs truncated, %d refused; want some of each", truncated, refused)
	}
}

// TestFullDisk guards against a half-written frame that stays in the log, and against a log that accepts no writes after
// the disk has space again.
func TestFullDisk(t *testing.T) {
	dir := t.TempDir()
	full := false
	lg := mustOpen(t, dir, Config{
		Write: func(fil *os.File, buf []byte) (int, error) {
			if full {
				num, _ := fil.Write(buf[:len(buf)/2])
				return num, errors.New("no space left")
			}
			return fil.Write(buf)
		},
	})
	firstErr := lg.Append([]*fpwire.Entry{entry(1, 1)}, HardState{Term: 1})
	full = true
	fullErr := lg.Append([]*fpwire.Entry{entry(1, 2)}, HardState{Term: 1})
	if firstErr != nil || !fperror.Is(fullErr, fperror.StorageFailed) || lg.Failure() != nil || lg.LastIndex() != 1 {
		t.Fatalf("append %v, append on a full disk %v, Failure %v, last index %d; want an error of the second append only, and last index 1",
			firstErr, fullErr, lg.Failure(), lg.LastIndex())
	}
	full = false
	if err := lg.Append([]*fpwire.Entry{entry(2, 2)}, HardState{Term: 2}); err != nil {
		t.Fatal(err)
	}
	want := readState(lg)
	_ = lg.Close()
	if got := readState(mustOpen(t, dir, Config{})); !reflect.DeepEqual(got, want) {
		t.Fatalf("got %+v, want %+v", got, want)
	}
}

// TestFailedSync guards against a write after a failed fsync: the kernel may have dropped the unwritten pages, and the next
// fsync succeeds without them.
func TestFailedSync(t *testing.T) {
	dir := t.TempDir()
	broken := false
	lg := mustOpen(t, dir, Config{
		Sync: func(fil *os.File) error {
			if broken {
				broken = false
				return errors.New("input/output error")
			}
			return fil.Sync()
		},
	})
	firstErr := lg.Append([]*fpwire.Entry{entry(1, 1)}, HardState{Term: 1})
	want := readState(lg)
	broken = true
	failedErr := lg.Append([]*fpwire.Entry{entry(1, 2)}, HardState{Term: 1})
	afterErr := lg.Append([]*fpwire.Entry{entry(1, 2)}, HardState{Term: 1})
	if firstErr != nil || failedErr == nil || afterErr == nil || lg.Failure() == nil {
		t.Fatalf("append %v, append with a failed fsync %v, append after it %v, Failure %v; want errors except from the first append",
			firstErr, failedErr, afterErr, lg.Failure())
	}
	_ = lg.Close()
	if got := readState(mustOpen(t, dir, Config{})); !reflect.DeepEqual(got, want) {
		t.Fatalf("got %+v, want %+v", got, want)
	}
}

// TestIncarnation guards against an empty or partly lost folder that is taken for the old one, and against two processes in
// one folder.
func TestIncarnation(t *testing.T) {
	dir := t.TempDir()
	lg := mustOpen(t, dir, Config{})
	if _, err := Open(dir, Config{}); err == nil {
		t.Fatal("a second process opens the folder")
	}
	if err := lg.Append([]*fpwire.Entry{entry(1, 1)}, HardState{Term: 1}); err != nil {
		t.Fatal(err)
	}
	old := lg.Incarnation()
	_ = lg.Close()
	lg = mustOpen(t, dir, Config{})
	if lg.Incarnation() != old || old == 0 {
		t.Fatalf("incarnation %x became %x", old, lg.Incarnation())
	}
	_ = lg.Close()
	_ = os.Remove(filepath.Join(dir, incarnationName))
	if _, err := Open(dir, Config{}); err == nil {
		t.Fatal("a folder with entries but without an incarnation opens")
	}
	if lg := mustOpen(t, t.TempDir(), Config{}); lg.Incarnation() == old {
		t.Fatal("a new folder has the old incarnation")
	}
}

// TestRepeatedFrame guards against a frame that is in the file twice and restores an older hard state.
func TestRepeatedFrame(t *testing.T) {
	dir := t.TempDir()
	lg := mustOpen(t, dir, Config{})
	start := lg.size
	_ = lg.Append(nil, HardState{Term: 1})
	end := lg.size
	_ = lg.Append(nil, HardState{Term: 2})
	path := lg.path(segmentPrefix, 1)
	_ = lg.Close()
	buf, _ := os.ReadFile(path)
	_ = os.WriteFile(path, append(buf, buf[start:end]...), 0o600)
	if lg, err := Open(dir, Config{}); err == nil {
		t.Fatalf("the log opens with the hard state %+v", lg.HardState())
	}
}

// TestInstalledSnapshot guards against entries that conflict with a snapshot and stay in the log, also when the disk is full
// while the log should continue after the snapshot.
func TestInstalledSnapshot(t *testing.T) {
	dir := t.TempDir()
	var synced []string
	lg := mustOpen(t, dir, Config{
		Sync: func(fil *os.File) error {
			synced = append(synced, filepath.Base(fil.Name()))
			return fil.Sync()
		},
	})
	_ = lg.Append([]*fpwire.Entry{entry(1, 1), entry(1, 2), entry(1, 3)}, HardState{Term: 1})
	synced = nil
	full := true
	lg.cfg.Write = func(fil *os.File, buf []byte) (int, error) {
		if full && strings.HasPrefix(filepath.Base(fil.Name()), segmentPrefix) {
			return 0, errors.New("no space left")
		}
		return fil.Write(buf)
	}
	snp := Snapshot{Term: 2, Index: 2, Data: []byte("state")}
	firstErr := lg.SaveSnapshot(snp)
	appendErr := lg.Append([]*fpwire.Entry{entry(2, 4)}, HardState{Term: 2})
	full = false
	if retryErr := lg.SaveSnapshot(snp); firstErr == nil || appendErr == nil || retryErr != nil {
		t.Fatalf("snapshot and append on a full disk, snapshot after it: %v, %v, %v; want two errors and nil", firstErr, appendErr, retryErr)
	}
	if name := filepath.Base(lg.path(snapshotPrefix, 2)) + ".tmp"; len(synced) == 0 || synced[0] != name {
		t.Fatalf("%s was not synced before it was renamed; synced: %v", name, synced)
	}
	if lg.LastIndex() != 2 || lg.FirstIndex() != 3 {
		t.Fatalf("the log holds %d to %d", lg.FirstIndex(), lg.LastIndex())
	}
	_ = lg.Close()
	if lg := mustOpen(t, dir, Config{}); lg.LastIndex() != 2 || lg.Snapshot().Term != 2 {
		t.Fatalf("the log ends at %d after %+v", lg.LastIndex(), lg.Snapshot())
	}
}

// FuzzSegment guards against a panic, or inconsistent entries, on any content of a segment.
func FuzzSegment(f *testing.F) {
	lg, err := Open(filepath.Join(f.TempDir(), "log"), Config{})
	if err != nil {
		f.Fatal(err)
	}
	_ = lg.Append([]*fpwire.Entry{entry(1, 1), entry(1, 2)}, HardState{Term: 1})
	_ = lg.Append([]*fpwire.Entry{entry(2, 2)}, HardState{Term: 2, Vote: "vm"})
	buf, _ := os.ReadFile(lg.path(segmentPrefix, 1))
	f.Add(buf)
	f.Add(buf[:len(buf)-1])
	dir := f.TempDir()
	f.Fuzz(func(t *testing.T, buf []byte) {
		lg := &Log{
			dir: dir,
		}
		path := lg.path(segmentPrefix, 1)
		if err := os.WriteFile(path, buf, 0o600); err != nil {
			t.Fatal(err)
		}
		if err := lg.readSegment(1, true); err == nil && len(lg.segments) > 0 {
			if err := checkEntries(lg.entries); err != nil {
				t.Fatal(err)
			}
		}
	})
}

// FuzzSnapshot guards against a panic on any content of a snapshot file.
func FuzzSnapshot(f *testing.F) {
	buf, _ := appendFrame(nil, 1, headerMessage(HardState{Term: 1}, 3, 4, true))
	f.Add(buf)
	f.Fuzz(func(t *testing.T, buf []byte) {
		if snp, err := decodeSnapshot(buf); err == nil && len(buf) < frameHeader {
			t.Fatalf("%d bytes decode to %+v", len(buf), snp)
		}
		hasLaterFrame(buf, 0)
	})
}

// TestRemovedSegmentsAfterPowerLoss guards against a log that can't be opened after a power loss: of the files that were removed since the
// last sync of the folder, any may come back.
func TestRemovedSegmentsAfterPowerLoss(t *testing.T) {
	dir := t.TempDir()
	synced := map[string][]byte{} // segments in the folder at its last sync
	segments := func() map[string][]byte {
		all := map[string][]byte{}
		paths, err := filepath.Glob(filepath.Join(dir, segmentPrefix+"*"))
		if err != nil {
			t.Fatal(err)
		}
		for _, path := range paths {
			buf, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			all[path] = buf
		}
		return all
	}
	lg := mustOpen(t, dir, Config{
		SegmentSize: 1,
		Sync: func(fil *os.File) error {
			if sta, err := fil.Stat(); err == nil && sta.IsDir() {
				now, removed := segments(), 0
				for path := range synced {
					if now[path] == nil {
						removed++
					}
				}
				if removed > 1 {
					t.Errorf("%d segments were removed between two syncs of the folder", removed)
				}
				synced = now
			}
			return fil.Sync()
		},
	})
	const last = 5
	for index := uint64(1); index <= last; index++ {
		if err := lg.Append([]*fpwire.Entry{entry(1, index)}, HardState{Term: 1}); err != nil {
			t.Fatal(err)
		}
	}
	if err := lg.SaveSnapshot(Snapshot{
		Term:  1,
		Index: last - 1,
	}); err != nil {
		t.Fatal(err)
	}
	if err := lg.Compact(last - 1); err != nil {
		t.Fatal(err)
	}
	_ = lg.Close()
	left := segments()
	if len(left) > 2 {
		t.Fatalf("%d segments are left, want most of them removed", len(left))
	}
	for path, buf := range synced {
		if left[path] != nil {
			continue
		}
		if err := os.WriteFile(path, buf, 0o600); err != nil {
			t.Fatal(err)
		}
		back, err := Open(dir, Config{})
		if err != nil {
			t.Fatalf("after %s came back: %v", filepath.Base(path), err)
		}
		_ = back.Close()
		if err := os.Remove(path); err != nil && !os.IsNotExist(err) {
			t.Fatal(err)
		}
	}
}

// TestCommitIsKept guards against a commit index that is lost or goes back: with later writes that don't name it, after the log was
// opened again, and after segments were removed.
func TestCommitIsKept(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "log")
	small := Config{
		SegmentSize: 100,
	}
	lg, err := Open(dir, small)
	if err != nil {
		t.Fatal(err)
	}
	for index := range uint64(20) {
		if err := lg.AppendCommitted([]*fpwire.Entry{entry(1, index+1)}, HardState{Term: 1}, index); err != nil {
			t.Fatal(err)
		}
	}
	if err := lg.AppendCommitted(nil, HardState{Term: 2}, 3); err != nil {
		t.Fatal(err)
	}
	if err := lg.Append(nil, HardState{Term: 3}); err != nil {
		t.Fatal(err)
	}
	err = lg.SaveSnapshot(Snapshot{
		Term:  1,
		Index: 10,
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := lg.Compact(10); err != nil {
		t.Fatal(err)
	}
	before := lg.Commit()
	if err := lg.Close(); err != nil {
		t.Fatal(err)
	}
	lg, err = Open(dir, small)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = lg.Close() }()
	if before != 19 || lg.Commit() != 19 {
		t.Errorf("got commit index %d, and %d after the log was opened again, want 19", before, lg.Commit())
	}
}

// TestCreatedFoldersAreDurable guards against a log that is gone after a power loss because a folder above it was created without a sync
// of the parent.
func TestCreatedFoldersAreDurable(t *testing.T) {
	root := t.TempDir()
	durable := map[string]bool{}
	lg := mustOpen(t, filepath.Join(root, "site", "data", "group"), Config{
		Sync: func(fil *os.File) error {
			entries, _ := os.ReadDir(fil.Name())
			for _, ent := range entries {
				durable[filepath.Join(fil.Name(), ent.Name())] = true
			}
			return fil.Sync()
		},
	})
	for path := lg.dir; path != root; path = filepath.Dir(path) {
		if !durable[path] {
			t.Errorf("the entry of %s was not synced", path)
		}
	}
}
