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

// replica applies commands to a machine at consecutive positions.
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

// newReplica returns a replica of a group that is the home of slots 0 to 3 of the 8 slots of service svc.
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

// crashCommand reports a crash of an upstream; now is in Unix milliseconds.
func crashCommand(digest, upstream string, incarnation uint64, now int64) *fpwire.Command {
	return &fpwire.Command{Kind: &fpwire.Command_ReportCrash{ReportCrash: &fpwire.ReportCrash{
		Digest:              digest,
		Upstream:            upstream,
		UpstreamIncarnation: incarnation,
		NowMs:               now,
	}}}
}

// claimCommand claims an idempotency key for a request to the given slot.
func claimCommand(slot uint32) *fpwire.Command {
	return &fpwire.Command{Kind: &fpwire.Command_Claim{Claim: &fpwire.Claim{
		IdempotencyKey: "018bcfe5-6800-7000-8000-000000000001",
		Service:        "svc",
		Slot:           slot,
		NowMs:          1_700_000_000_000,
		DeadlineMs:     1_700_000_001_000,
	}}}
}

// TestQuarantine checks that the second distinct crash quarantines a request: a crash that several VMs report counts once,
// and a crash of a restarted upstream counts as another one. A change of the list must advance the version that entry VMs
// confirm, and a full list must release its oldest request.
func TestQuarantine(t *testing.T) {
	rep := newReplica()
	before := rep.mac.Table().Version()
	steps := []struct {
		cmd         *fpwire.Command
		quarantined bool
	}{
		{crashCommand("d", "u", 1, 0), false},
		{crashCommand("d", "u", 1, 5), false},
		{crashCommand("e", "u", 2, 5), false},
		{crashCommand("late", "u", 2, 5), false},
		{crashCommand("late", "u", 3, 6+suspectRetentionMS), false},
	}
	for i, step := range steps {
		if res := rep.apply(step.cmd); res.GetQuarantined() != step.quarantined {
			t.Errorf("report %d: %v", i, res)
		}
	}
	if rep.mac.Table().Version() != before {
		t.Error("a first crash advanced the version of the table")
	}
	res := rep.apply(crashCommand("late", "u", 4, 6+suspectRetentionMS))
	if !res.GetQuarantined() || fpgrant.PositionOf(res.GetVersion()) != rep.pos || rep.mac.Table().Version() != rep.pos {
		t.Errorf("second distinct crash: %v, table %v", res, rep.mac.Table().Version())
	}
	if res := rep.apply(crashCommand("late", "u", 4, 7+suspectRetentionMS)); !res.GetQuarantined() {
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
		rep.apply(crashCommand(digest, "u", 1, suspectRetentionMS))
		rep.apply(crashCommand(digest, "u", 2, suspectRetentionMS))
	}
	if got := rep.mac.Quarantined(); len(got) != maxQuarantined || slices.Contains(got, "q4") || !slices.Contains(got, "q5") {
		t.Errorf("%d quarantined", len(got))
	}
}

// TestReplicasStayEqual guards against replicas that differ after the same commands when one of them is restored from a
// snapshot after each command, and against a panic on an unknown or malformed command.
func TestReplicasStayEqual(t *testing.T) {
	direct, restored := newReplica(), newReplica()
	commands := []*fpwire.Command{
		crashCommand("d", "u", 1, 0),
		claimCommand(2),
		claimCommand(5),
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
		crashCommand("d", "u", 2, 0),
		{},
		{Kind: &fpwire.Command_ExpireClaims{ExpireClaims: &fpwire.ExpireClaims{
			BeforeMs: 1,
		}}},
	}
	var errors []string
	for i, cmd := range commands {
		res := direct.apply(cmd)
		errors = append(errors, res.GetError())
		if again := restored.apply(cmd); !proto.Equal(res, again) {
			t.Errorf("command %d: %v and %v", i, res, again)
		}
		data, err := restored.mac.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		restored.mac = New(Config{})
		if err := restored.mac.Restore(data); err != nil {
			t.Fatal(err)
		}
		if !slices.Equal(direct.mac.Quarantined(), restored.mac.Quarantined()) {
			t.Errorf("restored quarantine %v, want %v", restored.mac.Quarantined(), direct.mac.Quarantined())
		}
		if other, _ := direct.mac.Snapshot(); !bytes.Equal(data, other) {
			t.Errorf("replicas differ after command %d", i)
		}
	}
	if want := []string{"", "", "claimUnavailable", "", "", "", "internal", ""}; !slices.Equal(errors, want) {
		t.Errorf("errors %q, want %q", errors, want)
	}
	direct.mac.Apply(direct.pos, []byte{0xff})
}
