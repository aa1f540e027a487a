package edge

import (
	"net/http"
	"testing"
	"time"

	"github.com/lilacweir/lilacweir/pkg/httproute"
	"github.com/lilacweir/lilacweir/pkg/outcome"
)

// TestAQueueIsServedForTheLengthOfATargetAndThenRefused at once, with a time to return that
// grows with the overload.
func TestAQueueIsServedForTheLengthOfATargetAndThenRefused(t *testing.T) {
	b := newBed(t, safe)
	j := &job{Edge: b.edge, service: &httproute.Service{Name: testService}, route: &httproute.Route{TargetLatency: time.Hour}}
	b.is.True(!j.refuses())
	j.route.TargetLatency = time.Nanosecond
	b.is.True(j.refuses())
	j.sends = 1
	b.is.True(!j.refuses())
}

// TestCallersAreSpreadOverTheTimeThatAnOverloadIsExpectedToLast, as far as they honour it.
func TestCallersAreSpreadOverTheTimeThatAnOverloadIsExpectedToLast(t *testing.T) {
	b := newBed(t, safe)
	for range 200 {
		short := returnAfter(0, time.Minute)
		b.is.True(short >= leastReturn/2 && short <= 3*leastReturn/2)
		long := returnAfter(4*time.Second, time.Minute)
		b.is.True(long >= 2*time.Second && long <= 6*time.Second)
		b.is.True(returnAfter(time.Minute, 3*time.Second) <= time.Second)
	}
}

// TestOnlyMoreUrgentRequestsContend, and only while they find no room.
func TestOnlyMoreUrgentRequestsContend(t *testing.T) {
	b := newBed(t, safe)
	o, now := newOverload(), time.Now()
	b.is.Equal(o.late("llm", 1, now), time.Duration(0))
	b.is.True(!o.contended("llm", 1, now))
	b.is.True(o.contended("llm", 2, now))
	b.is.True(!o.contended("api", 2, now))
	b.is.True(!o.contended("llm", 2, now.Add(2*episodePause)))
	b.is.Equal(o.late("llm", 0, now.Add(episodePause/2)), episodePause/2)
	b.is.Equal(o.late("llm", 0, now.Add(3*episodePause)), time.Duration(0))
}

// TestARegionIsFullOnlyByTheWordOfItsInstance: one that leaves says nothing of the region.
func TestARegionIsFullOnlyByTheWordOfItsInstance(t *testing.T) {
	b := newBed(t, safe)
	c := &call{job: &job{Edge: b.edge}}
	c.regionFull = true
	b.is.Equal(c.regionVerdict(notRun).String(), "rejected")
	c.regionFull = false
	b.is.Equal(c.regionVerdict(notRun).String(), "abandoned")
	b.is.Equal(c.regionVerdict(done).String(), "succeeded")
}

// TestAForwardedRequestThatIsRefusedSaysWhy, so that its sender can tell.
func TestAForwardedRequestThatIsRefusedSaysWhy(t *testing.T) {
	b := newBed(t, safe)
	reply := b.askAt(b.peers.URL, http.MethodGet, "/r/", "")
	b.is.Equal(reply.header.Get("X-Lilacweir-Reason"), string(outcome.ReasonNoUpstream))
	b.is.Equal(b.ask(http.MethodGet, "/r/", "").header.Get("X-Lilacweir-Reason"), "")
}
