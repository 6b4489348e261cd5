// Package fppeer is the client of the protocol between VMs. It finds the leader of a group and sends polls, commands,
// announcements and consensus messages to other VMs.
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

// Peer calls the peer service of a VM, which may be this VM or another one.
type Peer = fpwireconnect.PeerServiceClient

// Config configures Peers.
type Config struct {
	// VM is the name of this VM.
	VM string
	// Local serves the calls that this VM makes to itself.
	Local Peer
	// Addresses holds the IP number and port of the peer listener of each VM, by the name of the VM.
	Addresses map[string]string
	// Client sends the calls to other VMs. Scheme is http or https.
	Client *http.Client
	Scheme string
	// Voters returns the names of the initial voters of a group. Answers to polls name the current voters.
	Voters func(group string) []string
}

// Peers calls other VMs. It is safe for concurrent use.
type Peers struct {
	cfg     Config
	clients map[string]Peer

	mutex sync.Mutex
	// leaders and voters hold the last known leader and voters of each group.
	leaders map[string]string
	voters  map[string][]string
	// unresponsiveUntil holds, for each VM whose last call failed, the time until which all other VMs are called before it.
	unresponsiveUntil map[string]time.Time
}

// unresponsivePeriod is how long a VM that failed to answer is called only after the others. A call to a frozen VM, or
// over a connection that drops packets, lasts until its timeout, and two such calls take longer than a table is valid.
const unresponsivePeriod = 2 * time.Second

// New returns a Peers with a client for each VM of cfg.Addresses. It opens no connections.
func New(cfg Config) *Peers {
	prs := &Peers{
		cfg:               cfg,
		clients:           map[string]Peer{},
		leaders:           map[string]string{},
		voters:            map[string][]string{},
		unresponsiveUntil: map[string]time.Time{},
	}
	for vm, address := range cfg.Addresses {
		if vm != cfg.VM {
			prs.clients[vm] = fpwireconnect.NewPeerServiceClient(cfg.Client, cfg.Scheme+"://"+address)
		}
	}
	return prs
}

// Peer returns the client of the VM with the given name, which is cfg.Local for this VM, or nil if the VM is not known.
func (prs *Peers) Peer(vm string) Peer {
	if vm == prs.cfg.VM {
		return prs.cfg.Local
	}
	return prs.clients[vm]
}

// Leader returns the name of the last known leader of a group, or "" if none is known. The VM may no longer lead.
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

// isUnresponsive reports whether the last call to a VM failed within the last unresponsivePeriod.
func (prs *Peers) isUnresponsive(vm string) bool {
	prs.mutex.Lock()
	defer prs.mutex.Unlock()
	return time.Now().Before(prs.unresponsiveUntil[vm])
}

// recordResult marks a VM as unresponsive if err, the error of a call to it, is not nil, and as responsive otherwise.
func (prs *Peers) recordResult(vm string, err error) {
	prs.mutex.Lock()
	defer prs.mutex.Unlock()
	if err == nil {
		delete(prs.unresponsiveUntil, vm)
		return
	}
	prs.unresponsiveUntil[vm] = time.Now().Add(unresponsivePeriod)
}

// Voters returns the names of the last known voters of a group: those of the last answer to a poll, or the initial ones.
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

// candidates returns the VMs to call, in order: the last known leader, the last known voters, and the initial voters, in
// case all known voters have been replaced. Unresponsive VMs are moved to the end.
func (prs *Peers) candidates(group string) []string {
	var all []string
	for _, vm := range slices.Concat([]string{prs.Leader(group)}, prs.Voters(group), prs.cfg.Voters(group)) {
		if vm != "" && !slices.Contains(all, vm) {
			all = append(all, vm)
		}
	}
	slices.SortStableFunc(all, func(one, two string) int {
		return boolToInt(prs.isUnresponsive(one)) - boolToInt(prs.isUnresponsive(two))
	})
	return all
}

func boolToInt(value bool) int {
	if value {
		return 1
	}
	return 0
}

// request is a call to the leader of a group. It must be idempotent, because it may be sent to several VMs.
type request[T any] struct {
	group string
	// timeout bounds the call to one VM.
	timeout time.Duration
	// send calls one VM, and asks it to pass the call on to the leader if relay is set. If the VM does not lead the group,
	// answered is false and leader is the VM that it takes for the leader, or "".
	send func(ctx context.Context, per Peer, relay bool) (answer T, answered bool, leader string, err error)
}

// leaderSearch is the state of one request while its leader is searched for.
type leaderSearch[T any] struct {
	prs *Peers
	req request[T]
	// asked holds the VMs that were called directly.
	asked map[string]bool
	// otherAnswered reports whether another VM has answered.
	otherAnswered bool
	// askedToRelay holds the VMs that were asked to pass the call on.
	askedToRelay map[string]bool
	// lastErr is the error of the last call that failed; nil for none.
	lastErr error
	// maybeSent reports whether a failed call may have reached a VM.
	maybeSent bool
}

// callLeader sends a request to the leader of a group. It starts with the last known leader and follows the redirects of
// VMs that do not lead. If a VM names a leader that is unresponsive from here, that VM is asked to relay the request, as it
// may still reach the leader. The error is of kind NoQuorum if no VM received the request, and CommitUnknown if one may
// have received it.
func callLeader[T any](ctx context.Context, prs *Peers, req request[T]) (T, error) {
	sea := &leaderSearch[T]{
		prs:          prs,
		req:          req,
		asked:        map[string]bool{},
		askedToRelay: map[string]bool{},
	}
	for _, vm := range prs.candidates(req.group) {
		// Other VMs have answered without naming a reachable leader, so an election is probably running. Waiting for an
		// unresponsive VM would only delay the next attempt.
		if sea.otherAnswered && prs.isUnresponsive(vm) {
			continue
		}
		if answer, ok := sea.callAndFollow(ctx, vm); ok {
			return answer, nil
		}
	}
	for _, vm := range prs.Voters(req.group) {
		if prs.isUnresponsive(vm) {
			continue
		}
		if answer, ok := sea.callRelay(ctx, vm); ok {
			return answer, nil
		}
	}
	var zero T
	return zero, sea.failure()
}

// callAndFollow calls a VM and then the leaders that the answers name. It reports whether a leader answered.
func (sea *leaderSearch[T]) callAndFollow(ctx context.Context, vm string) (T, bool) {
	for vm != "" && !sea.asked[vm] {
		sea.asked[vm] = true
		answer, ok, leader, err := sea.attempt(ctx, vm, false)
		if ok {
			sea.prs.recordResult(vm, nil)
			sea.prs.setLeader(sea.req.group, vm)
			return answer, true
		}
		// The error of a call that the caller canceled says nothing about the VM.
		if ctx.Err() == nil && vm != sea.prs.cfg.VM && sea.prs.Peer(vm) != nil {
			sea.prs.recordResult(vm, err)
			sea.otherAnswered = sea.otherAnswered || err == nil
		}
		if leader != "" && sea.prs.isUnresponsive(leader) {
			return sea.callRelay(ctx, vm)
		}
		vm = leader
	}
	var zero T
	return zero, false
}

// callRelay asks another VM to pass the request on to the leader, at most once for each VM. A failure does not mark the VM
// as unresponsive, because the leader may have caused it.
func (sea *leaderSearch[T]) callRelay(ctx context.Context, vm string) (T, bool) {
	if vm == sea.prs.cfg.VM || sea.askedToRelay[vm] {
		var zero T
		return zero, false
	}
	sea.askedToRelay[vm] = true
	answer, ok, _, _ := sea.attempt(ctx, vm, true)
	return answer, ok
}

// attempt calls one VM, with the timeout of the request. It does nothing for a VM without a client.
func (sea *leaderSearch[T]) attempt(ctx context.Context, vm string, relay bool) (answer T, ok bool, leader string, err error) {
	per := sea.prs.Peer(vm)
	if per == nil || ctx.Err() != nil {
		return answer, false, "", nil
	}
	ctx, cancel := context.WithTimeout(ctx, sea.req.timeout)
	defer cancel()
	answer, ok, leader, err = sea.req.send(ctx, per, relay)
	if err != nil {
		sea.lastErr = err
		sea.maybeSent = sea.maybeSent || !isDialError(err)
	}
	return answer, ok && err == nil, leader, err
}

// failure returns the error of a request that no leader answered.
func (sea *leaderSearch[T]) failure() error {
	switch {
	case sea.lastErr == nil:
		return fperror.New(fperror.NoQuorum, "group %s has no leader", sea.req.group)
	case sea.maybeSent:
		return fperror.Wrap(fperror.CommitUnknown, sea.lastErr, "no leader of group %s answered", sea.req.group)
	default:
		return fperror.Wrap(fperror.NoQuorum, sea.lastErr, "no voter of group %s is reachable", sea.req.group)
	}
}

// isDialError reports whether a call failed before its connection was established, which means that nothing was sent.
func isDialError(err error) bool {
	var ope *net.OpError
	return errors.As(err, &ope) && ope.Op == "dial"
}

// Poll sends a poll to the leader of its group. The error is of kind NoQuorum or CommitUnknown if no leader answered.
func (prs *Peers) Poll(ctx context.Context, req *fpwire.PollRequest) (*fpwire.PollResponse, error) {
	return callLeader(ctx, prs, request[*fpwire.PollResponse]{
		group:   req.GetGroup(),
		timeout: req.GetHold().AsDuration() + pollMargin,
		send: func(ctx context.Context, per Peer, relay bool) (*fpwire.PollResponse, bool, string, error) {
			msg := req
			if relay {
				msg = relayedPoll(req)
			}
			res, err := per.Poll(ctx, connect.NewRequest(msg))
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

// pollMargin is added to the hold of a poll, which is how long the leader waits for a change before it answers, to get the
// timeout of the call. It covers a round trip between regions and the delays of a busy VM. Hold and margin together leave
// time for a second attempt before a table expires.
const pollMargin = 200 * time.Millisecond

// relayedPoll returns a copy of a poll that asks its receiver to pass it on to the leader.
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

// Submit sends commands to the leader of a group and returns their results in the same order. The timeout bounds the call
// to each VM. An error of kind NoQuorum means that no command was applied. After CommitUnknown, each command may have been
// applied.
func (prs *Peers) Submit(ctx context.Context, group string, commands []*fpwire.Command, timeout time.Duration) ([]*fpwire.CommandResult, error) {
	res, err := callLeader(ctx, prs, request[*fpwire.SubmitResponse]{
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

// Operate sends an operator request to the leader of its group. The timeout bounds the call to each VM. The error is the
// one that the leader returned, or of kind NoQuorum or CommitUnknown if no leader answered.
func (prs *Peers) Operate(ctx context.Context, req *fpwire.OperateRequest, timeout time.Duration) (*fpwire.OperateResponse, error) {
	res, err := callLeader(ctx, prs, request[*fpwire.OperateResponse]{
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

// errorOf returns the error with the given kind and message, as received from another VM, or nil if kind is empty.
func errorOf(kind, message string) error {
	if kind == "" {
		return nil
	}
	kin, _ := fperror.Parse(kind)
	return fperror.New(kin, "%s", message)
}

// ResultError returns the error of a command's result, or nil if the command succeeded.
func ResultError(res *fpwire.CommandResult) error {
	return errorOf(res.GetError(), res.GetMessage())
}

// SendSteps sends consensus messages to a VM. It reports no error, because the consensus group sends lost messages again.
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

// stepTimeout bounds one call of SendSteps. A connection that drops packets delays later messages at most for this time.
const stepTimeout = 500 * time.Millisecond

// Relay sends an announcement to all voters of a group and returns the number of voters that received it.
func (prs *Peers) Relay(ctx context.Context, req *fpwire.RelayRequest) int {
	voters := prs.Voters(req.GetGroup())
	delivered := make(chan bool, len(voters))
	for _, vm := range voters {
		go func() {
			per := prs.Peer(vm)
			if per == nil {
				delivered <- false
				return
			}
			_, err := per.Relay(ctx, connect.NewRequest(req))
			delivered <- err == nil
		}()
	}
	count := 0
	for range voters {
		if <-delivered {
			count++
		}
	}
	return count
}
