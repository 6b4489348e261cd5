package fpnode

import (
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"

	"google.golang.org/protobuf/encoding/protojson"

	"github.com/foxtailpulley/foxtailpulley/api/operator/fpoperator"
	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/config/fpschema"
	"github.com/foxtailpulley/foxtailpulley/internal/control/fpgrant"
)

// inForce is a configuration with its version and its compiled schema.
type inForce struct {
	version       fpgrant.Position
	configuration *fpoperator.Configuration
	schema        *fpschema.Schema
	keyed         map[string]bool
}

// store holds the configuration in force on this VM. It never moves to an older version, and a VM with a disk keeps the
// newest version across restarts.
type store struct {
	path    string
	current atomic.Pointer[inForce]
	mutex   sync.Mutex // serializes put
}

// openStore reads the configuration that the VM had when it stopped. folder is empty on a VM without a disk.
func openStore(folder string) (*store, error) {
	sto := &store{}
	sto.current.Store(&inForce{})
	if folder == "" {
		return sto, nil
	}
	sto.path = filepath.Join(folder, "configuration.json")
	data, err := os.ReadFile(sto.path)
	if os.IsNotExist(err) {
		return sto, nil
	}
	if err != nil {
		return nil, fperror.Wrap(fperror.StorageFailed, err, "read the stored configuration")
	}
	var saved fpoperator.GetConfigurationResponse
	if err := protojson.Unmarshal(data, &saved); err != nil {
		return nil, fperror.Wrap(fperror.StorageFailed, err, "decode %s", sto.path)
	}
	next, err := compile(saved.GetVersion(), saved.GetConfiguration())
	if err != nil {
		return nil, err
	}
	sto.current.Store(next)
	return sto, nil
}

func compile(version *fpoperator.Version, cfg *fpoperator.Configuration) (*inForce, error) {
	schema, err := fpschema.Compile(cfg.GetSchema())
	if err != nil {
		return nil, err
	}
	next := &inForce{
		version:       fpgrant.PositionOf(version),
		configuration: cfg,
		schema:        schema,
		keyed:         map[string]bool{},
	}
	for _, ser := range schema.Services() {
		next.keyed[ser.Name()] = ser.Keyed()
	}
	return next, nil
}

// put puts a configuration in force unless one at least as new is. It is durable before it is in force, so that a restart
// never falls behind what the VM has confirmed.
func (sto *store) put(version *fpoperator.Version, cfg *fpoperator.Configuration) (bool, error) {
	sto.mutex.Lock()
	defer sto.mutex.Unlock()
	if !sto.current.Load().version.Less(fpgrant.PositionOf(version)) {
		return false, nil
	}
	next, err := compile(version, cfg)
	if err != nil {
		return false, err
	}
	if err := sto.save(version, cfg); err != nil {
		return false, err
	}
	sto.current.Store(next)
	return true, nil
}

func (sto *store) save(version *fpoperator.Version, cfg *fpoperator.Configuration) error {
	if sto.path == "" {
		return nil
	}
	data, err := protojson.Marshal(&fpoperator.GetConfigurationResponse{
		Version:       version,
		Configuration: cfg,
	})
	if err != nil {
		return fperror.Wrap(fperror.Internal, err, "encode the configuration")
	}
	if err := writeDurably(sto.path, data); err != nil {
		return fperror.Wrap(fperror.StorageFailed, err, "store the configuration")
	}
	return nil
}

// writeDurably replaces a file by way of a synced temporary file, so that a crash leaves the old or the new content.
func writeDurably(path string, data []byte) error {
	temporary := path + ".new"
	fil, err := os.Create(temporary)
	if err != nil {
		return err
	}
	_, err = fil.Write(data)
	if err == nil {
		err = fil.Sync()
	}
	if end := fil.Close(); err == nil {
		err = end
	}
	if err != nil {
		return err
	}
	if err := os.Rename(temporary, path); err != nil {
		return err
	}
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return err
	}
	defer func() { _ = dir.Close() }()
	return dir.Sync()
}
