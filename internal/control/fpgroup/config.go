package fpgroup

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/control/fplog"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

// Defaults of the fields of Config.
const (
	DefaultHeartbeat          = 75 * time.Millisecond
	DefaultMinElectionTimeout = 300 * time.Millisecond
	DefaultMaxElectionTimeout = 600 * time.Millisecond
	DefaultLease              = 300 * time.Millisecond
	DefaultDriftPercent       = 1
	DefaultChunkSize          = 256 << 10
	DefaultSnapshotBytes      = 8 << 20
	DefaultSnapshotCount      = 32768
	DefaultKeepEntries        = 4096
)

// MaxCommand is the largest size of a proposed command in bytes.
const MaxCommand = 4 << 20

// Config holds the settings of a Group. The fields from Heartbeat on have defaults, which 0 selects.
type Config struct {
	// Name is the name of the group, the same on all its members.
	Name string
	// VM is the name of this VM.
	VM string
	// Incarnation is the incarnation of the data folder; 0 means Storage.Incarnation, and any other value must be equal to
	// it.
	Incarnation uint64
	// Voters are the initial members, the same on all of them. They matter only until the first entry is written. Their
	// incarnations are usually 0, which means unknown. A VM that joins later has the same list or an empty one.
	Voters []Member
	// Storage is the open log. The owner closes it after Run has ended.
	Storage *fplog.Log
	// Machine is restored by New from the newest snapshot, and then used by one goroutine.
	Machine Machine
	// Send sends messages to a VM. It may lose messages. It may block until ctx ends, which delays only messages to that VM.
	Send func(ctx context.Context, vm string, msgs []*fpwire.GroupMessage)
	// Log is the logger; nil means no logging.
	Log *zap.Logger

	// Heartbeat is the interval between broadcasts of a leader.
	Heartbeat time.Duration
	// MinElectionTimeout and MaxElectionTimeout bound the random election timeout: the time without a message from a leader
	// after which a voter starts an election.
	MinElectionTimeout time.Duration
	MaxElectionTimeout time.Duration
	// Lease is how long a voter that received a message from a leader votes for no other VM, and the time without a quorum
	// after which a leader steps down. It is longer than Heartbeat and at most MinElectionTimeout.
	Lease time.Duration
	// DriftPercent is the largest difference in speed of the clocks of two VMs, in percent. The leader's lease is shorter
	// than Lease by it.
	DriftPercent int
	// ChunkSize is the number of bytes of a snapshot in one message.
	ChunkSize int
	// SnapshotBytes and SnapshotCount are the numbers of bytes and entries of which one must be applied before the next
	// snapshot is taken. In any case, the bytes applied must be at least half the size of the last snapshot.
	SnapshotBytes int
	SnapshotCount int
	// KeepEntries is the number of entries before a snapshot that stay in the log for members that lag a little, as far as
	// they are not larger than SnapshotBytes together.
	KeepEntries int

	// The limits below are not settings; tests lower some of them. maxInflight is in messages to one peer, maxUncommitted
	// in entries, the others in bytes.
	maxApplyBytes   int
	maxMessageBytes int
	maxInflight     int
	maxUncommitted  int
	maxBatchBytes   int
	// clock reads both clocks. Tests replace it; nil means the clocks of the system.
	clock func() instant
}

// leaseLength returns how long a leader may act after it sent a round that a quorum acknowledged.
func (cfg *Config) leaseLength() time.Duration {
	return cfg.Lease - cfg.Lease*time.Duration(cfg.DriftPercent)/100
}

// setDefaults replaces zero values by the defaults.
func (cfg *Config) setDefaults() {
	setDefault(&cfg.Heartbeat, DefaultHeartbeat)
	setDefault(&cfg.MinElectionTimeout, DefaultMinElectionTimeout)
	setDefault(&cfg.MaxElectionTimeout, DefaultMaxElectionTimeout)
	setDefault(&cfg.Lease, DefaultLease)
	setDefault(&cfg.DriftPercent, DefaultDriftPercent)
	setDefault(&cfg.ChunkSize, DefaultChunkSize)
	setDefault(&cfg.SnapshotBytes, DefaultSnapshotBytes)
	setDefault(&cfg.SnapshotCount, DefaultSnapshotCount)
	setDefault(&cfg.KeepEntries, DefaultKeepEntries)
	setDefault(&cfg.maxApplyBytes, 1<<20)
	setDefault(&cfg.maxMessageBytes, 256<<10)
	setDefault(&cfg.maxInflight, 16)
	setDefault(&cfg.maxUncommitted, 32768)
	setDefault(&cfg.maxBatchBytes, 32<<20)
	if cfg.Log == nil {
		cfg.Log = zap.NewNop()
	}
	if cfg.Incarnation == 0 && cfg.Storage != nil {
		cfg.Incarnation = cfg.Storage.Incarnation()
	}
}

func setDefault[T ~int | ~int64](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

// check returns an error of kind InvalidSettings if a field is missing or out of range.
func (cfg *Config) check() error {
	switch {
	case cfg.Name == "" || cfg.VM == "":
		return fperror.New(fperror.InvalidSettings, "a group needs Name and VM")
	case cfg.Storage == nil || cfg.Machine == nil || cfg.Send == nil:
		return fperror.New(fperror.InvalidSettings, "group %s needs Storage, Machine and Send", cfg.Name)
	case cfg.Incarnation != cfg.Storage.Incarnation():
		return fperror.New(fperror.InvalidSettings, "incarnation %x of group %s differs from incarnation %x of its storage",
			cfg.Incarnation, cfg.Name, cfg.Storage.Incarnation())
	case cfg.Heartbeat < 0 || cfg.Lease <= cfg.Heartbeat:
		return fperror.New(fperror.InvalidSettings, "lease %s must be longer than heartbeat %s, which must not be negative", cfg.Lease, cfg.Heartbeat)
	case cfg.MinElectionTimeout < cfg.Lease || cfg.MaxElectionTimeout <= cfg.MinElectionTimeout:
		return fperror.New(fperror.InvalidSettings, "election timeouts %s to %s must be an ascending range that starts at lease %s or later",
			cfg.MinElectionTimeout, cfg.MaxElectionTimeout, cfg.Lease)
	case cfg.DriftPercent < 0 || cfg.DriftPercent > 50:
		return fperror.New(fperror.InvalidSettings, "drift bound %d%% is not between 0%% and 50%%", cfg.DriftPercent)
	case cfg.ChunkSize < 0 || cfg.SnapshotBytes < 0 || cfg.SnapshotCount < 0 || cfg.KeepEntries < 0:
		return fperror.New(fperror.InvalidSettings, "ChunkSize, SnapshotBytes, SnapshotCount and KeepEntries of group %s must not be negative", cfg.Name)
	}
	return nil
}
