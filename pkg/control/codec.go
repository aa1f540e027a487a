package control

import (
	"bufio"
	"encoding/gob"
	"errors"
	"io"
	"net/rpc"
)

// framing is net/rpc's gob framing with a bound on each message that is read.
type framing struct {
	conn    io.Closer
	bounded *boundedReader
	decoder *gob.Decoder
	encoder *gob.Encoder
	buffer  *bufio.Writer
}

func newFraming(conn io.ReadWriteCloser) *framing {
	bounded := &boundedReader{reader: bufio.NewReader(conn)}
	buffer := bufio.NewWriter(conn)
	return &framing{
		conn:    conn,
		bounded: bounded,
		decoder: gob.NewDecoder(bounded),
		encoder: gob.NewEncoder(buffer),
		buffer:  buffer,
	}
}

// readHeader reads the first part of a message, which has its bound together with its body.
func (f *framing) readHeader(header any) error {
	f.bounded.remaining = MaxMessage
	return f.decoder.Decode(header)
}

// readBody reads the rest of a message, or skips it if body is nil.
func (f *framing) readBody(body any) error { return f.decoder.Decode(body) }

func (f *framing) write(header, body any) error {
	if err := f.encoder.Encode(header); err != nil {
		return err
	}
	if err := f.encoder.Encode(body); err != nil {
		return err
	}
	return f.buffer.Flush()
}

// Close closes the connection.
func (f *framing) Close() error { return f.conn.Close() }

// serverCodec implements rpc.ServerCodec.
type serverCodec struct{ *framing }

func newServerCodec(conn io.ReadWriteCloser) serverCodec { return serverCodec{newFraming(conn)} }

// ReadRequestHeader implements rpc.ServerCodec.
func (c serverCodec) ReadRequestHeader(request *rpc.Request) error { return c.readHeader(request) }

// ReadRequestBody implements rpc.ServerCodec.
func (c serverCodec) ReadRequestBody(body any) error { return c.readBody(body) }

// WriteResponse implements rpc.ServerCodec. A response that cannot be encoded closes the connection, so
// that the caller does not wait for it.
func (c serverCodec) WriteResponse(response *rpc.Response, body any) error {
	if err := c.write(response, body); err != nil {
		return errors.Join(err, c.Close())
	}
	return nil
}

// clientCodec implements rpc.ClientCodec.
type clientCodec struct{ *framing }

func newClientCodec(conn io.ReadWriteCloser) clientCodec { return clientCodec{newFraming(conn)} }

// WriteRequest implements rpc.ClientCodec.
func (c clientCodec) WriteRequest(request *rpc.Request, body any) error {
	return c.write(request, body)
}

// ReadResponseHeader implements rpc.ClientCodec.
func (c clientCodec) ReadResponseHeader(response *rpc.Response) error { return c.readHeader(response) }

// ReadResponseBody implements rpc.ClientCodec.
func (c clientCodec) ReadResponseBody(body any) error { return c.readBody(body) }

// boundedReader fails once remaining bytes have been read. It implements
// io.ByteReader so that gob does not buffer past a message.
type boundedReader struct {
	reader    *bufio.Reader
	remaining int
}

// Read implements io.Reader.
func (r *boundedReader) Read(p []byte) (int, error) {
	if r.remaining <= 0 {
		return 0, ErrMessageTooLarge
	}
	if len(p) > r.remaining {
		p = p[:r.remaining]
	}
	n, err := r.reader.Read(p)
	r.remaining -= n
	return n, err
}

// ReadByte implements io.ByteReader.
func (r *boundedReader) ReadByte() (byte, error) {
	if r.remaining <= 0 {
		return 0, ErrMessageTooLarge
	}
	r.remaining--
	return r.reader.ReadByte()
}
