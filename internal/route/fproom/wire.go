package fproom

import (
	"slices"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

// EncodeUses returns uses for the leader.
func EncodeUses(uses []Use) []*fpstate.PlaceUse {
	var all []*fpstate.PlaceUse
	for _, use := range uses {
		one := &fpstate.PlaceUse{
			Upstream: use.Incarnation.ID,
			Born:     use.Incarnation.Born,
			InFlight: uint32(max(0, use.InFlight)),
			Unused:   uint32(max(0, use.Unused)),
			Waiting:  encodeClasses(use.Waiting),
			Full:     use.Full,
		}
		if use.LoadAge >= 0 {
			one.Load, one.LoadAge = uint32(max(0, use.Load)), durationpb.New(use.LoadAge.Truncate(time.Millisecond))
		}
		if use.Mean > 0 {
			one.Mean = durationpb.New(use.Mean.Truncate(time.Millisecond))
		}
		if use.Objective > 0 {
			one.Objective = durationpb.New(use.Objective)
		}
		all = append(all, one)
	}
	return all
}

// DecodeUses is the reverse of EncodeUses. Numbers and times that no VM reports are bounded.
func DecodeUses(uses []*fpstate.PlaceUse) []Use {
	all := make([]Use, 0, len(uses))
	for _, use := range uses {
		one := Use{
			Incarnation: Incarnation{
				ID:   use.GetUpstream(),
				Born: use.GetBorn(),
			},
			InFlight:  decodeCount(use.GetInFlight()),
			Unused:    decodeCount(use.GetUnused()),
			Waiting:   decodeClasses(use.GetWaiting()),
			Load:      decodeCount(use.GetLoad()),
			LoadAge:   -1,
			Full:      use.GetFull(),
			Mean:      max(0, use.GetMean().AsDuration()),
			Objective: max(0, use.GetObjective().AsDuration()),
		}
		if use.GetLoadAge() != nil {
			one.LoadAge = max(0, use.GetLoadAge().AsDuration())
		}
		all = append(all, one)
	}
	return all
}

// EncodeGrants returns grants for an entry VM.
func EncodeGrants(grants []Grant) []*fpstate.PlaceGrant {
	var all []*fpstate.PlaceGrant
	for _, gra := range grants {
		one := &fpstate.PlaceGrant{
			Upstream: gra.Incarnation.ID,
			Born:     gra.Incarnation.Born,
			Granted:  encodeClasses(gra.Granted),
		}
		if gra.Wait > 0 {
			one.Wait = durationpb.New(gra.Wait.Truncate(time.Millisecond))
		}
		all = append(all, one)
	}
	return all
}

// DecodeGrants is the reverse of EncodeGrants.
func DecodeGrants(grants []*fpstate.PlaceGrant) []Grant {
	all := make([]Grant, 0, len(grants))
	for _, gra := range grants {
		all = append(all, Grant{
			Incarnation: Incarnation{
				ID:   gra.GetUpstream(),
				Born: gra.GetBorn(),
			},
			Granted: decodeClasses(gra.GetGranted()),
			Wait:    min(maxRetryAfter, max(0, gra.GetWait().AsDuration())),
		})
	}
	return all
}

// encodeClasses returns the numbers without the last ones that are 0.
func encodeClasses(counts [classes]int) []uint32 {
	var all []uint32
	for class, count := range slices.Backward(counts[:]) {
		if count > 0 {
			all = make([]uint32, class+1)
			break
		}
	}
	for class := range all {
		all[class] = uint32(max(0, counts[class]))
	}
	return all
}

// decodeClasses adds the numbers of classes that this build does not know to the last one.
func decodeClasses(counts []uint32) [classes]int {
	var all [classes]int
	for class, count := range counts {
		all[min(class, classes-1)] += decodeCount(count)
	}
	return all
}

// maxCount bounds a number in a message.
const maxCount = 10_000

func decodeCount(count uint32) int { return int(min(count, maxCount)) }
