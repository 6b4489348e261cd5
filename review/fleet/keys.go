package fleet

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// MaxKey is the highest key.
const MaxKey = 65535

// hold is a range of keys that a worker holds.
type hold struct {
	from, target int
	fence        uint64
	until        time.Time
}

// Keys are the keys that a worker holds. The zero value holds none.
type Keys struct {
	mutex sync.Mutex
	holds []hold
	// seen is the highest fence seen for each key that was granted or released.
	seen [MaxKey + 1]uint64
}

type order struct {
	From     int    `json:"from"`
	Target   int    `json:"target"`
	Fence    uint64 `json:"fence"`
	Hold     string `json:"hold_time"`
	Handover string `json:"handover"`
}

// remove removes the keys of a range. The caller holds the mutex.
func (kes *Keys) remove(from, target int) {
	var next []hold
	for _, one := range kes.holds {
		if one.target < from || one.from > target {
			next = append(next, one)
			continue
		}
		if one.from < from {
			left := one
			left.target = from - 1
			next = append(next, left)
		}
		if one.target > target {
			right := one
			right.from = target + 1
			next = append(next, right)
		}
	}
	kes.holds = next
}

// grant grants keys, and reports whether no higher fence was seen on them.
func (kes *Keys) grant(now time.Time, ord order, length time.Duration) bool {
	kes.mutex.Lock()
	defer kes.mutex.Unlock()
	for key := ord.From; key <= ord.Target; key++ {
		if kes.seen[key] > ord.Fence {
			return false
		}
	}
	for key := ord.From; key <= ord.Target; key++ {
		kes.seen[key] = ord.Fence
	}
	kes.remove(ord.From, ord.Target)
	kes.holds = append(kes.holds, hold{
		from:   ord.From,
		target: ord.Target,
		fence:  ord.Fence,
		until:  now.Add(length),
	})
	return true
}

func (kes *Keys) release(ord order) {
	kes.mutex.Lock()
	defer kes.mutex.Unlock()
	kes.remove(ord.From, ord.Target)
}

// Holds reports whether a key is held.
func (kes *Keys) Holds(now time.Time, key int) bool {
	kes.mutex.Lock()
	defer kes.mutex.Unlock()
	for _, one := range kes.holds {
		if one.from <= key && key <= one.target && now.Before(one.until) {
			return true
		}
	}
	return false
}

// Overlap returns the number of keys that two workers hold at the same time, and one of them.
func Overlap(now time.Time, one, other *Keys) (count, first int) {
	one.mutex.Lock()
	defer one.mutex.Unlock()
	other.mutex.Lock()
	defer other.mutex.Unlock()
	for _, lef := range one.holds {
		for _, rig := range other.holds {
			from, target := max(lef.from, rig.from), min(lef.target, rig.target)
			if from <= target && now.Before(lef.until) && now.Before(rig.until) {
				count += target - from + 1
				first = from
			}
		}
	}
	return count, first
}

// serveOrder handles grants and releases.
func (wor *Worker) serveOrder(wri http.ResponseWriter, req *http.Request) {
	var ord order
	if err := json.NewDecoder(req.Body).Decode(&ord); err != nil || ord.From < 0 || ord.Target > MaxKey || ord.From > ord.Target {
		wri.WriteHeader(http.StatusBadRequest)
		return
	}
	if req.URL.Path == "/release" {
		wor.Keys.release(ord)
		wor.Record.Printf("worker %s releases keys %d to %d, fence %d", wor.ID, ord.From, ord.Target, ord.Fence)
		wri.Header().Set("Foxtailpulley-Handover", fmt.Sprintf("%016x", ord.Fence))
		return
	}
	length, err := time.ParseDuration(ord.Hold)
	if err != nil {
		wri.WriteHeader(http.StatusBadRequest)
		return
	}
	taken := wor.Keys.grant(time.Now(), ord, length)
	wor.Record.Printf("worker %s is granted keys %d to %d, fence %d, for %v: %t", wor.ID, ord.From, ord.Target, ord.Fence, length, taken)
	if !taken {
		wri.WriteHeader(http.StatusConflict)
	}
}

// holdsKeyOf reports whether the worker holds the key of a request, or the request has none.
func (wor *Worker) holdsKeyOf(req *http.Request) bool {
	text := req.Header.Get("Foxtailpulley-Shard-Key")
	key, err := strconv.Atoi(text)
	return text == "" || err == nil && wor.Keys.Holds(time.Now(), key)
}
