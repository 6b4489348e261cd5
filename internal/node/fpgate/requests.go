package fpgate

import (
	"bufio"
	"bytes"
	"net/http"
	"slices"
	"time"

	"golang.org/x/net/http/httpguts"
)

// requestBuffer holds the bytes of pipelined requests that have been read and whose turn has not come. Requests without a
// body follow each other, so each header ends where the next one begins. After a request with a body the boundaries of later
// requests are unknown.
type requestBuffer struct {
	// hadBody states that a request had a body, so later requests cannot be found in buf.
	hadBody bool
	// buf holds the bytes after the header of the last request whose turn has come. The server has read the first delivered
	// of them.
	buf       []byte
	delivered int
	// headerEnds are the offsets in buf at which the delivered headers end, and scanner finds them.
	headerEnds []int
	scanner    headerScanner
	// readMarks hold the times at which the bytes of buf were read.
	readMarks []readMark
	// parsed is the offset in buf at which the last header returned by nextPipelined ends. pipelineStopped states that a
	// request has to wait for its turn, and all later ones with it.
	parsed          int
	pipelineStopped bool
	look            headerScanner
}

// readMark is the time at which the bytes before the offset end were read.
type readMark struct {
	end int
	at  time.Time
}

// add appends bytes that were read from the connection.
func (rqb *requestBuffer) add(buf []byte, now time.Time) {
	if len(buf) == 0 {
		return
	}
	rqb.buf = append(rqb.buf, buf...)
	if !rqb.hadBody {
		rqb.readMarks = append(rqb.readMarks, readMark{
			end: len(rqb.buf),
			at:  now,
		})
	}
}

// undelivered returns the number of bytes that the server has not read.
func (rqb *requestBuffer) undelivered() int { return len(rqb.buf) - rqb.delivered }

// deliver copies bytes to the server's buffer, at most up to the end of a header, and returns their number.
func (rqb *requestBuffer) deliver(buf []byte) int {
	some := rqb.buf[rqb.delivered:min(len(rqb.buf), rqb.delivered+len(buf))]
	if !rqb.hadBody {
		if end := rqb.scanner.findEnd(some); end > 0 {
			some = some[:end]
			rqb.headerEnds = append(rqb.headerEnds, rqb.delivered+end)
		}
	}
	num := copy(buf, some)
	rqb.delivered += num
	if rqb.hadBody {
		rqb.discard(rqb.delivered)
	}
	return num
}

// advance removes the header of the request whose turn has come and returns the time at which its last byte was read.
func (rqb *requestBuffer) advance(now time.Time, hasBody bool) time.Time {
	if rqb.hadBody || len(rqb.headerEnds) == 0 {
		return now
	}
	end := rqb.headerEnds[0]
	at := now
	for _, mark := range rqb.readMarks {
		if mark.end >= end {
			at = mark.at
			break
		}
	}
	rqb.headerEnds = slices.Delete(rqb.headerEnds, 0, 1)
	rqb.discard(end)
	if hasBody {
		rqb.hadBody = true
		rqb.headerEnds, rqb.readMarks = nil, nil
		rqb.discard(rqb.delivered)
	}
	return at
}

// discard removes the first count bytes of buf.
func (rqb *requestBuffer) discard(count int) {
	rqb.buf = slices.Delete(rqb.buf, 0, count)
	rqb.delivered -= count
	rqb.parsed = max(0, rqb.parsed-count)
	for num := range rqb.headerEnds {
		rqb.headerEnds[num] -= count
	}
	kept := rqb.readMarks[:0]
	for _, mark := range rqb.readMarks {
		if mark.end > count {
			mark.end -= count
			kept = append(kept, mark)
		}
	}
	rqb.readMarks = kept
}

// nextPipelined returns the next request that may be begun before its turn and the time at which it was read, or nil. The
// request has no body and is one that the server certainly accepts, with a header of at most maxHeader bytes.
func (rqb *requestBuffer) nextPipelined(maxHeader int) (*http.Request, time.Time) {
	if rqb.hadBody || rqb.pipelineStopped {
		return nil, time.Time{}
	}
	rest := rqb.buf[rqb.parsed:]
	scan := headerScanner{}
	end := scan.findEnd(rest)
	if end <= 0 {
		return nil, time.Time{}
	}
	red := bufio.NewReader(bytes.NewReader(rest[:end]))
	req, err := http.ReadRequest(red)
	if err != nil || red.Buffered() > 0 || end > maxHeader || !isPlainGet(req) {
		rqb.pipelineStopped = true
		return nil, time.Time{}
	}
	rqb.parsed += end
	for _, mark := range rqb.readMarks {
		if mark.end >= rqb.parsed {
			return req, mark.at
		}
	}
	return req, time.Now()
}

// hasHeader reports whether the header of a request whose turn has not come was read before a time.
func (rqb *requestBuffer) hasHeader(before time.Time) bool {
	if rqb.hadBody {
		return false
	}
	scan := headerScanner{}
	end := scan.findEnd(rqb.buf)
	if end <= 0 {
		return false
	}
	pos := slices.IndexFunc(rqb.readMarks, func(mark readMark) bool { return mark.end >= end })
	return pos >= 0 && rqb.readMarks[pos].at.Before(before)
}

// isPlainGet reports whether a request is a GET that the server certainly accepts and for which it reads no body.
func isPlainGet(req *http.Request) bool {
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

// headerScanner finds the empty line that ends a header. The zero value is at the start of a header.
type headerScanner struct {
	// atLineStart states that the last byte ended a line, and afterCarriageReturn that a single carriage return followed.
	atLineStart, afterCarriageReturn bool
}

// findEnd returns the offset after the end of the header, or 0 if the header goes on after buf.
func (hsc *headerScanner) findEnd(buf []byte) int {
	for pos := 0; pos < len(buf); pos++ {
		switch one := buf[pos]; {
		case one == '\n' && hsc.atLineStart:
			*hsc = headerScanner{}
			return pos + 1
		case one == '\r' && hsc.atLineStart && !hsc.afterCarriageReturn:
			hsc.afterCarriageReturn = true
		case one == '\n':
			hsc.atLineStart, hsc.afterCarriageReturn = true, false
		default:
			hsc.atLineStart, hsc.afterCarriageReturn = false, false
			skip := bytes.IndexByte(buf[pos:], '\n')
			if skip < 0 {
				return 0
			}
			pos += skip - 1
		}
	}
	return 0
}
