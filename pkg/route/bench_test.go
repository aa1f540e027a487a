package route_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

func TestPickAllocatesNothing(t *testing.T) {
	is := is.New(t)
	for _, size := range []int{3, 25, 200} {
		w := newWorld(size)
		w.fill(2)
		table := w.table()
		req := request("ra", "rb")
		allocations := testing.AllocsPerRun(200, func() {
			if _, refusal := w.pick(table, req); refusal != nil {
				t.Fatal(refusal)
			}
		})
		is.Equal(allocations, 0.0)
	}
}

func BenchmarkPick(b *testing.B) {
	for _, size := range []int{25, 100, 1000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			w := newWorld(size)
			w.fill(2)
			table := w.table()
			req := request("ra", "rb")
			b.ReportAllocs()
			for b.Loop() {
				req.Prefixes[1]++
				if _, refusal := w.pick(table, req); refusal != nil {
					b.Fatal(refusal)
				}
			}
		})
	}
}
