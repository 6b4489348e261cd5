package fpfence

import (
	"net/http"
	"sync/atomic"
)

// stoppedHeader is the header of an answer to a request that the fence stopped before its end. The value is 1.
const stoppedHeader = "Foxtailpulley-Stopped"

// stoppableWriter says in the header of an answer that the fence has stopped the request. Otherwise the answer of a handler whose context
// has ended would pass for one to a caller that canceled.
type stoppableWriter struct {
	http.ResponseWriter
	stopped *atomic.Bool
	begun   bool
}

// Unwrap returns the writer for http.ResponseController.
func (stw *stoppableWriter) Unwrap() http.ResponseWriter { return stw.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (stw *stoppableWriter) WriteHeader(status int) {
	if !stw.begun && stw.stopped.Load() {
		stw.Header()[stoppedHeader] = []string{"1"}
	}
	stw.begun = stw.begun || status >= http.StatusOK
	stw.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (stw *stoppableWriter) Write(data []byte) (int, error) {
	stw.begin()
	return stw.ResponseWriter.Write(data)
}

// Flush implements http.Flusher, which connect requires of the writer of a stream.
func (stw *stoppableWriter) Flush() {
	stw.begin()
	_ = http.NewResponseController(stw.ResponseWriter).Flush() // the next write fails, too
}

// begin writes the header of an answer that begins without one.
func (stw *stoppableWriter) begin() {
	if !stw.begun {
		stw.WriteHeader(http.StatusOK)
	}
}
