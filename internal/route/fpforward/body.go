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
	keptBody = 128 << 10
	// keptUpload is the same for uploads. It covers most of them whole, so that a slow sender takes no place at an upstream.
	keptUpload = 1 << 20
	// bodyMemoryShare is the part of the memory of the process that the kept bodies of all requests use together. Buffers
	// of connections, answers and the state need the rest, and the garbage collector as much again.
	bodyMemoryShare = 0.125
	// defaultBodyMemory is the size in bytes of the same where the memory of the process is not limited.
	defaultBodyMemory = 64 << 20
	// bodyWaitShare is the part of the objective for which a request waits for memory before its body is read.
	bodyWaitShare = 0.125
	// askFirst is the size in bytes from which a request that no upstream can take is refused before its body is read. A
	// shorter one has mostly arrived with the header.
	askFirst = 16 << 10
)

// bodyMemory returns the size in bytes of the memory for kept bodies.
func bodyMemory(process int64) int64 {
	if process <= 0 {
		return defaultBodyMemory
	}
	return max(keptUpload, int64(bodyMemoryShare*float64(process)))
}

// upload reports whether the request has a large body.
func (exc *exchange) upload() bool { return exc.route.GetKind() == fpstate.Kind_KIND_UPLOAD }

// large reports whether the request or its answer is expected to be large.
func (exc *exchange) large() bool { return exc.upload() || exc.bundle() }

// keeps returns the size in bytes up to which the body is kept.
func (exc *exchange) keeps() int64 {
	most := int64(keptBody)
	if exc.upload() {
		most = keptUpload
	}
	if length := exc.request.ContentLength; length >= 0 {
		return min(length, most)
	}
	return most
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
	if err := exc.refuseUnread(); err != nil {
		return nil, err
	}
	kept := exc.keeps()
	if err := exc.reserve(ctx, kept); err != nil {
		return nil, err
	}
	free := func() { exc.fwd.bodies.Release(kept) }
	if err := exc.keepBody(ctx, kept, limit); err != nil {
		free()
		return nil, err
	}
	return free, nil
}

// refuseUnread returns an error if no upstream can take the request, so that its caller need not send the body first.
func (exc *exchange) refuseUnread() error {
	if length := exc.request.ContentLength; length >= 0 && length < askFirst {
		return nil
	}
	var err error
	if exc.keyed {
		_, err = exc.owner()
	} else {
		_, err = exc.chooseAny()
	}
	if fperror.Is(err, fperror.NoOwner) {
		return nil // there may be an owner once the body has arrived
	}
	return err
}

// reserve takes memory for a kept body. The error is of kind Overloaded.
func (exc *exchange) reserve(ctx context.Context, size int64) error {
	if exc.fwd.bodies.TryAcquire(size) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(bodyWaitShare*float64(exc.route.GetObjective().AsDuration())))
	defer cancel()
	if err := exc.fwd.bodies.Acquire(ctx, size); err != nil {
		exc.fwd.counters.add("bodyMemorySpent")
		return fperror.Wrap(fperror.Overloaded, err, "the bodies of other requests use all memory for them")
	}
	return nil
}

// keepBody reads the kept part of the body; exc.rest takes what follows it.
func (exc *exchange) keepBody(ctx context.Context, kept, limit int64) error {
	// Without support for it the server bounds the time itself.
	_ = http.NewResponseController(exc.writer).SetReadDeadline(exc.deadline)
	var from io.Reader = exc.request.Body
	if limit > 0 {
		from = http.MaxBytesReader(exc.writer, exc.request.Body, limit)
	}
	if exc.upload() && exc.fwd.pacers.thin() {
		from = &pacedReader{
			ctx:     ctx,
			from:    from,
			limiter: exc.fwd.pacers.in,
		}
	}
	var err error
	if length := exc.request.ContentLength; length == kept {
		exc.body = make([]byte, length)
		_, err = io.ReadFull(from, exc.body)
	} else {
		exc.body, err = io.ReadAll(io.LimitReader(from, kept+1))
	}
	if err != nil {
		exc.body = nil
		return bodyError(err)
	}
	if int64(len(exc.body)) > kept {
		exc.rest = &restBody{
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
type restBody struct {
	from io.Reader

	mutex sync.Mutex
	begun bool
	err   error
}

// Read implements io.Reader.
func (rst *restBody) Read(buf []byte) (int, error) {
	rst.mutex.Lock()
	rst.begun = true
	rst.mutex.Unlock()
	num, err := rst.from.Read(buf)
	if err != nil && err != io.EOF {
		rst.mutex.Lock()
		rst.err = bodyError(err)
		rst.mutex.Unlock()
	}
	return num, err
}

// sent reports whether a part of it may have been sent.
func (rst *restBody) sent() bool {
	if rst == nil {
		return false
	}
	rst.mutex.Lock()
	defer rst.mutex.Unlock()
	return rst.begun
}

// failure returns why the caller's body could not be read to its end, or nil.
func (rst *restBody) failure() error {
	if rst == nil {
		return nil
	}
	rst.mutex.Lock()
	defer rst.mutex.Unlock()
	return rst.err
}

// bodyUnread reports whether a part of the caller's body was not asked for.
func (exc *exchange) bodyUnread() bool {
	hasBody := exc.request.Body != nil && exc.request.Body != http.NoBody
	return hasBody && (exc.body == nil || exc.rest != nil)
}

// setBody sets the body of a request to an upstream.
func (exc *exchange) setBody(ctx context.Context, out *http.Request) {
	out.TransferEncoding = nil
	out.Trailer = nil
	var from io.Reader = bytes.NewReader(exc.body)
	if exc.upload() && exc.fwd.pacers.thin() {
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
type workClock struct {
	began time.Time
	// written is how long after began the request had been sent, or 0.
	written atomic.Int64
}

func newWorkClock(now time.Time) *workClock {
	return &workClock{
		began: now,
	}
}

// trace returns a context whose request is watched if it has a long body.
func (clo *workClock) trace(ctx context.Context, body int) context.Context {
	if body < askFirst {
		return ctx
	}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteRequest: func(httptrace.WroteRequestInfo) { clo.written.Store(int64(time.Since(clo.began))) },
	})
}

// took returns the time since the request had been sent.
func (clo *workClock) took(now time.Time) time.Duration {
	return now.Sub(clo.began) - time.Duration(clo.written.Load())
}
