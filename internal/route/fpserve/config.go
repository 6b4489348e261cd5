// Package fpserve is the forwarding path of an entry VM: it serves callers and forwards their requests to upstreams.
//
// A request passes through accept (accept.go), the loop over attempts (exchange.go), one attempt (attempt.go) and the answer
// (answer.go). Errors become answers in refuse.go. Bodies are forwarded byte for byte.
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

// maxDeadline bounds the deadline of a request unless the service's configuration says otherwise.
const maxDeadline = 30 * time.Second

// Config configures a Server with the parts of the router that it consults. A nil function is replaced by one that does
// the least: it finds nothing, refuses claims, admits all and allows no retry.
type Config struct {
	// Pools holds the connections to upstreams. It is required.
	Pools *fpconn.Pools
	// Schema returns the schema in force, or nil.
	Schema func() *fpschema.Schema
	// MaxDeadline returns the largest deadline of a service's requests.
	MaxDeadline func(service string) time.Duration
	// Route returns the owner of a keyed call and counts the call as in flight on its slot until Target.Done.
	Route func(ctx context.Context, cal *Call) (*Target, error)
	// Choose returns an upstream for a call that is not keyed. Call.Tried lists those that failed before.
	Choose func(ctx context.Context, cal *Call) (*Target, error)
	// Admit waits for a place on an upstream. The function that it returns takes the result, once.
	Admit func(ctx context.Context, cal *Call, tar *Target) (func(Result), error)
	// Retry asks for permission to try again after err, and returns the delay before the next attempt. pushBack is the
	// wait that the upstream asked for.
	Retry func(cal *Call, err error, pushBack time.Duration) (delay time.Duration, ok bool)
	// Succeeded is told of each complete answer.
	Succeeded func(cal *Call)
	// Claim commits a claim. The fields of the message that this package does not know are empty: slot, holder,
	// holder_incarnation and now_ms. Call.ClaimKey gives the slot.
	Claim func(ctx context.Context, cal *Call, cla *fpwire.Claim) (*fpwire.ClaimResult, error)
	// Settle commits how a claimed call ended. The holder's fields are empty.
	Settle func(ctx context.Context, cal *Call, set *fpwire.Settle) error
	// ReportCrash reports that an upstream ended its connection while the call was in flight, and returns whether the
	// request is now quarantined. It returns at the latest when ctx ends.
	ReportCrash func(ctx context.Context, cal *Call, tar *Target) (quarantined bool, err error)
	// IsQuarantined reports whether the request may not be forwarded.
	IsQuarantined func(cal *Call) bool
	// Count increments a counter.
	Count func(name string)
}

// Target is an upstream to which an attempt may go.
type Target struct {
	// Upstream is the process that serves the request.
	Upstream *fpcontract.Upstream
	// Group, Slot and Epoch are the fence of a keyed call. Group is empty for others.
	Group string
	Slot  uint32
	Epoch uint64
	// Check is called right before the request is forwarded; an error stops it. Nil: no check.
	Check func() error
	// Changed returns a channel that is closed when the target is no longer the right one. A request that waits for a
	// connection to it then looks again. Nil: never.
	Changed func() <-chan struct{}
	// Done is called once, when the request no longer runs on the upstream, with the time that it took there, or 0 when
	// it did not run. The error is nil after a complete answer. Nil: not told.
	Done func(busy time.Duration, err error)
}

// Result is how one attempt ended.
type Result struct {
	// Err is nil after a complete answer. Otherwise fperror.KindOf gives its kind.
	Err error
	// Sent states that the request was forwarded. A result with neither Sent nor Err is that of a call that got a recorded
	// answer.
	Sent bool
	// Latency is the time from the start of the attempt to its end, 0 when nothing was sent.
	Latency time.Duration
	// PushBack is the wait that the upstream asked for.
	PushBack time.Duration
}

func (cfg *Config) setDefaults() {
	if cfg.Schema == nil {
		cfg.Schema = func() *fpschema.Schema { return nil }
	}
	if cfg.MaxDeadline == nil {
		cfg.MaxDeadline = func(string) time.Duration { return maxDeadline }
	}
	if cfg.Succeeded == nil {
		cfg.Succeeded = func(*Call) {}
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

// setClaimDefaults refuses claims when nobody commits them, because a call without a claim could run twice.
func (cfg *Config) setClaimDefaults() {
	if cfg.Claim == nil {
		cfg.Claim = func(context.Context, *Call, *fpwire.Claim) (*fpwire.ClaimResult, error) {
			return nil, fperror.New(fperror.ClaimUnavailable, "this VM has no claims")
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
