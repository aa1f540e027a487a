package relay

import (
	"net/http"
	"time"
)

// Between gateways no data means a partitioned link: the receiver of a forwarded
// request sends keep-alives while it has nothing else to send.
const (
	// keepAliveInterval is the receiver's interval between keep-alives.
	keepAliveInterval = time.Second
	// peerIdleTimeout is the time that the sender waits for data or a keep-alive.
	peerIdleTimeout = 4 * time.Second
)

// keepAliveEvent is a comment, which is not part of the answer.
var keepAliveEvent = []byte(": waiting\n\n")

// KeepAlive sends keep-alives to a waiting gateway until stop is called: interim
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

// sendKeepAlive writes one keep-alive if it is needed. The next regular write reports
// a failed connection.
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
