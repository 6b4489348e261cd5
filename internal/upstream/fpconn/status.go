package fpconn

import (
	"net/http"
	"net/http/httptrace"
	"net/textproto"

	"github.com/cockroachdb/errors"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
)

// maxInformational is the number of informational answers (status 1xx) that may precede an answer. Usual are one or two; net/http
// takes as many as the upstream sends until the deadline, if they are short.
const maxInformational = 16

// errTooManyInformational ends the attempt of a request.
var errTooManyInformational = errors.New("too many informational answers")

// CheckStatus returns an error of kind UpstreamLost for an answer whose status is none: net/http accepts all numbers of three
// digits. 101 is refused, too, because no request to an upstream asks for another protocol.
func CheckStatus(res *http.Response) error {
	if res.StatusCode < http.StatusOK || res.StatusCode > 599 {
		return fperror.New(fperror.UpstreamLost, "the status %03d of an answer is invalid", res.StatusCode)
	}
	return nil
}

// boundInformational returns the request with a bound on the number of informational answers to it.
func boundInformational(req *http.Request) *http.Request {
	count := 0
	return req.WithContext(httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
		Got1xxResponse: func(int, textproto.MIMEHeader) error {
			if count++; count > maxInformational {
				return errTooManyInformational
			}
			return nil
		},
	}))
}
