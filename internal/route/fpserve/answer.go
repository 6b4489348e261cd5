package fpserve

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

// maxPooled is the capacity up to which the buffer of an answer is used again.
const maxPooled = 64 << 10

// buffers holds buffers for small answers.
var buffers = sync.Pool{
	New: func() any { return &bytes.Buffer{} },
}

// answer is the answer of an upstream on its way to the caller.
type answer struct {
	att *attempt
	res *http.Response
	env envelopes
	// buf holds a small answer, which is read to its end before the caller gets any of it. Therefore a truncated one can
	// still be replaced by an error or by another attempt.
	buf *bytes.Buffer
	// kept is the beginning of a streamed answer, for the record of its claim.
	kept []byte
	size int64
}

// receive takes an answer whose headers have arrived.
func (att *attempt) receive(res *http.Response) (time.Duration, error) {
	defer res.Body.Close()
	if kin, ok := refusals[res.Header.Get("Foxtailpulley-Refused")]; ok {
		return att.refused(kin, res.Header)
	}
	ans := &answer{
		att: att,
		res: res,
	}
	if err := ans.checkHead(); err != nil {
		att.end(Result{Err: err})
		return 0, att.mayHaveRun(err)
	}
	if err := ans.take(); err != nil {
		return 0, att.lost(err)
	}
	att.exc.answer = ans
	att.exc.settleAnswer(ans.record)
	att.end(Result{})
	return 0, nil
}

// refusals are the values by which an upstream proves that the request did not run.
var refusals = map[string]fperror.Kind{
	"shed":     fperror.UpstreamShed,
	"fence":    fperror.UpstreamFenced,
	"draining": fperror.UpstreamDraining,
}

func (att *attempt) refused(kin fperror.Kind, hea http.Header) (time.Duration, error) {
	pushBack := pushBackOf(hea)
	err := fperror.New(kin, "%s refused the request", att.target.Upstream.GetName())
	att.end(Result{
		Err:      err,
		PushBack: pushBack,
	})
	return pushBack, err
}

// pushBackOf returns the wait that an upstream asks for, or 0.
func pushBackOf(hea http.Header) time.Duration {
	if millis, err := strconv.ParseUint(hea.Get("Grpc-Retry-Pushback-Ms"), 10, 31); err == nil {
		return time.Duration(millis) * time.Millisecond
	}
	if secs, err := strconv.ParseUint(hea.Get("Retry-After"), 10, 31); err == nil {
		return time.Duration(secs) * time.Second
	}
	return 0
}

// checkHead refuses answers whose end could not be told from a truncation.
func (ans *answer) checkHead() error {
	res := ans.res
	name := ans.att.target.Upstream.GetName()
	if res.ProtoMajor == 1 && res.ContentLength < 0 && len(res.TransferEncoding) == 0 {
		return fperror.New(fperror.AnswerTruncated, "the answer of %s has neither a length nor chunks", name)
	}
	pro := ans.att.exc.cal.protocol
	if !pro.enveloped() {
		return nil
	}
	prefix := "application/grpc"
	if pro.form == connectStream {
		prefix = "application/connect+"
	}
	if res.StatusCode != http.StatusOK || !strings.HasPrefix(res.Header.Get("Content-Type"), prefix) {
		return fperror.New(fperror.Internal, "%s answered with status %d and the content type %q",
			name, res.StatusCode, res.Header.Get("Content-Type"))
	}
	return nil
}

// take reads the answer to its end. A small one stays in memory; any other is streamed to the caller.
func (ans *answer) take() error {
	met := ans.att.exc.cal.method
	if met.ServerStream() || met.Bundle() || ans.res.ContentLength > maxSmall {
		return ans.stream(nil)
	}
	ans.buf = buffers.Get().(*bytes.Buffer)
	ans.buf.Reset()
	num, err := io.CopyN(ans.buf, ans.res.Body, maxSmall+1)
	if err == nil {
		return ans.stream(ans.buf.Bytes())
	}
	if err != io.EOF {
		return fperror.Wrap(fperror.AnswerTruncated, err, "the answer ended after %d bytes", num)
	}
	ans.size = num
	if ans.enveloped() {
		ans.env.write(ans.buf.Bytes())
	}
	return ans.checkEnd()
}

func (ans *answer) enveloped() bool { return ans.att.exc.cal.protocol.enveloped() }

// checkEnd decides whether an answer that has ended is whole. HTTP proves it for a unary answer of Connect. An answer of
// gRPC must have a status, and a stream of Connect its last message.
func (ans *answer) checkEnd() error {
	switch ans.att.exc.cal.protocol.form {
	case grpc:
		status, ok := ans.grpcStatus()
		if ok && (status != "0" || ans.env.whole()) {
			return nil
		}
	case connectStream:
		if ans.env.whole() && ans.env.last {
			return nil
		}
	default:
		return nil
	}
	return fperror.New(fperror.AnswerTruncated, "the answer ended before its last part")
}

// grpcStatus returns the status from the trailers, or from the headers of an answer without messages.
func (ans *answer) grpcStatus() (string, bool) {
	for _, hea := range []http.Header{ans.res.Trailer, ans.res.Header} {
		if val := hea["Grpc-Status"]; len(val) > 0 {
			return val[0], true
		}
	}
	return "", false
}

// record returns the answer as it is kept with its claim.
func (ans *answer) record() *fpwire.Answer {
	body := ans.kept
	if ans.buf != nil {
		body = ans.buf.Bytes()
	}
	rec := &fpwire.Answer{
		Status:  uint32(ans.res.StatusCode),
		Omitted: ans.size > maxRecorded,
	}
	if rec.Omitted {
		return rec
	}
	rec.Body = bytes.Clone(body) // the buffer is used again, while the record may be kept for long
	rec.Header = recordHeader(ans.res.Header)
	rec.Trailer = recordHeader(ans.res.Trailer)
	return rec
}

func recordHeader(from http.Header) []*fpwire.HeaderField {
	into := http.Header{}
	copyHeader(into, from)
	var all []*fpwire.HeaderField
	for name, values := range into {
		for _, value := range values {
			all = append(all, &fpwire.HeaderField{
				Name:  name,
				Value: value,
			})
		}
	}
	return all
}
