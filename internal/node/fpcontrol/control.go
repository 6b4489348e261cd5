// Package fpcontrol runs a control VM of a deployment with HTTP routes. It is a member of the consensus group that stores the
// state, serves the calls of upstreams, operators and other VMs, and, while it leads the group, places the keys on upstreams
// and maintains the membership of the group.
package fpcontrol

import (
	"context"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/control/fpdirectory"
	"github.com/foxtailpulley/foxtailpulley/internal/control/fpgroup"
	"github.com/foxtailpulley/foxtailpulley/internal/control/fpkeeper"
	"github.com/foxtailpulley/foxtailpulley/internal/control/fplog"
	"github.com/foxtailpulley/foxtailpulley/internal/route/fprate"
	"github.com/foxtailpulley/foxtailpulley/internal/route/fprelay"
	"github.com/foxtailpulley/foxtailpulley/internal/route/fproom"
	"github.com/foxtailpulley/foxtailpulley/internal/upstream/fpconn"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate/fpstateconnect"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
	"github.com/foxtailpulley/foxtailpulley/platform"
)

// groupName is the name of the only group of a deployment.
const groupName = "root"

// Timings of the group. The longest round trip takes 60 ms and a lost packet adds 200 ms; the lease has to be longer than
// both together. They are as short as that allows, because after a power loss of all VMs nothing is served until the lease of
// the old leader has expired and an election has ended.
const (
	groupHeartbeat          = 100 * time.Millisecond
	groupLease              = 420 * time.Millisecond
	groupMinElectionTimeout = 420 * time.Millisecond
	groupMaxElectionTimeout = 700 * time.Millisecond
)

// Timeouts of calls between VMs.
const (
	// stepTimeout bounds the delivery of consensus messages. It is shorter than the lease, so that a silent connection is
	// detected within it.
	stepTimeout = 350 * time.Millisecond
	// callTimeout bounds other calls. Upstreams and operators, whose calls may depend on them, wait a second for an answer.
	callTimeout = 800 * time.Millisecond
	// controlTimeout bounds a call of an upstream or operator.
	controlTimeout = 900 * time.Millisecond
	// dialTimeout bounds opening a connection to a VM, which may be unreachable. The longest round trip takes 60 ms.
	dialTimeout = 300 * time.Millisecond
	// stopTimeout bounds each step of a graceful stop: handing over the leadership and the vote, and ending the server.
	stopTimeout = 2 * time.Second
)

// Config configures a Control.
type Config struct {
	// VM is the address of this VM for other VMs, which is also its name in the group.
	VM string
	// Seeds are addresses of control VMs through which this VM finds the group.
	Seeds []string
	// FirstStart states that the deployment starts for the first time, and the seeds form the group.
	FirstStart bool
	// DataFolder is the folder of the group's log; it is created if it does not exist.
	DataFolder string
	// DataCentre and Region are the location of this VM.
	DataCentre string
	Region     string
	// RegionOf returns the region of a data centre, or "" if it is not known. Nil: it is known for none.
	RegionOf func(dataCentre string) string
	// DataCentres are the data centres that can be evacuated, beside that of this VM.
	DataCentres []string
	// Losses is the number of control VMs that may be lost at once. The group gets 2*Losses+1 voters.
	Losses int
	// CatchUp is the time after the start of the successor of a lost control VM from which the next loss has to be tolerated.
	CatchUp time.Duration
	Log     *zap.Logger
	// Sync syncs a file of the group's log to disk; nil means (*os.File).Sync.
	Sync func(fil *os.File) error
	// Write writes to a file of the group's log; nil means (*os.File).Write.
	Write func(fil *os.File, buf []byte) (int, error)
}

// Control is a control VM. Use New to create one.
type Control struct {
	cfg           Config
	directory     *fpdirectory.Directory
	storage       *fplog.Log
	group         *fpgroup.Group
	lead          func(ctx context.Context) (fpgroup.Leadership, error) // group.Leadership; tests replace it
	client        *http.Client
	orders        *orderSender
	calls         *platform.Control
	service       *service
	followers     *followers
	announcements *announcements
	metrics       metrics
	// proposeCommand is group.Propose; tests replace it.
	proposeCommand func(ctx context.Context, command []byte) (fpgroup.Position, []byte, error)
	// probe reports whether an upstream has ended because another one answers at its address; tests replace it.
	probe func(ctx context.Context, ups *fpstate.Upstream, healthPath string) (ended bool, err error)
	// rates holds the request rates that upstreams have named for all entry VMs together.
	rates *fprate.Pool
	// room sums up the requests of all entry VMs at upstreams while this VM leads.
	room *fproom.Ledger
	// cold tracks what has to be passed on about cold upstreams.
	cold *coldNews
	// relays holds the entry VMs that can relay requests for others.
	relays *fprelay.Directory
	// quarantine counts the upstream crashes of requests while this VM leads.
	quarantine quarantine
	// levels holds the levels that the other control VMs state.
	levels *levels
	// level is the highest level that this VM states and commits; tests replace it.
	level uint32

	mutex        sync.Mutex
	seeds        []string
	peers        map[string]fpstateconnect.StateServiceClient
	contacts     map[string]contact   // by control VM to which a message was sent or whose silence was reported
	joinRequests map[string]time.Time // when a VM last asked to join
	// leaveRequests holds when a VM last said that it is about to stop.
	leaveRequests map[string]time.Time
	// pendingLeaving are the upstreams of which a commit that they leave is in flight.
	pendingLeaving map[string]bool
	leaderChange   chan struct{}    // closed and replaced when the leadership of the group changes
	keeper         *fpkeeper.Keeper // nil while this VM doesn't place keys
}

// New opens the data folder and returns a control VM that does not run yet. The error is of kind StorageFailed or
// InvalidSettings.
func New(cfg Config) (*Control, error) {
	con := &Control{
		cfg:           cfg,
		directory:     fpdirectory.New(),
		client:        newPeerClient(),
		followers:     newFollowers(),
		announcements: newAnnouncements(),
		rates:         fprate.NewPool(),
		cold:          newColdNews(),
		relays:        fprelay.NewDirectory(),
		levels:        newLevels(),
		level:         fpdirectory.KnownLevel,
		seeds:         cfg.Seeds,
		peers:         map[string]fpstateconnect.StateServiceClient{},
		contacts:      map[string]contact{},
		joinRequests:  map[string]time.Time{},
		leaveRequests: map[string]time.Time{},

		pendingLeaving: map[string]bool{},
		leaderChange:   make(chan struct{}),
	}
	con.orders = newOrderSender(con.observeOrderAnswer)
	con.probe = con.orders.fresh.HasEnded
	con.room = con.newLedger()
	con.service = &service{
		con: con,
	}
	con.calls = &platform.Control{
		Announce: con.announce,
		Depart:   con.depart,
		Put:      con.put,
		Read:     con.read,
		Evacuate: con.evacuate,
		Timeout:  controlTimeout,
	}
	sto, err := fplog.Open(filepath.Join(cfg.DataFolder, groupName), fplog.Config{
		Sync:  cfg.Sync,
		Write: cfg.Write,
	})
	if err != nil {
		return nil, err
	}
	con.storage = sto
	if err := con.adoptStateFile(); err != nil {
		_ = sto.Close()
		return nil, err
	}
	con.group, err = fpgroup.New(fpgroup.Config{
		Name:               groupName,
		VM:                 cfg.VM,
		Voters:             con.initialVoters(),
		Storage:            sto,
		Machine:            con.directory,
		Send:               con.send,
		Log:                cfg.Log,
		Heartbeat:          groupHeartbeat,
		Lease:              groupLease,
		MinElectionTimeout: groupMinElectionTimeout,
		MaxElectionTimeout: groupMaxElectionTimeout,
	})
	if err != nil {
		_ = sto.Close()
		return nil, err
	}
	con.lead = con.group.Leadership
	con.proposeCommand = con.group.Propose
	return con, nil
}

// initialVoters returns the seeds at the first start of the deployment, and none otherwise: the leader adds all other VMs, and
// a VM that has lost its disk must not form a second group.
func (con *Control) initialVoters() []fpgroup.Member {
	if !con.cfg.FirstStart {
		return nil
	}
	var all []fpgroup.Member
	for _, seed := range con.cfg.Seeds {
		all = append(all, fpgroup.Member{
			VM: seed,
		})
	}
	return all
}

// newPeerClient returns the client for calls to other control VMs.
func newPeerClient() *http.Client {
	dia := net.Dialer{
		Timeout: dialTimeout,
	}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:            dia.DialContext,
			MaxIdleConnsPerHost:    4,
			IdleConnTimeout:        time.Minute,
			MaxResponseHeaderBytes: fpconn.MaxAnswerHeader,
		},
	}
}

// Run runs the control VM until ctx ends or it fails. It sends the result on done and closes done; nil means that the VM stopped
// without an error. The error is of kind InvalidSettings if this VM cannot listen on its address.
func (con *Control) Run(ctx context.Context) (done <-chan error) {
	result := make(chan error, 1)
	go func() {
		defer close(result)
		result <- con.run(ctx)
	}()
	return result
}

func (con *Control) run(ctx context.Context) error {
	lis, err := net.Listen("tcp", con.cfg.VM)
	if err != nil {
		return fperror.Wrap(fperror.InvalidSettings, err, "listen on the address of the control VM")
	}
	runCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	groupDone := con.group.Run(runCtx)
	srv := &http.Server{
		Handler:           con.handler(),
		ReadHeaderTimeout: stopTimeout,
	}
	served := make(chan error, 1)
	go func() { served <- srv.Serve(lis) }()
	var loops sync.WaitGroup
	for _, loop := range []func(context.Context){con.notifyLeadershipChanges, con.join, con.relayAnnouncements, con.maintainMembers, con.maintainLevel, con.runPlacement, con.passOnCold, con.followEvacuations} {
		loops.Go(func() { loop(runCtx) })
	}
	select {
	case err = <-groupDone:
	case err = <-served:
	case <-ctx.Done():
		con.handOver()
	}
	stopCtx, cancelStop := context.WithTimeout(context.Background(), stopTimeout)
	defer cancelStop()
	// Calls that aren't answered within stopTimeout are retried by their senders at another VM.
	_ = srv.Shutdown(stopCtx)
	cancel()
	loops.Wait()
	// The group has ended or is ending; its channel is closed after its result.
	for failure := range groupDone {
		err = errors.CombineErrors(err, failure)
	}
	return errors.CombineErrors(err, con.storage.Close())
}

func (con *Control) handler() http.Handler {
	mux := http.NewServeMux()
	con.calls.Register(mux)
	path, han := fpstateconnect.NewStateServiceHandler(con.service, connect.WithCompressMinBytes(minCompressBytes),
		connect.WithReadMaxBytes(maxPeerMessageBytes))
	mux.Handle(path, han)
	return mux
}

// maxPeerMessageBytes bounds a message of another VM in bytes. The largest one is the whole state, which has some kilobytes
// for each upstream.
const maxPeerMessageBytes = 64 << 20

// minCompressBytes is the size in bytes from which messages between VMs are compressed. For smaller ones, compression costs
// more processor time than the saved bytes are worth.
const minCompressBytes = 2048

// peer returns the client of another control VM.
func (con *Control) peer(vm string) fpstateconnect.StateServiceClient {
	con.mutex.Lock()
	defer con.mutex.Unlock()
	cli := con.peers[vm]
	if cli == nil {
		cli = fpstateconnect.NewStateServiceClient(con.client, "http://"+vm,
			connect.WithSendGzip(), connect.WithCompressMinBytes(minCompressBytes),
			connect.WithReadMaxBytes(maxPeerMessageBytes))
		con.peers[vm] = cli
	}
	return cli
}

// send delivers consensus messages to another control VM and records whether it took them. Lost messages are not retried
// here.
func (con *Control) send(ctx context.Context, vm string, msgs []*fpwire.GroupMessage) {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	began := time.Now()
	_, err := con.peer(vm).Step(ctx, connect.NewRequest(&fpstate.StepRequest{
		Messages: msgs,
		Silences: con.silences(),
	}))
	con.recordContact(vm, began, err)
}

// notifyLeadershipChanges wakes the goroutines that wait for a change of the leadership, until ctx ends.
func (con *Control) notifyLeadershipChanges(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-con.group.Changed():
			con.mutex.Lock()
			close(con.leaderChange)
			con.leaderChange = make(chan struct{})
			con.mutex.Unlock()
		}
	}
}

// leadershipChanged returns a channel that is closed at the next change of the leadership.
func (con *Control) leadershipChanged() <-chan struct{} {
	con.mutex.Lock()
	defer con.mutex.Unlock()
	return con.leaderChange
}

// leads reports whether this VM leads the group with a valid lease.
func (con *Control) leads(ctx context.Context) bool {
	_, err := con.lead(ctx)
	return err == nil
}

// sleep waits for a duration. It returns false at once if ctx ends before.
func sleep(ctx context.Context, length time.Duration) bool {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
