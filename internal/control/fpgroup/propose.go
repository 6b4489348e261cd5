package fpgroup

import (
	"context"
	"sync/atomic"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
)

// proposal is one call of Propose.
type proposal struct {
	command []byte
	// taken is set by the core goroutine before it proposes the command, or by the caller when it stops waiting. Whoever
	// sets it first decides whether the command is proposed.
	taken  atomic.Bool
	result chan proposalResult
}

// proposalResult is the outcome of a proposal.
type proposalResult struct {
	pos    Position
	result []byte
	err    error
}

// finish passes the outcome to the caller of Propose. It is called at most once and does not block.
func (pro *proposal) finish(res proposalResult) { pro.result <- res }

// Propose appends a command to the log. It returns after the command was committed and applied on this VM, with its position
// and the result of Machine.Apply. The group keeps the slice, which must not be changed. Concurrent proposals are written
// together.
//
// Errors of kind NotLeader, NoQuorum, Overloaded, InvalidRequest and TooLarge mean that the command was not and will not be
// applied. After an error of kind CommitUnknown, it may have been applied or may still be.
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
		return Position{}, nil, fperror.New(fperror.Overloaded, "the proposal queue of group %s is full", gro.cfg.Name)
	}
	select {
	case res := <-pro.result:
		return res.pos, res.result, res.err
	case <-ctx.Done():
		return Position{}, nil, pro.cancel(ctx.Err(), gro.cfg.Name)
	case <-gro.ended:
		return gro.resultAfterEnd(pro)
	}
}

// cancel returns the error for a caller that stops waiting. If the core goroutine has not taken the proposal yet, it never
// will.
func (pro *proposal) cancel(cause error, group string) error {
	if pro.taken.CompareAndSwap(false, true) {
		return fperror.Wrap(fperror.NoQuorum, cause, "group %s has not proposed the command", group)
	}
	return fperror.Wrap(fperror.CommitUnknown, cause, "group %s has not committed the command yet", group)
}

// resultAfterEnd returns the outcome of a proposal to a group that has ended. The proposal may have been finished just
// before the end.
func (gro *Group) resultAfterEnd(pro *proposal) (Position, []byte, error) {
	select {
	case res := <-pro.result:
		return res.pos, res.result, res.err
	default:
		cause := fperror.New(fperror.NoQuorum, "the group has ended")
		return Position{}, nil, pro.cancel(cause, gro.cfg.Name)
	}
}

// submitProposals passes proposals to the core, which appends all of them in one batch. Proposals whose caller has stopped
// waiting are left out.
func (gro *Group) submitProposals(waiting []*proposal) {
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

// failWaiters finishes the proposals in the log with an error, because this VM will not learn whether they are committed.
func (gro *Group) failWaiters() {
	err := fperror.New(fperror.CommitUnknown, "VM %s lost the leadership of group %s", gro.cfg.VM, gro.cfg.Name)
	for index, pro := range gro.waiters {
		delete(gro.waiters, index)
		pro.finish(proposalResult{
			err: err,
		})
	}
}
