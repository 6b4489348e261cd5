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

// TestStoppedVMStaysLost guards against a control VM that keeps its vote for seconds after a planned stop, because its request to leave
// has expired and it has not been silent for long enough.
func TestStoppedVMStaysLost(t *testing.T) {
	lost := errors.New("connection refused")
	for _, tes := range []struct {
		name string
		// takes is how long the VM takes messages after its request, and from is when this VM begins to send them.
		takes, from time.Duration
		after       time.Duration
		want        bool
	}{
		{
			name:  "stopped after its request",
			takes: 1500 * time.Millisecond,
			after: leaveRequestTimeout + 500*time.Millisecond,
			want:  true,
		},
		{
			name:  "stopped before this VM led",
			from:  leaveRequestTimeout + 200*time.Millisecond,
			after: leaveRequestTimeout + 500*time.Millisecond,
			want:  true,
		},
		{
			name:  "takes messages",
			takes: time.Hour,
			after: leaveRequestTimeout + 500*time.Millisecond,
		},
		{
			name:  "loses messages after it went on",
			takes: leaveRequestTimeout + 500*time.Millisecond,
			after: leaveRequestTimeout + 1500*time.Millisecond,
		},
		{
			name:  "request is old",
			from:  leaveSilenceTimeout + time.Second,
			after: leaveSilenceTimeout + 1500*time.Millisecond,
		},
	} {
		t.Run(tes.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				con := &Control{
					cfg: Config{
						Log: zap.NewNop(),
					},
					contacts:      map[string]contact{},
					leaveRequests: map[string]time.Time{},
				}
				con.recordLeave("other")
				if !con.absent("other") {
					t.Error("not lost after its request")
				}
				began := time.Now()
				time.Sleep(tes.from)
				for time.Since(began) < tes.after {
					time.Sleep(groupHeartbeat)
					if time.Since(began) <= tes.takes {
						con.recordContact("other", time.Now(), nil)
					} else {
						con.recordContact("other", time.Now(), lost)
					}
				}
				if got := con.absent("other"); got != tes.want {
					t.Errorf("lost %v after its request: %t, want %t", time.Since(began), got, tes.want)
				}
			})
		})
	}
}
