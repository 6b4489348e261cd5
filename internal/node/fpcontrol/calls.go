package fpcontrol

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/config/fproute"
	"github.com/foxtailpulley/foxtailpulley/internal/control/fpdirectory"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

// propose commits a command through the leader. Errors of kind NotLeader and NoQuorum mean that the command is not committed.
// One of kind CommitUnknown leaves that open, and others may do so, too.
func (con *Control) propose(ctx context.Context, com *fpstate.Command) error {
	buf, err := proto.Marshal(com)
	if err != nil {
		return fperror.Wrap(fperror.Internal, err, "marshal a command")
	}
	err = con.commit(ctx, com, buf)
	if !fperror.Is(err, fperror.NotLeader) {
		return err
	}
	leader := con.group.Status().Leader
	if leader == "" || leader == con.cfg.VM {
		return fperror.New(fperror.NoQuorum, "the group has no known leader")
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	res, err := con.peer(leader).Propose(ctx, connect.NewRequest(&fpstate.ProposeRequest{
		Command: buf,
	}))
	if err != nil {
		return fperror.Wrap(fperror.CommitUnknown, err, "propose a command to leader %s", leader)
	}
	if !res.Msg.GetCommitted() {
		return fperror.New(fperror.NotLeader, "VM %s is not the leader", leader)
	}
	return nil
}

// proposeHere commits a command if this VM leads. It never forwards it to another leader, because a decision of a leader must
// not reach the log after its term.
func (con *Control) proposeHere(ctx context.Context, com *fpstate.Command) error {
	buf, err := proto.Marshal(com)
	if err != nil {
		return fperror.Wrap(fperror.Internal, err, "marshal a command")
	}
	return con.commit(ctx, com, buf)
}

// proposeInTerm commits a command if this VM leads in a term. It waits for callTimeout at most.
func (con *Control) proposeInTerm(ctx context.Context, term uint64, com *fpstate.Command) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	lea, err := con.lead(ctx)
	if err != nil {
		return err
	}
	if lea.Term != term {
		return fperror.New(fperror.NotLeader, "the command was decided in term %d, and this VM leads in term %d", term, lea.Term)
	}
	return con.proposeHere(ctx, com)
}

// commit commits a command, which is given with its marshaled form, if this VM leads. While the group has fewer voters than it
// needs to tolerate the configured losses, commit fails with an error of kind NoQuorum, because an acknowledged command could be
// lost. An announcement that admitAnnouncement refuses is not committed. A departure is complete once the incarnation is known to
// have left, so that its late announcements have no effect.
func (con *Control) commit(ctx context.Context, com *fpstate.Command, marshaled []byte) error {
	if con.leads(ctx) {
		if err := con.checkVoters(); err != nil {
			return err
		}
		if ups := com.GetAnnounce(); ups != nil {
			if err := con.admitAnnouncement(ctx, ups); err != nil {
				return err
			}
		}
	}
	_, _, err := con.proposeCommand(ctx, marshaled)
	if dep := com.GetDepart(); dep != nil && err == nil {
		err = con.completeDeparture(ctx, dep)
	}
	return err
}

// checkVoters returns an error of kind NoQuorum while the group has fewer voters than it needs to tolerate the configured losses.
func (con *Control) checkVoters() error {
	voters := 0
	for _, mst := range con.group.Status().Members {
		if !mst.Learner {
			voters++
		}
	}
	if voters < con.wantedVoters() {
		return fperror.New(fperror.NoQuorum, "%d voters cannot tolerate the loss of %d", voters, con.cfg.Losses)
	}
	return nil
}

// completeDeparture leaves a tombstone of an incarnation whose committed departure had no effect, because its first announcement
// has not arrived yet.
func (con *Control) completeDeparture(ctx context.Context, dep *fpstate.Departure) error {
	if known := con.directory.Upstream(dep.GetId()); dep.GetBorn() == 0 || known.GetBorn() >= dep.GetBorn() {
		return nil
	}
	for _, com := range fpdirectory.UnknownDeparture(dep) {
		buf, err := proto.Marshal(com)
		if err != nil {
			return fperror.Wrap(fperror.Internal, err, "marshal a command")
		}
		if _, _, err := con.proposeCommand(ctx, buf); err != nil {
			return err
		}
	}
	return nil
}

// put checks a configuration and commits it. A configuration whose revision is not higher than the newest one is
// acknowledged without effect.
func (con *Control) put(ctx context.Context, cfg *fpstate.Configuration) error {
	err := fproute.Check(cfg)
	if err == nil && con.directory.Configuration().GetRevision() < cfg.GetRevision() {
		err = con.propose(ctx, &fpstate.Command{
			Body: &fpstate.Command_Put{
				Put: cfg,
			},
		})
	}
	con.cfg.Log.Info("configuration received", zap.Uint64("revision", cfg.GetRevision()),
		zap.Uint64("newest", con.directory.Configuration().GetRevision()), zap.Int("routes", len(cfg.GetRoutes())), zap.Error(err))
	return err
}

// read returns the newest configuration. It asks the leader if this VM does not lead. The error is of kind NoQuorum if the
// leader cannot be asked or has no valid lease.
func (con *Control) read(ctx context.Context) (*fpstate.Configuration, error) {
	cfg, err := con.readHere(ctx)
	leader := con.group.Status().Leader
	if err == nil || leader == "" || leader == con.cfg.VM {
		return cfg, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	res, err := con.peer(leader).Read(ctx, connect.NewRequest(&fpstate.ReadRequest{}))
	if err != nil {
		return nil, fperror.Wrap(fperror.NoQuorum, err, "read the configuration from leader %s", leader)
	}
	if !res.Msg.GetCurrent() {
		return nil, fperror.New(fperror.NoQuorum, "VM %s does not lead with a valid lease", leader)
	}
	return res.Msg.GetConfiguration(), nil
}

// readHere returns the newest configuration if this VM leads with a valid lease.
func (con *Control) readHere(ctx context.Context) (*fpstate.Configuration, error) {
	cfg := con.directory.Configuration()
	// The lease is checked after the read: if it is valid now, no other VM led at the time of the read.
	_, err := con.lead(ctx)
	if err != nil {
		return nil, err
	}
	return cfg, nil
}

// announce records an announcement of an upstream, which is cold for coldLeft. It returns once the control VMs have committed what is new in it. The
// returned address is always empty. The error is of kind NoUpstream if the announcement contradicts a running upstream.
func (con *Control) announce(ctx context.Context, ups *fpstate.Upstream, sequence uint64, coldLeft time.Duration) (string, error) {
	if err := con.checkAnnouncement(ups); err != nil {
		return "", err
	}
	if !con.announcements.record(ups, sequence) {
		return "", nil
	}
	con.recordCold(ups, coldLeft)
	old := con.directory.Upstream(ups.GetId())
	if old != nil && (old.GetBorn() > ups.GetBorn() || old.GetBorn() == ups.GetBorn() && (old.GetGone() || fpdirectory.SameAnnouncement(old, ups))) {
		return "", nil
	}
	err := con.propose(ctx, &fpstate.Command{
		Body: &fpstate.Command_Announce{
			Announce: ups,
		},
	})
	if fperror.Is(err, fperror.NoQuorum) {
		// While there is no leader, all upstreams repeat their announcements, so this is only counted. Changes of the leader
		// are logged elsewhere.
		con.metrics.lostAnnouncements.Add(1)
		con.announcements.forget(ups.GetId())
		return "", err
	}
	con.cfg.Log.Info("upstream announced", zap.String("upstream", ups.GetId()), zap.Uint64("born", ups.GetBorn()),
		zap.String("service", ups.GetService()), zap.String("address", ups.GetAddress()), zap.Bool("leaving", ups.GetLeaving()),
		zap.Uint64("sequence", sequence), zap.Error(err))
	if err != nil {
		con.announcements.forget(ups.GetId())
	}
	return "", err
}

// depart removes an upstream. It returns once the control VMs have committed that, also if they don't know it yet. Born 0 stands for the
// incarnation that is known here. If there is none, only the leader takes the call: a departure of any incarnation that reaches the leader
// late could remove the next one.
func (con *Control) depart(ctx context.Context, id string, born uint64) error {
	old := con.directory.Upstream(id)
	propose := con.propose
	switch {
	case born != 0:
	case old == nil:
		propose = con.proposeHere
	default:
		born = old.GetBorn()
	}
	if old != nil && (old.GetBorn() > born || old.GetBorn() == born && old.GetGone()) {
		return nil
	}
	err := propose(ctx, &fpstate.Command{
		Body: &fpstate.Command_Depart{
			Depart: &fpstate.Departure{
				Id:   id,
				Born: born,
			},
		},
	})
	con.cfg.Log.Info("upstream departed", zap.String("upstream", id), zap.Uint64("born", born), zap.Error(err))
	return err
}
