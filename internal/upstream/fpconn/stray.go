package fpconn

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"slices"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

const (
	// maxStrayAnswers is the number of stray answers that are skipped on one connection, and maxStrayAnswer the size in bytes of each. The
	// connection carries no request after them.
	maxStrayAnswers = 2
	maxStrayAnswer  = 1 << 20
	// maxStrayHeader is the size in bytes up to which received bytes are held to tell whether they start a stray answer.
	maxStrayHeader = 16 << 10
	// maxEarlierRequests is the number of earlier requests of a connection that are remembered, and maxID the size in bytes of the ids,
	// which callers choose.
	maxEarlierRequests = 8
	maxID              = 128
)

// errStrayTooLong ends the reading of a header that is longer than those that are held, and of an answer that is longer than those that
// are skipped.
var errStrayTooLong = errors.New("the answer is too long to be skipped")

// awaitedAnswer describes the answer that a connection expects next.
type awaitedAnswer struct {
	// id returns the id of the request that an answer names, or "".
	id func(hea http.Header) string
	// current is the id of the request, and line the end of a header line with it.
	current string
	line    []byte
	// earlier are the ids of earlier requests on the connection.
	earlier []string
}

// strayFilter skips the stray answers on a connection: whole ones that name an earlier request, which an upstream sends once more where
// the answer to the current one is expected. net/http would return them as that answer.
//
// An answer is only skipped if it starts at the first byte after the answer before, names a request that was answered on the connection
// before, and has a framing of its own. If it doesn't end by that, the connection is broken. Everything else is passed on as it came. The
// zero value skips nothing.
type strayFilter struct {
	// awaited is the answer to expect until its first byte is passed on, and nil after that and on a new connection.
	awaited atomic.Pointer[awaitedAnswer]
	// skipped is the number of skipped answers, and skippedBytes the number of bytes of skipped and broken ones.
	skipped, skippedBytes atomic.Int64
	// held are bytes that were received and not passed on, and heldErr is the error that follows them. Only the reader uses them.
	held    []byte
	heldErr error
}

// read is read, without stray answers.
func (fil *strayFilter) read(buf []byte, read func(buf []byte) (int, error)) (int, error) {
	if len(fil.held) == 0 && fil.heldErr == nil {
		num, err := read(buf)
		awa := fil.awaited.Load()
		if awa == nil || num == 0 {
			return num, err
		}
		if awa.startsWithCurrent(buf[:num]) {
			fil.awaited.Store(nil)
			return num, err
		}
		fil.held, fil.heldErr = slices.Clone(buf[:num]), err
		fil.skip(awa, read)
		fil.awaited.Store(nil)
	}
	num := copy(buf, fil.held)
	fil.held = fil.held[num:]
	if len(fil.held) > 0 {
		return num, nil
	}
	err := fil.heldErr
	fil.held, fil.heldErr = nil, nil
	return num, err
}

// startsWithCurrent reports whether received bytes start with the whole header of an answer that names the current request.
func (awa *awaitedAnswer) startsWithCurrent(received []byte) bool {
	end := bytes.Index(received, []byte("\r\n\r\n"))
	return end >= 0 && bytes.Contains(received[:end+2], awa.line)
}

// skip skips stray answers and reads until the bytes that follow are none, or can't be one.
func (fil *strayFilter) skip(awa *awaitedAnswer, read func(buf []byte) (int, error)) {
	for fil.skipped.Load() < maxStrayAnswers {
		from := &heldReader{
			filter: fil,
			read:   read,
		}
		buffered := bufio.NewReader(from)
		// Answers to HEAD have another framing; their requests are not remembered.
		res, err := http.ReadResponse(buffered, &http.Request{
			Method: http.MethodGet,
		})
		if err != nil || !awa.isStray(res) {
			return
		}
		from.discarding = true
		_, err = io.Copy(io.Discard, res.Body)
		next, _ := buffered.Peek(buffered.Buffered()) // what is buffered can be read
		fil.skippedBytes.Add(int64(from.discarded + from.position - len(next)))
		fil.held = slices.Concat(next, fil.held[from.position:])
		if err != nil {
			fil.held, fil.heldErr = nil, errors.Wrap(err, "skip an answer to an earlier request")
			return
		}
		fil.skipped.Add(1)
	}
	if len(fil.held) == 0 && fil.heldErr == nil {
		fil.readMore(read)
	}
}

// isStray reports whether an answer names an earlier request and has a framing of its own.
func (awa *awaitedAnswer) isStray(res *http.Response) bool {
	chunked := len(res.TransferEncoding) == 1 && res.TransferEncoding[0] == "chunked"
	framed := res.ProtoAtLeast(1, 1) && !res.Close && (chunked || len(res.TransferEncoding) == 0 && res.ContentLength >= 0)
	name := awa.id(res.Header)
	return CheckStatus(res) == nil && framed && name != awa.current && slices.Contains(awa.earlier, name)
}

// readMore adds received bytes or the error to what is held.
func (fil *strayFilter) readMore(read func(buf []byte) (int, error)) {
	buf := make([]byte, 4<<10)
	var num int
	num, fil.heldErr = read(buf)
	fil.held = append(fil.held, buf[:num]...)
}

// heldReader reads the held bytes of a filter, and holds more when it has read them.
type heldReader struct {
	filter *strayFilter
	read   func(buf []byte) (int, error)
	// position is the offset of the next byte in the held ones.
	position int
	// discarding states that bytes that were read are no longer held.
	discarding bool
	// discarded is the number of bytes that were dropped from the held ones.
	discarded int
}

// Read implements io.Reader.
func (her *heldReader) Read(buf []byte) (int, error) {
	fil := her.filter
	for her.position == len(fil.held) {
		if fil.heldErr != nil {
			return 0, fil.heldErr
		}
		if her.discarding {
			her.discarded += her.position
			fil.held, her.position = fil.held[:0], 0
		} else if her.position >= maxStrayHeader {
			return 0, errStrayTooLong
		}
		if her.discarded >= maxStrayAnswer {
			return 0, errStrayTooLong
		}
		fil.readMore(her.read)
	}
	num := copy(buf, fil.held[her.position:])
	her.position += num
	return num, nil
}

// await sets which answer the connection expects, and remembers the request for those after it.
func (con *ExclusiveConn) await(req *http.Request) {
	if con.id == nil {
		return
	}
	id := con.id(req.Header)
	if id != "" && len(con.earlier) > 0 {
		con.socket.strays.awaited.Store(&awaitedAnswer{
			id:      con.id,
			current: id,
			line:    []byte(": " + id + "\r\n"),
			earlier: con.earlier,
		})
	}
	if id == "" || len(id) > maxID || req.Method == http.MethodHead || req.Method == http.MethodConnect {
		return
	}
	// The reader keeps the list of this request.
	con.earlier = append(slices.Clone(con.earlier[max(0, len(con.earlier)+1-maxEarlierRequests):]), id)
}

// Skipped returns the number of stray answers that were skipped on the connection, and that of the bytes that were skipped. The connection
// must carry no other request then, because its upstream is faulty, and the answer has to name its request.
func (con *ExclusiveConn) Skipped() (answers, size int64) {
	return con.socket.strays.skipped.Load(), con.socket.strays.skippedBytes.Load()
}
