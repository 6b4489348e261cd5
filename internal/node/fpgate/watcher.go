package fpgate

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/config/fpgateway"
	"github.com/foxtailpulley/foxtailpulley/internal/route/fpforward"
	"github.com/foxtailpulley/foxtailpulley/internal/upstream/fpconn"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate/fpstateconnect"
)

const (
	// watchWait is how long a control VM waits for a change before it answers.
	watchWait = 700 * time.Millisecond
	// leastMargin is what a poll may take beyond its wait before another control VM is asked, too. It finds a control VM that
	// is cut off or frozen, and together with an election it stays below the 2.5 s within which an upstream that leaves gets
	// no further request. On a link that is full an answer takes longer, so the time of a whole poll doubles with each one that
	// runs out of it, up to mostMargin.
	leastMargin = 400 * time.Millisecond
	mostMargin  = 3200 * time.Millisecond
	// watchPause is the time before the next control VM is asked after a failure.
	watchPause = 50 * time.Millisecond
	// leastAvoid and mostAvoid bound how long a control VM that has failed is asked after the others. The time doubles
	// with each failure, because a frozen VM costs a whole timeout each time.
	leastAvoid = 2 * time.Second
	mostAvoid  = 16 * time.Second
	// watchDial bounds the opening of a connection to a control VM.
	watchDial = 300 * time.Millisecond
	// reportInterval is the time between reports of load.
	reportInterval = 300 * time.Millisecond
	// reportTimeout bounds a report; a lost one is not repeated.
	reportTimeout = 400 * time.Millisecond
	// compressAbove is the size in bytes from which messages are compressed.
	compressAbove = 2048
)

// errStale means that a control VM may not know the newest state.
var errStale = fperror.New(fperror.NoQuorum, "the control VM knows no leader")

// watcher follows the state of the control VMs.
type watcher struct {
	vm         string
	dataCentre string
	region     string
	// offset spreads entry VMs over control VMs.
	offset    int
	log       *zap.Logger
	forwarder *fpforward.Forwarder
	client    *http.Client
	// margin is what the next poll may take beyond its wait; only watch uses it.
	margin time.Duration

	mutex   sync.Mutex
	seeds   []string
	members []string
	leader  string
	places  map[string]place
	clients map[string]fpstateconnect.StateServiceClient
}

func newWatcher(set *fpgateway.Settings, log *zap.Logger, fwd *fpforward.Forwarder) *watcher {
	dia := net.Dialer{
		Timeout: watchDial,
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(set.VM())) // it never fails
	return &watcher{
		vm:         set.VM(),
		dataCentre: set.DataCentre(),
		region:     set.Region(set.DataCentre()),
		offset:     int(hash.Sum32() >> 1),
		places:     map[string]place{},
		log:        log,
		forwarder:  fwd,
		client: &http.Client{
			Transport: &http.Transport{
				DialContext:            dia.DialContext,
				MaxIdleConnsPerHost:    2,
				IdleConnTimeout:        time.Minute,
				MaxResponseHeaderBytes: fpconn.MaxAnswerHeader,
			},
		},
		margin:  leastMargin,
		seeds:   set.Seeds(),
		clients: map[string]fpstateconnect.StateServiceClient{},
	}
}

func (wat *watcher) reseed(seeds []string) {
	wat.mutex.Lock()
	defer wat.mutex.Unlock()
	wat.seeds = seeds
}

// addresses returns the control VMs that this VM knows.
func (wat *watcher) addresses() []string {
	wat.mutex.Lock()
	defer wat.mutex.Unlock()
	all := slices.Clone(wat.members)
	for _, seed := range wat.seeds {
		if !slices.Contains(all, seed) {
			all = append(all, seed)
		}
	}
	return all
}

func (wat *watcher) clientOf(address string) fpstateconnect.StateServiceClient {
	wat.mutex.Lock()
	defer wat.mutex.Unlock()
	cli := wat.clients[address]
	if cli == nil {
		cli = fpstateconnect.NewStateServiceClient(wat.client, "http://"+address,
			connect.WithSendGzip(), connect.WithCompressMinBytes(compressAbove))
		wat.clients[address] = cli
	}
	return cli
}

// watch follows one control VM after another until ctx ends, the nearest ones first.
func (wat *watcher) watch(ctx context.Context) {
	connected := ""
	for ctx.Err() == nil {
		one := wat.poll(ctx, wat.choose(time.Now(), ""))
		if one.err == nil {
			if connected != one.address {
				connected = one.address
				wat.log.Info("following a control VM", zap.String("peer", connected), zap.Uint64("index", wat.forwarder.Index()))
			}
			continue
		}
		if connected != "" {
			connected = ""
			wat.log.Info("lost a control VM", zap.String("peer", one.address), zap.Uint64("index", wat.forwarder.Index()), zap.Error(one.err))
		}
		sleep(ctx, watchPause+time.Duration(rand.Int64N(int64(watchPause))))
	}
}

// polled is the end of a poll of a control VM.
type polled struct {
	address string
	res     *fpstate.WatchResponse
	err     error
}

// poll asks a control VM for changes and puts them into force. When it is late, another one is asked beside it, so that a frozen
// control VM does not keep this VM from learning what has changed.
func (wat *watcher) poll(ctx context.Context, address string) polled {
	ctx, cancel := context.WithTimeout(ctx, watchWait+wat.margin)
	defer cancel()
	results := make(chan polled, 2)
	ask := func(address string, wait time.Duration) { go func() { results <- wat.ask(ctx, address, wait) }() }
	ask(address, watchWait)
	late := time.NewTimer(watchWait + leastMargin)
	defer late.Stop()
	for asked := 1; ; {
		select {
		case <-late.C:
			if other := wat.choose(time.Now(), address); other != "" {
				asked++
				ask(other, 0)
			}
		case one := <-results:
			asked--
			wat.take(ctx, &one)
			if one.err != nil {
				wat.avoid(one.address, time.Now())
			}
			if one.err == nil || asked == 0 {
				if one.address != address {
					wat.avoid(address, time.Now())
				}
				return one
			}
		}
	}
}

// ask asks a control VM for what has changed, which may wait for a change.
func (wat *watcher) ask(ctx context.Context, address string, wait time.Duration) polled {
	one := polled{
		address: address,
	}
	res, err := wat.clientOf(address).Watch(ctx, connect.NewRequest(&fpstate.WatchRequest{
		Vm:    wat.vm,
		After: wat.forwarder.Index(),
		Wait:  durationpb.New(wait),
	}))
	if err != nil {
		one.err = err
		return one
	}
	one.res = res.Msg
	return one
}

// place is what is known of a control VM.
type place struct {
	// known states that the VM has answered, and far how far away it is.
	known bool
	far   int
	// avoided is until when other VMs are asked first, and failures the number of failures since the last answer.
	avoided  time.Time
	failures int
}

// The distances of a control VM.
const (
	farSameDataCentre = iota
	farSameRegion
	farOtherRegion
)

// choose returns the control VM to ask: one whose location is not known yet, or the nearest one, but for the one that is excepted.
// Which of several is taken depends on the name of this VM, so that the entry VMs spread over the control VMs.
func (wat *watcher) choose(now time.Time, except string) string {
	all := wat.addresses()
	wat.mutex.Lock()
	defer wat.mutex.Unlock()
	best, least := "", 0
	for num := range all {
		address := all[(num+wat.offset)%len(all)]
		if address == except {
			continue
		}
		pla := wat.places[address]
		cost := 1 + pla.far
		if !pla.known {
			cost = 0
		}
		if now.Before(pla.avoided) {
			cost += avoidCost
		}
		if best == "" || cost < least {
			best, least = address, cost
		}
	}
	return best
}

// avoidCost puts a control VM that has failed after all others.
const avoidCost = 10

// avoid has other control VMs asked first for some time.
func (wat *watcher) avoid(address string, now time.Time) {
	wat.mutex.Lock()
	defer wat.mutex.Unlock()
	pla := wat.places[address]
	pla.avoided = now.Add(min(mostAvoid, leastAvoid<<min(pla.failures, 3)))
	pla.failures++
	wat.places[address] = pla
}

// locate notes where a control VM is.
func (wat *watcher) locate(address string, res *fpstate.WatchResponse) {
	far := farOtherRegion
	switch {
	case res.GetDataCentre() == wat.dataCentre:
		far = farSameDataCentre
	case res.GetRegion() == wat.region:
		far = farSameRegion
	}
	pla := wat.places[address]
	pla.known = true
	pla.far = far
	if !res.GetStale() {
		pla.failures = 0
	}
	wat.places[address] = pla
}

// take puts what a control VM has answered into force. The answer is an error when the VM may not know the newest state.
func (wat *watcher) take(ctx context.Context, one *polled) {
	if one.err != nil {
		if ctx.Err() != nil {
			wat.margin = min(mostMargin, 2*wat.margin)
		}
		return
	}
	wat.margin = max(leastMargin, wat.margin/2)
	before := wat.forwarder.Configuration().GetRevision()
	wat.forwarder.Update(one.res.GetState(), one.res.GetIndex(), one.res.GetEntries())
	if after := wat.forwarder.Configuration().GetRevision(); after != before {
		wat.log.Info("configuration in force", zap.Uint64("revision", after), zap.Uint64("before", before),
			zap.Uint64("index", one.res.GetIndex()), zap.String("peer", one.address))
	}
	wat.mutex.Lock()
	defer wat.mutex.Unlock()
	if len(one.res.GetMembers()) > 0 {
		wat.members = one.res.GetMembers()
	}
	wat.leader = one.res.GetLeader()
	wat.locate(one.address, one.res)
	if one.res.GetStale() {
		one.err = errStale
	}
}

// report sends the load that was counted to the leader.
func (wat *watcher) report(ctx context.Context) {
	for sleep(ctx, reportInterval) {
		wat.mutex.Lock()
		leader := wat.leader
		wat.mutex.Unlock()
		counts := wat.forwarder.TakeLoad()
		if leader == "" {
			continue
		}
		crashes, cleared := wat.forwarder.TakeCrashes()
		if len(counts)+len(crashes)+len(cleared) == 0 {
			continue
		}
		call, cancel := context.WithTimeout(ctx, reportTimeout)
		_, err := wat.clientOf(leader).Report(call, connect.NewRequest(&fpstate.ReportRequest{
			Vm:      wat.vm,
			Counts:  counts,
			Period:  durationpb.New(reportInterval),
			Crashes: crashes,
			Cleared: cleared,
		}))
		cancel()
		if err != nil {
			wat.log.Debug("a report of load was lost", zap.String("peer", leader), zap.Error(err))
		}
	}
}
