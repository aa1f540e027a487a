package quarantine

import (
	"cmp"
	"encoding/json"
	"fmt"
	"time"
)

// Record is a quarantine in the platform's store.
type Record struct {
	// Request is the request, or the prompt segment that stands for all requests which hold it.
	Request Fingerprint
	// Revision is the store's revision of the record's last write.
	Revision int64
	Note
}

// Note is a record's value.
type Note struct {
	// Instance is the instance that wrote the quarantine.
	Instance string `json:"instance"`
	// Since is the time of the quarantine by the instance's clock.
	Since time.Time `json:"since"`
	// Organisation is the one whose requests with a segment are refused, empty for all. A request's
	// own quarantine has none.
	Organisation string `json:"organisation,omitempty"`
	// ClearedBy is the operator who cleared it, or the instance on which the request completed;
	// empty while it is in force.
	ClearedBy string `json:"cleared_by,omitempty"`
}

// Encode returns the note as a value of the store.
func (n Note) Encode() ([]byte, error) {
	value, err := json.Marshal(n)
	if err != nil {
		return nil, fmt.Errorf("encode a quarantine: %w", err)
	}
	return value, nil
}

// ParseNote reads a value of the store. A value that cannot be parsed still quarantines the
// request: former versions wrote only the instance's name.
func ParseNote(value []byte) Note {
	var note Note
	if err := json.Unmarshal(value, &note); err != nil {
		return Note{Instance: string(value)}
	}
	return note
}

// Before reports whether a note is earlier than another of the same request: of an earlier
// quarantine, or of the same one before it was cleared.
func (n Note) Before(other Note) bool {
	if !n.Since.Equal(other.Since) {
		return n.Since.Before(other.Since)
	}
	return n.ClearedBy == "" && other.ClearedBy != ""
}

// Stored is the state of an instance's replica of the store at one moment.
type Stored struct {
	// Epoch counts the restores of the store from a backup.
	Epoch uint64
	// Records is sorted by request.
	Records []Record
}

// Find returns the record of a request, or nil.
func (s *Stored) Find(request Fingerprint) *Record {
	if s == nil {
		return nil
	}
	for i := range s.Records {
		if s.Records[i].Request == request {
			return &s.Records[i]
		}
	}
	return nil
}

// IsQuarantined reports whether a request is quarantined in the store.
func (s *Stored) IsQuarantined(request Fingerprint) bool {
	record := s.Find(request)
	return record != nil && record.ClearedBy == ""
}

// Covers reports whether the store quarantines a request or segment for an organisation, empty for
// all.
func (s *Stored) Covers(request Fingerprint, organisation string) bool {
	record := s.Find(request)
	return record != nil && record.ClearedBy == "" && (record.Organisation == "" || record.Organisation == organisation)
}

// CountQuarantined returns the number of requests that are quarantined in the store.
func (s *Stored) CountQuarantined() int {
	held := 0
	if s != nil {
		for i := range s.Records {
			if s.Records[i].ClearedBy == "" {
				held++
			}
		}
	}
	return held
}

// CompareRecords orders records by request.
func CompareRecords(a, b Record) int {
	return cmp.Or(a.Request.Compare(b.Request), cmp.Compare(a.Revision, b.Revision))
}
