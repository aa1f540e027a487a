package edge

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/lilacweir/lilacweir/pkg/event"
	"github.com/lilacweir/lilacweir/pkg/exchange"
	"github.com/lilacweir/lilacweir/pkg/header"
	"github.com/lilacweir/lilacweir/pkg/httproute"
	"github.com/lilacweir/lilacweir/pkg/origin"
	"github.com/lilacweir/lilacweir/pkg/outcome"
	"github.com/lilacweir/lilacweir/pkg/steer"
)

// resumes reports whether the caller takes up a stream that an earlier attempt began.
func (j *job) resumes() bool {
	return j.route.Kind == httproute.Streaming && (j.attributes.ResumeAfter != "" || j.attributes.Resumes != "")
}

// pinOrigin finds out which service and software version began the stream that the caller takes
// up. If that is not known, the stream is refused: no other version can go on with it.
func (j *job) pinOrigin(ctx context.Context) *outcome.Refusal {
	if !j.resumes() {
		return nil
	}
	answer := j.findOrigin(ctx)
	j.counts.streamResumed(answer.Source)
	j.logOrigin(&answer)
	if answer.Source == origin.Unknown {
		return j.originUnknownRefusal(&answer)
	}
	j.origin = &answer.Origin
	if answer.Origin.Service != j.service.Name {
		return j.useService(answer.Origin.Service)
	}
	return nil
}

// findOrigin returns the origin of the stream as the forwarding instance knows it, or as this one
// can find out.
func (j *job) findOrigin(ctx context.Context) origin.Answer {
	if text := j.request.Header.Get(header.StreamOrigin); j.forwarded && text != "" {
		// An unreadable one is treated as absent.
		if known, err := origin.Parse(text); err == nil {
			return origin.Answer{Origin: known, Source: origin.Forwarded}
		}
	}
	first := j.attributes.Resumes
	if first == "" {
		first = j.attributes.RequestID
	}
	// A route with several services picks by the ID of the attempt.
	service := j.route.Pick(hash(first))
	return j.origins.Find(ctx, first, service, j.formerPatience(), j.deadline.Sub(j.now()))
}

// maxPatience bounds the time for which a stream may be taken up: records are held, and other
// versions excluded, for that long.
const maxPatience = 10 * time.Minute

// patience returns the longest time for which the caller may wait for a stream, over all its
// attempts.
func (j *job) patience() time.Duration {
	known := max(j.attributes.Deadline, j.route.Timeout)
	if j.attributes.Deadline == 0 {
		known = max(known, maxRequestTime)
	}
	return min(known, maxPatience)
}

// minBeginnings is the number of streams that must have begun on a route before the time for which its callers wait
// counts as known.
const minBeginnings = 20

// beginnings counts the streams that have begun here, by route. It is safe for concurrent use.
type beginnings struct {
	mu      sync.Mutex
	byRoute map[string]int
}

func (b *beginnings) add(route string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.byRoute == nil {
		b.byRoute = make(map[string]int)
	}
	b.byRoute[route]++
}

func (b *beginnings) suffice(route string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.byRoute[route] >= minBeginnings
}

// formerPatience returns the longest time for which the caller of a stream that is taken up may have waited since it
// began. The caller tells only what is left. Other callers of the route told all of it when their streams began, but not
// to an instance that has started since.
func (j *job) formerPatience() time.Duration {
	if j.beginnings.suffice(j.route.Name) {
		return j.patience()
	}
	return max(j.patience(), maxRequestTime)
}

// useService makes the request use the service that began its stream, which a route with several
// may not have picked for this attempt.
func (j *job) useService(name string) *outcome.Refusal {
	service := j.config.Service(name)
	permitted := slices.ContainsFunc(j.route.Backends, func(b httproute.Backend) bool { return b.Service == name && b.Weight > 0 })
	if service == nil || !permitted {
		return j.originGoneRefusal()
	}
	j.service = service
	return nil
}

// originUnknownRefusal refuses a stream of unknown origin. A repeat helps only if an instance that
// may know the origin did not answer, or is not known yet.
func (j *job) originUnknownRefusal(answer *origin.Answer) *outcome.Refusal {
	retryAfter := time.Duration(0)
	if answer.Silent > 0 || j.starting() {
		retryAfter = steer.RetryAfter(j.now(), j.deadline)
	}
	return outcome.Refuse(http.StatusServiceUnavailable, outcome.ReasonOriginUnknown, retryAfter, "it is not known which software version began the stream")
}

// originGoneRefusal refuses a stream that nothing can go on with.
func (j *job) originGoneRefusal() *outcome.Refusal {
	return outcome.Refuse(http.StatusServiceUnavailable, outcome.ReasonOriginGone, 0, "no upstream of the software version that began the stream is left")
}

// recordOrigin records the origin of a stream before its first event is passed on.
func (c *call) recordOrigin() {
	if c.origin != nil || c.began == nil {
		return
	}
	c.origin = c.began
	if c.attributes.RequestID == "" {
		return
	}
	if c.forwarded {
		// The instance that serves the caller sends the record to others.
		c.origins.Learn(c.attributes.RequestID, *c.began, c.patience())
		return
	}
	c.origins.Begin(c.attributes.RequestID, *c.began, c.patience())
	c.beginnings.add(c.route.Name)
}

// streamOrigin returns the service and software version that write a stream, nil if an instance
// does not say.
func (c *call) streamOrigin(answer *exchange.Answer) *origin.Origin {
	if !c.peer {
		return &origin.Origin{Service: c.service.Name, Version: c.to.survey.Best.Upstream.Software}
	}
	began, err := origin.Parse(answer.Header.Get(header.StreamOrigin))
	if err != nil {
		return nil
	}
	return &began
}

// setStreamOrigin tells another instance where a forwarded stream must go on.
func (c *call) setStreamOrigin(fields http.Header) {
	if c.origin != nil {
		fields.Set(header.StreamOrigin, c.origin.String())
	}
}

// streamHead returns the head of a stream's answer. Its origin is for other instances only.
func (c *call) streamHead(answer *exchange.Answer) http.Header {
	fields := c.dialect.Answer(answer.Header)
	fields.Del(header.StreamOrigin)
	if c.forwarded {
		c.setStreamOrigin(fields)
	}
	return fields
}

// logOrigin logs how the origin of a stream that is taken up is known.
func (j *job) logOrigin(answer *origin.Answer) {
	known, forwarded := *answer, j.forwarded
	first, after := j.attributes.Resumes, j.attributes.ResumeAfter
	j.logStep(event.StreamOrigin, func(line *zerolog.Event) {
		line.Str(event.KeySource, string(known.Source)).Str(event.KeyService, known.Origin.Service).Str(event.KeySoftware, known.Origin.Version).
			Str(event.KeyFirst, first).Str(event.KeyAfter, after).Int(event.KeyAsked, known.Asked).Int(event.KeySilent, known.Silent).Bool(event.KeyForwarded, forwarded)
	})
}
