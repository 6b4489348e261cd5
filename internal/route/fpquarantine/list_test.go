package fpquarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/route/fpquarantine"
)

var start = time.Unix(1000, 0)

func crash(upstream string, incarnation uint64) fpquarantine.Crash {
	return fpquarantine.Crash{
		Upstream:    upstream,
		Incarnation: incarnation,
	}
}

// TestRefusalAfterTwoDistinctCrashes guards against a request that is not refused after two crashes, and against a refusal
// after two reports of the same crash.
func TestRefusalAfterTwoDistinctCrashes(t *testing.T) {
	lis := fpquarantine.New(fpquarantine.Config{})
	lis.RecordCrash(start, "bad", crash("u0", 1))
	lis.RecordCrash(start, "bad", crash("u0", 1))
	if err := lis.Check(start, "bad"); err != nil {
		t.Errorf("refused after one crash: %v", err)
	}
	lis.RecordCrash(start, "bad", crash("u0", 2))
	if err := lis.Check(start, "bad"); !fperror.Is(err, fperror.Quarantined) {
		t.Errorf("not refused after crashes of two incarnations: %v", err)
	}
	if err := lis.Check(start, "other"); err != nil {
		t.Errorf("another request is refused: %v", err)
	}
	if err := lis.Check(start.Add(fpquarantine.DefaultRetention), "bad"); err != nil {
		t.Errorf("refused after the retention: %v", err)
	}
}

// TestReleasedRequestIsServed guards against a request that its group has released and that is still refused as a suspect of
// this VM.
func TestReleasedRequestIsServed(t *testing.T) {
	lis := fpquarantine.New(fpquarantine.Config{})
	lis.RecordCrash(start, "bad", crash("u0", 1))
	lis.RecordCrash(start, "bad", crash("u1", 1))
	lis.Replace("group", []string{"bad"})
	lis.Replace("other", nil)
	if err := lis.Check(start, "bad"); !fperror.Is(err, fperror.Quarantined) {
		t.Errorf("quarantined request is not refused: %v", err)
	}
	lis.Replace("group", nil)
	if err := lis.Check(start, "bad"); err != nil {
		t.Errorf("released request is refused: %v", err)
	}
}

// TestSuspectsAreBounded guards against memory that grows with the number of suspects.
func TestSuspectsAreBounded(t *testing.T) {
	lis := fpquarantine.New(fpquarantine.Config{
		MaxSuspects: 10,
	})
	for i := range 100 {
		lis.RecordCrash(start, fmt.Sprint(i), crash("u0", 1))
	}
	if _, suspects := lis.Len(); suspects > 10 {
		t.Errorf("%d suspects, the bound is 10", suspects)
	}
	if lis.CrashCount(start, "99") != 1 || lis.CrashCount(start, "0") != 0 {
		t.Error("the newest suspect was dropped instead of the oldest")
	}
}

// TestAnswersAfterCrashesCount guards against a request that is cleared by an answer that was on its way when an upstream crashed, or
// when its refusal ended; and against crashes that count after an answer.
func TestAnswersAfterCrashesCount(t *testing.T) {
	before, after := start.Add(-time.Second), start.Add(time.Second)
	for name, prepare := range map[string]func(lis *fpquarantine.List){
		"suspect":   func(lis *fpquarantine.List) { lis.RecordCrash(start, "bad", crash("u0", 1)) },
		"probation": func(lis *fpquarantine.List) { lis.Release(start, []string{"bad"}) },
		"probation, known for longer": func(lis *fpquarantine.List) {
			lis.Release(start, []string{"bad"})
			lis.Release(start.Add(time.Minute), []string{"bad", "other"})
		},
	} {
		lis := fpquarantine.New(fpquarantine.Config{})
		prepare(lis)
		if lis.Clear("bad", before) {
			t.Errorf("%s: cleared by an answer that was on its way", name)
		}
		if !lis.Clear("bad", after) || lis.Clear("bad", after) {
			t.Errorf("%s: not cleared once by an answer", name)
		}
		if got := lis.RecordCrash(after, "bad", crash("u1", 1)); got != 1 {
			t.Errorf("%s: %d crashes count after an answer and one crash", name, got)
		}
	}
}

// TestCrashOnProbationRefuses guards against a second attempt of a request that crashes an upstream after its refusal has ended.
func TestCrashOnProbationRefuses(t *testing.T) {
	lis := fpquarantine.New(fpquarantine.Config{})
	lis.Release(start, []string{"bad"})
	if err := lis.Check(start, "bad"); err != nil || !lis.OnProbation("bad") {
		t.Errorf("refused after the end of its refusal: %v", err)
	}
	lis.RecordCrash(start, "bad", crash("u0", 1))
	if err := lis.Check(start, "bad"); !fperror.Is(err, fperror.Quarantined) {
		t.Errorf("not refused after a crash on probation: %v", err)
	}
}

func ExampleDigest() {
	dig := fpquarantine.NewDigest("/pkg.Service/Method")
	fmt.Fprint(dig, "one ")
	fmt.Fprint(dig, "body")
	whole := fpquarantine.NewDigest("/pkg.Service/Method")
	fmt.Fprint(whole, "one body")
	fmt.Println(dig.String() == whole.String())
	// Output: true
}
