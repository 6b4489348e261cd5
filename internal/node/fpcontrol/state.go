package fpcontrol

import (
	"os"
	"path/filepath"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

// stateName is the name of the file in which builds up to 98cd587 store the last applied state. This build restores the state from
// the snapshot and the committed entries of the log, and records in the log which entries are committed.
const stateName = "state"

// adoptStateFile records in the log that the entries up to the index of the state file are committed, and removes the file, so that
// an earlier build that is started again can't take an outdated one. The error is of kind StorageFailed.
func (con *Control) adoptStateFile() error {
	path := filepath.Join(con.cfg.DataFolder, stateName)
	buf, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return nil
	}
	last := &fpstate.WatchResponse{}
	if err == nil {
		err = proto.Unmarshal(buf, last)
	}
	index := last.GetIndex()
	switch {
	case err != nil:
		con.cfg.Log.Warn("reading the state file of an earlier build failed", zap.Error(err))
	case index > con.storage.LastIndex():
		con.cfg.Log.Warn("the state file of an earlier build doesn't belong to the log", zap.Uint64("index", index),
			zap.Uint64("last", con.storage.LastIndex()))
	default:
		if err := con.storage.AppendCommitted(nil, con.storage.HardState(), index); err != nil {
			return err
		}
	}
	if err := os.Remove(path); err != nil {
		return fperror.Wrap(fperror.StorageFailed, err, "remove the state file of an earlier build")
	}
	return nil
}
