package fpctl

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"github.com/foxtailpulley/foxtailpulley/api/operator/fpoperator/fpoperatorconnect"
	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/node/fptls"
)

// The exit codes of foxtailctl, as listed in docs/operators.md.
const (
	ExitOK          = 0
	ExitFailure     = 1
	ExitUsage       = 2
	ExitInvalid     = 3
	ExitConflict    = 4
	ExitUnavailable = 5
	ExitUnconfirmed = 6
	ExitUnknown     = 7
	ExitDenied      = 8
)

// errorHeader carries the error kind of an answer.
const errorHeader = "Foxtailpulley-Error"

// caller sends requests to the addresses in turn.
type caller struct {
	addresses []string
	timeout   time.Duration
	// dial returns a client of an address that accepts connections of this process.
	dial func(ctx context.Context, address string) (fpoperatorconnect.OperatorServiceClient, error)
}

func newCaller(cfg fptls.ClientConfig, addresses []string, timeout time.Duration) *caller {
	client := fptls.NewClient(cfg)
	scheme := "https://"
	if cfg.Store == nil {
		scheme = "http://"
	}
	return &caller{
		addresses: addresses,
		timeout:   timeout,
		dial: func(ctx context.Context, address string) (fpoperatorconnect.OperatorServiceClient, error) {
			if err := fptls.Probe(ctx, cfg, address); err != nil {
				return nil, err
			}
			return fpoperatorconnect.NewOperatorServiceClient(client, scheme+address), nil
		},
	}
}

// effect states what a request may have done when its answer is lost.
type effect int

const (
	// readOnly requests change nothing.
	readOnly effect = iota
	// resendable requests carry a request id: another VM returns the first answer.
	resendable
	// changing requests carry none, so they go to another VM only when they certainly did not run.
	changing
)

// callError is the last error of a request, with its effect.
type callError struct {
	cause   error
	effect  effect
	address string
}

func (err *callError) Error() string { return err.address + ": " + message(err.cause) }

func (err *callError) Unwrap() error { return err.cause }

// send calls one address after the other until one answers for good.
func send[T any](
	ctx context.Context,
	cal *caller,
	eff effect,
	wait time.Duration,
	call func(ctx context.Context, cli fpoperatorconnect.OperatorServiceClient) (*connect.Response[T], error),
) (*T, error) {
	var last *callError
	for _, address := range cal.addresses {
		res, err := sendOne(ctx, cal, address, wait, call)
		if err == nil {
			return res.Msg, nil
		}
		last = mergeErrors(last, &callError{
			cause:   err,
			effect:  eff,
			address: address,
		})
		if ctx.Err() != nil || !triesNext(err, eff) {
			break
		}
	}
	return nil, last
}

// mergeErrors keeps an error after which the outcome is unknown, unless a later answer decides it. A conflict and an
// invalid configuration decide it, because both also hold for the earlier request. A VM that is unavailable or denies
// access says nothing about the earlier request.
func mergeErrors(last, next *callError) *callError {
	if last == nil || exitCode(last) != ExitUnknown {
		return next
	}
	switch exitCode(next) {
	case ExitConflict, ExitInvalid:
		return next
	default:
		return last
	}
}

func sendOne[T any](
	ctx context.Context,
	cal *caller,
	address string,
	wait time.Duration,
	call func(ctx context.Context, cli fpoperatorconnect.OperatorServiceClient) (*connect.Response[T], error),
) (*connect.Response[T], error) {
	ctx, cancel := context.WithTimeout(ctx, cal.timeout+wait)
	defer cancel()
	cli, err := cal.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	var wrote atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteHeaders: func() { wrote.Store(true) },
	})
	res, err := call(ctx, cli)
	if err != nil && !wrote.Load() {
		err = &unsentError{
			cause: err,
		}
	}
	return res, err
}

// unsentError marks a request of which not even the header was written, so it certainly did not run.
type unsentError struct {
	cause error
}

func (err *unsentError) Error() string { return err.cause.Error() }

func (err *unsentError) Unwrap() error { return err.cause }

// triesNext reports whether another VM may answer better and may be asked. Canceled is among the codes because connect
// returns it for a connection that breaks while a request is written.
func triesNext(err error, eff effect) bool {
	switch connect.CodeOf(err) {
	case connect.CodeUnavailable, connect.CodeDeadlineExceeded, connect.CodeUnknown, connect.CodeAborted, connect.CodeCanceled:
		return eff != changing || isNotRun(err)
	default:
		return false
	}
}

// isNotRun reports whether a failed request certainly changed nothing: it was never sent, or the answer carries an error
// kind that says so.
func isNotRun(err error) bool {
	var unsent *unsentError
	if errors.As(err, &unsent) {
		return true
	}
	kin, ok := kindOf(err)
	return ok && kin.Answer().Outcome() == fperror.NotRun
}

// kindOf returns the error kind of an answer, or of an error made on this side of the connection.
func kindOf(err error) (fperror.Kind, bool) {
	var answer *connect.Error
	if errors.As(err, &answer) {
		if kin, ok := fperror.Parse(answer.Meta().Get(errorHeader)); ok {
			return kin, true
		}
	}
	var local *fperror.Error
	if errors.As(err, &local) {
		return local.Kind(), true
	}
	return fperror.Internal, false
}

// errorName returns the error kind, or else the status code.
func errorName(err error) string {
	if kin, ok := kindOf(err); ok {
		return kin.String()
	}
	var answer *connect.Error
	if errors.As(err, &answer) {
		return answer.Code().String()
	}
	return "failed"
}

// message returns the text of an error without the status code.
func message(err error) string {
	var call *callError
	if errors.As(err, &call) {
		return call.address + ": " + message(call.cause)
	}
	var answer *connect.Error
	if errors.As(err, &answer) {
		return answer.Message()
	}
	return err.Error()
}

func exitCode(err error) int {
	var call *callError
	if !errors.As(err, &call) {
		return localExitCode(err)
	}
	code := connect.CodeOf(call.cause)
	if kin, ok := kindOf(call.cause); ok {
		code = kin.Answer().Code()
	}
	switch code {
	case connect.CodeInvalidArgument:
		return ExitInvalid
	case connect.CodeFailedPrecondition, connect.CodeAlreadyExists:
		return ExitConflict
	case connect.CodePermissionDenied, connect.CodeUnauthenticated:
		return ExitDenied
	case connect.CodeUnavailable, connect.CodeDeadlineExceeded, connect.CodeUnknown, connect.CodeAborted, connect.CodeCanceled,
		connect.CodeInternal, connect.CodeDataLoss:
		if call.effect == readOnly || isNotRun(call.cause) {
			return ExitUnavailable
		}
		return ExitUnknown
	default:
		return ExitFailure
	}
}

// localExitCode returns the code of an error that occurred before anything was sent.
func localExitCode(err error) int {
	switch fperror.KindOf(err) {
	case fperror.InvalidRequest:
		return ExitUsage
	case fperror.InvalidConfiguration:
		return ExitInvalid
	default:
		return ExitFailure
	}
}
