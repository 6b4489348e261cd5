// Package fpctl implements the command line of foxtailctl, the client of OperatorService.
package fpctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/alecthomas/kong"
	"github.com/google/uuid"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/node/fptls"
)

// Program runs foxtailctl.
type Program struct {
	Stdout io.Writer
	Stderr io.Writer
	// NewID returns a new request id; nil means UUIDs of version 7.
	NewID func() string
}

type commandLine struct {
	Address     []string      `placeholder:"IP:PORT" help:"Operator addresses of VMs, tried in turn. Required but for evacuation, refusal and state."`
	JSON        bool          `name:"json" help:"Print answers and errors as JSON, one document to a line."`
	Timeout     time.Duration `default:"10s" help:"Time that one address has to answer. The wait of apply and voter comes on top."`
	PlainText   bool          `help:"Use no TLS; loopback addresses only."`
	Certificate string        `type:"path" placeholder:"FILE" help:"PEM file with the operator's certificate."`
	Key         string        `type:"path" placeholder:"FILE" help:"PEM file with the operator's private key."`
	Authority   string        `type:"path" placeholder:"FILE" help:"PEM file with the authority that signs the VMs' certificates."`
	VMIdentity  []string      `name:"vm-identity" placeholder:"NAME" help:"DNS names or URIs in certificates that prove a VM."`

	Apply   applyCommand   `cmd:"" help:"Propose a configuration."`
	Get     getCommand     `cmd:"" help:"Print the configuration in force on the VM that answers."`
	Drain   drainCommand   `cmd:"" help:"Take an upstream or a VM out of service."`
	Undrain undrainCommand `cmd:"" help:"Put an upstream or a VM back into service."`
	Move    moveCommand    `cmd:"" help:"Give slots to another upstream."`
	Voter   voterCommand   `cmd:"" help:"Change the voters of a group."`
	Release releaseCommand `cmd:"" help:"Let a quarantined request run again."`
	Status  statusCommand  `cmd:"" help:"Print what the VM that answers knows."`
	Dump    dumpCommand    `cmd:"" help:"Print the whole state of one VM as JSON."`
	Watch   watchCommand   `cmd:"" help:"Print the status at every change."`

	Evacuation evacuationCommand `cmd:"" help:"Evacuate data centres of a deployment with HTTP routes."`
	Refusal    refusalCommand    `cmd:"" help:"Show and end the refusals of requests that crash upstreams, in a deployment with HTTP routes."`
	State      stateCommand      `cmd:"" help:"Print a summary of the state of a deployment with HTTP routes."`
}

// Timeouts of connections to VMs, by which a failed connection is detected and the next address is tried. The flag --timeout
// bounds a request on a connection that works.
const (
	dialTimeout = 2 * time.Second
	readIdle    = 2 * time.Second
	pingTimeout = 2 * time.Second
)

// Main runs the command line args, without the name of the program, and returns the exit code.
func (pro *Program) Main(ctx context.Context, args []string) int {
	exit := -1
	lin := &commandLine{}
	par, err := kong.New(
		lin,
		kong.Name("foxtailctl"),
		kong.Description("Client for operators of foxtailpulley."),
		kong.Writers(pro.Stdout, pro.Stderr),
		kong.Exit(func(code int) { exit = code }),
	)
	if err != nil {
		return pro.fail(ExitFailure, lin.JSON, err, "")
	}
	kct, err := par.Parse(args)
	if exit >= 0 {
		return exit
	}
	if err != nil {
		return pro.fail(ExitUsage, lin.JSON, err, "")
	}
	newSession := pro.session
	if _, ok := kct.Selected().Target.Interface().(interface{ usesControl() }); ok {
		newSession = pro.controlSession
	}
	ses, err := newSession(lin)
	if err != nil {
		return pro.fail(ExitUsage, lin.JSON, err, "")
	}
	kct.BindTo(ctx, (*context.Context)(nil))
	kct.Bind(ses)
	if err := kct.Run(); err != nil {
		return pro.fail(exitCode(err), lin.JSON, err, ses.requestID)
	}
	return ses.exit
}

// session is the state of one run of a command.
type session struct {
	pro    *Program
	sender *sender
	json   bool
	// timeout is the flag --timeout.
	timeout   time.Duration
	requestID string
	// exit is the exit code if the command returns no error.
	exit int
}

// session creates a session from the flags. The error is of kind InvalidRequest for an invalid combination of TLS flags,
// and of kind InvalidSettings if the TLS files cannot be read.
func (pro *Program) session(lin *commandLine) (*session, error) {
	if err := checkAddresses(lin); err != nil {
		return nil, err
	}
	cfg := fptls.ClientConfig{
		DialTimeout: dialTimeout,
		ReadIdle:    readIdle,
		PingTimeout: pingTimeout,
	}
	anyTLSFlag := lin.Certificate != "" || lin.Key != "" || lin.Authority != "" || len(lin.VMIdentity) > 0
	allTLSFlags := lin.Certificate != "" && lin.Key != "" && lin.Authority != "" && len(lin.VMIdentity) > 0
	if lin.PlainText && anyTLSFlag || !lin.PlainText && !allTLSFlags {
		return nil, fperror.New(fperror.InvalidRequest,
			"either --plain-text or all of --certificate, --key, --authority and --vm-identity are required")
	}
	if !lin.PlainText {
		sto, err := fptls.Open(fptls.Config{
			Certificate: lin.Certificate,
			Key:         lin.Key,
			Authority:   lin.Authority,
			VMs:         lin.VMIdentity,
		})
		if err != nil {
			return nil, err
		}
		cfg.Store = sto
	}
	return &session{
		pro:    pro,
		sender: newSender(cfg, lin.Address, lin.Timeout),
		json:   lin.JSON,
	}, nil
}

// controlSession creates a session for commands that call control VMs, whose listeners have no TLS.
func (pro *Program) controlSession(lin *commandLine) (*session, error) {
	return &session{
		pro:     pro,
		json:    lin.JSON,
		timeout: lin.Timeout,
	}, nil
}

// newRequestID returns the given request id, or a new one if it is empty, and prints it. It is called before the request is
// sent, so that an operator who gets no response can send the same request again.
func (ses *session) newRequestID(given string) string {
	ses.requestID = given
	if given == "" && ses.pro.NewID != nil {
		ses.requestID = ses.pro.NewID()
	} else if given == "" {
		ses.requestID = uuid.Must(uuid.NewV7()).String()
	}
	if ses.json {
		ses.pro.printJSON(ses.pro.Stderr, map[string]string{
			"requestId": ses.requestID,
		})
	} else {
		fmt.Fprintf(ses.pro.Stderr, "request id %s\n", ses.requestID)
	}
	return ses.requestID
}

func (pro *Program) printJSON(out io.Writer, value any) {
	enc := json.NewEncoder(out)
	enc.SetEscapeHTML(false)
	_ = enc.Encode(value)
}

// fail prints an error and returns the exit code. An empty requestID means that the request has none.
func (pro *Program) fail(code int, asJSON bool, err error, requestID string) int {
	kind := errorName(err)
	if asJSON {
		pro.printJSON(pro.Stderr, errorOutput{
			Error:     kind,
			Message:   errorMessage(err),
			RequestID: requestID,
			ExitCode:  code,
		})
		return code
	}
	fmt.Fprintf(pro.Stderr, "foxtailctl: %s: %s\n", kind, errorMessage(err))
	if code == ExitUnknown && requestID != "" {
		fmt.Fprintf(pro.Stderr, "the outcome is unknown; run the same command again with --request-id %s\n", requestID)
	}
	return code
}

// errorOutput is an error as printed with --json.
type errorOutput struct {
	Error     string `json:"error"`
	Message   string `json:"message"`
	RequestID string `json:"requestId,omitempty"`
	ExitCode  int    `json:"exitCode"`
}
