package capacity_test

import (
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/lilacweir/lilacweir/pkg/capacity"
)

// The tables of docs/CAPACITY.md equal those that lilacweir-load prints from the recorded
// run.
func TestCapacityPageMatchesTheRecordedRun(t *testing.T) {
	is := is.New(t)
	record, err := os.Open("../../docs/capacity/measured.txt")
	is.NoErr(err)
	defer func() { _ = record.Close() }()
	series, err := capacity.Read(record)
	is.NoErr(err)
	var want strings.Builder
	is.NoErr(capacity.WriteModel(&want, capacity.UsersTarget, capacity.NewMeasured(series)))

	page, err := os.ReadFile("../../docs/CAPACITY.md")
	is.NoErr(err)
	_, rest, ok := strings.Cut(string(page), "<!-- begin capacity -->\n")
	is.True(ok)
	tables, _, ok := strings.Cut(rest, "<!-- end capacity -->")
	is.True(ok)
	is.Equal(tables, want.String())
}
