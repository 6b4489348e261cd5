package fpserve

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

// sendAnswer sends what has not been sent of a complete answer.
func (exc *exchange) sendAnswer() {
	ans := exc.answer
	if ans == nil {
		return // a recorded answer has been sent
	}
	if exc.answerStarted {
		writeTrailer(exc.wri.Header(), ans.res.Trailer, http.TrailerPrefix)
		return
	}
	hea := exc.wri.Header()
	copyHeader(hea, ans.res.Header)
	exc.setOutcome(ans)
	if len(ans.res.Trailer) == 0 {
		hea["Content-Length"] = []string{strconv.Itoa(ans.buf.Len())}
	} else {
		announceTrailer(hea, ans.res.Trailer)
	}
	exc.wri.WriteHeader(ans.res.StatusCode)
	_, _ = exc.wri.Write(ans.buf.Bytes())
	writeTrailer(hea, ans.res.Trailer, "")
	ans.releaseBuffer()
}

// announceTrailer lists the trailers in the Trailer header, because net/http does not reliably send undeclared ones
// after an empty body.
func announceTrailer(hea, trailer http.Header) {
	for name := range trailer {
		if !hopByHopHeaders[name] && !strings.HasPrefix(name, routerHeaderPrefix) {
			hea["Trailer"] = append(hea["Trailer"], name)
		}
	}
	hea["Trailer"] = append(hea["Trailer"], outcomeHeader)
}

// writeTrailer sets the trailers after the body. If the gRPC status is an error, it adds the outcome ran.
func writeTrailer(hea, trailer http.Header, prefix string) {
	for name, values := range trailer {
		if !hopByHopHeaders[name] && !strings.HasPrefix(name, routerHeaderPrefix) {
			hea[prefix+name] = values
		}
	}
	if status := trailer["Grpc-Status"]; len(status) > 0 && status[0] != "0" {
		hea[prefix+outcomeHeader] = []string{fperror.Ran.String()}
	}
}

// setOutcome sets the outcome of an error that the upstream itself answered. An error that is not in the form of the
// protocol may come from a part of the upstream that never ran the request, so its outcome is unknown.
func (exc *exchange) setOutcome(ans *answer) {
	res := ans.res
	out := ""
	switch exc.cal.protocol.framing {
	case connectUnary:
		if res.StatusCode == http.StatusOK {
			return
		}
		out = fperror.Unknown.String()
		if strings.HasPrefix(res.Header.Get("Content-Type"), "application/json") {
			out = fperror.Ran.String()
		}
	case grpc:
		if status := res.Header["Grpc-Status"]; len(status) > 0 && status[0] != "0" {
			out = fperror.Ran.String()
		}
	}
	if out != "" {
		exc.wri.Header()[outcomeHeader] = []string{out}
	}
}

// releaseBuffer returns the buffer of a small answer to the pool.
func (ans *answer) releaseBuffer() {
	if ans.buf.Cap() <= maxPooledBytes {
		bufferPool.Put(ans.buf)
	}
	ans.buf = nil
}

// replay sends a recorded answer. If the answer was too large to be recorded, it returns an error with the outcome ran.
func (exc *exchange) replay(rec *fpwire.Answer) error {
	exc.ser.cfg.Count("replayed")
	if rec == nil || rec.GetOmitted() {
		return &ranError{
			error: fperror.New(fperror.OutcomeUnknown, "the request ran; its answer is no longer available"),
		}
	}
	hea := exc.wri.Header()
	trailer := headerFromFields(rec.GetTrailer())
	for name, values := range headerFromFields(rec.GetHeader()) {
		hea[name] = values
	}
	if len(trailer) > 0 {
		announceTrailer(hea, trailer)
	}
	exc.wri.WriteHeader(int(rec.GetStatus()))
	_, _ = exc.wri.Write(rec.GetBody())
	writeTrailer(hea, trailer, "")
	return nil
}

func headerFromFields(fields []*fpwire.HeaderField) http.Header {
	hea := http.Header{}
	for _, fie := range fields {
		hea.Add(fie.GetName(), fie.GetValue())
	}
	return hea
}
