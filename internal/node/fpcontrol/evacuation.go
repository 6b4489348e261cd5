package fpcontrol

import (
	"cmp"
	"context"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/control/fpdirectory"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

const (
	// evacuationRetryTime is the time after the arrival of an order in which it may be decided again because another order has taken
	// effect. An operator waits for longer before sending the opposite order elsewhere, which a later decision could undo.
	evacuationRetryTime = 250 * time.Millisecond
	// errorHeader is the header of an error response that carries the error kind.
	errorHeader = "Foxtailpulley-Error"
)

// evacuate starts or ends the evacuation of a data centre. It returns nil only after the order is committed. A repeated order is
// committed again: earlier orders that are still on their way then have no effect any more. The error is of kind InvalidRequest if the
// data centre is unknown, and of kind NoQuorum if no leader takes the order or a member of the group is of a build that does not know
// evacuations.
func (con *Control) evacuate(ctx context.Context, dataCentre string, active bool) error {
	err := con.decideEvacuation(ctx, dataCentre, active)
	if err != nil {
		con.metrics.refusedEvacuations.Add(1)
		return err
	}
	con.cfg.Log.Info("evacuation ordered", zap.String("evacuated", dataCentre), zap.Bool("active", active))
	return nil
}

// decideEvacuation decides an order on the record that this VM knows, and passes it to the leader. If another order has taken effect
// there, it decides once more on the newest record.
func (con *Control) decideEvacuation(ctx context.Context, dataCentre string, active bool) error {
	if !con.knowsDataCentre(dataCentre) {
		return fperror.New(fperror.InvalidRequest, "unknown data centre %q; known are %q", dataCentre, con.cfg.DataCentres)
	}
	arrival := time.Now()
	known := con.directory.Evacuation(dataCentre)
	for {
		res, err := con.orderEvacuation(ctx, &fpstate.EvacuationOrder{
			DataCentre: dataCentre,
			Active:     active,
			Expected:   known.GetDecided(),
		})
		if err != nil || res.GetDone() {
			return err
		}
		known = res.GetNewest()
		if known != nil && known.GetActive() == active {
			return nil
		}
		if time.Since(arrival) > evacuationRetryTime {
			return fperror.New(fperror.NoQuorum, "another order for data centre %q has taken effect; repeat the order", dataCentre)
		}
	}
}

// knowsDataCentre reports whether a data centre can be evacuated. One that the settings no longer name can still be, if there is a
// record of it, so that its evacuation can be ended.
func (con *Control) knowsDataCentre(name string) bool {
	return name != "" && (name == con.cfg.DataCentre || slices.Contains(con.cfg.DataCentres, name) || con.directory.Evacuation(name) != nil)
}

// orderEvacuation commits an order here or at the leader. A response that is not done holds the newest record of the data centre.
func (con *Control) orderEvacuation(ctx context.Context, ord *fpstate.EvacuationOrder) (*fpstate.EvacuateResponse, error) {
	res, err := con.commitEvacuation(ctx, ord)
	if !fperror.Is(err, fperror.NotLeader) {
		return res, err
	}
	leader := con.group.Status().Leader
	if leader == "" || leader == con.cfg.VM {
		return nil, fperror.New(fperror.NoQuorum, "the group has no known leader")
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := con.peer(leader).Evacuate(ctx, connect.NewRequest(&fpstate.EvacuateRequest{
		DataCentre: ord.GetDataCentre(),
		Active:     ord.GetActive(),
		Forwarded:  true,
		Expected:   ord.GetExpected(),
	}))
	if err != nil {
		return nil, fperror.Wrap(forwardedErrorKind(err), err, "pass an evacuation on to leader %s", leader)
	}
	return answer.Msg, nil
}

// forwardedErrorKind returns the kind of an error of an order that was passed on to the leader.
func forwardedErrorKind(err error) fperror.Kind {
	var answer *connect.Error
	if !errors.As(err, &answer) {
		return fperror.CommitUnknown
	}
	if kin, ok := fperror.Parse(answer.Meta().Get(errorHeader)); ok {
		return kin
	}
	if answer.Code() == connect.CodeUnimplemented {
		return fperror.NoQuorum // the leader is of a build that does not know such orders
	}
	return fperror.CommitUnknown
}

// commitEvacuation commits an order if this VM leads with a valid lease. The error is of kind NotLeader if it does not lead, and of kind
// NoQuorum if the lease has ended, a voter is missing, or the level is not committed yet.
func (con *Control) commitEvacuation(ctx context.Context, ord *fpstate.EvacuationOrder) (*fpstate.EvacuateResponse, error) {
	if _, err := con.lead(ctx); err != nil {
		return nil, err
	}
	if con.directory.Level() < fpdirectory.LevelEvacuation {
		return nil, fperror.New(fperror.NoQuorum, "evacuations need level %d of the log, which not all control VMs have stated yet", fpdirectory.LevelEvacuation)
	}
	if err := con.checkVoters(); err != nil {
		return nil, err
	}
	if con.directory.Evacuation(ord.GetDataCentre()).GetDecided() != ord.GetExpected() {
		return con.supersededEvacuation(ctx, ord)
	}
	buf, err := proto.Marshal(&fpstate.Command{
		Body: &fpstate.Command_Evacuate{
			Evacuate: ord,
		},
	})
	if err != nil {
		return nil, fperror.Wrap(fperror.Internal, err, "marshal a command")
	}
	_, result, err := con.proposeCommand(ctx, buf)
	if err != nil {
		return nil, err
	}
	if !fpdirectory.OrderTookEffect(result) {
		return con.supersededEvacuation(ctx, ord)
	}
	return &fpstate.EvacuateResponse{
		Done: true,
	}, nil
}

// supersededEvacuation returns the response to an order that is not decided on the newest record.
func (con *Control) supersededEvacuation(ctx context.Context, ord *fpstate.EvacuationOrder) (*fpstate.EvacuateResponse, error) {
	newest := con.directory.Evacuation(ord.GetDataCentre())
	// The lease is checked after the read: if it is valid now, no other VM led at the time of the read.
	if _, err := con.lead(ctx); err != nil {
		return nil, err
	}
	return &fpstate.EvacuateResponse{
		Newest: newest,
	}, nil
}

// Evacuate starts or ends the evacuation of a data centre. An order that another control VM has passed on is decided here only.
func (ser *service) Evacuate(ctx context.Context, req *connect.Request[fpstate.EvacuateRequest]) (*connect.Response[fpstate.EvacuateResponse], error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	msg := req.Msg
	res := &fpstate.EvacuateResponse{
		Done: true,
	}
	var err error
	if msg.GetForwarded() {
		res, err = ser.con.commitEvacuation(ctx, &fpstate.EvacuationOrder{
			DataCentre: msg.GetDataCentre(),
			Active:     msg.GetActive(),
			Expected:   msg.GetExpected(),
		})
	} else {
		err = ser.con.evacuate(ctx, msg.GetDataCentre(), msg.GetActive())
	}
	if err != nil {
		return nil, orderError(err)
	}
	return connect.NewResponse(res), nil
}

// orderError returns the error of a call of an operator, with its kind.
func orderError(err error) error {
	answer := connect.NewError(fperror.KindOf(err).Answer().Code(), err)
	answer.Meta().Set(errorHeader, fperror.KindOf(err).String())
	return answer
}

// Status returns a summary of the replicated state as this VM knows it.
func (ser *service) Status(context.Context, *connect.Request[fpstate.StatusRequest]) (*connect.Response[fpstate.StatusResponse], error) {
	con := ser.con
	group := con.group.Status()
	res := &fpstate.StatusResponse{
		Vm:          con.cfg.VM,
		Leader:      group.Leader,
		Index:       con.directory.Index(),
		Revision:    con.directory.Configuration().GetRevision(),
		Level:       con.directory.Level(),
		Evacuations: con.directory.Evacuations(),
		Upstreams:   countUpstreams(con.directory.Upstreams("")),
	}
	for _, mst := range group.Members {
		res.Members = append(res.Members, mst.VM)
	}
	for _, rec := range con.directory.Quarantines() {
		res.Quarantines = append(res.Quarantines, rec.Quarantine)
	}
	return connect.NewResponse(res), nil
}

// countUpstreams counts upstreams by data centre and service, in this order.
func countUpstreams(all []*fpstate.Upstream) []*fpstate.UpstreamCount {
	var counts []*fpstate.UpstreamCount
	for _, ups := range all {
		at, found := slices.BinarySearchFunc(counts, ups, func(cou *fpstate.UpstreamCount, ups *fpstate.Upstream) int {
			return cmp.Or(cmp.Compare(cou.GetDataCentre(), ups.GetDataCentre()), cmp.Compare(cou.GetService(), ups.GetService()))
		})
		if !found {
			counts = slices.Insert(counts, at, &fpstate.UpstreamCount{
				DataCentre: ups.GetDataCentre(),
				Service:    ups.GetService(),
			})
		}
		if ups.GetLeaving() {
			counts[at].Leaving++
		} else {
			counts[at].Active++
		}
	}
	return counts
}
