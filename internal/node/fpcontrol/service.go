package fpcontrol

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/control/fpdirectory"
	"github.com/foxtailpulley/foxtailpulley/internal/control/fpgroup"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

// followerAge is how long an entry VM counts as a follower after its last call.
const followerAge = 5 * time.Second

// followers counts the entry VMs that watch this VM, and those of the other control VMs.
type followers struct {
	mutex sync.Mutex
	seen  map[string]time.Time
	// others holds the counts of other control VMs, on the leader.
	others map[string]uint32
	total  uint32
}

func newFollowers() *followers {
	return &followers{
		seen:   map[string]time.Time{},
		others: map[string]uint32{},
	}
}

func (fol *followers) note(vm string) {
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

func (fol *followers) countLocked() uint32 {
	for vm, at := range fol.seen {
		if time.Since(at) > followerAge {
			delete(fol.seen, vm)
		}
	}
	return uint32(len(fol.seen))
}

// report stores the count of another control VM and returns the sum.
func (fol *followers) report(vm string, count uint32) uint32 {
	fol.mutex.Lock()
	defer fol.mutex.Unlock()
	fol.others[vm] = count
	fol.total = fol.countLocked()
	for _, num := range fol.others {
		fol.total += num
	}
	return fol.total
}

func (fol *followers) setTotal(total uint32) {
	fol.mutex.Lock()
	defer fol.mutex.Unlock()
	fol.total = total
}

// sum returns the number of entry VMs of the deployment as far as it is known.
func (fol *followers) sum() uint32 {
	fol.mutex.Lock()
	defer fol.mutex.Unlock()
	return max(fol.total, uint32(len(fol.seen)))
}

// service answers the calls of other VMs.
type service struct {
	con *Control
}

// Step takes consensus messages.
func (ser *service) Step(_ context.Context, req *connect.Request[fpstate.StepRequest]) (*connect.Response[fpstate.StepResponse], error) {
	for _, msg := range req.Msg.GetMessages() {
		if msg.GetTo() == ser.con.cfg.VM {
			ser.con.group.Step(msg)
		}
	}
	return connect.NewResponse(&fpstate.StepResponse{}), nil
}

// Join notes that a control VM wants to be a voter; keepMembers adds it.
func (ser *service) Join(ctx context.Context, req *connect.Request[fpstate.JoinRequest]) (*connect.Response[fpstate.JoinResponse], error) {
	con := ser.con
	sta := con.group.Status()
	res := &fpstate.JoinResponse{
		Leader: sta.Leader,
	}
	if con.leads(ctx) {
		con.mutex.Lock()
		con.joins[req.Msg.GetVm()] = time.Now()
		con.mutex.Unlock()
		res.Member = isMember(sta, req.Msg.GetVm())
	}
	return connect.NewResponse(res), nil
}

// Watch waits for a change of the state after the caller's position.
func (ser *service) Watch(ctx context.Context, req *connect.Request[fpstate.WatchRequest]) (*connect.Response[fpstate.WatchResponse], error) {
	con := ser.con
	con.followers.note(req.Msg.GetVm())
	timer := time.NewTimer(req.Msg.GetWait().AsDuration())
	defer timer.Stop()
	for {
		changed, moved := con.directory.Changed(), con.leaderMoved()
		if last := con.storedState(req.Msg.GetAfter()); last != nil {
			return connect.NewResponse(last), nil
		}
		sta, index := con.directory.Since(req.Msg.GetAfter())
		// A caller that has followed another VM may be a few entries ahead. This VM then waits for them and is not stale.
		behind := index < req.Msg.GetAfter()
		stale := con.stale(ctx)
		if stale || !behind && !fpdirectory.Empty(sta) {
			return connect.NewResponse(con.watched(sta, index, stale)), nil
		}
		select {
		case <-changed:
		case <-moved:
		case <-timer.C:
			return connect.NewResponse(con.watched(sta, index, behind)), nil
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

func (con *Control) watched(sta *fpstate.State, index uint64, stale bool) *fpstate.WatchResponse {
	res := &fpstate.WatchResponse{
		State:      withoutDocument(sta),
		Index:      index,
		Stale:      stale,
		Entries:    con.followers.sum(),
		DataCentre: con.cfg.DataCentre,
		Region:     con.cfg.Region,
	}
	group := con.group.Status()
	res.Leader = group.Leader
	for _, mst := range group.Members {
		res.Members = append(res.Members, mst.VM)
	}
	return res
}

// withoutDocument leaves out what entry VMs do not need.
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

// Propose commits a command if this VM leads.
func (ser *service) Propose(ctx context.Context, req *connect.Request[fpstate.ProposeRequest]) (*connect.Response[fpstate.ProposeResponse], error) {
	err := ser.con.commit(ctx, req.Msg.GetCommand())
	if err != nil && !fperror.Is(err, fperror.NotLeader) {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&fpstate.ProposeResponse{
		Leader:    ser.con.group.Status().Leader,
		Committed: err == nil,
	}), nil
}

// Announce takes the announcements that another control VM has received.
func (ser *service) Announce(_ context.Context, req *connect.Request[fpstate.AnnounceRequest]) (*connect.Response[fpstate.AnnounceResponse], error) {
	con := ser.con
	for _, ann := range req.Msg.GetAnnouncements() {
		con.beats.note(ann.GetUpstream(), ann.GetSequence())
	}
	return connect.NewResponse(&fpstate.AnnounceResponse{
		Leader:  con.group.Status().Leader,
		Entries: con.followers.report(req.Msg.GetVm(), req.Msg.GetEntries()),
	}), nil
}

// Read returns the newest configuration if this VM leads with a valid lease.
func (ser *service) Read(ctx context.Context, _ *connect.Request[fpstate.ReadRequest]) (*connect.Response[fpstate.ReadResponse], error) {
	cfg, err := ser.con.readHere(ctx)
	return connect.NewResponse(&fpstate.ReadResponse{
		Leader:        ser.con.group.Status().Leader,
		Configuration: cfg,
		Current:       err == nil,
	}), nil
}

// Report adds the load that an entry VM has counted.
func (ser *service) Report(_ context.Context, req *connect.Request[fpstate.ReportRequest]) (*connect.Response[fpstate.ReportResponse], error) {
	ser.con.takeReport(req.Msg)
	return connect.NewResponse(&fpstate.ReportResponse{
		Leader: ser.con.group.Status().Leader,
	}), nil
}
