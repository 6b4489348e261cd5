// Package fpserve is the forwarding path of an entry VM: it serves callers over Connect, gRPC and HTTP with JSON, and
// forwards their requests to upstreams.
//
// A request is validated in accept.go. exchange.go repeats attempts, attempt.go makes one, and answer.go reads the
// answer. refuse.go answers with errors. Bodies are forwarded byte for byte.
package fpserve

import (
	"context"
	"time"

	"github.com/foxtailpulley/foxtailpulley/api/upstream/fpcontract"
	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/config/fpschema"
	"github.com/foxtailpulley/foxtailpulley/internal/upstream/fpconn"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

// maxDeadline is the default of Config.MaxDeadline.
const maxDeadline = 30 * time.Second

// Config configures a Server. All fields but Pools may be nil. A nil function is replaced by a default: Route and Choose
// find no upstream, Claim refuses, Retry allows no retry, Admit admits at once, MaxDeadline returns 30 s, and the others
// do nothing and return zero values.
type Config struct {
	// Pools holds the connections to upstreams. It is required.
	Pools *fpconn.Pools
	// Schema returns the schema in force, or nil if there is none yet.
	Schema func() *fpschema.Schema
	// MaxDeadline returns the largest timeout of a service's requests.
	MaxDeadline func(service string) time.Duration
	// Route returns the owner of the key of a keyed call. The call counts as in flight on its slot until Target.Done is
	// called.
	Route func(ctx context.Context, cal *Call) (*Target, error)
	// Choose returns an upstream for an unkeyed call. Call.TriedUpstreams lists the upstreams that were tried before.
	Choose func(ctx context.Context, cal *Call) (*Target, error)
	// Admit waits for a permit to send the call to the upstream. The returned function returns the permit. It must be
	// called once, with the result of the attempt.
	Admit func(ctx context.Context, cal *Call, tar *Target) (func(Result), error)
	// ObserveRate is called after each answer of an upstream to a request sent at the given time. rate is the text of the
	// request rate that the upstream names for all VMs together, and named is false if it names none.
	ObserveRate func(tar *Target, sent time.Time, rate string, named bool)
	// ObserveLeaving is called for each answer by which an upstream says that it leaves.
	ObserveLeaving func(tar *Target)
	// Retry reports whether the call may be attempted again after err, and returns the delay before that attempt.
	// pushBack is the wait that the upstream asked for, or 0.
	Retry func(cal *Call, err error, pushBack time.Duration) (delay time.Duration, ok bool)
	// ReportSuccess is called after each complete answer of an upstream.
	ReportSuccess func(cal *Call)
	// Claim commits a claim and returns its state. The message has no slot, holder, holder_incarnation and now_ms,
	// because this package does not know them. Call.ClaimKey determines the slot.
	Claim func(ctx context.Context, cal *Call, cla *fpwire.Claim) (*fpwire.ClaimResult, error)
	// Settle commits the outcome of a claimed call. The message has no holder and holder_incarnation.
	Settle func(ctx context.Context, cal *Call, set *fpwire.Settle) error
	// ReportCrash reports that an upstream ended its connection while the call was in flight, and returns whether the
	// request is quarantined now. It must return at the latest when ctx ends.
	ReportCrash func(ctx context.Context, cal *Call, tar *Target) (quarantined bool, err error)
	// IsQuarantined reports whether the request must not be forwarded because it is suspected of crashing upstreams.
	IsQuarantined func(cal *Call) bool
	// Count increments the counter with a name.
	Count func(name string)
}

// Target is an upstream for one attempt.
type Target struct {
	// Upstream is the process that serves the request. Nil: it has not been announced to this VM.
	Upstream *fpcontract.Upstream
	// Group, Slot and Epoch are the fence of a keyed call, by which the upstream checks that it owns the slot. Group is
	// empty if there is no fence.
	Group string
	Slot  uint32
	Epoch uint64
	// Check is called right before the request is forwarded. An error prevents that. Nil: no check.
	Check func() error
	// Changed returns a channel that is closed when the target is no longer valid. A request that waits for a connection
	// to it then fails with ConnectFailed, after which Retry may allow an attempt at a new target. Nil: the target does
	// not change.
	Changed func() <-chan struct{}
	// Done is called once, when the request no longer runs on the upstream. busy is the time since the request was sent,
	// or 0 if it did not run. err is nil after a complete answer. Nil: not called.
	Done func(busy time.Duration, err error)
}

// Result describes how one attempt ended.
type Result struct {
	// Err is nil after a complete answer. Otherwise fperror.KindOf returns its kind.
	Err error
	// Sent reports whether the request was forwarded. If Sent is false and Err is nil, the call got a recorded answer,
	// or it waits because another attempt holds the claim.
	Sent bool
	// Latency is the time from the forwarding of the request to the end of the attempt, or 0 if nothing was sent.
	Latency time.Duration
	// PushBack is the wait that the upstream asked for, or 0.
	PushBack time.Duration
}

func (cfg *Config) setDefaults() {
	if cfg.Schema == nil {
		cfg.Schema = func() *fpschema.Schema { return nil }
	}
	if cfg.MaxDeadline == nil {
		cfg.MaxDeadline = func(string) time.Duration { return maxDeadline }
	}
	if cfg.ReportSuccess == nil {
		cfg.ReportSuccess = func(*Call) {}
	}
	if cfg.ObserveRate == nil {
		cfg.ObserveRate = func(*Target, time.Time, string, bool) {}
	}
	if cfg.ObserveLeaving == nil {
		cfg.ObserveLeaving = func(*Target) {}
	}
	if cfg.Count == nil {
		cfg.Count = func(string) {}
	}
	cfg.setChoiceDefaults()
	cfg.setClaimDefaults()
}

func (cfg *Config) setChoiceDefaults() {
	if cfg.Route == nil {
		cfg.Route = func(context.Context, *Call) (*Target, error) {
			return nil, fperror.New(fperror.NoOwner, "this VM has no slot table")
		}
	}
	if cfg.Choose == nil {
		cfg.Choose = func(context.Context, *Call) (*Target, error) {
			return nil, fperror.New(fperror.NoUpstream, "this VM has no list of upstreams")
		}
	}
	if cfg.Admit == nil {
		cfg.Admit = func(context.Context, *Call, *Target) (func(Result), error) {
			return func(Result) {}, nil
		}
	}
	if cfg.Retry == nil {
		cfg.Retry = func(*Call, error, time.Duration) (time.Duration, bool) { return 0, false }
	}
}

// setClaimDefaults makes Claim refuse by default, because a call without a claim could run twice.
func (cfg *Config) setClaimDefaults() {
	if cfg.Claim == nil {
		cfg.Claim = func(context.Context, *Call, *fpwire.Claim) (*fpwire.ClaimResult, error) {
			return nil, fperror.New(fperror.ClaimUnavailable, "this VM cannot commit claims")
		}
	}
	if cfg.Settle == nil {
		cfg.Settle = func(context.Context, *Call, *fpwire.Settle) error { return nil }
	}
	if cfg.ReportCrash == nil {
		cfg.ReportCrash = func(context.Context, *Call, *Target) (bool, error) { return false, nil }
	}
	if cfg.IsQuarantined == nil {
		cfg.IsQuarantined = func(*Call) bool { return false }
	}
}
