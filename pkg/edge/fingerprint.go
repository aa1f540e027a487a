package edge

import "github.com/lilacweir/lilacweir/pkg/quarantine"

// fingerprint returns the fingerprint of the request's content. It is computed at the first call,
// since most requests succeed and bodies are long.
func (j *job) fingerprint() quarantine.Fingerprint {
	if j.content == nil {
		asked := quarantine.Content{
			Organisation: j.organisationName(), Method: j.request.Method,
			Host: j.request.Host, Path: j.request.RequestURI, Body: j.body,
		}
		content := asked.Fingerprint()
		j.content = &content
	}
	return *j.content
}

// promptSegments returns the segments of the prompt that other requests may share. They are read at
// the first call.
func (j *job) promptSegments() []quarantine.Segment {
	if j.segments == nil {
		shared := sharedSegments(j.attributes.Segments)
		j.segments = make([]quarantine.Segment, 0, min(len(shared), quarantine.MaxSegments))
		for _, segment := range shared[:min(len(shared), quarantine.MaxSegments)] {
			j.segments = append(j.segments, quarantine.SegmentOf(segment.ID))
		}
	}
	return j.segments
}

// suspicionOf returns the request as it is reported when an upstream has crashed with it in flight.
func (j *job) suspicionOf() quarantine.Observation {
	return quarantine.Observation{Request: j.fingerprint(), Segments: quarantine.PackSegments(j.promptSegments()), Organisation: j.organisationName()}
}
