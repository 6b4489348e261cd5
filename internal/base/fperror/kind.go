// Package fperror holds the closed list of error kinds of the router and the table that maps each kind to an answer.
package fperror

import "connectrpc.com/connect"

// Kind is one kind of error. The zero value is Internal.
type Kind uint8

// The error kinds. Their names in answers and counters are camel case, as returned by String.
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

// Outcome states whether a request ran on an upstream.
type Outcome uint8

// The outcomes of a request.
const (
	// Unknown means that the request may have run.
	Unknown Outcome = iota
	// NotRun means that the request certainly did not run.
	NotRun
	// Ran means that the request certainly ran to its end.
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

// Answer is what a caller gets for an error kind.
type Answer struct {
	name      string
	code      connect.Code
	outcome   Outcome
	elsewhere bool
}

// Name returns the value of the Foxtailpulley-Error header.
func (ans Answer) Name() string { return ans.name }

// Code returns the status code of the call.
func (ans Answer) Code() connect.Code { return ans.code }

// Outcome states whether the request ran.
func (ans Answer) Outcome() Outcome { return ans.outcome }

// Elsewhere states whether another upstream may be tried without a risk of a second run.
func (ans Answer) Elsewhere() bool { return ans.elsewhere }

// Answer returns the table's row of the kind. A kind outside the list gets the row of Internal.
func (kin Kind) Answer() Answer {
	if kin >= kindCount {
		return answers[Internal]
	}
	return answers[kin]
}

// String returns the name of the kind in answers, counters and logs.
func (kin Kind) String() string { return kin.Answer().name }

// Parse returns the kind with the given name.
func Parse(name string) (Kind, bool) {
	for kin := range kindCount {
		if answers[kin].name == name {
			return kin, true
		}
	}
	return Internal, false
}

// Kinds returns all kinds in the order of the list.
func Kinds() []Kind {
	all := make([]Kind, 0, kindCount)
	for kin := range kindCount {
		all = append(all, kin)
	}
	return all
}
