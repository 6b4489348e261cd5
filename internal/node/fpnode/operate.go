package fpnode

import (
	"context"
	"encoding/json"
	"expvar"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/foxtailpulley/foxtailpulley/api/operator/fpoperator"
	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/config/fpsettings"
	"github.com/foxtailpulley/foxtailpulley/internal/node/fpoperate"
	"github.com/foxtailpulley/foxtailpulley/internal/node/fptls"
	"github.com/foxtailpulley/foxtailpulley/internal/node/fpvoter"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

// operatorService returns the operator service of this VM.
func (nod *Node) operatorService() *fpoperate.Service {
	cfg := fpoperate.Config{
		Root:          fpsettings.RootGroup,
		Identity:      nod.identity,
		Submit:        nod.submit,
		CallLeader:    nod.peers.Operate,
		Configuration: nod.configuration,
		LocalStatus:   nod.localStatus,
		Dump:          nod.dump,
	}
	for _, gro := range nod.cfg.Settings.Groups() {
		cfg.Groups = append(cfg.Groups, gro.Name())
	}
	for _, vm := range nod.cfg.Settings.VMs() {
		cfg.VMs = append(cfg.VMs, vm.Name())
	}
	return fpoperate.New(cfg)
}

// identity returns the identity of the operator who sent a request, or "loopback" on a plain-text listener.
func (nod *Node) identity(ctx context.Context) string {
	if name, ok := fptls.Identity(ctx); ok {
		return name
	}
	return "loopback"
}

// localStatus returns the part of the status that this VM knows without asking other VMs.
func (nod *Node) localStatus() *fpoperator.StatusResponse {
	version, _ := nod.configuration()
	out := &fpoperator.StatusResponse{
		Vm:            nod.vm(),
		Configuration: version.Version(),
		Refusals:      nod.refusals(),
	}
	for _, gro := range nod.cfg.Settings.Groups() {
		out.Groups = append(out.Groups, &fpoperator.GroupStatus{
			Name:     gro.Name(),
			Table:    nod.entry.Table().Version(gro.Name()),
			ValidFor: durationpb.New(nod.entry.Table().ValidFor(gro.Name())),
		})
	}
	return out
}

// refusals returns the number of refused requests by error kind.
func (nod *Node) refusals() map[string]uint64 {
	out := map[string]uint64{}
	nod.counters.Do(func(pair expvar.KeyValue) {
		value, ok := pair.Value.(*expvar.Int)
		if _, known := fperror.Parse(pair.Key); ok && known {
			out[pair.Key] = uint64(value.Value())
		}
	})
	return out
}

// operate runs an operator request that another VM sent. If this VM does not lead the group of the request, the response
// only names the leader.
func (nod *Node) operate(ctx context.Context, req *fpwire.OperateRequest) *fpwire.OperateResponse {
	res := &fpwire.OperateResponse{}
	var err error
	if req.GetDump() != nil {
		err = nod.operateDump(res)
	} else {
		err = nod.operateGroup(ctx, req, res)
	}
	if fperror.Is(err, fperror.NotLeader) {
		return &fpwire.OperateResponse{
			Leader: nod.leaderOf(req.GetGroup()),
		}
	}
	if err != nil {
		res.Error = fperror.KindOf(err).String()
		res.Message = err.Error()
	}
	return res
}

// leaderOf returns the last known leader of a group, or "" if none is known.
func (nod *Node) leaderOf(group string) string {
	if vot := nod.voters[group]; vot != nil {
		return vot.Leader()
	}
	return nod.peers.Leader(group)
}

// operateGroup runs an operator request that concerns one group and stores its response in res. The error is of kind
// NotLeader if this VM does not lead the group.
func (nod *Node) operateGroup(ctx context.Context, req *fpwire.OperateRequest, res *fpwire.OperateResponse) error {
	vot := nod.voters[req.GetGroup()]
	if vot == nil {
		return fperror.New(fperror.NotLeader, "this VM is not a member of group %s", req.GetGroup())
	}
	switch request := req.GetRequest().(type) {
	case *fpwire.OperateRequest_MoveSlots:
		count, err := vot.MoveSlots(request.MoveSlots.GetService(), request.MoveSlots.GetSlots(), request.MoveSlots.GetUpstream())
		if err != nil {
			return err
		}
		res.Response = &fpwire.OperateResponse_MoveSlots{
			MoveSlots: &fpoperator.MoveSlotsResponse{
				Moving: uint32(count),
			},
		}
	case *fpwire.OperateRequest_ChangeVoter:
		if err := vot.ChangeVoter(ctx, request.ChangeVoter.GetChange(), request.ChangeVoter.GetVm()); err != nil {
			return err
		}
		res.Response = &fpwire.OperateResponse_ChangeVoter{
			ChangeVoter: &fpoperator.ChangeVoterResponse{
				Committed: appliedVersion(vot),
			},
		}
	case *fpwire.OperateRequest_Status:
		sta, err := vot.Status()
		if err != nil {
			return err
		}
		res.Response = &fpwire.OperateResponse_Status{
			Status: sta,
		}
	default:
		return fperror.New(fperror.InvalidRequest, "unknown operator request")
	}
	return nil
}

// appliedVersion returns the term and index of the last entry that the voter has applied.
func appliedVersion(vot *fpvoter.Voter) *fpoperator.Version {
	sta := vot.Group().Status()
	return &fpoperator.Version{
		Term:  sta.Applied.Term,
		Index: sta.Applied.Index,
	}
}

// vmState is the state of a VM in a dump.
type vmState struct {
	VM            string          `json:"vm"`
	Incarnation   uint64          `json:"incarnation"`
	Roles         []string        `json:"roles"`
	Draining      bool            `json:"draining"`
	InFlight      int64           `json:"inFlight"`
	Configuration json.RawMessage `json:"configuration"`
	Tables        []tableState    `json:"tables"`
	Voters        []fpvoter.Dump  `json:"voters"`
	Entry         any             `json:"entry"`
	Counters      json.RawMessage `json:"counters"`
}

// tableState describes the table of a group in a dump.
type tableState struct {
	Group    string          `json:"group"`
	Version  json.RawMessage `json:"version"`
	ValidFor time.Duration   `json:"validForNanoseconds"`
	Entries  int             `json:"entries"`
}

// dump returns the state of a VM as JSON. An empty name means this VM.
func (nod *Node) dump(ctx context.Context, vm string) (string, error) {
	if vm == "" || vm == nod.vm() {
		res := &fpwire.OperateResponse{}
		err := nod.operateDump(res)
		return res.GetDump().GetState(), err
	}
	per := nod.peers.Peer(vm)
	if per == nil {
		return "", fperror.New(fperror.InvalidRequest, "there is no VM %q", vm)
	}
	res, err := per.Operate(ctx, connect.NewRequest(&fpwire.OperateRequest{
		Request: &fpwire.OperateRequest_Dump{
			Dump: &fpoperator.DumpRequest{},
		},
	}))
	if err != nil {
		return "", err
	}
	return res.Msg.GetDump().GetState(), nil
}

// operateDump stores the state of this VM in res.
func (nod *Node) operateDump(res *fpwire.OperateResponse) error {
	version, cfg := nod.configuration()
	sta := vmState{
		VM:          nod.vm(),
		Incarnation: nod.incarnation,
		Draining:    nod.draining.Load(),
		InFlight:    nod.entry.Running(),
		Configuration: rawProto(&fpoperator.GetConfigurationResponse{
			Version:       version.Version(),
			Configuration: cfg,
		}),
		Entry:    nod.entry.Dump(),
		Counters: json.RawMessage(nod.counters.String()),
	}
	for _, rol := range nod.cfg.Settings.Roles() {
		sta.Roles = append(sta.Roles, string(rol))
	}
	for _, gro := range nod.cfg.Settings.Groups() {
		sta.Tables = append(sta.Tables, tableState{
			Group:    gro.Name(),
			Version:  rawProto(nod.entry.Table().Version(gro.Name())),
			ValidFor: nod.entry.Table().ValidFor(gro.Name()),
			Entries:  len(nod.entry.Table().Entries(gro.Name())),
		})
		if vot := nod.voters[gro.Name()]; vot != nil {
			sta.Voters = append(sta.Voters, vot.Dump())
		}
	}
	data, err := json.MarshalIndent(sta, "", "  ")
	if err != nil {
		return fperror.Wrap(fperror.Internal, err, "encode the state")
	}
	res.Response = &fpwire.OperateResponse_Dump{
		Dump: &fpoperator.DumpResponse{
			State: string(data),
		},
	}
	return nil
}

// rawProto returns a message as JSON, or null if it cannot be encoded.
func rawProto(msg proto.Message) json.RawMessage {
	data, err := protojson.Marshal(msg)
	if err != nil {
		return json.RawMessage("null")
	}
	return data
}
