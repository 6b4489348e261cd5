package fpforward

import (
	"sync"
	"time"
)

const (
	// budgetSlots is the number of parts of the window in which requests and retries are counted.
	budgetBuckets = 10
	// budgetShare is the part of the bound that the entry VMs use. The rest covers an uneven spread of requests and an
	// outdated number of entry VMs.
	budgetFraction = 0.7
)

// budget bounds the retries of one service on this VM. All VMs together have a share of the requests in a window and a
// number on top; each VM takes its part of them without asking the others.
type retryBudget struct {
	ratio  float64
	extra  float64
	window time.Duration

	mutex    sync.Mutex
	requests [budgetBuckets]float64
	retries  [budgetBuckets]float64
	bucket   int64
}

// advance clears the parts of the window that have passed.
func (bud *retryBudget) advance(now time.Time) int {
	bucket := now.UnixNano() / int64(bud.window/budgetBuckets)
	if bucket < bud.bucket {
		// The clock was set back; the current part of the window goes on.
		bucket = bud.bucket
	}
	for num := bud.bucket + 1; num <= bucket && num <= bud.bucket+budgetBuckets; num++ {
		bud.requests[num%budgetBuckets] = 0
		bud.retries[num%budgetBuckets] = 0
	}
	bud.bucket = bucket
	return int(bucket % budgetBuckets)
}

// request counts a request of a caller.
func (bud *retryBudget) recordRequest(now time.Time) {
	bud.mutex.Lock()
	defer bud.mutex.Unlock()
	bud.requests[bud.advance(now)]++
}

// take spends one retry and reports whether the budget allows it, given the number of entry VMs.
func (bud *retryBudget) tryTake(now time.Time, entries uint32) bool {
	bud.mutex.Lock()
	defer bud.mutex.Unlock()
	pos := bud.advance(now)
	var requests, retries float64
	for num := range budgetBuckets {
		requests += bud.requests[num]
		retries += bud.retries[num]
	}
	if retries+1 > budgetFraction*(bud.ratio*requests+bud.extra/float64(max(1, entries))) {
		return false
	}
	bud.retries[pos]++
	return true
}
