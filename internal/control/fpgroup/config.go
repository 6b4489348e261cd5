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
	DefaultHeartbeat     = 75 * time.Millisecond
	DefaultMinElection   = 300 * time.Millisecond
	DefaultMaxElection   = 600 * time.Millisecond
	DefaultLease         = 300 * time.Millisecond
	DefaultDriftPercent  = 1
	DefaultChunkSize     = 256 << 10
	DefaultSnapshotBytes = 8 << 20
	DefaultSnapshotCount = 32768
	DefaultKeepEntries   = 4096
)

// MaxCommand is the largest size of a proposed command in bytes.
const MaxCommand = 4 << 20

// Config holds the settings of a Group. Fields from Heartbeat on have defaults.
type Config struct {
	// Name is the name of the group, the same on all its members.
	Name string
	// VM is the name of this VM.
	VM string
	// Incarnation is that of the data folder; 0 means Storage.Incarnation.
	Incarnation uint64
	// Voters are the initial members, the same on all of them. They matter only until the first entry is written. Their
	// incarnations are usually 0, which means unknown. A VM that joins later has the same list or an empty one.
	Voters []Member
	// Storage is the open log. The owner closes it after Run has ended.
	Storage *fplog.Log
	// Machine is restored by New from the newest snapshot, and then used by one goroutine.
	Machine Machine
	// Send delivers messages to a VM. It may block until ctx ends, which holds up messages to that VM only, and may lose
	// messages.
	Send func(ctx context.Context, vm string, msgs []*fpwire.GroupMessage)
	// Log may be nil.
	Log *zap.Logger

	// Heartbeat is the time between broadcasts of a leader.
	Heartbeat time.Duration
	// MinElection and MaxElection bound the random time without a leader after which a voter stands for election.
	MinElection time.Duration
	MaxElection time.Duration
	// Lease is how long a voter that heard from a leader elects no other, and the time without a quorum after which a
	// leader steps down. It is at most MinElection.
	Lease time.Duration
	// DriftPercent is the bound on the difference in speed of two VMs' clocks. The leader's lease is shorter than Lease by it.
	DriftPercent int
	// ChunkSize is the number of bytes of a snapshot in one message.
	ChunkSize int
	// SnapshotBytes and SnapshotCount are how many bytes or entries are applied before the next snapshot is taken.
	SnapshotBytes int
	SnapshotCount int
	// KeepEntries is how many entries before a snapshot stay in the log for members that lag a little, if they are not
	// larger than SnapshotBytes.
	KeepEntries int

	// The limits below are not settings; tests lower some of them.
	applySize      int
	messageSize    int
	maxFlights     int
	maxUncommitted int
	maxBatch       int
	// clock replaces both clocks in tests.
	clock func() instant
}

// leaseLength is how long a leader may act after it sent a round that a quorum acknowledged.
func (cfg *Config) leaseLength() time.Duration {
	return cfg.Lease - cfg.Lease*time.Duration(cfg.DriftPercent)/100
}

func (cfg *Config) setDefaults() {
	setDefault(&cfg.Heartbeat, DefaultHeartbeat)
	setDefault(&cfg.MinElection, DefaultMinElection)
	setDefault(&cfg.MaxElection, DefaultMaxElection)
	setDefault(&cfg.Lease, DefaultLease)
	setDefault(&cfg.DriftPercent, DefaultDriftPercent)
	setDefault(&cfg.ChunkSize, DefaultChunkSize)
	setDefault(&cfg.SnapshotBytes, DefaultSnapshotBytes)
	setDefault(&cfg.SnapshotCount, DefaultSnapshotCount)
	setDefault(&cfg.KeepEntries, DefaultKeepEntries)
	setDefault(&cfg.applySize, 1<<20)
	setDefault(&cfg.messageSize, 256<<10)
	setDefault(&cfg.maxFlights, 16)
	setDefault(&cfg.maxUncommitted, 32768)
	setDefault(&cfg.maxBatch, 32<<20)
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

func (cfg *Config) check() error {
	switch {
	case cfg.Name == "" || cfg.VM == "":
		return fperror.New(fperror.InvalidSettings, "a group needs its name and that of its VM")
	case cfg.Storage == nil || cfg.Machine == nil || cfg.Send == nil:
		return fperror.New(fperror.InvalidSettings, "group %s needs Storage, Machine and Send", cfg.Name)
	case cfg.Incarnation != cfg.Storage.Incarnation():
		return fperror.New(fperror.InvalidSettings, "incarnation %x of group %s is not that of its storage, %x",
			cfg.Incarnation, cfg.Name, cfg.Storage.Incarnation())
	case cfg.Heartbeat < 0 || cfg.Lease <= cfg.Heartbeat:
		return fperror.New(fperror.InvalidSettings, "lease %s must be longer than heartbeat %s, which is not negative", cfg.Lease, cfg.Heartbeat)
	case cfg.MinElection < cfg.Lease || cfg.MaxElection <= cfg.MinElection:
		return fperror.New(fperror.InvalidSettings, "election timeouts %s to %s must be a range from lease %s on",
			cfg.MinElection, cfg.MaxElection, cfg.Lease)
	case cfg.DriftPercent < 0 || cfg.DriftPercent > 50:
		return fperror.New(fperror.InvalidSettings, "drift bound %d%% is not within 0%% to 50%%", cfg.DriftPercent)
	case cfg.ChunkSize < 0 || cfg.SnapshotBytes < 0 || cfg.SnapshotCount < 0 || cfg.KeepEntries < 0:
		return fperror.New(fperror.InvalidSettings, "sizes of group %s must not be negative", cfg.Name)
	}
	return nil
}
