package fperror

import "connectrpc.com/connect"

// answers maps each kind to its answer. NotRun guarantees to the caller that the request did not run, so a kind has this outcome
// only if the router can prove that no upstream began to run the request. ExpiredIdempotencyKey and IdempotencyConflict have the
// outcome Unknown because an earlier request with the same key may have run.
var answers = [kindCount]Answer{
	Internal: {
		name:           "internal",
		code:           connect.CodeInternal,
		outcome:        Unknown,
		retryElsewhere: false,
	},
	InvalidRequest: {
		name:           "invalidRequest",
		code:           connect.CodeInvalidArgument,
		outcome:        NotRun,
		retryElsewhere: false,
	},
	UnknownMethod: {
		name:           "unknownMethod",
		code:           connect.CodeUnimplemented,
		outcome:        NotRun,
		retryElsewhere: false,
	},
	MissingIdempotencyKey: {
		name:           "missingIdempotencyKey",
		code:           connect.CodeInvalidArgument,
		outcome:        NotRun,
		retryElsewhere: false,
	},
	InvalidIdempotencyKey: {
		name:           "invalidIdempotencyKey",
		code:           connect.CodeInvalidArgument,
		outcome:        NotRun,
		retryElsewhere: false,
	},
	ExpiredIdempotencyKey: {
		name:           "expiredIdempotencyKey",
		code:           connect.CodeFailedPrecondition,
		outcome:        Unknown,
		retryElsewhere: false,
	},
	IdempotencyConflict: {
		name:           "idempotencyConflict",
		code:           connect.CodeAlreadyExists,
		outcome:        Unknown,
		retryElsewhere: false,
	},
	TooLarge: {
		name:           "tooLarge",
		code:           connect.CodeResourceExhausted,
		outcome:        NotRun,
		retryElsewhere: false,
	},
	PermissionDenied: {
		name:           "permissionDenied",
		code:           connect.CodePermissionDenied,
		outcome:        NotRun,
		retryElsewhere: false,
	},
	Overloaded: {
		name:           "overloaded",
		code:           connect.CodeResourceExhausted,
		outcome:        NotRun,
		retryElsewhere: false,
	},
	DeadlineUnreachable: {
		name:           "deadlineUnreachable",
		code:           connect.CodeDeadlineExceeded,
		outcome:        NotRun,
		retryElsewhere: false,
	},
	NoUpstream: {
		name:           "noUpstream",
		code:           connect.CodeUnavailable,
		outcome:        NotRun,
		retryElsewhere: false,
	},
	NoOwner: {
		name:           "noOwner",
		code:           connect.CodeUnavailable,
		outcome:        NotRun,
		retryElsewhere: false,
	},
	TableExpired: {
		name:           "tableExpired",
		code:           connect.CodeUnavailable,
		outcome:        NotRun,
		retryElsewhere: false,
	},
	Quarantined: {
		name:           "quarantined",
		code:           connect.CodeFailedPrecondition,
		outcome:        NotRun,
		retryElsewhere: false,
	},
	Draining: {
		name:           "draining",
		code:           connect.CodeUnavailable,
		outcome:        NotRun,
		retryElsewhere: false,
	},
	ConnectFailed: {
		name:           "connectFailed",
		code:           connect.CodeUnavailable,
		outcome:        NotRun,
		retryElsewhere: true,
	},
	UpstreamShed: {
		name:           "upstreamShed",
		code:           connect.CodeResourceExhausted,
		outcome:        NotRun,
		retryElsewhere: true,
	},
	UpstreamFenced: {
		name:           "upstreamFenced",
		code:           connect.CodeUnavailable,
		outcome:        NotRun,
		retryElsewhere: true,
	},
	UpstreamDraining: {
		name:           "upstreamDraining",
		code:           connect.CodeUnavailable,
		outcome:        NotRun,
		retryElsewhere: true,
	},
	ClaimUnavailable: {
		name:           "claimUnavailable",
		code:           connect.CodeUnavailable,
		outcome:        NotRun,
		retryElsewhere: false,
	},
	ClaimSetFull: {
		name:           "claimSetFull",
		code:           connect.CodeResourceExhausted,
		outcome:        NotRun,
		retryElsewhere: false,
	},
	UpstreamLost: {
		name:           "upstreamLost",
		code:           connect.CodeUnavailable,
		outcome:        Unknown,
		retryElsewhere: false,
	},
	UpstreamStopped: {
		name:           "upstreamStopped",
		code:           connect.CodeUnavailable,
		outcome:        Unknown,
		retryElsewhere: false,
	},
	AnswerTruncated: {
		name:           "answerTruncated",
		code:           connect.CodeDataLoss,
		outcome:        Unknown,
		retryElsewhere: false,
	},
	DeadlineExceeded: {
		name:           "deadlineExceeded",
		code:           connect.CodeDeadlineExceeded,
		outcome:        Unknown,
		retryElsewhere: false,
	},
	CallerCanceled: {
		name:           "callerCanceled",
		code:           connect.CodeCanceled,
		outcome:        Unknown,
		retryElsewhere: false,
	},
	OutcomeUnknown: {
		name:           "outcomeUnknown",
		code:           connect.CodeAborted,
		outcome:        Unknown,
		retryElsewhere: false,
	},
	NotLeader: {
		name:           "notLeader",
		code:           connect.CodeUnavailable,
		outcome:        NotRun,
		retryElsewhere: false,
	},
	NoQuorum: {
		name:           "noQuorum",
		code:           connect.CodeUnavailable,
		outcome:        NotRun,
		retryElsewhere: false,
	},
	CommitUnknown: {
		name:           "commitUnknown",
		code:           connect.CodeUnknown,
		outcome:        Unknown,
		retryElsewhere: false,
	},
	VersionConflict: {
		name:           "versionConflict",
		code:           connect.CodeFailedPrecondition,
		outcome:        NotRun,
		retryElsewhere: false,
	},
	InvalidConfiguration: {
		name:           "invalidConfiguration",
		code:           connect.CodeInvalidArgument,
		outcome:        NotRun,
		retryElsewhere: false,
	},
	StorageFailed: {
		name:           "storageFailed",
		code:           connect.CodeUnavailable,
		outcome:        Unknown,
		retryElsewhere: false,
	},
	InvalidSettings: {
		name:           "invalidSettings",
		code:           connect.CodeInvalidArgument,
		outcome:        NotRun,
		retryElsewhere: false,
	},
}
