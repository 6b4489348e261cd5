package fpquarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/route/fpquarantine"
)

// TestTallyRefusalTimes guards against a request that crashes each upstream that runs it, is sent again, and is let through too
// often after its third crash; and against other requests in flight at the same upstreams that are refused for too long.
func TestTallyRefusalTimes(t *testing.T) {
	for _, tes := range []struct {
		lasting bool
		length  time.Duration
	}{
		{
			length: 5 * time.Minute,
		},
		{
			lasting: true,
			length:  24 * time.Hour,
		},
	} {
		var tal fpquarantine.Tally
		if tes.lasting {
			tal.SetLasting()
		}
		now := start
		sent, afterThird, refused := 0, 0, false
		for passed := time.Duration(0); passed < tes.length; passed += time.Second {
			now = start.Add(passed)
			for range tal.EndExpired(now) {
				refused = false
			}
			if refused {
				continue
			}
			if sent++; sent > 3 {
				afterThird++
			}
			refused = tal.RecordCrash(now, "bad", crash(fmt.Sprintf("u%d", sent), 1))
		}
		if afterThird > 3 {
			t.Errorf("the request reached %d upstreams after its third crash, want at most 3", afterThird)
		}
		tal.RecordCrash(now, "beside", crash("u8", 1))
		if !tal.RecordCrash(now, "beside", crash("u9", 1)) {
			t.Fatal("a request with two crashes is not refused")
		}
		served := false
		for passed := time.Duration(0); passed < 15*time.Second; passed += time.Second {
			for _, digest := range tal.EndExpired(now.Add(passed)) {
				served = served || digest == "beside"
			}
		}
		if !served {
			t.Error("a request with two crashes is refused for more than 15 s")
		}
	}
}

// TestCrashesAtOnceCountOnce guards against a request that many callers send, and that is refused for long or without an end because it was
// in flight at many upstreams that ended at once, as in a loss of power; and against a refusal that their late reports lengthen.
func TestCrashesAtOnceCountOnce(t *testing.T) {
	var tal fpquarantine.Tally
	tal.SetLasting()
	for num := range 30 {
		tal.RecordCrash(start.Add(time.Duration(num)*100*time.Millisecond), "popular", crash(fmt.Sprint("u", num), 1))
	}
	const refusedFor = 12 * time.Second
	if ended := tal.EndExpired(start.Add(refusedFor)); len(ended) != 1 {
		t.Fatalf("refused for more than %v after 30 crashes at once", refusedFor)
	}
	now := start.Add(time.Minute)
	if !tal.RecordCrash(now, "popular", crash("u30", 1)) {
		t.Error("not refused after a crash on probation")
	}
	if ended := tal.EndExpired(now.Add(time.Minute)); len(ended) != 1 {
		t.Error("refused for more than a minute after the first crash on probation")
	}
}

// TestTallyDistinctCrashes guards against a refusal after one crash that several VMs report, or of a request that was answered
// between two crashes. It also checks the bound of the number of requests and requests that an earlier leader refused.
func TestTallyDistinctCrashes(t *testing.T) {
	var tal fpquarantine.Tally
	if tal.RecordCrash(start, "one", crash("u0", 1)) || tal.RecordCrash(start, "one", crash("u0", 1)) {
		t.Error("refused after one crash that was reported twice")
	}
	tal.Clear("one")
	if tal.RecordCrash(start, "one", crash("u1", 1)) {
		t.Error("refused after one crash since an answer")
	}
	if !tal.RecordCrash(start, "one", crash("u1", 2)) || !tal.Clear("one") {
		t.Error("not refused after crashes of two incarnations")
	}
	for num := range 2 * fpquarantine.DefaultMaxSuspects {
		tal.RecordCrash(start.Add(time.Duration(num)), fmt.Sprint(num), crash("u0", 1))
	}
	if !tal.RecordCrash(start, fmt.Sprint(2*fpquarantine.DefaultMaxSuspects-1), crash("u1", 1)) {
		t.Error("the newest suspect was dropped")
	}
	if tal.RecordCrash(start, "0", crash("u1", 1)) {
		t.Error("the oldest suspect is stored beyond the bound")
	}
	tal.Adopt("old", fpquarantine.Record{
		Refused: true,
		Since:   start,
	})
	if !tal.RecordCrash(start, "old", crash("u5", 1)) {
		t.Error("a request that an earlier leader refused is not refused after a further crash")
	}
}
