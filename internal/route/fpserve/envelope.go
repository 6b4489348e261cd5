package fpserve

import "encoding/binary"

// envelopePrefixSize is the length in bytes of the prefix of an enveloped message: a flag byte and a length of four
// bytes.
const envelopePrefixSize = 5

// endStreamFlag marks the end-of-stream message of a Connect stream.
const endStreamFlag = 2

// envelopeTracker parses the message prefixes of a body without keeping the body, to detect a truncation.
type envelopeTracker struct {
	prefix     [envelopePrefixSize]byte
	prefixRead int    // bytes of the current prefix that have been read
	remaining  uint64 // bytes of the current message that have not been read
	endStream  bool   // the latest message is the end-of-stream message
}

// write parses the next bytes of the body.
func (env *envelopeTracker) write(data []byte) {
	for len(data) > 0 {
		if env.remaining > 0 {
			num := min(env.remaining, uint64(len(data)))
			env.remaining -= num
			data = data[num:]
			continue
		}
		num := copy(env.prefix[env.prefixRead:], data)
		env.prefixRead += num
		data = data[num:]
		if env.prefixRead == envelopePrefixSize {
			env.prefixRead = 0
			env.remaining = uint64(binary.BigEndian.Uint32(env.prefix[1:]))
			env.endStream = env.prefix[0]&endStreamFlag != 0
		}
	}
}

// betweenMessages reports whether no message is incomplete.
func (env *envelopeTracker) betweenMessages() bool { return env.prefixRead == 0 && env.remaining == 0 }
