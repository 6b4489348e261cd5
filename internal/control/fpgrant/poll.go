package fpgrant

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/foxtailpulley/foxtailpulley/api/upstream/fpcontract"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

// viewerKey is one start of an entry VM.
type viewerKey struct {
	vm          string
	incarnation uint64
}

// viewer is what the leader knows of one start of an entry VM.
type viewer struct {
	table         Position
	configuration Position
	dataCentre    string
	polled        time.Time
	// validEnd is the moment after which the VM forwards nothing on a table that was confirmed to it.
	validEnd time.Time
}

// Poll takes the statements of an entry VM's poll and reports whether a tick is useful now. The statements are true from
// the moment the VM sent the poll, so polls may arrive late and out of order.
func (kee *Keeper) Poll(now time.Time, req *fpwire.PollRequest) bool {
	kee.follow()
	key := viewerKey{
		vm:          req.GetVm(),
		incarnation: req.GetIncarnation(),
	}
	vie := kee.viewers[key]
	if vie == nil {
		vie = &viewer{}
		kee.viewers[key] = vie
	}
	vie.dataCentre = req.GetDataCentre()
	vie.polled = now
	if end := now.Add(kee.stretch(kee.cfg.TableValidity)); end.After(vie.validEnd) {
		vie.validEnd = end
	}
	table := PositionOf(req.GetTable())
	if vie.table.Less(table) {
		vie.table = table
	}
	if ver := PositionOf(req.GetConfiguration()); vie.configuration.Less(ver) {
		vie.configuration = ver
	}
	kee.addLoad(req.GetLoad())
	return kee.clearBatches(now, key, table, req.GetBusy())
}

// News reports whether an answer to the poll would carry any change. The leader holds a long poll until then.
func (kee *Keeper) News(now time.Time, req *fpwire.PollRequest) bool {
	if PositionOf(req.GetConfiguration()).Less(kee.configVersion) {
		return true
	}
	return !kee.cold(now, req) && (PositionOf(req.GetTable()) != kee.cfg.Table.version || kee.registryNews(req))
}

func (kee *Keeper) registryNews(req *fpwire.PollRequest) bool {
	return req.GetRegistryTerm() != kee.cfg.Term || req.GetRegistry() != kee.registry
}

// cold reports whether the VM keeps its table and its list of upstreams from an earlier leader for now, because this
// leader began to hear announcements only recently and its list may lack upstreams. Both are kept together, since the
// owner in a newer table may have restarted and have another address than in the list.
func (kee *Keeper) cold(now time.Time, req *fpwire.PollRequest) bool {
	return now.Sub(kee.cfg.HearsSince) <= relearn && req.GetRegistryTerm() != 0 && req.GetRegistryTerm() != kee.cfg.Term
}

// PollAnswer builds the answer to a poll that Poll has taken. The caller must send it only while it holds its leader
// lease. The configuration in it is shared and must not be changed.
func (kee *Keeper) PollAnswer(now time.Time, req *fpwire.PollRequest) *fpwire.PollResponse {
	kee.follow()
	res := &fpwire.PollResponse{
		Term:                 kee.cfg.Term,
		Table:                req.GetTable(),
		Registry:             req.GetRegistry(),
		ConfigurationVersion: kee.configVersion.Version(),
	}
	if kee.viewers[viewerKey{vm: req.GetVm(), incarnation: req.GetIncarnation()}] != nil {
		res.Validity = durationpb.New(kee.cfg.TableValidity)
	}
	if PositionOf(req.GetConfiguration()).Less(kee.configVersion) {
		res.Configuration = kee.configuration
	}
	if kee.cfg.Quarantined != nil {
		res.Quarantined = kee.cfg.Quarantined()
	}
	if kee.cold(now, req) {
		return res
	}
	res.Table = kee.cfg.Table.version.Version()
	res.Entries, res.Full = kee.cfg.Table.Delta(PositionOf(req.GetTable()))
	if kee.registryNews(req) {
		res.Upstreams = kee.list()
		res.UpstreamsChanged = true
		res.Registry = kee.registry
	}
	return res
}

// list returns the upstreams that entry VMs are told, ordered by name.
func (kee *Keeper) list() []*fpcontract.Upstream {
	var out []*fpcontract.Upstream
	for _, hol := range kee.order {
		if hol.published != nil {
			out = append(out, hol.published)
		}
	}
	slices.SortFunc(out, func(a, b *fpcontract.Upstream) int { return cmp.Compare(a.GetName(), b.GetName()) })
	return out
}

// Unconfirmed returns the entry VMs with a valid table that have not confirmed a table version of at least ver. The
// answer is complete only when known is true: until one table validity after the election, there may be VMs with a
// valid table that the leader has not heard from.
func (kee *Keeper) Unconfirmed(now time.Time, ver Position) (vms []string, known bool) {
	for key, vie := range kee.viewers {
		if vie.table.Less(ver) && !now.After(vie.validEnd) {
			vms = append(vms, key.vm)
		}
	}
	slices.Sort(vms)
	return slices.Compact(vms), now.After(kee.strangersEnd())
}

// UnconfirmedConfiguration returns the entry VMs that have not confirmed a configuration version of at least ver. Of a
// VM with several starts only the newest counts.
func (kee *Keeper) UnconfirmedConfiguration(ver Position) []string {
	newest := kee.newestViewers()
	var vms []string
	for vm, key := range newest {
		if kee.viewers[key].configuration.Less(ver) {
			vms = append(vms, vm)
		}
	}
	slices.Sort(vms)
	return vms
}

func (kee *Keeper) newestViewers() map[string]viewerKey {
	newest := map[string]viewerKey{}
	for key := range kee.viewers {
		if old, ok := newest[key.vm]; !ok || old.incarnation < key.incarnation {
			newest[key.vm] = key
		}
	}
	return newest
}

// strangersEnd is the moment after which no VM forwards on a table from an earlier leader without having polled this one.
func (kee *Keeper) strangersEnd() time.Time {
	return kee.cfg.Elected.Add(kee.stretch(kee.cfg.TableValidity))
}

// forgetViewers drops VMs whose requests are over for every service.
func (kee *Keeper) forgetViewers(now time.Time) {
	longest := DefaultMaxDeadline
	for name := range kee.services {
		longest = max(longest, kee.maxDeadline(name))
	}
	for key, vie := range kee.viewers {
		if now.Sub(vie.validEnd) > kee.stretch(longest) && !kee.inBatches(key) {
			delete(kee.viewers, key)
		}
	}
}
