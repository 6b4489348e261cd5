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
	"github.com/foxtailpulley/foxtailpulley/internal/route/fprate"
	"github.com/foxtailpulley/foxtailpulley/internal/route/fproom"
	"github.com/foxtailpulley/foxtailpulley/internal/upstream/fpconn"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate/fpstateconnect"
)

const (
	// watchWait is how long a control VM may wait for a change before it answers a poll.
	watchWait = 700 * time.Millisecond
	// minPollMargin is how much longer than its wait a poll may take before another control VM is asked as well. It detects
	// a control VM that is cut off or frozen, and together with an election it stays below the 2.5 s within which an
	// upstream that leaves gets no further request. On a saturated link an answer takes longer, so the margin of a whole
	// poll doubles with each poll that times out, up to maxPollMargin.
	minPollMargin = 400 * time.Millisecond
	maxPollMargin = 3200 * time.Millisecond
	// retryPause is the least time before the next control VM is asked after a failure; the mean is 1.5 times as long.
	retryPause = 50 * time.Millisecond
	// minAvoidance and maxAvoidance bound how long other control VMs are preferred to one that has failed. The time doubles
	// with each failure, because each poll of a frozen VM costs a whole timeout.
	minAvoidance = 2 * time.Second
	maxAvoidance = 16 * time.Second
	// dialTimeout bounds the time to connect to a control VM.
	dialTimeout = 300 * time.Millisecond
	// reportInterval is the time between load reports.
	reportInterval = 300 * time.Millisecond
	// reportTimeout bounds one load report. A lost report is not sent again.
	reportTimeout = 400 * time.Millisecond
	// compressMinBytes is the size from which messages are compressed.
	compressMinBytes = 2048
)

// errStale means that a control VM may not know the newest state.
var errStale = fperror.New(fperror.NoQuorum, "the control VM may not know the newest state: it knows no leader, or leads without a lease")

// watcher follows the state that the control VMs replicate, and reports load to their leader.
type watcher struct {
	vm         string
	dataCentre string
	region     string
	// entry is this VM as others ask it to relay requests, or nil. It is set before watch.
	entry *fpstate.EntryVM
	// configured is called with each configuration that comes into force. It is set before watch.
	configured func(cfg *fpstate.Configuration)
	// offset distributes the entry VMs over the control VMs. It is a hash of this VM's name.
	offset    int
	log       *zap.Logger
	forwarder *fpforward.Forwarder
	client    *http.Client
	// pollMargin is how much longer than its wait the next poll may take. Only the goroutine of watch uses it.
	pollMargin time.Duration

	mutex   sync.Mutex
	seeds   []string
	members []string
	leader  string
	peers   map[string]peerState
	clients map[string]fpstateconnect.StateServiceClient
}

func newWatcher(set *fpgateway.Settings, log *zap.Logger, fwd *fpforward.Forwarder) *watcher {
	dia := net.Dialer{
		Timeout: dialTimeout,
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(set.VM())) // a hash never returns an error
	return &watcher{
		vm:         set.VM(),
		dataCentre: set.DataCentre(),
		region:     set.Region(set.DataCentre()),
		offset:     int(hash.Sum32() >> 1),
		peers:      map[string]peerState{},
		log:        log,
		forwarder:  fwd,
		configured: func(*fpstate.Configuration) {},
		client: &http.Client{
			Transport: &http.Transport{
				DialContext:            dia.DialContext,
				MaxIdleConnsPerHost:    2,
				IdleConnTimeout:        time.Minute,
				MaxResponseHeaderBytes: fpconn.MaxAnswerHeader,
			},
		},
		pollMargin: minPollMargin,
		seeds:      set.Seeds(),
		clients:    map[string]fpstateconnect.StateServiceClient{},
	}
}

// setSeeds replaces the addresses of control VMs that the settings name.
func (wat *watcher) setSeeds(seeds []string) {
	wat.mutex.Lock()
	defer wat.mutex.Unlock()
	wat.seeds = seeds
}

// addresses returns the addresses of all known control VMs: the members as last reported, then the other seeds.
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
			connect.WithSendGzip(), connect.WithCompressMinBytes(compressMinBytes))
		wat.clients[address] = cli
	}
	return cli
}

// watch polls control VMs until ctx ends: the nearest one, and another one after a failure.
func (wat *watcher) watch(ctx context.Context) {
	wat.begin(ctx)
	connected := ""
	for ctx.Err() == nil {
		por := wat.poll(ctx, wat.choose(time.Now(), ""))
		if por.err == nil {
			if connected != por.address {
				connected = por.address
				wat.log.Info("following a control VM", zap.String("peer", connected), zap.Uint64("index", wat.forwarder.Index()))
			}
			continue
		}
		if connected != "" {
			connected = ""
			wat.log.Info("lost a control VM", zap.String("peer", por.address), zap.Uint64("index", wat.forwarder.Index()), zap.Error(por.err))
		}
		sleep(ctx, retryPause+time.Duration(rand.Int64N(int64(retryPause))))
	}
}

// pollResult is the result of a poll of the control VM at address.
type pollResult struct {
	address string
	sentAt  time.Time
	res     *fpstate.WatchResponse
	err     error
}

// poll asks a control VM for changes and applies them. When the answer is late, another control VM is asked as well (a
// hedged request), so that a frozen control VM does not delay updates. It returns the first successful result, or the last
// failure.
func (wat *watcher) poll(ctx context.Context, address string) pollResult {
	ctx, cancel := context.WithTimeout(ctx, watchWait+wat.pollMargin)
	defer cancel()
	results := make(chan pollResult, 2)
	start := func(address string, wait time.Duration) { go func() { results <- wat.fetch(ctx, address, wait) }() }
	start(address, watchWait)
	hedgeTimer := time.NewTimer(watchWait + minPollMargin)
	defer hedgeTimer.Stop()
	for pending := 1; ; {
		select {
		case <-hedgeTimer.C:
			if other := wat.choose(time.Now(), address); other != "" {
				pending++
				start(other, 0)
			}
		case por := <-results:
			pending--
			wat.apply(ctx, &por)
			if por.err != nil {
				wat.avoid(por.address, time.Now())
			}
			if por.err == nil || pending == 0 {
				if por.address != address {
					wat.avoid(address, time.Now())
				}
				return por
			}
		}
	}
}

// fetch asks a control VM for the changes after the last applied entry. The control VM may wait for a change.
func (wat *watcher) fetch(ctx context.Context, address string, wait time.Duration) pollResult {
	por := pollResult{
		address: address,
		sentAt:  time.Now(),
	}
	res, err := wat.clientOf(address).Watch(ctx, connect.NewRequest(&fpstate.WatchRequest{
		Vm:    wat.vm,
		After: wat.forwarder.Index(),
		Wait:  durationpb.New(wait),
		Entry: wat.entry,

		RelaysDigest: wat.forwarder.RelaysDigest(),
	}))
	if err != nil {
		por.err = err
		return por
	}
	por.res = res.Msg
	return por
}

// peerState is what is known of one control VM.
type peerState struct {
	// located states that the control VM has answered, so that its distance is known.
	located  bool
	distance int
	// avoidUntil is the time until which other control VMs are preferred, and failures counts the failures since the last answer
	// that was not stale.
	avoidUntil time.Time
	failures   int
}

// Distances of a control VM from this VM, in order of preference.
const (
	distanceSameDataCentre = iota
	distanceSameRegion
	distanceOtherRegion
)

// choose returns the address of the control VM to poll, or "": one whose location is unknown, or else the nearest one, but
// not the excluded one. Those that are avoided after a failure come last. Which of several equal ones is chosen depends on
// the name of this VM, so that the entry VMs are distributed over the control VMs.
func (wat *watcher) choose(now time.Time, exclude string) string {
	all := wat.addresses()
	wat.mutex.Lock()
	defer wat.mutex.Unlock()
	best, lowest := "", 0
	for num := range all {
		address := all[(num+wat.offset)%len(all)]
		if address == exclude {
			continue
		}
		pst := wat.peers[address]
		cost := 1 + pst.distance
		if !pst.located {
			cost = 0
		}
		if now.Before(pst.avoidUntil) {
			cost += avoidedCost
		}
		if best == "" || cost < lowest {
			best, lowest = address, cost
		}
	}
	return best
}

// avoidedCost is larger than all distances: it ranks a control VM that has failed behind all others.
const avoidedCost = 10

// avoid records a failure of a control VM, after which others are preferred for a time that doubles with each failure.
func (wat *watcher) avoid(address string, now time.Time) {
	wat.mutex.Lock()
	defer wat.mutex.Unlock()
	pst := wat.peers[address]
	pst.avoidUntil = now.Add(min(maxAvoidance, minAvoidance<<min(pst.failures, 3)))
	pst.failures++
	wat.peers[address] = pst
}

// recordLocation records the distance of a control VM, and clears its failures unless the answer was stale. The caller holds
// the mutex.
func (wat *watcher) recordLocation(address string, res *fpstate.WatchResponse) {
	distance := distanceOtherRegion
	switch {
	case res.GetDataCentre() == wat.dataCentre:
		distance = distanceSameDataCentre
	case res.GetRegion() == wat.region:
		distance = distanceSameRegion
	}
	pst := wat.peers[address]
	pst.located = true
	pst.distance = distance
	if !res.GetStale() {
		pst.failures = 0
	}
	wat.peers[address] = pst
}

// apply puts the answer of a control VM in force. It sets an error in the result when the VM may not know the newest state,
// and adapts the margin of the next poll.
func (wat *watcher) apply(ctx context.Context, por *pollResult) {
	if por.err != nil {
		if ctx.Err() != nil {
			wat.pollMargin = min(maxPollMargin, 2*wat.pollMargin)
		}
		return
	}
	wat.pollMargin = max(minPollMargin, wat.pollMargin/2)
	before := wat.forwarder.Configuration().GetRevision()
	wat.forwarder.Update(por.res.GetState(), por.res.GetIndex(), por.res.GetEntries())
	wat.forwarder.Rates().Learn(fprate.DecodeStatements(por.sentAt, por.res.GetRates()))
	if digest := por.res.GetRelaysDigest(); digest != 0 && digest != wat.forwarder.RelaysDigest() {
		wat.forwarder.SetRelays(por.res.GetRelays(), digest)
	}
	if after := wat.forwarder.Configuration().GetRevision(); after != before {
		wat.configured(wat.forwarder.Configuration())
		wat.log.Info("configuration in force", zap.Uint64("revision", after), zap.Uint64("before", before),
			zap.Uint64("index", por.res.GetIndex()), zap.String("peer", por.address))
	}
	wat.learnMembers(por.res)
	wat.mutex.Lock()
	defer wat.mutex.Unlock()
	wat.leader = por.res.GetLeader()
	wat.recordLocation(por.address, por.res)
	if por.res.GetStale() {
		por.err = errStale
	} else {
		wat.forwarder.RecordContact()
	}
}

// report sends the counted load, the crashes and the statements about request rates to the leader every reportInterval until
// ctx ends, and acquires tokens. While no leader is known, the counted load is dropped and the rest is kept.
func (wat *watcher) report(ctx context.Context) {
	rates := wat.forwarder.Rates()
	room := wat.forwarder.Room()
	nextLoad := time.Now().Add(reportInterval)
	var lastCall time.Time
	lastLeader := ""
	for wat.awaitReport(ctx, time.Until(nextLoad), lastCall) {
		wat.mutex.Lock()
		leader := wat.leader
		wat.mutex.Unlock()
		var counts []*fpstate.KeyCount
		if !time.Now().Before(nextLoad) {
			nextLoad = time.Now().Add(reportInterval)
			counts = wat.forwarder.TakeLoad()
		}
		if leader == "" {
			continue
		}
		if leader != lastLeader {
			lastLeader = leader
			wat.forwarder.RepeatCrashes()
		}
		crashes, cleared := wat.forwarder.TakeCrashes()
		cal := rates.NewCall(time.Now())
		places := room.NewCall(cal.SentAt)
		leaving := wat.forwarder.Leaving()
		if len(counts)+len(crashes)+len(cleared)+len(leaving) == 0 && cal.Empty() && places.Empty() {
			continue
		}
		lastCall = cal.SentAt
		callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
		res, err := wat.clientOf(leader).Report(callCtx, connect.NewRequest(&fpstate.ReportRequest{
			Vm:      wat.vm,
			Counts:  counts,
			Period:  durationpb.New(reportInterval),
			Crashes: crashes,
			Cleared: cleared,
			Rates:   fprate.EncodeStatements(cal.SentAt, cal.Statements),
			Asks:    fprate.EncodeAsks(cal.Asks),
			Leaving: leaving,
			Places:  fproom.EncodeUses(places.Uses),

			AccountsPlaces: wat.forwarder.SharesPlaces(),
		}))
		cancel()
		if err != nil || !res.Msg.GetLeads() {
			room.Fail(places)
		}
		if err != nil || !res.Msg.GetLeads() || res.Msg.GetCrashesDropped() {
			wat.forwarder.ReturnCrashes(crashes, cleared)
		}
		if err != nil {
			wat.log.Debug("report failed", zap.String("peer", leader), zap.Error(err))
			continue
		}
		if res.Msg.GetLeads() {
			rates.Finish(cal, time.Now(), fprate.DecodeGrants(res.Msg.GetGrants()), fprate.DecodeStatements(cal.SentAt, res.Msg.GetRates()))
			room.Finish(places, time.Now(), fproom.DecodeGrants(res.Msg.GetPlaces()))
		}
	}
}

// awaitReport waits until the next report is due: after the given time, or earlier if a request waits for a token or a place. It returns
// false when ctx ends before. lastCall is when the last report was sent.
func (wat *watcher) awaitReport(ctx context.Context, due time.Duration, lastCall time.Time) bool {
	gap := min(reportInterval, fprate.CallGap(wat.forwarder.Entries()))
	if !sleep(ctx, min(due, gap)) {
		return false
	}
	timer := time.NewTimer(due - gap)
	defer timer.Stop()
	placeGap := time.NewTimer(time.Until(lastCall.Add(fproom.CallGap(wat.forwarder.Entries()))))
	defer placeGap.Stop()
	var places <-chan struct{}
	for {
		select {
		case <-ctx.Done():
			return false
		case <-placeGap.C:
			places = wat.forwarder.Room().Wanted()
		case <-timer.C:
			return true
		case <-places:
			return true
		case <-wat.forwarder.Rates().Wanted():
			return true
		}
	}
}
