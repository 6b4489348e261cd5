package fpcontrol

import (
	"context"
	"os"
	"path/filepath"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

// stateName is the name of the file with the last applied state in the data folder. After a restart of all VMs, it lets entry
// VMs serve requests while the group elects a leader. It contains only committed entries, so entry VMs can continue from its
// position. Reads of the configuration and all changes wait for the leader.
const stateName = "state"

// saveInterval is the minimum time between two writes of the state.
const saveInterval = 400 * time.Millisecond

// persistState stores the applied state after each change, until ctx ends. A failed write is retried after the next change.
func (con *Control) persistState(ctx context.Context) {
	saved := uint64(0)
	for ctx.Err() == nil {
		changed := con.directory.Changed()
		if index := con.directory.Index(); index > saved {
			if err := con.saveState(); err != nil {
				con.cfg.Log.Warn("storing the state failed", zap.Error(err))
			} else {
				saved = index
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
		sleep(ctx, saveInterval)
	}
}

// saveState replaces the state file atomically: after a power loss, the file holds the old or the new state.
func (con *Control) saveState() error {
	buf, err := con.directory.Snapshot()
	if err != nil {
		return err
	}
	path := filepath.Join(con.cfg.DataFolder, stateName)
	if err := writeSynced(path+".new", buf); err != nil {
		return fperror.Wrap(fperror.StorageFailed, err, "write the state file")
	}
	if err := os.Rename(path+".new", path); err != nil {
		return fperror.Wrap(fperror.StorageFailed, err, "replace the state file")
	}
	return syncFolder(con.cfg.DataFolder)
}

// writeSynced writes a file and syncs it to disk.
func writeSynced(path string, buf []byte) error {
	fil, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	if _, err := fil.Write(buf); err != nil {
		_ = fil.Close()
		return err
	}
	if err := fil.Sync(); err != nil {
		_ = fil.Close()
		return err
	}
	return fil.Close()
}

// syncFolder syncs a folder to disk, with the renames in it.
func syncFolder(path string) error {
	dir, err := os.Open(path)
	if err != nil {
		return err
	}
	if err := dir.Sync(); err != nil {
		_ = dir.Close()
		return err
	}
	return dir.Close()
}

// loadState returns the state that was stored last, or nil if there is none. A file that cannot be read is logged and ignored,
// because the group has the state, too.
func (con *Control) loadState() *fpstate.WatchResponse {
	buf, err := os.ReadFile(filepath.Join(con.cfg.DataFolder, stateName))
	if os.IsNotExist(err) {
		return nil
	}
	last := &fpstate.WatchResponse{}
	if err == nil {
		err = proto.Unmarshal(buf, last)
	}
	if err != nil {
		con.cfg.Log.Warn("reading the stored state failed", zap.Error(err))
		return nil
	}
	return last
}

// storedState returns the response to a Watch call from the state that was stored before the start. It returns nil if there
// is none, if the caller knows that state, or once the group has applied a configuration.
func (con *Control) storedState(after uint64) *fpstate.WatchResponse {
	if con.initialState == nil || after >= con.initialState.GetIndex() || con.directory.Configuration() != nil {
		return nil
	}
	return con.watchResponse(proto.CloneOf(con.initialState.GetState()), con.initialState.GetIndex(), true)
}
