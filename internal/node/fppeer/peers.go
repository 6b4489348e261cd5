// Package fppeer calls the other VMs of the router and follows the leaders of groups.
package fppeer

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire/fpwireconnect"
)

// Peer is the inner service of a VM. Local and remote VMs have the same methods.
type Peer = fpwireconnect.PeerServiceClient

// Config configures Peers.
type Config struct {
	// VM is the name of this VM.
	VM string
	// Local serves calls of this VM to itself.
	Local Peer
	// Addresses holds the IP number and port of the inner listener of each VM.
	Addresses map[string]string
	// Client sends the calls, and Scheme is http or https.
	Client *http.Client
	Scheme string
	// Voters returns the names of the VMs that voted in a group at first. Answers to polls name the present voters.
	Voters func(group string) []string
}

// Peers calls other VMs. It is safe for concurrent use.
type Peers struct {
	cfg     Config
	clients map[string]Peer

	mutex   sync.Mutex
	leaders map[string]string
	voters  map[string][]string
	// silent holds, for each VM whose last call failed, until when it is asked last.
	silent map[string]time.Time
}

// silentTime is how long a VM that failed to answer is asked after the others. A frozen VM or a silent cut costs every
// call its whole timeout, and two of these are longer than the validity of a table.
const silentTime = 2 * time.Second

// New returns the clients of all VMs. It opens no connection.
func New(cfg Config) *Peers {
	prs := &Peers{
		cfg:     cfg,
		clients: map[string]Peer{},
		leaders: map[string]string{},
		voters:  map[string][]string{},
		silent:  map[string]time.Time{},
	}
	for vm, address := range cfg.Addresses {
		if vm != cfg.VM {
			prs.clients[vm] = fpwireconnect.NewPeerServiceClient(cfg.Client, cfg.Scheme+"://"+address)
		}
	}
	return prs
}

// Peer returns the VM with the given name, or nil.
func (prs *Peers) Peer(vm string) Peer {
	if vm == prs.cfg.VM {
		return prs.cfg.Local
	}
	return prs.clients[vm]
}

// Leader returns the VM that is believed to lead a group, or "".
func (prs *Peers) Leader(group string) string {
	prs.mutex.Lock()
	defer prs.mutex.Unlock()
	return prs.leaders[group]
}

func (prs *Peers) setLeader(group, vm string) {
	prs.mutex.Lock()
	defer prs.mutex.Unlock()
	prs.leaders[group] = vm
}

// isSilent reports whether a VM has recently failed to answer.
func (prs *Peers) isSilent(vm string) bool {
	prs.mutex.Lock()
	defer prs.mutex.Unlock()
	return time.Now().Before(prs.silent[vm])
}

// heard notes how a call to a VM ended.
func (prs *Peers) heard(vm string, err error) {
	prs.mutex.Lock()
	defer prs.mutex.Unlock()
	if err == nil {
		delete(prs.silent, vm)
		return
	}
	prs.silent[vm] = time.Now().Add(silentTime)
}

// Voters returns the VMs that vote in a group as far as this VM knows.
func (prs *Peers) Voters(group string) []string {
	prs.mutex.Lock()
	known := prs.voters[group]
	prs.mutex.Unlock()
	if len(known) > 0 {
		return known
	}
	return prs.cfg.Voters(group)
}

func (prs *Peers) setVoters(group string, voters []string) {
	prs.mutex.Lock()
	defer prs.mutex.Unlock()
	prs.voters[group] = voters
}

// candidates returns the VMs to ask in turn: the believed leader, the other voters, those of the settings, for the case that
// all known voters have been replaced meanwhile, and at last those that are silent.
func (prs *Peers) candidates(group string) []string {
	var all []string
	for _, vm := range slices.Concat([]string{prs.Leader(group)}, prs.Voters(group), prs.cfg.Voters(group)) {
		if vm != "" && !slices.Contains(all, vm) {
			all = append(all, vm)
		}
	}
	slices.SortStableFunc(all, func(one, two string) int { return rank(prs.isSilent(one)) - rank(prs.isSilent(two)) })
	return all
}

func rank(last bool) int {
	if last {
		return 1
	}
	return 0
}

// request is one call to the leader of a group. It is idempotent, because it may be sent to several VMs.
type request[T any] struct {
	group string
	// timeout bounds the call to one VM.
	timeout time.Duration
	// send calls one VM. It returns the leader when the VM does not lead the group.
	send func(ctx context.Context, per Peer, relay bool) (answer T, answered bool, leader string, err error)
}

// search is the state of one request on its way to the leader.
type search[T any] struct {
	prs   *Peers
	req   request[T]
	asked map[string]bool
	// answered states that another VM has answered.
	answered bool
	// relays are the VMs that were asked to pass the call on.
	relays map[string]bool
	last   error
	// maybe states that a VM may have taken the request though no answer came.
	maybe bool
}

// follow calls the leader of a group. It starts with the VM that led it last and follows the hints of VMs that do not
// lead. A VM that names a leader which does not answer here is asked to relay the call, for the case that only a third VM
// reaches the leader. The error is of kind NoQuorum when no VM took the request, and CommitUnknown when one may have taken
// it.
func follow[T any](ctx context.Context, prs *Peers, req request[T]) (T, error) {
	sea := &search[T]{
		prs:    prs,
		req:    req,
		asked:  map[string]bool{},
		relays: map[string]bool{},
	}
	for _, vm := range prs.candidates(req.group) {
		// If other VMs answer but know no leader, an election runs, and a silent VM would only hold up the next try.
		if sea.answered && prs.isSilent(vm) {
			continue
		}
		if answer, ok := sea.direct(ctx, vm); ok {
			return answer, nil
		}
	}
	for _, vm := range prs.Voters(req.group) {
		if prs.isSilent(vm) {
			continue
		}
		if answer, ok := sea.relayed(ctx, vm); ok {
			return answer, nil
		}
	}
	var zero T
	return zero, sea.failure()
}

// direct asks a VM and follows its hints.
func (sea *search[T]) direct(ctx context.Context, vm string) (T, bool) {
	for vm != "" && !sea.asked[vm] {
		sea.asked[vm] = true
		answer, ok, leader, err := sea.try(ctx, vm, false)
		if ok {
			sea.prs.heard(vm, nil)
			sea.prs.setLeader(sea.req.group, vm)
			return answer, true
		}
		// An error of a call whose caller has gone says nothing about the VM.
		if ctx.Err() == nil && vm != sea.prs.cfg.VM && sea.prs.Peer(vm) != nil {
			sea.prs.heard(vm, err)
			sea.answered = sea.answered || err == nil
		}
		if leader != "" && sea.prs.isSilent(leader) {
			return sea.relayed(ctx, vm)
		}
		vm = leader
	}
	var zero T
	return zero, false
}

// relayed asks another VM, at most once, to pass the call on to the leader. A failure may be the leader's, so it says
// nothing about the VM.
func (sea *search[T]) relayed(ctx context.Context, vm string) (T, bool) {
	if vm == sea.prs.cfg.VM || sea.relays[vm] {
		var zero T
		return zero, false
	}
	sea.relays[vm] = true
	answer, ok, _, _ := sea.try(ctx, vm, true)
	return answer, ok
}

func (sea *search[T]) try(ctx context.Context, vm string, relay bool) (answer T, ok bool, leader string, err error) {
	per := sea.prs.Peer(vm)
	if per == nil || ctx.Err() != nil {
		return answer, false, "", nil
	}
	ctx, cancel := context.WithTimeout(ctx, sea.req.timeout)
	defer cancel()
	answer, ok, leader, err = sea.req.send(ctx, per, relay)
	if err != nil {
		sea.last = err
		sea.maybe = sea.maybe || !isDialError(err)
	}
	return answer, ok && err == nil, leader, err
}

func (sea *search[T]) failure() error {
	switch {
	case sea.last == nil:
		return fperror.New(fperror.NoQuorum, "group %s has no leader", sea.req.group)
	case sea.maybe:
		return fperror.Wrap(fperror.CommitUnknown, sea.last, "no leader of group %s answered", sea.req.group)
	default:
		return fperror.Wrap(fperror.NoQuorum, sea.last, "no voter of group %s is reachable", sea.req.group)
	}
}

// isDialError reports whether a call failed before a connection existed, so that nothing was sent.
func isDialError(err error) bool {
	var ope *net.OpError
	return errors.As(err, &ope) && ope.Op == "dial"
}

// Poll sends a poll to the leader of its group.
func (prs *Peers) Poll(ctx context.Context, req *fpwire.PollRequest) (*fpwire.PollResponse, error) {
	return follow(ctx, prs, request[*fpwire.PollResponse]{
		group:   req.GetGroup(),
		timeout: req.GetHold().AsDuration() + pollMargin,
		send: func(ctx context.Context, per Peer, relay bool) (*fpwire.PollResponse, bool, string, error) {
			one := req
			if relay {
				one = relayedPoll(req)
			}
			res, err := per.Poll(ctx, connect.NewRequest(one))
			if err != nil {
				return nil, false, "", err
			}
			if len(res.Msg.GetVoters()) > 0 {
				prs.setVoters(req.GetGroup(), res.Msg.GetVoters())
			}
			return res.Msg, res.Msg.GetTerm() != 0, res.Msg.GetLeader(), nil
		},
	})
}

// pollMargin is the time for a poll beyond its hold: a round trip between regions with room for a busy VM. Hold and
// margin together leave time for a second try within the validity of a table.
const pollMargin = 200 * time.Millisecond

func relayedPoll(req *fpwire.PollRequest) *fpwire.PollRequest {
	return &fpwire.PollRequest{
		Vm:            req.GetVm(),
		Incarnation:   req.GetIncarnation(),
		DataCentre:    req.GetDataCentre(),
		Group:         req.GetGroup(),
		Table:         req.GetTable(),
		Configuration: req.GetConfiguration(),
		Registry:      req.GetRegistry(),
		RegistryTerm:  req.GetRegistryTerm(),
		Busy:          req.GetBusy(),
		Load:          req.GetLoad(),
		Hold:          req.GetHold(),
		Relay:         true,
	}
}

// Submit sends commands to the leader of a group. Its results are in the order of the commands. An error of kind NoQuorum
// means that no command was applied; CommitUnknown leaves it open.
func (prs *Peers) Submit(ctx context.Context, group string, commands []*fpwire.Command, timeout time.Duration) ([]*fpwire.CommandResult, error) {
	res, err := follow(ctx, prs, request[*fpwire.SubmitResponse]{
		group:   group,
		timeout: timeout,
		send: func(ctx context.Context, per Peer, relay bool) (*fpwire.SubmitResponse, bool, string, error) {
			res, err := per.Submit(ctx, connect.NewRequest(&fpwire.SubmitRequest{
				Group:    group,
				Commands: commands,
				Relay:    relay,
			}))
			if err != nil {
				return nil, false, "", err
			}
			return res.Msg, len(res.Msg.GetResults()) == len(commands), res.Msg.GetLeader(), nil
		},
	})
	return res.GetResults(), err
}

// Operate sends an operator request to the leader of its group.
func (prs *Peers) Operate(ctx context.Context, req *fpwire.OperateRequest, timeout time.Duration) (*fpwire.OperateResponse, error) {
	res, err := follow(ctx, prs, request[*fpwire.OperateResponse]{
		group:   req.GetGroup(),
		timeout: timeout,
		send: func(ctx context.Context, per Peer, _ bool) (*fpwire.OperateResponse, bool, string, error) {
			res, err := per.Operate(ctx, connect.NewRequest(req))
			if err != nil {
				return nil, false, "", err
			}
			answered := res.Msg.GetResponse() != nil || res.Msg.GetError() != ""
			return res.Msg, answered, res.Msg.GetLeader(), nil
		},
	})
	if err != nil {
		return nil, err
	}
	return res, errorOf(res.GetError(), res.GetMessage())
}

// errorOf returns the error that another VM named by kind and message, or nil.
func errorOf(kind, message string) error {
	if kind == "" {
		return nil
	}
	kin, _ := fperror.Parse(kind)
	return fperror.New(kin, "%s", message)
}

// ResultError returns the error of a command's result, or nil.
func ResultError(res *fpwire.CommandResult) error {
	return errorOf(res.GetError(), res.GetMessage())
}

// SendSteps delivers consensus messages to a VM. Lost messages are sent again by the group.
func (prs *Peers) SendSteps(ctx context.Context, vm string, msgs []*fpwire.GroupMessage) {
	per := prs.Peer(vm)
	if per == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	_, _ = per.Step(ctx, connect.NewRequest(&fpwire.StepRequest{
		Messages: msgs,
	}))
}

// stepTimeout bounds one delivery, so that a connection that went silent holds up later messages only briefly.
const stepTimeout = 500 * time.Millisecond

// Relay passes an announcement to every voter of a group and reports how many have it.
func (prs *Peers) Relay(ctx context.Context, req *fpwire.RelayRequest) int {
	voters := prs.Voters(req.GetGroup())
	done := make(chan bool, len(voters))
	for _, vm := range voters {
		go func() {
			per := prs.Peer(vm)
			if per == nil {
				done <- false
				return
			}
			_, err := per.Relay(ctx, connect.NewRequest(req))
			done <- err == nil
		}()
	}
	count := 0
	for range voters {
		if <-done {
			count++
		}
	}
	return count
}
