package fpmachine

import (
	"bytes"
	"fmt"
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/foxtailpulley/foxtailpulley/api/operator/fpoperator"
	"github.com/foxtailpulley/foxtailpulley/internal/control/fpgrant"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

// replica applies commands to a machine in order.
type replica struct {
	mac *Machine
	pos fpgrant.Position
}

func (rep *replica) apply(cmd *fpwire.Command) *fpwire.CommandResult {
	rep.pos.Index++
	data, err := proto.Marshal(cmd)
	if err != nil {
		panic(err)
	}
	res := &fpwire.CommandResult{}
	if err := proto.Unmarshal(rep.mac.Apply(rep.pos, data), res); err != nil {
		panic(err)
	}
	return res
}

func newReplica() *replica {
	rep := &replica{
		mac: New(Config{}),
		pos: fpgrant.Position{
			Term: 1,
		},
	}
	rep.apply(&fpwire.Command{Kind: &fpwire.Command_SetHomes{SetHomes: &fpwire.SetHomes{
		Service: "svc",
		Slots:   8,
		Homes: []*fpoperator.Home{{
			Group:    "g",
			LastSlot: 3,
		}},
	}}})
	return rep
}

func crashed(digest, upstream string, incarnation uint64, now int64) *fpwire.Command {
	return &fpwire.Command{Kind: &fpwire.Command_ReportCrash{ReportCrash: &fpwire.ReportCrash{
		Digest:              digest,
		Upstream:            upstream,
		UpstreamIncarnation: incarnation,
		NowMs:               now,
	}}}
}

func claim(slot uint32) *fpwire.Command {
	return &fpwire.Command{Kind: &fpwire.Command_Claim{Claim: &fpwire.Claim{
		IdempotencyKey: "018bcfe5-6800-7000-8000-000000000001",
		Service:        "svc",
		Slot:           slot,
		NowMs:          1_700_000_000_000,
		DeadlineMs:     1_700_000_001_000,
	}}}
}

// TestQuarantine guards the second distinct crash: a crash that several VMs report counts once, a restarted upstream
// counts as another, and the version that entry VMs confirm moves with the list.
func TestQuarantine(t *testing.T) {
	rep := newReplica()
	before := rep.mac.Table().Version()
	steps := []struct {
		cmd  *fpwire.Command
		held bool
	}{
		{crashed("d", "u", 1, 0), false},
		{crashed("d", "u", 1, 5), false},
		{crashed("e", "u", 2, 5), false},
		{crashed("late", "u", 2, 5), false},
		{crashed("late", "u", 3, 6+suspectMemory), false},
	}
	for i, one := range steps {
		if res := rep.apply(one.cmd); res.GetQuarantined() != one.held {
			t.Errorf("report %d: %v", i, res)
		}
	}
	if rep.mac.Table().Version() != before {
		t.Error("a first crash moved the version")
	}
	res := rep.apply(crashed("late", "u", 4, 6+suspectMemory))
	if !res.GetQuarantined() || fpgrant.PositionOf(res.GetVersion()) != rep.pos || rep.mac.Table().Version() != rep.pos {
		t.Errorf("second distinct crash: %v, table %v", res, rep.mac.Table().Version())
	}
	if res := rep.apply(crashed("late", "u", 4, 7+suspectMemory)); !res.GetQuarantined() {
		t.Errorf("further report: %v", res)
	}
	if got := rep.mac.Quarantined(); !slices.Equal(got, []string{"late"}) {
		t.Errorf("quarantined %v", got)
	}
	lift := &fpwire.Command{Kind: &fpwire.Command_LiftQuarantine{LiftQuarantine: &fpwire.LiftQuarantine{
		Digest: "late",
	}}}
	rep.apply(lift)
	if len(rep.mac.Quarantined()) != 0 || rep.mac.Table().Version() != rep.pos {
		t.Error("the request was not released")
	}
	for num := range maxQuarantined + 5 {
		digest := fmt.Sprint("q", num)
		rep.apply(crashed(digest, "u", 1, suspectMemory))
		rep.apply(crashed(digest, "u", 2, suspectMemory))
	}
	if got := rep.mac.Quarantined(); len(got) != maxQuarantined || slices.Contains(got, "q4") || !slices.Contains(got, "q5") {
		t.Errorf("%d quarantined", len(got))
	}
}

// TestReplicas guards against replicas that differ after the same commands, of which one came from a snapshot, and
// against commands that the machine must survive.
func TestReplicas(t *testing.T) {
	one, two := newReplica(), newReplica()
	commands := []*fpwire.Command{
		crashed("d", "u", 1, 0),
		claim(2),
		claim(5),
		{Kind: &fpwire.Command_Configure{Configure: &fpwire.Configure{
			RequestId:     "r",
			Configuration: &fpoperator.Configuration{},
		}}},
		{Kind: &fpwire.Command_UpdateSlots{UpdateSlots: &fpwire.UpdateSlots{
			Updates: []*fpwire.SlotUpdate{{
				Entry: &fpwire.SlotEntry{
					Service: "svc",
					Owner:   "u",
					Epoch:   1,
					State:   fpwire.SlotState_SLOT_STATE_OWNED,
				},
				ExpectedState: fpwire.SlotState_SLOT_STATE_FREE,
			}},
		}}},
		crashed("d", "u", 2, 0),
		{},
		{Kind: &fpwire.Command_ExpireClaims{ExpireClaims: &fpwire.ExpireClaims{
			BeforeMs: 1,
		}}},
	}
	var errors []string
	for i, cmd := range commands {
		res := one.apply(cmd)
		errors = append(errors, res.GetError())
		if again := two.apply(cmd); !proto.Equal(res, again) {
			t.Errorf("command %d: %v and %v", i, res, again)
		}
		data, err := two.mac.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		two.mac = New(Config{})
		if err := two.mac.Restore(data); err != nil {
			t.Fatal(err)
		}
		if !slices.Equal(one.mac.Quarantined(), two.mac.Quarantined()) {
			t.Errorf("restored quarantine %v, want %v", two.mac.Quarantined(), one.mac.Quarantined())
		}
		if other, _ := one.mac.Snapshot(); !bytes.Equal(data, other) {
			t.Errorf("replicas differ after command %d", i)
		}
	}
	if want := []string{"", "", "claimUnavailable", "", "", "", "internal", ""}; !slices.Equal(errors, want) {
		t.Errorf("errors %q, want %q", errors, want)
	}
	one.mac.Apply(one.pos, []byte{0xff})
}
