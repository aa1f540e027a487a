package peer

import (
	"bytes"
	"encoding/gob"
	"math"
	"testing"

	"github.com/matryer/is"
)

// encoded is how many bytes a message takes on a connection that has had one of its kind before.
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

// TestWhatIsToldOfLeavingAndErasIsShort guards against messages that grow for what hardly ever
// happens: nothing where no upstream leaves and the store never came back from a copy, and one ID
// and two numbers at the most otherwise.
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
	t.Logf("%d bytes for an upstream that leaves, %d for an era and what is held over", leaving, held)
	is.True(leaving <= len(id)+4)
	is.True(held <= 16)
}
