package member

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestRankAgreesWithOwns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z]{1,6}-[0-9]`), 1, 12, rapid.ID[string]).Draw(t, "names")
		key := rapid.Uint64().Draw(t, "key")
		n := rapid.IntRange(1, 3).Draw(t, "n")
		ranked := Rank(key, names)
		shuffled := rapid.Permutation(names).Draw(t, "shuffled")
		if !slices.Equal(ranked, Rank(key, shuffled)) {
			t.Fatal("the order depends on how the names were listed")
		}
		for i, name := range ranked {
			if Owns(key, shuffled, name, n) != (i < n) {
				t.Fatalf("%s is number %d of %v, first %d", name, i, ranked, n)
			}
		}
		if Owns(key, names, "stranger", n) {
			t.Fatal("a name that is not listed owns the job")
		}
	})
}

func TestLosingANameMovesOnlyItsJobs(t *testing.T) {
	is := is.New(t)
	names := make([]string, 9)
	for i := range names {
		names[i] = fmt.Sprintf("node-%d", i)
	}
	const jobs = 1000
	others := names[1:]
	owned := make(map[string]int)
	for job := range jobs {
		key := Key("job", fmt.Sprint(job))
		before, after := Rank(key, names), Rank(key, others)
		owned[before[0]]++
		if before[0] == names[0] {
			is.Equal(after[0], before[1]) // the second takes over
			continue
		}
		is.Equal(after[0], before[0]) // the other owners keep their jobs
	}
	for _, name := range names {
		fair := jobs / len(names)
		is.True(owned[name] > fair/2 && owned[name] < 2*fair) // jobs are spread
	}
}
