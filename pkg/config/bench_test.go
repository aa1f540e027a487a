package config_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/lilacweir/lilacweir/pkg/config"
)

// sized returns a declaration with the given numbers of upstreams and callers,
// in three regions with one failure domain each.
func sized(upstreams, callers int) *config.Declaration {
	decl := &config.Declaration{
		Models:    []config.Model{{Name: "lilac-nurse", Versions: []config.ModelVersion{{Name: "v1", Percent: 100}}}},
		Operators: []config.Operator{{Name: "eleni", KeyHash: config.HashKey("key-eleni")}},
	}
	for r := range 3 {
		region := fmt.Sprintf("region-%d", r)
		decl.Regions = append(decl.Regions, config.Region{Name: region, Domains: []string{fmt.Sprintf("domain-%d", r)}})
		decl.Models[0].Regions = append(decl.Models[0].Regions, region)
	}
	for i := range upstreams {
		decl.Upstreams = append(decl.Upstreams, config.Upstream{
			Name: fmt.Sprintf("lilac-nurse-%05d", i), Kind: config.KindEngine, Serves: "lilac-nurse", Version: "v1",
			Domain: fmt.Sprintf("domain-%d", i%3), Address: fmt.Sprintf("127.10.%d.%d:9000", 100+i/250, 1+i%250), Concurrency: 8, ChecksFencing: true,
		})
	}
	for i := range callers {
		name := fmt.Sprintf("organisation-%05d", i)
		home := fmt.Sprintf("region-%d", i%3)
		decl.Callers = append(decl.Callers, config.Caller{Name: name, KeyHash: config.HashKey(name), Home: home, Regions: []string{home}})
	}
	return decl
}

// sizedHead returns a head with a full list of recent changes.
func sizedHead(b *testing.B, upstreams, callers int) *config.Head {
	b.Helper()
	head := &config.Head{Revision: 1, Declaration: sized(upstreams, callers)}
	if err := config.Validate(head.Declaration); err != nil {
		b.Fatal(err)
	}
	for i := range config.RecentLimit {
		op := drainOp(fmt.Sprintf("lilac-nurse-%05d", i%upstreams), i%2 == 0)
		after, inverse, err := config.Apply(head.Declaration, []config.Op{op})
		if err != nil {
			b.Fatal(err)
		}
		head.Revision++
		head.Declaration = after
		head.Recent = append(head.Recent, config.Change{
			ID: testID(head.Revision-1, i), Revision: head.Revision, Seen: head.Revision - 1, Operator: "eleni",
			At: testTime, Line: op.String(), Ops: []config.Op{op}, Inverse: inverse,
		})
	}
	return head
}

// forSizes runs a benchmark over upstreams with 60 callers, and over callers
// with 100 upstreams.
func forSizes(b *testing.B, run func(b *testing.B, head *config.Head)) {
	for _, upstreams := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("upstreams=%d", upstreams), func(b *testing.B) { run(b, sizedHead(b, upstreams, 60)) })
	}
	for _, callers := range []int{1, 60, 600} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) { run(b, sizedHead(b, 100, callers)) })
	}
}

func BenchmarkEncodeHead(b *testing.B) {
	forSizes(b, func(b *testing.B, head *config.Head) {
		var encoded []byte
		for b.Loop() {
			encoded, _ = config.EncodeHead(head)
		}
		plain, err := json.Marshal(head)
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(encoded)), "head-bytes")
		b.ReportMetric(float64(len(plain)), "json-bytes")
	})
}

func BenchmarkDecodeHead(b *testing.B) {
	forSizes(b, func(b *testing.B, head *config.Head) {
		encoded, err := config.EncodeHead(head)
		if err != nil {
			b.Fatal(err)
		}
		for b.Loop() {
			if _, err := config.DecodeHead(encoded); err != nil {
				b.Fatal(err)
			}
		}
	})
}

func BenchmarkApply(b *testing.B) {
	forSizes(b, func(b *testing.B, head *config.Head) {
		ops := []config.Op{drainOp("lilac-nurse-00003", true)}
		for b.Loop() {
			if _, _, err := config.Apply(head.Declaration, ops); err != nil {
				b.Fatal(err)
			}
		}
		change, err := json.Marshal(head.Recent[0])
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(change)), "change-bytes")
	})
}

// BenchmarkAdvance measures the cost of one change received as a delta.
func BenchmarkAdvance(b *testing.B) {
	forSizes(b, func(b *testing.B, head *config.Head) {
		before, ok := head.At(head.Revision - 1)
		if !ok {
			b.Fatal("no earlier declaration")
		}
		follower := &config.Head{Revision: head.Revision - 1, Declaration: before}
		delta, ok := head.Delta(head.Revision - 1)
		if !ok {
			b.Fatal("no delta")
		}
		for b.Loop() {
			if _, err := follower.Advance(delta); err != nil {
				b.Fatal(err)
			}
		}
	})
}

func BenchmarkNewIndex(b *testing.B) {
	forSizes(b, func(b *testing.B, head *config.Head) {
		for b.Loop() {
			if config.NewIndex(head.Declaration) == nil {
				b.Fatal("no index")
			}
		}
	})
}

func BenchmarkValidate(b *testing.B) {
	forSizes(b, func(b *testing.B, head *config.Head) {
		for b.Loop() {
			if err := config.Validate(head.Declaration); err != nil {
				b.Fatal(err)
			}
		}
	})
}
