package control

import (
	"bytes"
	"encoding/gob"
	"io"
	"net/rpc"
	"testing"
	"time"

	"github.com/lilacweir/lilacweir/pkg/board"
	"github.com/lilacweir/lilacweir/pkg/config"
)

// sink is a service that accepts messages and keeps nothing.
type sink struct{}

func (sink) Beat(args *Beat, reply *Beat) error { *reply = *args; return nil }

func (sink) Exchange(args *ExchangeArgs, reply *ExchangeReply) error {
	reply.Head = args.Head
	return nil
}

// stream is a connection that reads the given bytes and accepts any writes.
type stream struct {
	io.Reader
	io.Writer
}

func (stream) Close() error { return nil }

// frames returns the bytes that a client sends for one call.
func frames(f *testing.F, method string, args any) []byte {
	var sent bytes.Buffer
	encoder := gob.NewEncoder(&sent)
	for _, value := range []any{rpc.Request{ServiceMethod: method, Seq: 1}, args} {
		if err := encoder.Encode(value); err != nil {
			f.Fatal(err)
		}
	}
	return sent.Bytes()
}

// FuzzFrames checks that serving a connection ends, and the process continues,
// whatever bytes arrive on it.
func FuzzFrames(f *testing.F) {
	digest := board.DomainDigest{Domain: "larisa-hall", Sequence: 7, Pools: []board.PoolDigest{{}}}
	f.Add(frames(f, "Sink.Beat", Beat{From: "lar-1", Epoch: 1, Facts: Facts{Digests: []DigestFact{{Digest: digest}}}}))
	f.Add(frames(f, "Sink.Exchange", ExchangeArgs{Head: &config.Head{Revision: 2, Declaration: &config.Declaration{}}}))
	f.Add([]byte{0xf8, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01})
	f.Add([]byte("GET / HTTP/1.1\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		server := rpc.NewServer()
		if err := server.RegisterName("Sink", sink{}); err != nil {
			t.Fatal(err)
		}
		served := make(chan struct{})
		go func() {
			defer close(served)
			server.ServeCodec(newServerCodec(stream{Reader: bytes.NewReader(data), Writer: io.Discard}))
		}()
		select {
		case <-served:
		case <-time.After(time.Minute):
			t.Fatal("the connection is served for ever")
		}
	})
}
