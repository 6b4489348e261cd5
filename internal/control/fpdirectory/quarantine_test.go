package fpdirectory

import (
	"fmt"
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/foxtailpulley/foxtailpulley/internal/control/fpgroup"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

// quarantine applies a command that starts or lifts the quarantine of a digest.
func quarantine(t *testing.T, dir *Directory, index uint64, digest string, lifted bool) {
	t.Helper()
	buf, err := proto.Marshal(&fpstate.Command{
		Body: &fpstate.Command_Quarantine{
			Quarantine: &fpstate.Quarantine{
				Digest: digest,
				Lifted: lifted,
			},
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	dir.Apply(fpgroup.Position{
		Index: index,
	}, buf)
}

// TestQuarantinesAreReplicatedAndBounded guards against a change of a quarantine that followers don't receive, a lifted
// quarantine that is in force again after a restart from a snapshot, and an unbounded number of quarantines.
func TestQuarantinesAreReplicatedAndBounded(t *testing.T) {
	dir := New()
	quarantine(t, dir, 1, "bad", false)
	quarantine(t, dir, 2, "other", false)
	quarantine(t, dir, 3, "bad", true)
	if sta, _ := dir.Since(2); len(sta.GetQuarantines()) != 1 || !sta.GetQuarantines()[0].GetLifted() || IsEmpty(sta) {
		t.Errorf("a follower at 2 gets %v", sta.GetQuarantines())
	}
	buf, err := dir.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := New()
	if err := restored.Restore(buf); err != nil {
		t.Fatal(err)
	}
	if got := restored.Quarantined(); !slices.Equal(got, []string{"other"}) {
		t.Errorf("after a restart, the quarantined requests are %v, want only other", got)
	}
	for num := range uint64(2 * maxQuarantines) {
		quarantine(t, restored, 10+num, fmt.Sprint("more", num), false)
	}
	if got := restored.Quarantined(); len(got) != maxQuarantines || slices.Contains(got, "other") {
		t.Errorf("%d requests are quarantined, want the newest %d", len(got), maxQuarantines)
	}
}
