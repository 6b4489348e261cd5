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

// group is the part of the table that one group's leader maintains.
type group struct {
	name     string
	validity atomic.Pointer[validity]

	mutex          sync.Mutex // serializes Apply and Poll
	term           uint64
	version        *fpoperator.Version
	releasing      map[*slot]slotID
	lastLoadReport fpclock.Moment // time of the latest load report
	fullRequested  uint64         // incremented when the full table is needed
	fullReceived   uint64         // fullRequested as of the poll that the latest full table answered
}

// validity is the period in which a table may be used. It starts when the poll is sent, which is never later than the
// leader's answer.
type validity struct {
	sent     fpclock.Moment
	duration time.Duration
}

// validFor returns the remaining validity; it is 0 or less when the table has expired.
func (gro *group) validFor(now fpclock.Moment) time.Duration {
	val := gro.validity.Load()
	if val == nil {
		return 0
	}
	return val.duration - val.sent.Elapsed(now)
}

// requestFull makes the next poll ask for the full table. The table in force stays valid for the slots that it covers;
// new slots have no owner until the full table arrives.
func (gro *group) requestFull() {
	gro.mutex.Lock()
	defer gro.mutex.Unlock()
	gro.fullRequested++
}

// Poll is a poll that is about to be sent. The validity of its answer counts from its creation.
type Poll struct {
	group         string
	fullRequested uint64
	sent          fpclock.Moment
	base          *fpoperator.Version
	request       *fpwire.PollRequest
}

// Request returns the message, with the group, the table version in force, the busy slots and the loads filled in.
func (pol *Poll) Request() *fpwire.PollRequest { return pol.request }

// Poll creates a poll of a group. The caller sends it at once, because the validity of the answer counts from now and
// the reported loads are reset.
func (tab *Table) Poll(name string) *Poll {
	tab.mutex.Lock()
	gro := tab.group(name)
	tab.mutex.Unlock()
	gro.mutex.Lock()
	defer gro.mutex.Unlock()
	now := tab.cfg.Now()
	base := gro.version
	if gro.fullRequested != gro.fullReceived {
		base = nil
	}
	return &Poll{
		group:         name,
		fullRequested: gro.fullRequested,
		sent:          now,
		base:          base,
		request: &fpwire.PollRequest{
			Group: name,
			Table: base,
			Busy:  gro.busySlots(now),
			Load:  tab.takeLoads(gro, now),
		},
	}
}

// Apply applies the answer to a poll and reports whether the table changed. It refuses an answer of a VM that is not
// the leader or of an older term (kind NotLeader), and a table that is older than the one in force or an incremental
// change to another version (kind TableExpired).
func (tab *Table) Apply(pol *Poll, res *fpwire.PollResponse) (bool, error) {
	tab.mutex.Lock()
	gro := tab.group(pol.group)
	tab.mutex.Unlock()
	gro.mutex.Lock()
	defer gro.mutex.Unlock()
	if err := gro.checkAnswer(pol, res); err != nil {
		return false, err
	}
	changed := res.GetFull() || len(res.GetEntries()) > 0
	if res.GetFull() {
		tab.freeUnlisted(gro, res.GetEntries())
		gro.fullReceived = pol.fullRequested
	}
	for _, ent := range res.GetEntries() {
		tab.applyEntry(gro, ent)
	}
	gro.term = res.GetTerm()
	gro.version = res.GetTable()
	gro.extendValidity(pol.sent, res.GetValidity().AsDuration(), tab.cfg.Now())
	return changed, nil
}

// checkAnswer checks whether an answer may be applied to the table in force. The caller holds the mutex.
func (gro *group) checkAnswer(pol *Poll, res *fpwire.PollResponse) error {
	switch {
	case res.GetLeader() != "":
		return fperror.New(fperror.NotLeader, "the leader of group %s is %s", gro.name, res.GetLeader())
	case res.GetTerm() < gro.term:
		return fperror.New(fperror.NotLeader, "the answer is of term %d, older than the current term %d", res.GetTerm(), gro.term)
	case compareVersions(res.GetTable(), gro.version) < 0:
		return fperror.New(fperror.TableExpired, "the answer's table of group %s is older than the one in force", gro.name)
	case !res.GetFull() && compareVersions(pol.base, gro.version) != 0:
		return fperror.New(fperror.TableExpired, "the change to the table of group %s is based on another version", gro.name)
	case !res.GetFull() && gro.version == nil:
		return fperror.New(fperror.TableExpired, "the first table of group %s is not a full table", gro.name)
	}
	return nil
}

// extendValidity replaces the validity unless the current one lasts longer. The caller holds the mutex.
func (gro *group) extendValidity(sent fpclock.Moment, duration time.Duration, now fpclock.Moment) {
	if duration-sent.Elapsed(now) <= gro.validFor(now) {
		return
	}
	gro.validity.Store(&validity{
		sent:     sent,
		duration: duration,
	})
}

// compareVersions orders versions by term, then by index; nil comes first.
func compareVersions(one, two *fpoperator.Version) int {
	return cmp.Or(
		cmp.Compare(one.GetTerm(), two.GetTerm()),
		cmp.Compare(one.GetIndex(), two.GetIndex()),
	)
}

// applyEntry applies one entry. The caller holds the group's mutex.
func (tab *Table) applyEntry(gro *group, ent *fpwire.SlotEntry) {
	ser := (*tab.services.Load())[ent.GetService()]
	if ser == nil || ent.GetNumber() >= ser.layout.Slots() || ser.groups[ent.GetNumber()] != gro {
		return // the configuration does not assign the slot to the group yet, or no longer does
	}
	slo := ser.slots[ent.GetNumber()]
	if ent.GetRemoved() {
		delete(gro.releasing, slo.mergeSplit(ent.GetSplitKey()))
		return
	}
	if len(ent.GetSplitKey()) > 0 {
		slo = slo.ensureSplit(ent.GetSplitKey())
	}
	slo.update(ent)
	delete(gro.releasing, slo)
	if ent.GetState() == fpwire.SlotState_SLOT_STATE_RELEASING {
		gro.releasing[slo] = slotID{
			service: ent.GetService(),
			number:  ent.GetNumber(),
			key:     ent.GetSplitKey(),
		}
	}
}

// freeUnlisted frees all slots of the group that a full table does not list. The caller holds the group's mutex.
func (tab *Table) freeUnlisted(gro *group, listed []*fpwire.SlotEntry) {
	isListed := make(map[string]map[uint32]bool)
	for _, ent := range listed {
		if len(ent.GetSplitKey()) > 0 {
			continue
		}
		if isListed[ent.GetService()] == nil {
			isListed[ent.GetService()] = map[uint32]bool{}
		}
		isListed[ent.GetService()][ent.GetNumber()] = true
	}
	clear(gro.releasing)
	for name, ser := range *tab.services.Load() {
		for num, slo := range ser.slots {
			if ser.groups[num] != gro {
				continue
			}
			slo.removeUnlistedSplits(listed, name, uint32(num))
			if !isListed[name][uint32(num)] {
				slo.update(&fpwire.SlotEntry{
					Epoch: slo.currentEpoch(),
					State: fpwire.SlotState_SLOT_STATE_FREE,
				})
			}
		}
	}
}
