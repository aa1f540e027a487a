package peer

import (
	"bytes"
	"encoding/gob"
	"math"
	"testing"

	"github.com/matryer/is"
)

// encoded returns the size of a message on a connection that already carried one of its type.
func encoded(t *testing.T, message any) int {
	t.Helper()
	is := is.New(t)
	var out bytes.Buffer
	encoder := gob.NewEncoder(&out)
	is.NoErr(encoder.Encode(message))
	before := out.Len()
	is.NoErr(encoder.Encode(message))
	return out.Len() - before
}

// TestDeparturesAndEpochsAddFewBytes guards against messages that grow for rare events: an
// upstream that leaves adds its ID, a restored store two numbers, and without them a message
// does not grow.
func TestDeparturesAndEpochsAddFewBytes(t *testing.T) {
	const id = "i-5b298c74da@1796298365277"
	is := is.New(t)
	plain := Ask{Report: Report{Name: "n", Store: 70}}
	none := encoded(t, plain)
	plain.Departures = []string{}
	is.Equal(encoded(t, plain), none)
	plain.Departures = []string{id}
	leaving := encoded(t, plain) - none
	plain.Departures = nil
	plain.Report.Era, plain.Report.Held = math.MaxUint32, math.MaxUint64
	held := encoded(t, plain) - none
	t.Logf("%d bytes for an upstream that leaves, %d for an epoch and retained entries", leaving, held)
	is.True(leaving <= len(id)+4)
	is.True(held <= 16)
}
