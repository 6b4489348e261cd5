package fpgate

import (
	"bufio"
	"bytes"
	"net/http"
	"slices"
	"time"

	"golang.org/x/net/http/httpguts"
)

// requests are the headers of the requests on a connection that have been read and whose turn has not come, as bytes. Requests
// without a body follow each other, so that each header ends where the next one begins; after a request with a body nothing is
// known any more.
type requests struct {
	// lost states that a request had a body.
	lost bool
	// buf holds the bytes behind the header of the last request whose turn has come. The server has got the first given of
	// them.
	buf   []byte
	given int
	// ends are the ends of headers among the given bytes.
	ends []int
	scan headerScan
	// reads tells when the bytes were read.
	reads []readMark
	// parsed is the end of the last header that was looked at, and stopped states that no further one is to be.
	parsed  int
	stopped bool
	look    headerScan
}

// readMark is when bytes up to an end were read.
type readMark struct {
	end int
	at  time.Time
}

// add appends bytes that were read.
func (rqs *requests) add(buf []byte, now time.Time) {
	if len(buf) == 0 {
		return
	}
	rqs.buf = append(rqs.buf, buf...)
	if !rqs.lost {
		rqs.reads = append(rqs.reads, readMark{
			end: len(rqs.buf),
			at:  now,
		})
	}
}

// waiting returns the number of bytes that the server has not got.
func (rqs *requests) waiting() int { return len(rqs.buf) - rqs.given }

// give copies bytes for the server, at most up to the end of a header.
func (rqs *requests) give(buf []byte) int {
	some := rqs.buf[rqs.given:min(len(rqs.buf), rqs.given+len(buf))]
	if !rqs.lost {
		if end := rqs.scan.end(some); end > 0 {
			some = some[:end]
			rqs.ends = append(rqs.ends, rqs.given+end)
		}
	}
	num := copy(buf, some)
	rqs.given += num
	if rqs.lost {
		rqs.forget(rqs.given)
	}
	return num
}

// begin takes the turn of the next request and returns when it was read.
func (rqs *requests) begin(now time.Time, hasBody bool) time.Time {
	if rqs.lost || len(rqs.ends) == 0 {
		return now
	}
	end := rqs.ends[0]
	at := now
	for _, mark := range rqs.reads {
		if mark.end >= end {
			at = mark.at
			break
		}
	}
	rqs.ends = slices.Delete(rqs.ends, 0, 1)
	rqs.forget(end)
	if hasBody {
		rqs.lost = true
		rqs.ends, rqs.reads = nil, nil
		rqs.forget(rqs.given)
	}
	return at
}

// forget drops bytes at the front.
func (rqs *requests) forget(count int) {
	rqs.buf = slices.Delete(rqs.buf, 0, count)
	rqs.given -= count
	rqs.parsed = max(0, rqs.parsed-count)
	for num := range rqs.ends {
		rqs.ends[num] -= count
	}
	kept := rqs.reads[:0]
	for _, mark := range rqs.reads {
		if mark.end > count {
			mark.end -= count
			kept = append(kept, mark)
		}
	}
	rqs.reads = kept
}

// next returns the next request that can be begun before its turn, with the time at which it was read, or nil. It has no body
// and is one that the server will take.
func (rqs *requests) next() (*http.Request, time.Time) {
	if rqs.lost || rqs.stopped {
		return nil, time.Time{}
	}
	rest := rqs.buf[rqs.parsed:]
	scan := headerScan{}
	end := scan.end(rest)
	if end <= 0 {
		return nil, time.Time{}
	}
	red := bufio.NewReader(bytes.NewReader(rest[:end]))
	req, err := http.ReadRequest(red)
	if err != nil || red.Buffered() > 0 || !plain(req) {
		rqs.stopped = true
		return nil, time.Time{}
	}
	rqs.parsed += end
	for _, mark := range rqs.reads {
		if mark.end >= rqs.parsed {
			return req, mark.at
		}
	}
	return req, time.Now()
}

// plain reports whether the server is sure to take a request, and reads no body.
func plain(req *http.Request) bool {
	if req.Method != http.MethodGet || !req.ProtoAtLeast(1, 1) || req.ContentLength != 0 || len(req.TransferEncoding) > 0 {
		return false
	}
	for _, name := range []string{"Content-Length", "Transfer-Encoding", "Expect", "Upgrade", "Trailer", "Connection"} {
		if _, ok := req.Header[name]; ok {
			return false
		}
	}
	if req.Host == "" || !httpguts.ValidHostHeader(req.Host) {
		return false
	}
	for name, values := range req.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return false
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return false
			}
		}
	}
	return true
}

// headerScan finds the empty line that ends a header. The zero value is at the start of one.
type headerScan struct {
	// lineStart states that a line has ended, and carriage that a carriage return has come after it.
	lineStart, carriage bool
}

// end returns the position behind the end of a header, or 0 if the header goes on behind the bytes.
func (hsc *headerScan) end(buf []byte) int {
	for pos := 0; pos < len(buf); pos++ {
		switch one := buf[pos]; {
		case one == '\n' && hsc.lineStart:
			*hsc = headerScan{}
			return pos + 1
		case one == '\r' && hsc.lineStart && !hsc.carriage:
			hsc.carriage = true
		case one == '\n':
			hsc.lineStart, hsc.carriage = true, false
		default:
			hsc.lineStart, hsc.carriage = false, false
			skip := bytes.IndexByte(buf[pos:], '\n')
			if skip < 0 {
				return 0
			}
			pos += skip - 1
		}
	}
	return 0
}
