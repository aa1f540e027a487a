package relay

import (
	"bytes"
	"testing"
)

// FuzzScan checks that for any input only complete events of the request are relayed,
// independently of read boundaries.
func FuzzScan(f *testing.F) {
	const id = "kal-1-x"
	f.Add([]byte("data: {\"id\":\"kal-1-x\"}\n\ndata: [DONE]\n\n"), 7)
	f.Add([]byte(": comment\n\ndata: {\"id\":\"other\"}\n\n"), 1)
	f.Add([]byte("event: error\ndata: {}\n\n"), 0)
	f.Add([]byte("data:{\"id\" : \"kal-1-x\"\n\n\n\ndata"), 30)
	f.Fuzz(func(t *testing.T, data []byte, cut int) {
		whole, chunks, next := scan(data, []byte(id))
		if whole < 0 || whole > len(data) || (whole > 0 && !bytes.HasSuffix(data[:whole], eventEnd)) {
			t.Fatalf("relays %d of %d bytes", whole, len(data))
		}
		if bytes.Count(data[:whole], []byte(id)) < chunks {
			t.Fatalf("%d chunks in %q", chunks, data[:whole])
		}
		if next == scanMore && bytes.Contains(data[whole:], eventEnd) {
			t.Fatalf("stopped at %d in %q", whole, data)
		}
		cut = min(max(cut, 0), len(data))
		length, count, result := scan(data[:cut], []byte(id))
		if result == scanMore {
			rest, more, last := scan(data[length:], []byte(id))
			length, count, result = length+rest, count+more, last
		}
		if length != whole || count != chunks || result != next {
			t.Fatalf("cut at %d: %d %d %d, in one piece %d %d %d", cut, length, count, result, whole, chunks, next)
		}
	})
}
