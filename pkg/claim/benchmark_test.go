package claim

import (
	"context"
	"crypto/rand"
	"fmt"
	"runtime"
	"testing"

	"github.com/lilacweir/lilacweir/pkg/board"
	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/control"
	"github.com/lilacweir/lilacweir/pkg/settings"
)

// benchmarkSizes are the numbers of stored records.
var benchmarkSizes = []int{1_000, 10_000, 100_000}

func benchmarkKey(owner *Owner, number int) Key {
	return Key{Origin: owner.self, Issued: owner.tables[owner.self].now(), Random: fmt.Sprintf("%016x", number)}
}

// newFilledOwner returns an owner with complete records of short answers.
func newFilledOwner(records int) (*Owner, []Key) {
	owner := NewOwner(ownOrigin, clock.System{}, fixedTTL, Limits{})
	keys := make([]Key, records)
	for i := range keys {
		keys[i] = benchmarkKey(owner, i)
		asked := claimOf(keys[i], "front-desk", fmt.Sprintf("%032x", i))
		owner.Begin(keys[i], asked)
		owner.Finish(keys[i], asked, answered)
	}
	return owner, keys
}

// BenchmarkRepeat answers repeats of complete requests.
func BenchmarkRepeat(b *testing.B) {
	for _, records := range benchmarkSizes {
		b.Run(fmt.Sprintf("records=%d", records), func(b *testing.B) {
			owner, keys := newFilledOwner(records)
			asked := make([]Claim, records)
			for i, key := range keys {
				asked[i] = claimOf(key, "front-desk", "other")
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				owner.Begin(keys[i%records], asked[i%records])
			}
		})
	}
}

// BenchmarkBeginFinish grants and ends attempts on a key that has a record, so that
// the number of records stays the same.
func BenchmarkBeginFinish(b *testing.B) {
	for _, records := range benchmarkSizes {
		b.Run(fmt.Sprintf("records=%d", records), func(b *testing.B) {
			owner, _ := newFilledOwner(records)
			key := benchmarkKey(owner, records)
			attempts := [2]Claim{claimOf(key, "front-desk", "a"), claimOf(key, "front-desk", "b")}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if owner.Begin(key, attempts[i%2]).Verdict != VerdictGranted {
					b.Fatal("not granted")
				}
				owner.Finish(key, attempts[i%2], notRun)
			}
		})
	}
}

// BenchmarkRecordMemory reports the heap size of a complete record with a body of 6
// bytes.
func BenchmarkRecordMemory(b *testing.B) {
	for _, records := range benchmarkSizes {
		b.Run(fmt.Sprintf("records=%d", records), func(b *testing.B) {
			for b.Loop() {
				before := heap()
				owner, _ := newFilledOwner(records)
				b.ReportMetric(float64(heap()-before)/float64(records), "B/record")
				runtime.KeepAlive(owner)
			}
		})
	}
}

func heap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkHandover exports all records and adopts them, without the network.
func BenchmarkHandover(b *testing.B) {
	for _, records := range benchmarkSizes {
		b.Run(fmt.Sprintf("records=%d", records), func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()
				owner, _ := newFilledOwner(records)
				successor := NewOwner(Origin{Domain: "hn-a", Instance: "hn-2", Incarnation: 1}, clock.System{}, fixedTTL, Limits{})
				b.StartTimer()
				transfer, parts, err := owner.Export("t", asDecider(successor))
				if err != nil || successor.adoptAll(transfer, parts) != FaultNone {
					b.Fatal("not adopted")
				}
				b.StopTimer()
				size := 0
				for _, part := range parts {
					size += gobSize(part)
				}
				b.ReportMetric(float64(size)/float64(records), "wireB/record")
				b.StartTimer()
			}
		})
	}
}

// BenchmarkCoordinator runs one claim from Begin to Finish over loopback, decided by
// the receiving gateway itself or by a peer over net/rpc. Each result is replicated
// to a peer.
func BenchmarkCoordinator(b *testing.B) {
	pair := newLoopbackPair(b)
	for asked, name := range []string{"decided=here", "decided=peer"} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				prefix, _ := pair[0].Prefix()
				key := fmt.Sprintf("%s.%015x%x", prefix, i, asked)
				grant, _, refusal := pair[asked].Begin(context.Background(), Claim{Key: key, Caller: "front-desk"})
				if grant == nil {
					b.Fatal(refusal)
				}
				grant.Finish(context.Background(), answered)
			}
		})
	}
}

// newLoopbackPair starts two gateways' claim services; the first decides.
func newLoopbackPair(b *testing.B) [2]*Coordinator {
	network, err := control.NewNetwork(settings.Security{PlaintextLoopback: true}, nil)
	if err != nil {
		b.Fatal(err)
	}
	members := &board.Members{}
	var pair [2]*Coordinator
	for i := range pair {
		server, err := control.NewServer(network, "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		self := Origin{Domain: "hn-a", Instance: fmt.Sprintf("hn-%d", i+1), Incarnation: uint64(i + 1)}
		clients := control.NewClients(network)
		pair[i] = New(Options{
			Self: self, Clock: clock.System{}, Random: rand.Reader, Peers: clients, TTL: fixedTTL,
			Limits:     Limits{MaxRecords: 10_000_000},
			Members:    func() *board.Members { return members },
			Domains:    func() *board.Domains { return nil },
			Background: func(work func()) { work() },
		})
		if err := server.Register(ServiceName, pair[i].Service()); err != nil {
			b.Fatal(err)
		}
		go server.Serve()
		b.Cleanup(func() { clients.Close(); _ = server.Close() })
		members.Instances = append(members.Instances, board.Instance{
			Name: self.Instance, Domain: self.Domain, Incarnation: self.Incarnation,
			State: board.InstanceLive, Addresses: board.Addresses{Control: server.Address()},
		})
	}
	return pair
}
