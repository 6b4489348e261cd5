package fpsettings

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
)

// Fault is one rejected field.
type Fault struct {
	field    string
	value    string
	accepted string
}

// NewFault returns a fault of the field at a path such as vms[2].roles.
func NewFault(field, value, accepted string) Fault {
	return Fault{
		field:    field,
		value:    value,
		accepted: accepted,
	}
}

// Field returns the path of the field, such as listeners.callers.address.
func (fau Fault) Field() string { return fau.field }

// Value returns the rejected value in its JSON form, or (missing).
func (fau Fault) Value() string { return fau.value }

// Accepted describes the values that the field accepts.
func (fau Fault) Accepted() string { return fau.accepted }

// String returns the fault as one line.
func (fau Fault) String() string {
	return fmt.Sprintf("%s: %s; accepted: %s", fau.field, fau.value, fau.accepted)
}

// FaultError holds all faults of one file.
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

// FaultsOf returns the faults that err carries, in the order of the file's fields.
func FaultsOf(err error) []Fault {
	var found *FaultError
	if errors.As(err, &found) {
		return slices.Clone(found.faults)
	}
	return nil
}

// AsError returns nil for no faults, and else an error of the given kind that carries them all.
func AsError(kin fperror.Kind, file string, faults []Fault) error {
	if len(faults) == 0 {
		return nil
	}
	cause := &FaultError{
		faults: slices.Clone(faults),
	}
	return fperror.Wrap(kin, cause, "%s", file)
}
