package fpgroup

import (
	"context"
	"sync/atomic"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
)

// proposal is one call of Propose.
type proposal struct {
	command []byte
	// taken is set by whoever comes first: the core goroutine, which then proposes the command, or a caller that gives up.
	taken  atomic.Bool
	result chan proposalResult
}

type proposalResult struct {
	pos    Position
	result []byte
	err    error
}

func (pro *proposal) finish(res proposalResult) { pro.result <- res }

// Propose returns after the command is committed and applied on this VM, with its position and the result of Apply. The
// group keeps the command. Concurrent proposals are written together.
//
// Errors of kind NotLeader, NoQuorum, Overloaded, InvalidRequest and TooLarge mean that the command was not and will not
// be applied. An error of kind CommitUnknown leaves that open.
func (gro *Group) Propose(ctx context.Context, command []byte) (Position, []byte, error) {
	switch {
	case len(command) == 0:
		return Position{}, nil, fperror.New(fperror.InvalidRequest, "the command is empty")
	case len(command) > MaxCommand:
		return Position{}, nil, fperror.New(fperror.TooLarge, "the command has %d bytes; the limit is %d", len(command), MaxCommand)
	}
	if sta := gro.state.Load(); sta.status.Role != Leader {
		return Position{}, nil, fperror.New(fperror.NotLeader, "VM %s does not lead group %s; the leader is %q",
			gro.cfg.VM, gro.cfg.Name, sta.status.Leader)
	}
	pro := &proposal{
		command: command,
		result:  make(chan proposalResult, 1),
	}
	if !gro.proposals.Offer(pro) {
		return Position{}, nil, fperror.New(fperror.Overloaded, "group %s has too many proposals waiting", gro.cfg.Name)
	}
	select {
	case res := <-pro.result:
		return res.pos, res.result, res.err
	case <-ctx.Done():
		return Position{}, nil, pro.giveUp(ctx.Err(), gro.cfg.Name)
	case <-gro.ended:
		return gro.lateResult(pro)
	}
}

// giveUp returns the error of a caller that does not wait any longer.
func (pro *proposal) giveUp(cause error, group string) error {
	if pro.taken.CompareAndSwap(false, true) {
		return fperror.Wrap(fperror.NoQuorum, cause, "group %s has not taken the command", group)
	}
	return fperror.Wrap(fperror.CommitUnknown, cause, "group %s has not committed the command yet", group)
}

// lateResult returns the result of a proposal to a group that has ended; it may have been finished just before.
func (gro *Group) lateResult(pro *proposal) (Position, []byte, error) {
	select {
	case res := <-pro.result:
		return res.pos, res.result, res.err
	default:
		cause := fperror.New(fperror.NoQuorum, "the group has ended")
		return Position{}, nil, pro.giveUp(cause, gro.cfg.Name)
	}
}

// takeProposals gives the waiting proposals to the core, which appends all of them as one batch.
func (gro *Group) takeProposals(waiting []*proposal) {
	taken := waiting[:0]
	commands := make([][]byte, 0, len(waiting))
	for _, pro := range waiting {
		if pro.taken.CompareAndSwap(false, true) {
			taken = append(taken, pro)
			commands = append(commands, pro.command)
		}
	}
	if len(taken) == 0 {
		return
	}
	first, err := gro.core.propose(commands)
	for pos, pro := range taken {
		if err != nil {
			pro.finish(proposalResult{
				err: err,
			})
			continue
		}
		gro.waiters[first.Index+uint64(pos)] = pro
	}
	if err == nil {
		gro.waiterTerm = first.Term
	}
}

// failWaiting ends the proposals whose outcome this VM will not learn.
func (gro *Group) failWaiting() {
	err := fperror.New(fperror.CommitUnknown, "VM %s lost the leadership of group %s", gro.cfg.VM, gro.cfg.Name)
	for index, pro := range gro.waiters {
		delete(gro.waiters, index)
		pro.finish(proposalResult{
			err: err,
		})
	}
}
