// Package fpcontrol runs a control VM of a deployment with HTTP routes: a voter of the group that stores the state, the
// calls of upstreams and operators, and, while it leads, the placement of keys and the membership of the group.
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
	"github.com/foxtailpulley/foxtailpulley/internal/upstream/fpconn"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate/fpstateconnect"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
	"github.com/foxtailpulley/foxtailpulley/platform"
)

// groupName is the name of the one group of a deployment.
const groupName = "root"

// Timings of the group. The longest way there and back takes 60 ms, and a lost packet another 200 ms, which a lease must
// outlast. After a loss of power of all VMs nothing is served until the lease of the old leader has passed and an election
// has ended, so they are not longer than that.
const (
	groupHeartbeat   = 100 * time.Millisecond
	groupLease       = 420 * time.Millisecond
	groupMinElection = 420 * time.Millisecond
	groupMaxElection = 700 * time.Millisecond
)

// Timeouts of calls between VMs.
const (
	// stepTimeout finds a silent connection well within the lease.
	stepTimeout = 350 * time.Millisecond
	// callTimeout bounds other calls; upstreams and operators wait a second for their answers.
	callTimeout = 800 * time.Millisecond
	// controlTimeout bounds a call of an upstream or operator.
	controlTimeout = 900 * time.Millisecond
	// dialTimeout finds a VM that is cut off; the longest way there and back takes 60 ms.
	dialTimeout = 300 * time.Millisecond
	// stopTimeout bounds the end of a process.
	stopTimeout = 2 * time.Second
)

// Config configures a Control.
type Config struct {
	// VM is the address of this VM for other VMs, which is also its name in the group.
	VM string
	// Seeds are addresses of control VMs.
	Seeds []string
	// FirstStart states that the deployment starts for the first time, so that the seeds form the group.
	FirstStart bool
	DataFolder string
	// DataCentre and Region are the location of this VM.
	DataCentre string
	Region     string
	// Losses is the number of control VMs that may be lost at once.
	Losses int
	Log    *zap.Logger
}

// Control is a control VM. Use New to create one.
type Control struct {
	cfg       Config
	directory *fpdirectory.Directory
	storage   *fplog.Log
	group     *fpgroup.Group
	lead      func(ctx context.Context) (fpgroup.Leadership, error)
	client    *http.Client
	orders    *orders
	calls     *platform.Control
	service   *service
	followers *followers
	beats     *beats
	metrics   metrics
	// quarantine holds what is known of requests that crash upstreams.
	quarantine quarantine
	// last is the state that this VM stored before it started, or nil.
	last *fpstate.WatchResponse

	mutex  sync.Mutex
	seeds  []string
	peers  map[string]fpstateconnect.StateServiceClient
	heard  map[string]time.Time // when a control VM last took a message
	joins  map[string]time.Time // when a VM last asked to join
	moved  chan struct{}        // closed and replaced when the group's leadership changed
	keeper *fpkeeper.Keeper     // set while this VM leads
}

// New opens the data folder. The error kinds are StorageFailed and InvalidSettings.
func New(cfg Config) (*Control, error) {
	con := &Control{
		cfg:       cfg,
		directory: fpdirectory.New(),
		client:    newClient(),
		orders:    newOrders(),
		followers: newFollowers(),
		beats:     newBeats(),
		seeds:     cfg.Seeds,
		peers:     map[string]fpstateconnect.StateServiceClient{},
		heard:     map[string]time.Time{},
		joins:     map[string]time.Time{},
		moved:     make(chan struct{}),
	}
	con.service = &service{
		con: con,
	}
	con.calls = &platform.Control{
		Announce: con.announce,
		Depart:   con.depart,
		Put:      con.put,
		Read:     con.read,
		Timeout:  controlTimeout,
	}
	folder := filepath.Join(cfg.DataFolder, groupName)
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, fperror.Wrap(fperror.StorageFailed, err, "create the data folder")
	}
	con.last = con.loadState()
	sto, err := fplog.Open(folder, fplog.Config{})
	if err != nil {
		return nil, err
	}
	con.storage = sto
	con.group, err = fpgroup.New(fpgroup.Config{
		Name:        groupName,
		VM:          cfg.VM,
		Voters:      con.firstVoters(),
		Storage:     sto,
		Machine:     con.directory,
		Send:        con.send,
		Log:         cfg.Log,
		Heartbeat:   groupHeartbeat,
		Lease:       groupLease,
		MinElection: groupMinElection,
		MaxElection: groupMaxElection,
	})
	if err != nil {
		_ = sto.Close()
		return nil, err
	}
	con.lead = con.group.Lead
	return con, nil
}

// firstVoters returns the seeds at the first start of the deployment. All other VMs are added by the leader, and a VM that
// has lost its disk must not form a second group.
func (con *Control) firstVoters() []fpgroup.Member {
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

// newClient returns the client of calls between VMs.
func newClient() *http.Client {
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

// Run serves until ctx ends and reports its end on done.
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
		return fperror.Wrap(fperror.InvalidSettings, err, "listen for control")
	}
	life, cancel := context.WithCancel(context.Background())
	defer cancel()
	groupDone := con.group.Run(life)
	srv := &http.Server{
		Handler:           con.handler(),
		ReadHeaderTimeout: stopTimeout,
	}
	served := make(chan error, 1)
	go func() { served <- srv.Serve(lis) }()
	var duties sync.WaitGroup
	for _, duty := range []func(context.Context){con.followLeader, con.join, con.relayBeats, con.keepMembers, con.keepKeys, con.keepState} {
		duties.Go(func() { duty(life) })
	}
	select {
	case err = <-groupDone:
	case err = <-served:
	case <-ctx.Done():
		con.leave()
	}
	stop, stopped := context.WithTimeout(context.Background(), stopTimeout)
	defer stopped()
	// A call that is not answered within the time is sent again to another VM.
	_ = srv.Shutdown(stop)
	cancel()
	duties.Wait()
	// The group has ended or ends now; its channel is closed after its result.
	for failure := range groupDone {
		err = errors.CombineErrors(err, failure)
	}
	return errors.CombineErrors(err, con.storage.Close())
}

// leave hands the leadership over before the process ends, so that no election has to wait for the lease.
func (con *Control) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if con.group.Status().Role != fpgroup.Leader {
		return
	}
	if err := con.group.TransferLeadership(ctx, ""); err != nil {
		con.cfg.Log.Warn("the leadership was not handed over", zap.Error(err))
	}
}

func (con *Control) handler() http.Handler {
	mux := http.NewServeMux()
	con.calls.Register(mux)
	path, han := fpstateconnect.NewStateServiceHandler(con.service, connect.WithCompressMinBytes(compressAbove),
		connect.WithReadMaxBytes(maxPeerMessage))
	mux.Handle(path, han)
	return mux
}

// maxPeerMessage bounds in bytes what another VM may send at once: the whole state, which has some kilobytes for each upstream.
const maxPeerMessage = 64 << 20

// compressAbove is the size in bytes from which messages between VMs are compressed; smaller ones would cost more
// processor time than the bytes they save.
const compressAbove = 2048

// peer returns the client of another control VM.
func (con *Control) peer(vm string) fpstateconnect.StateServiceClient {
	con.mutex.Lock()
	defer con.mutex.Unlock()
	cli := con.peers[vm]
	if cli == nil {
		cli = fpstateconnect.NewStateServiceClient(con.client, "http://"+vm,
			connect.WithSendGzip(), connect.WithCompressMinBytes(compressAbove),
			connect.WithReadMaxBytes(maxPeerMessage))
		con.peers[vm] = cli
	}
	return cli
}

// send delivers messages of the group.
func (con *Control) send(ctx context.Context, vm string, msgs []*fpwire.GroupMessage) {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	_, err := con.peer(vm).Step(ctx, connect.NewRequest(&fpstate.StepRequest{
		Messages: msgs,
	}))
	con.noteHeard(vm, err)
}

// noteHeard notes whether a control VM takes messages, with a line at each change.
func (con *Control) noteHeard(vm string, err error) {
	con.mutex.Lock()
	defer con.mutex.Unlock()
	last, known := con.heard[vm]
	if err == nil {
		if !known || time.Since(last) > silentAfter {
			con.cfg.Log.Info("control VM reached", zap.String("peer", vm))
		}
		con.heard[vm] = time.Now()
		return
	}
	if !known {
		// The silence of a VM counts from the first message that failed.
		con.heard[vm] = time.Now()
	}
	con.metrics.lostSteps.Add(1)
}

// followLeader wakes those who wait for a change of the leadership.
func (con *Control) followLeader(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-con.group.Changed():
			con.mutex.Lock()
			close(con.moved)
			con.moved = make(chan struct{})
			con.mutex.Unlock()
		}
	}
}

func (con *Control) leaderMoved() <-chan struct{} {
	con.mutex.Lock()
	defer con.mutex.Unlock()
	return con.moved
}

// leads reports whether this VM leads the group with a valid lease.
func (con *Control) leads(ctx context.Context) bool {
	_, err := con.lead(ctx)
	return err == nil
}

// sleep waits and reports whether ctx has not ended.
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
