package link_test

import (
	"bufio"
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilacweir/lilacweir/pkg/standin/link"
)

// silenceTimeout is the time without data after which a direction counts as cut.
const silenceTimeout = 150 * time.Millisecond

// echoServer answers each line with the same line.
func echoServer(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				scanner := bufio.NewScanner(conn)
				for scanner.Scan() {
					_, _ = conn.Write(append(scanner.Bytes(), '\n'))
				}
			}()
		}
	}()
	return listener.Addr().String()
}

func startLink(t *testing.T, delay time.Duration) (*link.Network, string) {
	t.Helper()
	settings := link.Settings{From: "a", To: "b", Listen: "127.0.0.1:0", Target: echoServer(t), Delay: delay}
	network := link.New([]link.Settings{settings})
	listeners, err := network.Listen()
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		network.Serve(ctx, listeners)
	}()
	t.Cleanup(func() { cancel(); <-done })
	return network, listeners[0].Addr().String()
}

// roundTrip sends text as a line, unless empty, and waits for an echo.
func roundTrip(conn net.Conn, text string, wait time.Duration) (string, error) {
	if text != "" {
		if _, err := conn.Write([]byte(text + "\n")); err != nil {
			return "", err
		}
	}
	_ = conn.SetReadDeadline(time.Now().Add(wait))
	buffer := make([]byte, 64)
	count, err := conn.Read(buffer)
	return string(buffer[:count]), err
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func TestEachDirectionIsCutIndependently(t *testing.T) {
	for _, cut := range [][2]string{{"a", "b"}, {"b", "a"}} {
		t.Run(cut[0]+" to "+cut[1], func(t *testing.T) {
			is := is.New(t)
			network, address := startLink(t, time.Millisecond)
			conn := dial(t, address)
			got, err := roundTrip(conn, "one", time.Minute)
			is.NoErr(err)
			is.Equal(got, "one\n")

			is.NoErr(network.Cut(cut[0], cut[1], false))
			_, err = roundTrip(conn, "two", silenceTimeout)
			var timeout net.Error
			is.True(errors.As(err, &timeout) && timeout.Timeout()) // timeout, not a connection error
			for range 3 {
				_, err = net.DialTimeout("tcp", address, silenceTimeout)
				is.True(errors.As(err, &timeout) && timeout.Timeout()) // no handshake either
			}

			is.NoErr(network.Heal(cut[0], cut[1]))
			got, err = roundTrip(conn, "", time.Minute)
			is.NoErr(err)
			is.Equal(got, "two\n")
			got, err = roundTrip(dial(t, address), "three", time.Minute)
			is.NoErr(err)
			is.Equal(got, "three\n")
		})
	}
}

func TestResetClosesConnections(t *testing.T) {
	is := is.New(t)
	network, address := startLink(t, 0)
	conn := dial(t, address)
	_, err := roundTrip(conn, "one", time.Minute)
	is.NoErr(err)
	is.NoErr(network.Cut("b", "a", true))
	_, err = roundTrip(conn, "", time.Minute)
	var timeout net.Error
	is.True(err != nil && !(errors.As(err, &timeout) && timeout.Timeout()))
	is.Equal(network.Cut("a", "c", false), link.ErrNoPath)
}

func TestDelayAppliesToEachDirection(t *testing.T) {
	is := is.New(t)
	const delay = 40 * time.Millisecond
	_, address := startLink(t, delay)
	started := time.Now()
	conn := dial(t, address)
	_, err := roundTrip(conn, "one", time.Minute)
	is.NoErr(err)
	is.True(time.Since(started) >= 4*delay) // handshake and one round trip
	started = time.Now()
	_, err = roundTrip(conn, "two", time.Minute)
	is.NoErr(err)
	is.True(time.Since(started) >= 2*delay)
}
