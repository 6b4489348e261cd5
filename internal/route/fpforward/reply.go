package fpforward

import (
	"context"
	"io"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/upstream/fpconn"
	"github.com/foxtailpulley/foxtailpulley/platform"
)

// reply is an upstream's answer.
type reply struct {
	status int
	header http.Header
	answer platform.Answer
	body   []byte
	// rest is what follows body, or nil; close ends it.
	rest   io.Reader
	finish func(complete bool)
	// length is the length of the body, or -1.
	length int64
}

// hops are the headers that concern one connection only.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// removeHops removes the headers that concern one connection only, and those that the Connection header names.
func removeHopByHopHeaders(hea http.Header) {
	for _, line := range hea["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			hea.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHopHeaders {
		hea.Del(name)
	}
}

// send sends the request on a connection and reads the answer. The reply is set for answers that say that the request did
// not run, too.
func (exc *exchange) send(ctx context.Context, mem *member, lin *fpconn.Line) (*reply, error) {
	before := lin.Received()
	res, err := lin.RoundTrip(exc.newUpstreamRequest(ctx, mem))
	if err != nil {
		crashed := lin.Crashed()
		endless := lin.Received()-before >= fpconn.MaxAnswerHeader
		lin.Close()
		if failure := exc.rest.readError(); failure != nil {
			return nil, failure
		}
		if endless {
			return nil, fperror.Wrap(fperror.UpstreamLost, errAnswerTooLong, "the head of an answer of upstream %s", mem.upstream.GetId())
		}
		if ctx.Err() != nil || fperror.Is(err, fperror.DeadlineExceeded) {
			return nil, fperror.Wrap(fperror.OutcomeUnknown, err, "no answer of upstream %s in time", mem.upstream.GetId())
		}
		return nil, fperror.Wrap(fperror.UpstreamLost, err, "upstream %s gave no answer, new connection: %t, ended there: %t",
			mem.upstream.GetId(), !lin.Used(), crashed)
	}
	rep := &reply{
		status: res.StatusCode,
		header: res.Header,
		answer: platform.DecodeAnswer(res.StatusCode, res.Header),
		length: res.ContentLength,
	}
	if rep.answer.Attempt != "" && rep.answer.Attempt != exc.info.Attempt {
		lin.Close()
		return nil, fperror.New(fperror.UpstreamLost, "upstream %s answered attempt %q instead", mem.upstream.GetId(), rep.answer.Attempt)
	}
	return rep, exc.readAnswer(ctx, mem, lin, res, rep)
}

// judge returns an error for an answer that the caller must not get.
func checkAnswer(mem *member, rep *reply) error {
	name := mem.upstream.GetId()
	switch {
	case rep.answer.NotRun && rep.status == http.StatusMisdirectedRequest:
		return fperror.New(fperror.UpstreamFenced, "upstream %s does not hold the key, or another one has its address", name)
	case rep.answer.NotRun:
		return fperror.New(fperror.UpstreamShed, "upstream %s did not run the request and answered %d", name, rep.status)
	case rep.status < http.StatusMultipleChoices && !rep.answer.Signed:
		return fperror.New(fperror.UpstreamLost, "the answer of upstream %s has no signature", name)
	case rep.answer.Attempt == "" && !rep.answer.Signed:
		return fperror.New(fperror.UpstreamLost, "the answer of upstream %s with status %d names no attempt", name, rep.status)
	}
	return nil
}

// deliver passes an answer to the caller.
func (exc *exchange) writeAnswer(rep *reply) {
	hea := exc.writer.Header()
	removeHopByHopHeaders(rep.header)
	for name, values := range rep.header {
		hea[name] = values
	}
	if _, ok := rep.header["Content-Type"]; !ok {
		// Without an entry the server would guess one.
		hea["Content-Type"] = nil
	}
	exc.closeWhenStopping()
	if rep.rest == nil && exc.request.Method != http.MethodHead && bodyAllowed(rep.status) {
		hea.Set("Content-Length", strconv.Itoa(len(rep.body)))
	}
	exc.answerBegun = true
	exc.writer.WriteHeader(rep.status)
	var to io.Writer = exc.writer
	if exc.isPaced() {
		to = &pacedWriter{
			ctx:     exc.request.Context(),
			to:      exc.writer,
			limiter: exc.fwd.pacers.out,
		}
	}
	_, err := to.Write(rep.body)
	if rep.rest != nil {
		if err == nil {
			_, err = io.Copy(to, rep.rest)
		}
		rep.finish(err == nil)
		if errors.Is(err, errAnswerTooLong) && exc.lastChoice.member.holdDownUnreachable(time.Now()) {
			go exc.fwd.probe(exc.lastChoice.member)
		}
	}
	exc.logOutcome(rep.status, err)
	if err != nil && rep.rest != nil {
		exc.abortConnection(rep)
	}
}

// breakOff ends the connection of a caller in such a way that it cannot take a part of an answer for the whole. It does not return.
func (exc *exchange) abortConnection(rep *reply) {
	if !exc.request.ProtoAtLeast(1, 1) && rep.length < 0 {
		// To a caller of HTTP/1.0 the end of the connection is the end of such an answer, so that it has to be reset.
		con, _, err := http.NewResponseController(exc.writer).Hijack()
		if lin, ok := con.(interface{ SetLinger(seconds int) error }); ok && err == nil {
			err = errors.Join(lin.SetLinger(0), con.Close())
		}
		if err != nil {
			exc.fwd.cfg.Log.Warn("a connection was not reset after a part of an answer", zap.String("id", exc.info.Attempt), zap.Error(err))
		}
	}
	panic(http.ErrAbortHandler)
}

func bodyAllowed(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// leaveConnection asks the caller to open another connection when this VM stops, unless a pipelined request behind this one has
// been begun.
func (exc *exchange) closeWhenStopping() {
	if exc.fwd.stopping.Load() && (exc.moreBegun == nil || !exc.moreBegun()) {
		exc.writer.Header().Set("Connection", "close")
	}
}

// fail answers with an error of the router's own.
func (exc *exchange) writeError(err error) {
	kin := fperror.KindOf(err)
	status := statusOf(kin)
	if status == http.StatusServiceUnavailable {
		after := exc.retryAfter(kin)
		exc.writer.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
	exc.closeWhenStopping()
	if exc.hasUnreadBody() {
		// The server would read more of the body before it answers.
		exc.writer.Header().Set("Connection", "close")
	}
	exc.writer.Header().Set("Content-Type", "text/plain; charset=utf-8")
	exc.answerBegun = true
	exc.writer.WriteHeader(status)
	_, _ = io.WriteString(exc.writer, kin.String()+"\n") // a caller that has left needs no answer
	exc.logOutcome(status, err)
}

// statusOf returns the status of an error answer. 503 promises that the request has not run and will not run.
func statusOf(kin fperror.Kind) int {
	switch kin {
	case fperror.UnknownMethod:
		return http.StatusNotFound
	case fperror.TooLarge:
		return http.StatusRequestEntityTooLarge
	case fperror.InvalidRequest:
		return http.StatusBadRequest
	case fperror.DeadlineExceeded, fperror.OutcomeUnknown:
		return http.StatusGatewayTimeout
	}
	if kin.Answer().Outcome() == fperror.NotRun {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}

// since returns the time since the request arrived.
func (exc *exchange) elapsed() time.Duration { return time.Since(exc.start) }
