package fpretry_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/route/fpretry"
)

var start = time.Unix(1000, 0)

// failure returns the first failure of an idempotent request, with a minute left until the deadline.
func failure(now time.Time, kin fperror.Kind) fpretry.Failure {
	return fpretry.Failure{
		Kind:       kin,
		Idempotent: true,
		Attempts:   1,
		Deadline:   now.Add(time.Minute),
	}
}

// retrierWithBudget returns a retrier whose budget allows retries.
func retrierWithBudget() *fpretry.Retrier {
	ret := fpretry.New(fpretry.Config{})
	for range 1000 {
		ret.Success(start)
	}
	return ret
}

// TestBudgetRatio guards against more retries than 10% of the successes in any order of events.
func TestBudgetRatio(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ret := fpretry.New(fpretry.Config{})
		now := start
		successes, retries := 0, 0
		for range rapid.IntRange(1, 500).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "success") {
				successes++
				ret.Success(now)
			} else if ret.Decide(now, failure(now, fperror.ConnectFailed)).Retry() {
				retries++
			}
			if float64(retries) > fpretry.DefaultRetryRatio*float64(successes)+1e-6 {
				t.Fatalf("%d retries after %d successes", retries, successes)
			}
		}
	})
}

// TestAmplificationIsBounded guards against retries that have accumulated and are spent at once when all upstreams begin to
// fail: in each second of failure, after any time without failures, the attempts stay within 1.1 times the requests.
func TestAmplificationIsBounded(t *testing.T) {
	ret := fpretry.New(fpretry.Config{})
	now := start
	const perSecond = 1000
	for range 60 * perSecond {
		now = now.Add(time.Second / perSecond)
		ret.Success(now)
	}
	for second := range 5 {
		attempts := 0
		for range perSecond {
			now = now.Add(time.Second / perSecond)
			fai := failure(now, fperror.UpstreamLost)
			attempts++
			for ret.Decide(now, fai).Retry() {
				attempts++
				fai.Attempts++
			}
		}
		if float64(attempts) > 1.1*perSecond {
			t.Errorf("%d attempts for %d requests in second %d", attempts, perSecond, second)
		}
	}
}

// TestNoRetryAfterPossibleRun guards against a retry of a non-idempotent request that may have run, for every kind of error.
func TestNoRetryAfterPossibleRun(t *testing.T) {
	for _, kin := range fperror.Kinds() {
		fai := failure(start, kin)
		fai.Idempotent = false
		if retrierWithBudget().Decide(start, fai).Retry() && kin.Answer().Outcome() != fperror.NotRun {
			t.Errorf("%v is retried though the request may have run", kin)
		}
	}
}

// TestDecisionReasons checks the reason of each rule for retries.
func TestDecisionReasons(t *testing.T) {
	type edit func(*fpretry.Failure)
	for name, test := range map[string]struct {
		edit edit
		want fpretry.Reason
	}{
		"no reason against": {
			edit: func(*fpretry.Failure) {},
			want: fpretry.Retried,
		},
		"own refusal": {
			edit: func(fai *fpretry.Failure) { fai.Kind = fperror.Overloaded },
			want: fpretry.Final,
		},
		"part of the answer sent": {
			edit: func(fai *fpretry.Failure) { fai.Answered = true },
			want: fpretry.Final,
		},
		"last attempt": {
			edit: func(fai *fpretry.Failure) { fai.Attempts = fpretry.DefaultMaxAttempts },
			want: fpretry.TriesSpent,
		},
		"two lost connections": {
			edit: func(fai *fpretry.Failure) { fai.Kind, fai.LostConnections = fperror.UpstreamLost, 2 },
			want: fpretry.TriesSpent,
		},
		"push-back beyond the deadline": {
			edit: func(fai *fpretry.Failure) { fai.PushBack = 2 * time.Minute },
			want: fpretry.DeadlineTooNear,
		},
	} {
		fai := failure(start, fperror.UpstreamShed)
		test.edit(&fai)
		if got := retrierWithBudget().Decide(start, fai).Reason(); got != test.want {
			t.Errorf("%s: %v, want %v", name, got, test.want)
		}
	}
	fai := failure(start, fperror.UpstreamShed)
	fai.PushBack = time.Second
	if dec := retrierWithBudget().Decide(start, fai); dec.After() < time.Second {
		t.Errorf("retry after %v though the upstream asked for 1 s", dec.After())
	}
}
