package admission_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lilacweir/lilacweir/pkg/admission"
	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/config"
)

// Callers that always have work waiting receive their shares of the completed
// work, to within three requests of the largest size, whatever the request sizes.
func TestBackloggedCallersGetTheirShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		q := admission.NewQueue(clock.Func(func() time.Time { return now }))
		q.SetCapacity(pool, 1)
		shares := rapid.SliceOfN(rapid.IntRange(1, 4), 2, 5).Draw(t, "shares")
		const longest = 100
		served := make([]float64, len(shares))
		waiting := make([][]waitingEntry, len(shares))
		submit := func(caller int) {
			tk := ticket(fmt.Sprint(caller), rapid.IntRange(1, longest).Draw(t, "cost"))
			tk.Caller = &config.Caller{Name: fmt.Sprint(caller), Share: shares[caller]}
			if e, refusal := q.Submit(tk); refusal == nil {
				waiting[caller] = append(waiting[caller], waitingEntry{e, float64(tk.Cost)})
			}
		}
		for caller := range shares {
			submit(caller)
			submit(caller)
			submit(caller)
		}
		for range 200 {
			now = now.Add(10 * time.Millisecond)
			caller, at := granted(waiting)
			if caller < 0 {
				t.Fatal("a slot is free and requests wait, but none was granted")
			}
			e := waiting[caller][at]
			waiting[caller] = append(waiting[caller][:at:at], waiting[caller][at+1:]...)
			served[caller] += e.cost
			submit(caller)
			e.entry.Release()
		}
		for a := range shares {
			for b := range shares {
				gap := served[a]/float64(shares[a]) - served[b]/float64(shares[b])
				if gap > 3*longest {
					t.Fatalf("served %v for shares %v", served, shares)
				}
			}
		}
	})
}

type waitingEntry struct {
	entry *admission.Entry
	cost  float64
}

func granted(waiting [][]waitingEntry) (caller, at int) {
	for caller := range waiting {
		for at, e := range waiting[caller] {
			if isReady(e.entry) && e.entry.Refusal() == nil {
				return caller, at
			}
		}
	}
	return -1, -1
}

// While requests arrive, are cancelled and end, and the capacity changes, no slot
// stays free while a request waits, and no more requests run than the capacity.
func TestNoLostWakeUps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		q := admission.NewQueue(clock.Func(func() time.Time { return now }))
		capacity := rapid.IntRange(1, 4).Draw(t, "capacity")
		q.SetCapacity(pool, capacity)
		var live []*admission.Entry
		running := func() (count int) {
			for _, e := range live {
				if isReady(e) && e.Refusal() == nil {
					count++
				}
			}
			return count
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			before := running()
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				tk := ticket(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "caller"), 5)
				if rapid.Bool().Draw(t, "has deadline") {
					tk.Deadline = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "s")) * time.Second)
				}
				if e, refusal := q.Submit(tk); refusal == nil {
					live = append(live, e)
				}
			case 2:
				if len(live) > 0 {
					i := rapid.IntRange(0, len(live)-1).Draw(t, "which")
					live[i].Release()
					live = append(live[:i:i], live[i+1:]...)
				}
			case 3:
				capacity = rapid.IntRange(1, 4).Draw(t, "capacity")
				q.SetCapacity(pool, capacity)
			}
			after, waiting := running(), q.Waiting()[pool]
			if after > capacity && after > before {
				t.Fatalf("%d run of %d", after, capacity)
			}
			if waiting > 0 && after < capacity {
				t.Fatalf("%d wait although %d run of %d", waiting, after, capacity)
			}
		}
	})
}
