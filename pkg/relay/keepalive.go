package relay

import (
	"net/http"
	"time"
)

// Between gateways silence means a cut link: the receiver of a forwarded request
// gives a sign while it has nothing else to send.
const (
	// keepAliveInterval is how often the receiver gives a sign.
	keepAliveInterval = time.Second
	// peerSilence is how long the sender goes without one.
	peerIdleTimeout = 4 * time.Second
)

// keepAliveEvent is a comment, which is no part of the answer.
var keepAliveEvent = []byte(": waiting\n\n")

// KeepAlive gives signs to a waiting gateway until stop is called: interim
// responses before the answer begins, and comments inside a stream.
func (s *Sink) KeepAlive() (stop func()) {
	done := make(chan struct{})
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		ticker := time.NewTicker(keepAliveInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				s.sendKeepAlive()
			case <-done:
				return
			}
		}
	}()
	return func() {
		close(done)
		<-stopped
	}
}

// sign writes one sign of life. A failed write shows at the next regular one.
func (s *Sink) sendKeepAlive() {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !s.HeadWritten:
		s.writer.WriteHeader(http.StatusProcessing)
	case s.Stream && s.idle:
		s.extendDeadline()
		_, _ = s.writer.Write(keepAliveEvent)
		_ = s.controller.Flush()
	}
	s.idle = true
}
