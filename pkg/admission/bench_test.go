package admission_test

import (
	"fmt"
	"testing"

	"github.com/lilacweir/lilacweir/pkg/admission"
)

// BenchmarkQueue submits and releases one request of each caller, which measures
// fair queueing with that many callers waiting at once.
func BenchmarkQueue(b *testing.B) {
	for _, callers := range []int{1, 10, 60, 200, 600} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			q := newQueue(callers)
			tickets := make([]admission.Ticket, callers)
			for i := range tickets {
				tickets[i] = ticket(fmt.Sprintf("organisation-%03d", i), 10)
			}
			entries := make([]*admission.Entry, callers)
			b.ReportAllocs()
			for b.Loop() {
				for i := range tickets {
					entry, refusal := q.Submit(tickets[i])
					if refusal != nil {
						b.Fatal(refusal)
					}
					entries[i] = entry
				}
				for _, entry := range entries {
					entry.Release()
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(callers), "ns/request")
		})
	}
}
