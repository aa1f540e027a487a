package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"iter"
	"strconv"
	"strings"
)

// MaxSegments bounds the segments of one prompt that are examined, from its beginning.
const MaxSegments = 64

// Segment identifies a prompt segment that several requests may share.
type Segment uint64

// SegmentOf returns the Segment with an ID. IDs are hexadecimal numbers in any spelling; other
// texts, and longer numbers, are hashed.
func SegmentOf(id string) Segment {
	id = strings.ToLower(strings.TrimSpace(id))
	if n, err := strconv.ParseUint(id, 16, 64); err == nil {
		return Segment(n)
	}
	sum := sha256.Sum256([]byte(strings.TrimLeft(id, "0")))
	return Segment(binary.BigEndian.Uint64(sum[:8]))
}

// String returns the segment in hexadecimal.
func (s Segment) String() string { return strconv.FormatUint(uint64(s), 16) }

// segmentLength is the Length of a segment's fingerprint. No body has it.
const segmentLength = -1

// segmentPrefix begins the text of a segment's fingerprint.
const segmentPrefix = "segment-"

// Fingerprint returns the fingerprint of the segment, which stands for all requests that hold it.
func (s Segment) Fingerprint() Fingerprint {
	return Fingerprint{Low: uint64(s), Length: segmentLength}
}

// Segment returns the segment that the fingerprint stands for; false if it is that of a request.
func (f Fingerprint) Segment() (Segment, bool) { return Segment(f.Low), f.Length == segmentLength }

// parseSegment reads a segment's fingerprint after segmentPrefix.
func parseSegment(key, id string) (Fingerprint, error) {
	n, err := strconv.ParseUint(id, 16, 64)
	if err != nil || Segment(n).String() != id {
		return Fingerprint{}, &ParseError{Text: key}
	}
	return Segment(n).Fingerprint(), nil
}

// Segments is a list of segments in a comparable form: eight bytes each, big endian.
type Segments string

// segmentBytes is the length of one segment of a Segments.
const segmentBytes = 8

// PackSegments returns a list of the first MaxSegments segments, each once, in order.
func PackSegments(segments []Segment) Segments {
	packed := make([]byte, 0, segmentBytes*min(len(segments), MaxSegments))
	seen := make(map[Segment]bool, len(segments))
	for _, segment := range segments {
		if !seen[segment] && len(seen) < MaxSegments {
			seen[segment] = true
			packed = binary.BigEndian.AppendUint64(packed, uint64(segment))
		}
	}
	return Segments(packed)
}

// All returns the segments with their positions. Of a list that another instance sent it returns no
// more than MaxSegments.
func (s Segments) All() iter.Seq2[int, Segment] {
	return func(yield func(int, Segment) bool) {
		for n := range min(len(s)/segmentBytes, MaxSegments) {
			if !yield(n, Segment(binary.BigEndian.Uint64([]byte(s[n*segmentBytes:(n+1)*segmentBytes])))) {
				return
			}
		}
	}
}

// Contains reports whether the list holds a segment.
func (s Segments) Contains(segment Segment) bool {
	for _, held := range s.All() {
		if held == segment {
			return true
		}
	}
	return false
}

// String returns the segments in hexadecimal, separated by commas.
func (s Segments) String() string {
	var text strings.Builder
	for n, segment := range s.All() {
		if n > 0 {
			text.WriteByte(',')
		}
		// Writes to a strings.Builder never fail.
		_, _ = fmt.Fprint(&text, segment)
	}
	return text.String()
}
