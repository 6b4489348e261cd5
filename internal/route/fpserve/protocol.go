package fpserve

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/config/fpschema"
)

// framing is how a protocol encodes messages in a body.
type framing uint8

const (
	connectUnary framing = iota
	connectStream
	grpc
)

// protocol describes the protocol of one call, according to its Content-Type.
type protocol struct {
	framing     framing
	format      fpschema.Format
	contentType string
}

// protocols lists the supported content types. gRPC-Web is not supported.
var protocols = map[string]protocol{
	"application/proto": {
		framing: connectUnary,
		format:  fpschema.Proto,
	},
	"application/json": {
		framing: connectUnary,
		format:  fpschema.JSON,
	},
	"application/connect+proto": {
		framing: connectStream,
		format:  fpschema.Proto,
	},
	"application/connect+json": {
		framing: connectStream,
		format:  fpschema.JSON,
	},
	"application/grpc": {
		framing: grpc,
		format:  fpschema.Proto,
	},
	"application/grpc+proto": {
		framing: grpc,
		format:  fpschema.Proto,
	},
	"application/grpc+json": {
		framing: grpc,
		format:  fpschema.JSON,
	},
}

// protocolOf returns the protocol of a request.
func protocolOf(req *http.Request) (protocol, error) {
	typ, _, _ := strings.Cut(req.Header.Get("Content-Type"), ";")
	typ = strings.ToLower(strings.TrimSpace(typ))
	pro, ok := protocols[typ]
	if !ok || req.Method != http.MethodPost {
		return protocol{}, fperror.New(fperror.InvalidRequest, "%s with the content type %q is not supported; a call is a POST with a content type of Connect or gRPC", req.Method, typ)
	}
	pro.contentType = typ
	return pro, nil
}

// enveloped reports whether messages carry a length prefix.
func (pro protocol) enveloped() bool { return pro.framing != connectUnary }

// encodingHeader returns the name of the header that states the compression of the messages.
func (pro protocol) encodingHeader() string {
	switch pro.framing {
	case grpc:
		return "Grpc-Encoding"
	case connectStream:
		return "Connect-Content-Encoding"
	default:
		return "Content-Encoding"
	}
}

// grpcTimeoutUnits maps the unit characters of the Grpc-Timeout header to durations.
var grpcTimeoutUnits = map[byte]time.Duration{
	'H': time.Hour,
	'M': time.Minute,
	'S': time.Second,
	'm': time.Millisecond,
	'u': time.Microsecond,
	'n': time.Nanosecond,
}

// The protocols limit the number of digits of a timeout.
const (
	grpcTimeoutDigits    = 8
	connectTimeoutDigits = 10
)

// timeout returns the timeout of a request, or 0 if it has none.
func (pro protocol) timeout(hea http.Header) (time.Duration, error) {
	if pro.framing != grpc {
		return parseTimeout(hea.Get("Connect-Timeout-Ms"), time.Millisecond, connectTimeoutDigits)
	}
	val := hea.Get("Grpc-Timeout")
	if val == "" {
		return 0, nil
	}
	unit, ok := grpcTimeoutUnits[val[len(val)-1]]
	if !ok {
		return 0, fperror.New(fperror.InvalidRequest, "the timeout %q has no valid unit", val)
	}
	return parseTimeout(val[:len(val)-1], unit, grpcTimeoutDigits)
}

// parseTimeout returns at most 24 h, because the service's largest deadline bounds the timeout further. A timeout of
// zero, which has already passed, becomes 1 ns, because 0 means that the request has no timeout. maxDigits is the
// largest number of digits.
func parseTimeout(digits string, unit time.Duration, maxDigits int) (time.Duration, error) {
	if digits == "" && unit == time.Millisecond {
		return 0, nil
	}
	num, err := strconv.ParseUint(digits, 10, 63)
	if err != nil || len(digits) > maxDigits {
		return 0, fperror.New(fperror.InvalidRequest, "the timeout %q is not valid", digits)
	}
	const day = 24 * time.Hour
	if num >= uint64(day/unit) {
		return day, nil
	}
	return max(time.Duration(num)*unit, time.Nanosecond), nil
}

// setTimeout sets the timeout to the remaining time. It is rounded down to milliseconds, but to no less than 1 ms, so
// that the upstream does not run longer than the caller waits.
func (pro protocol) setTimeout(hea http.Header, remaining time.Duration) {
	millis := strconv.FormatInt(max(remaining.Milliseconds(), 1), 10)
	if pro.framing == grpc {
		hea["Grpc-Timeout"] = []string{millis + "m"}
		return
	}
	hea["Connect-Timeout-Ms"] = []string{millis}
}
