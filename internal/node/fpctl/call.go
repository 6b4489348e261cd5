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

// errorHeader is the response header that carries the error kind.
const errorHeader = "Foxtailpulley-Error"

// sender sends requests to a list of operator addresses, trying them in order.
type sender struct {
	addresses []string
	// timeout bounds the request to one address.
	timeout time.Duration
	// dial returns a client for an address after checking that the server accepts connections of this process.
	dial func(ctx context.Context, address string) (fpoperatorconnect.OperatorServiceClient, error)
}

func newSender(cfg fptls.ClientConfig, addresses []string, timeout time.Duration) *sender {
	client := fptls.NewClient(cfg)
	scheme := "https://"
	if cfg.Store == nil {
		scheme = "http://"
	}
	return &sender{
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

// effect describes whether a request can be sent again if no response is received.
type effect int

const (
	// readOnly requests change nothing.
	readOnly effect = iota
	// idempotent requests carry a request id. If such a request is sent again, the response is that of the first one.
	idempotent
	// nonIdempotent requests carry no request id. They are sent to another VM only if they are known not to have run.
	nonIdempotent
)

// callError is the error of a request to an address, with the effect of the request.
type callError struct {
	cause   error
	effect  effect
	address string
}

func (err *callError) Error() string { return err.address + ": " + errorMessage(err.cause) }

func (err *callError) Unwrap() error { return err.cause }

// send sends a request to one address after the other until one succeeds or an error excludes further attempts. wait is
// added to the timeout of the sender.
func send[T any](
	ctx context.Context,
	snd *sender,
	eff effect,
	wait time.Duration,
	call func(ctx context.Context, cli fpoperatorconnect.OperatorServiceClient) (*connect.Response[T], error),
) (*T, error) {
	var last *callError
	for _, address := range snd.addresses {
		res, err := sendTo(ctx, snd, address, wait, call)
		if err == nil {
			return res.Msg, nil
		}
		last = mergeErrors(last, &callError{
			cause:   err,
			effect:  eff,
			address: address,
		})
		if ctx.Err() != nil || !shouldTryNext(err, eff) {
			break
		}
	}
	return nil, last
}

// mergeErrors returns the error to report after two attempts of a request. An earlier error with an unknown outcome is kept
// unless the later error determines the outcome. A conflict and an invalid configuration determine it, because they also
// apply to the earlier attempt. If the later VM is unavailable or denies access, the outcome of the earlier attempt stays
// unknown. last is nil for the first attempt.
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

// sendTo sends a request to one address. An error of a request of which nothing was sent is an unsentError.
func sendTo[T any](
	ctx context.Context,
	snd *sender,
	address string,
	wait time.Duration,
	call func(ctx context.Context, cli fpoperatorconnect.OperatorServiceClient) (*connect.Response[T], error),
) (*connect.Response[T], error) {
	ctx, cancel := context.WithTimeout(ctx, snd.timeout+wait)
	defer cancel()
	cli, err := snd.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return markUnsent(ctx, func(ctx context.Context) (*connect.Response[T], error) { return call(ctx, cli) })
}

// markUnsent sends a request. If nothing was sent, the error is an unsentError.
func markUnsent[T any](ctx context.Context, call func(ctx context.Context) (*connect.Response[T], error)) (*connect.Response[T], error) {
	var wrote atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteHeaders: func() { wrote.Store(true) },
	})
	res, err := call(ctx)
	if err != nil && !wrote.Load() {
		err = &unsentError{
			cause: err,
		}
	}
	return res, err
}

// unsentError is the error of a request whose header was not written, so that the request cannot have run.
type unsentError struct {
	cause error
}

func (err *unsentError) Error() string { return err.cause.Error() }

func (err *unsentError) Unwrap() error { return err.cause }

// shouldTryNext reports whether a failed request may be sent to the next address and may succeed there. The code Canceled
// is included because connect returns it if a connection breaks while a request is written.
func shouldTryNext(err error, eff effect) bool {
	switch connect.CodeOf(err) {
	case connect.CodeUnavailable, connect.CodeDeadlineExceeded, connect.CodeUnknown, connect.CodeAborted, connect.CodeCanceled:
		return eff != nonIdempotent || isNotRun(err)
	default:
		return false
	}
}

// isNotRun reports whether a failed request is known not to have run: it was not sent, or the error kind of the response
// means that it did not run.
func isNotRun(err error) bool {
	var unsent *unsentError
	if errors.As(err, &unsent) {
		return true
	}
	kin, ok := kindOf(err)
	return ok && kin.Answer().Outcome() == fperror.NotRun
}

// kindOf returns the error kind of a response, or of an error that occurred in this process, and whether there is one.
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

// errorName returns the error kind, or the status code if there is no kind, or "failed" if there is neither.
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

// errorMessage returns the text of an error without its status code.
func errorMessage(err error) string {
	var call *callError
	if errors.As(err, &call) {
		return call.address + ": " + errorMessage(call.cause)
	}
	var answer *connect.Error
	if errors.As(err, &answer) {
		return answer.Message()
	}
	return err.Error()
}

// exitCode returns the exit code for an error of a command.
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

// localExitCode returns the exit code for an error that occurred before a request was sent.
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
