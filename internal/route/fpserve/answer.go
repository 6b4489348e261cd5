package fpserve

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/route/fprate"
	"github.com/foxtailpulley/foxtailpulley/internal/upstream/fpconn"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

// maxPooledBytes is the largest capacity of a buffer that goes back to the pool.
const maxPooledBytes = 64 << 10

// bufferPool holds buffers for answers that are read completely before they are sent.
var bufferPool = sync.Pool{
	New: func() any { return &bytes.Buffer{} },
}

// answer is an upstream's answer that is read and sent to the caller.
type answer struct {
	att *attempt
	res *http.Response
	err error // why the answer can't be passed on, or nil
	env envelopeTracker
	// buf holds a small answer, nil otherwise. It is read to its end before the caller gets any of it, so that an error
	// or another attempt can still replace a truncated answer.
	buf *bytes.Buffer
	// recorded holds the body of a streamed answer up to maxRecordedBytes, for the record of the claim.
	recorded []byte
	size     int64
	// more states that buf holds the beginning of an answer that is too large to be kept.
	more bool
}

// receive processes an answer whose headers have arrived. It returns the push-back, which is how long the upstream asks
// the router to wait before it retries, or 0.
func (ans *answer) receive() (time.Duration, error) {
	att, res := ans.att, ans.res
	defer res.Body.Close()
	rate, named := res.Header[rateHeader]
	if named {
		att.exc.ser.cfg.ObserveRate(att.target, att.sent, rate[0], true)
	}
	att.observeLeaving(res.Header)
	if kin, ok := refusalKinds[res.Header.Get(fpconn.RefusedHeader)]; ok {
		return att.handleRefusal(kin, res.Header)
	}
	if err := ans.checkHeader(); err != nil {
		att.finish(Result{Err: err})
		return 0, att.recordUncertain(err)
	}
	if ans.wanted() {
		if err := ans.read(); err != nil {
			return 0, att.handleLoss(err)
		}
	}
	if !att.exc.answerStarted && ans.stopped() && !ans.succeeded() {
		err := fperror.New(fperror.UpstreamStopped, "%s stopped the request before its end, as it may no longer run it", att.target.Upstream.GetName())
		att.finish(Result{Err: err})
		return 0, att.recordUncertain(err)
	}
	if !named {
		att.exc.ser.cfg.ObserveRate(att.target, att.sent, "", false)
	}
	att.exc.answer = ans
	att.exc.settleAnswer(ans.record)
	att.finish(Result{})
	return 0, nil
}

// stoppedHeader is the header by which an upstream states that it stopped the request itself before its end, because its lease had ended or
// the slot was taken away. An error in the answer, such as one that says that the request was canceled, is then not for the caller.
const stoppedHeader = "Foxtailpulley-Stopped"

// stopped reports whether the upstream states that it stopped the request.
func (ans *answer) stopped() bool { return len(ans.res.Header[stoppedHeader]) > 0 }

// succeeded reports whether an answer that was read to its end has no error, so that the request ran to its end.
func (ans *answer) succeeded() bool {
	status, _ := ans.grpcStatus()
	return ans.res.StatusCode == http.StatusOK && (ans.att.exc.cal.protocol.framing != grpc || status == "0")
}

// refusalKinds maps the values of the Foxtailpulley-Refused header to error kinds. With this header an upstream states
// that the request did not run.
var refusalKinds = map[string]fperror.Kind{
	"shed":     fperror.UpstreamShed,
	"fence":    fperror.UpstreamFenced,
	"draining": fperror.UpstreamDraining,
}

func (att *attempt) handleRefusal(kin fperror.Kind, hea http.Header) (time.Duration, error) {
	pushBack, valid := pushBackOf(hea)
	if !valid {
		att.exc.ser.cfg.Count("pushBackInvalid")
	}
	err := fperror.New(kin, "%s refused the request", att.target.Upstream.GetName())
	att.finish(Result{
		Err:      err,
		PushBack: pushBack,
	})
	return pushBack, err
}

// maxPushBack bounds how long an upstream is not sent requests because it asks for a pause. It may ask again.
const maxPushBack = 30 * time.Second

// pushBackOf returns how long the upstream asks the router to wait before it retries, at most maxPushBack, or 0 if it does not ask. valid
// is false if a header has no meaning: it is empty, negative, not decimal, not finite, or too long.
func pushBackOf(hea http.Header) (pushBack time.Duration, valid bool) {
	valid = true
	for _, one := range []struct {
		name string
		unit time.Duration
	}{
		{
			name: "Grpc-Retry-Pushback-Ms",
			unit: time.Millisecond,
		},
		{
			name: "Retry-After",
			unit: time.Second,
		},
	} {
		for _, text := range hea[one.name] {
			num, ok := fprate.Parse(text)
			valid = valid && ok
			if ok {
				pushBack = max(pushBack, time.Duration(min(num*float64(one.unit), float64(maxPushBack))))
			}
		}
	}
	return pushBack, valid
}

// leavingHeader is the header by which an upstream says that it leaves. Only the value 1 has a meaning.
const leavingHeader = "Foxtailpulley-Leaving"

// observeLeaving passes on that the upstream says that it leaves.
func (att *attempt) observeLeaving(hea http.Header) {
	for _, text := range hea[leavingHeader] {
		if strings.TrimSpace(text) != "1" {
			att.exc.ser.cfg.Count("leavingInvalid")
			continue
		}
		att.exc.ser.cfg.ObserveLeaving(att.target)
	}
}

// checkHeader returns an error if a truncation of the answer could not be detected, or if the answer is not in the
// protocol of the call.
func (ans *answer) checkHeader() error {
	res := ans.res
	name := ans.att.target.Upstream.GetName()
	if res.ProtoMajor == 1 && res.ContentLength < 0 && len(res.TransferEncoding) == 0 {
		return fperror.New(fperror.AnswerTruncated, "the HTTP/1 answer of %s has neither a Content-Length nor chunks", name)
	}
	pro := ans.att.exc.cal.protocol
	if !pro.enveloped() {
		return nil
	}
	prefix := "application/grpc"
	if pro.framing == connectStream {
		prefix = "application/connect+"
	}
	if res.StatusCode != http.StatusOK || !strings.HasPrefix(res.Header.Get("Content-Type"), prefix) {
		return fperror.New(fperror.Internal, "%s answered with status %d and the content type %q",
			name, res.StatusCode, res.Header.Get("Content-Type"))
	}
	return nil
}

// wanted reports whether the body is read. That of a request that the upstream has stopped is for nobody.
func (ans *answer) wanted() bool { return ans.res.StatusCode == http.StatusOK || !ans.stopped() }

// refused reports whether the upstream states that the request did not run.
func (ans *answer) refused() bool {
	_, ok := refusalKinds[ans.res.Header.Get(fpconn.RefusedHeader)]
	return ok
}

// readSmall reads a small answer to its end, and the beginning of one that turns out to be larger. It sends nothing to the caller.
func (ans *answer) readSmall() {
	met := ans.att.exc.cal.method
	if met.ServerStream() || met.Bundle() || ans.res.ContentLength > maxSmallBytes || ans.refused() || !ans.wanted() || ans.checkHeader() != nil {
		return
	}
	ans.buf = bufferPool.Get().(*bytes.Buffer)
	ans.buf.Reset()
	num, err := io.CopyN(ans.buf, ans.res.Body, maxSmallBytes+1)
	if err == nil {
		ans.more = true
		return
	}
	if err != io.EOF {
		ans.err = fperror.Wrap(fperror.AnswerTruncated, err, "the answer ended after %d bytes", num)
		return
	}
	ans.size = num
	if ans.enveloped() {
		ans.env.write(ans.buf.Bytes())
	}
	ans.err = ans.checkComplete()
}

// streamed reports whether the caller gets the answer while it arrives.
func (ans *answer) streamed() bool { return ans.buf == nil || ans.more }

// read sends what readSmall has not read of the answer to the caller.
func (ans *answer) read() error {
	if !ans.streamed() {
		return ans.err
	}
	defer ans.att.watchStream()()
	if ans.more {
		return ans.stream(ans.buf.Bytes())
	}
	return ans.stream(nil)
}

func (ans *answer) enveloped() bool { return ans.att.exc.cal.protocol.enveloped() }

// checkComplete returns an error if an answer that has ended is truncated. For unary answers of Connect, HTTP itself
// detects a truncation. An answer of gRPC must have a status, and a stream of Connect must have its end-of-stream
// message.
func (ans *answer) checkComplete() error {
	switch ans.att.exc.cal.protocol.framing {
	case grpc:
		status, ok := ans.grpcStatus()
		if ok && (status != "0" || ans.env.betweenMessages()) {
			return nil
		}
	case connectStream:
		if ans.env.betweenMessages() && ans.env.endStream {
			return nil
		}
	default:
		return nil
	}
	return fperror.New(fperror.AnswerTruncated, "the answer ended before its last message or its status")
}

// grpcStatus returns the gRPC status from the trailers, or from the headers if the answer has no messages. It returns
// false if there is none.
func (ans *answer) grpcStatus() (string, bool) {
	for _, hea := range []http.Header{ans.res.Trailer, ans.res.Header} {
		if val := hea["Grpc-Status"]; len(val) > 0 {
			return val[0], true
		}
	}
	return "", false
}

// record returns the answer as it is recorded with the claim. The body is omitted if it is larger than maxRecordedBytes.
func (ans *answer) record() *fpwire.Answer {
	body := ans.recorded
	if ans.buf != nil {
		body = ans.buf.Bytes()
	}
	rec := &fpwire.Answer{
		Status:  uint32(ans.res.StatusCode),
		Omitted: ans.size > maxRecordedBytes,
	}
	if rec.Omitted {
		return rec
	}
	rec.Body = bytes.Clone(body) // the buffer goes back to the pool, while the record may be kept for long
	rec.Header = headerFields(ans.res.Header)
	rec.Trailer = headerFields(ans.res.Trailer)
	return rec
}

func headerFields(from http.Header) []*fpwire.HeaderField {
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
