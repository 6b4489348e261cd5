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
	// maxBufferedBody is the number of bytes of a request's body that are buffered, so that they can be sent again.
	maxBufferedBody = 128 << 10
	// maxBufferedUpload is the same for uploads. Most of them fit as a whole, so that a slow sender does not use up an
	// upstream's concurrency while its body arrives.
	maxBufferedUpload = 1 << 20
	// bodyMemoryFraction is the fraction of the memory of the process for the buffered bodies of all requests. The rest is
	// for connection buffers, answers and the state, and the garbage collector needs as much again.
	bodyMemoryFraction = 0.125
	// defaultBodyMemory is the number of bytes for buffered bodies if the memory of the process is not limited.
	defaultBodyMemory = 64 << 20
	// bodyWaitFraction is the fraction of the route's objective that a request waits for body memory.
	bodyWaitFraction = 0.125
	// longBody is the size in bytes from which a body counts as long: a request that no upstream can take is refused
	// before such a body is read, and the time to send it is measured. A shorter body has mostly arrived with the header.
	longBody = 16 << 10
)

// bodyMemory returns the number of bytes for buffered bodies, given the memory limit of the process in bytes. A limit of 0
// or less means that there is none.
func bodyMemory(processMemory int64) int64 {
	if processMemory <= 0 {
		return defaultBodyMemory
	}
	return max(maxBufferedUpload, int64(bodyMemoryFraction*float64(processMemory)))
}

// isUpload reports whether the route is for uploads, whose bodies are expected to be large.
func (exc *exchange) isUpload() bool { return exc.route.GetKind() == fpstate.Kind_KIND_UPLOAD }

// isLarge reports whether the request or its answer is expected to be large.
func (exc *exchange) isLarge() bool { return exc.isUpload() || exc.isBundle() }

// bodyBufferSize returns the number of bytes of the body that are buffered.
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

// readBody buffers the start of the body, which may have at most limit bytes; a limit of 0 means that there is none. The
// returned function releases the memory of the buffer. All errors mean that nothing was sent to an upstream.
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
	res, err := exc.admitUpload(time.Now())
	if err != nil {
		return nil, err
	}
	release, err := exc.readBuffered(ctx, limit)
	if err != nil {
		res.release()
		return nil, err
	}
	if res.received != nil {
		res.received()
	}
	exc.uploadSent = res.sent
	return func() {
		release()
		res.release()
	}, nil
}

// readBuffered is readBody without the checks that come before it.
func (exc *exchange) readBuffered(ctx context.Context, limit int64) (func(), error) {
	size := exc.bodyBufferSize()
	if err := exc.reserveBodyMemory(ctx, size); err != nil {
		return nil, err
	}
	// A read of the body must not outlast the stop. Once it has been read, the deadline would end the connection instead.
	interrupt := context.AfterFunc(exc.fwd.stop.ended, exc.interruptBody)
	err := exc.bufferBody(ctx, size, limit)
	release := func() {
		interrupt()
		exc.fwd.bodyMemory.Release(size)
	}
	if err != nil {
		release()
		return nil, err
	}
	if exc.rest == nil {
		interrupt()
	}
	return release, nil
}

// refuseBeforeBody returns an error if no upstream can take a request with a long body. Its caller then gets the refusal
// without sending the body first.
func (exc *exchange) refuseBeforeBody() error {
	if length := exc.request.ContentLength; length >= 0 && length < longBody {
		return nil
	}
	var cho choice
	var err error
	if exc.keyed {
		cho, err = exc.findOwner()
	} else {
		cho, err = exc.chooseAny()
	}
	if err == nil && exc.rateExhausted(time.Now(), cho.member) {
		return exc.takeRate(exc.request.Context(), choice{
			member: cho.member,
		})
	}
	if fperror.Is(err, fperror.NoOwner) {
		return nil // the key may have an owner once the body has arrived
	}
	return err
}

// reserveBodyMemory reserves memory for a number of bytes, and waits for it for a fraction of the objective. The error is
// of kind Overloaded.
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

// bufferBody reads up to size bytes of the body into exc.body. If more follows, exc.rest is set to read it. A body of more
// than limit bytes fails; a limit of 0 means that there is none.
func (exc *exchange) bufferBody(ctx context.Context, size, limit int64) error {
	// A writer that does not support deadlines leaves the limit to the server.
	_ = http.NewResponseController(exc.writer).SetReadDeadline(exc.deadline)
	var from io.Reader = exc.request.Body
	if limit > 0 {
		from = http.MaxBytesReader(exc.writer, exc.request.Body, limit)
	}
	from = exc.pacedUpload(&pacedReader{
		ctx:     ctx,
		from:    from,
		limiter: exc.fwd.uploads.in,
	})
	var err error
	if length := exc.request.ContentLength; length == size {
		exc.body = make([]byte, length)
		_, err = io.ReadFull(from, exc.body)
	} else {
		exc.body, err = io.ReadAll(io.LimitReader(from, size+1))
	}
	if err != nil {
		exc.body = nil
		err = bodyError(err)
		if fperror.Is(err, fperror.DeadlineUnreachable) && exc.fwd.stop.ended.Err() != nil {
			return fperror.Wrap(fperror.Draining, err, "this VM stops")
		}
		return err
	}
	exc.fwd.link.add(time.Now(), len(exc.body))
	if exc.isUpload() {
		exc.fwd.uploads.used.add(time.Now(), len(exc.body))
	}
	if int64(len(exc.body)) > size {
		exc.rest = &bodyRemainder{
			from: from,
		}
	}
	return nil
}

// interruptBody ends a read of the body that is in progress, and later ones.
func (exc *exchange) interruptBody() {
	_ = http.NewResponseController(exc.writer).SetReadDeadline(time.Now()) // not all writers support deadlines
}

// bodyInterrupted reports whether interruptBody may have ended the connection of a request of which a part has been passed on. The server
// takes that for the end of the caller's connection.
func (exc *exchange) bodyInterrupted() bool {
	return exc.rest != nil && exc.fwd.stop.ended.Err() != nil
}

// bodyError returns the error for a request whose body could not be read.
func bodyError(err error) error {
	var tooLarge *http.MaxBytesError
	var network net.Error
	switch {
	case errors.As(err, &tooLarge):
		return fperror.Wrap(fperror.TooLarge, err, "read the body")
	case errors.Is(err, os.ErrDeadlineExceeded) || fperror.Is(err, fperror.DeadlineExceeded):
		return fperror.Wrap(fperror.DeadlineUnreachable, err, "the body did not arrive in time")
	case errors.As(err, &network):
		return fperror.Wrap(fperror.CallerCanceled, err, "the caller canceled while it sent the body")
	default:
		return fperror.Wrap(fperror.InvalidRequest, err, "read the body")
	}
}

// bodyRemainder is the part of a body that is streamed to the upstream without buffering. It can be sent only once.
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

// maybeSent reports whether reading has begun, so that a part may have been sent to an upstream. It is false for nil.
func (rem *bodyRemainder) maybeSent() bool {
	if rem == nil {
		return false
	}
	rem.mutex.Lock()
	defer rem.mutex.Unlock()
	return rem.readStarted
}

// readError returns the error with which reading the caller's body failed, or nil.
func (rem *bodyRemainder) readError() error {
	if rem == nil {
		return nil
	}
	rem.mutex.Lock()
	defer rem.mutex.Unlock()
	return rem.err
}

// hasUnreadBody reports whether a part of the caller's body may not have been read.
func (exc *exchange) hasUnreadBody() bool {
	hasBody := exc.request.Body != nil && exc.request.Body != http.NoBody
	return hasBody && (exc.body == nil || exc.rest != nil)
}

// hasLongBody reports whether the body is longer than what is buffered of it, as far as is known.
func (exc *exchange) hasLongBody() bool {
	return exc.rest != nil || exc.request.ContentLength > exc.bodyBufferSize()
}

// setBody sets the body of a request to an upstream: the buffered part, followed by the remainder if there is one.
func (exc *exchange) setBody(ctx context.Context, out *http.Request) {
	out.TransferEncoding = nil
	out.Trailer = nil
	var from io.Reader = bytes.NewReader(exc.body)
	from = exc.pacedUpload(&pacedReader{
		ctx:     ctx,
		from:    from,
		limiter: exc.fwd.uploads.out,
	})
	if exc.uploadSent != nil {
		from = &endReader{
			from: from,
			end:  exc.uploadSent,
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

// processingTimer measures how long an upstream processes a request. It excludes the time to send a long body, which depends
// on the link and not on the upstream.
type processingTimer struct {
	began time.Time
	// writtenAfter is the time in nanoseconds from began until the request had been sent, or 0 if it is not known.
	writtenAfter atomic.Int64
}

func newProcessingTimer(now time.Time) *processingTimer {
	return &processingTimer{
		began: now,
	}
}

// trace returns a context that records when the request has been sent, if its body, given in bytes, is long.
func (tim *processingTimer) trace(ctx context.Context, body int) context.Context {
	if body < longBody {
		return ctx
	}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteRequest: func(httptrace.WroteRequestInfo) { tim.writtenAfter.Store(int64(time.Since(tim.began))) },
	})
}

// elapsed returns the time since the request had been sent, or since the start if that is not known.
func (tim *processingTimer) elapsed(now time.Time) time.Duration {
	return now.Sub(tim.began) - time.Duration(tim.writtenAfter.Load())
}
