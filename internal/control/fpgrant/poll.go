package fpgrant

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/foxtailpulley/foxtailpulley/api/upstream/fpcontract"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

// vmKey identifies one incarnation of an entry VM, which begins with each start of the VM.
type vmKey struct {
	vm          string
	incarnation uint64
}

// vmState is what the leader knows of one incarnation of an entry VM.
type vmState struct {
	table         Position // the newest version that the VM confirmed
	configuration Position // the newest version that the VM confirmed
	dataCentre    string
	polled        time.Time // of the last poll
	// validEnd is the time after which the VM forwards no request by a table that this leader confirmed.
	validEnd time.Time
}

// Poll records what an entry VM reports in a poll and reports whether a tick is useful now. The reports stay true after the
// VM sent the poll, so polls may arrive late and out of order.
func (kee *Keeper) Poll(now time.Time, req *fpwire.PollRequest) bool {
	kee.syncTable()
	key := vmKey{
		vm:          req.GetVm(),
		incarnation: req.GetIncarnation(),
	}
	vst := kee.vms[key]
	if vst == nil {
		vst = &vmState{}
		kee.vms[key] = vst
	}
	vst.dataCentre = req.GetDataCentre()
	vst.polled = now
	if end := now.Add(kee.withDrift(kee.cfg.TableValidity)); end.After(vst.validEnd) {
		vst.validEnd = end
	}
	table := PositionOf(req.GetTable())
	if vst.table.Less(table) {
		vst.table = table
	}
	if ver := PositionOf(req.GetConfiguration()); vst.configuration.Less(ver) {
		vst.configuration = ver
	}
	kee.addLoad(req.GetLoad())
	return kee.confirmBatches(now, key, table, req.GetBusy())
}

// HasUpdates reports whether an answer to the poll would carry any change. The leader holds a long poll until it does.
func (kee *Keeper) HasUpdates(now time.Time, req *fpwire.PollRequest) bool {
	if PositionOf(req.GetConfiguration()).Less(kee.configVersion) {
		return true
	}
	return !kee.discovering(now, req) && (PositionOf(req.GetTable()) != kee.cfg.Table.version || kee.registryOutdated(req))
}

// registryOutdated reports whether the VM that sent the poll has another list of upstreams than the current one.
func (kee *Keeper) registryOutdated(req *fpwire.PollRequest) bool {
	return req.GetRegistryTerm() != kee.cfg.Term || req.GetRegistry() != kee.registryVersion
}

// discovering reports whether the VM must keep its table and its list of upstreams from an earlier leader for now, because
// this leader began to receive announcements only recently and its own list may lack upstreams. Both are kept together,
// since the owner in a newer table may have restarted with another address than the one in the list.
func (kee *Keeper) discovering(now time.Time, req *fpwire.PollRequest) bool {
	return now.Sub(kee.cfg.AnnouncementsSince) <= discoveryWindow && req.GetRegistryTerm() != 0 && req.GetRegistryTerm() != kee.cfg.Term
}

// PollAnswer returns the answer to a poll that was passed to Poll before. The caller may send it only while its leader lease
// lasts. The configuration in the answer is shared and must not be changed.
func (kee *Keeper) PollAnswer(now time.Time, req *fpwire.PollRequest) *fpwire.PollResponse {
	kee.syncTable()
	res := &fpwire.PollResponse{
		Term:                 kee.cfg.Term,
		Table:                req.GetTable(),
		Registry:             req.GetRegistry(),
		ConfigurationVersion: kee.configVersion.Version(),
	}
	if kee.vms[vmKey{vm: req.GetVm(), incarnation: req.GetIncarnation()}] != nil {
		res.Validity = durationpb.New(kee.cfg.TableValidity)
	}
	if PositionOf(req.GetConfiguration()).Less(kee.configVersion) {
		res.Configuration = kee.configuration
	}
	if kee.cfg.Quarantined != nil {
		res.Quarantined = kee.cfg.Quarantined()
	}
	if kee.discovering(now, req) {
		return res
	}
	res.Table = kee.cfg.Table.version.Version()
	res.Entries, res.Full = kee.cfg.Table.Delta(PositionOf(req.GetTable()))
	if kee.registryOutdated(req) {
		res.Upstreams = kee.publishedUpstreams()
		res.UpstreamsChanged = true
		res.Registry = kee.registryVersion
	}
	return res
}

// publishedUpstreams returns the list of upstreams for entry VMs, ordered by name.
func (kee *Keeper) publishedUpstreams() []*fpcontract.Upstream {
	var out []*fpcontract.Upstream
	for _, hol := range kee.order {
		if hol.published != nil {
			out = append(out, hol.published)
		}
	}
	slices.SortFunc(out, func(a, b *fpcontract.Upstream) int { return cmp.Compare(a.GetName(), b.GetName()) })
	return out
}

// Unconfirmed returns the names of the entry VMs with a valid table that have not confirmed a table version of at least ver,
// in order. The list is complete only if known is true: until one table validity after the election, VMs that have not
// polled this leader yet may have a valid table.
func (kee *Keeper) Unconfirmed(now time.Time, ver Position) (vms []string, known bool) {
	for key, vst := range kee.vms {
		if vst.table.Less(ver) && !now.After(vst.validEnd) {
			vms = append(vms, key.vm)
		}
	}
	slices.Sort(vms)
	return slices.Compact(vms), now.After(kee.unknownVMsEnd())
}

// UnconfirmedConfiguration returns the names of the entry VMs that have not confirmed a configuration version of at least
// ver, in order. Only the newest incarnation of a VM counts.
func (kee *Keeper) UnconfirmedConfiguration(ver Position) []string {
	newest := kee.newestVMs()
	var vms []string
	for vm, key := range newest {
		if kee.vms[key].configuration.Less(ver) {
			vms = append(vms, vm)
		}
	}
	slices.Sort(vms)
	return vms
}

// newestVMs returns the newest incarnation of each entry VM by name.
func (kee *Keeper) newestVMs() map[string]vmKey {
	newest := map[string]vmKey{}
	for key := range kee.vms {
		if old, ok := newest[key.vm]; !ok || old.incarnation < key.incarnation {
			newest[key.vm] = key
		}
	}
	return newest
}

// unknownVMsEnd returns the time after which no VM that has not polled this leader forwards requests by a table from an
// earlier leader.
func (kee *Keeper) unknownVMsEnd() time.Time {
	return kee.cfg.Elected.Add(kee.withDrift(kee.cfg.TableValidity))
}

// forgetVMs drops entry VMs whose table expired so long ago that the deadlines of all their requests have passed.
func (kee *Keeper) forgetVMs(now time.Time) {
	longest := DefaultMaxDeadline
	for name := range kee.services {
		longest = max(longest, kee.maxDeadline(name))
	}
	for key, vst := range kee.vms {
		if now.Sub(vst.validEnd) > kee.withDrift(longest) && !kee.hasConfirmed(key) {
			delete(kee.vms, key)
		}
	}
}
