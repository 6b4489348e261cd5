package fplog

import (
	"crypto/rand"
	"encoding/binary"
	"os"
	"path/filepath"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

// incarnationName is the name of the file that holds the incarnation of the folder.
const incarnationName = "incarnation"

// readIncarnation reads the incarnation of the folder. It stays 0 if the file is missing, which means that the creation of
// the log was not completed.
func (lg *Log) readIncarnation() error {
	buf, err := os.ReadFile(filepath.Join(lg.dir, incarnationName))
	if os.IsNotExist(err) {
		return nil
	}
	if err != nil {
		return err
	}
	msg, _, size := decodeFrame(buf)
	if msg == nil || size != len(buf) || msg.GetFromIncarnation() == 0 {
		return fperror.New(fperror.StorageFailed, "the incarnation file is damaged")
	}
	lg.incarnation = msg.GetFromIncarnation()
	return nil
}

// create creates a new log with one segment. It writes the incarnation last, so that a folder with an incarnation always
// has a segment.
func (lg *Log) create() error {
	if err := lg.removePartialCreation(); err != nil {
		return err
	}
	if err := lg.rotate(0, 0, false); err != nil {
		return err
	}
	inc := randomID()
	buf, err := appendFrame(nil, 1, &fpwire.GroupMessage{
		FromIncarnation: inc,
	})
	if err != nil {
		return err
	}
	if err := lg.writeFile(incarnationName, buf); err != nil {
		return err
	}
	lg.incarnation = inc
	return nil
}

// removePartialCreation removes the empty segment that an interrupted creation left in a folder without an incarnation. If
// the folder holds entries or a snapshot, it returns an error instead, because the incarnation file was lost.
func (lg *Log) removePartialCreation() error {
	numbers, err := lg.listNumbers(segmentPrefix)
	if err != nil {
		return err
	}
	snapshots, err := lg.listNumbers(snapshotPrefix)
	if err != nil {
		return err
	}
	if len(numbers) > 1 || len(snapshots) > 0 {
		return fperror.New(fperror.StorageFailed, "the folder holds a log, but its incarnation file is missing")
	}
	for _, num := range numbers {
		path := lg.path(segmentPrefix, num)
		buf, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		if _, _, size := decodeFrame(buf); size != 0 && size < len(buf) {
			return fperror.New(fperror.StorageFailed, "the folder holds a log, but its incarnation file is missing")
		}
		if err := os.Remove(path); err != nil {
			return err
		}
	}
	return nil
}

// randomID returns a random number that is not 0.
func randomID() uint64 {
	var buf [8]byte
	for {
		// crypto/rand.Read never returns an error.
		_, _ = rand.Read(buf[:])
		if num := binary.LittleEndian.Uint64(buf[:]); num != 0 {
			return num
		}
	}
}
