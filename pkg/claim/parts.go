package claim

import (
	"encoding/binary"
	"io"
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"
)

// staging holds the parts of a transfer that has not arrived yet.
type staging struct {
	transfer string
	parts    map[int]Part
	began    time.Time
}

// stagingTimeout bounds the wait for a transfer, from its first part.
const stagingTimeout = time.Minute

// dropStale deletes the parts of transfers that never arrived.
func (o *Owner) dropStale() {
	now := o.clock.Now()
	maps.DeleteFunc(o.staged, func(_ Origin, held *staging) bool { return now.Sub(held.began) > stagingTimeout })
}

// split divides records into parts of about partSize.
func split(origin Origin, records []Record) []Part {
	var parts []Part
	room := 0
	for _, record := range records {
		if room <= 0 {
			parts = append(parts, Part{Origin: origin})
			room = partSize
		}
		last := &parts[len(parts)-1]
		last.Records = append(last.Records, record)
		room -= record.size()
	}
	return parts
}

// fixedSize is the approximate size of a record's numbers and field lengths.
const fixedSize = 64

func (r *Record) size() int {
	return fixedSize + len(r.Key) + len(r.Caller) + len(r.Attempt) + len(r.Result.Body)
}

// checksum covers the parties, the tables and every record.
func (t *Transfer) checksum(parts []Part) uint64 {
	digest := xxhash.New()
	hashText(digest, t.ID, t.From.String(), t.Successor.String())
	for _, export := range t.Tables {
		hashText(digest, export.Origin.String())
		hashNumber(digest, uint64(export.Now), uint64(export.Floor))
	}
	for _, part := range parts {
		hashText(digest, part.Origin.String())
		for i := range part.Records {
			part.Records[i].hash(digest)
		}
	}
	return digest.Sum64()
}

func (r *Record) hash(digest io.Writer) {
	hashText(digest, r.Key, r.Caller, r.Attempt, string(r.Fingerprint[:]), string(r.Result.Body))
	hashNumber(digest, uint64(r.State), uint64(r.Issued), uint64(r.Granted), uint64(r.Result.Status))
}

func hashText(digest io.Writer, texts ...string) {
	for _, text := range texts {
		hashNumber(digest, uint64(len(text)))
		_, _ = io.WriteString(digest, text)
	}
}

func hashNumber(digest io.Writer, numbers ...uint64) {
	for _, number := range numbers {
		var bytes [8]byte
		binary.BigEndian.PutUint64(bytes[:], number)
		_, _ = digest.Write(bytes[:])
	}
}
