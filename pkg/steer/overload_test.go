package steer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilacweir/lilacweir/pkg/httproute"
)

var began = time.Unix(1_000_000, 0)

func TestOverloadRefusesAfterTheTargetLatency(t *testing.T) {
	is := is.New(t)
	o := NewOverload()
	req := &Request{Service: &httproute.Service{Name: "llm"}, Route: &httproute.Route{TargetLatency: 600 * time.Millisecond}}
	is.True(!o.Refuses(req, began))
	is.True(!o.Refuses(req, began.Add(500*time.Millisecond)))
	is.True(o.Refuses(req, began.Add(700*time.Millisecond)))
	is.True(!o.Refuses(req, began.Add(700*time.Millisecond+2*episodeGap)))
}

// TestReturnAfterSpreadsCallersOverTheExpectedOverload also checks the bound, the share of
// their remaining time that callers are willing to wait.
func TestReturnAfterSpreadsCallersOverTheExpectedOverload(t *testing.T) {
	is := is.New(t)
	is.Equal(OverloadRetryAfter(0, time.Minute, 0), minRetryAfter/2)
	is.Equal(OverloadRetryAfter(4*time.Second, time.Minute, 0), 2*time.Second)
	is.Equal(OverloadRetryAfter(4*time.Second, time.Minute, 1), 6*time.Second)
	is.Equal(OverloadRetryAfter(time.Minute, 3*time.Second, 0.5), time.Second)
}

// TestOnlyMoreUrgentRequestsContend also checks that they do so only while they find no
// capacity.
func TestOnlyMoreUrgentRequestsContend(t *testing.T) {
	is := is.New(t)
	o := NewOverload()
	is.Equal(o.RecordLate("llm", 1, began), time.Duration(0))
	is.True(!o.Contended("llm", 1, began))
	is.True(o.Contended("llm", 2, began))
	is.True(!o.Contended("api", 2, began))
	is.True(!o.Contended("llm", 2, began.Add(2*episodeGap)))
	is.Equal(o.RecordLate("llm", 0, began.Add(episodeGap/2)), episodeGap/2)
	is.Equal(o.RecordLate("llm", 0, began.Add(3*episodeGap)), time.Duration(0))
}
