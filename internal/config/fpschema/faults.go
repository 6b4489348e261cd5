package fpschema

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"google.golang.org/protobuf/reflect/protoregistry"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
)

var errNotFound = protoregistry.NotFound

// fault is one error in a schema file.
type fault struct {
	line int
	text string
}

// faults collects the errors of a schema file, because an operator wants to see all of them at once.
type faults struct {
	all []fault
}

// add records a fault; line 0 stands for the whole file.
func (fau *faults) add(line int, format string, args ...any) {
	fau.all = append(fau.all, fault{
		line: line,
		text: fmt.Sprintf(format, args...),
	})
}

func (fau *faults) any() bool { return len(fau.all) > 0 }

// err returns an error of kind InvalidConfiguration with one line of text for each fault, ordered by line.
func (fau *faults) err() error {
	slices.SortStableFunc(fau.all, func(a, b fault) int {
		return cmp.Compare(a.line, b.line)
	})
	lines := make([]string, 0, len(fau.all))
	for _, item := range fau.all {
		lines = append(lines, fmt.Sprintf("%s:%d: %s", fileName, item.line, item.text))
	}
	return fperror.New(fperror.InvalidConfiguration, "%s", strings.Join(lines, "\n"))
}
