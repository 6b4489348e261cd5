package fpserve

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

// finish sends what is left of a whole answer.
func (exc *exchange) finish() {
	ans := exc.answer
	if ans == nil {
		return // a recorded answer was sent
	}
	if exc.started {
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
	ans.free()
}

// announceTrailer names the trailers before the body, because net/http does not reliably send others after an empty body.
func announceTrailer(hea, trailer http.Header) {
	for name := range trailer {
		if !hopHeaders[name] && !strings.HasPrefix(name, ownPrefix) {
			hea["Trailer"] = append(hea["Trailer"], name)
		}
	}
	hea["Trailer"] = append(hea["Trailer"], outcomeHeader)
}

// writeTrailer sets the trailers after the body, and the outcome when the status in them is an error.
func writeTrailer(hea, trailer http.Header, prefix string) {
	for name, values := range trailer {
		if !hopHeaders[name] && !strings.HasPrefix(name, ownPrefix) {
			hea[prefix+name] = values
		}
	}
	if status := trailer["Grpc-Status"]; len(status) > 0 && status[0] != "0" {
		hea[prefix+outcomeHeader] = []string{fperror.Ran.String()}
	}
}

// setOutcome adds the outcome to an error that the upstream itself answered. An error that is not in the form of the
// protocol may come from a part of the upstream that never ran the request.
func (exc *exchange) setOutcome(ans *answer) {
	res := ans.res
	out := ""
	switch exc.cal.protocol.form {
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

// free returns the buffer of a small answer.
func (ans *answer) free() {
	if ans.buf.Cap() <= maxPooled {
		buffers.Put(ans.buf)
	}
	ans.buf = nil
}

// replay sends a recorded answer. The answer of a call that ended with a larger one is lost, but not its outcome.
func (exc *exchange) replay(rec *fpwire.Answer) error {
	exc.ser.cfg.Count("replayed")
	if rec == nil || rec.GetOmitted() {
		return &ranError{
			error: fperror.New(fperror.OutcomeUnknown, "the request ran; its answer is no longer available"),
		}
	}
	hea := exc.wri.Header()
	trailer := headerOf(rec.GetTrailer())
	for name, values := range headerOf(rec.GetHeader()) {
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

func headerOf(fields []*fpwire.HeaderField) http.Header {
	hea := http.Header{}
	for _, fie := range fields {
		hea.Add(fie.GetName(), fie.GetValue())
	}
	return hea
}
