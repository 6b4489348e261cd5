package fpgrant

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/foxtailpulley/foxtailpulley/api/operator/fpoperator"
	"github.com/foxtailpulley/foxtailpulley/api/upstream/fpcontract"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

// lab runs a Keeper without delays: every grant is answered, every proposal committed and every poll taken at once.
type lab struct {
	now    time.Time
	tab    *Table
	kee    *Keeper
	term   uint64
	index  uint64
	live   map[string]*process
	table  Position
	apply  func(*fpwire.UpdateSlots) bool // nil: commit every proposal
	loads  func() []*fpwire.SlotLoad
	flying []*fpwire.BusySlot // requests in flight that polls report
	grants int
	soft   Announcements
}

func newLab(slots uint32, names ...string) *lab {
	lab := &lab{
		now:  time.Unix(1_700_000_000, 0),
		tab:  &Table{},
		live: map[string]*process{},
	}
	lab.index++
	if err := lab.tab.SetHomes(Position{Term: 1, Index: lab.index}, &fpwire.SetHomes{
		Service: modelService,
		Slots:   slots,
		Homes: []*fpoperator.Home{{
			Group:    "g",
			LastSlot: slots - 1,
		}},
	}); err != nil {
		panic(err)
	}
	lab.elect()
	for _, name := range names {
		lab.join(name, 1)
	}
	lab.run(6 * time.Second)
	return lab
}

func (lab *lab) elect() {
	lab.term++
	lab.kee = NewKeeper(KeeperConfig{
		Group:   "g",
		Term:    lab.term,
		Elected: lab.now,
		Table:   lab.tab,
	})
	lab.kee.Configure(Position{Term: 1, Index: 1}, &fpoperator.Configuration{
		Services: []*fpoperator.Service{{
			Name:     modelService,
			HoldDown: durationpb.New(DefaultHoldDown),
		}},
	})
	lab.soft.Replay(lab.now, lab.kee)
}

func (lab *lab) join(name string, incarnation uint64) {
	mod := &model{
		now: lab.now,
	}
	pro := &process{
		ups: &fpcontract.Upstream{
			Name:        name,
			Incarnation: incarnation,
			Service:     modelService,
			ChecksFence: true,
			Concurrency: 3,
		},
		mod:    mod,
		rate:   1,
		tokens: map[uint64]time.Duration{},
	}
	lab.live[name] = pro
	lab.announce(pro)
}

func (lab *lab) announce(pro *process) {
	ann := &fpcontract.AnnounceRequest{
		Upstream: pro.ups,
	}
	lab.soft.Add(lab.now, ann)
	lab.kee.Announce(lab.now, ann)
}

func (lab *lab) poll() {
	req := &fpwire.PollRequest{
		Vm:           "v",
		Incarnation:  1,
		Table:        lab.table.Version(),
		Registry:     1,
		RegistryTerm: 1,
		Busy:         lab.flying,
	}
	if lab.loads != nil {
		req.Load = lab.loads()
	}
	lab.kee.Poll(lab.now, req)
	lab.table = lab.tab.Version()
}

func (lab *lab) step() {
	lab.now = lab.now.Add(moveCheck)
	if lab.now.UnixMilli()%1000 == 0 {
		for _, pro := range lab.live {
			lab.announce(pro)
		}
	}
	lab.poll()
	act := lab.kee.Tick(lab.now)
	for _, upd := range act.Proposals {
		if lab.apply != nil && !lab.apply(upd) {
			continue
		}
		lab.index++
		if err := lab.tab.Apply(Position{Term: lab.term, Index: lab.index}, upd); err != nil {
			panic(err)
		}
	}
	for _, gra := range act.Grants {
		if pro := lab.live[gra.Upstream.GetName()]; pro != nil {
			pro.mod.now = lab.now
			lab.kee.GrantAnswer(lab.now, gra.Upstream.GetName(), pro.grant(gra.Request), nil)
			lab.grants++
		}
	}
}

func (lab *lab) run(dur time.Duration) {
	for end := lab.now.Add(dur); lab.now.Before(end); {
		lab.step()
	}
}

// owners returns the owner of every slot that has one.
func (lab *lab) owners() map[uint32]string {
	out := map[uint32]string{}
	for num := range uint32(lab.tab.Len()) {
		if slo, _ := lab.tab.Slot(modelService, num, ""); slo.State == fpwire.SlotState_SLOT_STATE_OWNED {
			out[num] = slo.Owner
		}
	}
	return out
}

// moved returns the number of slots with different owners.
func moved(before, after map[uint32]string) int {
	count := 0
	for num, name := range before {
		if after[num] != name {
			count++
		}
	}
	return count
}

func names(count int) []string {
	var out []string
	for i := range count {
		out = append(out, fmt.Sprintf("u%04d", i))
	}
	return out
}
