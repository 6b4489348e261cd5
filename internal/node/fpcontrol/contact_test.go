package fpcontrol

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

// TestNoSilenceWithoutMessages guards against a new leader that takes other control VMs for lost, and removes them, because it has
// sent them nothing while it followed.
func TestNoSilenceWithoutMessages(t *testing.T) {
	lost := errors.New("connection refused")
	for _, tes := range []struct {
		name   string
		before error // result of the last message before the pause
	}{
		{
			name: "last message taken",
		},
		{
			name:   "last message lost",
			before: lost,
		},
	} {
		t.Run(tes.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				con := &Control{
					cfg: Config{
						Log: zap.NewNop(),
					},
					contacts: map[string]contact{},
				}
				con.recordContact("other", time.Now(), tes.before)
				time.Sleep(time.Hour)
				if con.silent("other", con.silentAfter()) {
					t.Error("a VM to which nothing was sent for an hour is silent")
				}
				began := time.Now()
				for time.Since(began) <= con.silentAfter() {
					if con.silent("other", con.silentAfter()) {
						t.Fatalf("silent %v after the first lost message", time.Since(began))
					}
					sent := time.Now()
					time.Sleep(stepTimeout)
					con.recordContact("other", sent, lost)
				}
				if !con.silent("other", con.silentAfter()) {
					t.Errorf("not silent %v after the first lost message", time.Since(began))
				}
				con.recordContact("other", time.Now(), nil)
				if con.silent("other", 0) {
					t.Error("silent although it took the last message")
				}
			})
		})
	}
}

// TestSilenceOutlivesLeader guards against a lost control VM whose silence begins anew with each leader, so that it keeps its vote for
// as long as leaders change.
func TestSilenceOutlivesLeader(t *testing.T) {
	lost := errors.New("connection refused")
	for _, tes := range []struct {
		name string
		// taken is the result of a message of the new leader before its first lost one.
		taken bool
		// pause is the time between the last report and the first message of the new leader.
		pause time.Duration
		want  time.Duration
	}{
		{
			name: "reported and not reached",
			want: 5 * time.Second,
		},
		{
			name:  "reported and reached",
			taken: true,
		},
		{
			name:  "report is old",
			pause: contactTimeout + time.Second,
		},
	} {
		t.Run(tes.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				con := &Control{
					cfg: Config{
						Log: zap.NewNop(),
					},
					contacts: map[string]contact{},
				}
				con.recordSilences([]*fpstate.Silence{{
					Vm:     "other",
					Length: durationpb.New(5 * time.Second),
				}})
				if con.silent("other", 0) {
					t.Error("silent by a report alone")
				}
				time.Sleep(tes.pause)
				if tes.taken {
					con.recordContact("other", time.Now(), nil)
				}
				con.recordContact("other", time.Now(), lost)
				if got := con.silence("other"); got != tes.want {
					t.Errorf("silent for %v after the first lost message, want %v", got, tes.want)
				}
			})
		})
	}
}
