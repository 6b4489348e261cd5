package fpserve

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/config/fpschema"
)

// Call describes one request of a caller to the functions of Config.
type Call struct {
	method         *fpschema.Method
	protocol       protocol
	fields         fpschema.Fields
	idempotencyKey string
	caller         string
	deadline       time.Time
	body           *body
	tried          []string
	digest         []byte
}

// Method returns the method with its rules.
func (cal *Call) Method() *fpschema.Method { return cal.method }

// Key returns the key of a keyed call, or nil.
func (cal *Call) Key() []byte { return cal.fields.Key }

// Home returns the value of the home field, or "".
func (cal *Call) Home() string { return cal.fields.Home }

// IdempotencyKey returns the Idempotency-Key header, or "".
func (cal *Call) IdempotencyKey() string { return cal.idempotencyKey }

// ClaimKey returns what determines the slot of the call's claim: the key of a keyed call, or the idempotency key.
func (cal *Call) ClaimKey() []byte {
	if cal.method.Keyed() {
		return cal.fields.Key
	}
	return []byte(cal.idempotencyKey)
}

// Caller returns the name that is used for fair sharing.
func (cal *Call) Caller() string { return cal.caller }

// Deadline returns when the call ends at the latest.
func (cal *Call) Deadline() time.Time { return cal.deadline }

// Size returns the length of the body in bytes, or -1 when it is streamed with an unknown length.
func (cal *Call) Size() int64 { return cal.body.size }

// Tried returns the names of the upstreams to which attempts were made, oldest first.
func (cal *Call) Tried() []string { return cal.tried }

// Suspect identifies the request in reports of crashes: by its idempotency key, or by a digest of method and body.
func (cal *Call) Suspect() string {
	if cal.idempotencyKey != "" {
		return cal.idempotencyKey
	}
	return hex.EncodeToString(cal.Digest())
}

// Digest returns a SHA-256 of the protocol, the method and the body. For a body that is streamed it covers the part that
// is read ahead, whose length depends only on the body.
func (cal *Call) Digest() []byte {
	if cal.digest != nil {
		return cal.digest
	}
	sum := sha256.New()
	sum.Write([]byte(cal.protocol.contentType))
	sum.Write([]byte{0})
	sum.Write([]byte(cal.method.Path()))
	sum.Write([]byte{0})
	sum.Write(cal.body.ahead)
	cal.digest = sum.Sum(nil)
	return cal.digest
}
