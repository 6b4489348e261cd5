// Package fpconn keeps connections to upstreams. Each upstream has a pool of connections with a bound, some of them opened
// ahead of need. A connection is put into service only after the upstream answered a request on it, and a connection that
// goes silent is closed and replaced.
package fpconn

import (
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/foxtailpulley/foxtailpulley/api/upstream/fpcontract"
)

// Defaults of Config. An idle connection is found silent after readIdle + pingTimeout = 1.5 s, which leaves 0.5 s of the
// bound of 2 s for opening its replacement.
const (
	defaultConnectTimeout = time.Second
	defaultReadIdle       = 750 * time.Millisecond
	defaultPingTimeout    = 750 * time.Millisecond
	defaultAhead          = 2
	defaultMaxConnections = 4
)

// maxStreams bounds the requests in flight on one connection; it is the usual limit of servers of HTTP/2.
const maxStreams = 100

// maxHTTP2 bounds the connections of HTTP/2 to one upstream: enough to go on when one of them is silent.
const maxHTTP2 = 4

// MaxAnswerHeader bounds the header of an answer in bytes. An upstream in trouble may send bytes without end.
const MaxAnswerHeader = 64 << 10

// healthPath is asked on each new connection before the connection is put into service.
const healthPath = "/foxtailpulley/health"

// Config configures Pools. The zero value is useful.
type Config struct {
	// ConnectTimeout bounds the opening of a connection, with its first answer. 0: 1 s.
	ConnectTimeout time.Duration
	// ReadIdle is the silence after which a connection is pinged. 0: 750 ms.
	ReadIdle time.Duration
	// PingTimeout is the wait for the answer to a ping. 0: 750 ms.
	PingTimeout time.Duration
	// Ahead is the number of connections kept open per upstream. 0: 2.
	Ahead int
	// Limit returns the largest number of connections to an upstream from this VM. Nil: 1/11 of the connections that the
	// upstream accepts, or 4 when it states none. At most 4 connections of HTTP/2 are opened.
	Limit func(ups *fpcontract.Upstream) int
	// Count increments a counter. Nil: not counted.
	Count func(name string)
}

// Pools holds one pool for each upstream. Use New to create one.
type Pools struct {
	cfg   Config
	mutex sync.RWMutex
	pools map[string]*Pool
	done  bool
}

// New returns pools without upstreams.
func New(cfg Config) *Pools {
	setDefault(&cfg.ConnectTimeout, defaultConnectTimeout)
	setDefault(&cfg.ReadIdle, defaultReadIdle)
	setDefault(&cfg.PingTimeout, defaultPingTimeout)
	setDefault(&cfg.Ahead, defaultAhead)
	if cfg.Limit == nil {
		cfg.Limit = shareOfConnections
	}
	if cfg.Count == nil {
		cfg.Count = func(string) {}
	}
	return &Pools{
		cfg:   cfg,
		pools: map[string]*Pool{},
	}
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// shareOfConnections leaves room for 11 entry VMs, the largest number of section 2 of the design.
func shareOfConnections(ups *fpcontract.Upstream) int {
	if ups.GetMaxConnections() == 0 {
		return defaultMaxConnections
	}
	return max(1, int(ups.GetMaxConnections())/11)
}

// Update opens pools for the given upstreams and closes those of all others. A pool whose upstream restarted is replaced;
// requests in flight on a closed pool run to their end.
func (pls *Pools) Update(upstreams []*fpcontract.Upstream) {
	pls.mutex.Lock()
	defer pls.mutex.Unlock()
	if pls.done {
		return
	}
	wanted := make(map[string]bool, len(upstreams))
	for _, ups := range upstreams {
		wanted[ups.GetName()] = true
		pls.open(ups)
	}
	for name, pl := range pls.pools {
		if !wanted[name] {
			pl.retire()
			delete(pls.pools, name)
		}
	}
}

// open makes sure that a pool for this incarnation and address exists. The caller holds the mutex.
func (pls *Pools) open(ups *fpcontract.Upstream) *Pool {
	old := pls.pools[ups.GetName()]
	if old != nil && old.serves(ups) {
		old.resize(pls.cfg.Limit(ups))
		return old
	}
	if old != nil && old.upstream.GetIncarnation() > ups.GetIncarnation() {
		return old
	}
	if old != nil {
		old.retire()
	}
	pl := newPool(&pls.cfg, ups)
	pls.pools[ups.GetName()] = pl
	return pl
}

// Pool returns the pool of an upstream and opens it when there is none.
func (pls *Pools) Pool(ups *fpcontract.Upstream) *Pool {
	pls.mutex.RLock()
	pl := pls.pools[ups.GetName()]
	pls.mutex.RUnlock()
	if pl != nil && pl.serves(ups) {
		return pl
	}
	pls.mutex.Lock()
	defer pls.mutex.Unlock()
	pl = pls.open(ups)
	if pls.done {
		pl.retire()
	}
	return pl
}

// Status describes the connections to one upstream, for a dump of the VM's state.
type Status struct {
	Upstream string `json:"upstream"`
	Open     int    `json:"open"`
	Opening  int    `json:"opening"`
	InFlight int    `json:"inFlight"`
	HTTP1    bool   `json:"http1"`
	Failure  string `json:"failure,omitempty"`
}

// Status returns the state of all pools, ordered by the names of their upstreams.
func (pls *Pools) Status() []Status {
	pls.mutex.RLock()
	defer pls.mutex.RUnlock()
	all := make([]Status, 0, len(pls.pools))
	for _, name := range slices.Sorted(maps.Keys(pls.pools)) {
		all = append(all, pls.pools[name].status())
	}
	return all
}

// Close closes all pools and waits for their goroutines. Requests in flight run to their end.
func (pls *Pools) Close() {
	pls.mutex.Lock()
	all := pls.pools
	pls.pools = map[string]*Pool{}
	pls.done = true
	pls.mutex.Unlock()
	for _, pl := range all {
		pl.retire()
		pl.ended.Wait()
	}
}

// newTransport returns a transport that opens connections of one protocol. It is used for NewClientConn only, because
// Transport.RoundTrip sends a request again by itself when it carries an Idempotency-Key and its connection breaks.
func newTransport(cfg *Config, dial dialFunc, http1 bool) *http.Transport {
	var pro http.Protocols
	pro.SetHTTP1(http1)
	pro.SetUnencryptedHTTP2(!http1)
	return &http.Transport{
		DialContext:            dial,
		DisableCompression:     true,
		MaxResponseHeaderBytes: MaxAnswerHeader,
		Protocols:              &pro,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout:  cfg.ReadIdle,
			PingTimeout:      cfg.PingTimeout,
			WriteByteTimeout: cfg.ReadIdle + cfg.PingTimeout,
		},
	}
}
