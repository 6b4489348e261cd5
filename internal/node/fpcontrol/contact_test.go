package fpcontrol

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
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
