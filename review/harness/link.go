//go:build review

package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// link is a relay between two processes that can hold up what is sent on one connection.
type link struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	// hold, if it is not nil, is taken by the next connection, whose bytes wait until it is closed.
	hold chan struct{}
}

// newLink starts a relay from an address to a target.
func newLink(address, target string) (*link, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	l := &link{listener: listener, target: target}
	go l.serve()
	return l, nil
}

func (l *link) close() { _ = l.listener.Close() }

// holdNext holds up the bytes on the next connection until release is called. They arrive then even if their
// sender has closed the connection.
func (l *link) holdNext() (release func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	held := make(chan struct{})
	l.hold = held
	return sync.OnceFunc(func() { close(held) })
}

func (l *link) serve() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.mu.Lock()
		held := l.hold
		l.hold = nil
		l.mu.Unlock()
		go l.relay(conn, held)
	}
}

func (l *link) relay(from net.Conn, held <-chan struct{}) {
	defer from.Close()
	to, err := net.DialTimeout("tcp", l.target, time.Second)
	if err != nil {
		return
	}
	defer to.Close()
	var both sync.WaitGroup
	both.Go(func() {
		if held != nil {
			// The sender's kernel keeps the bytes and sends them again, also after a close.
			sent, _ := readFor(from, 300*time.Millisecond)
			<-held
			_, _ = to.Write(sent)
		}
		_, _ = io.Copy(to, from)
		_ = to.(*net.TCPConn).CloseWrite()
	})
	both.Go(func() {
		_, _ = io.Copy(from, to)
		_ = from.(*net.TCPConn).CloseWrite()
	})
	both.Wait()
}

// readFor reads what arrives within a time.
func readFor(conn net.Conn, d time.Duration) ([]byte, error) {
	_ = conn.SetReadDeadline(time.Now().Add(d))
	defer func() { _ = conn.SetReadDeadline(time.Time{}) }()
	return io.ReadAll(conn)
}
