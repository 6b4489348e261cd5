package fpserve

import "encoding/binary"

// envelopeSize is the length of the prefix of an enveloped message: a flag byte and a length of four bytes.
const envelopeSize = 5

// endStreamFlag marks the last message of a Connect stream.
const endStreamFlag = 2

// envelopes follows the length prefixes of a body without keeping it, to tell a whole body from a truncated one.
type envelopes struct {
	prefix [envelopeSize]byte
	have   int    // bytes of the current prefix
	left   uint64 // bytes of the current message that are still missing
	last   bool   // the current or latest message is the last one
}

// write follows the next part of the body.
func (env *envelopes) write(part []byte) {
	for len(part) > 0 {
		if env.left > 0 {
			num := min(env.left, uint64(len(part)))
			env.left -= num
			part = part[num:]
			continue
		}
		num := copy(env.prefix[env.have:], part)
		env.have += num
		part = part[num:]
		if env.have == envelopeSize {
			env.have = 0
			env.left = uint64(binary.BigEndian.Uint32(env.prefix[1:]))
			env.last = env.prefix[0]&endStreamFlag != 0
		}
	}
}

// whole reports whether the body ends between two messages.
func (env *envelopes) whole() bool { return env.have == 0 && env.left == 0 }
