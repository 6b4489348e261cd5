package fperror

import "connectrpc.com/connect"

// answers maps each kind to its answer. NotRun guarantees to the caller that the request did not run, so a kind has this outcome
// only if the router can prove that no upstream began to run the request. ExpiredIdempotencyKey and IdempotencyConflict have the
// outcome Unknown because an earlier request with the same key may have run.
var answers = [kindCount]Answer{
	Internal: {
		name:      "internal",
		code:      connect.CodeInternal,
		outcome:   Unknown,
		elsewhere: false,
	},
	InvalidRequest: {
		name:      "invalidRequest",
		code:      connect.CodeInvalidArgument,
		outcome:   NotRun,
		elsewhere: false,
	},
	UnknownMethod: {
		name:      "unknownMethod",
		code:      connect.CodeUnimplemented,
		outcome:   NotRun,
		elsewhere: false,
	},
	MissingIdempotencyKey: {
		name:      "missingIdempotencyKey",
		code:      connect.CodeInvalidArgument,
		outcome:   NotRun,
		elsewhere: false,
	},
	InvalidIdempotencyKey: {
		name:      "invalidIdempotencyKey",
		code:      connect.CodeInvalidArgument,
		outcome:   NotRun,
		elsewhere: false,
	},
	ExpiredIdempotencyKey: {
		name:      "expiredIdempotencyKey",
		code:      connect.CodeFailedPrecondition,
		outcome:   Unknown,
		elsewhere: false,
	},
	IdempotencyConflict: {
		name:      "idempotencyConflict",
		code:      connect.CodeAlreadyExists,
		outcome:   Unknown,
		elsewhere: false,
	},
	TooLarge: {
		name:      "tooLarge",
		code:      connect.CodeResourceExhausted,
		outcome:   NotRun,
		elsewhere: false,
	},
	PermissionDenied: {
		name:      "permissionDenied",
		code:      connect.CodePermissionDenied,
		outcome:   NotRun,
		elsewhere: false,
	},
	Overloaded: {
		name:      "overloaded",
		code:      connect.CodeResourceExhausted,
		outcome:   NotRun,
		elsewhere: false,
	},
	DeadlineUnreachable: {
		name:      "deadlineUnreachable",
		code:      connect.CodeDeadlineExceeded,
		outcome:   NotRun,
		elsewhere: false,
	},
	NoUpstream: {
		name:      "noUpstream",
		code:      connect.CodeUnavailable,
		outcome:   NotRun,
		elsewhere: false,
	},
	NoOwner: {
		name:      "noOwner",
		code:      connect.CodeUnavailable,
		outcome:   NotRun,
		elsewhere: false,
	},
	TableExpired: {
		name:      "tableExpired",
		code:      connect.CodeUnavailable,
		outcome:   NotRun,
		elsewhere: false,
	},
	Quarantined: {
		name:      "quarantined",
		code:      connect.CodeFailedPrecondition,
		outcome:   NotRun,
		elsewhere: false,
	},
	Draining: {
		name:      "draining",
		code:      connect.CodeUnavailable,
		outcome:   NotRun,
		elsewhere: false,
	},
	ConnectFailed: {
		name:      "connectFailed",
		code:      connect.CodeUnavailable,
		outcome:   NotRun,
		elsewhere: true,
	},
	UpstreamShed: {
		name:      "upstreamShed",
		code:      connect.CodeResourceExhausted,
		outcome:   NotRun,
		elsewhere: true,
	},
	UpstreamFenced: {
		name:      "upstreamFenced",
		code:      connect.CodeUnavailable,
		outcome:   NotRun,
		elsewhere: true,
	},
	UpstreamDraining: {
		name:      "upstreamDraining",
		code:      connect.CodeUnavailable,
		outcome:   NotRun,
		elsewhere: true,
	},
	ClaimUnavailable: {
		name:      "claimUnavailable",
		code:      connect.CodeUnavailable,
		outcome:   NotRun,
		elsewhere: false,
	},
	ClaimSetFull: {
		name:      "claimSetFull",
		code:      connect.CodeResourceExhausted,
		outcome:   NotRun,
		elsewhere: false,
	},
	UpstreamLost: {
		name:      "upstreamLost",
		code:      connect.CodeUnavailable,
		outcome:   Unknown,
		elsewhere: false,
	},
	AnswerTruncated: {
		name:      "answerTruncated",
		code:      connect.CodeDataLoss,
		outcome:   Unknown,
		elsewhere: false,
	},
	DeadlineExceeded: {
		name:      "deadlineExceeded",
		code:      connect.CodeDeadlineExceeded,
		outcome:   Unknown,
		elsewhere: false,
	},
	CallerCanceled: {
		name:      "callerCanceled",
		code:      connect.CodeCanceled,
		outcome:   Unknown,
		elsewhere: false,
	},
	OutcomeUnknown: {
		name:      "outcomeUnknown",
		code:      connect.CodeAborted,
		outcome:   Unknown,
		elsewhere: false,
	},
	NotLeader: {
		name:      "notLeader",
		code:      connect.CodeUnavailable,
		outcome:   NotRun,
		elsewhere: false,
	},
	NoQuorum: {
		name:      "noQuorum",
		code:      connect.CodeUnavailable,
		outcome:   NotRun,
		elsewhere: false,
	},
	CommitUnknown: {
		name:      "commitUnknown",
		code:      connect.CodeUnknown,
		outcome:   Unknown,
		elsewhere: false,
	},
	VersionConflict: {
		name:      "versionConflict",
		code:      connect.CodeFailedPrecondition,
		outcome:   NotRun,
		elsewhere: false,
	},
	InvalidConfiguration: {
		name:      "invalidConfiguration",
		code:      connect.CodeInvalidArgument,
		outcome:   NotRun,
		elsewhere: false,
	},
	StorageFailed: {
		name:      "storageFailed",
		code:      connect.CodeUnavailable,
		outcome:   Unknown,
		elsewhere: false,
	},
	InvalidSettings: {
		name:      "invalidSettings",
		code:      connect.CodeInvalidArgument,
		outcome:   NotRun,
		elsewhere: false,
	},
}
