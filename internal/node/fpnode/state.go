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

// inForce is a configuration with its version and its compiled schema. The zero value means that there is no configuration.
type inForce struct {
	version       fpgrant.Position
	configuration *fpoperator.Configuration
	schema        *fpschema.Schema
	// keyed reports, for each service of the schema, whether the schema declares a key for it.
	keyed map[string]bool
}

// store holds the configuration in force on this VM. The version never decreases. A VM with a data folder also keeps the
// configuration across restarts.
type store struct {
	// path is the file of the configuration; empty on a VM without a data folder.
	path    string
	current atomic.Pointer[inForce]
	mutex   sync.Mutex // serializes put
}

// openStore returns a store with the configuration that the VM had when it stopped. folder is empty on a VM without a data
// folder.
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

// compile compiles the schema of a configuration.
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

// put puts a configuration in force and reports true, unless the one in force is at least as new. The configuration is
// stored before it is in force. After a restart the VM therefore never has an older version than it has confirmed.
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

// save writes a configuration to the file of the store, if it has one.
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

// writeDurably replaces a file atomically: it syncs a temporary file, renames it and syncs the folder. After a crash, the
// file has either the old or the new content.
func writeDurably(path string, data []byte) error {
	temporaryPath := path + ".new"
	fil, err := os.Create(temporaryPath)
	if err != nil {
		return err
	}
	_, err = fil.Write(data)
	if err == nil {
		err = fil.Sync()
	}
	if closeErr := fil.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return err
	}
	if err := os.Rename(temporaryPath, path); err != nil {
		return err
	}
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return err
	}
	defer func() { _ = dir.Close() }()
	return dir.Sync()
}
