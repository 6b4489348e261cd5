package fprate

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

// BenchmarkAcquire measures one call of the leader in a deployment with 4,000 entry VMs and four limited upstreams: CPU time, and
// the bytes of request and response without HTTP headers. Without limits the call only records the contact.
func BenchmarkAcquire(bmk *testing.B) {
	for _, limits := range []int{0, 4} {
		bmk.Run(fmt.Sprintf("limits=%d", limits), func(bmk *testing.B) {
			const entries = 4000
			poo := NewPool()
			now := time.Now()
			var asks []Ask
			for num := range limits {
				inc := Incarnation{
					ID:   fmt.Sprint("upstream-", num),
					Born: 1,
				}
				poo.Merge(now, inc, Statement{
					Limited:   true,
					PerSecond: 100,
					At:        now,
				})
				asks = append(asks, Ask{
					Incarnation: inc,
					Urgent:      1,
				})
			}
			var names []string
			for num := range entries {
				names = append(names, fmt.Sprint("entry-", num))
			}
			bytes := 0
			for num := 0; bmk.Loop(); num++ {
				at := now.Add(time.Duration(num) * time.Second / 13333)
				grants := poo.Acquire(at, names[num%entries], entries, asks)
				req := &fpstate.ReportRequest{
					Asks: EncodeAsks(asks),
				}
				res := &fpstate.ReportResponse{
					Leads:  true,
					Rates:  EncodeStatements(at, poo.Statements()),
					Grants: EncodeGrants(grants),
				}
				bytes = proto.Size(req) + proto.Size(res)
			}
			bmk.ReportMetric(float64(bytes), "B/call")
		})
	}
}
