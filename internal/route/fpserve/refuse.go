package fpserve

import (
	"math"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
)

// The headers that describe an error in an answer.
const (
	outcomeHeader = "Foxtailpulley-Outcome"
	errorHeader   = "Foxtailpulley-Error"
)

// ranError is the error of a request that certainly ran.
type ranError struct {
	error
}

// Unwrap returns the wrapped error.
func (err *ranError) Unwrap() error { return err.error }

// outcomeOf returns the outcome of a request that is answered with err.
func outcomeOf(err error) fperror.Outcome {
	var ran *ranError
	if errors.As(err, &ran) {
		return fperror.Ran
	}
	return fperror.KindOf(err).Answer().Outcome()
}

// retryAfterError is the error of a request that the caller should send again after some time.
type retryAfterError struct {
	error
	after time.Duration
}

// Unwrap returns the wrapped error.
func (err *retryAfterError) Unwrap() error { return err.error }

// WithRetryAfter returns an error of the same kind. The answer to the caller asks for a retry after the given time, in the
// header Retry-After in whole seconds.
func WithRetryAfter(err error, after time.Duration) error {
	return &retryAfterError{
		error: err,
		after: after,
	}
}

// refuse answers a call with an error in the protocol of the call.
func (ser *Server) refuse(wri http.ResponseWriter, req *http.Request, err error) {
	ser.cfg.Count(fperror.KindOf(err).String())
	writeRefusal(ser.errors, wri, req, err)
}

func writeRefusal(errorWriter *connect.ErrorWriter, wri http.ResponseWriter, req *http.Request, err error) {
	kin := fperror.KindOf(err)
	hea := wri.Header()
	hea[outcomeHeader] = []string{outcomeOf(err).String()}
	hea[errorHeader] = []string{kin.String()}
	var retry *retryAfterError
	if errors.As(err, &retry) {
		hea["Retry-After"] = []string{strconv.FormatInt(int64(math.Ceil(retry.after.Seconds())), 10)}
	}
	_ = errorWriter.Write(wri, req, connect.NewError(kin.Answer().Code(), err))
}

// abort ends an answer that has begun but cannot be completed, so that the caller does not take it for a complete one.
// gRPC gets an error status in the trailers. For any other protocol, and HTTP/1.0, which has no trailers, the connection or stream is
// reset.
func (exc *exchange) abort(err error) {
	kin := fperror.KindOf(err)
	exc.ser.cfg.Count(kin.String())
	if exc.cal.protocol.framing != grpc || !exc.req.ProtoAtLeast(1, 1) {
		panic(http.ErrAbortHandler)
	}
	hea := exc.wri.Header()
	hea[http.TrailerPrefix+"Grpc-Status"] = []string{strconv.Itoa(int(kin.Answer().Code()))}
	hea[http.TrailerPrefix+"Grpc-Message"] = []string{url.PathEscape(err.Error())}
	hea[http.TrailerPrefix+outcomeHeader] = []string{outcomeOf(err).String()}
	hea[http.TrailerPrefix+errorHeader] = []string{kin.String()}
}
