package fplog

import (
	"crypto/rand"
	"encoding/binary"
	"os"
	"path/filepath"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

const incarnationName = "incarnation"

// readIncarnation sets the incarnation, or leaves it 0 when the folder was never completely created.
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

// create makes a new log. The incarnation is written last: a folder that has one must also have a segment.
func (lg *Log) create() error {
	if err := lg.refuseUsed(); err != nil {
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

// refuseUsed returns an error when a folder without an incarnation holds entries or a snapshot, and removes the remains
// of an interrupted creation otherwise.
func (lg *Log) refuseUsed() error {
	numbers, err := lg.list(segmentPrefix)
	if err != nil {
		return err
	}
	snapshots, err := lg.list(snapshotPrefix)
	if err != nil {
		return err
	}
	if len(numbers) > 1 || len(snapshots) > 0 {
		return fperror.New(fperror.StorageFailed, "the incarnation file is missing")
	}
	for _, num := range numbers {
		path := lg.path(segmentPrefix, num)
		buf, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		if _, _, size := decodeFrame(buf); size != 0 && size < len(buf) {
			return fperror.New(fperror.StorageFailed, "the incarnation file is missing")
		}
		if err := os.Remove(path); err != nil {
			return err
		}
	}
	return nil
}

func randomID() uint64 {
	var buf [8]byte
	for {
		// Read of crypto/rand never returns an error.
		_, _ = rand.Read(buf[:])
		if num := binary.LittleEndian.Uint64(buf[:]); num != 0 {
			return num
		}
	}
}
