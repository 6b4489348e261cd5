package fpforward

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

const (
	// keptBody is the size in bytes up to which a request's body is kept, so that it can be sent again.
	maxBufferedBody = 128 << 10
	// keptUpload is the same for uploads. It covers most of them whole, so that a slow sender takes no place at an upstream.
	maxBufferedUpload = 1 << 20
	// bodyMemoryShare is the part of the memory of the process that the kept bodies of all requests use together. Buffers
	// of connections, answers and the state need the rest, and the garbage collector as much again.
	bodyMemoryFraction = 0.125
	// defaultBodyMemory is the size in bytes of the same where the memory of the process is not limited.
	defaultBodyMemory = 64 << 20
	// bodyWaitShare is the part of the objective for which a request waits for memory before its body is read.
	bodyWaitFraction = 0.125
	// askFirst is the size in bytes from which a request that no upstream can take is refused before its body is read. A
	// shorter one has mostly arrived with the header.
	longBody = 16 << 10
)

// bodyMemory returns the size in bytes of the memory for kept bodies.
func bodyMemory(processMemory int64) int64 {
	if processMemory <= 0 {
		return defaultBodyMemory
	}
	return max(maxBufferedUpload, int64(bodyMemoryFraction*float64(processMemory)))
}

// upload reports whether the request has a large body.
func (exc *exchange) isUpload() bool { return exc.route.GetKind() == fpstate.Kind_KIND_UPLOAD }

// large reports whether the request or its answer is expected to be large.
func (exc *exchange) isLarge() bool { return exc.isUpload() || exc.isBundle() }

// keeps returns the size in bytes up to which the body is kept.
func (exc *exchange) bodyBufferSize() int64 {
	limit := int64(maxBufferedBody)
	if exc.isUpload() {
		limit = maxBufferedUpload
	}
	if length := exc.request.ContentLength; length >= 0 {
		return min(length, limit)
	}
	return limit
}

// readBody reads the body as far as it is kept. The function that it returns gives the memory back. All errors mean that
// nothing was sent to an upstream.
func (exc *exchange) readBody(ctx context.Context, limit int64) (func(), error) {
	req := exc.request
	if req.Body == nil || req.Body == http.NoBody {
		return func() {}, nil
	}
	if limit > 0 && req.ContentLength > limit {
		return nil, fperror.New(fperror.TooLarge, "the body has %d bytes; the limit is %d", req.ContentLength, limit)
	}
	if err := exc.refuseBeforeBody(); err != nil {
		return nil, err
	}
	size := exc.bodyBufferSize()
	if err := exc.reserveBodyMemory(ctx, size); err != nil {
		return nil, err
	}
	release := func() { exc.fwd.bodyMemory.Release(size) }
	if err := exc.bufferBody(ctx, size, limit); err != nil {
		release()
		return nil, err
	}
	return release, nil
}

// refuseUnread returns an error if no upstream can take the request, so that its caller need not send the body first.
func (exc *exchange) refuseBeforeBody() error {
	if length := exc.request.ContentLength; length >= 0 && length < longBody {
		return nil
	}
	var err error
	if exc.keyed {
		_, err = exc.findOwner()
	} else {
		_, err = exc.chooseAny()
	}
	if fperror.Is(err, fperror.NoOwner) {
		return nil // there may be an owner once the body has arrived
	}
	return err
}

// reserve takes memory for a kept body. The error is of kind Overloaded.
func (exc *exchange) reserveBodyMemory(ctx context.Context, size int64) error {
	if exc.fwd.bodyMemory.TryAcquire(size) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(bodyWaitFraction*float64(exc.route.GetObjective().AsDuration())))
	defer cancel()
	if err := exc.fwd.bodyMemory.Acquire(ctx, size); err != nil {
		exc.fwd.counters.add("bodyMemorySpent")
		return fperror.Wrap(fperror.Overloaded, err, "the bodies of other requests use all memory for them")
	}
	return nil
}

// keepBody reads the kept part of the body; exc.rest takes what follows it.
func (exc *exchange) bufferBody(ctx context.Context, size, limit int64) error {
	// Without support for it the server bounds the time itself.
	_ = http.NewResponseController(exc.writer).SetReadDeadline(exc.deadline)
	var from io.Reader = exc.request.Body
	if limit > 0 {
		from = http.MaxBytesReader(exc.writer, exc.request.Body, limit)
	}
	if exc.isUpload() && exc.fwd.pacers.enabled() {
		from = &pacedReader{
			ctx:     ctx,
			from:    from,
			limiter: exc.fwd.pacers.in,
		}
	}
	var err error
	if length := exc.request.ContentLength; length == size {
		exc.body = make([]byte, length)
		_, err = io.ReadFull(from, exc.body)
	} else {
		exc.body, err = io.ReadAll(io.LimitReader(from, size+1))
	}
	if err != nil {
		exc.body = nil
		return bodyError(err)
	}
	if int64(len(exc.body)) > size {
		exc.rest = &bodyRemainder{
			from: from,
		}
	}
	return nil
}

// bodyError returns the error for a body that could not be read.
func bodyError(err error) error {
	var tooLarge *http.MaxBytesError
	var network net.Error
	switch {
	case errors.As(err, &tooLarge):
		return fperror.Wrap(fperror.TooLarge, err, "read the body")
	case errors.Is(err, os.ErrDeadlineExceeded) || fperror.Is(err, fperror.DeadlineExceeded):
		return fperror.Wrap(fperror.DeadlineUnreachable, err, "the body did not arrive in time")
	case errors.As(err, &network):
		return fperror.Wrap(fperror.CallerCanceled, err, "the caller has left while it sent the body")
	default:
		return fperror.Wrap(fperror.InvalidRequest, err, "read the body")
	}
}

// restBody is the part of a body that is passed on as it comes. It can be sent only once.
type bodyRemainder struct {
	from io.Reader

	mutex       sync.Mutex
	readStarted bool
	err         error
}

// Read implements io.Reader.
func (rem *bodyRemainder) Read(buf []byte) (int, error) {
	rem.mutex.Lock()
	rem.readStarted = true
	rem.mutex.Unlock()
	num, err := rem.from.Read(buf)
	if err != nil && err != io.EOF {
		rem.mutex.Lock()
		rem.err = bodyError(err)
		rem.mutex.Unlock()
	}
	return num, err
}

// sent reports whether a part of it may have been sent.
func (rem *bodyRemainder) maybeSent() bool {
	if rem == nil {
		return false
	}
	rem.mutex.Lock()
	defer rem.mutex.Unlock()
	return rem.readStarted
}

// failure returns why the caller's body could not be read to its end, or nil.
func (rem *bodyRemainder) readError() error {
	if rem == nil {
		return nil
	}
	rem.mutex.Lock()
	defer rem.mutex.Unlock()
	return rem.err
}

// bodyUnread reports whether a part of the caller's body was not asked for.
func (exc *exchange) hasUnreadBody() bool {
	hasBody := exc.request.Body != nil && exc.request.Body != http.NoBody
	return hasBody && (exc.body == nil || exc.rest != nil)
}

// setBody sets the body of a request to an upstream.
func (exc *exchange) setBody(ctx context.Context, out *http.Request) {
	out.TransferEncoding = nil
	out.Trailer = nil
	var from io.Reader = bytes.NewReader(exc.body)
	if exc.isUpload() && exc.fwd.pacers.enabled() {
		from = &pacedReader{
			ctx:     ctx,
			from:    from,
			limiter: exc.fwd.pacers.out,
		}
	}
	switch {
	case exc.rest != nil:
		out.Body = io.NopCloser(io.MultiReader(from, exc.rest))
	case len(exc.body) > 0:
		out.Body = io.NopCloser(from)
		out.ContentLength = int64(len(exc.body))
	default:
		out.Body = http.NoBody
		out.ContentLength = 0
	}
}

// workClock measures how long an upstream has had a request. The time in which a long body is sent says nothing of the upstream.
type processingTimer struct {
	began time.Time
	// written is how long after began the request had been sent, or 0.
	writtenAfter atomic.Int64
}

func newProcessingTimer(now time.Time) *processingTimer {
	return &processingTimer{
		began: now,
	}
}

// trace returns a context whose request is watched if it has a long body.
func (tim *processingTimer) trace(ctx context.Context, body int) context.Context {
	if body < longBody {
		return ctx
	}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteRequest: func(httptrace.WroteRequestInfo) { tim.writtenAfter.Store(int64(time.Since(tim.began))) },
	})
}

// took returns the time since the request had been sent.
func (tim *processingTimer) elapsed(now time.Time) time.Duration {
	return now.Sub(tim.began) - time.Duration(tim.writtenAfter.Load())
}
