// Package fplimit decides whether a request may go to an upstream now, has to wait, or is refused.
//
// Core is the state machine for one upstream, Limiter is the shell that lets requests wait for its decisions, and Link
// is the byte budget of the link between regions.
package fplimit

import (
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
)

// Priority orders requests under overload. The zero value is Normal.
type Priority int8

// The priority classes, the first refused first.
const (
	Low    Priority = -1
	Normal Priority = 0
	High   Priority = 1
)

// Call describes a request to the limiter.
type Call struct {
	// Caller is the name used for fair sharing between callers.
	Caller string
	// Priority is the class of the method.
	Priority Priority
	// Bundle states that the method is of the size class for bundles.
	Bundle bool
	// Deadline is when the caller stops waiting for the answer. Limiter takes it from the context if it is zero.
	Deadline time.Time
}

// Result is how an attempt ended. The zero value is a complete answer.
type Result struct {
	// Err is the failure of the attempt, of an fperror kind, or nil.
	Err error
	// PushBack is the time for which the upstream asked to be left alone, or zero.
	PushBack time.Duration
}

// kind returns the error kind of the result and whether it is a failure at all.
func (res Result) kind() (fperror.Kind, bool) {
	if res.Err == nil {
		return fperror.Internal, false
	}
	return fperror.KindOf(res.Err), true
}
