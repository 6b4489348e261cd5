// Package fpclaim holds the replicated idempotency records, called claims, of one group. A VM claims the idempotency key
// of a non-idempotent request before the request runs, so the request runs at most once however often it is resent.
//
// The package is deterministic: it reads no clock and uses only the times in the commands.
package fpclaim

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

// Defaults and limits of a set.
const (
	// DefaultMaxClaims is the default of Config.MaxClaims.
	DefaultMaxClaims = 262144
	// DefaultAnswerBytes is the default of Config.AnswerBytes.
	DefaultAnswerBytes = 64 << 20
	// MaxAnswerBody is the size in bytes of the largest response body that a claim records.
	MaxAnswerBody = 16 << 10
	// SettleGrace is the time after the caller's deadline from which the outcome of an unsettled claim counts as unknown.
	SettleGrace = time.Second
	// MaxKeyAhead is how far the time in an idempotency key may be ahead of the leader's clock.
	MaxKeyAhead = time.Minute
)

// Config holds the limits of a set. They must be equal on all replicas of a group, because they decide the results of
// commands. Zero values mean the defaults.
type Config struct {
	// MaxClaims is the number of claims that the set holds at most.
	MaxClaims int
	// AnswerBytes is the size in bytes of all recorded answers together. Beyond it, the oldest answers are dropped.
	AnswerBytes int
}

// Set holds the claims of one group. Use New to create one. It is not safe for concurrent use.
type Set struct {
	cfg     Config
	floorMS int64 // Unix milliseconds; idempotency keys with an earlier time are refused
	claims  map[uuid.UUID]*claim
	// holderList holds the holders by id, so that a claim stores four bytes instead of a name; holderIDs is its inverse.
	holderIDs  map[holder]uint32
	holderList []holder
	// answered holds the keys of claims with a recorded answer, oldest first. Keys without an answer may remain in it.
	answered    []uuid.UUID
	answerBytes int
}

// holder is the VM that claimed a key, with its incarnation.
type holder struct {
	VM          string
	Incarnation uint64
}

// fingerprint is a hash of the service, method, slot and digest of a request. With 128 bits, two different requests with
// the same idempotency key don't match by accident.
type fingerprint [16]byte

// claim is the record of one idempotency key.
type claim struct {
	request    fingerprint
	attempt    uint64
	deadlineMS int64  // the caller's deadline in Unix milliseconds
	answer     []byte // encoded fpwire.Answer, or nil
	holder     uint32 // index in Set.holderList
	state      uint8
}

// States of a claim. The numbers are stored in snapshots.

const (
	pending = uint8(fpwire.ClaimState_CLAIM_STATE_PENDING)
	settled = uint8(fpwire.ClaimState_CLAIM_STATE_SETTLED)
	unknown = uint8(fpwire.ClaimState_CLAIM_STATE_UNKNOWN)
)

// New returns an empty set.
func New(cfg Config) *Set {
	if cfg.MaxClaims == 0 {
		cfg.MaxClaims = DefaultMaxClaims
	}
	if cfg.AnswerBytes == 0 {
		cfg.AnswerBytes = DefaultAnswerBytes
	}
	return &Set{
		cfg:       cfg,
		claims:    map[uuid.UUID]*claim{},
		holderIDs: map[holder]uint32{},
	}
}

// Len returns the number of claims.
func (set *Set) Len() int { return len(set.claims) }

// AnswerBytes returns the size of all recorded answers in bytes.
func (set *Set) AnswerBytes() int { return set.answerBytes }

// KeyTime returns the time in an idempotency key, in Unix milliseconds. The error has the kind InvalidIdempotencyKey.
func KeyTime(key string) (int64, error) {
	_, ms, err := parseKey(key)
	return ms, err
}

// parseKey returns the idempotency key and the time in it, in Unix milliseconds.
func parseKey(key string) (uuid.UUID, int64, error) {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return id, 0, fperror.New(fperror.InvalidIdempotencyKey, "idempotency key %.64q is not a UUIDv7", key)
	}
	return id, int64(binary.BigEndian.Uint64(id[:8]) >> 16), nil
}

// Claim asks for the right to run the request with the given idempotency key. The state in the result is GRANTED for the
// attempt that may run the request, PENDING while another attempt holds the claim, SETTLED with the recorded answer once
// the request has run, and UNKNOWN if it may have run. The answer is marked as omitted if it was not recorded or was
// dropped.
//
// Errors have the kind InvalidIdempotencyKey, ExpiredIdempotencyKey, IdempotencyConflict or ClaimSetFull.
func (set *Set) Claim(cmd *fpwire.Claim) (*fpwire.ClaimResult, error) {
	id, keyMS, err := parseKey(cmd.GetIdempotencyKey())
	if err != nil {
		return nil, err
	}
	if keyMS < set.floorMS {
		return nil, fperror.New(fperror.ExpiredIdempotencyKey, "idempotency key %s is older than the retention", id)
	}
	if ahead := time.Duration(keyMS-cmd.GetNowMs()) * time.Millisecond; ahead > MaxKeyAhead {
		return nil, fperror.New(fperror.InvalidIdempotencyKey, "idempotency key %s is %v in the future, at most %v", id,
			ahead, MaxKeyAhead)
	}
	request := fingerprintOf(cmd)
	old := set.claims[id]
	if old == nil {
		return set.grant(id, cmd, request)
	}
	if old.request != request {
		return nil, fperror.New(fperror.IdempotencyConflict,
			"idempotency key %s was used with another method or another body", id)
	}
	return set.answerDuplicate(old, cmd), nil
}

// grant records a claim for a key that has none. The limit in the command can lower MaxClaims, but not raise it.
func (set *Set) grant(id uuid.UUID, cmd *fpwire.Claim, request fingerprint) (*fpwire.ClaimResult, error) {
	limit := set.cfg.MaxClaims
	if configured := int(cmd.GetLimit()); configured > 0 {
		limit = min(limit, configured)
	}
	if len(set.claims) >= limit {
		return nil, fperror.New(fperror.ClaimSetFull, "the claim set of the group is full: it holds %d claims", len(set.claims))
	}
	set.claims[id] = &claim{
		request:    request,
		attempt:    cmd.GetAttempt(),
		deadlineMS: cmd.GetDeadlineMs(),
		holder: set.holderID(holder{
			VM:          cmd.GetHolder(),
			Incarnation: cmd.GetHolderIncarnation(),
		}),
		state: pending,
	}
	return result(fpwire.ClaimState_CLAIM_STATE_GRANTED), nil
}

// answerDuplicate returns the result for a key that is already claimed. An unknown outcome is recorded, because a later
// leader whose clock is behind must give the same result.
func (set *Set) answerDuplicate(old *claim, cmd *fpwire.Claim) *fpwire.ClaimResult {
	if old.state == pending && cmd.GetNowMs() > old.deadlineMS+SettleGrace.Milliseconds() {
		old.state = unknown
	}
	switch {
	case old.state == settled:
		res := result(fpwire.ClaimState_CLAIM_STATE_SETTLED)
		res.Answer = &fpwire.Answer{}
		if err := proto.Unmarshal(old.answer, res.Answer); err != nil || len(old.answer) == 0 {
			res.Answer = &fpwire.Answer{
				Omitted: true,
			}
		}
		return res
	case old.state == unknown:
		return result(fpwire.ClaimState_CLAIM_STATE_UNKNOWN)
	case set.isHolder(old, cmd.GetHolder(), cmd.GetHolderIncarnation(), cmd.GetAttempt()):
		return result(fpwire.ClaimState_CLAIM_STATE_GRANTED)
	}
	return result(fpwire.ClaimState_CLAIM_STATE_PENDING)
}

func result(sta fpwire.ClaimState) *fpwire.ClaimResult {
	return &fpwire.ClaimResult{
		State: sta,
	}
}

// isHolder reports whether the claim belongs to this attempt of this incarnation of the VM.
func (set *Set) isHolder(old *claim, vm string, incarnation, attempt uint64) bool {
	hol := set.holderList[old.holder]
	return old.attempt == attempt && hol.VM == vm && hol.Incarnation == incarnation
}

// holderID returns the id of a holder, and assigns one if it has none.
func (set *Set) holderID(hol holder) uint32 {
	id, ok := set.holderIDs[hol]
	if !ok {
		id = uint32(len(set.holderList))
		set.holderList = append(set.holderList, hol)
		set.holderIDs[hol] = id
	}
	return id
}

// fingerprintOf hashes the fields that are equal in every resend of a request. Each string is preceded by its length, so
// that different fields never form the same input.
func fingerprintOf(cmd *fpwire.Claim) fingerprint {
	var buf []byte
	for _, field := range []string{cmd.GetService(), cmd.GetMethod(), string(cmd.GetDigest())} {
		buf = binary.AppendUvarint(buf, uint64(len(field)))
		buf = append(buf, field...)
	}
	buf = binary.AppendUvarint(buf, uint64(cmd.GetSlot()))
	sum := sha256.Sum256(buf)
	return fingerprint(sum[:16])
}

// Settle records the outcome of an attempt. Only the attempt that holds the claim can settle it, and the first outcome
// stays, with one exception: an unknown outcome becomes settled when the holder reports that the request ran. After NOT_RUN
// the claim is removed and the request may run again, unless its outcome was unknown before: a caller may have been told
// that the request will not run again. The error has the kind InvalidIdempotencyKey or VersionConflict.
func (set *Set) Settle(cmd *fpwire.Settle) error {
	id, _, err := parseKey(cmd.GetIdempotencyKey())
	if err != nil {
		return err
	}
	old := set.claims[id]
	if old == nil {
		return fperror.New(fperror.VersionConflict, "idempotency key %s is not claimed", id)
	}
	if !set.isHolder(old, cmd.GetHolder(), cmd.GetHolderIncarnation(), cmd.GetAttempt()) {
		return fperror.New(fperror.VersionConflict, "idempotency key %s is claimed by another attempt", id)
	}
	switch {
	case old.state == settled:
	case cmd.GetOutcome() == fpwire.Outcome_OUTCOME_RAN:
		old.state = settled
		set.storeAnswer(id, old, cmd.GetAnswer())
	case old.state == unknown:
	case cmd.GetOutcome() == fpwire.Outcome_OUTCOME_NOT_RUN:
		delete(set.claims, id)
	default:
		old.state = unknown
	}
	return nil
}

// storeAnswer records the answer of a settled claim, unless it is too large. When all recorded answers together exceed
// Config.AnswerBytes, the oldest ones are dropped; their claims stay settled.
func (set *Set) storeAnswer(id uuid.UUID, cla *claim, ans *fpwire.Answer) {
	if ans == nil || ans.GetOmitted() || len(ans.GetBody()) > MaxAnswerBody {
		return
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(ans)
	if err != nil || len(data) > 2*MaxAnswerBody {
		return
	}
	cla.answer = data
	set.answered = append(set.answered, id)
	set.answerBytes += len(data)
	for set.answerBytes > set.cfg.AnswerBytes && len(set.answered) > 0 {
		set.dropAnswer(set.claims[set.answered[0]])
		set.answered = set.answered[1:]
	}
}

// dropAnswer frees the recorded answer of a claim, which may be nil.
func (set *Set) dropAnswer(cla *claim) {
	if cla == nil {
		return
	}
	set.answerBytes -= len(cla.answer)
	cla.answer = nil
}

// ExpireClaims removes the claims whose keys have a time earlier than BeforeMs, and makes Claim refuse such keys from then
// on, so that a request whose claim was removed cannot run again. A BeforeMs that is not later than the last one does
// nothing.
func (set *Set) ExpireClaims(cmd *fpwire.ExpireClaims) {
	if cmd.GetBeforeMs() <= set.floorMS {
		return
	}
	set.floorMS = cmd.GetBeforeMs()
	used := make([]bool, len(set.holderList))
	for id, cla := range set.claims {
		if int64(binary.BigEndian.Uint64(id[:8])>>16) < set.floorMS {
			set.dropAnswer(cla)
			delete(set.claims, id)
			continue
		}
		used[cla.holder] = true
	}
	kept := set.answered[:0]
	for _, id := range set.answered {
		if cla := set.claims[id]; cla != nil && cla.answer != nil {
			kept = append(kept, id)
		}
	}
	set.answered = kept
	set.compactHolders(used)
}

// compactHolders removes the holders that have no claim, and assigns new ids to the others. used tells by id which
// holders have a claim.
func (set *Set) compactHolders(used []bool) {
	newIDs := make([]uint32, len(used))
	var list []holder
	for id, hol := range set.holderList {
		if !used[id] {
			delete(set.holderIDs, hol)
			continue
		}
		newIDs[id] = uint32(len(list))
		set.holderIDs[hol] = newIDs[id]
		list = append(list, hol)
	}
	for _, cla := range set.claims {
		cla.holder = newIDs[cla.holder]
	}
	set.holderList = list
}
