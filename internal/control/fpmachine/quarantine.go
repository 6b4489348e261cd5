package fpmachine

import (
	"slices"

	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

const (
	// maxSuspects is the number of requests with one crash that are recorded at most; the oldest is dropped first.
	maxSuspects = 4096
	// maxQuarantined is the number of requests that are quarantined at most; the oldest is released first. Every answer to
	// a poll carries the whole list.
	maxQuarantined = 256
	// suspectRetentionMS is how long a first crash counts, in milliseconds. A caller stops resending a request much earlier.
	suspectRetentionMS = 15 * 60 * 1000
)

// crash is the crash of one incarnation of an upstream while it ran a request.
type crash struct {
	Upstream    string
	Incarnation uint64
}

// suspect is a request, named by its digest, with which one crash was reported.
type suspect struct {
	Digest string
	First  crash
	AtMS   int64 // Unix milliseconds of the report
}

// quarantine holds the requests that crashed upstreams: suspects with one crash, and quarantined requests with two. The
// zero value is empty.
type quarantine struct {
	suspects []suspect // oldest first
	digests  []string  // quarantined digests in ascending order
	byAge    []string  // the same digests, oldest first
}

// report counts a crash. It returns whether the request is quarantined now, and whether this report caused it. Several VMs
// report the same crash, so only a crash of another upstream or of another incarnation counts as the second one.
func (qua *quarantine) report(cmd *fpwire.ReportCrash) (quarantined, added bool) {
	digest := cmd.GetDigest()
	if _, found := slices.BinarySearch(qua.digests, digest); found {
		return true, false
	}
	current := crash{
		Upstream:    cmd.GetUpstream(),
		Incarnation: cmd.GetUpstreamIncarnation(),
	}
	qua.suspects = slices.DeleteFunc(qua.suspects, func(sus suspect) bool {
		return cmd.GetNowMs()-sus.AtMS > suspectRetentionMS
	})
	index := slices.IndexFunc(qua.suspects, func(sus suspect) bool { return sus.Digest == digest })
	if index < 0 {
		qua.suspects = append(qua.suspects, suspect{
			Digest: digest,
			First:  current,
			AtMS:   cmd.GetNowMs(),
		})
		if len(qua.suspects) > maxSuspects {
			qua.suspects = qua.suspects[1:]
		}
		return false, false
	}
	if qua.suspects[index].First == current {
		return false, false
	}
	qua.suspects = slices.Delete(qua.suspects, index, index+1)
	qua.add(digest)
	return true, true
}

// add quarantines a request that is not quarantined yet, and releases the oldest one if the list is full.
func (qua *quarantine) add(digest string) {
	if len(qua.byAge) >= maxQuarantined {
		qua.lift(qua.byAge[0])
	}
	index, _ := slices.BinarySearch(qua.digests, digest)
	qua.digests = slices.Insert(qua.digests, index, digest)
	qua.byAge = append(qua.byAge, digest)
}

// lift releases a request, whose earlier crashes then no longer count. It reports whether the request was quarantined.
func (qua *quarantine) lift(digest string) bool {
	index, found := slices.BinarySearch(qua.digests, digest)
	if !found {
		return false
	}
	qua.digests = slices.Delete(qua.digests, index, index+1)
	qua.byAge = slices.DeleteFunc(qua.byAge, func(entry string) bool { return entry == digest })
	return true
}

// quarantineImage is the stored form of a quarantine.
type quarantineImage struct {
	Suspects []suspect
	Age      []string
}

func (qua *quarantine) image() quarantineImage {
	return quarantineImage{
		Suspects: qua.suspects,
		Age:      qua.byAge,
	}
}

func (qua *quarantine) restore(img quarantineImage) {
	qua.suspects = img.Suspects
	qua.byAge = img.Age
	qua.digests = slices.Sorted(slices.Values(img.Age))
}
