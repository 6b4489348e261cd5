// Package fpmachine is the replicated state machine of a group. It routes each command to the part of the state that the
// command changes.
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

// Config has the bounds of the state. They must be equal on all replicas of a group.
type Config struct {
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
	// published is what Quarantined and Configuration return. It needs no lock, so both may be called within Read.
	published atomic.Pointer[published]
}

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

func (mac *Machine) publish() {
	mac.published.Store(&published{
		quarantined:   slices.Clone(mac.quarantine.list),
		version:       fpgrant.Position(mac.configuration.Version()),
		configuration: mac.configuration.Configuration(),
	})
}

// Apply executes an encoded Command and returns the encoded CommandResult. It is deterministic.
func (mac *Machine) Apply(pos fpgrant.Position, command []byte) []byte {
	mac.mu.Lock()
	defer mac.mu.Unlock()
	mac.applied = pos
	var cmd fpwire.Command
	res := &fpwire.CommandResult{}
	if err := proto.Unmarshal(command, &cmd); err != nil {
		fail(res, fperror.Wrap(fperror.Internal, err, "decode a command"))
	} else {
		mac.run(pos, &cmd, res)
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(res)
	if err != nil {
		return nil
	}
	return data
}

func fail(res *fpwire.CommandResult, err error) {
	if err == nil {
		return
	}
	res.Error = fperror.KindOf(err).String()
	res.Message = err.Error()
}

func (mac *Machine) run(pos fpgrant.Position, cmd *fpwire.Command, res *fpwire.CommandResult) {
	switch one := cmd.GetKind().(type) {
	case *fpwire.Command_Configure:
		out := mac.configuration.Apply(fpconfig.Version(pos), one.Configure)
		res.Error, res.Message, res.Version = out.Kind, out.Message, out.Accepted.Wire()
		mac.publish()
	case *fpwire.Command_UpdateSlots:
		fail(res, mac.updateSlots(pos, one.UpdateSlots))
		res.Version = mac.table.Version().Version()
	case *fpwire.Command_SetHomes:
		fail(res, mac.table.SetHomes(pos, one.SetHomes))
		res.Version = mac.table.Version().Version()
	case *fpwire.Command_Claim:
		mac.claim(one.Claim, res)
	case *fpwire.Command_Settle:
		fail(res, mac.claims.Settle(one.Settle))
	case *fpwire.Command_ExpireClaims:
		mac.claims.ExpireClaims(one.ExpireClaims)
	case *fpwire.Command_ReportCrash:
		mac.reportCrash(pos, one.ReportCrash, res)
	case *fpwire.Command_LiftQuarantine:
		if mac.quarantine.lift(one.LiftQuarantine.GetDigest()) {
			mac.table.Touch(pos)
			mac.publish()
		}
		res.Version = mac.table.Version().Version()
	default:
		fail(res, fperror.New(fperror.Internal, "unknown command"))
	}
}

// updateSlots refuses a change that the leader of another term decided.
func (mac *Machine) updateSlots(pos fpgrant.Position, cmd *fpwire.UpdateSlots) error {
	if term := cmd.GetTerm(); term != 0 && term != pos.Term {
		return fperror.New(fperror.VersionConflict, "a change decided in term %d is void in term %d", term, pos.Term)
	}
	return mac.table.Apply(pos, cmd)
}

// claim refuses a claim for a slot with another home, since the claims of a slot must be in one group.
func (mac *Machine) claim(cmd *fpwire.Claim, res *fpwire.CommandResult) {
	if !mac.table.Homed(cmd.GetService(), cmd.GetSlot()) {
		fail(res, fperror.New(fperror.ClaimUnavailable, "slot %d of %s is not homed in this group", cmd.GetSlot(),
			cmd.GetService()))
		return
	}
	out, err := mac.claims.Claim(cmd)
	fail(res, err)
	res.Claim = out
}

// reportCrash moves the table's version when a request becomes quarantined, so that entry VMs confirm the new list with
// the version of their table.
func (mac *Machine) reportCrash(pos fpgrant.Position, cmd *fpwire.ReportCrash, res *fpwire.CommandResult) {
	held, fresh := mac.quarantine.report(cmd)
	if fresh {
		mac.table.Touch(pos)
		mac.publish()
	}
	res.Quarantined = held
	res.Version = mac.table.Version().Version()
}

// Read calls fn while no command is applied, with the applied position. fn must not change or keep what it is given. Of
// the Machine's methods it may call only Table, Quarantined and Configuration, since the others take the same lock.
func (mac *Machine) Read(fn func(applied fpgrant.Position, tab *fpgrant.Table)) {
	mac.mu.RLock()
	defer mac.mu.RUnlock()
	fn(mac.applied, mac.table)
}

// Table returns the slot table for a Keeper, whose methods may be called only within Read.
func (mac *Machine) Table() *fpgrant.Table { return mac.table }

// Configuration returns the configuration in force and its version; nil before the first. It must not be changed.
func (mac *Machine) Configuration() (fpgrant.Position, *fpoperator.Configuration) {
	pub := mac.published.Load()
	return pub.version, pub.configuration
}

// Decided reports whether a configuration request has got its answer.
func (mac *Machine) Decided(request string) bool {
	mac.mu.RLock()
	defer mac.mu.RUnlock()
	_, known := mac.configuration.Outcome(request)
	return known
}

// KnownServices returns the configuration against which a new one is validated; see fpconfig.State.Known.
func (mac *Machine) KnownServices() *fpoperator.Configuration {
	mac.mu.RLock()
	defer mac.mu.RUnlock()
	return mac.configuration.Known()
}

// Claims returns the number of claims and the size of the recorded answers in bytes.
func (mac *Machine) Claims() (count, answerBytes int) {
	mac.mu.RLock()
	defer mac.mu.RUnlock()
	return mac.claims.Len(), mac.claims.AnswerBytes()
}

// Quarantined returns the digests of the quarantined requests, ordered. They must not be changed.
func (mac *Machine) Quarantined() []string { return mac.published.Load().quarantined }

// machineImage is the stored form of a Machine.
type machineImage struct {
	Applied       fpgrant.Position
	Table         []byte
	Claims        []byte
	Configuration []byte
	Quarantine    quarantineImage
}

// Snapshot returns the whole state.
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

// Restore replaces the whole state by a snapshot. After an error the machine must not be used.
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
