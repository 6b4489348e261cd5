// Package fperror defines the error kinds of the router and maps each kind to the answer that a caller gets.
package fperror

import "connectrpc.com/connect"

// Kind is a kind of error. The zero value is Internal.
type Kind uint8

// The error kinds. String returns their names in answers, counters and logs, which are in camel case.
const (
	Internal Kind = iota
	InvalidRequest
	UnknownMethod
	MissingIdempotencyKey
	InvalidIdempotencyKey
	ExpiredIdempotencyKey
	IdempotencyConflict
	TooLarge
	PermissionDenied
	Overloaded
	DeadlineUnreachable
	NoUpstream
	NoOwner
	TableExpired
	Quarantined
	Draining
	ConnectFailed
	UpstreamShed
	UpstreamFenced
	UpstreamDraining
	ClaimUnavailable
	ClaimSetFull
	UpstreamLost
	UpstreamStopped
	AnswerTruncated
	DeadlineExceeded
	CallerCanceled
	OutcomeUnknown
	NotLeader
	NoQuorum
	CommitUnknown
	VersionConflict
	InvalidConfiguration
	StorageFailed
	InvalidSettings
	kindCount
)

// Outcome tells whether a request ran on an upstream. The zero value is Unknown.
type Outcome uint8

// The outcomes of a request.
const (
	// Unknown means that the request may have run.
	Unknown Outcome = iota
	// NotRun means that no upstream began to run the request.
	NotRun
	// Ran means that an upstream ran the request to its end.
	Ran
)

// String returns the value of the Foxtailpulley-Outcome header.
func (out Outcome) String() string {
	switch out {
	case NotRun:
		return "notRun"
	case Ran:
		return "ran"
	default:
		return "unknown"
	}
}

// Answer is the answer to a caller for one error kind.
type Answer struct {
	name           string
	code           connect.Code
	outcome        Outcome
	retryElsewhere bool
}

// Name returns the value of the Foxtailpulley-Error header.
func (ans Answer) Name() string { return ans.name }

// Code returns the status code of the call.
func (ans Answer) Code() connect.Code { return ans.code }

// Outcome returns whether the request ran, as the value of the Foxtailpulley-Outcome header.
func (ans Answer) Outcome() Outcome { return ans.outcome }

// RetryElsewhere reports whether the request may be sent to another upstream without the risk that it runs twice.
func (ans Answer) RetryElsewhere() bool { return ans.retryElsewhere }

// Answer returns the answer for the kind. That of an undefined kind is that of Internal.
func (kin Kind) Answer() Answer {
	if kin >= kindCount {
		return answers[Internal]
	}
	return answers[kin]
}

// String returns the name of the kind, such as connectFailed.
func (kin Kind) String() string { return kin.Answer().name }

// Parse returns the kind with the given name, or Internal and false if there is none.
func Parse(name string) (Kind, bool) {
	for kin := range kindCount {
		if answers[kin].name == name {
			return kin, true
		}
	}
	return Internal, false
}

// Kinds returns all kinds in ascending order.
func Kinds() []Kind {
	all := make([]Kind, 0, kindCount)
	for kin := range kindCount {
		all = append(all, kin)
	}
	return all
}
