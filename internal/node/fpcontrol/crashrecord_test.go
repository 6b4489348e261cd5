package fpcontrol

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/foxtailpulley/foxtailpulley/internal/control/fpdirectory"
	"github.com/foxtailpulley/foxtailpulley/internal/control/fpgroup"
	"github.com/foxtailpulley/foxtailpulley/internal/route/fpquarantine"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

// crashModel is a deployment in which requests crash upstreams: control VMs that apply the same log, of which one leads and decides
// which requests are refused, and an entry VM that reports crashes.
type crashModel struct {
	t       *testing.T
	vms     []*crashModelVM
	leader  int
	index   uint64
	crashes uint64
	entry   *fpquarantine.List

	lastCrash time.Time
}

type crashModelVM struct {
	directory  *fpdirectory.Directory
	quarantine quarantine
}

func newCrashModel(t *testing.T, level uint32) *crashModel {
	mod := &crashModel{
		t: t,
		entry: fpquarantine.New(fpquarantine.Config{
			Retention: 10 * time.Second,
		}),
	}
	for range 3 {
		mod.vms = append(mod.vms, &crashModelVM{
			directory: fpdirectory.New(),
		})
	}
	mod.commit(&fpstate.Command{
		Body: &fpstate.Command_Level{
			Level: &fpstate.Level{
				Level: level,
			},
		},
	})
	mod.lead(0)
	return mod
}

// commit applies a command on all control VMs.
func (mod *crashModel) commit(com *fpstate.Command) {
	command, err := proto.Marshal(com)
	if err != nil {
		mod.t.Fatal(err)
	}
	mod.index++
	for _, vm := range mod.vms {
		vm.directory.Apply(fpgroup.Position{
			Term:  1,
			Index: mod.index,
		}, command)
	}
}

// lead makes a control VM the leader. The entry VM reports its suspects again.
func (mod *crashModel) lead(num int) {
	mod.leader = num
	vm := mod.vms[num]
	vm.quarantine.startLeadership(vm.directory.Quarantines())
	mod.entry.SuspectCrashes(256, func(digest string, cra fpquarantine.Crash) {
		vm.quarantine.report(time.Now(), []*fpstate.Crash{{
			Digest:   digest,
			Upstream: cra.Upstream,
			Born:     cra.Incarnation,
		}}, nil)
	})
}

// restart restarts a control VM, which reads its state from a snapshot.
func (mod *crashModel) restart(num int) {
	snapshot, err := mod.vms[num].directory.Snapshot()
	if err != nil {
		mod.t.Fatal(err)
	}
	dir := fpdirectory.New()
	if err := dir.Restore(snapshot); err != nil {
		mod.t.Fatal(err)
	}
	mod.vms[num] = &crashModelVM{
		directory: dir,
	}
}

// step commits the decisions that are due, and passes them to the entry VM.
func (mod *crashModel) step() {
	vm := mod.vms[mod.leader]
	if vm.directory.Level() >= fpdirectory.LevelCrashes {
		vm.quarantine.storeCrashes()
	}
	for _, qua := range vm.quarantine.takeDue(time.Now()) {
		mod.commit(&fpstate.Command{
			Body: &fpstate.Command_Quarantine{
				Quarantine: proto.CloneOf(qua),
			},
		})
		vm.quarantine.finish(qua, nil)
	}
	var refused, released []string
	for _, rec := range vm.directory.Quarantines() {
		if rec.Quarantine.GetLifted() {
			released = append(released, rec.Quarantine.GetDigest())
		} else {
			refused = append(refused, rec.Quarantine.GetDigest())
		}
	}
	mod.entry.Replace("control", refused)
	mod.entry.Release(time.Now(), released)
}

// crash crashes an upstream while requests are in flight there.
func (mod *crashModel) crash(digests ...string) {
	mod.crashes++
	mod.lastCrash = time.Now()
	for _, digest := range digests {
		cra := fpquarantine.Crash{
			Upstream:    fmt.Sprintf("u%d", mod.crashes),
			Incarnation: mod.crashes,
		}
		mod.entry.RecordCrash(time.Now(), digest, cra)
		mod.vms[mod.leader].quarantine.report(time.Now(), []*fpstate.Crash{{
			Digest:   digest,
			Upstream: cra.Upstream,
			Born:     cra.Incarnation,
		}}, nil)
	}
	mod.step()
}

// answer answers a request unless it is refused, and reports whether it was.
func (mod *crashModel) answer(digest string) bool {
	began := time.Now()
	if mod.entry.Check(began, digest) != nil {
		return false
	}
	if mod.entry.Clear(digest, began) {
		mod.vms[mod.leader].quarantine.report(began, nil, []string{digest})
		mod.step()
	}
	return true
}

// TestCrashesOutliveLeaders guards against a request that crashes its upstreams and is let through again after each change of the leader,
// after a restart of the control VMs, or after some time, so that it reaches more than three of them after its third crash.
func TestCrashesOutliveLeaders(t *testing.T) {
	const (
		length  = 24 * time.Hour
		allowed = 6 // three, and three retries
	)
	for _, tes := range []struct {
		name string
		// interval is the mean time between two changes of the leader, or restarts. 0: there are none.
		interval time.Duration
		restarts bool
		// pause is the time between two requests.
		pause time.Duration
	}{
		{
			name:  "no changes",
			pause: time.Second,
		},
		{
			name:  "no changes, few requests",
			pause: 37 * time.Minute,
		},
		{
			name:     "changes of the leader",
			interval: 12 * time.Second,
			pause:    time.Second,
		},
		{
			name:     "changes of the leader, few requests",
			interval: 12 * time.Second,
			pause:    61 * time.Second,
		},
		{
			name:     "restarts of all control VMs",
			interval: time.Minute,
			restarts: true,
			pause:    time.Second,
		},
	} {
		t.Run(tes.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rng := rand.New(rand.NewPCG(1, 2))
				mod := newCrashModel(t, fpdirectory.LevelCrashes)
				var times []time.Duration
				began, nextRequest := time.Now(), time.Now()
				for time.Since(began) < length {
					if tes.interval > 0 && rng.Float64() < 1/tes.interval.Seconds() {
						if tes.restarts {
							for num := range mod.vms {
								mod.restart(num)
							}
						}
						mod.lead(rng.IntN(len(mod.vms)))
					}
					mod.step()
					if !time.Now().Before(nextRequest) {
						nextRequest = time.Now().Add(tes.pause)
						if mod.entry.Check(time.Now(), "bad") == nil {
							times = append(times, time.Since(began))
							mod.crash("bad")
						}
					}
					time.Sleep(time.Second)
				}
				if len(times) > allowed || len(times) < 3 {
					t.Errorf("the request reached %d upstreams, want 3 to %d: %v", len(times), allowed, times)
				}
			})
		})
	}
}

// TestRequestsBesideCrashesComeBack guards against a sound request that is refused for long, or more and more often, because it happened
// to be in flight during crashes; also while the leader changes more often than refusals end.
func TestRequestsBesideCrashesComeBack(t *testing.T) {
	const (
		pause      = 500 * time.Millisecond // between two requests
		refusedFor = 12 * time.Second       // refusals after two crashes take 10 s
	)
	for level, rounds := range map[uint32]int{
		fpdirectory.LevelEvacuation: 1, // answers after a refusal are not known, so that the next one is longer
		fpdirectory.LevelCrashes:    8,
	} {
		for _, interval := range []time.Duration{0, 4 * time.Second} {
			t.Run(fmt.Sprintf("level=%d,interval=%v", level, interval), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					mod := newCrashModel(t, level)
					for round := range rounds {
						mod.crash("sound", fmt.Sprint("other", round))
						time.Sleep(100 * time.Millisecond)
						mod.crash("sound", fmt.Sprint("other", round))
						if mod.answer("sound") {
							t.Fatal("a request with two crashes is not refused")
						}
						began := time.Now()
						for num := 1; !mod.answer("sound") && time.Since(began) < time.Hour; num++ {
							if interval > 0 && num%int(interval/pause) == 0 {
								mod.lead(num % len(mod.vms))
							}
							mod.step()
							time.Sleep(pause)
						}
						if took := time.Since(began); took > refusedFor {
							t.Errorf("round %d: refused for %v, want at most %v", round, took, refusedFor)
						}
						time.Sleep(time.Minute)
						mod.step()
					}
					refused := mod.vms[mod.leader].directory.Quarantined()
					if slices.Contains(refused, "sound") {
						t.Error("the request is refused at the end")
					}
				})
			})
		}
	}
}

// TestOtherCrashesPushNothingOut guards against a request that is let through again because a thousand others have crashed upstreams.
func TestOtherCrashesPushNothingOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mod := newCrashModel(t, fpdirectory.LevelCrashes)
		for mod.entry.Check(time.Now(), "bad") == nil || time.Since(mod.lastCrash) < time.Hour {
			if mod.entry.Check(time.Now(), "bad") == nil {
				mod.crash("bad")
			}
			time.Sleep(time.Second)
			mod.step()
		}
		for num := range 1000 {
			mod.crash(fmt.Sprint("other", num))
			mod.crash(fmt.Sprint("other", num))
			if num%100 == 0 {
				mod.lead(num / 100 % len(mod.vms))
			}
			time.Sleep(5 * time.Millisecond) // all are refused at once
			mod.step()
		}
		for range 120 {
			time.Sleep(time.Second)
			mod.step()
		}
		if err := mod.entry.Check(time.Now(), "bad"); err == nil {
			t.Error("the request is no longer refused")
		}
		refused := mod.vms[mod.leader].directory.Quarantined()
		if len(refused) != 1 || refused[0] != "bad" {
			t.Errorf("%d requests are refused, want only the one that has crashed most", len(refused))
		}
	})
}
