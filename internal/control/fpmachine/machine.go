// Package fpmachine is the replicated state machine of a group. It holds the slot table, the claims (idempotency records),
// the configuration and the quarantine, and dispatches each command of the log to the one that the command changes.
package fpmachine

import (
	"bytes"
	"encoding/gob"
	"slices"
	"sync"
	"sync/atomic"

	"google.golang.org/protobuf/proto"

	"github.com/foxtailpulley/foxtailpulley/api/operator/fpoperator"
	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/config/fpconfig"
	"github.com/foxtailpulley/foxtailpulley/internal/control/fpclaim"
	"github.com/foxtailpulley/foxtailpulley/internal/control/fpgrant"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

// Config holds the limits of the state. They must be equal on all replicas of a group.
type Config struct {
	// Claims holds the limits of the claims; its zero values mean the defaults of fpclaim.
	Claims fpclaim.Config
}

// Machine is the state of one group. Use New to create one. Its methods are safe for concurrent use.
type Machine struct {
	mu            sync.RWMutex
	applied       fpgrant.Position
	table         *fpgrant.Table
	claims        *fpclaim.Set
	configuration *fpconfig.State
	quarantine    quarantine
	// published is what Quarantined and Configuration return. They don't take mu, so both may be called within Read.
	published atomic.Pointer[published]
}

// published is a copy of the state that is read without a lock. It is replaced as a whole and never changed.
type published struct {
	quarantined   []string
	version       fpgrant.Position
	configuration *fpoperator.Configuration
}

// New returns an empty machine.
func New(cfg Config) *Machine {
	mac := &Machine{
		table:         &fpgrant.Table{},
		claims:        fpclaim.New(cfg.Claims),
		configuration: &fpconfig.State{},
	}
	mac.publish()
	return mac
}

// publish makes the present quarantine and configuration visible to Quarantined and Configuration.
func (mac *Machine) publish() {
	mac.published.Store(&published{
		quarantined:   slices.Clone(mac.quarantine.digests),
		version:       fpgrant.Position(mac.configuration.Version()),
		configuration: mac.configuration.Configuration(),
	})
}

// Apply executes an encoded fpwire.Command, whose log entry is at pos, and returns the encoded fpwire.CommandResult. It is
// deterministic. Errors are in the result, also for a command that cannot be decoded; the result is nil only if it cannot
// be encoded.
func (mac *Machine) Apply(pos fpgrant.Position, command []byte) []byte {
	mac.mu.Lock()
	defer mac.mu.Unlock()
	mac.applied = pos
	var cmd fpwire.Command
	res := &fpwire.CommandResult{}
	if err := proto.Unmarshal(command, &cmd); err != nil {
		setError(res, fperror.Wrap(fperror.Internal, err, "decode a command"))
	} else {
		mac.execute(pos, &cmd, res)
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(res)
	if err != nil {
		return nil
	}
	return data
}

// setError stores the kind and the message of err in the result; nil leaves the result unchanged.
func setError(res *fpwire.CommandResult, err error) {
	if err == nil {
		return
	}
	res.Error = fperror.KindOf(err).String()
	res.Message = err.Error()
}

// execute runs one decoded command and fills in its result.
func (mac *Machine) execute(pos fpgrant.Position, cmd *fpwire.Command, res *fpwire.CommandResult) {
	switch kind := cmd.GetKind().(type) {
	case *fpwire.Command_Configure:
		out := mac.configuration.Apply(fpconfig.Version(pos), kind.Configure)
		res.Error, res.Message, res.Version = out.Kind, out.Message, out.Accepted.Wire()
		mac.publish()
	case *fpwire.Command_UpdateSlots:
		setError(res, mac.applyUpdateSlots(pos, kind.UpdateSlots))
		res.Version = mac.table.Version().Version()
	case *fpwire.Command_SetHomes:
		setError(res, mac.table.SetHomes(pos, kind.SetHomes))
		res.Version = mac.table.Version().Version()
	case *fpwire.Command_Claim:
		mac.applyClaim(kind.Claim, res)
	case *fpwire.Command_Settle:
		setError(res, mac.claims.Settle(kind.Settle))
	case *fpwire.Command_ExpireClaims:
		mac.claims.ExpireClaims(kind.ExpireClaims)
	case *fpwire.Command_ReportCrash:
		mac.applyCrash(pos, kind.ReportCrash, res)
	case *fpwire.Command_LiftQuarantine:
		if mac.quarantine.lift(kind.LiftQuarantine.GetDigest()) {
			mac.table.AdvanceVersion(pos)
			mac.publish()
		}
		res.Version = mac.table.Version().Version()
	default:
		setError(res, fperror.New(fperror.Internal, "the command has an unknown kind"))
	}
}

// applyUpdateSlots changes slots of the table. It refuses a command that the leader of another term decided; term 0 means
// that the command is valid in any term.
func (mac *Machine) applyUpdateSlots(pos fpgrant.Position, cmd *fpwire.UpdateSlots) error {
	if term := cmd.GetTerm(); term != 0 && term != pos.Term {
		return fperror.New(fperror.VersionConflict, "slot update decided in term %d is not valid in term %d", term, pos.Term)
	}
	return mac.table.Apply(pos, cmd)
}

// applyClaim claims an idempotency key. It refuses a slot that is not homed in this group, because all claims of a slot
// must be in one group.
func (mac *Machine) applyClaim(cmd *fpwire.Claim, res *fpwire.CommandResult) {
	if !mac.table.Homed(cmd.GetService(), cmd.GetSlot()) {
		setError(res, fperror.New(fperror.ClaimUnavailable, "slot %d of %s is not homed in this group", cmd.GetSlot(),
			cmd.GetService()))
		return
	}
	out, err := mac.claims.Claim(cmd)
	setError(res, err)
	res.Claim = out
}

// applyCrash counts a reported crash. When it quarantines a request, it advances the version of the table: entry VMs that
// confirm this version have the new list, too.
func (mac *Machine) applyCrash(pos fpgrant.Position, cmd *fpwire.ReportCrash, res *fpwire.CommandResult) {
	quarantined, added := mac.quarantine.report(cmd)
	if added {
		mac.table.AdvanceVersion(pos)
		mac.publish()
	}
	res.Quarantined = quarantined
	res.Version = mac.table.Version().Version()
}

// Read calls fn while no command is applied, with the position of the last applied entry. fn must not change or keep the
// table. It may call only the methods Table, Quarantined and Configuration of the Machine, because the others take the
// lock that Read holds.
func (mac *Machine) Read(fn func(applied fpgrant.Position, tab *fpgrant.Table)) {
	mac.mu.RLock()
	defer mac.mu.RUnlock()
	fn(mac.applied, mac.table)
}

// Table returns the slot table. It is meant for fpkeeper.Keeper and may be used only within Read.
func (mac *Machine) Table() *fpgrant.Table { return mac.table }

// Configuration returns the configuration in force and its version, or nil and the zero version before the first one. The
// configuration must not be changed.
func (mac *Machine) Configuration() (fpgrant.Position, *fpoperator.Configuration) {
	pub := mac.published.Load()
	return pub.version, pub.configuration
}

// IsDecided reports whether the outcome of the configuration request with this id is known.
func (mac *Machine) IsDecided(request string) bool {
	mac.mu.RLock()
	defer mac.mu.RUnlock()
	_, known := mac.configuration.Outcome(request)
	return known
}

// KnownConfiguration returns the configuration against which a new one is validated: the services in force and those that
// were removed earlier. See fpconfig.State.KnownConfiguration.
func (mac *Machine) KnownConfiguration() *fpoperator.Configuration {
	mac.mu.RLock()
	defer mac.mu.RUnlock()
	return mac.configuration.KnownConfiguration()
}

// Claims returns the number of claims and the size of their recorded answers in bytes.
func (mac *Machine) Claims() (count, answerBytes int) {
	mac.mu.RLock()
	defer mac.mu.RUnlock()
	return mac.claims.Len(), mac.claims.AnswerBytes()
}

// Quarantined returns the digests of the quarantined requests in ascending order. The slice must not be changed.
func (mac *Machine) Quarantined() []string { return mac.published.Load().quarantined }

// machineImage is the stored form of a Machine, encoded by gob. The byte slices are the snapshots of its components.
type machineImage struct {
	Applied       fpgrant.Position
	Table         []byte
	Claims        []byte
	Configuration []byte
	Quarantine    quarantineImage
}

// Snapshot returns the encoded state. Machines with equal states return equal snapshots.
func (mac *Machine) Snapshot() ([]byte, error) {
	mac.mu.RLock()
	defer mac.mu.RUnlock()
	img := machineImage{
		Applied:    mac.applied,
		Quarantine: mac.quarantine.image(),
	}
	var err error
	if img.Table, err = mac.table.Snapshot(); err != nil {
		return nil, err
	}
	if img.Claims, err = mac.claims.Snapshot(); err != nil {
		return nil, err
	}
	if img.Configuration, err = mac.configuration.Snapshot(); err != nil {
		return nil, err
	}
	var buf bytes.Buffer
	if err := gob.NewEncoder(&buf).Encode(&img); err != nil {
		return nil, fperror.Wrap(fperror.Internal, err, "encode the state of the group")
	}
	return buf.Bytes(), nil
}

// Restore replaces the state by a snapshot. After an error the machine must not be used, because only some of its
// components may have been replaced.
func (mac *Machine) Restore(snapshot []byte) error {
	mac.mu.Lock()
	defer mac.mu.Unlock()
	var img machineImage
	if err := gob.NewDecoder(bytes.NewReader(snapshot)).Decode(&img); err != nil {
		return fperror.Wrap(fperror.Internal, err, "decode the state of the group")
	}
	if err := mac.table.Restore(img.Table); err != nil {
		return err
	}
	if err := mac.claims.Restore(img.Claims); err != nil {
		return err
	}
	if err := mac.configuration.Restore(img.Configuration); err != nil {
		return err
	}
	mac.applied = img.Applied
	mac.quarantine.restore(img.Quarantine)
	mac.publish()
	return nil
}
