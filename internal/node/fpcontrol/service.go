package fpcontrol

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/control/fpdirectory"
	"github.com/foxtailpulley/foxtailpulley/internal/control/fpgroup"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

// followerTimeout is how long an entry VM counts as a follower after its last Watch call.
const followerTimeout = 5 * time.Second

// followers counts the entry VMs that watch this VM, and those that watch other control VMs. It is safe for concurrent use.
type followers struct {
	mutex sync.Mutex
	seen  map[string]time.Time // when an entry VM last called Watch
	// otherCounts holds the counts that other control VMs reported to this VM as the leader.
	otherCounts map[string]uint32
	total       uint32 // entry VMs of all control VMs, as last reported
}

func newFollowers() *followers {
	return &followers{
		seen:        map[string]time.Time{},
		otherCounts: map[string]uint32{},
	}
}

// record records a call of an entry VM.
func (fol *followers) record(vm string) {
	fol.mutex.Lock()
	defer fol.mutex.Unlock()
	fol.seen[vm] = time.Now()
}

// count returns the number of entry VMs that watch this VM.
func (fol *followers) count() uint32 {
	fol.mutex.Lock()
	defer fol.mutex.Unlock()
	return fol.countLocked()
}

// countLocked is count for callers that hold the mutex.
func (fol *followers) countLocked() uint32 {
	for vm, at := range fol.seen {
		if time.Since(at) > followerTimeout {
			delete(fol.seen, vm)
		}
	}
	return uint32(len(fol.seen))
}

// report stores the count of another control VM and returns the total.
func (fol *followers) report(vm string, count uint32) uint32 {
	fol.mutex.Lock()
	defer fol.mutex.Unlock()
	fol.otherCounts[vm] = count
	fol.total = fol.countLocked()
	for _, num := range fol.otherCounts {
		fol.total += num
	}
	return fol.total
}

// setTotal stores the total that the leader returned.
func (fol *followers) setTotal(total uint32) {
	fol.mutex.Lock()
	defer fol.mutex.Unlock()
	fol.total = total
}

// sum returns the number of entry VMs of the deployment as far as it is known: the total, but at least the number of those
// that watch this VM.
func (fol *followers) sum() uint32 {
	fol.mutex.Lock()
	defer fol.mutex.Unlock()
	return max(fol.total, uint32(len(fol.seen)))
}

// service implements the StateService that other VMs call.
type service struct {
	con *Control
}

// Step passes consensus messages to the group, and records the silences that a leader reports. Messages for other VMs are dropped.
func (ser *service) Step(_ context.Context, req *connect.Request[fpstate.StepRequest]) (*connect.Response[fpstate.StepResponse], error) {
	for _, msg := range req.Msg.GetMessages() {
		if msg.GetTo() == ser.con.cfg.VM {
			ser.con.group.Step(msg)
		}
	}
	ser.con.recordSilences(req.Msg.GetSilences())
	return connect.NewResponse(&fpstate.StepResponse{}), nil
}

// Join records that a control VM asks to become a member, if this VM leads, or that it stops; maintainMembers changes the membership
// later.
func (ser *service) Join(ctx context.Context, req *connect.Request[fpstate.JoinRequest]) (*connect.Response[fpstate.JoinResponse], error) {
	con := ser.con
	con.levels.record(req.Msg.GetVm(), req.Msg.GetLevel())
	sta := con.group.Status()
	res := &fpstate.JoinResponse{
		Leader: sta.Leader,
	}
	if req.Msg.GetLeaving() {
		con.recordLeave(req.Msg.GetVm())
		return connect.NewResponse(res), nil
	}
	if con.leads(ctx) {
		con.recordJoin(req.Msg.GetVm())
		res.Member = isMember(sta, req.Msg.GetVm())
	}
	return connect.NewResponse(res), nil
}

// Watch waits for a change of the state after the caller's position and returns the changes. It returns at once, marked as
// stale, when this VM may not know the newest state, and at the latest after the wait of the request. It doesn't return a state
// from before a start of this VM: at the start, it waits until the entries that were known to be committed are applied.
func (ser *service) Watch(ctx context.Context, req *connect.Request[fpstate.WatchRequest]) (*connect.Response[fpstate.WatchResponse], error) {
	con := ser.con
	if req.Msg.GetPositionOnly() {
		return connect.NewResponse(con.position(ctx)), nil
	}
	con.followers.record(req.Msg.GetVm())
	con.relays.Follow(time.Now(), req.Msg.GetEntry())
	timer := time.NewTimer(req.Msg.GetWait().AsDuration())
	defer timer.Stop()
	began := con.group.Status()
	for {
		changed, leaderChange := con.directory.Changed(), con.leadershipChanged()
		coldChanged, coldDue := con.cold.watch(req.Msg.GetVm())
		group := con.group.Status()
		sta, index := con.directory.Since(req.Msg.GetAfter())
		// A caller that has followed another VM may be a few entries ahead, and entries that the leader has committed may be on
		// their way. This VM then waits for these entries and does not count as stale until the wait of the request is over.
		behind := index < req.Msg.GetAfter() || group.Applied.Index < began.Commit
		stale := con.stale(ctx)
		if !stale {
			behind = behind || !isCurrent(group, began.Known)
		}
		if stale && group.Applied.Index >= began.Commit || !behind && (coldDue || !fpdirectory.IsEmpty(sta)) {
			return con.withRelays(req.Msg, con.watchResponse(sta, index, stale)), nil
		}
		select {
		case <-changed:
		case <-leaderChange:
		case <-coldChanged:
		case <-timer.C:
			return con.withRelays(req.Msg, con.watchResponse(sta, index, stale || behind)), nil
		case <-ctx.Done():
			return nil, connect.NewError(connect.CodeCanceled, ctx.Err())
		}
	}
}

// stale reports whether this VM may not know the newest state: it leads without a lease, or knows no leader.
func (con *Control) stale(ctx context.Context) bool {
	sta := con.group.Status()
	if sta.Role == fpgroup.Leader {
		return !con.leads(ctx)
	}
	return sta.Leader == ""
}

// isCurrent reports whether a VM with a known leader has applied what the leader had committed when known was read. A leader commits
// the entries of earlier terms with the first one of its own, so before that a VM can't tell what is committed.
func isCurrent(sta fpgroup.Status, known uint64) bool {
	return sta.Applied.Term == sta.Term && sta.Applied.Index >= known
}

// position returns the answer to a Watch call that asks for the position only.
func (con *Control) position(ctx context.Context) *fpstate.WatchResponse {
	group := con.group.Status()
	res := con.watchResponse(&fpstate.State{}, con.directory.Index(), con.stale(ctx) || !isCurrent(group, group.Known))
	res.Committed = group.Commit
	return res
}

// watchResponse returns the answer to a Watch call, without the document of the configuration.
func (con *Control) watchResponse(sta *fpstate.State, index uint64, stale bool) *fpstate.WatchResponse {
	res := &fpstate.WatchResponse{
		State:      withoutDocument(sta),
		Index:      index,
		Stale:      stale,
		Entries:    con.followers.sum(),
		DataCentre: con.cfg.DataCentre,
		Region:     con.cfg.Region,
		Rates:      con.encodedNamedRates(),
	}
	group := con.group.Status()
	res.Leader = group.Leader
	for _, mst := range group.Members {
		res.Members = append(res.Members, mst.VM)
	}
	return res
}

// withRelays adds the relays for the sender of a Watch call and the statements about cold upstreams to the answer, unless it knows them.
func (con *Control) withRelays(req *fpstate.WatchRequest, res *fpstate.WatchResponse) *connect.Response[fpstate.WatchResponse] {
	con.addCold(req, res)
	if req.GetEntry() != nil {
		res.Relays, res.RelaysDigest = con.relays.Pick(time.Now(), req.GetEntry(), req.GetRelaysDigest())
	}
	return connect.NewResponse(res)
}

// withoutDocument removes the document from the configuration of a state, because entry VMs do not need it. It changes sta but
// not the configuration itself, which is shared.
func withoutDocument(sta *fpstate.State) *fpstate.State {
	cfg := sta.GetConfiguration()
	if cfg == nil {
		return sta
	}
	sta.Configuration = &fpstate.Configuration{
		Revision: cfg.GetRevision(),
		Routes:   cfg.GetRoutes(),
		Services: cfg.GetServices(),
		Limits:   cfg.GetLimits(),
	}
	return sta
}

// Propose commits a command if this VM leads. Otherwise, the response states that the command is not committed.
func (ser *service) Propose(ctx context.Context, req *connect.Request[fpstate.ProposeRequest]) (*connect.Response[fpstate.ProposeResponse], error) {
	com := &fpstate.Command{}
	if err := proto.Unmarshal(req.Msg.GetCommand(), com); err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	err := ser.con.commit(ctx, com, req.Msg.GetCommand())
	if err != nil && !fperror.Is(err, fperror.NotLeader) {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&fpstate.ProposeResponse{
		Leader:    ser.con.group.Status().Leader,
		Committed: err == nil,
	}), nil
}

// Announce records the announcements that another control VM has received, and the entry VMs that follow it.
func (ser *service) Announce(_ context.Context, req *connect.Request[fpstate.AnnounceRequest]) (*connect.Response[fpstate.AnnounceResponse], error) {
	con := ser.con
	for _, ann := range req.Msg.GetAnnouncements() {
		con.announcements.record(ann.GetUpstream(), ann.GetSequence())
	}
	con.levels.record(req.Msg.GetVm(), req.Msg.GetLevel())
	now := time.Now()
	con.mergeRates(now, req.Msg.GetRates())
	if req.Msg.GetVm() == "" {
		// The sender passes on only statements about cold upstreams.
		return connect.NewResponse(&fpstate.AnnounceResponse{
			Leader: con.group.Status().Leader,
		}), nil
	}
	res := &fpstate.AnnounceResponse{
		Leader:          con.group.Status().Leader,
		Entries:         con.followers.report(req.Msg.GetVm(), req.Msg.GetEntries()),
		Rates:           con.encodedRates(),
		FollowersDigest: con.relays.Report(now, req.Msg.GetVm(), req.Msg.GetFollowers(), req.Msg.GetFollowersDigest()),
	}
	res.Relays, res.RelaysDigest = con.relays.All(now, req.Msg.GetRelaysDigest())
	return connect.NewResponse(res), nil
}

// Read returns the newest configuration if this VM leads with a valid lease. Otherwise, the response is not current.
func (ser *service) Read(ctx context.Context, _ *connect.Request[fpstate.ReadRequest]) (*connect.Response[fpstate.ReadResponse], error) {
	cfg, err := ser.con.readHere(ctx)
	return connect.NewResponse(&fpstate.ReadResponse{
		Leader:        ser.con.group.Status().Leader,
		Configuration: cfg,
		Current:       err == nil,
	}), nil
}

// Report adds the load and the crashes that an entry VM reports, and gives it tokens for limited upstreams.
func (ser *service) Report(ctx context.Context, req *connect.Request[fpstate.ReportRequest]) (*connect.Response[fpstate.ReportResponse], error) {
	recorded := ser.con.handleReport(req.Msg)
	ser.con.recordLeaving(ctx, req.Msg.GetLeaving())
	res := &fpstate.ReportResponse{
		Leader:         ser.con.group.Status().Leader,
		CrashesDropped: !recorded,
	}
	ser.con.grantRates(ctx, req.Msg, res)
	ser.con.grantPlaces(ctx, req.Msg, res)
	return connect.NewResponse(res), nil
}
