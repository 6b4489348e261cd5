package fperror

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Error is an error with a kind, a message and an optional cause. Use New or Wrap to create one.
type Error struct {
	kind    Kind
	message string
	cause   error
}

// New returns an error of the given kind. Its message is formatted as by fmt.Sprintf.
func New(kin Kind, format string, args ...any) error {
	return &Error{
		kind:    kin,
		message: fmt.Sprintf(format, args...),
	}
}

// Wrap returns an error of the given kind with a cause. Its message is formatted as by fmt.Sprintf; Error adds that of the cause.
func Wrap(kin Kind, cause error, format string, args ...any) error {
	return &Error{
		kind:    kin,
		message: fmt.Sprintf(format, args...),
		cause:   cause,
	}
}

// Error returns the message, followed by that of the cause if there is one.
func (err *Error) Error() string {
	if err.cause == nil {
		return err.message
	}
	return err.message + ": " + err.cause.Error()
}

// Unwrap returns the cause, or nil if there is none.
func (err *Error) Unwrap() error { return err.cause }

// Kind returns the kind of the error.
func (err *Error) Kind() Kind { return err.kind }

// KindOf returns the kind of the outermost Error in the chain of err, or Internal if there is none.
func KindOf(err error) Kind {
	var found *Error
	if errors.As(err, &found) {
		return found.kind
	}
	return Internal
}

// Is reports whether err is not nil and KindOf(err) is the given kind.
func Is(err error, kin Kind) bool {
	return err != nil && KindOf(err) == kin
}
