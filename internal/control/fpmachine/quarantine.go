package fpmachine

import (
	"slices"

	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

const (
	// maxSuspects bounds the requests with one crash that are remembered; the oldest is forgotten first.
	maxSuspects = 4096
	// maxQuarantined bounds the list that every answer to a poll carries; the oldest entry is released first.
	maxQuarantined = 256
	// suspectMemory is how long a first crash counts, in milliseconds. A caller's resends end much earlier.
	suspectMemory = 15 * 60 * 1000
)

// crash is one process that went away while it ran a request.
type crash struct {
	Upstream    string
	Incarnation uint64
}

type suspect struct {
	Digest string
	First  crash
	AtMS   int64
}

// quarantine holds the requests that crashed upstreams. The zero value is empty.
type quarantine struct {
	suspects []suspect // oldest first
	list     []string  // quarantined digests, ordered
	age      []string  // the same digests, oldest first
}

// report counts a crash. It returns whether the request is quarantined, and whether this crash made it so. Only a crash
// of another upstream or another incarnation is a second one, since several VMs report the same crash.
func (qua *quarantine) report(cmd *fpwire.ReportCrash) (held, fresh bool) {
	digest := cmd.GetDigest()
	if _, found := slices.BinarySearch(qua.list, digest); found {
		return true, false
	}
	now := crash{
		Upstream:    cmd.GetUpstream(),
		Incarnation: cmd.GetUpstreamIncarnation(),
	}
	qua.suspects = slices.DeleteFunc(qua.suspects, func(sus suspect) bool {
		return cmd.GetNowMs()-sus.AtMS > suspectMemory
	})
	at := slices.IndexFunc(qua.suspects, func(sus suspect) bool { return sus.Digest == digest })
	if at < 0 {
		qua.suspects = append(qua.suspects, suspect{
			Digest: digest,
			First:  now,
			AtMS:   cmd.GetNowMs(),
		})
		if len(qua.suspects) > maxSuspects {
			qua.suspects = qua.suspects[1:]
		}
		return false, false
	}
	if qua.suspects[at].First == now {
		return false, false
	}
	qua.suspects = slices.Delete(qua.suspects, at, at+1)
	qua.add(digest)
	return true, true
}

func (qua *quarantine) add(digest string) {
	if len(qua.age) >= maxQuarantined {
		qua.lift(qua.age[0])
	}
	at, _ := slices.BinarySearch(qua.list, digest)
	qua.list = slices.Insert(qua.list, at, digest)
	qua.age = append(qua.age, digest)
}

// lift releases a request and forgets its crashes. It reports whether the request was quarantined.
func (qua *quarantine) lift(digest string) bool {
	at, found := slices.BinarySearch(qua.list, digest)
	if !found {
		return false
	}
	qua.list = slices.Delete(qua.list, at, at+1)
	qua.age = slices.DeleteFunc(qua.age, func(one string) bool { return one == digest })
	return true
}

type quarantineImage struct {
	Suspects []suspect
	Age      []string
}

func (qua *quarantine) image() quarantineImage {
	return quarantineImage{
		Suspects: qua.suspects,
		Age:      qua.age,
	}
}

func (qua *quarantine) restore(img quarantineImage) {
	qua.suspects = img.Suspects
	qua.age = img.Age
	qua.list = slices.Sorted(slices.Values(img.Age))
}
