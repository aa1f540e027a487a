package route_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/lilacweir/lilacweir/pkg/board"
)

func TestPickDoesNotAllocate(t *testing.T) {
	is := is.New(t)
	for _, size := range []int{3, 25, 200} {
		w := newHarness(size)
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
	for _, size := range []int{10, 25, 100, 1000} {
		b.Run(fmt.Sprintf("upstreams=%d", size), func(b *testing.B) {
			w := newHarness(size)
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

// BenchmarkCompile compiles a table from so many local upstreams.
func BenchmarkCompile(b *testing.B) {
	for _, size := range []int{10, 25, 100, 1000} {
		b.Run(fmt.Sprintf("upstreams=%d", size), func(b *testing.B) {
			w := newHarness(size)
			b.ReportAllocs()
			for b.Loop() {
				w.table()
			}
		})
	}
}

// BenchmarkCompileRemote compiles a table from 25 local upstreams and the digests of so
// many other failure domains with five pools each.
func BenchmarkCompileRemote(b *testing.B) {
	for _, domains := range []int{1, 5, 10, 20, 41} {
		b.Run(fmt.Sprintf("domains=%d", domains), func(b *testing.B) {
			w := newHarness(25)
			w.input.Domains = &board.Domains{}
			for i := range domains {
				digest := digestOf(fmt.Sprintf("domain-%02d", i), "rb", 8)
				for p := range 4 {
					pool := digest.Pools[0]
					pool.Serves = fmt.Sprintf("m-%d", p)
					digest.Pools = append(digest.Pools, pool)
				}
				w.input.Domains.Remote = append(w.input.Domains.Remote, digest)
			}
			b.ReportAllocs()
			for b.Loop() {
				w.table()
			}
		})
	}
}
