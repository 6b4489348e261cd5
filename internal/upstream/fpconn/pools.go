// Package fpconn keeps connections to upstreams. Each upstream has a pool with a limited number of connections, some of
// which are opened ahead of demand. A connection is used for requests only after the upstream has answered a probe on
// it. A connection that goes silent is replaced at once, and closed when the requests on it have ended.
//
// ExclusivePool is a separate kind of pool, whose connections carry one request at a time and are opened on demand.
package fpconn

import (
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/foxtailpulley/foxtailpulley/api/upstream/fpcontract"
)

// Defaults of Config. A silent idle connection is detected after readIdle + pingTimeout = 1.5 s, which leaves 0.5 s of
// the 2 s limit for opening its replacement.
const (
	defaultConnectTimeout = time.Second
	defaultReadIdle       = 750 * time.Millisecond
	defaultPingTimeout    = 750 * time.Millisecond
	defaultMinConnections = 2
	defaultMaxConnections = 4
)

// maxStreams is the maximum number of requests in flight on one connection, the usual limit of HTTP/2 servers.
const maxStreams = 100

// maxHTTP2Conns is the maximum number of HTTP/2 connections to one upstream. It leaves connections in service when one
// of them goes silent.
const maxHTTP2Conns = 4

// MaxAnswerHeader is the maximum size of an answer's header in bytes. It stops a faulty upstream that sends bytes
// without end.
const MaxAnswerHeader = 64 << 10

// MaxContractAnswer is the maximum size in bytes of an upstream's answer to a call of the contract, such as Grant and Cancel.
const MaxContractAnswer = 64 << 10

// healthPath is requested on each new connection before the connection is used.
const healthPath = "/foxtailpulley/health"

// Config configures Pools. The zero value selects the defaults.
type Config struct {
	// ConnectTimeout bounds the opening of a connection, including the first answer on it. 0: 1 s.
	ConnectTimeout time.Duration
	// ReadIdle is the time without received data after which an HTTP/2 connection is pinged, and the interval between
	// probes of idle HTTP/1.1 connections. 0: 750 ms.
	ReadIdle time.Duration
	// PingTimeout is how long the answer to a ping or probe may take before the connection counts as silent. 0: 750 ms.
	PingTimeout time.Duration
	// MinConnections is the number of connections kept open to each upstream, within its limit. 0: 2.
	MinConnections int
	// Limit returns the maximum number of connections from this VM to an upstream. Nil: 1/11 of the connections that
	// the upstream accepts, or 4 when it states no number. At most 4 HTTP/2 connections are opened.
	Limit func(ups *fpcontract.Upstream) int
	// Count increments the counter with the given name. Nil: nothing is counted.
	Count func(name string)
}

// Pools holds one pool for each upstream. Use New to create one. It is safe for concurrent use.
type Pools struct {
	cfg    Config
	mutex  sync.RWMutex
	pools  map[string]*Pool
	closed bool
}

// New returns Pools without any pool.
func New(cfg Config) *Pools {
	setDefault(&cfg.ConnectTimeout, defaultConnectTimeout)
	setDefault(&cfg.ReadIdle, defaultReadIdle)
	setDefault(&cfg.PingTimeout, defaultPingTimeout)
	setDefault(&cfg.MinConnections, defaultMinConnections)
	if cfg.Limit == nil {
		cfg.Limit = defaultLimit
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

// defaultLimit divides the connections that an upstream accepts by 11, the largest supported number of entry VMs.
func defaultLimit(ups *fpcontract.Upstream) int {
	if ups.GetMaxConnections() == 0 {
		return defaultMaxConnections
	}
	return max(1, int(ups.GetMaxConnections())/11)
}

// Update opens pools for the given upstreams and closes all others. The pool of an upstream that restarted is replaced.
// Requests in flight on a closed pool run to completion.
func (pls *Pools) Update(upstreams []*fpcontract.Upstream) {
	pls.mutex.Lock()
	defer pls.mutex.Unlock()
	if pls.closed {
		return
	}
	wanted := make(map[string]bool, len(upstreams))
	for _, ups := range upstreams {
		wanted[ups.GetName()] = true
		pls.ensurePool(ups)
	}
	for name, pl := range pls.pools {
		if !wanted[name] {
			pl.retire()
			delete(pls.pools, name)
		}
	}
}

// ensurePool returns the pool for the upstream's incarnation and address and opens it if necessary. If the existing
// pool is of a later incarnation, that pool is returned. The caller holds the mutex.
func (pls *Pools) ensurePool(ups *fpcontract.Upstream) *Pool {
	old := pls.pools[ups.GetName()]
	if old != nil && old.matches(ups) {
		old.setMaxConns(pls.cfg.Limit(ups))
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

// Pool returns the pool of an upstream and opens it if there is none. After Close the pool is retired and gives out no
// connections.
func (pls *Pools) Pool(ups *fpcontract.Upstream) *Pool {
	pls.mutex.RLock()
	pl := pls.pools[ups.GetName()]
	pls.mutex.RUnlock()
	if pl != nil && pl.matches(ups) {
		return pl
	}
	pls.mutex.Lock()
	defer pls.mutex.Unlock()
	pl = pls.ensurePool(ups)
	if pls.closed {
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

// Close closes all pools and waits for their goroutines. Requests in flight run to completion.
func (pls *Pools) Close() {
	pls.mutex.Lock()
	all := pls.pools
	pls.pools = map[string]*Pool{}
	pls.closed = true
	pls.mutex.Unlock()
	for _, pl := range all {
		pl.retire()
		pl.goroutines.Wait()
	}
}

// newTransport returns a transport that opens connections of one protocol. It is used for NewClientConn only, because
// Transport.RoundTrip resends a request that carries an Idempotency-Key when its connection breaks.
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
			PingTimeout:      maxSilence,
			WriteByteTimeout: maxSilence,
		},
	}
}
