// Package fpclaim is the replicated set of claims by which a non-idempotent request runs at most once. It is
// deterministic: the only time it knows is in the commands.
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

// Defaults and bounds of a set.
const (
	// DefaultLimit is the number of claims that a set holds at most.
	DefaultLimit = 262144
	// DefaultAnswerBytes bounds the recorded answers of a set together.
	DefaultAnswerBytes = 64 << 20
	// MaxAnswer is the largest body of an answer that is kept.
	MaxAnswer = 16 << 10
	// Grace is how long after the caller's deadline the holder may still settle before the outcome counts as unknown.
	Grace = time.Second
	// MaxAhead is how far the time of an idempotency key may lie in the future.
	MaxAhead = time.Minute
)

// Config has the bounds of a set. They must be equal on all replicas of a group, since they decide the results of
// commands. Zero values mean the defaults.
type Config struct {
	Limit       int
	AnswerBytes int
}

// Set is the claims of one group. Use New to create one. It is not safe for concurrent use.
type Set struct {
	cfg     Config
	floorMS int64 // keys with an earlier time are refused
	claims  map[uuid.UUID]*claim
	holders map[holder]uint32
	names   []holder
	// answered holds the keys of claims with an answer, oldest first, to drop answers beyond AnswerBytes.
	answered    []uuid.UUID
	answerBytes int
}

type holder struct {
	VM          string
	Incarnation uint64
}

// fingerprint identifies service, method, slot and digest of a request. 128 bits make an accidental match of two
// requests with the same idempotency key impossible in practice.
type fingerprint [16]byte

type claim struct {
	request    fingerprint
	attempt    uint64
	deadlineMS int64
	answer     []byte // encoded Answer
	holder     uint32
	state      uint8
}

const (
	pending = uint8(fpwire.ClaimState_CLAIM_STATE_PENDING)
	settled = uint8(fpwire.ClaimState_CLAIM_STATE_SETTLED)
	unknown = uint8(fpwire.ClaimState_CLAIM_STATE_UNKNOWN)
)

// New returns an empty set.
func New(cfg Config) *Set {
	if cfg.Limit == 0 {
		cfg.Limit = DefaultLimit
	}
	if cfg.AnswerBytes == 0 {
		cfg.AnswerBytes = DefaultAnswerBytes
	}
	return &Set{
		cfg:     cfg,
		claims:  map[uuid.UUID]*claim{},
		holders: map[holder]uint32{},
	}
}

// Len returns the number of claims.
func (set *Set) Len() int { return len(set.claims) }

// AnswerBytes returns the size of the recorded answers.
func (set *Set) AnswerBytes() int { return set.answerBytes }

// KeyTime returns the time in an idempotency key, in Unix milliseconds. The error has the kind InvalidIdempotencyKey.
func KeyTime(key string) (int64, error) {
	_, ms, err := parseKey(key)
	return ms, err
}

func parseKey(key string) (uuid.UUID, int64, error) {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return id, 0, fperror.New(fperror.InvalidIdempotencyKey, "idempotency key %.64q is not a UUIDv7", key)
	}
	return id, int64(binary.BigEndian.Uint64(id[:8]) >> 16), nil
}

// Claim asks for the right to run a request. Errors have the kind InvalidIdempotencyKey, ExpiredIdempotencyKey,
// IdempotencyConflict or ClaimSetFull.
func (set *Set) Claim(cmd *fpwire.Claim) (*fpwire.ClaimResult, error) {
	id, keyMS, err := parseKey(cmd.GetIdempotencyKey())
	if err != nil {
		return nil, err
	}
	if keyMS < set.floorMS {
		return nil, fperror.New(fperror.ExpiredIdempotencyKey, "idempotency key %s is older than the retention", id)
	}
	if ahead := time.Duration(keyMS-cmd.GetNowMs()) * time.Millisecond; ahead > MaxAhead {
		return nil, fperror.New(fperror.InvalidIdempotencyKey, "idempotency key %s is %v in the future, at most %v", id,
			ahead, MaxAhead)
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
	return set.again(old, cmd), nil
}

func (set *Set) grant(id uuid.UUID, cmd *fpwire.Claim, request fingerprint) (*fpwire.ClaimResult, error) {
	limit := set.cfg.Limit
	if own := int(cmd.GetLimit()); own > 0 {
		limit = min(limit, own)
	}
	if len(set.claims) >= limit {
		return nil, fperror.New(fperror.ClaimSetFull, "the group holds %d claims already", len(set.claims))
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

// again answers a claim for a key that is claimed already. An unknown outcome is recorded, so that a later leader whose
// clock is behind gives the same answer.
func (set *Set) again(old *claim, cmd *fpwire.Claim) *fpwire.ClaimResult {
	if old.state == pending && cmd.GetNowMs() > old.deadlineMS+Grace.Milliseconds() {
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
	case set.holds(old, cmd.GetHolder(), cmd.GetHolderIncarnation(), cmd.GetAttempt()):
		return result(fpwire.ClaimState_CLAIM_STATE_GRANTED)
	}
	return result(fpwire.ClaimState_CLAIM_STATE_PENDING)
}

func result(sta fpwire.ClaimState) *fpwire.ClaimResult {
	return &fpwire.ClaimResult{
		State: sta,
	}
}

func (set *Set) holds(old *claim, vm string, incarnation, attempt uint64) bool {
	hol := set.names[old.holder]
	return old.attempt == attempt && hol.VM == vm && hol.Incarnation == incarnation
}

func (set *Set) holderID(hol holder) uint32 {
	id, ok := set.holders[hol]
	if !ok {
		id = uint32(len(set.names))
		set.names = append(set.names, hol)
		set.holders[hol] = id
	}
	return id
}

// fingerprintOf hashes the fields that a resend repeats, each with its length.
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

// Settle records how an attempt ended. Only the holder's attempt settles a claim, and the first outcome stays, but for one
// case: an outcome that was unknown becomes known when the holder reports that the request ran. A request that was
// reported as unknown is never released to run again. The error has the kind VersionConflict.
func (set *Set) Settle(cmd *fpwire.Settle) error {
	id, _, err := parseKey(cmd.GetIdempotencyKey())
	if err != nil {
		return err
	}
	old := set.claims[id]
	if old == nil {
		return fperror.New(fperror.VersionConflict, "idempotency key %s is not claimed", id)
	}
	if !set.holds(old, cmd.GetHolder(), cmd.GetHolderIncarnation(), cmd.GetAttempt()) {
		return fperror.New(fperror.VersionConflict, "idempotency key %s is claimed by another attempt", id)
	}
	switch {
	case old.state == settled:
	case cmd.GetOutcome() == fpwire.Outcome_OUTCOME_RAN:
		old.state = settled
		set.keep(id, old, cmd.GetAnswer())
	case old.state == unknown:
	case cmd.GetOutcome() == fpwire.Outcome_OUTCOME_NOT_RUN:
		delete(set.claims, id)
	default:
		old.state = unknown
	}
	return nil
}

// keep stores the answer. The oldest answers are dropped when all answers together are too large; their outcome stays.
func (set *Set) keep(id uuid.UUID, cla *claim, ans *fpwire.Answer) {
	if ans == nil || ans.GetOmitted() || len(ans.GetBody()) > MaxAnswer {
		return
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(ans)
	if err != nil || len(data) > 2*MaxAnswer {
		return
	}
	cla.answer = data
	set.answered = append(set.answered, id)
	set.answerBytes += len(data)
	for set.answerBytes > set.cfg.AnswerBytes && len(set.answered) > 0 {
		set.drop(set.claims[set.answered[0]])
		set.answered = set.answered[1:]
	}
}

func (set *Set) drop(cla *claim) {
	if cla == nil {
		return
	}
	set.answerBytes -= len(cla.answer)
	cla.answer = nil
}

// ExpireClaims removes the claims whose key is older than before and refuses such keys from now on. Removal and refusal
// go together, so a removed claim can never be granted again.
func (set *Set) ExpireClaims(cmd *fpwire.ExpireClaims) {
	if cmd.GetBeforeMs() <= set.floorMS {
		return
	}
	set.floorMS = cmd.GetBeforeMs()
	used := make([]bool, len(set.names))
	for id, cla := range set.claims {
		if int64(binary.BigEndian.Uint64(id[:8])>>16) < set.floorMS {
			set.drop(cla)
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

// compactHolders forgets holders without claims.
func (set *Set) compactHolders(used []bool) {
	move := make([]uint32, len(used))
	var names []holder
	for id, hol := range set.names {
		if !used[id] {
			delete(set.holders, hol)
			continue
		}
		move[id] = uint32(len(names))
		set.holders[hol] = move[id]
		names = append(names, hol)
	}
	for _, cla := range set.claims {
		cla.holder = move[cla.holder]
	}
	set.names = names
}
