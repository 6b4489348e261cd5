package fpforward

import (
	"io"

	"golang.org/x/sync/semaphore"
)

// scarceBuffer is the size in bytes of the buffer through which an answer passes for which there is no memory. The library's own has
// 32 KiB, which is more than most answers.
const scarceBuffer = 2 << 10

// heldMemory is memory that the answers of a request hold.
type heldMemory struct {
	from  *semaphore.Weighted
	bytes int64
}

// holdAnswer reserves memory for an answer, and reports whether there was enough. It is held until the answer has been written, which may
// be long after the deadline if the caller reads slowly.
func (exc *exchange) holdAnswer(from *semaphore.Weighted, bytes int64) bool {
	if !from.TryAcquire(bytes) {
		return false
	}
	exc.mutex.Lock()
	defer exc.mutex.Unlock()
	exc.held = append(exc.held, heldMemory{
		from:  from,
		bytes: bytes,
	})
	return true
}

// releaseAnswers releases the memory of all answers to the request.
func (exc *exchange) releaseAnswers() {
	exc.mutex.Lock()
	defer exc.mutex.Unlock()
	for _, hel := range exc.held {
		hel.from.Release(hel.bytes)
	}
	exc.held = nil
}

// copyRest writes what follows the buffered part of an answer.
func (rep *reply) copyRest(to io.Writer) error {
	if !rep.scarce {
		_, err := io.Copy(to, rep.rest)
		return err
	}
	// Without the methods of the writer, which bring a buffer of their own.
	_, err := io.CopyBuffer(struct{ io.Writer }{to}, struct{ io.Reader }{rep.rest}, make([]byte, scarceBuffer))
	return err
}
