package warmth

import (
	"encoding/binary"
	"errors"
	"time"
)

// ErrPacked reports states that are not in the form of Pack.
var ErrPacked = errors.New("warmth: malformed packed states")

// Pack encodes states for a message: for each the length of the upstream's ID, the ID, and the cold time and the age
// in milliseconds, numbers as unsigned varints. The cold time is rounded up, so that no upstream is told to be warm too
// early, and the age as well.
func Pack(states []ToldState) []byte {
	var packed []byte
	for i := range states {
		state := &states[i]
		packed = binary.AppendUvarint(packed, uint64(len(state.Upstream)))
		packed = append(packed, state.Upstream...)
		packed = binary.AppendUvarint(packed, milliseconds(state.ColdFor))
		packed = binary.AppendUvarint(packed, milliseconds(state.Age))
	}
	return packed
}

func milliseconds(d time.Duration) uint64 {
	return uint64((max(0, d) + time.Millisecond - 1) / time.Millisecond)
}

// Unpack decodes what Pack has encoded. The error is ErrPacked; the states before the fault are returned.
func Unpack(packed []byte) ([]ToldState, error) {
	var states []ToldState
	for len(packed) > 0 {
		length, n := binary.Uvarint(packed)
		if n <= 0 || length > uint64(len(packed)-n) {
			return states, ErrPacked
		}
		packed = packed[n:]
		state := ToldState{Upstream: string(packed[:length])}
		packed = packed[length:]
		for _, field := range []*time.Duration{&state.ColdFor, &state.Age} {
			ms, n := binary.Uvarint(packed)
			if n <= 0 || ms > maxPackedMillis {
				return states, ErrPacked
			}
			*field = time.Duration(ms) * time.Millisecond
			packed = packed[n:]
		}
		states = append(states, state)
	}
	return states, nil
}

// maxPackedMillis is the longest cold time or age that is accepted: one day.
const maxPackedMillis = 24 * 60 * 60 * 1000
