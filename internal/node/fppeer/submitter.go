package fppeer

import (
	"context"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/base/fpring"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

// Bounds of a Submitter.
const (
	// maxPending is the number of commands that may wait; more are refused.
	maxPending = 8192
	// maxBatch is the number of commands in one call.
	maxBatch = 256
	// maxCalls is the number of calls under way to one group. More than one hides the round trip between regions.
	maxCalls = 4
	// submitTimeout bounds one call.
	submitTimeout = time.Second
)

// Submitter batches the commands of many requests to one group into few calls.
type Submitter struct {
	peers *Peers
	group string
	ring  *fpring.Ring[pending]
}

// pending is a command that waits for its result.
type pending struct {
	command *fpwire.Command
	done    chan<- outcome
}

type outcome struct {
	result *fpwire.CommandResult
	err    error
}

// NewSubmitter returns a submitter to one group.
func NewSubmitter(prs *Peers, group string) *Submitter {
	return &Submitter{
		peers: prs,
		group: group,
		ring:  fpring.New[pending](maxPending),
	}
}

// Run sends batches until ctx ends, and reports its end on done.
func (sub *Submitter) Run(ctx context.Context) (done <-chan error) {
	end := make(chan error, maxCalls)
	all := make(chan error, 1)
	for range maxCalls {
		go func() { end <- sub.work(ctx) }()
	}
	go func() {
		for range maxCalls {
			<-end
		}
		all <- nil
	}()
	return all
}

func (sub *Submitter) work(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case first := <-sub.ring.Items():
			sub.send(ctx, sub.ring.Drain([]pending{first}, maxBatch-1))
		}
	}
}

func (sub *Submitter) send(ctx context.Context, batch []pending) {
	commands := make([]*fpwire.Command, len(batch))
	for num, pen := range batch {
		commands[num] = pen.command
	}
	results, err := sub.peers.Submit(ctx, sub.group, commands, submitTimeout)
	for num, pen := range batch {
		out := outcome{
			err: err,
		}
		if err == nil {
			out.result = results[num]
			out.err = ResultError(results[num])
		}
		pen.done <- out
	}
}

// Do submits one command and returns its result. An error of kind CommitUnknown leaves open whether it was applied.
func (sub *Submitter) Do(ctx context.Context, command *fpwire.Command) (*fpwire.CommandResult, error) {
	done := make(chan outcome, 1)
	waiting := pending{
		command: command,
		done:    done,
	}
	if !sub.ring.Offer(waiting) {
		return nil, fperror.New(fperror.Overloaded, "%d commands wait for group %s", maxPending, sub.group)
	}
	select {
	case out := <-done:
		return out.result, out.err
	case <-ctx.Done():
		return nil, fperror.Wrap(fperror.CommitUnknown, ctx.Err(), "submit to group %s", sub.group)
	}
}
