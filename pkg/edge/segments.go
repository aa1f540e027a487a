package edge

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/lilacweir/lilacweir/pkg/quarantine"
	"github.com/lilacweir/lilacweir/pkg/steer"
)

// maxLoggedSegments bounds the segments that one log line names.
const maxLoggedSegments = 8

// sharedSegments returns the segments of a prompt that other requests may share: all but the
// last, which belongs to the request or its session.
func sharedSegments(prompt []steer.Segment) []steer.Segment {
	return prompt[:max(0, len(prompt)-1)]
}

// describeSegments names the segments that most of the suspects' prompts share, with the number of
// suspects that hold each.
func describeSegments(suspects []quarantine.Observation) string {
	holders := make(map[quarantine.Segment]int)
	for _, broken := range suspects {
		for _, segment := range broken.Segments.All() {
			holders[segment]++
		}
	}
	ranked := slices.SortedFunc(maps.Keys(holders), func(a, b quarantine.Segment) int {
		return cmp.Or(holders[b]-holders[a], cmp.Compare(a, b))
	})
	texts := make([]string, 0, maxLoggedSegments)
	for _, segment := range ranked[:min(len(ranked), maxLoggedSegments)] {
		texts = append(texts, fmt.Sprintf("%s:%d", segment, holders[segment]))
	}
	return strings.Join(texts, ",")
}

// segmentIDs names the segments of one prompt.
func segmentIDs(segments []steer.Segment) string {
	ids := make([]string, 0, min(len(segments), maxLoggedSegments))
	for _, segment := range segments[:min(len(segments), maxLoggedSegments)] {
		ids = append(ids, quarantine.SegmentOf(segment.ID).String())
	}
	return strings.Join(ids, ",")
}
