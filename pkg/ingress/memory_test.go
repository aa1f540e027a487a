package ingress

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

const mb = 1 << 20

// TestStalledRequestsLoseTheirMemoryToOthers guards against requests that are refused because of what clients hold
// that stopped sending.
func TestStalledRequestsLoseTheirMemoryToOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		memory := NewMemory(8*mb, 8*mb, time.Now)
		var ended []string
		begin := func(name string, size int64) *Receipt {
			r := memory.Begin(func() { ended = append(ended, name) })
			is.NoErr(r.Grow(size))
			return r
		}
		small := begin("small", mb/16)
		time.Sleep(time.Second)
		large := begin("large", 4*mb)
		arrived := begin("arrived", mb)
		is.NoErr(arrived.Complete())
		time.Sleep(time.Second)
		begin("arriving", mb/2)
		newest := memory.Begin(func() {})
		is.Equal(newest.Grow(4*mb), nil)
		// The large one held the most bytes for the longest time; what has arrived is kept.
		is.Equal(ended, []string{"large"})
		is.Equal(large.Complete(), ErrStalled)
		is.Equal(large.Grow(1), ErrStalled)
		is.NoErr(small.Complete())
		used, _ := memory.Used()
		large.Release()
		after, _ := memory.Used()
		is.Equal(used, after)
	})
}

// TestArrivingRequestsKeepTheirMemory guards against healthy requests that are cut off for a new one.
func TestArrivingRequestsKeepTheirMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		memory := NewMemory(8*mb, 8*mb, time.Now)
		slow := memory.Begin(func() { t.Error("a request that arrives was ended") })
		is.NoErr(slow.Grow(6 * mb))
		for range 10 {
			time.Sleep(stallTime / 2)
			slow.Progress()
		}
		newest := memory.Begin(func() {})
		is.Equal(newest.Grow(mb), ErrMemory)
		is.True(!memory.Admits(mb))
		slow.Release()
		is.True(memory.Admits(mb))
		is.NoErr(newest.Grow(mb))
	})
}

// TestSmallRequestsHaveAReserve guards against small requests that are refused while large ones run.
func TestSmallRequestsHaveAReserve(t *testing.T) {
	is := is.New(t)
	memory := NewMemory(8*mb, 8*mb, time.Now)
	for range 6 {
		large := memory.Begin(func() {})
		is.NoErr(large.Grow(mb))
		is.NoErr(large.Complete())
	}
	is.Equal(memory.Begin(func() {}).Grow(mb), ErrMemory)
	is.NoErr(memory.Begin(func() {}).Grow(smallRequest))
}

// TestOneLargestRequestHasRoom guards against a legal request that is refused in calm.
func TestOneLargestRequestHasRoom(t *testing.T) {
	is := is.New(t)
	memory := NewMemory(mb, 64*mb, time.Now)
	memory.Fit(16 * mb)
	is.True(memory.Admits(16 * mb))
	only := memory.Begin(func() {})
	is.NoErr(only.Grow(8 * mb))
	is.NoErr(only.Grow(16 * mb))
	memory.Fit(1000 * mb)
	_, limit := memory.Used()
	is.Equal(limit, int64(64*mb))
}

// TestHeadsCostWhatTheyTake guards against heads of short fields that take many times the memory of their bytes.
func TestHeadsCostWhatTheyTake(t *testing.T) {
	is := is.New(t)
	var ordinary headMeter
	needed, whole := ordinary.add([]byte("GET / HTTP/1.1\r\nHost: a\r\n"))
	is.True(needed == 0 && !whole)
	needed, whole = ordinary.add([]byte("\r\nbody\n\n"))
	is.True(needed == 0 && whole)
	var short headMeter
	total := int64(0)
	for range 1000 {
		needed, whole := short.add([]byte("a:\r\n"))
		is.True(!whole)
		total += needed
	}
	is.True(total+freeHead >= 1000*lineCost)
	var empty headMeter
	_, whole = empty.add([]byte("\r\n\r\nGET / HTTP/1.1\r\n"))
	is.True(!whole)
	_, whole = empty.add([]byte("\n"))
	is.True(whole)
}
