package fpkeeper

import (
	"cmp"
	"math"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

const (
	// pieces is the number of upstreams that share the keys of a lost one.
	pieces = 3
	// defaultTime is the time of an answer in seconds when no upstream has given any.
	defaultTime = 0.1
	// leastPreference and mostPreference bound the part of its capacity that an upstream counts with because it is slower or
	// faster than usual.
	leastPreference = 0.6
	mostPreference  = 1.25
)

// firstPartition is what is known of the upstreams of a service that has no ranges yet.
type firstPartition struct {
	since, changed time.Time
	upstreams      int
}

// partition gives all keys to the upstreams of a service that has had none.
func (kee *Keeper) partition(now time.Time, vie View) []*fpstate.Range {
	var able []*fpstate.Upstream
	units := 0
	for _, ups := range vie.Upstreams {
		if !ups.GetLeaving() {
			able = append(able, ups)
			units += weight(ups)
		}
	}
	if len(able) == 0 {
		return nil
	}
	fir := kee.first[vie.Service]
	if fir == nil {
		fir = &firstPartition{
			since: now,
		}
		kee.first[vie.Service] = fir
	}
	if len(able) != fir.upstreams {
		fir.upstreams = len(able)
		fir.changed = now
	}
	if now.Sub(fir.changed) < settleTime && now.Sub(fir.since) < mostSettleTime {
		return nil
	}
	var ranges []*fpstate.Range
	passed, first := 0, uint32(0)
	for _, ups := range able {
		passed += weight(ups)
		end := uint32((MaxKey + 1) * passed / units)
		if end <= first {
			continue
		}
		ranges = append(ranges, holdBy(&fpstate.Range{
			First: first,
			Last:  end - 1,
		}, ups, ""))
		first = end
	}
	return ranges
}

func weight(ups *fpstate.Upstream) int { return max(1, int(ups.GetConcurrency())) }

// holdBy returns a range for a new holder; its fence is given when the change is applied.
func holdBy(ran *fpstate.Range, ups *fpstate.Upstream, handover string) *fpstate.Range {
	return &fpstate.Range{
		First:    ran.GetFirst(),
		Last:     ran.GetLast(),
		Upstream: ups.GetId(),
		Born:     ups.GetBorn(),
		Phase:    fpstate.Phase_PHASE_GRANTING,
		Handover: handover,
	}
}

// standing is the load of one upstream.
type standing struct {
	ups      *fpstate.Upstream
	rate     float64          // requests per second
	capacity float64          // requests per second
	ranges   []*fpstate.Range // that it serves
	incoming int              // ranges that are to move to the upstream or have been granted to it
	// stuck states that no move would relieve the upstream.
	stuck bool
}

// empty reports whether an upstream has no keys and gets none.
func (sta *standing) empty() bool { return len(sta.ranges) == 0 && sta.incoming == 0 }

func (sta *standing) use() float64 { return sta.rate / sta.capacity }

// standings returns the load of all upstreams of a service that may take keys, or that hold some.
func (kee *Keeper) standings(now time.Time, vie View) []*standing {
	loa := kee.Load(vie.Service)
	loa.age(now)
	byName := map[string]*standing{}
	var all []*standing
	usual := loa.usualTime(vie.Upstreams)
	for _, ups := range vie.Upstreams {
		seconds := loa.times[ups.GetId()]
		if seconds <= 0 {
			seconds = usual
		}
		// A slow upstream answers late even when no request waits there, so it is given less than it could take.
		preference := min(mostPreference, max(leastPreference, math.Sqrt(usual/seconds)))
		sta := &standing{
			ups:      ups,
			capacity: preference * float64(weight(ups)) / seconds,
		}
		byName[ups.GetId()] = sta
		all = append(all, sta)
	}
	for _, ran := range vie.Ranges {
		holder := byName[ran.GetUpstream()]
		if holder != nil && holder.ups.GetBorn() != ran.GetBorn() {
			holder = nil
		}
		load := loa.rate(ran.GetFirst(), ran.GetLast())
		next := byName[kee.targets[placeOf(vie.Service, ran)]]
		switch {
		case ran.GetPhase() == fpstate.Phase_PHASE_RELEASING && next != nil:
			next.rate += load
			next.incoming++
		case holder == nil:
		case ran.GetPhase() == fpstate.Phase_PHASE_SERVING:
			holder.rate += load
			holder.ranges = append(holder.ranges, ran)
		default:
			holder.rate += load
			holder.incoming++
		}
	}
	return all
}

// assign gives a free range to other upstreams than its last holder, if there are any.
func (kee *Keeper) assign(now time.Time, vie View, ran *fpstate.Range, handover string) []*fpstate.Range {
	others := slices.DeleteFunc(kee.standings(now, vie), func(sta *standing) bool {
		return sta.ups.GetLeaving() || sta.ups.GetId() == ran.GetUpstream() && sta.ups.GetBorn() == ran.GetBorn()
	})
	all := slices.DeleteFunc(slices.Clone(others), func(sta *standing) bool { return !kee.takesKeys(now, sta) })
	if len(all) == 0 {
		// When no upstream has answered of late, any of them is a better holder than none.
		all = others
	}
	if len(all) == 0 {
		return nil
	}
	slices.SortFunc(all, func(one, other *standing) int { return cmp.Compare(one.use(), other.use()) })
	if target := kee.targets[placeOf(vie.Service, ran)]; target != "" {
		for _, sta := range all {
			if sta.ups.GetId() == target {
				return []*fpstate.Range{holdBy(ran, sta.ups, handover)}
			}
		}
	}
	for _, sta := range all {
		// A new life of the holder, or an upstream that has joined, is to get keys before the others.
		if sta.ups.GetId() == ran.GetUpstream() && len(sta.ranges) == 0 {
			return []*fpstate.Range{holdBy(ran, sta.ups, handover)}
		}
	}
	var out []*fpstate.Range
	for pos, part := range kee.split(vie.Service, ran, min(pieces, len(all))) {
		out = append(out, holdBy(part, all[pos].ups, handover))
	}
	return out
}

// silent reports whether the grants of an upstream that holds ranges are all about to lapse.
func (kee *Keeper) silent(now time.Time, sta *standing) bool {
	if len(sta.ranges) == 0 {
		return false
	}
	for _, ran := range sta.ranges {
		if kee.lease(now, ran).bound.Sub(now) > kee.cfg.Hold-2*kee.cfg.Renewal {
			return false
		}
	}
	return true
}

// split cuts a range into parts of about the same load.
func (kee *Keeper) split(service string, ran *fpstate.Range, count int) []*fpstate.Range {
	const few = 64 // keys that are not worth a grant of their own unless they are hot
	loa := kee.Load(service)
	total := loa.rate(ran.GetFirst(), ran.GetLast())
	size := ran.GetLast() - ran.GetFirst() + 1
	if count < 2 || size < few*uint32(count) {
		return []*fpstate.Range{ran}
	}
	each := (total + 1) / float64(count)
	perKey := 1 / float64(size)
	var parts []*fpstate.Range
	first, sum := ran.GetFirst(), 0.0
	for key := ran.GetFirst(); key <= ran.GetLast(); key++ {
		sum += loa.key(key) + perKey
		if sum < each && key != ran.GetLast() || len(parts) == count-1 && key != ran.GetLast() {
			continue
		}
		part := proto.CloneOf(ran)
		part.First, part.Last = first, key
		parts = append(parts, part)
		first, sum = key+1, 0
	}
	return parts
}
