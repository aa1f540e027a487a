package yamlfile

import "strings"

// Nearest returns the candidate with the least edit distance to word, or "" when
// none is within a third of the word's length (but at least two edits).
func Nearest(word string, candidates []string) string {
	bound := max(2, len(word)/3)
	best := ""
	lowered := strings.ToLower(word)
	for _, candidate := range candidates {
		distance := editDistance(lowered, strings.ToLower(candidate))
		if distance <= bound && distance < len(candidate) {
			bound = distance - 1
			best = candidate
		}
	}
	return best
}

// editDistance returns the Levenshtein distance in bytes, with a swap of two
// neighbouring bytes counted as one edit.
func editDistance(a, b string) int {
	beforeLast := make([]int, len(b)+1)
	last := make([]int, len(b)+1)
	for j := range last {
		last[j] = j
	}
	for i := 1; i <= len(a); i++ {
		row := make([]int, len(b)+1)
		row[0] = i
		for j := 1; j <= len(b); j++ {
			cost := 1
			if a[i-1] == b[j-1] {
				cost = 0
			}
			row[j] = min(last[j]+1, row[j-1]+1, last[j-1]+cost)
			if i > 1 && j > 1 && a[i-1] == b[j-2] && a[i-2] == b[j-1] {
				row[j] = min(row[j], beforeLast[j-2]+1)
			}
		}
		beforeLast, last = last, row
	}
	return last[len(b)]
}
