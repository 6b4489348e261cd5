package fperror_test

import (
	"fmt"
	"testing"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
)

// TestTableIsComplete guards against a kind without an answer or with the name of another one, and against an answer that allows
// another upstream for a request that may have run.
func TestTableIsComplete(t *testing.T) {
	seen := map[string]bool{}
	for _, kin := range fperror.Kinds() {
		ans := kin.Answer()
		if ans.Name() == "" || ans.Code() == 0 {
			t.Errorf("the answer for kind %d has no name or no code", kin)
		}
		if seen[ans.Name()] {
			t.Errorf("two kinds have the name %q", ans.Name())
		}
		seen[ans.Name()] = true
		if ans.RetryElsewhere() && ans.Outcome() != fperror.NotRun {
			t.Errorf("kind %v allows another upstream though the request may have run", kin)
		}
		if parsed, ok := fperror.Parse(ans.Name()); !ok || parsed != kin {
			t.Errorf("Parse(%q) = %v, %v", ans.Name(), parsed, ok)
		}
	}
}

func ExampleKindOf() {
	err := fmt.Errorf("forward: %w", fperror.New(fperror.ConnectFailed, "dial 127.0.0.1:9: refused"))
	kin := fperror.KindOf(err)
	fmt.Println(kin, kin.Answer().Outcome())
	// Output: connectFailed notRun
}
