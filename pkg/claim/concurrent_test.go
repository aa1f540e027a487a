package claim

import (
	"fmt"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// TestKeyIsGrantedOnceDuringHandover claims each key from many goroutines while the
// owner hands over. Exactly one claim is granted, by the owner or by its successor.
func TestKeyIsGrantedOnceDuringHandover(t *testing.T) {
	is := is.New(t)
	const keys, askers = 200, 8
	p := newHandoverPair()
	var granted [keys][askers]bool
	var workers sync.WaitGroup
	for asker := range askers {
		workers.Go(func() {
			for i := range keys {
				key := keyAt(p.old.self, epoch, fmt.Sprintf("%016x", i))
				granted[i][asker] = p.old.Begin(key, claimOf(key, "desk", fmt.Sprint(asker))).Verdict == VerdictGranted
			}
		})
	}
	var transfer *Transfer
	var parts []Part
	var err error
	workers.Go(func() { transfer, parts, err = p.old.Export("t", asDecider(p.next)) })
	workers.Wait()
	is.NoErr(err)
	is.Equal(p.next.adoptAll(transfer, parts), FaultNone)
	for i := range keys {
		key := keyAt(p.old.self, epoch, fmt.Sprintf("%016x", i))
		grants := 0
		for _, one := range granted[i] {
			if one {
				grants++
			}
		}
		if p.next.Begin(key, claimOf(key, "desk", "late")).Verdict == VerdictGranted {
			grants++
		}
		is.Equal(grants, 1) // by the old owner or by the successor, never both
	}
}
