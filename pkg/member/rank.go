// Package member tracks what one instance knows of the other instances of its
// failure domain: which are live, leaving, silent or left, and which of them owns a
// shared job.
//
// Guarantees: a leaving mark overrides an older live mark; a silent instance stays
// in the view until it says goodbye or has long been missing from the platform's
// list. The package does no input or output; the caller passes the time.
package member

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Key hashes the name of a shared job for Rank and Owns.
func Key(job, subject string) uint64 {
	return xxhash.Sum64String(job + "/" + subject)
}

// Rank orders the names by rendezvous hashing: the first owns the job, the second
// takes over when the first is lost, and the loss of one name moves only that
// name's jobs. Every process that knows the same names gets the same order.
func Rank(key uint64, names []string) []string {
	type scored struct {
		name  string
		score uint64
	}
	scores := make([]scored, len(names))
	for i, name := range names {
		scores[i] = scored{name: name, score: score(key, name)}
	}
	sort.Slice(scores, func(i, j int) bool {
		if scores[i].score != scores[j].score {
			return scores[i].score > scores[j].score
		}
		return scores[i].name < scores[j].name
	})
	ranked := make([]string, len(names))
	for i, s := range scores {
		ranked[i] = s.name
	}
	return ranked
}

// First returns the index of the first name of the ranking without building it.
// There must be at least one name.
func First(key uint64, names []string) int {
	first, highest := 0, uint64(0)
	for i, name := range names {
		s := score(key, name)
		if i == 0 || s > highest || (s == highest && name < names[first]) {
			first, highest = i, s
		}
	}
	return first
}

// Owns reports whether self is among the first n of the ranking.
func Owns(key uint64, names []string, self string, n int) bool {
	own := score(key, self)
	ahead := 0
	present := false
	for _, name := range names {
		if name == self {
			present = true
			continue
		}
		s := score(key, name)
		if s > own || (s == own && name < self) {
			ahead++
		}
	}
	return present && ahead < n
}

// The finaliser of splitmix64 spreads the combined hashes evenly.
const (
	mixShift1  = 30
	mixShift2  = 27
	mixShift3  = 31
	mixFactor1 = 0xbf58476d1ce4e5b9
	mixFactor2 = 0x94d049bb133111eb
)

// Score returns the score by which Rank orders names, highest first.
func Score(key uint64, name string) uint64 { return score(key, name) }

func score(key uint64, name string) uint64 {
	x := key ^ xxhash.Sum64String(name)
	x = (x ^ (x >> mixShift1)) * mixFactor1
	x = (x ^ (x >> mixShift2)) * mixFactor2
	return x ^ (x >> mixShift3)
}
