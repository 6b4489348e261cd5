// Package fplimit controls the admission of requests to upstreams. A request is forwarded at once, waits in a queue or is
// refused.
//
// Core decides for one upstream. It starts no goroutines and takes the current time as an argument. Limiter makes a Core
// safe for concurrent use and blocks requests until they are admitted. Link is the byte budget of the link between regions.
package fplimit

import (
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
)

// Priority is the class of a request under overload. The zero value is Normal.
type Priority int8

// The priority classes, from the one that is refused first to the one that is refused last.
const (
	Low    Priority = -1
	Normal Priority = 0
	High   Priority = 1
)

// Call describes a request to the limiter.
type Call struct {
	// Caller is the name by which callers are told apart for fair sharing. Calls with an empty name count as one caller.
	Caller string
	// Priority is the class of the method.
	Priority Priority
	// Bundle reports whether the method's size class is bundle: bodies and answers that are streamed.
	Bundle bool
	// Deadline is when the caller stops waiting for the answer. If it is zero, Limiter uses the deadline of the context,
	// or 5 s from now if the context has none. Core requires it.
	Deadline time.Time
}

// Result describes how an attempt ended. The zero value stands for a complete answer.
type Result struct {
	// Err is the error of a failed attempt, or nil. Its kind is given by fperror.KindOf.
	Err error
	// PushBack is how long the upstream asked not to be sent requests, or zero. Only failures of kind UpstreamShed use it.
	PushBack time.Duration
}

// kind returns the error kind of the result. It returns false if the attempt did not fail; the kind then has no meaning.
func (res Result) kind() (fperror.Kind, bool) {
	if res.Err == nil {
		return fperror.Internal, false
	}
	return fperror.KindOf(res.Err), true
}
