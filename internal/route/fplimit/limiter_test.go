package fplimit_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/route/fplimit"
)

// TestCanceledWaitersReturnPermits guards against permits that are lost if the context of a waiting request ends while the
// request is being admitted.
func TestCanceledWaitersReturnPermits(t *testing.T) {
	lim := fplimit.New(fplimit.CoreConfig{
		Concurrency: 2,
	})
	var group sync.WaitGroup
	var peak, running atomic.Int64
	for i := range 2000 {
		group.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), time.Duration(i%7)*200*time.Microsecond)
			defer cancel()
			done, err := lim.Admit(ctx, fplimit.Call{
				Deadline: time.Now().Add(time.Minute),
			})
			if err != nil {
				return
			}
			if now := running.Add(1); now > peak.Load() {
				peak.Store(now)
			}
			time.Sleep(100 * time.Microsecond)
			running.Add(-1)
			done(fplimit.Result{})
			done(fplimit.Result{}) // a second call must not return a second permit
		})
	}
	group.Wait()
	if sta := lim.State(); sta.Running() != 0 || sta.Waiting() != 0 {
		t.Errorf("%d requests run and %d wait after all have ended, want none", sta.Running(), sta.Waiting())
	}
	if peak.Load() > 2 {
		t.Errorf("%d requests ran at once with a concurrency limit of 2", peak.Load())
	}
}

// TestWaitersStartAfterPushBack guards against requests that wait for ever because no request runs during a push-back.
func TestWaitersStartAfterPushBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lim := fplimit.New(fplimit.CoreConfig{
			Concurrency: 1,
		})
		done, err := lim.Admit(t.Context(), fplimit.Call{})
		if err != nil {
			t.Fatal(err)
		}
		done(fplimit.Result{
			Err:      fperror.New(fperror.UpstreamShed, "shed"),
			PushBack: 100 * time.Millisecond,
		})
		began := time.Now()
		done, err = lim.Admit(t.Context(), fplimit.Call{})
		if err != nil {
			t.Fatal(err)
		}
		done(fplimit.Result{})
		if waited := time.Since(began); waited != 100*time.Millisecond {
			t.Errorf("the request waited %v, want the push-back of 100 ms", waited)
		}
	})
}

// BenchmarkAdmit measures the admission of a request that does not wait, together with the end of its attempt.
func BenchmarkAdmit(b *testing.B) {
	lim := fplimit.New(fplimit.CoreConfig{
		Concurrency: 64,
	})
	cal := fplimit.Call{
		Caller:   "caller",
		Deadline: time.Now().Add(time.Hour),
	}
	for b.Loop() {
		done, err := lim.Admit(b.Context(), cal)
		if err != nil {
			b.Fatal(err)
		}
		done(fplimit.Result{})
	}
}
