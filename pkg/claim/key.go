package claim

import (
	"fmt"
	"strconv"
	"strings"
)

// KeyPrefix starts every key that the system issues. Other keys are opaque.
const KeyPrefix = "lw1."

// Bounds of a key.
const (
	// MaxKeyLength bounds any key, opaque ones included, in bytes.
	MaxKeyLength = 255
	// MinRandomLength is the minimum number of hexadecimal characters that a
	// caller appends to a key prefix: 64 bits.
	MinRandomLength = 16
)

// keyFields is the number of fields of a key, KeyPrefix included.
const keyFields = 6

// Field names a part of a key.
type Field string

// The fields of a key, in their order.
const (
	FieldWhole       Field = "key"
	FieldDomain      Field = "domain"
	FieldInstance    Field = "instance"
	FieldIncarnation Field = "incarnation"
	FieldIssued      Field = "time"
	FieldRandom      Field = "random part"
)

// KeyError reports a malformed key.
type KeyError struct {
	// Field is the invalid field.
	Field Field
	// Offset is the start of that field in the key, in bytes.
	Offset int
	// Expected describes a valid value.
	Expected string
}

// Error implements error. The text does not contain the key.
func (e *KeyError) Error() string {
	return fmt.Sprintf("idempotency key: %s at byte %d: expected %s", e.Field, e.Offset, e.Expected)
}

// Origin is one process incarnation of a gateway, the decider of the keys that
// it issued.
type Origin struct {
	Domain      string
	Instance    string
	Incarnation uint64
}

// String returns the origin as encoded in a key.
func (o Origin) String() string {
	return escapeName(o.Domain) + "." + escapeName(o.Instance) + "." + strconv.FormatUint(o.Incarnation, 16)
}

// Key is a key issued by the system.
type Key struct {
	Origin
	// Issued is the issue time in Unix milliseconds of the origin's clock.
	Issued int64
	// Random distinguishes the keys of one prefix.
	Random string
}

// String returns the encoded key.
func (k Key) String() string { return Prefix(k.Origin, k.Issued) + "." + k.Random }

// Prefix returns a key prefix, which a caller completes with "." and at least
// MinRandomLength hexadecimal characters.
func Prefix(origin Origin, issued int64) string {
	return KeyPrefix + origin.String() + "." + strconv.FormatInt(issued, 16)
}

// IsOpaque reports whether the key was not issued by the system.
func IsOpaque(text string) bool { return !strings.HasPrefix(text, KeyPrefix) }

// ParseKey parses a key that starts with KeyPrefix. Errors are *KeyError.
func ParseKey(text string) (Key, error) {
	if len(text) > MaxKeyLength {
		return Key{}, &KeyError{Field: FieldWhole, Offset: MaxKeyLength, Expected: fmt.Sprintf("at most %d bytes", MaxKeyLength)}
	}
	fields := strings.Split(text, ".")
	if IsOpaque(text) || len(fields) != keyFields {
		return Key{}, &KeyError{Field: FieldWhole, Expected: "lw1.DOMAIN.INSTANCE.INCARNATION.TIME.RANDOM"}
	}
	reader := fieldReader{fields: fields, next: 1, offset: len(KeyPrefix)}
	key := Key{}
	key.Domain = reader.name(FieldDomain)
	key.Instance = reader.name(FieldInstance)
	key.Incarnation = reader.number(FieldIncarnation, 64)
	key.Issued = int64(reader.number(FieldIssued, 63))
	key.Random = reader.random()
	if reader.err != nil {
		return Key{}, reader.err
	}
	return key, nil
}

// fieldReader parses the fields in sequence and keeps the first error.
type fieldReader struct {
	fields []string
	next   int
	offset int
	err    error
}

func (r *fieldReader) take() (text string, offset int) {
	text, offset = r.fields[r.next], r.offset
	r.next++
	r.offset += len(text) + 1
	return text, offset
}

func (r *fieldReader) fail(field Field, offset int, expected string) {
	if r.err == nil {
		r.err = &KeyError{Field: field, Offset: offset, Expected: expected}
	}
}

func (r *fieldReader) name(field Field) string {
	text, offset := r.take()
	if text == "" || strings.Trim(text, nameAlphabet) != "" {
		r.fail(field, offset, "lower-case letters, digits, - and _")
	}
	return unescapeName(text)
}

func (r *fieldReader) number(field Field, bits int) uint64 {
	text, offset := r.take()
	number, err := strconv.ParseUint(text, 16, bits)
	if err != nil || strconv.FormatUint(number, 16) != text {
		r.fail(field, offset, "a hexadecimal number without leading zeros")
	}
	return number
}

func (r *fieldReader) random() string {
	text, offset := r.take()
	if len(text) < MinRandomLength || strings.Trim(text, hexAlphabet) != "" {
		r.fail(FieldRandom, offset, fmt.Sprintf("at least %d lower-case hexadecimal characters", MinRandomLength))
	}
	return text
}

// Names may contain dots, which separate a key's fields. Keys encode them as
// underscores, which names cannot contain.
const (
	hexAlphabet  = "0123456789abcdef"
	nameAlphabet = "abcdefghijklmnopqrstuvwxyz0123456789-_"
)

func escapeName(name string) string { return strings.ReplaceAll(name, ".", "_") }

func unescapeName(text string) string { return strings.ReplaceAll(text, "_", ".") }
