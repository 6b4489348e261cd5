package fpgrant

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/foxtailpulley/foxtailpulley/api/operator/fpoperator"
)

// Dump is the state of a Keeper in a form that is readable as JSON.
type Dump struct {
	Group      string
	Term       uint64
	Table      Position
	Slots      int
	SplitKeys  int
	Pending    int
	Moving     map[string]int
	Upstreams  []HolderDump
	VMs        []ViewerDump
	Batches    []BatchDump
	Imbalances map[string]float64
}

// HolderDump is what the leader knows of one upstream. Ages and remaining times are relative to the dump.
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
	Proven      bool
	Slots       int
	Releasing   int
	Load        float64
	Version     uint64
	Confirmed   uint64
	AnsweredAgo time.Duration
	LeaseLeft   time.Duration
}

// ViewerDump is what the leader knows of one start of an entry VM.
type ViewerDump struct {
	VM            string
	Incarnation   uint64
	DataCentre    string
	Table         Position
	Configuration Position
	PolledAgo     time.Duration
	ValidFor      time.Duration
}

// BatchDump is slots of one owner that wait for entry VMs.
type BatchDump struct {
	From      string
	Service   string
	Released  Position
	Slots     int
	Confirmed int
}

// Dump returns the state at the given time.
func (kee *Keeper) Dump(now time.Time) Dump {
	kee.follow()
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
	for key, vie := range kee.viewers {
		dum.VMs = append(dum.VMs, ViewerDump{
			VM:            key.vm,
			Incarnation:   key.incarnation,
			DataCentre:    vie.dataCentre,
			Table:         vie.table,
			Configuration: vie.configuration,
			PolledAgo:     now.Sub(vie.polled),
			ValidFor:      max(vie.validEnd.Sub(now), 0),
		})
	}
	slices.SortFunc(dum.VMs, func(a, b ViewerDump) int {
		return cmp.Or(cmp.Compare(a.VM, b.VM), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	for _, bat := range kee.batches {
		dum.Batches = append(dum.Batches, BatchDump{
			From:      bat.from,
			Service:   bat.service,
			Released:  bat.released,
			Slots:     len(bat.refs),
			Confirmed: len(bat.busy),
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
		Slots:       kee.cfg.Table.Owned(hol.name),
		Releasing:   len(hol.releases),
		Load:        hol.load,
		Version:     hol.version,
		Confirmed:   hol.base,
		AnsweredAgo: now.Sub(hol.answered),
		LeaseLeft:   max(hol.leaseEnd.Sub(now), 0),
	}
}

// Upstreams returns the status of the upstreams for operators, ordered by name.
func (kee *Keeper) Upstreams(now time.Time) []*fpoperator.UpstreamStatus {
	kee.follow()
	var out []*fpoperator.UpstreamStatus
	for _, hol := range kee.order {
		if hol.upstream == nil {
			continue
		}
		out = append(out, &fpoperator.UpstreamStatus{
			Name:       hol.name,
			Service:    hol.upstream.GetService(),
			DataCentre: hol.upstream.GetDataCentre(),
			Slots:      uint32(kee.cfg.Table.Owned(hol.name)),
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
	for vm, key := range kee.newestViewers() {
		vie := kee.viewers[key]
		out = append(out, &fpoperator.VmStatus{
			Name:          vm,
			Configuration: vie.configuration.Version(),
			LastSeen:      durationpb.New(now.Sub(vie.polled)),
		})
	}
	slices.SortFunc(out, func(a, b *fpoperator.VmStatus) int { return cmp.Compare(a.GetName(), b.GetName()) })
	return out
}
