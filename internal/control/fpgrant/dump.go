package fpgrant

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/foxtailpulley/foxtailpulley/api/operator/fpoperator"
)

// Dump is the state of a Keeper. Operators get it as JSON with the field names as keys.
type Dump struct {
	Group      string
	Term       uint64
	Table      Position
	Slots      int
	SplitKeys  int
	Pending    int            // slots and split keys in undecided proposals
	Moving     map[string]int // moving slots and split keys by service
	Upstreams  []HolderDump
	VMs        []VMDump
	Batches    []BatchDump
	Imbalances map[string]float64 // by service, as returned by Keeper.Imbalance
}

// HolderDump is what the leader knows of one upstream. Durations are relative to the time of the dump.
type HolderDump struct {
	Name        string
	Incarnation uint64
	Service     string
	DataCentre  string
	Address     string
	ChecksFence bool
	Alive       bool
	Leaving     bool
	HoldDown    bool
	Proven      bool // reported a lease that an earlier leader had granted
	Slots       int  // owned slots and split keys, including releasing ones
	Releasing   int  // slots and split keys whose release the upstream has not confirmed yet
	Load        float64
	Version     uint64 // of the set of slots that the upstream is to serve
	Confirmed   uint64 // version of the set that the upstream confirmed; 0: unknown
	AnsweredAgo time.Duration
	LeaseLeft   time.Duration
}

// VMDump is what the leader knows of one incarnation of an entry VM.
type VMDump struct {
	VM            string
	Incarnation   uint64
	DataCentre    string
	Table         Position
	Configuration Position
	PolledAgo     time.Duration
	ValidFor      time.Duration
}

// BatchDump describes the slots that one owner began to release in one log entry and that are still in use by entry VMs.
type BatchDump struct {
	From      string // the owner
	Service   string
	Released  Position // of the log entry
	Slots     int
	Confirmed int // entry VMs that have confirmed the release
}

// Dump returns the state at now.
func (kee *Keeper) Dump(now time.Time) Dump {
	kee.syncTable()
	dum := Dump{
		Group:      kee.cfg.Group,
		Term:       kee.cfg.Term,
		Table:      kee.cfg.Table.version,
		Slots:      kee.cfg.Table.Len(),
		SplitKeys:  kee.cfg.Table.Splits(),
		Pending:    kee.pending,
		Moving:     map[string]int{},
		Imbalances: map[string]float64{},
	}
	for name, count := range kee.moving {
		dum.Moving[name] = count
	}
	for _, name := range kee.cfg.Table.Services() {
		dum.Imbalances[name] = kee.Imbalance(now, name)
	}
	for _, hol := range kee.order {
		dum.Upstreams = append(dum.Upstreams, kee.dumpHolder(now, hol))
	}
	for key, vst := range kee.vms {
		dum.VMs = append(dum.VMs, VMDump{
			VM:            key.vm,
			Incarnation:   key.incarnation,
			DataCentre:    vst.dataCentre,
			Table:         vst.table,
			Configuration: vst.configuration,
			PolledAgo:     now.Sub(vst.polled),
			ValidFor:      max(vst.validEnd.Sub(now), 0),
		})
	}
	slices.SortFunc(dum.VMs, func(a, b VMDump) int {
		return cmp.Or(cmp.Compare(a.VM, b.VM), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	for _, bat := range kee.batches {
		dum.Batches = append(dum.Batches, BatchDump{
			From:      bat.from,
			Service:   bat.service,
			Released:  bat.released,
			Slots:     len(bat.refs),
			Confirmed: len(bat.confirmations),
		})
	}
	return dum
}

func (kee *Keeper) dumpHolder(now time.Time, hol *holder) HolderDump {
	return HolderDump{
		Name:        hol.name,
		Incarnation: hol.upstream.GetIncarnation(),
		Service:     hol.upstream.GetService(),
		DataCentre:  hol.upstream.GetDataCentre(),
		Address:     hol.upstream.GetAddress(),
		ChecksFence: hol.upstream.GetChecksFence(),
		Alive:       kee.alive(now, hol),
		Leaving:     kee.leaving(hol),
		HoldDown:    kee.heldDown(now, hol),
		Proven:      hol.proven,
		Slots:       kee.cfg.Table.CountOwned(hol.name),
		Releasing:   len(hol.releases),
		Load:        hol.load,
		Version:     hol.setVersion,
		Confirmed:   hol.confirmedVersion,
		AnsweredAgo: now.Sub(hol.lastAnswer),
		LeaseLeft:   max(hol.leaseEnd.Sub(now), 0),
	}
}

// Upstreams returns the status of the upstreams for operators, ordered by name.
func (kee *Keeper) Upstreams(now time.Time) []*fpoperator.UpstreamStatus {
	kee.syncTable()
	var out []*fpoperator.UpstreamStatus
	for _, hol := range kee.order {
		if hol.upstream == nil {
			continue
		}
		out = append(out, &fpoperator.UpstreamStatus{
			Name:       hol.name,
			Service:    hol.upstream.GetService(),
			DataCentre: hol.upstream.GetDataCentre(),
			Slots:      uint32(kee.cfg.Table.CountOwned(hol.name)),
			Lease:      durationpb.New(max(hol.leaseEnd.Sub(now), 0)),
			Draining:   kee.leaving(hol),
		})
	}
	slices.SortFunc(out, func(a, b *fpoperator.UpstreamStatus) int { return cmp.Compare(a.GetName(), b.GetName()) })
	return out
}

// VMs returns the status of the entry VMs for operators, ordered by name.
func (kee *Keeper) VMs(now time.Time) []*fpoperator.VmStatus {
	var out []*fpoperator.VmStatus
	for vm, key := range kee.newestVMs() {
		vst := kee.vms[key]
		out = append(out, &fpoperator.VmStatus{
			Name:          vm,
			Configuration: vst.configuration.Version(),
			LastSeen:      durationpb.New(now.Sub(vst.polled)),
		})
	}
	slices.SortFunc(out, func(a, b *fpoperator.VmStatus) int { return cmp.Compare(a.GetName(), b.GetName()) })
	return out
}
