package fpctl

import (
	"bytes"
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/foxtailpulley/foxtailpulley/api/operator/fpoperator"
	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/config/fpsettings"
)

type getCommand struct {
	Configuration bool `help:"Print only the configuration, in the form that apply reads."`
}

// Run prints the configuration in force on the VM that answers.
func (com *getCommand) Run(ctx context.Context, ses *session) error {
	res, err := send(ctx, ses.sender, readOnly, 0,
		func(ctx context.Context, cli client) (*connect.Response[fpoperator.GetConfigurationResponse], error) {
			return cli.GetConfiguration(ctx, connect.NewRequest(&fpoperator.GetConfigurationRequest{}))
		})
	if err != nil {
		return err
	}
	if com.Configuration {
		text, err := fpsettings.FormatConfiguration(res.GetConfiguration())
		if err != nil {
			return err
		}
		_, err = ses.pro.Stdout.Write(text)
		return err
	}
	return ses.print(res, func(out *table) { printConfiguration(out, res) })
}

func printConfiguration(out *table, res *fpoperator.GetConfigurationResponse) {
	cfg := res.GetConfiguration()
	out.line("version %s, schema of %d bytes", formatVersion(res.GetVersion()), len(cfg.GetSchema()))
	out.line("drained upstreams: %s", joinOrDash(cfg.GetDrainedUpstreams()))
	out.line("drained VMs: %s", joinOrDash(cfg.GetDrainedVms()))
	out.header("SERVICE", "SLOTS", "GROUP", "FIRST SLOT", "LAST SLOT")
	for _, svc := range cfg.GetServices() {
		slots := svc.GetSlots()
		if slots == 0 {
			slots = fpsettings.DefaultSlots
		}
		for _, home := range svc.GetHomes() {
			out.row(svc.GetName(), slots, home.GetGroup(), home.GetFirstSlot(), home.GetLastSlot())
		}
	}
}

type statusCommand struct{}

// Run prints the status that the VM that answers knows.
func (com *statusCommand) Run(ctx context.Context, ses *session) error {
	res, err := send(ctx, ses.sender, readOnly, 0,
		func(ctx context.Context, cli client) (*connect.Response[fpoperator.StatusResponse], error) {
			return cli.Status(ctx, connect.NewRequest(&fpoperator.StatusRequest{}))
		})
	if err != nil {
		return err
	}
	return ses.print(res, func(out *table) { printStatus(out, res) })
}

func printStatus(out *table, res *fpoperator.StatusResponse) {
	out.line("VM %s, configuration %s", res.GetVm(), formatVersion(res.GetConfiguration()))
	out.header("GROUP", "LEADER", "TERM", "COMMIT", "APPLIED", "VOTERS", "TABLE", "VALID FOR")
	for _, gro := range res.GetGroups() {
		out.row(gro.GetName(), orDash(gro.GetLeader()), gro.GetTerm(), gro.GetCommit(), gro.GetApplied(),
			joinOrDash(gro.GetVoters()), formatVersion(gro.GetTable()), formatDuration(gro.GetValidFor()))
	}
	out.header("UPSTREAM", "SERVICE", "DATA CENTRE", "SLOTS", "LEASE", "STATE")
	for _, ups := range res.GetUpstreams() {
		out.row(ups.GetName(), ups.GetService(), ups.GetDataCentre(), ups.GetSlots(), formatDuration(ups.GetLease()), upstreamState(ups))
	}
	out.header("VM", "CONFIGURATION", "LAST SEEN")
	for _, vms := range res.GetVms() {
		out.row(vms.GetName(), formatVersion(vms.GetConfiguration()), formatDuration(vms.GetLastSeen()))
	}
	out.header("REFUSAL", "COUNT")
	for _, kind := range slices.Sorted(maps.Keys(res.GetRefusals())) {
		out.row(kind, res.GetRefusals()[kind])
	}
	out.header("QUARANTINED")
	for _, digest := range res.GetQuarantined() {
		out.row(digest)
	}
}

// upstreamState returns the state of an upstream as printed by status.
func upstreamState(ups *fpoperator.UpstreamStatus) string {
	var states []string
	if ups.GetDraining() {
		states = append(states, "draining")
	}
	if ups.GetEjected() {
		states = append(states, "ejected")
	}
	if len(states) == 0 {
		return "serving"
	}
	return strings.Join(states, ", ")
}

func joinOrDash(names []string) string {
	return orDash(strings.Join(names, ", "))
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

func formatDuration(dur *durationpb.Duration) string {
	if dur == nil {
		return "-"
	}
	return dur.AsDuration().Round(time.Millisecond).String()
}

type dumpCommand struct {
	VM string `arg:"" optional:"" name:"vm" help:"VM to dump; the one that answers if absent."`
}

// Run prints the state of a VM as JSON, indented unless --json is set.
func (com *dumpCommand) Run(ctx context.Context, ses *session) error {
	res, err := send(ctx, ses.sender, readOnly, 0,
		func(ctx context.Context, cli client) (*connect.Response[fpoperator.DumpResponse], error) {
			return cli.Dump(ctx, connect.NewRequest(&fpoperator.DumpRequest{
				Vm: com.VM,
			}))
		})
	if err != nil {
		return err
	}
	var buf bytes.Buffer
	if ses.json {
		err = json.Compact(&buf, []byte(res.GetState()))
	} else {
		err = json.Indent(&buf, []byte(res.GetState()), "", "  ")
	}
	if err != nil {
		return fperror.Wrap(fperror.Internal, err, "the dump is not a JSON document")
	}
	buf.WriteByte('\n')
	_, err = buf.WriteTo(ses.pro.Stdout)
	return err
}

type watchCommand struct {
	Count int `placeholder:"N" help:"End after this many reports; 0 for no end."`
}

// watchPause is the time before the next stream is opened. It limits the rate of streams if each of them ends after one
// report.
const watchPause = time.Second

// Run prints each report. If a stream breaks, Run continues with the next address. It fails if all addresses in a row
// send no report.
func (com *watchCommand) Run(ctx context.Context, ses *session) error {
	reports, failedAddresses := 0, 0
	printReport := func(res *fpoperator.StatusResponse) error {
		reports++
		return ses.print(res, func(out *table) { printStatus(out, res) })
	}
	for at := 0; ; at++ {
		address := ses.sender.addresses[at%len(ses.sender.addresses)]
		reportsBefore := reports
		streamErr, err := com.watchAddress(ctx, ses.sender, address, &reports, printReport)
		if err != nil || ctx.Err() != nil || com.reachedCount(reports) {
			return err
		}
		if reports > reportsBefore {
			failedAddresses = 0
			sleep(ctx, watchPause)
			continue
		}
		failedAddresses++
		if failedAddresses >= len(ses.sender.addresses) || !shouldTryNext(streamErr, readOnly) {
			return &callError{
				cause:   streamErr,
				effect:  readOnly,
				address: address,
			}
		}
	}
}

// sleep waits for the given duration or until ctx ends.
func sleep(ctx context.Context, dur time.Duration) {
	tmr := time.NewTimer(dur)
	defer tmr.Stop()
	select {
	case <-tmr.C:
	case <-ctx.Done():
	}
}

// reachedCount reports whether the requested number of reports has been printed.
func (com *watchCommand) reachedCount(reports int) bool { return com.Count > 0 && reports >= com.Count }

// watchAddress passes the reports of one stream to printReport, which counts them in reports, until their requested
// number is reached or the stream ends. streamErr is the reason why the stream ended, and err the error of printing a
// report.
func (com *watchCommand) watchAddress(
	ctx context.Context,
	snd *sender,
	address string,
	reports *int,
	printReport func(res *fpoperator.StatusResponse) error,
) (streamErr, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	cli, err := snd.dial(ctx, address)
	if err != nil {
		return err, nil
	}
	str, err := cli.Watch(ctx, connect.NewRequest(&fpoperator.WatchRequest{}))
	if err != nil {
		return err, nil
	}
	defer str.Close()
	for !com.reachedCount(*reports) && str.Receive() {
		if err := printReport(str.Msg().GetStatus()); err != nil {
			return nil, err
		}
	}
	if err := str.Err(); err != nil {
		return err, nil
	}
	return connect.NewError(connect.CodeUnavailable, errors.New("the stream ended")), nil
}
