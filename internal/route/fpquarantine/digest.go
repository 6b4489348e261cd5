package fpquarantine

import (
	"crypto/sha256"
	"encoding/hex"
	"hash"
)

// digestBytes is the length of a digest in bytes. With 128 bits, accidental collisions are negligible.
const digestBytes = 16

// Digest identifies a request without an idempotency key by its method and body. The body may be written in several chunks.
// Use NewDigest to create one.
type Digest struct {
	sum hash.Hash
}

// NewDigest returns the digest of a request for a method with an empty body.
func NewDigest(method string) *Digest {
	dig := &Digest{
		sum: sha256.New(),
	}
	dig.sum.Write([]byte(method))
	dig.sum.Write([]byte{0})
	return dig
}

// Write adds a chunk of the body. It never fails.
func (dig *Digest) Write(chunk []byte) (int, error) { return dig.sum.Write(chunk) }

// String returns the identity of the request with the body written so far.
func (dig *Digest) String() string {
	return "body:" + hex.EncodeToString(dig.sum.Sum(nil)[:digestBytes])
}

// KeyIdentity returns the identity of a request with an idempotency key.
func KeyIdentity(idempotencyKey string) string {
	return "key:" + idempotencyKey
}
