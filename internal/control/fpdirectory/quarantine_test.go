package fpdirectory

import (
	"fmt"
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/foxtailpulley/foxtailpulley/internal/control/fpgroup"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

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

// TestQuarantine guards against a refused request that followers do not hear of, one that is refused again after a restart from
// a snapshot, and a list without bound.
func TestQuarantine(t *testing.T) {
	dir := New()
	quarantine(t, dir, 1, "bad", false)
	quarantine(t, dir, 2, "other", false)
	quarantine(t, dir, 3, "bad", true)
	if sta, _ := dir.Since(2); len(sta.GetQuarantines()) != 1 || !sta.GetQuarantines()[0].GetLifted() || Empty(sta) {
		t.Errorf("a follower at 2 gets %v", sta.GetQuarantines())
	}
	buf, err := dir.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	again := New()
	if err := again.Restore(buf); err != nil {
		t.Fatal(err)
	}
	if got := again.Quarantined(); !slices.Equal(got, []string{"other"}) {
		t.Errorf("after a restart %v are refused, want other alone", got)
	}
	for num := range uint64(2 * maxQuarantines) {
		quarantine(t, again, 10+num, fmt.Sprint("more", num), false)
	}
	if got := again.Quarantined(); len(got) != maxQuarantines || slices.Contains(got, "other") {
		t.Errorf("%d requests are refused, want the newest %d", len(got), maxQuarantines)
	}
}
