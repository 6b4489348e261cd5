package fpgate

import (
	"fmt"
	"io"
	"runtime"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fpline"
)

// writeProcessMetrics writes the metrics of the process: goroutines, heap and dropped log lines.
func writeProcessMetrics(out io.Writer, logWriter *fpline.Writer) {
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	fmt.Fprintf(out, "goroutines %d\nheapBytes %d\nlogLinesDropped %d\n", runtime.NumGoroutine(), mem.HeapAlloc, logWriter.Dropped())
}
