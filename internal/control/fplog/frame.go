package fplog

import (
	"encoding/binary"
	"hash/crc32"

	"google.golang.org/protobuf/proto"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

// A frame is the unit of writing: a header of frameHeader bytes and a payload. The header holds, in little-endian order,
// the magic number (4 bytes), the length of the payload in bytes (4), the sequence number of the frame (8) and a CRC-32C
// of the length, the sequence number and the payload (4). The payload is an fpwire.GroupMessage in protobuf encoding.
const (
	frameMagic  = 0x46504c31
	frameHeader = 20
	// maxPayload is the largest payload in bytes. It limits the memory that is allocated for a damaged length.
	maxPayload = 1 << 30
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// appendFrame appends a frame with the message as payload to buf.
func appendFrame(buf []byte, seq uint64, msg *fpwire.GroupMessage) ([]byte, error) {
	start := len(buf)
	buf = append(buf, make([]byte, frameHeader)...)
	buf, err := proto.MarshalOptions{}.MarshalAppend(buf, msg)
	if err != nil {
		return nil, fperror.Wrap(fperror.Internal, err, "encode a log frame")
	}
	size := len(buf) - start - frameHeader
	if size > maxPayload {
		return nil, fperror.New(fperror.TooLarge, "the payload of a log frame has %d bytes; the limit is %d", size, maxPayload)
	}
	head := buf[start : start+frameHeader]
	binary.LittleEndian.PutUint32(head[0:], frameMagic)
	binary.LittleEndian.PutUint32(head[4:], uint32(size))
	binary.LittleEndian.PutUint64(head[8:], seq)
	binary.LittleEndian.PutUint32(head[16:], checksum(buf[start:]))
	return buf, nil
}

// checksum returns the CRC-32C of a frame without its magic number and its stored checksum.
func checksum(frame []byte) uint32 {
	sum := crc32.Update(0, castagnoli, frame[4:16])
	return crc32.Update(sum, castagnoli, frame[frameHeader:])
}

// decodeFrame decodes the frame at the start of buf and returns its message, its sequence number and its size in bytes
// with the header. The message is nil and the size 0 if buf does not start with a valid frame.
func decodeFrame(buf []byte) (msg *fpwire.GroupMessage, seq uint64, size int) {
	if len(buf) < frameHeader || binary.LittleEndian.Uint32(buf) != frameMagic {
		return nil, 0, 0
	}
	length := int(binary.LittleEndian.Uint32(buf[4:]))
	if length > maxPayload || length > len(buf)-frameHeader {
		return nil, 0, 0
	}
	size = frameHeader + length
	if binary.LittleEndian.Uint32(buf[16:]) != checksum(buf[:size]) {
		return nil, 0, 0
	}
	msg = &fpwire.GroupMessage{}
	if err := proto.Unmarshal(buf[frameHeader:size], msg); err != nil {
		return nil, 0, 0
	}
	return msg, binary.LittleEndian.Uint64(buf[8:]), size
}

// hasLaterFrame reports whether buf holds a valid frame with a sequence number above seq at any offset after the first
// byte. A frame is written only after the previous one was synced, so such a frame proves that the bytes before it were
// damaged after their sync, and are not the rest of an interrupted write.
func hasLaterFrame(buf []byte, seq uint64) bool {
	for off := 1; off+frameHeader <= len(buf); off++ {
		if binary.LittleEndian.Uint32(buf[off:]) != frameMagic {
			continue
		}
		if msg, found, _ := decodeFrame(buf[off:]); msg != nil && found > seq {
			return true
		}
	}
	return false
}
