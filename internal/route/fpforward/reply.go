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
	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/route/fprelay"
	"github.com/foxtailpulley/foxtailpulley/internal/upstream/fpconn"
	"github.com/foxtailpulley/foxtailpulley/platform"
)

// reply is an upstream's answer.
type reply struct {
	status int
	header http.Header
	answer platform.Answer
	body   []byte
	// rest reads what follows body, or is nil. finish, which is set with rest, keeps the connection for later requests if
	// the answer was read to its end, and closes it otherwise.
	rest   io.Reader
	finish func(complete bool)
	// length is the length of the body in bytes, or -1 if it is not known.
	length int64
	// scarce states that there was no memory for the answer.
	scarce bool
}

// hopByHopHeaders are the headers that concern one connection only and are not forwarded.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// removeHopByHopHeaders removes the headers that concern one connection only, and those that the Connection header names.
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

// refusalSlack is added to the deadline of a request for the time that a relayed one takes to arrive here.
const refusalSlack = time.Second

// link is a connection for one attempt: to an upstream, or to a peer that relays the request.
type link struct {
	*fpconn.ExclusiveConn
	// pool keeps the connection for later requests.
	pool *fpconn.ExclusivePool
	// peer is nil on a connection to an upstream.
	peer *fprelay.Peer
}

// send sends the request on a connection and reads the answer. With an error, the reply is nil if no answer was received; it
// is set for an answer that says that the request did not run.
func (exc *exchange) send(ctx context.Context, mem *member, con link) (*reply, error) {
	before := con.Received()
	res, err := con.RoundTrip(exc.newUpstreamRequest(ctx, mem, con.peer))
	if err != nil {
		crashed := con.Crashed()
		_, skipped := con.Skipped()
		endless := con.Received()-before-skipped >= fpconn.MaxAnswerHeader
		con.Close()
		if failure := exc.rest.readError(); failure != nil && !exc.bodyInterrupted() {
			return nil, failure
		}
		if endless {
			return nil, fperror.Wrap(fperror.UpstreamLost, errAnswerTooLong, "read the header of an answer of upstream %s", mem.upstream.GetId())
		}
		if ctx.Err() != nil || fperror.Is(err, fperror.DeadlineExceeded) {
			return nil, fperror.Wrap(fperror.OutcomeUnknown, err, "upstream %s did not answer in time", mem.upstream.GetId())
		}
		return nil, fperror.Wrap(fperror.UpstreamLost, err, "upstream %s gave no answer, new connection: %t, ended there: %t",
			mem.upstream.GetId(), !con.Used(), crashed)
	}
	if reason := res.Header.Get(relayRefusalHeader); con.peer != nil && reason != "" {
		return nil, exc.readRelayRefusal(con, res, relayReason(reason))
	}
	res.Header.Del(relayRefusalHeader)
	rep := &reply{
		status: res.StatusCode,
		header: res.Header,
		answer: platform.DecodeAnswer(res.StatusCode, res.Header),
		length: res.ContentLength,
	}
	strays, _ := con.Skipped()
	if strays > 0 {
		exc.fwd.counters.add("strayAnswers")
	}
	if rep.answer.Attempt != exc.info.Attempt && (rep.answer.Attempt != "" || rep.answer.NotRun || strays > 0) {
		con.Close()
		return nil, fperror.New(fperror.UpstreamLost, "upstream %s answered with the id of another attempt, %q", mem.upstream.GetId(), rep.answer.Attempt)
	}
	if rep.answer.NotRun {
		con.RecordRefusal(time.Now(), exc.info.Attempt, exc.deadline.Add(refusalSlack))
	}
	return rep, exc.readAnswer(ctx, mem, con, res, rep)
}

// readRelayRefusal returns the error for a peer's own answer.
func (exc *exchange) readRelayRefusal(con link, res *http.Response, reason relayReason) error {
	if _, err := io.Copy(io.Discard, io.LimitReader(res.Body, smallAnswerSize)); err == nil && !res.Close {
		_ = res.Body.Close() // the body has been read
		con.pool.Put(con.ExclusiveConn, 0)
	} else {
		con.Close()
	}
	seconds, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
	if err != nil {
		seconds = 0
	}
	return newRelayError(con.peer, reason, time.Duration(seconds*float64(time.Second)))
}

// checkAnswer returns an error for an answer that the caller must not get: of kind UpstreamFenced or UpstreamShed if the
// request did not run, and UpstreamLost if the answer cannot be from the upstream.
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

// writeAnswer writes an upstream's answer to the caller.
func (exc *exchange) writeAnswer(rep *reply) {
	written, err := exc.resetIfTruncated(rep)
	if err != nil {
		rep.finish(false)
		exc.writeError(err)
		return
	}
	hea := exc.writer.Header()
	removeHopByHopHeaders(rep.header)
	for name, values := range rep.header {
		hea[name] = values
	}
	if _, ok := rep.header["Content-Type"]; !ok {
		// Without an entry the server would guess the type.
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
	_, err = to.Write(rep.body)
	if rep.rest != nil {
		if err == nil {
			err = rep.copyRest(to)
		}
		if err == nil {
			err = written()
		}
		rep.finish(err == nil)
		if errors.Is(err, errAnswerTooLong) && exc.lastChoice.member.holdDownUnreachable(time.Now()) {
			go exc.fwd.probe(exc.lastChoice.member)
		}
	}
	exc.logOutcome(rep.status, err)
	if err != nil && rep.rest != nil {
		panic(http.ErrAbortHandler)
	}
}

// resetIfTruncated makes a truncated answer visible to a caller of HTTP/1.0, for which the end of the connection ends an answer
// without a length: until the returned function is called, the connection ends with a reset. That function is called when the
// whole answer has been written.
func (exc *exchange) resetIfTruncated(rep *reply) (written func() error, err error) {
	if rep.rest == nil || rep.length >= 0 || exc.request.ProtoAtLeast(1, 1) {
		return func() error { return nil }, nil
	}
	if exc.setResetOnClose == nil {
		return nil, fperror.New(fperror.Internal, "an answer without a length to a caller of HTTP/1.0, whose connection cannot be reset")
	}
	if err := exc.setResetOnClose(true); err != nil {
		return nil, fperror.Wrap(fperror.CallerCanceled, err, "prepare the connection for a reset")
	}
	return func() error {
		if err := http.NewResponseController(exc.writer).Flush(); err != nil {
			return err
		}
		return exc.setResetOnClose(false)
	}, nil
}

// bodyAllowed reports whether an answer with the given status may have a body.
func bodyAllowed(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// closeWhenStopping asks the caller to close its connection if this VM is stopping, unless a later pipelined request has been
// begun on the connection, or was read before the stop.
func (exc *exchange) closeWhenStopping() {
	times := exc.fwd.stop.times.Load()
	if times != nil && (exc.moreBefore == nil || !exc.moreBefore(times.begun)) {
		exc.writer.Header().Set("Connection", "close")
	}
}

// writeError answers with an error of the router's own.
func (exc *exchange) writeError(err error) {
	kin := fperror.KindOf(err)
	status := statusOf(kin)
	if status == http.StatusServiceUnavailable {
		after := exc.retryAfter(kin)
		exc.writer.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
	exc.closeWhenStopping()
	if exc.hasUnreadBody() {
		// Otherwise the server would read more of the body before it sends the answer.
		exc.writer.Header().Set("Connection", "close")
	}
	exc.writer.Header().Set("Content-Type", "text/plain; charset=utf-8")
	exc.answerBegun = true
	exc.writer.WriteHeader(status)
	_, _ = io.WriteString(exc.writer, kin.String()+"\n") // the caller may have closed the connection
	exc.logOutcome(status, err)
}

// statusOf returns the HTTP status of an error answer. 503 promises that the request has not run and will not run.
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

// elapsed returns the time since the request arrived.
func (exc *exchange) elapsed() time.Duration { return time.Since(exc.start) }
