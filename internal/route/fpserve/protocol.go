package fpserve

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/config/fpschema"
)

// form is the way in which a protocol lays out bodies.
type form uint8

const (
	connectUnary form = iota
	connectStream
	grpc
)

// protocol is that of one call, as its Content-Type states it.
type protocol struct {
	form        form
	format      fpschema.Format
	contentType string
}

// protocols lists the content types that callers may use. gRPC-Web is not among them.
var protocols = map[string]protocol{
	"application/proto": {
		form:   connectUnary,
		format: fpschema.Proto,
	},
	"application/json": {
		form:   connectUnary,
		format: fpschema.JSON,
	},
	"application/connect+proto": {
		form:   connectStream,
		format: fpschema.Proto,
	},
	"application/connect+json": {
		form:   connectStream,
		format: fpschema.JSON,
	},
	"application/grpc": {
		form:   grpc,
		format: fpschema.Proto,
	},
	"application/grpc+proto": {
		form:   grpc,
		format: fpschema.Proto,
	},
	"application/grpc+json": {
		form:   grpc,
		format: fpschema.JSON,
	},
}

// protocolOf returns the protocol of a request.
func protocolOf(req *http.Request) (protocol, error) {
	typ, _, _ := strings.Cut(req.Header.Get("Content-Type"), ";")
	typ = strings.ToLower(strings.TrimSpace(typ))
	pro, ok := protocols[typ]
	if !ok || req.Method != http.MethodPost {
		return protocol{}, fperror.New(fperror.InvalidRequest, "%s with the content type %q is no call", req.Method, typ)
	}
	pro.contentType = typ
	return pro, nil
}

// enveloped reports whether messages carry a length prefix.
func (pro protocol) enveloped() bool { return pro.form != connectUnary }

// encoding returns the header that names the compression of the messages.
func (pro protocol) encoding() string {
	switch pro.form {
	case grpc:
		return "Grpc-Encoding"
	case connectStream:
		return "Connect-Content-Encoding"
	default:
		return "Content-Encoding"
	}
}

// grpcUnits are the units of Grpc-Timeout.
var grpcUnits = map[byte]time.Duration{
	'H': time.Hour,
	'M': time.Minute,
	'S': time.Second,
	'm': time.Millisecond,
	'u': time.Microsecond,
	'n': time.Nanosecond,
}

// Both protocols bound the digits of a timeout: gRPC to 8, Connect to 10.
const (
	grpcTimeoutDigits    = 8
	connectTimeoutDigits = 10
)

// timeout returns the timeout of a request, or 0 when it has none.
func (pro protocol) timeout(hea http.Header) (time.Duration, error) {
	if pro.form != grpc {
		return parseTimeout(hea.Get("Connect-Timeout-Ms"), time.Millisecond, connectTimeoutDigits)
	}
	val := hea.Get("Grpc-Timeout")
	if val == "" {
		return 0, nil
	}
	unit, ok := grpcUnits[val[len(val)-1]]
	if !ok {
		return 0, fperror.New(fperror.InvalidRequest, "the timeout %q has no unit", val)
	}
	return parseTimeout(val[:len(val)-1], unit, grpcTimeoutDigits)
}

// parseTimeout returns at most 24 h, since a service's largest deadline bounds it further. A timeout of zero, which has
// passed already, becomes the shortest one.
func parseTimeout(digits string, unit time.Duration, most int) (time.Duration, error) {
	if digits == "" && unit == time.Millisecond {
		return 0, nil
	}
	num, err := strconv.ParseUint(digits, 10, 63)
	if err != nil || len(digits) > most {
		return 0, fperror.New(fperror.InvalidRequest, "the timeout %q is not valid", digits)
	}
	const day = 24 * time.Hour
	if num >= uint64(day/unit) {
		return day, nil
	}
	return max(time.Duration(num)*unit, time.Nanosecond), nil
}

// setTimeout writes the time that remains, rounded down so that the upstream never runs longer than the caller waits.
func (pro protocol) setTimeout(hea http.Header, rest time.Duration) {
	millis := strconv.FormatInt(max(rest.Milliseconds(), 1), 10)
	if pro.form == grpc {
		hea["Grpc-Timeout"] = []string{millis + "m"}
		return
	}
	hea["Connect-Timeout-Ms"] = []string{millis}
}
