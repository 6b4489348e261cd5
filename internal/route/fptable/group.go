package fptable

import (
	"cmp"
	"sync"
	"sync/atomic"
	"time"

	"github.com/foxtailpulley/foxtailpulley/api/operator/fpoperator"
	"github.com/foxtailpulley/foxtailpulley/internal/base/fpclock"
	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

// group is the table of one group.
type group struct {
	name     string
	validity atomic.Pointer[validity]

	mutex     sync.Mutex // serializes Apply and Poll
	term      uint64
	version   *fpoperator.Version
	releasing map[*slot]slotName
	reported  fpclock.Moment // latest report of loads
	wanted    uint64         // grows when the whole table is needed
	got       uint64         // wanted as it was when the poll for the latest whole table was created
}

// validity counts from the moment the poll was sent, which is never later than the leader's answer.
type validity struct {
	sent fpclock.Moment
	span time.Duration
}

// validFor returns the remaining validity.
func (gro *group) validFor(now fpclock.Moment) time.Duration {
	val := gro.validity.Load()
	if val == nil {
		return 0
	}
	return val.span - val.sent.Elapsed(now)
}

// wantWhole asks for the whole table at the next poll. The table in force stays valid for the slots that it covers; new
// slots have no owner until then.
func (gro *group) wantWhole() {
	gro.mutex.Lock()
	defer gro.mutex.Unlock()
	gro.wanted++
}

// Poll is a poll that is about to be sent. Its moment is taken when it is created.
type Poll struct {
	group   string
	wanted  uint64
	sent    fpclock.Moment
	base    *fpoperator.Version
	request *fpwire.PollRequest
}

// Request returns the message, with the group, the table version in force, busy slots and loads filled in.
func (pol *Poll) Request() *fpwire.PollRequest { return pol.request }

// Poll returns a poll of a group. The caller sends it at once.
func (tab *Table) Poll(name string) *Poll {
	tab.mutex.Lock()
	gro := tab.group(name)
	tab.mutex.Unlock()
	gro.mutex.Lock()
	defer gro.mutex.Unlock()
	now := tab.cfg.Now()
	base := gro.version
	if gro.wanted != gro.got {
		base = nil
	}
	return &Poll{
		group:  name,
		wanted: gro.wanted,
		sent:   now,
		base:   base,
		request: &fpwire.PollRequest{
			Group: name,
			Table: base,
			Busy:  gro.busy(now),
			Load:  tab.loads(gro, now),
		},
	}
}

// Apply puts the answer to a poll in force and reports whether the table changed. It refuses a table that is older than
// the one in force, and a change to another table than the one in force.
func (tab *Table) Apply(pol *Poll, res *fpwire.PollResponse) (bool, error) {
	tab.mutex.Lock()
	gro := tab.group(pol.group)
	tab.mutex.Unlock()
	gro.mutex.Lock()
	defer gro.mutex.Unlock()
	if err := gro.accepts(pol, res); err != nil {
		return false, err
	}
	changed := res.GetFull() || len(res.GetEntries()) > 0
	if res.GetFull() {
		tab.clear(gro, res.GetEntries())
		gro.got = pol.wanted
	}
	for _, ent := range res.GetEntries() {
		tab.set(gro, ent)
	}
	gro.term = res.GetTerm()
	gro.version = res.GetTable()
	gro.extend(pol.sent, res.GetValidity().AsDuration(), tab.cfg.Now())
	return changed, nil
}

// accepts checks an answer against the table in force. The caller holds the mutex.
func (gro *group) accepts(pol *Poll, res *fpwire.PollResponse) error {
	switch {
	case res.GetLeader() != "":
		return fperror.New(fperror.NotLeader, "the leader of %s is %s", gro.name, res.GetLeader())
	case res.GetTerm() < gro.term:
		return fperror.New(fperror.NotLeader, "the answer is of term %d, before %d", res.GetTerm(), gro.term)
	case compare(res.GetTable(), gro.version) < 0:
		return fperror.New(fperror.TableExpired, "the table of %s is older than the one in force", gro.name)
	case !res.GetFull() && compare(pol.base, gro.version) != 0:
		return fperror.New(fperror.TableExpired, "the change of the table of %s is against another version", gro.name)
	case !res.GetFull() && gro.version == nil:
		return fperror.New(fperror.TableExpired, "the first table of %s is not whole", gro.name)
	}
	return nil
}

// extend replaces the validity unless the one in force lasts longer. The caller holds the mutex.
func (gro *group) extend(sent fpclock.Moment, span time.Duration, now fpclock.Moment) {
	if span-sent.Elapsed(now) <= gro.validFor(now) {
		return
	}
	gro.validity.Store(&validity{
		sent: sent,
		span: span,
	})
}

// compare orders versions by term, then by index; nil comes first.
func compare(one, two *fpoperator.Version) int {
	return cmp.Or(
		cmp.Compare(one.GetTerm(), two.GetTerm()),
		cmp.Compare(one.GetIndex(), two.GetIndex()),
	)
}

// set applies one entry. The caller holds the group's mutex.
func (tab *Table) set(gro *group, ent *fpwire.SlotEntry) {
	ser := (*tab.services.Load())[ent.GetService()]
	if ser == nil || ent.GetNumber() >= ser.layout.Slots() || ser.groups[ent.GetNumber()] != gro {
		return // the configuration that gives the slot to the group has not arrived yet, or no longer does
	}
	slo := ser.slots[ent.GetNumber()]
	if ent.GetRemoved() {
		delete(gro.releasing, slo.merge(ent.GetSplitKey()))
		return
	}
	if len(ent.GetSplitKey()) > 0 {
		slo = slo.split(ent.GetSplitKey())
	}
	slo.set(ent)
	delete(gro.releasing, slo)
	if ent.GetState() == fpwire.SlotState_SLOT_STATE_RELEASING {
		gro.releasing[slo] = slotName{
			service: ent.GetService(),
			number:  ent.GetNumber(),
			key:     ent.GetSplitKey(),
		}
	}
}

// clear frees all slots of the group that a whole table does not list. The caller holds the group's mutex.
func (tab *Table) clear(gro *group, listed []*fpwire.SlotEntry) {
	keep := make(map[string]map[uint32]bool)
	for _, ent := range listed {
		if len(ent.GetSplitKey()) > 0 {
			continue
		}
		if keep[ent.GetService()] == nil {
			keep[ent.GetService()] = map[uint32]bool{}
		}
		keep[ent.GetService()][ent.GetNumber()] = true
	}
	clear(gro.releasing)
	for name, ser := range *tab.services.Load() {
		for num, slo := range ser.slots {
			if ser.groups[num] != gro {
				continue
			}
			slo.unsplit(listed, name, uint32(num))
			if !keep[name][uint32(num)] {
				slo.set(&fpwire.SlotEntry{
					Epoch: slo.currentEpoch(),
					State: fpwire.SlotState_SLOT_STATE_FREE,
				})
			}
		}
	}
}
