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

// Run prints the configuration.
func (com *getCommand) Run(ctx context.Context, ses *session) error {
	res, err := send(ctx, ses.caller, readOnly, 0,
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
	out.line("version %s, schema of %d bytes", version(res.GetVersion()), len(cfg.GetSchema()))
	out.line("drained upstreams: %s", list(cfg.GetDrainedUpstreams()))
	out.line("drained VMs: %s", list(cfg.GetDrainedVms()))
	out.head("SERVICE", "SLOTS", "GROUP", "FIRST SLOT", "LAST SLOT")
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

// Run prints the status.
func (com *statusCommand) Run(ctx context.Context, ses *session) error {
	res, err := send(ctx, ses.caller, readOnly, 0,
		func(ctx context.Context, cli client) (*connect.Response[fpoperator.StatusResponse], error) {
			return cli.Status(ctx, connect.NewRequest(&fpoperator.StatusRequest{}))
		})
	if err != nil {
		return err
	}
	return ses.print(res, func(out *table) { printStatus(out, res) })
}

func printStatus(out *table, res *fpoperator.StatusResponse) {
	out.line("VM %s, configuration %s", res.GetVm(), version(res.GetConfiguration()))
	out.head("GROUP", "LEADER", "TERM", "COMMIT", "APPLIED", "VOTERS", "TABLE", "VALID FOR")
	for _, gro := range res.GetGroups() {
		out.row(gro.GetName(), orDash(gro.GetLeader()), gro.GetTerm(), gro.GetCommit(), gro.GetApplied(),
			list(gro.GetVoters()), version(gro.GetTable()), duration(gro.GetValidFor()))
	}
	out.head("UPSTREAM", "SERVICE", "DATA CENTRE", "SLOTS", "LEASE", "STATE")
	for _, ups := range res.GetUpstreams() {
		out.row(ups.GetName(), ups.GetService(), ups.GetDataCentre(), ups.GetSlots(), duration(ups.GetLease()), state(ups))
	}
	out.head("VM", "CONFIGURATION", "LAST SEEN")
	for _, vms := range res.GetVms() {
		out.row(vms.GetName(), version(vms.GetConfiguration()), duration(vms.GetLastSeen()))
	}
	out.head("REFUSAL", "COUNT")
	for _, kind := range slices.Sorted(maps.Keys(res.GetRefusals())) {
		out.row(kind, res.GetRefusals()[kind])
	}
	out.head("QUARANTINED")
	for _, digest := range res.GetQuarantined() {
		out.row(digest)
	}
}

func state(ups *fpoperator.UpstreamStatus) string {
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

func list(names []string) string {
	return orDash(strings.Join(names, ", "))
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

func duration(dur *durationpb.Duration) string {
	if dur == nil {
		return "-"
	}
	return dur.AsDuration().Round(time.Millisecond).String()
}

type dumpCommand struct {
	VM string `arg:"" optional:"" name:"vm" help:"VM to dump; the one that answers if absent."`
}

// Run prints the state, indented unless --json is set.
func (com *dumpCommand) Run(ctx context.Context, ses *session) error {
	res, err := send(ctx, ses.caller, readOnly, 0,
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

// watchPause keeps a client from opening streams in a tight loop when each ends after one report.
const watchPause = time.Second

// Run prints each report. When a stream breaks it goes on with the next address, and it fails when every address in a row
// gave no report.
func (com *watchCommand) Run(ctx context.Context, ses *session) error {
	reports, silent := 0, 0
	show := func(res *fpoperator.StatusResponse) error {
		reports++
		return ses.print(res, func(out *table) { printStatus(out, res) })
	}
	for at := 0; ; at++ {
		address := ses.caller.addresses[at%len(ses.caller.addresses)]
		before := reports
		streamErr, err := com.watchOne(ctx, ses.caller, address, &reports, show)
		if err != nil || ctx.Err() != nil || com.enough(reports) {
			return err
		}
		if reports > before {
			silent = 0
			pause(ctx, watchPause)
			continue
		}
		silent++
		if silent >= len(ses.caller.addresses) || !triesNext(streamErr, readOnly) {
			return &callError{
				cause:   streamErr,
				effect:  readOnly,
				address: address,
			}
		}
	}
}

func pause(ctx context.Context, dur time.Duration) {
	tmr := time.NewTimer(dur)
	defer tmr.Stop()
	select {
	case <-tmr.C:
	case <-ctx.Done():
	}
}

func (com *watchCommand) enough(reports int) bool { return com.Count > 0 && reports >= com.Count }

// watchOne prints the reports of one stream. streamErr is why the stream ended; err is a failure to print.
func (com *watchCommand) watchOne(
	ctx context.Context,
	cal *caller,
	address string,
	reports *int,
	show func(res *fpoperator.StatusResponse) error,
) (streamErr, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	cli, err := cal.dial(ctx, address)
	if err != nil {
		return err, nil
	}
	str, err := cli.Watch(ctx, connect.NewRequest(&fpoperator.WatchRequest{}))
	if err != nil {
		return err, nil
	}
	defer str.Close()
	for !com.enough(*reports) && str.Receive() {
		if err := show(str.Msg().GetStatus()); err != nil {
			return nil, err
		}
	}
	if err := str.Err(); err != nil {
		return err, nil
	}
	return connect.NewError(connect.CodeUnavailable, errors.New("the stream ended")), nil
}
