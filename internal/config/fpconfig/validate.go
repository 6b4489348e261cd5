// Package fpconfig validates the configuration that operators propose, and holds its replicated state.
package fpconfig

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/foxtailpulley/foxtailpulley/api/operator/fpoperator"
	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
)

// Bounds and defaults of the fields of a configuration. MinMaxDeadline and MaxMaxDeadline bound the field max_deadline.
const (
	DefaultSlots     = 4096
	MaxSlots         = 1 << 20
	MaxServices      = 1024
	MaxSchemaBytes   = 1 << 20
	MaxClaims        = 1 << 20
	MinRetention     = time.Minute
	MaxRetention     = 24 * time.Hour
	MaxHoldDown      = time.Hour
	MinMaxDeadline   = 10 * time.Millisecond
	MaxMaxDeadline   = 10 * time.Minute
	MaxRetryBudget   = 1.0
	MaxMinGain       = 1.0
	maxNameBytes     = 255
	maxDrainedNames  = 8192
	maxFaultsInError = 20
)

// Fault is one invalid field of a configuration.
type Fault struct {
	// Field is the JSON path of the field.
	Field string
	// Value is the refused value, as text.
	Value string
	// Accepted describes the accepted values.
	Accepted string
}

// String returns the fault on one line.
func (fau Fault) String() string {
	return fmt.Sprintf("%s = %s: accepted: %s", fau.Field, fau.Value, fau.Accepted)
}

// Validator finds the faults of a configuration. The zero value checks everything except the schema and the existence of the
// groups.
type Validator struct {
	// Schema returns the faults of the text of a schema, which must declare the named services. Nil: not checked.
	Schema func(schema string, services []string) []Fault
	// Groups are the names of the groups that may be homes. Empty: any name is accepted.
	Groups []string
}

// Faults returns all faults of next, including changes from old that are never allowed. Old is the configuration in force, or
// nil before the first one.
func (val Validator) Faults(old, next *fpoperator.Configuration) []Fault {
	var fas faults
	if size := len(next.GetSchema()); size > MaxSchemaBytes {
		fas.add("schema", fmt.Sprintf("%d bytes", size), "at most %d bytes", MaxSchemaBytes)
	}
	fas.duration("claimRetention", next.GetClaimRetention(), MinRetention, MaxRetention)
	if num := next.GetMaxClaims(); num > MaxClaims {
		fas.add("maxClaims", fmt.Sprint(num), "0 to %d", MaxClaims)
	}
	fas.fraction("retryBudget", next.GetRetryBudget(), MaxRetryBudget)
	fas.names("drainedUpstreams", next.GetDrainedUpstreams())
	fas.names("drainedVms", next.GetDrainedVms())
	if num := len(next.GetServices()); num > MaxServices {
		fas.add("services", fmt.Sprintf("%d entries", num), "at most %d entries", MaxServices)
	}
	var names []string
	for i, ser := range next.GetServices() {
		path := fmt.Sprintf("services[%d]", i)
		if slices.Contains(names, ser.GetName()) {
			fas.add(path+".name", quote(ser.GetName()), "a name that no other service has")
		}
		names = append(names, ser.GetName())
		val.service(&fas, path, ser)
	}
	fas.list = append(fas.list, ImmutableFaults(old, next)...)
	if val.Schema != nil {
		fas.list = append(fas.list, val.Schema(next.GetSchema(), names)...)
	}
	return fas.list
}

func (val Validator) service(fas *faults, path string, ser *fpoperator.Service) {
	if name := ser.GetName(); name == "" || len(name) > maxNameBytes {
		fas.add(path+".name", quote(name), "a full service name of 1 to %d bytes", maxNameBytes)
	}
	if ser.GetSlots() > MaxSlots {
		fas.add(path+".slots", fmt.Sprint(ser.GetSlots()), "0 (for %d) to %d", DefaultSlots, MaxSlots)
	}
	fas.fraction(path+".minGain", ser.GetMinGain(), MaxMinGain)
	fas.duration(path+".holdDown", ser.GetHoldDown(), 0, MaxHoldDown)
	fas.duration(path+".maxDeadline", ser.GetMaxDeadline(), MinMaxDeadline, MaxMaxDeadline)
	val.homes(fas, path, ser)
}

// homes checks that every slot has exactly one home.
func (val Validator) homes(fas *faults, path string, ser *fpoperator.Service) {
	slots := Slots(ser)
	type slotRange struct{ index, first, last uint32 }
	ranges := make([]slotRange, 0, len(ser.GetHomes()))
	for i, hom := range ser.GetHomes() {
		field := fmt.Sprintf("%s.homes[%d]", path, i)
		if name := hom.GetGroup(); name == "" || len(val.Groups) > 0 && !slices.Contains(val.Groups, name) {
			fas.add(field+".group", quote(name), "one of the groups %s", strings.Join(val.Groups, ", "))
		}
		if hom.GetFirstSlot() > hom.GetLastSlot() || hom.GetLastSlot() >= slots {
			fas.add(field+".lastSlot", fmt.Sprint(hom.GetLastSlot()), "firstSlot (%d) to %d", hom.GetFirstSlot(), slots-1)
			continue
		}
		ranges = append(ranges, slotRange{
			index: uint32(i),
			first: hom.GetFirstSlot(),
			last:  hom.GetLastSlot(),
		})
	}
	slices.SortFunc(ranges, func(a, b slotRange) int { return cmp.Compare(a.first, b.first) })
	next := uint32(0)
	for _, ran := range ranges {
		switch {
		case ran.first < next:
			fas.add(fmt.Sprintf("%s.homes[%d].firstSlot", path, ran.index), fmt.Sprint(ran.first),
				"at least %d, because the slots before it have a home", next)
		case ran.first > next:
			fas.add(path+".homes", fmt.Sprintf("no home for slots %d to %d", next, ran.first-1),
				"one home for every slot")
		}
		next = max(next, ran.last+1)
	}
	if next < slots {
		fas.add(path+".homes", fmt.Sprintf("no home for slots %d to %d", next, slots-1), "one home for every slot")
	}
}

// ImmutableFaults returns the faults of changes that are never allowed: those of the number of slots of a service and of the
// homes of its slots. Homes stay fixed until there is a protocol by which one group hands slots over to another; without it,
// two groups could grant the same slot.
func ImmutableFaults(old, next *fpoperator.Configuration) []Fault {
	var fas faults
	before := map[string]*fpoperator.Service{}
	for _, ser := range old.GetServices() {
		before[ser.GetName()] = ser
	}
	for i, ser := range next.GetServices() {
		previous := before[ser.GetName()]
		if previous == nil {
			continue
		}
		if Slots(previous) != Slots(ser) {
			fas.add(fmt.Sprintf("services[%d].slots", i), fmt.Sprint(ser.GetSlots()), "%d, which never changes", Slots(previous))
		}
		if !sameHomes(previous, ser) {
			fas.add(fmt.Sprintf("services[%d].homes", i), formatHomes(ser), "%s, since homes cannot be changed yet",
				formatHomes(previous))
		}
	}
	return fas.list
}

// Slots returns the number of slots of a service, with the default for 0.
func Slots(ser *fpoperator.Service) uint32 {
	if ser.GetSlots() == 0 {
		return DefaultSlots
	}
	return ser.GetSlots()
}

// AsError returns an error of kind InvalidConfiguration that lists the faults, at most maxFaultsInError of them. It returns nil
// for an empty list.
func AsError(list []Fault) error {
	if len(list) == 0 {
		return nil
	}
	var lines []string
	for _, fau := range list[:min(len(list), maxFaultsInError)] {
		lines = append(lines, fau.String())
	}
	if more := len(list) - len(lines); more > 0 {
		lines = append(lines, fmt.Sprintf("and %d more", more))
	}
	return fperror.New(fperror.InvalidConfiguration, "%s", strings.Join(lines, "; "))
}

type faults struct{ list []Fault }

func (fas *faults) add(field, value, accepted string, args ...any) {
	fas.list = append(fas.list, Fault{
		Field:    field,
		Value:    value,
		Accepted: fmt.Sprintf(accepted, args...),
	})
}

// duration refuses an invalid duration and one outside low to high. An unset one is accepted.
func (fas *faults) duration(field string, dur *durationpb.Duration, low, high time.Duration) {
	if dur == nil {
		return
	}
	if err := dur.CheckValid(); err != nil {
		fas.add(field, fmt.Sprintf("%ds %dns", dur.GetSeconds(), dur.GetNanos()), "%v to %v", low, high)
		return
	}
	if val := dur.AsDuration(); val < low || val > high {
		fas.add(field, val.String(), "%v to %v", low, high)
	}
}

// fraction refuses a value outside 0 to high, and NaN.
func (fas *faults) fraction(field string, val, high float64) {
	if !(val >= 0 && val <= high) {
		fas.add(field, fmt.Sprint(val), "0 to %v", high)
	}
}

// names refuses a list that is too long, and names that are empty, too long or repeated.
func (fas *faults) names(field string, names []string) {
	if len(names) > maxDrainedNames {
		fas.add(field, fmt.Sprintf("%d entries", len(names)), "at most %d entries", maxDrainedNames)
		return
	}
	seen := make(map[string]bool, len(names))
	for i, name := range names {
		if name == "" || len(name) > maxNameBytes || seen[name] {
			fas.add(fmt.Sprintf("%s[%d]", field, i), quote(name), "a name of 1 to %d bytes that is listed once",
				maxNameBytes)
		}
		seen[name] = true
	}
}

// quote returns a Go string literal with at most 80 characters of text.
func quote(text string) string { return fmt.Sprintf("%.80q", text) }
