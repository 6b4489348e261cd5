package fpforward

import (
	"sync"
	"time"
)

const (
	// budgetBuckets is the number of buckets of the sliding window in which requests and retries are counted.
	budgetBuckets = 10
	// budgetFraction is the fraction of the permitted retries that the entry VMs use. The rest covers an uneven spread of
	// requests over the VMs and an outdated number of entry VMs.
	budgetFraction = 0.7
)

// retryBudget bounds the retries of one service on this VM. In each window, all entry VMs together may send a ratio of the
// requests, plus a fixed number extra, as retries. Each VM uses the ratio of its own requests and an equal share of extra,
// without coordination.
type retryBudget struct {
	ratio  float64
	extra  float64
	window time.Duration

	mutex    sync.Mutex
	requests [budgetBuckets]float64
	retries  [budgetBuckets]float64
	bucket   int64
}

// advance clears the buckets that have left the window and returns the position of the current one.
func (bud *retryBudget) advance(now time.Time) int {
	bucket := now.UnixNano() / int64(bud.window/budgetBuckets)
	if bucket < bud.bucket {
		// The clock was set back; the current bucket stays in use.
		bucket = bud.bucket
	}
	for num := bud.bucket + 1; num <= bucket && num <= bud.bucket+budgetBuckets; num++ {
		bud.requests[num%budgetBuckets] = 0
		bud.retries[num%budgetBuckets] = 0
	}
	bud.bucket = bucket
	return int(bucket % budgetBuckets)
}

// recordRequest counts a request of a caller.
func (bud *retryBudget) recordRequest(now time.Time) {
	bud.mutex.Lock()
	defer bud.mutex.Unlock()
	bud.requests[bud.advance(now)]++
}

// tryTake spends one retry if the budget allows it, and reports whether it did. entries is the number of entry VMs.
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
