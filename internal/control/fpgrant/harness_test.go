package fpgrant

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/foxtailpulley/foxtailpulley/api/operator/fpoperator"
	"github.com/foxtailpulley/foxtailpulley/api/upstream/fpcontract"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

// harness runs a Keeper without delays: every grant is answered, every proposal is committed and every poll is processed at
// once.
type harness struct {
	now           time.Time
	tab           *Table
	kee           *Keeper
	term          uint64
	index         uint64
	processes     map[string]*process
	polled        Position
	accept        func(*fpwire.UpdateSlots) bool // whether to commit a proposal; nil: always
	loads         func() []*fpwire.SlotLoad
	inFlight      []*fpwire.BusySlot // reported by polls
	grants        int
	announcements Announcements
}

// newHarness returns a harness with all slots assigned to the named upstreams.
func newHarness(slots uint32, names ...string) *harness {
	har := &harness{
		now:       time.Unix(1_700_000_000, 0),
		tab:       &Table{},
		processes: map[string]*process{},
	}
	har.index++
	if err := har.tab.SetHomes(Position{Term: 1, Index: har.index}, &fpwire.SetHomes{
		Service: testService,
		Slots:   slots,
		Homes: []*fpoperator.Home{{
			Group:    "g",
			LastSlot: slots - 1,
		}},
	}); err != nil {
		panic(err)
	}
	har.elect()
	for _, name := range names {
		har.join(name, 1)
	}
	har.run(6 * time.Second)
	return har
}

// elect begins a new term with a new Keeper, which gets the recorded announcements.
func (har *harness) elect() {
	har.term++
	har.kee = NewKeeper(KeeperConfig{
		Group:   "g",
		Term:    har.term,
		Elected: har.now,
		Table:   har.tab,
	})
	har.kee.Configure(Position{Term: 1, Index: 1}, &fpoperator.Configuration{
		Services: []*fpoperator.Service{{
			Name:     testService,
			HoldDown: durationpb.New(DefaultHoldDown),
		}},
	})
	har.announcements.Replay(har.now, har.kee)
}

// join starts a process of an upstream and announces it. It replaces the earlier process of the same name.
func (har *harness) join(name string, incarnation uint64) {
	sim := &simulation{
		now: har.now,
	}
	pro := &process{
		ups: &fpcontract.Upstream{
			Name:        name,
			Incarnation: incarnation,
			Service:     testService,
			ChecksFence: true,
			Concurrency: 3,
		},
		sim:       sim,
		clockRate: 1,
		tokens:    map[uint64]time.Duration{},
	}
	har.processes[name] = pro
	har.announce(pro)
}

func (har *harness) announce(pro *process) {
	ann := &fpcontract.AnnounceRequest{
		Upstream: pro.ups,
	}
	har.announcements.Add(har.now, ann)
	har.kee.Announce(har.now, ann)
}

func (har *harness) poll() {
	req := &fpwire.PollRequest{
		Vm:           "v",
		Incarnation:  1,
		Table:        har.polled.Version(),
		Registry:     1,
		RegistryTerm: 1,
		Busy:         har.inFlight,
	}
	if har.loads != nil {
		req.Load = har.loads()
	}
	har.kee.Poll(har.now, req)
	har.polled = har.tab.Version()
}

// step advances the time by moveTickInterval and runs a poll and a tick.
func (har *harness) step() {
	har.now = har.now.Add(moveTickInterval)
	if har.now.UnixMilli()%1000 == 0 {
		for _, pro := range har.processes {
			har.announce(pro)
		}
	}
	har.poll()
	act := har.kee.Tick(har.now)
	for _, upd := range act.Proposals {
		if har.accept != nil && !har.accept(upd) {
			continue
		}
		har.index++
		if err := har.tab.Apply(Position{Term: har.term, Index: har.index}, upd); err != nil {
			panic(err)
		}
	}
	for _, gra := range act.Grants {
		if pro := har.processes[gra.Upstream.GetName()]; pro != nil {
			pro.sim.now = har.now
			har.kee.GrantAnswer(har.now, gra.Upstream.GetName(), pro.grant(gra.Request), nil)
			har.grants++
		}
	}
}

func (har *harness) run(dur time.Duration) {
	for end := har.now.Add(dur); har.now.Before(end); {
		har.step()
	}
}

// owners returns the owner of every slot in the state owned.
func (har *harness) owners() map[uint32]string {
	out := map[uint32]string{}
	for num := range uint32(har.tab.Len()) {
		if slo, _ := har.tab.Slot(testService, num, ""); slo.State == fpwire.SlotState_SLOT_STATE_OWNED {
			out[num] = slo.Owner
		}
	}
	return out
}

// countMoved returns the number of slots in before that have another owner in after.
func countMoved(before, after map[uint32]string) int {
	count := 0
	for num, name := range before {
		if after[num] != name {
			count++
		}
	}
	return count
}

func upstreamNames(count int) []string {
	var out []string
	for i := range count {
		out = append(out, fmt.Sprintf("u%04d", i))
	}
	return out
}
