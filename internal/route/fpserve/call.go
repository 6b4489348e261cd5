package fpserve

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/config/fpschema"
)

// Call describes one request of a caller. The functions of Config receive it.
type Call struct {
	method         *fpschema.Method
	protocol       protocol
	fields         fpschema.Fields
	idempotencyKey string
	caller         string
	deadline       time.Time
	body           *body
	tried          []string
	uncertain      int // attempts that may have run
	digest         []byte
}

// Method returns the method of the schema that is called.
func (cal *Call) Method() *fpschema.Method { return cal.method }

// Key returns the key of a keyed call, or nil.
func (cal *Call) Key() []byte { return cal.fields.Key }

// Home returns the value of the field that determines the group of the key, or "" if the service has no such field.
func (cal *Call) Home() string { return cal.fields.Home }

// IdempotencyKey returns the value of the Idempotency-Key header, or "" if there is none.
func (cal *Call) IdempotencyKey() string { return cal.idempotencyKey }

// ClaimKey returns the key that determines the slot of the call's claim: the key of a keyed call, or the idempotency
// key.
func (cal *Call) ClaimKey() []byte {
	if cal.method.Keyed() {
		return cal.fields.Key
	}
	return []byte(cal.idempotencyKey)
}

// Caller returns the name of the caller for fair sharing.
func (cal *Call) Caller() string { return cal.caller }

// Deadline returns when the call ends at the latest.
func (cal *Call) Deadline() time.Time { return cal.deadline }

// Size returns the length of the body in bytes, or -1 if it is unknown.
func (cal *Call) Size() int64 { return cal.body.size }

// TriedUpstreams returns the names of the upstreams at which the call was attempted or was refused admission, oldest first.
func (cal *Call) TriedUpstreams() []string { return cal.tried }

// UncertainAttempts returns the number of attempts that may have run and got no complete answer.
func (cal *Call) UncertainAttempts() int { return cal.uncertain }

// SuspectID returns the identity of the request in crash reports: its idempotency key, or else the digest in hexadecimal.
func (cal *Call) SuspectID() string {
	if cal.idempotencyKey != "" {
		return cal.idempotencyKey
	}
	return hex.EncodeToString(cal.Digest())
}

// Digest returns the SHA-256 of the content type, the path of the method and the body. Of a streamed body it covers only
// the buffered beginning, whose length depends on nothing but the body.
func (cal *Call) Digest() []byte {
	if cal.digest != nil {
		return cal.digest
	}
	sum := sha256.New()
	sum.Write([]byte(cal.protocol.contentType))
	sum.Write([]byte{0})
	sum.Write([]byte(cal.method.Path()))
	sum.Write([]byte{0})
	sum.Write(cal.body.buffered)
	cal.digest = sum.Sum(nil)
	return cal.digest
}
