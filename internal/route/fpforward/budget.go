package fpforward

import (
	"sync"
	"time"
)

const (
	// budgetBuckets is the number of buckets of the sliding window in which requests and retries are counted.
	budgetBuckets = 20
	// budgetRate is the fraction of the ratio at which retries may follow requests, and budgetBurst the fraction of the retries
	// permitted in a window that may be sent at once. In a window of which a part x has passed since the load fell to 1/k of what it
	// was, retries use at most budgetRate*x + budgetBurst*(k-(k-1)*x) of what is permitted, so 0.96 for any k up to 4.8. The largest
	// bursts have 2.2 times as many requests of one kind. With one bound for the window, 0.7 of it, the retries that a burst permits
	// could all be sent after its end.
	budgetRate  = 0.76
	budgetBurst = 0.2
	// budgetExtraFraction is the fraction of extra that the entry VMs use. The rest covers an outdated number of entry VMs, and VMs
	// that were replaced within a window.
	budgetExtraFraction = 0.7
)

// retryBudget bounds the retries of one service on this VM. In each window, all entry VMs together may send a ratio of the
// requests, plus a fixed number extra, as retries. Each VM uses the ratio of its own requests, however many these are, and an equal
// share of extra, without coordination.
type retryBudget struct {
	ratio  float64
	extra  float64
	window time.Duration

	mutex sync.Mutex
	// Retries are counted for one bucket more than the window has, because it may begin within a bucket.
	requests [budgetBuckets + 1]float64
	retries  [budgetBuckets + 1]float64
	bucket   int64
}

// advance clears the buckets that have left the window and returns the position of the current one.
func (bud *retryBudget) advance(now time.Time) int {
	bucket := now.UnixNano() / int64(bud.window/budgetBuckets)
	if bucket < bud.bucket {
		// The clock was set back; the current bucket stays in use.
		bucket = bud.bucket
	}
	for num := max(bud.bucket+1, bucket-budgetBuckets); num <= bucket; num++ {
		bud.requests[num%(budgetBuckets+1)] = 0
		bud.retries[num%(budgetBuckets+1)] = 0
	}
	bud.bucket = bucket
	return int(bucket % (budgetBuckets + 1))
}

// recordRequest counts a request of a caller.
func (bud *retryBudget) recordRequest(now time.Time) {
	bud.mutex.Lock()
	defer bud.mutex.Unlock()
	bud.requests[bud.advance(now)]++
}

// tryTake spends one retry if the budget allows it, and reports whether it did. entries is the number of entry VMs, and reserve the
// fraction of the budget that has to be left for more urgent requests.
func (bud *retryBudget) tryTake(now time.Time, entries uint32, reserve float64) bool {
	bud.mutex.Lock()
	defer bud.mutex.Unlock()
	pos := bud.advance(now)
	var total float64
	for num := range budgetBuckets {
		total += bud.requests[bud.position(num)]
	}
	share := 1 - reserve
	extra := budgetExtraFraction * bud.extra / float64(max(1, entries))
	burst := budgetBurst*bud.ratio*total + extra
	whole := (budgetRate+budgetBurst)*bud.ratio*total + extra
	// In each time that ends now, the retries must stay within the rate and one burst. A time that begins within a bucket may have all
	// of its retries and none of its requests. A single retry needs only a window that permits it.
	var requests, retries float64
	for num := range budgetBuckets + 1 {
		retries += bud.retries[bud.position(num)]
		permitted := max(budgetRate*bud.ratio*requests+burst, min(1, whole))
		if retries+1 > share*permitted && !(retries == 0 && share*whole >= 1) {
			return false
		}
		requests += bud.requests[bud.position(num)]
	}
	bud.retries[pos]++
	return true
}

// position returns the position of the bucket that is a number of buckets old.
func (bud *retryBudget) position(age int) int {
	return int((bud.bucket - int64(age)) % (budgetBuckets + 1))
}
