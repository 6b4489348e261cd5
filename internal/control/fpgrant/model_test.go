package fpgrant

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/foxtailpulley/foxtailpulley/api/operator/fpoperator"
	"github.com/foxtailpulley/foxtailpulley/api/upstream/fpcontract"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

const (
	modelService  = "svc"
	modelSlots    = 6
	modelDeadline = 2 * time.Second
)

// item is a slot without its hot key, or the hot key of a slot, whether or not it is split out.
type item struct {
	num uint32
	key string
}

// items returns all items. Only slot 0 has a hot key.
func items() []item {
	all := []item{{key: "k"}}
	for num := range uint32(modelSlots) {
		all = append(all, item{num: num})
	}
	return all
}

// event is something that happens in the model at a time.
type event struct {
	at  time.Time
	seq int
	run func()
}

type eventHeap []event

func (hea eventHeap) Len() int { return len(hea) }

func (hea eventHeap) Less(i, j int) bool {
	return hea[i].at.Before(hea[j].at) || hea[i].at.Equal(hea[j].at) && hea[i].seq < hea[j].seq
}

func (hea eventHeap) Swap(i, j int) { hea[i], hea[j] = hea[j], hea[i] }

func (hea *eventHeap) Push(one any) { *hea = append(*hea, one.(event)) }

func (hea *eventHeap) Pop() any {
	last := len(*hea) - 1
	one := (*hea)[last]
	*hea = (*hea)[:last]
	return one
}

// model runs a group's leader, upstreams and entry VMs on simulated time. Messages are delayed, lost and repeated.
type model struct {
	now    time.Time
	rnd    *rand.Rand
	events eventHeap
	seq    int
	calm   bool

	tab     *Table
	index   uint64
	term    uint64
	kee     *Keeper
	soft    *Announcements
	procs   []*process
	vms     []*entryVM
	running []*request
	next    time.Time
	hot     bool // slot 0 has a hot key
	fault   string
	trace   []string
}

// process is one incarnation of an upstream.
type process struct {
	ups      *fpcontract.Upstream
	mod      *model
	rate     float64 // of its clock
	dead     bool
	frozen   time.Time // until
	cut      time.Time // from the leader, until
	term     uint64
	version  uint64
	highest  uint64
	set      map[item]uint64
	lease    time.Duration // end, on its clock
	tokens   map[uint64]time.Duration
	lastToke uint64
}

type entryVM struct {
	mod      *model
	name     string
	inc      uint64
	dead     bool
	frozen   time.Time
	cut      time.Time // from the leader, until
	table    Position
	entries  map[item]*fpwire.SlotEntry
	valid    time.Time
	registry uint64
	regTerm  uint64
	ups      map[string]*fpcontract.Upstream
}

type request struct {
	item item
	held item // the entry under which it was forwarded
	proc *process
	vm   *entryVM
	end  time.Time
	last time.Time // deadline
}

func newModel(seed uint64) *model {
	mod := &model{
		now:  time.Unix(1_700_000_000, 0),
		rnd:  rand.New(rand.NewPCG(seed, 1)),
		tab:  &Table{},
		soft: &Announcements{},
	}
	mod.index++
	if err := mod.tab.SetHomes(Position{Term: 1, Index: mod.index}, &fpwire.SetHomes{
		Service: modelService,
		Slots:   modelSlots,
		Homes: []*fpoperator.Home{{
			Group:    "g",
			LastSlot: modelSlots - 1,
		}},
	}); err != nil {
		panic(err)
	}
	mod.elect(true)
	return mod
}

func (mod *model) after(dur time.Duration, run func()) {
	mod.seq++
	heap.Push(&mod.events, event{
		at:  mod.now.Add(dur),
		seq: mod.seq,
		run: run,
	})
}

// send delivers a message after a delay that may exceed the lease, or never, or twice.
func (mod *model) send(run func()) {
	if mod.calm {
		mod.after(time.Duration(mod.rnd.IntN(5)+1)*time.Millisecond, run)
		return
	}
	for range 1 + mod.rnd.IntN(20)/19 {
		delay := time.Duration(mod.rnd.IntN(20)+1) * time.Millisecond
		switch dice := mod.rnd.IntN(100); {
		case dice < 8:
			continue
		case dice < 25:
			delay = time.Duration(mod.rnd.IntN(400)) * time.Millisecond
		case dice < 35:
			delay = time.Duration(mod.rnd.IntN(3000)) * time.Millisecond
		}
		mod.after(delay, run)
	}
}

// step runs the next event and checks the invariant.
func (mod *model) step() {
	eve := heap.Pop(&mod.events).(event)
	mod.now = eve.at
	eve.run()
	mod.check()
}

func (mod *model) runFor(dur time.Duration) {
	end := mod.now.Add(dur)
	mod.after(dur, func() {})
	for mod.now.Before(end) && mod.fault == "" {
		mod.step()
	}
}

// check finds slots that two processes are able to run.
func (mod *model) check() {
	mod.running = slices.DeleteFunc(mod.running, func(req *request) bool {
		return req.proc.dead || !mod.now.Before(req.end)
	})
	if mod.fault != "" {
		return
	}
	for _, ite := range items() {
		var able []string
		for _, pro := range mod.procs {
			if why := pro.able(ite); why != "" {
				able = append(able, fmt.Sprintf("%s/%d (%s)", pro.ups.GetName(), pro.ups.GetIncarnation(), why))
			}
		}
		if len(able) > 1 {
			mod.fault = fmt.Sprintf("at %v slot %d%s can run on %v", mod.now.Sub(time.Unix(1_700_000_000, 0)), ite.num, ite.key, able)
		}
	}
}

// note adds a line to the trace that a failed run prints.
func (mod *model) note(format string, args ...any) {
	mod.trace = append(mod.trace, fmt.Sprintf("%v ", mod.now.Sub(time.Unix(1_700_000_000, 0)))+fmt.Sprintf(format, args...))
}

// able returns why the process may run a request for the item, or "". A request for a key under its slot reaches an
// upstream only through an entry VM whose table lacks the split, and is refused unless its epoch is the granted one.
func (pro *process) able(ite item) string {
	mod := pro.mod
	if pro.dead {
		return ""
	}
	if pro.ups.GetChecksFence() {
		if pro.clock() >= pro.lease {
			return ""
		}
		if _, ok := pro.set[ite]; ok {
			return "lease"
		}
		epoch, ok := pro.set[item{num: ite.num}]
		for _, vm := range mod.vms {
			ent := vm.entry(ite)
			if ok && ent.GetEpoch() == epoch && len(ent.GetSplitKey()) == 0 && vm.target(ite) == pro {
				return "lease of the slot"
			}
		}
		return ""
	}
	for _, req := range mod.running {
		if req.proc == pro && req.item == ite {
			return "in flight"
		}
	}
	for _, vm := range mod.vms {
		if vm.target(ite) == pro {
			return "table of " + vm.name
		}
	}
	return ""
}

func (pro *process) clock() time.Duration {
	return time.Duration(float64(pro.mod.now.Sub(time.Unix(1_700_000_000, 0))) * pro.rate)
}

func (mod *model) start(name string, checks bool, concurrency uint32) *process {
	inc := uint64(1)
	for _, pro := range mod.procs {
		if pro.ups.GetName() == name {
			inc = pro.ups.GetIncarnation() + 1
		}
	}
	pro := &process{
		ups: &fpcontract.Upstream{
			Name:        name,
			Incarnation: inc,
			Service:     modelService,
			ChecksFence: checks,
			Concurrency: concurrency,
		},
		mod:    mod,
		rate:   0.996 + mod.rnd.Float64()*0.008,
		tokens: map[uint64]time.Duration{},
	}
	mod.procs = append(mod.procs, pro)
	mod.note("start of %s/%d, checks %v", name, inc, checks)
	pro.announce()
	return pro
}

func (pro *process) announce() {
	if pro.dead {
		return
	}
	ann := &fpcontract.AnnounceRequest{
		Upstream: proto.Clone(pro.ups).(*fpcontract.Upstream),
		Token:    pro.token(),
	}
	if !pro.mod.now.Before(pro.frozen) && !pro.mod.now.Before(pro.cut) {
		pro.mod.send(func() {
			pro.mod.soft.Add(pro.mod.now, ann)
			if pro.mod.kee != nil {
				pro.mod.kee.Announce(pro.mod.now, ann)
				pro.mod.tick()
			}
		})
	}
	pro.mod.after(time.Second, pro.announce)
}

func (pro *process) token() uint64 {
	pro.lastToke++
	pro.tokens[pro.lastToke] = pro.clock()
	return pro.lastToke
}

// thaw runs the message when the process is not frozen.
func (mod *model) thaw(frozen *time.Time, dead *bool, run func()) {
	switch {
	case *dead:
	case mod.now.Before(*frozen):
		mod.after(frozen.Sub(mod.now), func() { mod.thaw(frozen, dead, run) })
	default:
		run()
	}
}

// grant is what the contract asks of an upstream: it refuses lower terms, and within a term lower versions; a set ends
// with its lease.
func (pro *process) grant(req *fpcontract.GrantRequest) *fpcontract.GrantResponse {
	if pro.clock() >= pro.lease {
		pro.set, pro.version = nil, 0
	}
	res := &fpcontract.GrantResponse{
		Incarnation: pro.ups.GetIncarnation(),
	}
	if req.GetIncarnation() == pro.ups.GetIncarnation() && req.GetTerm() >= pro.term {
		if req.GetTerm() > pro.term {
			pro.term, pro.highest = req.GetTerm(), 0
		}
		if req.GetEcho() != 0 {
			res.Accepted = pro.take(req)
		}
	}
	res.Token = pro.token()
	res.Term = pro.term
	if pro.clock() < pro.lease {
		res.Version = pro.version
	}
	return res
}

func (pro *process) take(req *fpcontract.GrantRequest) bool {
	if req.GetBase() == 0 && req.GetVersion() < pro.highest || req.GetBase() != 0 && req.GetBase() != pro.version {
		return false
	}
	if req.GetBase() == 0 {
		pro.set = map[item]uint64{}
	}
	for _, slo := range req.GetRemoved() {
		delete(pro.set, item{num: slo.GetNumber(), key: string(slo.GetSplitKey())})
	}
	for _, slo := range req.GetAdded() {
		pro.set[item{num: slo.GetNumber(), key: string(slo.GetSplitKey())}] = slo.GetEpoch()
	}
	pro.version, pro.highest = req.GetVersion(), req.GetVersion()
	if end := pro.tokens[req.GetEcho()] + req.GetLease().AsDuration(); end > pro.lease {
		pro.lease = end
	}
	return true
}

// tick does what the leader's goroutine does.
func (mod *model) tick() {
	kee := mod.kee
	if kee == nil {
		return
	}
	act := kee.Tick(mod.now)
	for _, gra := range act.Grants {
		mod.deliver(kee, gra)
	}
	for _, upd := range act.Proposals {
		mod.after(time.Duration(mod.rnd.IntN(30)+1)*time.Millisecond, func() { mod.commit(kee, upd) })
	}
	if act.Next.Before(mod.next) || !mod.now.Before(mod.next) {
		mod.next = act.Next
		mod.after(max(act.Next.Sub(mod.now), time.Millisecond), func() {
			if mod.kee == kee {
				mod.tick()
			}
		})
	}
}

func (mod *model) commit(kee *Keeper, upd *fpwire.UpdateSlots) {
	if mod.kee != kee || !mod.calm && mod.rnd.IntN(30) == 0 {
		return
	}
	mod.index++
	if err := mod.tab.Apply(Position{Term: mod.term, Index: mod.index}, upd); err != nil {
		kee.ProposalFailed(upd)
	} else {
		for _, one := range upd.GetUpdates() {
			mod.note("slot %d: commit %d: %v", one.GetEntry().GetNumber(), mod.index, one.GetEntry())
		}
	}
	mod.tick()
}

func (mod *model) deliver(kee *Keeper, gra SendGrant) {
	name := gra.Upstream.GetName()
	mod.send(func() {
		for _, pro := range mod.procs {
			if pro.ups.GetName() != name || pro.ups.GetIncarnation() != gra.Upstream.GetIncarnation() ||
				mod.now.Before(pro.cut) {
				continue
			}
			mod.thaw(&pro.frozen, &pro.dead, func() {
				res := pro.grant(gra.Request)
				mod.send(func() {
					if mod.kee == kee {
						kee.GrantAnswer(mod.now, name, res, nil)
						mod.tick()
					}
				})
			})
		}
	})
}

// elect begins a term. A warm leader knows the announcements that reached the voter before.
func (mod *model) elect(warm bool) {
	mod.term++
	mod.index++
	cfg := KeeperConfig{
		Group:   "g",
		Term:    mod.term,
		Elected: mod.now,
		Table:   mod.tab,
		// Short rounds, so that splits and merges happen within the model's time.
		RebalanceEvery: 300 * time.Millisecond,
	}
	if !warm {
		cfg.HearsSince = mod.now
		mod.soft = &Announcements{}
	}
	mod.kee = NewKeeper(cfg)
	mod.kee.Configure(Position{Term: 1, Index: 1}, &fpoperator.Configuration{
		Services: []*fpoperator.Service{{
			Name:        modelService,
			Slots:       modelSlots,
			MaxDeadline: durationpb.New(modelDeadline),
			HoldDown:    durationpb.New(5 * time.Second),
		}},
	})
	mod.note("election of term %d", mod.term)
	mod.next = time.Time{}
	mod.soft.Replay(mod.now, mod.kee)
	mod.tick()
}

func (mod *model) startVM(name string, inc uint64) *entryVM {
	vm := &entryVM{
		mod:     mod,
		name:    name,
		inc:     inc,
		entries: map[item]*fpwire.SlotEntry{},
		ups:     map[string]*fpcontract.Upstream{},
	}
	mod.vms = append(mod.vms, vm)
	vm.poll()
	vm.forward()
	return vm
}

// entry returns the entry of the VM's table that decides on the item.
func (vm *entryVM) entry(ite item) *fpwire.SlotEntry {
	if ent := vm.entries[ite]; ent != nil {
		return ent
	}
	return vm.entries[item{num: ite.num}]
}

// target returns the process to which the VM would forward a request now, or nil.
func (vm *entryVM) target(ite item) *process {
	ent := vm.entry(ite)
	if vm.dead || !vm.mod.now.Before(vm.valid) || ent.GetState() != fpwire.SlotState_SLOT_STATE_OWNED {
		return nil
	}
	ups := vm.ups[ent.GetOwner()]
	for _, pro := range vm.mod.procs {
		if ups != nil && pro.ups.GetName() == ups.GetName() && pro.ups.GetIncarnation() == ups.GetIncarnation() {
			return pro
		}
	}
	return nil
}

func (vm *entryVM) forward() {
	mod := vm.mod
	if vm.dead {
		return
	}
	ite := items()[mod.rnd.IntN(modelSlots+1)]
	if pro := vm.target(ite); pro != nil && !pro.dead && !mod.now.Before(vm.frozen) {
		req := &request{
			item: ite,
			held: item{num: ite.num, key: string(vm.entry(ite).GetSplitKey())},
			proc: pro,
			vm:   vm,
			end:  mod.now.Add(time.Duration(mod.rnd.IntN(40)) * time.Millisecond),
			last: mod.now.Add(modelDeadline),
		}
		if mod.rnd.IntN(8) == 0 || mod.now.Before(pro.frozen) {
			req.end = req.last
		}
		mod.running = append(mod.running, req)
		mod.note("slot %d%s: %s/%d forwards to %s/%d until %v", ite.num, ite.key, vm.name, vm.inc, pro.ups.GetName(),
			pro.ups.GetIncarnation(), req.end.Sub(mod.now))
	}
	mod.after(time.Duration(mod.rnd.IntN(60)+1)*time.Millisecond, vm.forward)
}

func (vm *entryVM) poll() {
	mod := vm.mod
	if vm.dead {
		return
	}
	mod.after(time.Duration(mod.rnd.IntN(100)+20)*time.Millisecond, vm.poll)
	if mod.now.Before(vm.frozen) || mod.now.Before(vm.cut) {
		return
	}
	req := &fpwire.PollRequest{
		Vm:           vm.name,
		Incarnation:  vm.inc,
		Table:        vm.table.Version(),
		Registry:     vm.registry,
		RegistryTerm: vm.regTerm,
		Busy:         vm.busy(),
		Load:         vm.load(),
	}
	sent := mod.now
	mod.send(func() {
		kee := mod.kee
		if kee == nil {
			return
		}
		kee.Poll(mod.now, req)
		if len(req.GetBusy()) > 0 {
			mod.note("poll of %s/%d at table %v with busy %v", vm.name, vm.inc, req.GetTable(), req.GetBusy())
		}
		mod.tick()
		res := kee.PollAnswer(mod.now, req)
		mod.send(func() { mod.thaw(&vm.frozen, &vm.dead, func() { vm.take(sent, req, res) }) })
	})
}

func (vm *entryVM) busy() []*fpwire.BusySlot {
	var out []*fpwire.BusySlot
	for _, ite := range items() {
		last := time.Time{}
		for _, req := range vm.mod.running {
			if req.vm == vm && req.held == ite && req.last.After(last) {
				last = req.last
			}
		}
		if vm.entries[ite].GetState() == fpwire.SlotState_SLOT_STATE_RELEASING && !last.IsZero() {
			out = append(out, &fpwire.BusySlot{
				Service:   modelService,
				Number:    ite.num,
				SplitKey:  []byte(ite.key),
				Remaining: durationpb.New(last.Sub(vm.mod.now)),
			})
		}
	}
	return out
}

// load reports slot 0 or its split key as very busy while the model's key is hot.
func (vm *entryVM) load() []*fpwire.SlotLoad {
	loa := &fpwire.SlotLoad{
		Service:     modelService,
		Busy:        durationpb.New(50 * time.Millisecond),
		Requests:    100,
		HotKey:      []byte("k"),
		HotRequests: 95,
	}
	if vm.entries[item{key: "k"}] != nil {
		loa.SplitKey, loa.HotKey, loa.HotRequests = []byte("k"), nil, 0
	}
	if !vm.mod.hot {
		loa.SplitKey, loa.HotKey, loa.HotRequests = nil, nil, 0
	}
	return []*fpwire.SlotLoad{loa}
}

// take applies an answer, unless the delta does not fit the table or the answer is older than the table.
func (vm *entryVM) take(sent time.Time, req *fpwire.PollRequest, res *fpwire.PollResponse) {
	table := PositionOf(res.GetTable())
	if table.Less(vm.table) || !res.GetFull() && PositionOf(req.GetTable()) != vm.table {
		return
	}
	if res.GetFull() {
		vm.entries = map[item]*fpwire.SlotEntry{}
	}
	for _, ent := range res.GetEntries() {
		ite := item{num: ent.GetNumber(), key: string(ent.GetSplitKey())}
		vm.entries[ite] = ent
		if ent.GetRemoved() {
			delete(vm.entries, ite)
		}
	}
	vm.table = table
	if res.GetUpstreamsChanged() && (res.GetTerm() > vm.regTerm || res.GetTerm() == vm.regTerm && res.GetRegistry() > vm.registry) {
		vm.ups = map[string]*fpcontract.Upstream{}
		for _, ups := range res.GetUpstreams() {
			vm.ups[ups.GetName()] = ups
		}
		vm.registry, vm.regTerm = res.GetRegistry(), res.GetTerm()
	}
	if end := sent.Add(res.GetValidity().AsDuration()); end.After(vm.valid) {
		vm.valid = end
	}
}
