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
	// maxPending is the length of the queue. Commands beyond it are refused.
	maxPending = 8192
	// maxBatch bounds the commands in one call.
	maxBatch = 256
	// maxCalls is the number of concurrent calls to one group. More than one hides the round trip between regions.
	maxCalls = 4
	// submitTimeout bounds one call.
	submitTimeout = time.Second
)

// Submitter queues the commands of concurrent requests to one group and sends them in batches. Use NewSubmitter to create
// one. Its methods may be called from any goroutine.
type Submitter struct {
	peers *Peers
	group string
	queue *fpring.Ring[pending]
}

// pending is a command in the queue, and the channel that receives its result.
type pending struct {
	command *fpwire.Command
	done    chan<- outcome
}

// outcome is the result of a command, or the error if it has none.
type outcome struct {
	result *fpwire.CommandResult
	err    error
}

// NewSubmitter returns a Submitter for one group. It sends nothing until Run is called.
func NewSubmitter(prs *Peers, group string) *Submitter {
	return &Submitter{
		peers: prs,
		group: group,
		queue: fpring.New[pending](maxPending),
	}
}

// Run starts goroutines that send batches until ctx ends. It returns at once; done receives nil when all of them have
// ended.
func (sub *Submitter) Run(ctx context.Context) (done <-chan error) {
	workerDone := make(chan error, maxCalls)
	allDone := make(chan error, 1)
	for range maxCalls {
		go func() { workerDone <- sub.sendBatches(ctx) }()
	}
	go func() {
		for range maxCalls {
			<-workerDone
		}
		allDone <- nil
	}()
	return allDone
}

// sendBatches sends batches of queued commands until ctx ends.
func (sub *Submitter) sendBatches(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case first := <-sub.queue.Items():
			sub.send(ctx, sub.queue.Drain([]pending{first}, maxBatch-1))
		}
	}
}

// send submits a batch and delivers the result of each command.
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

// Do submits one command and returns its result. The error is of kind Overloaded if the queue is full and NoQuorum if no
// leader received the command. After CommitUnknown, which is also returned when ctx ends, the command may have been
// applied.
func (sub *Submitter) Do(ctx context.Context, command *fpwire.Command) (*fpwire.CommandResult, error) {
	done := make(chan outcome, 1)
	pen := pending{
		command: command,
		done:    done,
	}
	if !sub.queue.Offer(pen) {
		return nil, fperror.New(fperror.Overloaded, "%d commands are already queued for group %s", maxPending, sub.group)
	}
	select {
	case out := <-done:
		return out.result, out.err
	case <-ctx.Done():
		return nil, fperror.Wrap(fperror.CommitUnknown, ctx.Err(), "no result of a command submitted to group %s", sub.group)
	}
}
