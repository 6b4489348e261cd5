package fpconn

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
)

// errNoAnswer marks a connection that was opened but on which the first request got no answer.
var errNoAnswer = errors.New("no answer on a new connection")

// errProbeRefused marks an HTTP/1.1 connection that was closed because the probe on it was refused.
var errProbeRefused = errors.New("the health request was refused")

// Conn is one connection to an upstream that holds a reservation for one request.
type Conn struct {
	// draining states that the connection takes no more requests and is closed once it is idle.
	draining atomic.Bool
	// taken states that an HTTP/1.1 connection is reserved or waits for the header of an answer. net/http reports the connection
	// as available before RoundTrip has seen whether the answer is a refusal.
	taken  atomic.Bool
	pool   *Pool
	client *http.ClientConn
	socket *socket
	http1  bool
	// silent is closed when the connection is found silent. It stays nil for HTTP/1.1, which has no pings.
	silent chan struct{}
}

// RefusedHeader is the header of an answer by which an upstream states that it did not run the request.
const RefusedHeader = "Foxtailpulley-Refused"

// RequestHeader is the header with the id of a request, which is new for each send. An answer may repeat it.
const RequestHeader = "Foxtailpulley-Request"

// ErrOtherAnswer marks an answer that names another request than the one that was sent.
var ErrOtherAnswer = errors.New("the answer is that to another request")

// CheckAnswer returns an error with the mark ErrOtherAnswer if an answer names another request. Not all upstreams name requests in their
// answers.
func CheckAnswer(req *http.Request, res *http.Response) error {
	if named := res.Header.Get(RequestHeader); named != "" && named != req.Header.Get(RequestHeader) {
		return errors.Mark(errors.Newf("the answer names the request %q", named), ErrOtherAnswer)
	}
	return nil
}

// RoundTrip sends one request on the connection and consumes the reservation. An error does not tell whether the
// upstream ran the request. The request is never sent again. The error ErrOtherAnswer says that a faulty upstream has sent the answer to
// an earlier request once more.
//
// An HTTP/1.1 connection is closed after a refusal. Answers need not name their requests, so a refusal that a faulty upstream
// sends once more would pass for the answer to the next request. HTTP/2 assigns answers to requests.
func (con *Conn) RoundTrip(req *http.Request) (*http.Response, error) {
	if !con.http1 {
		return con.roundTripHTTP2(req)
	}
	res, err := con.client.RoundTrip(boundInformational(req))
	if err == nil {
		err = cmp.Or(CheckStatus(res), CheckAnswer(req, res))
	}
	if err != nil && res != nil || err == nil && len(res.Header[RefusedHeader]) > 0 {
		con.draining.Store(true)
		_ = con.client.Close() // the connection is not used again
		con.pool.wakeMaintain()
	}
	con.taken.Store(false)
	con.pool.onStateChange(con)
	if err != nil {
		return nil, err
	}
	return res, nil
}

// roundTripHTTP2 is RoundTrip on a connection that assigns answers to requests.
func (con *Conn) roundTripHTTP2(req *http.Request) (*http.Response, error) {
	res, err := con.client.RoundTrip(boundInformational(req))
	if err != nil {
		return nil, err
	}
	if err := CheckStatus(res); err != nil {
		_ = res.Body.Close() // resets the stream
		return nil, err
	}
	return res, nil
}

// reserve reserves the connection for one request, and reports whether it could.
func (con *Conn) reserve() bool {
	if con.http1 && !con.taken.CompareAndSwap(false, true) {
		return false
	}
	if con.draining.Load() || con.isSilent() || con.client.Reserve() != nil {
		con.taken.Store(false)
		return false
	}
	return true
}

// available reports whether reserve is likely to succeed.
func (con *Conn) available() bool { return !con.taken.Load() && con.client.Available() > 0 }

// Release returns the reservation unused.
func (con *Conn) Release() {
	con.taken.Store(false)
	con.client.Release()
}

// HTTP1 reports whether the connection speaks HTTP/1.1, over which gRPC is not possible.
func (con *Conn) HTTP1() bool { return con.http1 }

// Crashed reports whether the upstream itself ended the connection, by closing or resetting it.
func (con *Conn) Crashed() bool { return con.socket.endedByPeer.Load() }

// Broken reports whether the connection can carry no more requests.
func (con *Conn) Broken() bool { return con.client.Err() != nil }

// watch registers the pool for state changes of the connection.
func (con *Conn) watch() {
	con.client.SetStateHook(func(*http.ClientConn) { con.pool.onStateChange(con) })
	con.pool.onStateChange(con)
	if !con.http1 {
		con.watchSilence()
	}
}

// connect opens a connection and requests the upstream's health endpoint on it. HTTP/2 is tried first, because only
// HTTP/2 has pings, which detect a silent connection. HTTP/1.1 is tried when a connection opens but HTTP/2 gets no
// answer on it.
func (pl *Pool) connect(ctx context.Context) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, pl.cfg.ConnectTimeout)
	defer cancel()
	http1 := pl.http1.Load()
	con, err := pl.connectWith(ctx, http1)
	if http1 || ctx.Err() != nil || !errors.Is(err, errNoAnswer) {
		return con, err
	}
	con, errHTTP1 := pl.connectWith(ctx, true)
	if errHTTP1 != nil {
		return nil, err
	}
	pl.http1.Store(true)
	return con, nil
}

// connectWith opens a connection of one protocol. The error is of kind ConnectFailed; it wraps errNoAnswer when the
// connection was opened and the health request on it failed.
func (pl *Pool) connectWith(ctx context.Context, http1 bool) (*Conn, error) {
	var soc atomic.Pointer[socket]
	tra := newTransport(pl.cfg, dialInto(&soc, Dial), http1)
	cli, err := tra.NewClientConn(ctx, "http", pl.upstream.GetAddress())
	if err != nil {
		return nil, fperror.Wrap(fperror.ConnectFailed, err, "connect to %s", pl.upstream.GetName())
	}
	con := &Conn{
		pool:   pl,
		client: cli,
		socket: soc.Load(),
		http1:  http1,
	}
	if !http1 {
		con.silent = make(chan struct{})
	}
	if err := con.probe(ctx); err != nil {
		_ = cli.Close()
		return nil, fperror.Wrap(fperror.ConnectFailed, errors.Join(errNoAnswer, err), "connect to %s", pl.upstream.GetName())
	}
	return con, nil
}

// probe requests the health endpoint, which has no side effects. An answer with any status proves that the upstream's
// process reads from and writes to the connection.
func (con *Conn) probe(ctx context.Context) error {
	req := &http.Request{
		Method: http.MethodGet,
		URL: &url.URL{
			Scheme: "http",
			Host:   con.pool.upstream.GetAddress(),
			Path:   healthPath,
		},
		Header: http.Header{
			RequestHeader: {"probe-" + strconv.FormatUint(con.pool.probes.Add(1), 36)},
		},
	}
	res, err := con.RoundTrip(req.WithContext(ctx))
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, res.Body)
	_ = res.Body.Close()
	if con.http1 && len(res.Header[RefusedHeader]) > 0 {
		return errProbeRefused
	}
	return err
}

// Do sends one request on a connection of the pool, for clients of the upstream's own services. If no connection could
// be reserved, the error is of kind ConnectFailed and nothing was sent; any other error does not tell whether the
// request ran. The context of the request has to bound the wait, as a silent connection does not end it.
func (pl *Pool) Do(req *http.Request) (*http.Response, error) {
	con, err := pl.Reserve(req.Context(), nil)
	if err != nil {
		return nil, err
	}
	return con.RoundTrip(req)
}
