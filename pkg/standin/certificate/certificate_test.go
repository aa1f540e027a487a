package certificate_test

import (
	"errors"
	"net"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"github.com/lilacweir/lilacweir/pkg/control"
	"github.com/lilacweir/lilacweir/pkg/standin/certificate"
)

// A renewed certificate must be accepted by peers that hold the earlier ones, so
// reopening a directory must keep its authority.
func TestReopenedAuthoritySignsCertificatesThatPeersAccept(t *testing.T) {
	is := is.New(t)
	directory := t.TempDir()
	first, err := certificate.Open(directory)
	is.NoErr(err)
	security, err := first.Issue("kal-1", net.IPv4(127, 0, 0, 1))
	is.NoErr(err)
	before, err := os.ReadFile(security.Authority)
	is.NoErr(err)
	old, err := control.NewNetwork(security, nil)
	is.NoErr(err)
	listener, err := old.Listen("127.0.0.1:0")
	is.NoErr(err)
	defer func() { is.NoErr(listener.Close()) }()
	go func() {
		if conn, err := listener.Accept(); err == nil {
			_, _ = conn.Write([]byte("hello"))
			_ = conn.Close()
		}
	}()

	reopened, err := certificate.Open(directory)
	is.NoErr(err)
	renewed, err := reopened.Issue("kal-1", net.IPv4(127, 0, 0, 1))
	is.NoErr(err)
	after, err := os.ReadFile(renewed.Authority)
	is.NoErr(err)
	is.Equal(before, after)
	network, err := control.NewNetwork(renewed, nil)
	is.NoErr(err)
	conn, err := network.Dial(t.Context(), "tcp", listener.Addr().String())
	is.NoErr(err)
	greeting := make([]byte, len("hello"))
	_, err = conn.Read(greeting)
	is.NoErr(err)
	is.Equal(string(greeting), "hello")
	is.NoErr(conn.Close())
}

func TestErrorNamesTheCorruptAuthorityFile(t *testing.T) {
	is := is.New(t)
	directory := t.TempDir()
	_, err := certificate.Open(directory)
	is.NoErr(err)
	file := filepath.Join(directory, "authority.pem")
	is.NoErr(os.WriteFile(file, []byte("nonsense"), 0o600))
	_, err = certificate.Open(directory)
	var fault *certificate.FileError
	is.True(errors.As(err, &fault))
	is.Equal(fault.File, file)
	is.True(errors.Is(err, certificate.ErrNoPEM))
}
