package fpsettings

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
)

// Fault is one invalid field of a settings or configuration file.
type Fault struct {
	field    string
	value    string
	accepted string
}

// NewFault returns a fault of the field at a path such as vms[2].roles, with its value and the accepted values as text.
func NewFault(field, value, accepted string) Fault {
	return Fault{
		field:    field,
		value:    value,
		accepted: accepted,
	}
}

// Field returns the path of the field, such as listeners.callers.address.
func (fau Fault) Field() string { return fau.field }

// Value returns the invalid value in JSON, shortened if it is long, or "(missing)" if the field is absent.
func (fau Fault) Value() string { return fau.value }

// Accepted describes the values that the field accepts.
func (fau Fault) Accepted() string { return fau.accepted }

// String returns the fault as one line.
func (fau Fault) String() string {
	return fmt.Sprintf("%s: %s; accepted: %s", fau.field, fau.value, fau.accepted)
}

// FaultError is an error with all faults of one file.
type FaultError struct {
	faults []Fault
}

// Error returns the number of faults, followed by one line per fault.
func (err *FaultError) Error() string {
	lines := []string{fmt.Sprintf("faults: %d", len(err.faults))}
	for _, fau := range err.faults {
		lines = append(lines, "  "+fau.String())
	}
	return strings.Join(lines, "\n")
}

// FaultsOf returns the faults of the FaultError in the chain of err, in the order in which they were found. It returns nil if
// there is none.
func FaultsOf(err error) []Fault {
	var found *FaultError
	if errors.As(err, &found) {
		return slices.Clone(found.faults)
	}
	return nil
}

// AsError returns an error of the given kind that names the file and wraps a FaultError with the faults. It returns nil if there
// are no faults.
func AsError(kin fperror.Kind, file string, faults []Fault) error {
	if len(faults) == 0 {
		return nil
	}
	cause := &FaultError{
		faults: slices.Clone(faults),
	}
	return fperror.Wrap(kin, cause, "%s", file)
}
