package config

import (
	"bytes"
	"compress/gzip"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"sync"
)

// MaxEncoded is the size limit of an encoded value, in bytes. The platform's
// key-value service accepts values of up to a megabyte.
const MaxEncoded = 1_000_000

// maxDecoded is the size limit of a decompressed value, in bytes.
const maxDecoded = 32 << 20

// EncodeHead returns the head as compressed JSON. The error is an *EncodingError,
// or a *SizeError when it is too large for the platform's service.
func EncodeHead(head *Head) ([]byte, error) { return encode(head) }

// DecodeHead reads the output of EncodeHead and ignores fields that a newer
// version added. The error is an *EncodingError.
func DecodeHead(data []byte) (*Head, error) { return decodeHead(data, lenient) }

func decodeHead(data []byte, unknown strictness) (*Head, error) {
	head := new(Head)
	if err := decode(data, head, unknown); err != nil {
		return nil, err
	}
	if head.Declaration == nil {
		head.Declaration = new(Declaration)
	}
	return head, nil
}

// strictness selects whether decode rejects unknown fields.
type strictness bool

const (
	lenient strictness = false
	strict  strictness = true
)

// writers pools compressors, since each takes most of a megabyte.
var writers = sync.Pool{New: func() any { return gzip.NewWriter(io.Discard) }}

func encode(value any) ([]byte, error) {
	var buffer bytes.Buffer
	writer := writers.Get().(*gzip.Writer)
	defer writers.Put(writer)
	writer.Reset(&buffer)
	if err := json.NewEncoder(writer).Encode(value); err != nil {
		return nil, &EncodingError{Err: err}
	}
	if err := writer.Close(); err != nil {
		return nil, &EncodingError{Err: err}
	}
	if buffer.Len() > MaxEncoded {
		return nil, &SizeError{Bytes: buffer.Len(), Limit: MaxEncoded}
	}
	return buffer.Bytes(), nil
}

func decode(data []byte, into any, unknown strictness) error {
	reader, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return &EncodingError{Err: err}
	}
	bounded := &io.LimitedReader{R: reader, N: maxDecoded}
	decoder := json.NewDecoder(bounded)
	if unknown == strict {
		decoder.DisallowUnknownFields()
	}
	if err := decoder.Decode(into); err != nil {
		return &EncodingError{Err: err}
	}
	return nil
}

// Sum returns a checksum of a declaration. Equal declarations have equal sums.
func Sum(decl *Declaration) (string, error) {
	data, err := json.Marshal(decl)
	if err != nil {
		return "", &EncodingError{Err: err}
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:]), nil
}
